"""Frames: length-prefixed thrift structs on a byte stream."""

import dataclasses
import struct

from peridotyard_core import buffers as buffers_module
from peridotyard_core import errors
from thrift.protocol import TCompactProtocol
from thrift.protocol import TProtocol
from thrift.transport import TTransport
import trio

from peridotyard_daemon.wire.generated import ttypes

HEADER = struct.Struct(">I")
FRAME_LIMIT_BYTES = 16 << 20
RECEIVE_BYTES = 1 << 16
# Frames that are handled between two checkpoints. One read has up to 13,000 of
# them, and each takes some 10 microseconds and its handler.
FRAMES_PER_CHECKPOINT = 32
# Largest number of elements of a list, which is that of the token ids of the
# largest request body. An element takes one byte of a frame and up to 90 bytes
# of memory.
LIST_LIMIT = 1 << 24
# Time from the first byte of a frame to its last. It lets the largest frame
# pass at 280 KB per second.
FRAME_TIMEOUT_S = 60.0


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of the frames of one connection.

    Attributes:
        frame_bytes: Largest payload of a frame, bytes.
        list_length: Largest number of elements of a list or map.
        receive_bytes: Largest number of bytes of one read.
    """

    frame_bytes: int = FRAME_LIMIT_BYTES
    list_length: int = LIST_LIMIT
    receive_bytes: int = RECEIVE_BYTES


class CodecMissingError(errors.PeridotyardError):
    """The accelerated codec of thrift is not installed."""


class FrameError(errors.PeridotyardError):
    """A frame is malformed or exceeds the size limit."""


def require_codec() -> None:
    """Checks that the accelerated codec can be loaded.

    The one in pure Python is about 18 times slower, which would become visible
    only under load.

    Raises:
        CodecMissingError: The extension module is missing.
    """
    try:
        from thrift.protocol import fastbinary  # noqa: F401, PLC0415
    except ImportError as error:
        raise CodecMissingError(
            "thrift was installed without its C extension; install a C compiler"
            " and run: pip install --force-reinstall --no-binary thrift thrift"
        ) from error


def encode(frame: ttypes.Frame) -> bytes:
    """Returns an encoded frame with its length prefix.

    Raises:
        FrameError: The frame is larger than `FRAME_LIMIT_BYTES`, or a value
            cannot be encoded in its field.
    """
    buffer = TTransport.TMemoryBuffer()
    try:
        frame.write(
            TCompactProtocol.TCompactProtocolAccelerated(buffer, fallback=False)
        )
    except (TypeError, ValueError, OverflowError, AttributeError) as error:
        raise FrameError(f"frame not encoded: {error}") from error
    payload = buffer.getvalue()
    if len(payload) > FRAME_LIMIT_BYTES:
        raise FrameError(
            f"frame of {len(payload)} bytes exceeds {FRAME_LIMIT_BYTES} bytes"
        )
    return HEADER.pack(len(payload)) + payload


def decode(payload: bytes, list_length: int = LIST_LIMIT) -> ttypes.Frame:
    """Decodes the payload of a frame, without its length prefix.

    Args:
        payload: The payload.
        list_length: Largest number of elements of a list or map.

    Raises:
        FrameError: The payload is not a frame.
    """
    frame = ttypes.Frame()
    transport = TTransport.TMemoryBuffer(payload)
    try:
        frame.read(
            TCompactProtocol.TCompactProtocolAccelerated(
                transport, container_length_limit=list_length, fallback=False
            )
        )
    # The C extension raises built-in exceptions for some malformed input.
    except (
        TProtocol.TProtocolException,
        TTransport.TTransportException,
        EOFError,
        TypeError,
        ValueError,
        OverflowError,
        MemoryError,
    ) as error:
        raise FrameError(f"malformed frame: {error}") from error
    return frame


class FrameReader:
    """Reads the frames of one connection, owned by the connection.

    Attributes:
        limits: Limits of the next frames.
    """

    def __init__(
        self,
        stream: trio.abc.ReceiveStream,
        notify_data=None,
        limits: Limits = Limits(),
        buffers: buffers_module.Buffers | None = None,
    ):
        """Reads from the stream.

        Args:
            stream: The byte stream.
            notify_data: Called with the number of bytes of each read, also
                before a frame is complete.
            limits: Limits of the frames.
            buffers: Incomplete frames of all connections; None if they have no
                common limit.
        """
        self.limits = limits
        self._stream = stream
        self._notify_data = notify_data
        self._buffers = buffers
        self._buffer = bytearray()
        self._unchecked_frames = 0

    async def receive(self) -> ttypes.Frame | None:
        """Returns the next frame, or None at the end of the stream.

        Raises:
            FrameError: A frame is malformed or too large, took too long or was
                given up, or the stream ended within one.
            trio.BrokenResourceError: The connection failed.
        """
        self._unchecked_frames += 1
        if self._unchecked_frames > FRAMES_PER_CHECKPOINT:
            self._unchecked_frames = 0
            await trio.lowlevel.checkpoint()
        if not self._buffer and not await self._receive_some():
            return None
        payload = self._extract_payload()
        if payload is None:
            payload = await self._receive_rest()
        return decode(payload, self.limits.list_length)

    async def _receive_rest(self) -> bytes:
        """Returns the payload of a frame that has begun to arrive."""
        with trio.move_on_after(FRAME_TIMEOUT_S) as scope:
            if self._buffers is None:
                return await self._receive_payload(lambda: None)
            buffer = self._buffers.open(scope.cancel, trio.current_time())
            try:
                return await self._receive_payload(
                    lambda: self._buffers.resize(
                        buffer, len(self._buffer), trio.current_time()
                    )
                )
            finally:
                self._buffers.close(buffer)
        size = len(self._buffer)
        # The connection may keep this reader for some time.
        self._buffer.clear()
        raise FrameError(
            f"frame incomplete after {FRAME_TIMEOUT_S:g} s, or given up for"
            f" memory, with {size} bytes"
        )

    async def _receive_payload(self, notify_size) -> bytes:
        while True:
            notify_size()
            if not await self._receive_some():
                raise FrameError("the stream ended within a frame")
            payload = self._extract_payload()
            if payload is not None:
                return payload

    async def _receive_some(self) -> bool:
        """Receives bytes; returns False at the end of the stream."""
        data = await self._stream.receive_some(self.limits.receive_bytes)
        self._unchecked_frames = 0
        if data and self._notify_data is not None:
            self._notify_data(len(data))
        self._buffer += data
        return bool(data)

    def _extract_payload(self) -> bytes | None:
        if len(self._buffer) < HEADER.size:
            return None
        (length,) = HEADER.unpack_from(self._buffer)
        if length > self.limits.frame_bytes:
            raise FrameError(
                f"frame of {length} bytes exceeds"
                f" {self.limits.frame_bytes} bytes"
            )
        end = HEADER.size + length
        if len(self._buffer) < end:
            return None
        payload = bytes(self._buffer[HEADER.size : end])
        del self._buffer[:end]
        return payload
