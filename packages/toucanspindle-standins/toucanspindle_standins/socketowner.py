"""Finds the process at the other end of a loopback connection, by Linux's /proc.

On loopback every connection comes from 127.0.0.1, so the address doesn't tell the fault proxy
which node connects.  The owner of the socket does: the connection's inode is looked up in
/proc/net/tcp, then among the open files of the processes that were registered.
"""

import os
from pathlib import Path
from typing import Final

from toucanspindle_core.hostport import HostPort

TCP_TABLE: Final = Path("/proc/net/tcp")
UNKNOWN_SOURCE: Final = ""


class SocketOwners:
    """Names sources by the ids of their processes."""

    def __init__(self) -> None:
        """Create a table without sources."""
        self._pids: dict[str, list[int]] = {}

    def register(self, pids: dict[str, list[int]]) -> None:
        """Replace the process ids of all sources."""
        self._pids = dict(pids)

    def source_of(self, peer: HostPort, link: HostPort) -> str:
        """Return the source that connected from `peer` to `link`, or "" when it is unknown."""
        if not self._pids:
            return UNKNOWN_SOURCE
        inode = _inode_of(peer, link)
        if not inode:
            return UNKNOWN_SOURCE
        wanted = f"socket:[{inode}]"
        for source, pids in self._pids.items():
            if any(_has_file(pid, wanted) for pid in pids):
                return source
        return UNKNOWN_SOURCE


def _inode_of(local: HostPort, remote: HostPort) -> str:
    wanted = (_proc_form(local), _proc_form(remote))
    for line in TCP_TABLE.read_text(encoding="ascii").splitlines()[1:]:
        fields = line.split()
        if (fields[1], fields[2]) == wanted:
            return fields[9]
    return ""


def _proc_form(address: HostPort) -> str:
    numbers = [int(part) for part in address.ip.split(".")]
    return "".join(f"{number:02X}" for number in reversed(numbers)) + f":{address.port:04X}"


def _has_file(pid: int, wanted: str) -> bool:
    folder = f"/proc/{pid}/fd"
    try:
        return any(_link_of(f"{folder}/{name}") == wanted for name in os.listdir(folder))
    except OSError:
        return False


def _link_of(path: str) -> str:
    try:
        return os.readlink(path)
    except OSError:
        return ""
