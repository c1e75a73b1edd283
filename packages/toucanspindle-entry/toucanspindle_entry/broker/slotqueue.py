"""The queue of a slot broker: requests that wait for a free slot, by priority.

Within a priority, requests that can still meet their latency goal come first, then the order is
that of arrival.  The order is kept in a sorted list, and whether a request can still meet its goal
is evaluated when it arrives and again in `reorder`, so that the work for a grant or an attempt
report doesn't grow with the queue.
"""

from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from toucanspindle_entry.broker.slottypes import SlotRequest

# Priority, whether the latency goal is missed, time of arrival, slot request id.
_Key = tuple[int, bool, float, str]


@dataclass
class PendingRequest:
    """A slot request without a grant; times are in seconds of the broker's clock."""

    slot_request: SlotRequest
    arrived_at: float
    deadline_at: float
    goal_at: float


class SlotQueue:
    """Pending requests in the order in which they are granted slots."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._keys: dict[str, _Key] = {}
        self._pending: dict[str, PendingRequest] = {}
        self._order: list[_Key] = []
        self._by_priority: Counter[int] = Counter()
        self._retries = 0

    def __len__(self) -> int:
        """Return the number of pending requests."""
        return len(self._order)

    def __contains__(self, slot_request_id: str) -> bool:
        """Return whether a request is in the queue."""
        return slot_request_id in self._pending

    def __iter__(self) -> Iterator[PendingRequest]:
        """Iterate over the requests in order; the queue must not change meanwhile."""
        return (self._pending[key[-1]] for key in self._order)

    @property
    def retries(self) -> int:
        """Number of pending requests that are retries."""
        return self._retries

    def count_ahead_of(self, priority: int) -> int:
        """Return the number of requests of the same or a more urgent priority."""
        return sum(count for other, count in self._by_priority.items() if other <= priority)

    def add(self, pending: PendingRequest, now: float, work_s: float) -> None:
        """Add a request; `work_s` is the mean time of an attempt."""
        slot_request = pending.slot_request
        key = _sort_key(pending, now, work_s)
        self._keys[slot_request.id] = key
        self._pending[slot_request.id] = pending
        insort(self._order, key)
        self._by_priority[slot_request.priority] += 1
        self._retries += slot_request.is_retry

    def remove(self, slot_request_id: str) -> PendingRequest | None:
        """Remove and return a request, or return None if it isn't in the queue."""
        pending = self._pending.pop(slot_request_id, None)
        if pending is None:
            return None
        del self._order[bisect_left(self._order, self._keys.pop(slot_request_id))]
        self._by_priority[pending.slot_request.priority] -= 1
        self._retries -= pending.slot_request.is_retry
        return pending

    def remove_host(self, host: str) -> None:
        """Remove the requests of a host."""
        ids = [id_ for id_, pending in self._pending.items() if pending.slot_request.host == host]
        for slot_request_id in ids:
            self.remove(slot_request_id)

    def remove_due_before(self, time: float) -> list[PendingRequest]:
        """Remove and return the requests whose deadline is before `time`."""
        due = [pending for pending in self if pending.deadline_at < time]
        for pending in due:
            self.remove(pending.slot_request.id)
        return due

    def reorder(self, now: float, work_s: float) -> None:
        """Move the requests that miss their latency goal by now behind the others."""
        for slot_request_id, pending in self._pending.items():
            self._keys[slot_request_id] = _sort_key(pending, now, work_s)
        self._order = sorted(self._keys.values())


def _sort_key(pending: PendingRequest, now: float, work_s: float) -> _Key:
    slot_request = pending.slot_request
    misses_goal = pending.goal_at - now < work_s / 2
    return slot_request.priority, misses_goal, pending.arrived_at, slot_request.id
