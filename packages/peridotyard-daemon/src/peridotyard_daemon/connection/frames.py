"""Frames: length-prefixed thrift structs on a byte stream."""

import struct

from peridotyard_core import errors
from thrift.protocol import TCompactProtocol
from thrift.protocol import TProtocol
from thrift.transport import TTransport
import trio

from peridotyard_daemon.wire.generated import ttypes

HEADER = struct.Struct(">I")
FRAME_LIMIT_BYTES = 16 << 20
RECEIVE_BYTES = 1 << 16


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


def decode(payload: bytes) -> ttypes.Frame:
    """Decodes the payload of a frame, without its length prefix.

    Raises:
        FrameError: The payload is not a frame.
    """
    frame = ttypes.Frame()
    transport = TTransport.TMemoryBuffer(payload)
    try:
        frame.read(
            TCompactProtocol.TCompactProtocolAccelerated(
                transport, fallback=False
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
    """Reads the frames of one connection, owned by the connection."""

    def __init__(self, stream: trio.abc.ReceiveStream, notify_data=None):
        """Reads from the stream.

        Args:
            stream: The byte stream.
            notify_data: Called with the number of bytes of each read, also
                before a frame is complete.
        """
        self._stream = stream
        self._notify_data = notify_data
        self._buffer = bytearray()

    async def receive(self) -> ttypes.Frame | None:
        """Returns the next frame, or None at the end of the stream.

        Raises:
            FrameError: A frame is malformed or too large, or the stream ended
                within one.
            trio.BrokenResourceError: The connection failed.
        """
        while True:
            payload = self._extract_payload()
            if payload is not None:
                return decode(payload)
            data = await self._stream.receive_some(RECEIVE_BYTES)
            if not data:
                if self._buffer:
                    raise FrameError("the stream ended within a frame")
                return None
            if self._notify_data is not None:
                self._notify_data(len(data))
            self._buffer += data

    def _extract_payload(self) -> bytes | None:
        if len(self._buffer) < HEADER.size:
            return None
        (length,) = HEADER.unpack_from(self._buffer)
        if length > FRAME_LIMIT_BYTES:
            raise FrameError(
                f"frame of {length} bytes exceeds {FRAME_LIMIT_BYTES} bytes"
            )
        end = HEADER.size + length
        if len(self._buffer) < end:
            return None
        payload = bytes(self._buffer[HEADER.size : end])
        del self._buffer[:end]
        return payload
