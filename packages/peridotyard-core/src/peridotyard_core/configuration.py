"""Configuration objects, their JSON form, checks and comparison."""

import collections.abc
import dataclasses
import hashlib
import json
import re
import types
import typing

from peridotyard_core import errors
from peridotyard_core import verdicts

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_HASH = re.compile(r"[0-9a-f]{64}")
_METHOD = re.compile(r"[A-Z]{1,16}")
NAME_FORM = "1 to 63 letters, digits, '.', '_', '-'; first a letter or digit"

# Kind and name of one object, such as ("model", "reference").
Key = tuple[str, str]


def hash_secret(secret: str) -> str:
    """Returns the SHA-256 of an API key or operator token, hexadecimal."""
    return hashlib.sha256(secret.encode()).hexdigest()


@dataclasses.dataclass(frozen=True)
class _Rule:
    """The check of one field of an object.

    Attributes:
        accepts: Function that returns whether a value is allowed.
        allowed: Description of the allowed values.
        is_list: Whether the field is a list and each of its items is checked.
    """

    accepts: typing.Callable[[typing.Any], bool]
    allowed: str
    is_list: bool = False


def _declare_field(rule: _Rule, default: typing.Any = dataclasses.MISSING):
    return dataclasses.field(default=default, metadata={"rule": rule})


def _make_pattern_rule(
    pattern: re.Pattern, allowed: str, empty: bool = False
) -> _Rule:
    return _Rule(
        lambda value: isinstance(value, str)
        and (bool(pattern.fullmatch(value)) or (empty and not value)),
        allowed,
    )


def _make_integer_rule(minimum: int, maximum: int) -> _Rule:
    return _Rule(
        lambda value: type(value) is int and minimum <= value <= maximum,
        f"whole number from {minimum} to {maximum}",
    )


def _make_number_rule(minimum: float, maximum: float) -> _Rule:
    # NaN fails both comparisons. The type is compared with `in`, since a bool
    # is an instance of int but not allowed here.
    return _Rule(
        lambda value: type(value) in (int, float)
        and minimum <= value <= maximum,
        f"number from {minimum:g} to {maximum:g}",
    )


def _make_choice_rule(*values: str) -> _Rule:
    return _Rule(lambda value: value in values, ", ".join(values))


def _make_list_rule(rule: _Rule) -> _Rule:
    return dataclasses.replace(rule, is_list=True)


_NAME_RULE = _make_pattern_rule(_NAME, NAME_FORM)
_NAMES_RULE = _make_list_rule(_NAME_RULE)
_HASH_RULE = _make_pattern_rule(
    _HASH, "64 lower-case hexadecimal digits of a SHA-256"
)


@dataclasses.dataclass(frozen=True)
class Workspace:
    """A customer, its API keys and what it may use.

    Attributes:
        name: Name of the workspace.
        key_hashes: SHA-256 hashes of its API keys.
        models: Names of the models that it may use.
        adapters: Names of the adapters that it may use.
        services: Names of the plain services that it may use.
        priority: Priority of its requests.
        weight: Share of the capacity relative to other workspaces of the same
            priority.
    """

    name: str = _declare_field(_NAME_RULE)
    key_hashes: tuple[str, ...] = _declare_field(
        _make_list_rule(_HASH_RULE), ()
    )
    models: tuple[str, ...] = _declare_field(_NAMES_RULE, ())
    adapters: tuple[str, ...] = _declare_field(_NAMES_RULE, ())
    services: tuple[str, ...] = _declare_field(_NAMES_RULE, ())
    priority: str = _declare_field(
        _make_choice_rule("high", "normal", "low"), "normal"
    )
    weight: float = _declare_field(_make_number_rule(0.001, 1e6), 1)


