"""Tells whether this node's messages reach the others: the guard against one-way cuts.

A completed round trip that this node began proves that it was heard.  The scope is the other
failure domains, or the own one if it is the only one with members.  When every probe into the
scope has failed for a while and at least `MIN_FAILURES` times, the node is cut off.  It is UNHEARD
if a request from the scope arrived well after its last round trip, and stays so until the next
round trip; else it is DETACHED.

Under a one-way cut no new TCP connection opens, so requests arrive only on those that were open;
`peerclients.py` therefore keeps a channel over a few timeouts.

An UNHEARD node leaves the directory and goes on naming the others.  A DETACHED node may be the
one that is deaf, or the others may be gone: it names only the members of its own domain, or
itself where that is the scope.
"""

from collections.abc import Iterable
from enum import Enum
from typing import Final

from toucanspindle_core.clock import Clock

WINDOW_PROBES: Final = 6
MIN_WINDOW_S: Final = 1.0
MIN_FAILURES: Final = 4
LATE_PROBES: Final = 2.5


class Hearing(Enum):
    """How this node stands towards the rest of the fleet."""

    HEARD = "heard"
    UNHEARD = "unheard"
    DETACHED = "detached"


def hearing_window_s(probe_interval_s: float) -> float:
    """Return for how long every probe must have failed before a node counts as cut off."""
    return max(MIN_WINDOW_S, WINDOW_PROBES * probe_interval_s)


class HeardTracker:
    """Keeps the times of round trips and of requests received, by failure domain."""

    def __init__(self, own_domain: str, probe_interval_s: float, clock: Clock) -> None:
        self._own_domain = own_domain
        self._window_s = hearing_window_s(probe_interval_s)
        self._late_s = LATE_PROBES * probe_interval_s
        self._clock = clock
        self._started_at = clock.now()
        self._round_trip_at: dict[str, float] = {}
        self._request_at: dict[str, float] = {}
        self._failures: dict[str, int] = {}

    def note_round_trip(self, domain: str) -> None:
        """Note that a peer of the domain answered this node."""
        self._round_trip_at[domain] = self._clock.now()
        self._failures[domain] = 0

    def note_failure(self, domain: str) -> None:
        """Note that a peer of the domain didn't answer, neither directly nor through others."""
        self._failures[domain] = self._failures.get(domain, 0) + 1

    def note_request(self, domain: str) -> None:
        """Note that a request of a peer of the domain was received."""
        self._request_at[domain] = self._clock.now()

    def hearing(self, peer_domains: Iterable[str]) -> Hearing:
        """Judge from what was noted; `peer_domains` are those that have members present."""
        scope = set(peer_domains)
        scope = scope - {self._own_domain} or scope
        failures = sum(self._failures.get(domain, 0) for domain in scope)
        round_trip_at = self._latest(self._round_trip_at, scope)
        if failures < MIN_FAILURES or self._clock.now() - round_trip_at < self._window_s:
            return Hearing.HEARD
        if self._latest(self._request_at, scope) > round_trip_at + self._late_s:
            return Hearing.UNHEARD
        return Hearing.DETACHED

    def _latest(self, times: dict[str, float], domains: set[str]) -> float:
        return max((times.get(domain, self._started_at) for domain in domains), default=0.0)
