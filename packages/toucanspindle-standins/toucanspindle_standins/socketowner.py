"""Finds the process at the other end of a loopback connection through Linux's /proc.

All loopback connections come from 127.0.0.1, so the peer address doesn't identify the node that
connects.  The owner of the peer's socket does: its inode is looked up in /proc/net/tcp, and then
among the open files of the registered processes.
"""

import os
from pathlib import Path
from typing import Final

from toucanspindle_core.hostport import HostPort

TCP_TABLE: Final = Path("/proc/net/tcp")
UNKNOWN_SOURCE: Final = ""


class SocketOwners:
    """Maps connections to source names by the process ids registered for each source."""

    def __init__(self) -> None:
        """Create a table without registered sources."""
        self._pids: dict[str, list[int]] = {}

    def register(self, pids: dict[str, list[int]]) -> None:
        """Replace the process ids of all sources."""
        self._pids = dict(pids)

    def source_of(self, peer: HostPort, link: HostPort) -> str:
        """Return the source that connected from `peer` to `link`, or "" if it is unknown."""
        if not self._pids:
            return UNKNOWN_SOURCE
        inode = _socket_inode(peer, link)
        if not inode:
            return UNKNOWN_SOURCE
        wanted = f"socket:[{inode}]"
        for source, pids in self._pids.items():
            if any(_has_open_file(pid, wanted) for pid in pids):
                return source
        return UNKNOWN_SOURCE


def _socket_inode(local: HostPort, remote: HostPort) -> str:
    wanted = (_proc_net_tcp_address(local), _proc_net_tcp_address(remote))
    for line in TCP_TABLE.read_text(encoding="ascii").splitlines()[1:]:
        fields = line.split()
        if (fields[1], fields[2]) == wanted:
            return fields[9]
    return ""


def _proc_net_tcp_address(address: HostPort) -> str:
    octets = [int(part) for part in address.ip.split(".")]
    return "".join(f"{octet:02X}" for octet in reversed(octets)) + f":{address.port:04X}"


def _has_open_file(pid: int, wanted: str) -> bool:
    folder = f"/proc/{pid}/fd"
    try:
        return any(_read_link(f"{folder}/{name}") == wanted for name in os.listdir(folder))
    except OSError:
        return False


def _read_link(path: str) -> str:
    try:
        return os.readlink(path)
    except OSError:
        return ""