@dataclasses.dataclass(frozen=True)
class Model:
    """A version of a model.

    Attributes:
        name: Name of the model.
        version: Version of the model.
        layers: Number of layers.
        adapters: Names of its adapters.
        tokenizer: Name of the tokenizer.
        max_tokens: Largest number of generated tokens of a response.
        context_tokens: Largest number of tokens of prompt and response.
        activation_bytes: Size of the activations of one position between two
            layers.
    """

    name: str = _declare_field(_NAME_RULE)
    version: str = _declare_field(_NAME_RULE)
    layers: int = _declare_field(_make_integer_rule(1, 10_000))
    adapters: tuple[str, ...] = _declare_field(_NAMES_RULE, ())
    tokenizer: str = _declare_field(_make_choice_rule("bytes"), "bytes")
    max_tokens: int = _declare_field(_make_integer_rule(1, 10_000_000), 4096)
    context_tokens: int = _declare_field(
        _make_integer_rule(1, 10_000_000), 8192
    )
    activation_bytes: int = _declare_field(_make_integer_rule(1, 1 << 24), 4)


@dataclasses.dataclass(frozen=True)
class Adapter:
    """An adapter of one model."""

    name: str = _declare_field(_NAME_RULE)
    model: str = _declare_field(_NAME_RULE)
    version: str = _declare_field(_NAME_RULE)


@dataclasses.dataclass(frozen=True)
class Service:
    """A plain service, which does not run a model.

    Attributes:
        name: Name of the service.
        idempotent_methods: HTTP methods whose calls may be repeated.
        retention_s: Time for which outcomes of non-idempotent calls are stored,
            seconds.
    """

    name: str = _declare_field(_NAME_RULE)
    idempotent_methods: tuple[str, ...] = _declare_field(
        _make_list_rule(
            _make_pattern_rule(_METHOD, "HTTP methods in capitals")
        ),
        ("GET", "HEAD"),
    )
    retention_s: float = _declare_field(
        _make_number_rule(1, 366 * 86400), 86400
    )


@dataclasses.dataclass(frozen=True)
class Limit:
    """Limits of one workspace for all entries together; 0 means no limit."""

    name: str = _declare_field(_NAME_RULE)
    workspace: str = _declare_field(_NAME_RULE)
    requests_per_s: float = _declare_field(_make_number_rule(0, 1e9), 0)
    in_flight: int = _declare_field(_make_integer_rule(0, 1_000_000_000), 0)


@dataclasses.dataclass(frozen=True)
class PlacementRule:
    """Number of copies of a model version, and the zones in which they run."""

    name: str = _declare_field(_NAME_RULE)
    model: str = _declare_field(_NAME_RULE)
    version: str = _declare_field(_NAME_RULE)
    copies: int = _declare_field(_make_integer_rule(0, 100_000), 1)
    zones: tuple[str, ...] = _declare_field(_NAMES_RULE, ())


@dataclasses.dataclass(frozen=True)
class Operator:
    """An operator, who may read or change the configuration.

    Attributes:
        name: Name of the operator.
        token_hash: SHA-256 hash of the operator's token.
        role: "read" or "change".
        workspace: Workspace that the operator is restricted to, empty for none.
    """

    name: str = _declare_field(_NAME_RULE)
    token_hash: str = _declare_field(_HASH_RULE)
    role: str = _declare_field(_make_choice_rule("read", "change"), "read")
    workspace: str = _declare_field(
        _make_pattern_rule(_NAME, NAME_FORM + "; empty for all", empty=True), ""
    )


KINDS = {
    "workspace": Workspace,
    "model": Model,
    "adapter": Adapter,
    "service": Service,
    "limit": Limit,
    "placement-rule": PlacementRule,
    "operator": Operator,
}
KIND_NAMES = {kind_class: kind for kind, kind_class in KINDS.items()}


@dataclasses.dataclass(frozen=True)
class Record:
    """One object with the revision that last changed it.

    Attributes:
        kind: Kind of the object, a key of `KINDS`.
        name: Name of the object.
        revision: Revision that last changed the object.
        value: The object; None if the revision deleted it.
    """

    kind: str
    name: str
    revision: int
    value: typing.Any

    @property
    def key(self) -> Key:
        """Key of the record in a configuration."""
        return (self.kind, self.name)


