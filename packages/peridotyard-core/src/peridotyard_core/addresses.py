"""IP addresses with ports."""

import dataclasses
import ipaddress


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
        ipaddress.ip_address(host)
        number = int(port)
        if not 0 <= number <= 65535:
            raise ValueError("port out of range")
        return cls(host, number)

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"
