"""Settings of processes for tests, made without a settings file."""

from peridotyard_core import options


def make(settings_class: type, **values):
    """Returns settings with the given values and defaults for all others."""
    table = options.list_options(settings_class)
    defaults = {name: option.default for name, option in table.items()}
    return settings_class(**{**defaults, "zone": "z", **values})