@dataclasses.dataclass(frozen=True)
class Configuration:
    """All objects at one revision.

    Attributes:
        revision: The revision, 0 for the empty configuration.
        objects: Records of the objects by key.
    """

    revision: int = 0
    objects: collections.abc.Mapping[Key, Record] = dataclasses.field(
        default_factory=lambda: types.MappingProxyType({})
    )

    def render(self) -> dict:
        """Returns the JSON value of the configuration."""
        return {
            "revision": self.revision,
            "objects": [
                {**render_object(record.value), "revision": record.revision}
                for _, record in sorted(self.objects.items())
            ],
        }

    def replace(
        self, revision: int, values: collections.abc.Mapping[Key, typing.Any]
    ) -> "Configuration":
        """Returns the configuration after a change.

        Args:
            revision: Revision of the new configuration.
            values: New object of each changed key, None to delete it.
        """
        objects = dict(self.objects)
        for key, value in values.items():
            if value is None:
                objects.pop(key, None)
            else:
                objects[key] = Record(*key, revision, value)
        return Configuration(revision, types.MappingProxyType(objects))


@dataclasses.dataclass(frozen=True)
class Conflict:
    """An object that is not at the revision a change expects.

    Attributes:
        key: Key of the object.
        expected: Revision that the change expects, 0 if it expects no object.
        actual: Revision of the object, 0 if there is none.
        submitted: JSON value of the submitted object, None for a deletion.
        current: JSON value of the current object, None if there is none.
    """

    key: Key
    expected: int
    actual: int
    submitted: typing.Any
    current: typing.Any


@dataclasses.dataclass(frozen=True)
class Rejection(verdicts.Failure):
    """The failure of a change, with the reason for it.

    Attributes:
        conflicts: Objects that are not at the expected revision.
        place: Path of an invalid value, empty if there is none.
        allowed: Description of the values that are allowed there.
    """

    conflicts: tuple[Conflict, ...] = ()
    place: str = ""
    allowed: str = ""

    @classmethod
    def from_error(cls, error: errors.ConfigurationError) -> "Rejection":
        """Returns the rejection of an invalid configuration."""
        return cls(
            "invalid-configuration",
            verdicts.Verdict.NOT_RUN,
            str(error),
            place=error.place,
            allowed=error.allowed,
        )


@dataclasses.dataclass(frozen=True)
class Change:
    """A set of changed objects that is accepted completely or not at all.

    Attributes:
        change_id: Identity chosen by the operator; a change that is submitted
            again with the same identity has no further effect.
        author: Name of the operator.
        expected: Expected revision of each changed object, 0 for no object.
        values: New object of each key, None to delete it.
        workspace: Workspace that the author is restricted to, empty for none.
    """

    change_id: str
    author: str
    expected: collections.abc.Mapping[Key, int]
    values: collections.abc.Mapping[Key, typing.Any]
    workspace: str = ""

    @property
    def digest(self) -> str:
        """SHA-256 of the content, to detect another change with the same id."""
        content = {
            render_key(key): value and render_object(value)
            for key, value in self.values.items()
        }
        return hash_secret(json.dumps(content, sort_keys=True))


def render_key(key: Key) -> str:
    """Returns the text of a key, such as "model/reference"."""
    return "/".join(key)


def parse_key(text: typing.Any, place: str) -> Key:
    """Parses "kind/name".

    Args:
        text: The text.
        place: Path of the text in the request, for error messages.

    Raises:
        errors.ConfigurationError: The text is not a key.
    """
    kind, _, name = text.partition("/") if isinstance(text, str) else ("",) * 3
    if kind not in KINDS or not _NAME.fullmatch(name):
        raise errors.ConfigurationError(
            place,
            f"{text!r} names no object",
            f"kind/name, kind one of {_KIND_NAMES_TEXT}",
        )
    return (kind, name)


_KIND_NAMES_TEXT = ", ".join(KINDS)


def render_object(value: typing.Any) -> dict:
    """Returns the JSON value of an object, with its kind."""
    fields = {
        name: list(part) if isinstance(part, tuple) else part
        for name, part in dataclasses.asdict(value).items()
    }
    return {"kind": KIND_NAMES[type(value)], **fields}


