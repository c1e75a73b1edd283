"""Spreads the news of a request that broke its connection to a target.

The node that sees it tells the proxies of the service directly, and its next attempt waits for
that, so that a request that crashes targets can't reach a third one through another node.  When
crashes are frequent a target is sick rather than a request: then only the regular reports
spread them.
"""

from typing import Final

from toucanspindle_core import control_pb2 as pb
from toucanspindle_core.clock import Clock
from toucanspindle_core.quarantine import QuarantineTable
from toucanspindle_core.ratelimit import RateLimiter

from toucanspindle_node.evidencewire import parse_quarantine, quarantine_message
from toucanspindle_node.fleetstate import FleetState
from toucanspindle_node.issuerlink import IssuerCaller

MAX_PEERS: Final = 48
NOTICES_PER_S: Final = 5


class CrashNotices:
    """Sends and takes notices; safe for use by several threads."""

    def __init__(
        self, incarnation: str, quarantine: QuarantineTable, caller: IssuerCaller, clock: Clock
    ) -> None:
        """Create the notices of the proxy `incarnation`."""
        self._incarnation = incarnation
        self._quarantine = quarantine
        self._caller = caller
        self._limiter = RateLimiter(NOTICES_PER_S, 1, clock)

    def send(self, service: str, fingerprint: str, state: FleetState) -> None:
        """Tell the other proxies of the service, and take in what they know."""
        if not self._limiter.try_take(service):
            return
        addresses = self._peers(service, state)
        for entry in self._known(service, fingerprint):
            answers = self._caller.tell_crash(addresses, entry)
            self._quarantine.merge([parse_quarantine(answer) for answer in answers])

    def take(self, entry: pb.QuarantineEntry) -> list[pb.QuarantineEntry]:
        """Take note of a crash at another node; return what was known of the same request."""
        known = self._known(entry.service, entry.fingerprint)
        self._quarantine.merge([parse_quarantine(entry)])
        return known

    def _known(self, service: str, fingerprint: str) -> list[pb.QuarantineEntry]:
        return [
            quarantine_message(entry)
            for entry in self._quarantine.entries(service)
            if entry.fingerprint == fingerprint
        ]

    def _peers(self, service: str, state: FleetState) -> list[str]:
        members = [m for m in state.members if m.state in {pb.LIVE, pb.LEAVING}]
        if len(members) > MAX_PEERS and state.policy is not None:
            # Those that are leaving still serve callers that were sent to them before.
            leaving = [m for m in members if m.state == pb.LEAVING]
            members = state.assigned(state.policy.services[service]) + leaving[:MAX_PEERS]
        return [m.proxy_control_address for m in members if m.incarnation != self._incarnation]
