"""Addresses as "IP:port" texts, parsed and checked in one place."""

import ipaddress
from dataclasses import dataclass


@dataclass(frozen=True, order=True)
class HostPort:
    """An IP number and a TCP port.

    Invariant: `ip` is an IP number (never a name) and 0 <= port <= 65535.
    """

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "HostPort":
        """Parse "IP:port" or "[IPv6]:port"; raise ValueError with what is allowed."""
        ip, separator, port = text.rpartition(":")
        if not separator:
            raise ValueError(f"{text!r} isn't of the form IP:port")
        ip = ip.removeprefix("[").removesuffix("]")
        try:
            ipaddress.ip_address(ip)
        except ValueError as error:
            raise ValueError(f"{ip!r} isn't an IP number (names aren't allowed)") from error
        if not port.isdecimal() or int(port) > 65535:
            raise ValueError(f"{port!r} isn't a port between 0 and 65535")
        return cls(ip, int(port))

    def __str__(self) -> str:
        """Return the "IP:port" form."""
        if ":" in self.ip:
            return f"[{self.ip}]:{self.port}"
        return f"{self.ip}:{self.port}"