def parse_object(
    value: typing.Any, place: str, *, ignore_unknown: bool = False
) -> typing.Any:
    """Returns the object of a JSON value with its kind.

    Args:
        value: The JSON value.
        place: Path of the value in the request, for error messages.
        ignore_unknown: Whether to ignore unknown fields, since stored rows may
            have fields of a later release.

    Raises:
        errors.ConfigurationError: A field is missing, unknown or invalid.
    """
    if not isinstance(value, dict):
        raise errors.ConfigurationError(place, "not an object", "JSON object")
    kind = value.get("kind")
    if not isinstance(kind, str) or kind not in KINDS:
        raise errors.ConfigurationError(
            f"{place}.kind", f"unknown kind {kind!r}", _KIND_NAMES_TEXT
        )
    if isinstance(value.get("name"), str) and value["name"]:
        place = f"{kind}/{value['name']}"
    fields = {f.name: f for f in dataclasses.fields(KINDS[kind])}
    unknown = sorted(value.keys() - fields.keys() - {"kind", "revision"})
    if unknown and not ignore_unknown:
        raise errors.ConfigurationError(
            f"{place}.{unknown[0]}", "unknown field", ", ".join(fields)
        )
    return KINDS[kind](
        **{
            name: _parse_field(field, value[name], f"{place}.{name}")
            for name, field in fields.items()
            if name in value or _check_default(field, place)
        }
    )


def _check_default(field: dataclasses.Field, place: str) -> bool:
    """Raises an error if a missing field has no default, else returns False."""
    if field.default is dataclasses.MISSING:
        raise errors.ConfigurationError(
            f"{place}.{field.name}", "missing", field.metadata["rule"].allowed
        )
    return False


def _parse_field(field: dataclasses.Field, value, place: str):
    rule = field.metadata["rule"]
    if not rule.is_list:
        if not rule.accepts(value):
            raise errors.ConfigurationError(
                place, f"invalid value {value!r}", rule.allowed
            )
        return value
    if not isinstance(value, (list, tuple)):
        raise errors.ConfigurationError(
            place, f"invalid value {value!r}", f"list of: {rule.allowed}"
        )
    for index, part in enumerate(value):
        if not rule.accepts(part) or part in value[:index]:
            raise errors.ConfigurationError(
                f"{place}[{index}]",
                f"invalid or repeated value {part!r}",
                rule.allowed,
            )
    return tuple(value)


def parse_objects(values: typing.Any, place: str) -> dict[Key, typing.Any]:
    """Returns the objects of a JSON list by key.

    Args:
        values: The JSON list.
        place: Path of the list in the request, for error messages.

    Raises:
        errors.ConfigurationError: An object is invalid or given twice.
    """
    if not isinstance(values, list):
        raise errors.ConfigurationError(place, "not a list", "list of objects")
    objects = {}
    for index, value in enumerate(values):
        item = parse_object(value, f"{place}[{index}]")
        key = (KIND_NAMES[type(item)], item.name)
        if key in objects:
            raise errors.ConfigurationError(
                f"{place}[{index}]", f"{render_key(key)} is given twice"
            )
        objects[key] = item
    return objects


# Fields that refer to other objects: kind, field and kind of the other object.
_REFERENCES = (
    ("workspace", "models", "model"),
    ("workspace", "adapters", "adapter"),
    ("workspace", "services", "service"),
    ("model", "adapters", "adapter"),
    ("adapter", "model", "model"),
    ("limit", "workspace", "workspace"),
    ("placement-rule", "model", "model"),
    ("operator", "workspace", "workspace"),
)
# Fields whose values must be unique among the objects of the kind: an API key
# or token identifies one workspace or operator, and a workspace has one limit.
_UNIQUE = (
    ("workspace", "key_hashes"),
    ("operator", "token_hash"),
    ("limit", "workspace"),
)


def check_references(configuration: Configuration) -> None:
    """Checks the references between the objects.

    Raises:
        errors.ConfigurationError: An object that another one refers to is
            missing, or two objects share a value that must be unique.
    """
    values = {key: r.value for key, r in sorted(configuration.objects.items())}
    names = {kind: [] for kind in KINDS}
    for kind, name in values:
        names[kind].append(name)
    for kind, field, target in _REFERENCES:
        for name in names[kind]:
            for place, part in _list_field_values(
                values[kind, name], kind, field
            ):
                if part and (target, part) not in values:
                    raise errors.ConfigurationError(
                        place,
                        f"there is no {target} {part!r}",
                        ", ".join(names[target]) or f"no {target} exists yet",
                    )
    for name in names["model"]:
        _check_adapters(values, name)
    for kind, field in _UNIQUE:
        _check_unique([values[kind, name] for name in names[kind]], kind, field)


