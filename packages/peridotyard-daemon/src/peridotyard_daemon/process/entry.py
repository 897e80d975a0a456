"""The entry process."""

from peridotyard_core import settings


def run(values: settings.EntrySettings) -> int:
    """Runs the process until it is stopped and returns its exit status."""
    raise NotImplementedError(values.instance)
