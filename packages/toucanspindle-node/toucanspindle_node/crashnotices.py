"""Notifies other nodes of a request that broke its connection to a target.

The node that detects the crash notifies the other proxies of the service directly, and its next
attempt waits until they have answered.  This keeps a poison message from reaching a third target
through another node.  Frequent crashes point to a faulty target rather than a poison message, so
notices are rate limited per service; beyond the limit only the regular reports carry the crashes.
"""

from typing import Final

from toucanspindle_core import control_pb2 as pb
from toucanspindle_core.clock import Clock
from toucanspindle_core.quarantine import QuarantineTable
from toucanspindle_core.ratelimit import RateLimiter

from toucanspindle_node.evidencewire import parse_quarantine, quarantine_message
from toucanspindle_node.fleetstate import FleetState
from toucanspindle_node.issuerlink import IssuerLinkClient

MAX_PEERS: Final = 48
NOTICES_PER_S: Final = 5


class CrashNotices:
    """Sends and receives crash notices; safe for use by several threads."""

    def __init__(
        self, incarnation: str, quarantine: QuarantineTable, client: IssuerLinkClient, clock: Clock
    ) -> None:
        """Create the sender and receiver of the proxy `incarnation`."""
        self._incarnation = incarnation
        self._quarantine = quarantine
        self._client = client
        self._limiter = RateLimiter(NOTICES_PER_S, 1, clock)

    def send(self, service: str, fingerprint: str, state: FleetState) -> None:
        """Notify the other proxies of the service, and merge the entries that they return."""
        if not self._limiter.try_acquire(service):
            return
        addresses = self._peer_addresses(service, state)
        for entry in self._known_entries(service, fingerprint):
            answers = self._client.notify_crash(addresses, entry)
            self._quarantine.merge([parse_quarantine(answer) for answer in answers])

    def receive(self, entry: pb.QuarantineEntry) -> list[pb.QuarantineEntry]:
        """Record a crash at another node; return the earlier entries for the same request."""
        known_before = self._known_entries(entry.service, entry.fingerprint)
        self._quarantine.merge([parse_quarantine(entry)])
        return known_before

    def _known_entries(self, service: str, fingerprint: str) -> list[pb.QuarantineEntry]:
        return [
            quarantine_message(entry)
            for entry in self._quarantine.entries(service)
            if entry.fingerprint == fingerprint
        ]

    def _peer_addresses(self, service: str, state: FleetState) -> list[str]:
        members = [m for m in state.members if m.state in {pb.LIVE, pb.LEAVING}]
        if len(members) > MAX_PEERS and state.policy is not None:
            # Leaving nodes still serve callers that got their address from the directory before.
            leaving = [m for m in members if m.state == pb.LEAVING]
            members = state.assigned_nodes(state.policy.services[service]) + leaving[:MAX_PEERS]
        return [m.proxy_control_address for m in members if m.incarnation != self._incarnation]
