"""IP addresses with ports."""

import dataclasses
import ipaddress

MAX_PORT = 65535
PORT_DIGITS = 5


@dataclasses.dataclass(frozen=True)
class Address:
    """An IP address and a TCP or UDP port."""

    host: str
    port: int

    @classmethod
    def from_text(cls, text: str) -> "Address":
        """Parses "127.0.0.1:8080" or "[::1]:8080".

        Raises:
            ValueError: The text is not an IP address and a port.
        """
        host, separator, port = text.rpartition(":")
        if not separator:
            raise ValueError("no port")
        host = host.strip("[]")
        # The zone index of an IPv6 address may be any text.
        if not host.isascii() or not host.isprintable() or " " in host:
            raise ValueError("the host is not an IP address")
        ipaddress.ip_address(host)
        if not (port.isascii() and port.isdigit()) or len(port) > PORT_DIGITS:
            raise ValueError("the port is not a number")
        number = int(port)
        if number > MAX_PORT:
            raise ValueError("port out of range")
        return cls(host, number)

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"
