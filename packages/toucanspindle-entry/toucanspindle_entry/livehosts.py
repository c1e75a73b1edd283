"""Which other entry hosts are alive, by probes of one host at a time.

Each round a host probes one other, chosen at random; an answer proves that the path works both
ways.  A host that misses a few probes in a row is suspected, and asked for no slots until it
answers again.  A host that hears no answers from anybody takes itself for cut off and suspects
nobody else.  Hosts announce their own start and end to all.
"""

import random
from dataclasses import dataclass
from typing import Final

from toucanspindle_entry.model import HostEntry

PROBE_MISSES: Final = 3  # With 3% of packets lost, three misses in a row mean a dead path.
DEAF_S: Final = 1.5  # No answer for so long while probing: this host is cut off.
PROBE_DEAD_SHARE: Final = 0.25  # Share of the probes that go to hosts which don't answer.


@dataclass
class PeerRecord:
    """What is known of one other host; times are in seconds of the owner's clock."""

    entry: HostEntry
    misses: int = 0
    leaving: bool = False
    answered_at: float = 0.0

    @property
    def is_alive(self) -> bool:
        """Whether the host is taken to serve."""
        return not self.leaving and self.misses < PROBE_MISSES


class LiveHosts:
    """The other hosts, by IP number."""

    def __init__(self, own: HostEntry, rng: random.Random) -> None:
        """Create a table that knows only this host."""
        self.own = own
        self._rng = rng
        self._peers: dict[str, PeerRecord] = {}
        self._answered_at = 0.0

    @property
    def peers(self) -> dict[str, PeerRecord]:
        """All known hosts but this one."""
        return self._peers

    def alive(self) -> list[str]:
        """Return the IP numbers of the other hosts that are taken to serve."""
        return [ip for ip, peer in self._peers.items() if peer.is_alive]

    def is_deaf(self, now: float) -> bool:
        """Return whether nobody answers this host."""
        return bool(self._peers) and now - self._answered_at > DEAF_S

    def learn(self, entry: HostEntry, now: float) -> bool:
        """Take note of a host; return whether it or its incarnation is new."""
        if entry.ip == self.own.ip:
            return False
        known = self._peers.get(entry.ip)
        if known is not None and known.entry.incarnation == entry.incarnation:
            return False
        self._peers[entry.ip] = PeerRecord(entry, answered_at=now)
        return True

    def answered(self, ip: str, now: float) -> bool:
        """Note a probe's answer; return whether the host was taken for dead."""
        self._answered_at = now
        peer = self._peers.get(ip)
        if peer is None:
            return False
        was_alive = peer.is_alive
        peer.misses = 0
        peer.answered_at = now
        return not was_alive and peer.is_alive

    def missed(self, ip: str, now: float) -> bool:
        """Note a probe without an answer; return whether the host is now taken for dead."""
        peer = self._peers.get(ip)
        if peer is None or self.is_deaf(now):
            return False
        was_alive = peer.is_alive
        peer.misses += 1
        return was_alive and not peer.is_alive

    def accuse(self, ip: str, by: str) -> bool:
        """Take another host's word that a host is dead; return whether that is news."""
        peer = self._peers.get(ip)
        accuser = self._peers.get(by)
        if peer is None or accuser is None or not accuser.is_alive or not peer.is_alive:
            return False
        # One more miss of our own, or one more accuser, settles it.
        peer.misses = max(peer.misses + 1, PROBE_MISSES - 1)
        return not peer.is_alive

    def set_leaving(self, ip: str, incarnation: str) -> bool:
        """Note that a host is ending; return whether that is news."""
        peer = self._peers.get(ip)
        if peer is None or peer.leaving or peer.entry.incarnation != incarnation:
            return False
        peer.leaving = True
        return True

    def probe_target(self) -> str | None:
        """Return the host to probe next."""
        alive = self.alive()
        dead = [ip for ip, peer in self._peers.items() if not peer.is_alive]
        if dead and (not alive or self._rng.random() < PROBE_DEAD_SHARE):
            return self._rng.choice(dead)
        return self._rng.choice(alive) if alive else None