def _check_adapters(values, model: str) -> None:
    for place, part in _list_field_values(
        values["model", model], "model", "adapters"
    ):
        if values["adapter", part].model != model:
            raise errors.ConfigurationError(
                place,
                f"adapter {part!r} belongs to another model",
                f"adapters with model {model!r}",
            )


def _check_unique(values, kind: str, field: str) -> None:
    owners = {}
    for value in values:
        for place, part in _list_field_values(value, kind, field):
            if owners.setdefault(part, value.name) != value.name:
                raise errors.ConfigurationError(
                    place, f"{kind} {owners[part]!r} has the same value"
                )


def _list_field_values(value, kind: str, field: str) -> list[tuple[str, str]]:
    """Returns the path and the text of a field, or of each item of a list."""
    place = f"{kind}/{value.name}.{field}"
    part = getattr(value, field)
    if isinstance(part, tuple):
        return [(f"{place}[{i}]", item) for i, item in enumerate(part)]
    return [(place, part)]


def check_scope(
    configuration: Configuration,
    values: collections.abc.Mapping[Key, typing.Any],
    workspace: str,
) -> str:
    """Returns why an operator of one workspace may not make a change.

    Such an operator may replace the API keys of its workspace, remove its
    models, adapters and services, lower its priority and weight, and set or
    lower its limits. Any other change could grant the workspace more.

    Args:
        configuration: The current configuration.
        values: New object of each changed key, None to delete it.
        workspace: Name of the operator's workspace.

    Returns:
        The reason, or an empty text if the change is allowed.
    """
    for key, value in values.items():
        text = render_key(key)
        existing = configuration.objects.get(key)
        old = existing.value if existing else None
        match key[0]:
            case "workspace" if key[1] == workspace and old and value:
                if not _is_reduced_workspace(old, value):
                    return f"{text}: would grant the workspace more"
            case "limit" if value and value.workspace == workspace:
                if old and old.workspace != workspace:
                    return f"{text}: belongs to another workspace"
                if old and not _is_lowered_limit(old, value):
                    return f"{text}: would raise the limit"
            case _:
                return f"{text}: not open to operators of {workspace!r}"
    return ""


def _is_reduced_workspace(old: Workspace, new: Workspace) -> bool:
    ranks = ("low", "normal", "high")
    return (
        all(
            set(getattr(new, field)) <= set(getattr(old, field))
            for field in ("models", "adapters", "services")
        )
        and ranks.index(new.priority) <= ranks.index(old.priority)
        and new.weight <= old.weight
    )


def _is_lowered_limit(old: Limit, new: Limit) -> bool:
    for field in ("requests_per_s", "in_flight"):
        before = getattr(old, field) or float("inf")
        if (getattr(new, field) or float("inf")) > before:
            return False
    return True


def compare(
    before: collections.abc.Mapping[Key, typing.Any],
    after: collections.abc.Mapping[Key, typing.Any],
) -> list[str]:
    """Returns the differences between two sets of objects, one line each.

    A line begins with "+" for an added object, "-" for a removed object and
    "~" for a changed field.
    """
    lines = []
    for key in sorted(before.keys() | after.keys()):
        old, new = before.get(key), after.get(key)
        text = render_key(key)
        if old is None:
            lines.append(f"+ {text} {_render_fields(new)}")
        elif new is None:
            lines.append(f"- {text}")
        else:
            for field in dataclasses.fields(new):
                was, now = getattr(old, field.name), getattr(new, field.name)
                if was != now:
                    lines.append(
                        f"~ {text}.{field.name}: {_render_value(was)} -> "
                        f"{_render_value(now)}"
                    )
    return lines


def _render_value(value) -> str:
    return json.dumps(value)


def _render_fields(value) -> str:
    return " ".join(
        f"{field.name}={_render_value(getattr(value, field.name))}"
        for field in dataclasses.fields(value)
        if field.name != "name"
    )
