"""Ranks the hosts that may keep the quota of an account, and tells since when this one is first.

The first hosts in rank are computed once for each account and kept until a host is added or tells
another capacity.  A host that dies or returns changes no rank: hashing all hosts for each account
again would cost about 1 ms an account at 690 hosts.
"""

from typing import Final

from toucanspindle_entry.hosts.brokerchoice import rank_brokers
from toucanspindle_entry.hosts.livehosts import LiveHosts

# If all of them are dead, hosts decide alone.
MAX_RANK: Final = 16
MAX_ACCOUNTS: Final = 8192  # Beyond that, the ranks computed first are forgotten.


class KeeperRanking:
    """The ranks of the known hosts for each account, and when hosts were last alive."""

    def __init__(self, hosts: LiveHosts) -> None:
        """Create a ranking of the hosts in a table and of the table's own host."""
        self._hosts = hosts
        self._own_ip = hosts.own.ip
        self._revision = -1
        self._capacities: dict[str, float] = {}
        self._ranked: dict[str, list[str]] = {}
        self._alive: set[str] = set()
        self._alive_until: dict[str, float] = {}

    def update(self, now: float) -> None:
        """Take over changes of the hosts; call this regularly and before each use."""
        if self._revision == self._hosts.revision:
            return
        self._revision = self._hosts.revision
        alive = set(self._hosts.alive_ips())
        for ip in self._alive - alive:
            self._alive_until[ip] = now
        self._alive = alive
        capacities = self._hosts.capacities()
        if capacities != self._capacities:
            self._capacities = capacities
            self._ranked.clear()

    @property
    def alive_count(self) -> int:
        """Number of live hosts, this one included, as of the last update."""
        return len(self._alive) + 1

    def is_alive(self, ip: str) -> bool:
        """Return whether a host is alive; this one is."""
        return ip == self._own_ip or ip in self._alive

    def ranked(self, account: str) -> list[str]:
        """Return the first known hosts in rank, this one included, dead or alive."""
        ranked = self._ranked.get(account)
        if ranked is None:
            if len(self._ranked) >= MAX_ACCOUNTS:
                del self._ranked[next(iter(self._ranked))]
            key = f"account {account}"
            ranked = rank_brokers(key, self._capacities, self._capacities)[:MAX_RANK]
            self._ranked[account] = ranked
        return ranked

    def before_own(self, account: str) -> list[str]:
        """Return the hosts ranked before this one."""
        ranked = self.ranked(account)
        return ranked[: ranked.index(self._own_ip)] if self._own_ip in ranked else ranked

    def first_since(self, account: str) -> float | None:
        """Return since when no host before this one is alive, or None if one is."""
        before = self.before_own(account)
        if any(ip in self._alive for ip in before):
            return None
        return max(
            (self._alive_until.get(ip, float("-inf")) for ip in before), default=float("-inf")
        )

    def was_alive_within(self, ip: str, seconds: float, now: float) -> bool:
        """Return whether a host is alive, or was so within the last seconds."""
        return ip in self._alive or now - self._alive_until.get(ip, float("-inf")) <= seconds
