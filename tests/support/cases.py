"""Makes tests of async functions."""

import functools

from tests.support import virtual


def run_virtually(function):
    """Returns a test that runs an async function on a virtual clock."""

    @functools.wraps(function)
    def test(**parameters):
        virtual.run(functools.partial(function, **parameters))

    return test
