"""Parses and checks the parameters of a completion request."""

import dataclasses
import hashlib
import json
import typing

from peridotyard_core import tokens
from peridotyard_core import verdicts

from peridotyard_daemon.connection import http

ROLES = ("system", "developer", "user", "assistant")
STOP_LIMIT = 4
STOP_LENGTH = 256
SEED_LIMIT = 1 << 63
# Sampling parameters with their minimum and maximum. They are checked here and
# applied by the engines.
SAMPLING_FIELDS = {
    "temperature": (0, 2),
    "top_p": (0, 1),
    "presence_penalty": (-2, 2),
    "frequency_penalty": (-2, 2),
}
COMMON_FIELDS = (
    *SAMPLING_FIELDS,
    "model",
    "max_tokens",
    "n",
    "seed",
    "stop",
    "stream",
    "stream_options",
    "user",
)
CHAT_FIELDS = ("messages", "max_completion_tokens")
TEXT_FIELDS = ("prompt",)


@dataclasses.dataclass(frozen=True)
class Parameters:
    """The checked body of a completion request.

    Attributes:
        model: Name in the request, "model" or "model:adapter".
        is_chat: Whether it is a chat completion.
        prompt: Tokens of the prompt.
        max_tokens: Limit of generated tokens, None for the highest allowed.
        seed: Seed of the sampling, None for a random one.
        stops: Stop sequences.
        is_streamed: Whether the response is a stream of events.
        has_usage: Whether a stream ends with an event that has its usage.
        sampling: JSON object of the sampling parameters, empty without any.
    """

    model: str
    is_chat: bool
    prompt: tuple[int, ...]
    max_tokens: int | None
    seed: int | None
    stops: tuple[str, ...]
    is_streamed: bool
    has_usage: bool
    sampling: str = ""

    @classmethod
    def from_body(cls, body: typing.Any, is_chat: bool) -> "Parameters":
        """Checks the JSON value of a body.

        Raises:
            http.RequestError: A field is unsupported or malformed. The message
                names the field and the allowed values.
        """
        if not isinstance(body, dict):
            raise reject("body", "an object")
        allowed = COMMON_FIELDS + (CHAT_FIELDS if is_chat else TEXT_FIELDS)
        for name in body:
            if name not in allowed:
                fields = ", ".join(sorted(allowed))
                raise reject(name, f"the fields {fields}", "is not supported")
        model = body.get("model")
        if not isinstance(model, str) or not model:
            raise reject("model", "the name of a model")
        if body.get("n") not in (None, 1) or body.get("n") is True:
            raise reject("n", "1")
        options = body.get("stream_options")
        _check_options(options)
        _check_user(body.get("user"))
        prompt = (
            _render_messages(body.get("messages"))
            if is_chat
            else _parse_prompt(body.get("prompt"))
        )
        return cls(
            model,
            is_chat,
            prompt,
            _parse_max_tokens(body),
            _parse_int(body, "seed", -SEED_LIMIT, SEED_LIMIT - 1),
            _parse_stops(body.get("stop")),
            _parse_bool(body.get("stream"), "stream"),
            _parse_bool(
                (options or {}).get("include_usage"),
                "stream_options.include_usage",
            ),
            _render_sampling(body),
        )

    def hash_content(self) -> int:
        """Returns a signed 64-bit hash of prompt and engine parameters."""
        values = (self.model, self.max_tokens, self.seed, self.sampling)
        text = "".join(f"{value}\0" for value in values).encode()
        data = text + b",".join(str(token).encode() for token in self.prompt)
        digest = hashlib.blake2b(data, digest_size=8).digest()
        return int.from_bytes(digest, "big", signed=True)


def reject(place: str, allowed: str, fault: str = "is not allowed"):
    """Returns the error of a field, which names the allowed values."""
    return http.RequestError(
        verdicts.make_not_run_failure(
            "bad-request", f"{place} {fault}; allowed: {allowed}."
        )
    )


