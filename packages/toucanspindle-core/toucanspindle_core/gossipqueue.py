"""Updates that wait to be piggybacked on pings, each for a bounded number of messages.

An update is sent with as many messages as it takes for nearly every node to hear of it by push
gossip (a multiple of the logarithm of the fleet's size); anti-entropy carries it to the rest.
Updates sent least often go first, so that fresh ones aren't starved by old ones.
"""

import math
from dataclasses import dataclass
from typing import Final

from toucanspindle_core.control_pb2 import Member

TRANSMISSIONS_PER_DECADE: Final = 2
MIN_TRANSMISSIONS: Final = 4
MAX_UPDATES_PER_MESSAGE: Final = 8


@dataclass
class _Waiting:
    member: Member
    sent: int
    order: int


class GossipQueue:
    """Keeps the latest update of each incarnation until it was sent often enough.

    Invariant: at most one update per incarnation waits; it's the one pushed last.
    """

    def __init__(self) -> None:
        self._waiting: dict[str, _Waiting] = {}
        self._pushed = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def push(self, member: Member) -> None:
        """Queue an update in place of an older one of the same incarnation."""
        self._pushed += 1
        self._waiting[member.incarnation] = _Waiting(member, 0, self._pushed)

    def drop(self, incarnation: str) -> None:
        """Forget the update of an incarnation, if one waits."""
        self._waiting.pop(incarnation, None)

    def take(self, fleet_size: int, limit: int = MAX_UPDATES_PER_MESSAGE) -> list[Member]:
        """Return the updates for the next message and count them as sent once more."""
        chosen = sorted(self._waiting.values(), key=lambda w: (w.sent, -w.order))[:limit]
        enough = transmissions(fleet_size)
        for waiting in chosen:
            waiting.sent += 1
            if waiting.sent >= enough:
                del self._waiting[waiting.member.incarnation]
        return [waiting.member for waiting in chosen]


def transmissions(fleet_size: int) -> int:
    """Return how often one node sends an update in a fleet of this size."""
    return MIN_TRANSMISSIONS + TRANSMISSIONS_PER_DECADE * math.ceil(math.log10(fleet_size + 1))
