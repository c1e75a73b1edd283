"""Detects whether this node's messages reach its peers, to handle one-way network partitions.

A completed round trip that this node started proves that its messages arrive.  The tracker looks
at the other failure domains, or at its own domain if no other has members.  The node is cut off if
every probe into these domains has failed for the length of the window, and at least
`MIN_FAILED_PROBES` probes have failed.  A node that is cut off is in one of two states:

- OUTBOUND_CUT: a request from these domains arrived well after the node's last round trip, so
  messages arrive but don't leave.  The state lasts until the next round trip.  The node leaves the
  directory and still lists its peers.
- ISOLATED: no such request arrived.  Either this node receives nothing, or its peers are gone.  It
  lists only the members of its own domain, or only itself if it looked at its own domain.

During a one-way partition no new TCP connection can be opened, so requests arrive only on
connections that were open before.  `peerclients.py` therefore keeps a channel for several timeouts.
"""

from collections.abc import Iterable
from enum import Enum
from typing import Final

from toucanspindle_core.clock import Clock

WINDOW_PROBE_INTERVALS: Final = 6
MIN_WINDOW_S: Final = 1.0
MIN_FAILED_PROBES: Final = 4
LATE_REQUEST_PROBE_INTERVALS: Final = 2.5


class Reachability(Enum):
    """Whether messages pass between this node and the rest of the fleet.

    The values are metric labels.
    """

    REACHABLE = "heard"
    OUTBOUND_CUT = "unheard"
    ISOLATED = "detached"


def reachability_window_s(probe_interval_s: float) -> float:
    """Return for how many seconds every probe must have failed before a node is cut off."""
    return max(MIN_WINDOW_S, WINDOW_PROBE_INTERVALS * probe_interval_s)


class ReachabilityTracker:
    """Records round trips, failed probes and received requests by failure domain."""

    def __init__(self, own_domain: str, probe_interval_s: float, clock: Clock) -> None:
        self._own_domain = own_domain
        self._window_s = reachability_window_s(probe_interval_s)
        self._late_request_s = LATE_REQUEST_PROBE_INTERVALS * probe_interval_s
        self._clock = clock
        self._started_at = clock.now()
        self._round_trip_at: dict[str, float] = {}
        self._request_at: dict[str, float] = {}
        self._failed_probes: dict[str, int] = {}

    def record_round_trip(self, domain: str) -> None:
        """Record that a peer of the domain answered this node."""
        self._round_trip_at[domain] = self._clock.now()
        self._failed_probes[domain] = 0

    def record_failed_probe(self, domain: str) -> None:
        """Record that a peer of the domain answered neither directly nor through relays."""
        self._failed_probes[domain] = self._failed_probes.get(domain, 0) + 1

    def record_request(self, domain: str) -> None:
        """Record that a request of a peer of the domain arrived."""
        self._request_at[domain] = self._clock.now()

    def classify(self, peer_domains: Iterable[str]) -> Reachability:
        """Return the current state; `peer_domains` are the domains that have present members."""
        relevant_domains = set(peer_domains)
        relevant_domains = relevant_domains - {self._own_domain} or relevant_domains
        failed_probes = sum(self._failed_probes.get(domain, 0) for domain in relevant_domains)
        round_trip_at = self._latest_time(self._round_trip_at, relevant_domains)
        if failed_probes < MIN_FAILED_PROBES or self._clock.now() - round_trip_at < self._window_s:
            return Reachability.REACHABLE
        if (
            self._latest_time(self._request_at, relevant_domains)
            > round_trip_at + self._late_request_s
        ):
            return Reachability.OUTBOUND_CUT
        return Reachability.ISOLATED

    def _latest_time(self, times: dict[str, float], domains: set[str]) -> float:
        return max((times.get(domain, self._started_at) for domain in domains), default=0.0)