def _parse_int(body, name: str, lowest: int, highest: int | None):
    value = body.get(name)
    if value is None:
        return None
    if (
        not isinstance(value, int)
        or isinstance(value, bool)
        or value < lowest
        or (highest is not None and value > highest)
    ):
        end = "" if highest is None else f" to {highest}"
        raise reject(name, f"a whole number from {lowest}{end}")
    return value


def _render_sampling(body) -> str:
    values = {}
    for name, (lowest, highest) in SAMPLING_FIELDS.items():
        value = body.get(name)
        if value is None:
            continue
        is_number = isinstance(value, int | float) and value is not True
        if not is_number or value is False or not lowest <= value <= highest:
            raise reject(name, f"a number from {lowest} to {highest}")
        values[name] = value
    return json.dumps(values) if values else ""


def _parse_max_tokens(body) -> int | None:
    old = _parse_int(body, "max_tokens", 1, None)
    new = _parse_int(body, "max_completion_tokens", 1, None)
    if old is not None and new is not None and old != new:
        raise reject("max_completion_tokens", "the value of max_tokens")
    return old if new is None else new


def _parse_bool(value, place: str) -> bool:
    if value is not None and not isinstance(value, bool):
        raise reject(place, "true, false")
    return bool(value)


def _parse_stops(value) -> tuple[str, ...]:
    if value is None:
        return ()
    stops = value if isinstance(value, list) else [value]
    if len(stops) > STOP_LIMIT:
        raise reject("stop", f"at most {STOP_LIMIT} strings")
    for number, stop in enumerate(stops):
        if not isinstance(stop, str) or not 0 < len(stop) <= STOP_LENGTH:
            place = f"stop[{number}]" if isinstance(value, list) else "stop"
            raise reject(place, f"a string of 1 to {STOP_LENGTH} characters")
    return tuple(stops)


def _check_options(options) -> None:
    if options is None:
        return
    if not isinstance(options, dict):
        raise reject("stream_options", "an object")
    for name in options:
        if name != "include_usage":
            place = f"stream_options.{name}"
            raise reject(place, "include_usage", "is not supported")


def _check_user(user) -> None:
    if user is not None and not isinstance(user, str):
        raise reject("user", "a string")


def _parse_prompt(value) -> tuple[int, ...]:
    if isinstance(value, str) and value:
        return tuple(tokens.encode(value))
    if isinstance(value, list) and value:
        for number, token in enumerate(value):
            if (
                not isinstance(token, int)
                or isinstance(token, bool)
                or not 0 <= token < tokens.BYTE_COUNT
            ):
                allowed = f"a token from 0 to {tokens.BYTE_COUNT - 1}"
                raise reject(f"prompt[{number}]", allowed)
        return tuple(value)
    raise reject("prompt", "a string or a list of tokens, not empty")


def _render_messages(messages) -> tuple[int, ...]:
    """Returns the prompt of a chat, a line "role: content" per message."""
    if not isinstance(messages, list) or not messages:
        raise reject("messages", "a list of messages, not empty")
    lines = []
    for number, message in enumerate(messages):
        place = f"messages[{number}]"
        if not isinstance(message, dict):
            raise reject(place, "an object")
        for name in message:
            if name not in ("role", "content", "name"):
                allowed = "the fields role, content, name"
                raise reject(f"{place}.{name}", allowed, "is not supported")
        if message.get("role") not in ROLES:
            raise reject(f"{place}.role", ", ".join(ROLES))
        content = _join_content(message.get("content"), place)
        lines.append(f"{message['role']}: {content}\n")
    return tuple(tokens.encode("".join(lines) + "assistant:"))


def _join_content(content, place: str) -> str:
    if isinstance(content, str):
        return content
    if not isinstance(content, list):
        raise reject(f"{place}.content", "a string or a list of text parts")
    texts = []
    for number, part in enumerate(content):
        if (
            not isinstance(part, dict)
            or part.get("type") != "text"
            or not isinstance(part.get("text"), str)
        ):
            allowed = 'an object {"type": "text", "text": a string}'
            raise reject(f"{place}.content[{number}]", allowed)
        texts.append(part["text"])
    return "".join(texts)
