"""Error codes of the HTTP interfaces, and exceptions of the packages."""

# HTTP status of each error code. The codes are part of the public interface;
# the messages are not.
CODES = {
    "bad-request": 400,
    "idempotency-key-required": 400,
    "unauthorized": 401,
    "forbidden": 403,
    "not-found": 404,
    "method-not-allowed": 405,
    "request-timeout": 408,
    "conflict": 409,
    "body-too-large": 413,
    "idempotency-key-reused": 422,
    "invalid-configuration": 422,
    "headers-too-large": 431,
    "rate-limited": 429,
    "quarantined": 429,
    "overloaded": 503,
    "deadline-exceeded": 503,
    "draining": 503,
    "no-capacity": 503,
    "stage-refused": 503,
    "store-unavailable": 503,
    "backend-unavailable": 503,
    "stream-lost": 502,
    "backend-lost": 502,
    "outcome-unknown": 502,
    "backend-timeout": 504,
    "internal": 500,
}


class PeridotyardError(Exception):
    """Base class of this project's exceptions."""


class SettingsError(PeridotyardError):
    """An option of a settings file is unknown or has an invalid value."""

    def __init__(
        self, file: str, section: str, name: str, value: str, allowed: str
    ):
        """Creates an error that names the place and the allowed values.

        Args:
            file: Path of the settings file.
            section: Section of the file, empty if the error concerns the file.
            name: Option of the section, empty if the error concerns the
                section.
            value: The value as written.
            allowed: Description of the allowed values.
        """
        self.file = file
        self.section = section
        self.name = name
        self.value = value
        self.allowed = allowed
        super().__init__(
            f"{file}: [{section}] {name} = {value!r}; allowed: {allowed}"
        )


class ConfigurationError(PeridotyardError):
    """A configuration object is invalid.

    Attributes:
        place: Path of the invalid value, such as "workspace/north.keys[0]".
        allowed: Description of the allowed values, empty if there is none.
    """

    def __init__(self, place: str, message: str, allowed: str = ""):
        self.place = place
        self.allowed = allowed
        text = f"{place}: {message}"
        super().__init__(f"{text}; allowed: {allowed}" if allowed else text)
