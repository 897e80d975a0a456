"""Snapshots of the state of objects, to show that nothing has changed it."""

import collections
import enum
import random
import types

# Values that are compared as they are.
_ATOMS = (type(None), bool, int, float, str, bytes, enum.Enum)
# Code, which is no state of the objects.
_SKIPPED = (
    types.FunctionType,
    types.MethodType,
    types.BuiltinFunctionType,
    types.ModuleType,
    type,
)


def freeze(value) -> dict:
    """Returns the state of a value and of all that it refers to, by place."""
    snapshot: dict = {}
    # Also keeps the objects alive, since their identities could be used again.
    known: dict = {}
    pending = [("", value)]
    while pending:
        place, item = pending.pop()
        if isinstance(item, _ATOMS):
            snapshot[place] = item
        elif isinstance(item, _SKIPPED):
            snapshot[place] = type(item).__name__
        elif type(item).__module__.startswith("trio"):
            # An event that was set is replaced by another one in this project.
            snapshot[place] = f"{type(item).__name__} {id(item)}"
        elif id(item) in known:
            snapshot[place] = known[id(item)][0]
        elif isinstance(item, random.Random):
            snapshot[place] = hash(item.getstate())
        else:
            known[id(item)] = (f"same as {place}", item)
            parts = _list_parts(item)
            snapshot[place] = f"{type(item).__name__} of {len(parts)}"
            pending += [(f"{place}.{name}", part) for name, part in parts]
    return snapshot


def _list_parts(item) -> list:
    """Returns names and values of what an object consists of."""
    if isinstance(item, dict):
        # Also the order, since some tables drop their oldest items.
        parts = []
        for number, (key, part) in enumerate(item.items()):
            parts += [(f"{number}.key", key), (f"{number}", part)]
        return parts
    if isinstance(item, (set, frozenset)):
        return [(f"{n}", p) for n, p in enumerate(sorted(item, key=repr))]
    if isinstance(item, (list, tuple, collections.deque)):
        return [(f"{n}", part) for n, part in enumerate(item)]
    names = list(getattr(item, "__dict__", ()))
    for kind in type(item).__mro__:
        slots = getattr(kind, "__slots__", ())
        names += (slots,) if isinstance(slots, str) else slots
    return [(n, getattr(item, n)) for n in names if hasattr(item, n)]
