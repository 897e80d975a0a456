"""The arithmetic of the emulated model.

An activation is one 32-bit number per position. Every layer keeps a running
checksum of the activations it received, so that a step that is skipped,
repeated or out of order changes all later tokens.
"""

import collections.abc
import struct

_MASK = 0xFFFFFFFF
# Odd multipliers, so that each multiplication is a bijection on 32 bits.
_MIX_INPUT = 0x9E3779B1
_MIX_CHECKSUM = 0x85EBCA6B
_MIX_OUTPUT = 0xC2B2AE35
# One token in this many ends the stream.
STOP_PERIOD = 8192
FIRST_PRINTABLE = 32
PRINTABLE_COUNT = 95


def _mix(value: int) -> int:
    value = (value * _MIX_INPUT) & _MASK
    value ^= value >> 15
    value = (value * _MIX_OUTPUT) & _MASK
    return value ^ (value >> 13)


def embed(tokens: collections.abc.Iterable[int]) -> list[int]:
    """Returns the activations of token ids."""
    return [_mix(token + 1) for token in tokens]


def encode(activations: list[int]) -> bytes:
    """Returns activations in the encoding used between stages."""
    return struct.pack(f"<{len(activations)}I", *activations)


def decode(data: bytes) -> list[int]:
    """Returns the activations that `encode` encoded.

    Raises:
        ValueError: The length is not a multiple of 4 bytes.
    """
    if len(data) % 4:
        raise ValueError(f"{len(data)} bytes; allowed: a multiple of 4")
    return list(struct.unpack(f"<{len(data) // 4}I", data))


class KvCache:
    """State of the layers [first, end) for one stream, owned by its engine.

    Attributes:
        length: Number of positions run so far.
        checksums: One 32-bit checksum per layer.
    """

    def __init__(self, first: int, end: int):
        self.first = first
        self.end = end
        self.length = 0
        self.checksums = [layer + 1 for layer in range(first, end)]

    def run(self, activations: list[int]) -> list[int]:
        """Runs positions through the layers and returns their outputs."""
        outputs = []
        checksums = self.checksums
        first = self.first
        for value in activations:
            for index, checksum in enumerate(checksums):
                checksum = ((checksum ^ value) * _MIX_CHECKSUM + 1) & _MASK
                checksums[index] = checksum
                value += checksum + first + index
                value = (value * _MIX_INPUT) & _MASK
                value ^= value >> 15
            outputs.append(value)
        self.length += len(outputs)
        return outputs

    def export(self) -> bytes:
        """Returns the state for `restore` on another engine."""
        return struct.pack(
            f"<III{len(self.checksums)}I",
            self.first,
            self.end,
            self.length,
            *self.checksums,
        )

    @classmethod
    def restore(cls, data: bytes) -> "KvCache":
        """Returns a cache with the state that `export` returned.

        Raises:
            ValueError: The data is not an export.
        """
        if len(data) < 12:
            raise ValueError(f"{len(data)} bytes; allowed: at least 12")
        first, end, length = struct.unpack_from("<III", data)
        expected = 12 + 4 * (end - first)
        if end < first or len(data) != expected:
            raise ValueError(
                f"{len(data)} bytes for layers [{first}, {end}); allowed:"
                f" {expected}"
            )
        cache = cls(first, end)
        cache.length = length
        cache.checksums = list(struct.unpack_from(f"<{end - first}I", data, 12))
        return cache


def sample(output: int, seed: int, position: int) -> tuple[int, bool]:
    """Returns the token of a position and whether it ends the stream.

    Args:
        output: Output of the last layer at the position before.
        seed: Seed of the stream.
        position: Position of the token in prompt and response together.
    """
    value = _mix(output ^ _mix(seed & _MASK) ^ _mix(position))
    token = FIRST_PRINTABLE + value % PRINTABLE_COUNT
    return token, (value // PRINTABLE_COUNT) % STOP_PERIOD == 0


def generate(
    prompt: collections.abc.Sequence[int],
    seed: int,
    count: int,
    layer_count: int,
) -> list[int]:
    """Returns the expected response tokens, at most `count`."""
    cache = KvCache(0, layer_count)
    tokens: list[int] = []
    inputs = list(prompt)
    position = 0
    while len(tokens) < count:
        output = cache.run(embed(inputs))[-1]
        position += len(inputs)
        token, stops = sample(output, seed, position)
        tokens.append(token)
        if stops:
            break
        inputs = [token]
    return tokens
