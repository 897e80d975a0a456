"""Declaration of options, one for each field of a settings data class."""

import dataclasses
import typing

from peridotyard_core import addresses

REQUIRED = object()


@dataclasses.dataclass(frozen=True)
class Option:
    """How one option of a settings file is read and checked.

    Attributes:
        section: Section of the INI file.
        name: Name of the option in the section.
        kind: Type of the value: "str", "int", "float", "bool", "address",
            "addresses" or "names".
        default: Value if the file has none, or `REQUIRED`.
        help: One line for operators, with the unit.
        minimum: Smallest allowed number, None for no limit.
        maximum: Largest allowed number, None for no limit.
        choices: Allowed texts, empty for any.
    """

    section: str
    name: str
    kind: str
    default: typing.Any
    help: str
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[str, ...] = ()

    def describe(self) -> str:
        """Returns the allowed values as text for error messages and help."""
        if self.choices:
            return "one of " + ", ".join(self.choices)
        text = {
            "str": "a non-empty text",
            "int": "a whole number",
            "float": "a number",
            "bool": "yes or no",
            "address": "an IP address and a port, such as 127.0.0.1:8080",
            "addresses": "IP addresses and ports, separated by commas",
            "names": "names separated by commas",
        }[self.kind]
        if self.minimum is not None:
            text += f" from {self.minimum}"
        if self.maximum is not None:
            text += f" to {self.maximum}"
        return text

    def parse(self, text: str) -> typing.Any:
        """Returns the value of a text.

        Raises:
            ValueError: The text is not allowed; see `describe`.
        """
        value = self._convert(text.strip())
        if self.choices and value not in self.choices:
            raise ValueError(text)
        if self.minimum is not None and value < self.minimum:
            raise ValueError(text)
        if self.maximum is not None and value > self.maximum:
            raise ValueError(text)
        return value

    def _convert(self, text: str) -> typing.Any:
        match self.kind:
            case "str":
                if not text and self.default is REQUIRED:
                    raise ValueError(text)
                return text
            case "int":
                return int(text)
            case "float":
                value = float(text)
                # Comparisons with NaN are false, so a range check would accept
                # it.
                if value != value or value in (float("inf"), -float("inf")):
                    raise ValueError(text)
                return value
            case "bool":
                words = {"yes": True, "true": True, "no": False, "false": False}
                if text.lower() not in words:
                    raise ValueError(text)
                return words[text.lower()]
            case "address":
                # An empty text disables an optional address.
                if not text and self.default is None:
                    return None
                return addresses.Address.from_text(text)
            case "addresses":
                return tuple(
                    addresses.Address.from_text(part.strip())
                    for part in text.split(",")
                    if part.strip()
                )
            case "names":
                return tuple(
                    part.strip() for part in text.split(",") if part.strip()
                )
            case _:
                raise AssertionError(self.kind)


def declare(
    section: str,
    name: str,
    kind: str,
    default: typing.Any,
    help: str,  # noqa: A002 - the customary name of this parameter
    **limits: typing.Any,
) -> typing.Any:
    """Declares a field of a settings data class as an option.

    Args:
        section: Section of the INI file.
        name: Name of the option in the section.
        kind: Type of the value; see `Option`.
        default: Value if the file has none, or `REQUIRED`.
        help: One line for operators, with the unit.
        **limits: "minimum", "maximum" and "choices" of `Option`.

    Returns:
        A data class field with the option in its metadata.
    """
    option = Option(section, name, kind, default, help, **limits)
    return dataclasses.field(metadata={"option": option})


def list_options(settings_class: type) -> dict[str, Option]:
    """Returns the options of a settings data class by attribute."""
    return {
        field.name: field.metadata["option"]
        for field in dataclasses.fields(settings_class)
        if "option" in field.metadata
    }
