"""Parsing and formatting of "IP:port" addresses."""

import ipaddress
from dataclasses import dataclass


@dataclass(frozen=True, order=True)
class HostPort:
    """An IP address and a TCP port.

    Invariant: `ip` is a numeric IPv4 or IPv6 address, never a host name; 0 <= port <= 65535.
    """

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "HostPort":
        """Return the address in "IP:port" or "[IPv6]:port"; raise ValueError if it is invalid."""
        ip, separator, port = text.rpartition(":")
        if not separator:
            raise ValueError(f"{text!r} isn't of the form IP:port")
        ip = ip.removeprefix("[").removesuffix("]")
        try:
            ipaddress.ip_address(ip)
        except ValueError as error:
            raise ValueError(f"{ip!r} isn't an IP address (host names aren't allowed)") from error
        if not port.isdecimal() or int(port) > 65535:
            raise ValueError(f"{port!r} isn't a port between 0 and 65535")
        return cls(ip, int(port))

    def __str__(self) -> str:
        """Return "IP:port", with brackets around an IPv6 address."""
        if ":" in self.ip:
            return f"[{self.ip}]:{self.port}"
        return f"{self.ip}:{self.port}"
