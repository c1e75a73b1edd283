"""Failure detector for the other entry hosts, by random probing.

Each round a host probes one other host, chosen at random.  An answer proves that the network path
works in both directions.  A host that misses several probes in a row counts as dead, and is no
broker until it answers again.  A host that gets no answers from any other host counts itself as
isolated and declares no other host dead.  Hosts announce their own start and shutdown to all hosts.
"""

import math
import random
from dataclasses import dataclass
from typing import Final

from toucanspindle_entry.model import HostEntry

DEAD_AFTER_MISSED_PROBES: Final = 3  # At 3% packet loss, three misses in a row mean a broken path.
ISOLATION_TIMEOUT_S: Final = 1.5  # Without any answer for this long, this host is isolated.
DEAD_HOST_PROBE_SHARE: Final = 0.25  # Share of the probes that go to dead or leaving hosts.


@dataclass
class PeerRecord:
    """State of one other host.

    `missed_probes` counts missed probes since the last answer.
    `last_answer_at` is in seconds of the owner's clock.  `capacity` is what the host tells of its
    capacity as a broker.
    """

    entry: HostEntry
    missed_probes: int = 0
    is_leaving: bool = False
    last_answer_at: float = 0.0
    capacity: float = 1.0

    @property
    def is_dead(self) -> bool:
        """Whether the host has missed too many probes in a row."""
        return self.missed_probes >= DEAD_AFTER_MISSED_PROBES

    @property
    def is_alive(self) -> bool:
        """Whether the host is neither leaving nor dead."""
        return not self.is_leaving and not self.is_dead


class LiveHosts:
    """Table of the other hosts by IP address, with their state."""

    def __init__(self, own: HostEntry, rng: random.Random, own_capacity: float = 1.0) -> None:
        """Create a table without other hosts; `own` describes this host."""
        self.own = own
        self.own_capacity = own_capacity
        self._rng = rng
        self._peers: dict[str, PeerRecord] = {}
        self._last_answer_at = 0.0
        self._listed_hosts: int | None = None
        self._revision = 0
        self._alive: tuple[int, list[str]] = (-1, [])

    @property
    def revision(self) -> int:
        """A number that changes whenever a host is added, becomes alive or ceases to be."""
        return self._revision

    @property
    def fleet_size(self) -> int | None:
        """Number of hosts that the store lists or that are known, or None before a listing.

        Hosts that have left count as well: a limit that is split among the hosts is kept only if
        none of them takes the fleet for smaller than it is.
        """
        if self._listed_hosts is None:
            return None
        return max(self._listed_hosts, len(self._peers) + 1)

    @property
    def possible_hosts(self) -> int:
        """Number of hosts that may be running: all known ones but those that are leaving."""
        return 1 + sum(1 for peer in self._peers.values() if not peer.is_leaving)

    @property
    def peers(self) -> dict[str, PeerRecord]:
        """All known hosts except this one, by IP address."""
        return self._peers

    def alive_ips(self) -> list[str]:
        """Return the IP addresses of the other hosts that are alive; the caller keeps the list."""
        revision, alive = self._alive
        if revision != self._revision:
            alive = [ip for ip, peer in self._peers.items() if peer.is_alive]
            self._alive = (self._revision, alive)
        return list(alive)

    def capacities(self) -> dict[str, float]:
        """Return the capacities of all hosts as brokers, by IP address."""
        capacities = {ip: peer.capacity for ip, peer in self._peers.items()}
        capacities[self.own.ip] = self.own_capacity
        return capacities

    def sample_not_alive(self, size: int) -> list[str]:
        """Return the IP addresses of up to `size` random hosts that are dead or leaving."""
        not_alive = [ip for ip, peer in self._peers.items() if not peer.is_alive]
        return self._rng.sample(not_alive, min(size, len(not_alive)))

    def is_isolated(self, now: float) -> bool:
        """Return whether this host is isolated: it knows other hosts, but none answers."""
        return bool(self._peers) and now - self._last_answer_at > ISOLATION_TIMEOUT_S

    def silence_s(self, now: float) -> float:
        """Return for how many seconds no other host has answered a probe."""
        return now - self._last_answer_at

    def add_host(self, entry: HostEntry, now: float) -> bool:
        """Add a host as alive; return whether the host or its incarnation is new.

        A known incarnation and this host itself are ignored.
        """
        if entry.ip == self.own.ip:
            return False
        previous = self._peers.get(entry.ip)
        if previous is not None and previous.entry.incarnation == entry.incarnation:
            return False
        # A restarted host has the same capacity, unless it tells another one.
        capacity = previous.capacity if previous is not None else 1.0
        self._peers[entry.ip] = PeerRecord(entry, last_answer_at=now, capacity=capacity)
        self._revision += 1
        return True

    def record_listing(self, host_count: int) -> None:
        """Record how many hosts a complete listing of the store holds, this one included."""
        self._listed_hosts = max(self._listed_hosts or 0, host_count)

    def record_probe_answer(self, ip: str, now: float) -> bool:
        """Record an answer to a probe; return whether the host was dead and is alive again."""
        self._last_answer_at = now
        peer = self._peers.get(ip)
        if peer is None:
            return False
        was_alive = peer.is_alive
        peer.missed_probes = 0
        peer.last_answer_at = now
        return self._note_change(peer, was_alive) and peer.is_alive

    def record_missed_probe(self, ip: str, now: float) -> bool:
        """Record a probe without an answer; return whether this makes the host dead.

        Misses aren't counted while this host is isolated.
        """
        peer = self._peers.get(ip)
        if peer is None or self.is_isolated(now):
            return False
        was_alive = peer.is_alive
        peer.missed_probes += 1
        return self._note_change(peer, was_alive)

    def set_capacity(self, ip: str, capacity: float) -> None:
        """Record what a host tells of its capacity as a broker; 0 if it isn't ready.

        A host that isn't ready counts as leaving.  Raises ValueError for a negative or infinite
        capacity.
        """
        if not 0 <= capacity < math.inf:
            raise ValueError(f"the capacity {capacity} of a host is negative or infinite")
        peer = self._peers.get(ip)
        if peer is None:
            return
        was_alive = peer.is_alive
        peer.is_leaving = capacity <= 0
        self._note_change(peer, was_alive)
        if capacity > 0 and capacity != peer.capacity:
            peer.capacity = capacity
            self._revision += 1

    def set_leaving(self, ip: str, incarnation: str) -> bool:
        """Mark a host as leaving; return whether this changed its state.

        A message about an earlier incarnation is ignored.
        """
        peer = self._peers.get(ip)
        if peer is None or peer.is_leaving or peer.entry.incarnation != incarnation:
            return False
        was_alive = peer.is_alive
        peer.is_leaving = True
        self._note_change(peer, was_alive)
        return True

    def choose_probe_host(self) -> str | None:
        """Return the IP address of a random host to probe, or None if no other host is known.

        Live hosts that have missed a probe are being probed again already, so they come last.
        """
        alive = self.alive_ips()
        alive = [ip for ip in alive if not self._peers[ip].missed_probes] or alive
        not_alive = self.sample_not_alive(1)
        if not_alive and (not alive or self._rng.random() < DEAD_HOST_PROBE_SHARE):
            return not_alive[0]
        return self._rng.choice(alive) if alive else None

    def _note_change(self, peer: PeerRecord, was_alive: bool) -> bool:
        """Return whether a host became alive or ceased to be."""
        if peer.is_alive == was_alive:
            return False
        self._revision += 1
        return True
