"""Settings of the processes, read from INI files into frozen data classes."""

import configparser
import dataclasses
import typing

from peridotyard_core import addresses
from peridotyard_core import errors
from peridotyard_core import options

Settings = typing.TypeVar("Settings")


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProcessSettings:
    """Options of every process."""

    instance: str = options.declare(
        "process", "instance", "str", options.REQUIRED, "name of this instance"
    )
    zone: str = options.declare(
        "process", "zone", "str", options.REQUIRED, "availability zone"
    )
    log_level: str = options.declare(
        "logs",
        "level",
        "str",
        "info",
        "lowest level that is logged",
        choices=("debug", "info", "warning", "error"),
    )
    log_format: str = options.declare(
        "logs",
        "format",
        "str",
        "text",
        "format of a log line",
        choices=("text", "json"),
    )
    debug: tuple[str, ...] = options.declare(
        "logs",
        "debug",
        "names",
        (),
        "parts of the software that log at debug level",
    )
    statsd: addresses.Address | None = options.declare(
        "metrics",
        "statsd",
        "address",
        None,
        "address of the statsd server, empty for none",
    )
    metrics_interval_s: float = options.declare(
        "metrics",
        "interval_s",
        "float",
        1.0,
        "seconds between two flushes of metrics",
        minimum=0.1,
        maximum=60,
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class DaemonSettings(ProcessSettings):
    """Options of entries and sidecars."""

    peer_address: addresses.Address = options.declare(
        "listen",
        "peers",
        "address",
        options.REQUIRED,
        "address for the connections of other processes",
    )
    heartbeat_s: float = options.declare(
        "peers",
        "heartbeat_s",
        "float",
        0.2,
        "seconds between two heartbeats on a connection in use",
        minimum=0.01,
        maximum=30,
    )
    idle_heartbeat_s: float = options.declare(
        "peers",
        "idle_heartbeat_s",
        "float",
        1.0,
        "seconds between two heartbeats on an idle connection",
        minimum=0.01,
        maximum=30,
    )
    # A single lost heartbeat must not close a connection, three in a row must.
    heartbeat_misses: int = options.declare(
        "peers",
        "heartbeat_misses",
        "int",
        3,
        "heartbeat intervals without a message until a connection is closed",
        minimum=2,
        maximum=20,
    )
    dial_timeout_s: float = options.declare(
        "peers",
        "dial_timeout_s",
        "float",
        0.5,
        "seconds to open a connection, including the hello message",
        minimum=0.01,
        maximum=30,
    )
    table: addresses.Address | None = options.declare(
        "platform", "table", "address", None, "address of the table service"
    )
    table_timeout_s: float = options.declare(
        "platform",
        "table_timeout_s",
        "float",
        1.0,
        "seconds for one request to the table service",
        minimum=0.01,
        maximum=60,
    )
    config_poll_s: float = options.declare(
        "configuration",
        "poll_s",
        "float",
        1.0,
        "mean seconds between two polls of the head revision",
        minimum=0.05,
        maximum=600,
    )
    drain_s: float = options.declare(
        "process",
        "drain_s",
        "float",
        600.0,
        "longest time a stopping process waits for its requests, seconds",
        minimum=0,
        maximum=86400,
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntrySettings(DaemonSettings):
    """Options of `peridotyardd entry`."""

    caller_address: addresses.Address = options.declare(
        "listen",
        "callers",
        "address",
        options.REQUIRED,
        "address of the HTTP interface for callers",
    )
    admin_address: addresses.Address = options.declare(
        "listen",
        "admin",
        "address",
        options.REQUIRED,
        "address of the administration API",
    )
    admin_token_sha256: str = options.declare(
        "admin",
        "token_sha256",
        "str",
        "",
        "SHA-256 of the bootstrap administration token, hexadecimal",
    )
    instance_list: addresses.Address | None = options.declare(
        "platform", "instances", "address", None, "address of the instance list"
    )
    instance_poll_s: float = options.declare(
        "platform",
        "instance_poll_s",
        "float",
        2.0,
        "seconds between two reads of the instance list",
        minimum=0.05,
        maximum=600,
    )
    body_limit_bytes: int = options.declare(
        "callers",
        "body_limit_bytes",
        "int",
        1 << 20,
        "largest request body, bytes",
        minimum=1024,
        maximum=1 << 24,
    )
    body_memory_bytes: int = options.declare(
        "callers",
        "body_memory_bytes",
        "int",
        1 << 28,
        "largest size of the bodies of all requests in progress, bytes",
        minimum=1 << 20,
        maximum=1 << 40,
    )
    body_timeout_s: float = options.declare(
        "callers",
        "body_timeout_s",
        "float",
        10.0,
        "seconds for a caller to send its request body",
        minimum=0.1,
        maximum=600,
    )
    write_timeout_s: float = options.declare(
        "callers",
        "write_timeout_s",
        "float",
        30.0,
        "seconds for a caller to read one chunk of its response",
        minimum=0.1,
        maximum=600,
    )
    connection_limit: int = options.declare(
        "callers",
        "connection_limit",
        "int",
        10000,
        "largest number of open connections of callers",
        minimum=1,
        maximum=100000,
    )
    request_timeout_s: float = options.declare(
        "callers",
        "request_timeout_s",
        "float",
        120.0,
        "longest time for one request, seconds",
        minimum=0.1,
        maximum=3600,
    )
    first_token_s: float = options.declare(
        "streams",
        "first_token_s",
        "float",
        10.0,
        "seconds to the first token after which a stream is recovered",
        minimum=0.05,
        maximum=600,
    )
    stall_s: float = options.declare(
        "streams",
        "stall_s",
        "float",
        2.0,
        "seconds between two tokens after which a stream is recovered",
        minimum=0.05,
        maximum=600,
    )
    open_timeout_s: float = options.declare(
        "streams",
        "open_timeout_s",
        "float",
        2.0,
        "seconds for all stages to accept a stream",
        minimum=0.05,
        maximum=60,
    )
    recovery_limit: int = options.declare(
        "streams",
        "recovery_limit",
        "int",
        8,
        "recoveries of one stream before it ends with an error",
        minimum=0,
        maximum=100,
    )
    prefixes_enabled: bool = options.declare(
        "prefixes",
        "enabled",
        "bool",
        False,
        "select servers by the prefixes of prompts that their engines hold",
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class SidecarSettings(DaemonSettings):
    """Options of `peridotyardd sidecar`."""

    backend: addresses.Address = options.declare(
        "backend",
        "address",
        "address",
        options.REQUIRED,
        "address of the backend server",
    )
    backend_kind: str = options.declare(
        "backend",
        "kind",
        "str",
        options.REQUIRED,
        "kind of the backend server",
        choices=("model", "service"),
    )
    service: str = options.declare(
        "backend", "service", "str", "", "service name, for kind = service"
    )
    concurrency: int = options.declare(
        "backend",
        "concurrency",
        "int",
        64,
        "largest number of streams or calls at the same time",
        minimum=1,
        maximum=100000,
    )
    step_timeout_s: float = options.declare(
        "backend",
        "step_timeout_s",
        "float",
        2.0,
        "seconds for one step before the engine counts as stalled",
        minimum=0.05,
        maximum=600,
    )
    orphan_s: float = options.declare(
        "streams",
        "orphan_s",
        "float",
        10.0,
        "seconds without its entry after which a stream is released",
        minimum=0.1,
        maximum=600,
    )


@dataclasses.dataclass(frozen=True)
class Origin:
    """Source of the value of an option.

    Attributes:
        file: Path of the settings file, empty for a default.
        line: Line in the file, 0 for a default.
    """

    file: str
    line: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}" if self.line else "default"


DEFAULT_ORIGIN = Origin("", 0)


@dataclasses.dataclass(frozen=True)
class LoadedSettings(typing.Generic[Settings]):
    """Settings with the source of each value.

    Attributes:
        settings: The settings.
        origins: Source of each value by attribute of the settings.
    """

    settings: Settings
    origins: dict[str, Origin]

    def render(self) -> str:
        """Returns the effective settings as INI text with their sources."""
        lines = []
        section = None
        table = options.list_options(type(self.settings))
        for name, option in sorted(
            table.items(), key=lambda item: (item[1].section, item[1].name)
        ):
            if option.section != section:
                section = option.section
                lines.append(f"[{section}]")
            value = _render_value(getattr(self.settings, name))
            lines.append(f"{option.name} = {value}  ; {self.origins[name]}")
        return "\n".join(lines) + "\n"


def _render_value(value: typing.Any) -> str:
    match value:
        case None:
            return ""
        case bool():
            return "yes" if value else "no"
        case tuple():
            return ", ".join(str(part) for part in value)
        case _:
            return str(value)


def read(settings_class: type[Settings], path: str) -> LoadedSettings[Settings]:
    """Reads and checks a settings file.

    Args:
        settings_class: A data class whose fields are made by
            `options.declare`.
        path: Path of the INI file.

    Raises:
        errors.SettingsError: The file cannot be read or parsed, has an
            unknown section or option, or a value that is not allowed.
    """
    parser = configparser.ConfigParser(
        interpolation=None, inline_comment_prefixes=(";",)
    )
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
        parser.read_string(text, path)
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        raise errors.SettingsError(
            path, "", "", str(error).replace("\n", " "), "a readable INI file"
        ) from error
    return _parse_options(settings_class, path, parser, _find_lines(text))


def _parse_options(settings_class, path, parser, lines):
    table = options.list_options(settings_class)
    attributes = {(o.section, o.name): name for name, o in table.items()}
    _reject_unknown(path, parser, attributes)
    values = {}
    origins = {}
    for (section, name), attribute in attributes.items():
        option = table[attribute]
        text = parser.get(section, name, fallback=None)
        if text is None:
            if option.default is options.REQUIRED:
                raise errors.SettingsError(
                    path, section, name, "", option.describe()
                )
            values[attribute] = option.default
            origins[attribute] = DEFAULT_ORIGIN
            continue
        try:
            values[attribute] = option.parse(text)
        except ValueError:
            raise errors.SettingsError(
                path, section, name, text, option.describe()
            ) from None
        origins[attribute] = Origin(path, lines.get((section, name), 0))
    return LoadedSettings(settings_class(**values), origins)


def _reject_unknown(path, parser, attributes) -> None:
    sections = {section for section, _ in attributes}
    if parser.defaults():
        name, value = next(iter(parser.defaults().items()))
        raise errors.SettingsError(
            path, "DEFAULT", name, value, "sections " + _join_names(sections)
        )
    for section in parser.sections():
        if section not in sections:
            raise errors.SettingsError(
                path, section, "", "", "sections " + _join_names(sections)
            )
        names = {name for place, name in attributes if place == section}
        for name, value in parser.items(section):
            if name not in names:
                raise errors.SettingsError(
                    path, section, name, value, "options " + _join_names(names)
                )


def _join_names(names) -> str:
    return ", ".join(sorted(names))


def _find_lines(text: str) -> dict[tuple[str, str], int]:
    """Returns the line of each option; configparser does not provide it."""
    lines = {}
    section = ""
    for number, line in enumerate(text.splitlines(), 1):
        stripped = line.strip()
        if stripped.startswith("[") and "]" in stripped:
            section = stripped[1 : stripped.index("]")]
        elif stripped and stripped[0] not in "#;" and line[0] not in " \t":
            for delimiter in "=:":
                if delimiter in stripped:
                    name = stripped.split(delimiter, 1)[0].strip().lower()
                    lines.setdefault((section, name), number)
                    break
    return lines
