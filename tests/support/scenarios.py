"""Decorators for async tests that run with a prepared resource."""

import inspect

from tests.support import virtual_clock


def make_decorator(start):
    """Returns a decorator for async tests whose first argument is a resource.

    Args:
        start: Async function that opens the resource and awaits
            `check(resource)` once; it runs on the virtual clock.
    """

    def wrap(check):
        def test(**values):
            virtual_clock.run(start, lambda resource: check(resource, **values))

        # Hides the first parameter from pytest, which takes it for a fixture.
        parameters = list(inspect.signature(check).parameters.values())
        test.__signature__ = inspect.Signature(parameters[1:])
        test.__name__, test.__doc__ = check.__name__, check.__doc__
        return test

    return wrap
