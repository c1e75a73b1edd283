"""Queue of member updates to piggyback on pings; each is sent a bounded number of times.

An update is sent with as many messages as push gossip needs to reach nearly every node, which is a
multiple of the logarithm of the fleet's size.  Anti-entropy carries it to the remaining nodes.
Updates that were sent least often are sent first, so that old updates don't starve new ones.
"""

import math
from dataclasses import dataclass
from typing import Final

from toucanspindle_core.control_pb2 import Member

TRANSMISSIONS_PER_DECADE: Final = 2  # Per factor of 10 in the number of nodes.
MIN_TRANSMISSIONS: Final = 4
MAX_UPDATES_PER_MESSAGE: Final = 8


@dataclass
class _QueuedUpdate:
    member: Member
    sent: int
    push_number: int


class GossipQueue:
    """Keeps the latest update of each incarnation until it has been sent often enough.

    Invariant: at most one update per incarnation is queued, the one pushed last.
    """

    def __init__(self) -> None:
        self._queued: dict[str, _QueuedUpdate] = {}
        self._push_count = 0

    def __len__(self) -> int:
        return len(self._queued)

    def push(self, member: Member) -> None:
        """Queue an update; it replaces a queued one of the same incarnation."""
        self._push_count += 1
        self._queued[member.incarnation] = _QueuedUpdate(member, 0, self._push_count)

    def drop(self, incarnation: str) -> None:
        """Remove the queued update of an incarnation, if there is one."""
        self._queued.pop(incarnation, None)

    def take(self, fleet_size: int, limit: int = MAX_UPDATES_PER_MESSAGE) -> list[Member]:
        """Return at most `limit` updates for the next message and count them as sent."""
        chosen = sorted(
            self._queued.values(), key=lambda update: (update.sent, -update.push_number)
        )[:limit]
        max_sent = transmissions(fleet_size)
        for queued in chosen:
            queued.sent += 1
            if queued.sent >= max_sent:
                del self._queued[queued.member.incarnation]
        return [queued.member for queued in chosen]


def transmissions(fleet_size: int) -> int:
    """Return how many times a node sends each update in a fleet of `fleet_size` nodes."""
    return MIN_TRANSMISSIONS + TRANSMISSIONS_PER_DECADE * math.ceil(math.log10(fleet_size + 1))
