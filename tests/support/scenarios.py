"""Tests written as async functions that run in a prepared surrounding."""

import inspect

from tests.support import virtual_clock


def make_decorator(start):
    """Returns a decorator for tests whose first argument is provided.

    Args:
        start: Async function that awaits `check(resource)` once; it runs on
            the virtual clock.
    """

    def wrap(check):
        def test(**values):
            virtual_clock.run(start, lambda resource: check(resource, **values))

        # pytest must not look for a fixture of the first argument.
        parameters = list(inspect.signature(check).parameters.values())
        test.__signature__ = inspect.Signature(parameters[1:])
        test.__name__, test.__doc__ = check.__name__, check.__doc__
        return test

    return wrap
