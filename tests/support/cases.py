"""Settings and decorators of test functions."""

import functools
import types

from tests.support import virtual_clock

# Settings of hypothesis: the same examples in every run, so that a test passes
# or fails reproducibly.
DERANDOMIZED = types.MappingProxyType(
    {
        "derandomize": True,
        "database": None,
        "deadline": None,
        "max_examples": 100,
    }
)


def run_on_virtual_clock(function):
    """Returns a test that runs an async function on a virtual clock."""

    @functools.wraps(function)
    def test(**parameters):
        virtual_clock.run(functools.partial(function, **parameters))

    return test
