"""The small part of HTTP/1.1 that the stand-ins speak."""

import asyncio
import dataclasses
import socket
import struct

LINE_END = b"\r\n"
HEAD_END = b"\r\n\r\n"


class BrokenError(Exception):
    """The connection ended within a message."""


@dataclasses.dataclass(frozen=True)
class Message:
    """A request or a response.

    Attributes:
        start: The first line.
        headers: Values by lower-case name.
        body: The complete body.
    """

    start: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Returns the next head; None if the connection ends before it.

    Raises:
        BrokenError: The connection ended within the head.
    """
    try:
        data = await reader.readuntil(HEAD_END)
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise BrokenError("the connection ended within a head") from error
        return None
    except OSError as error:
        raise BrokenError(repr(error)) from error
    first, *lines = data[: -len(HEAD_END)].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(first, headers)


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Returns the next chunk of a body; the last one is empty.

    Raises:
        BrokenError: The connection ended before the end of the chunk.
    """
    try:
        size = int((await reader.readuntil(LINE_END)).split(b";")[0], 16)
        data = await reader.readexactly(size + len(LINE_END))
    except (asyncio.IncompleteReadError, OSError, ValueError) as error:
        raise BrokenError(repr(error)) from error
    return data[:size]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Returns the next message with its body; None at the end.

    Raises:
        BrokenError: The connection ended within the message.
    """
    head = await read_head(reader)
    if head is None:
        return None
    body = b""
    if head.headers.get("transfer-encoding", "").lower() == "chunked":
        while chunk := await read_chunk(reader):
            body += chunk
    else:
        try:
            length = int(head.headers.get("content-length", "0"))
            body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, OSError) as error:
            raise BrokenError(repr(error)) from error
    return dataclasses.replace(head, body=body)


def render(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Returns the bytes of a message with a length."""
    lines = [start]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + HEAD_END + body


def render_response(
    status: int, headers: dict[str, str] | None = None, body: bytes = b""
) -> bytes:
    """Returns the bytes of a response with a length."""
    return render(f"HTTP/1.1 {status} X", headers or {}, body)


def render_chunk(data: bytes) -> bytes:
    """Returns the bytes of a chunk; an empty one ends the body."""
    return f"{len(data):x}\r\n".encode() + data + LINE_END


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection, as the end of its process does."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        option = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
    writer.transport.abort()
