"""Tells whether this node's messages reach the others: the guard against one-way cuts.

A completed round trip that this node began proves that it was heard.  The scope is the other
failure domains, or the own one if it is the only one with members.  When every probe into the
scope has failed for `window_s` and at least `MIN_FAILURES` times, the node is cut off: UNHEARD
if requests from the scope still reach it, DETACHED if nothing does.

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


class Hearing(Enum):
    """How this node stands towards the rest of the fleet."""

    HEARD = "heard"
    UNHEARD = "unheard"
    DETACHED = "detached"


class HeardTracker:
    """Keeps the times of round trips and of requests received, by failure domain."""

    def __init__(self, own_domain: str, probe_interval_s: float, clock: Clock) -> None:
        self._own_domain = own_domain
        self._window_s = max(MIN_WINDOW_S, WINDOW_PROBES * probe_interval_s)
        self._clock = clock
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
        if failures < MIN_FAILURES or self._any_recent(self._round_trip_at, scope):
            return Hearing.HEARD
        if self._any_recent(self._request_at, scope):
            return Hearing.UNHEARD
        return Hearing.DETACHED

    def _any_recent(self, times: dict[str, float], domains: set[str]) -> bool:
        limit = self._clock.now() - self._window_s
        return any(times.get(domain, float("-inf")) >= limit for domain in domains)
