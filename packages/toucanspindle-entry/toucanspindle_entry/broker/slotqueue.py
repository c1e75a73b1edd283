"""The queue of a slot broker: requests that wait for a free slot, by priority.

The priority of the client account goes before that of the route.  Within a priority, requests that
can still meet their latency goal come first, then the accounts share by start-time fair queueing,
then the order is that of arrival.  Without accounts there are no start tags.

Start-time fair queueing: a request's start tag is the finish tag of the previous request of its
account, or the virtual time if that is later.  Its finish tag is its start tag plus the expected
work divided by the account's weight.  The virtual time is the start tag of the last request that
got a slot.  So the tags of an account that asks for more than its share run ahead, and only its own
requests wait.  Each pair of priorities has tags and a virtual time of its own, as the tags of
accounts of other priorities say nothing about the shares in it.

The order is kept in a sorted list, and whether a request can still meet its goal is evaluated when
it arrives and again in `reorder`, so that the work for a grant or an attempt report doesn't grow
with the queue.
"""

from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from toucanspindle_entry.broker.slottypes import SlotRequest

# Account priority, priority, whether the latency goal is missed, start tag, time of arrival, id.
_Key = tuple[int, int, bool, float, float, str]
# Account priority, priority, account.
_Share = tuple[int, int, str]


@dataclass
class PendingRequest:
    """A slot request without a grant; times are in seconds of the broker's clock."""

    slot_request: SlotRequest
    arrived_at: float
    deadline_at: float
    goal_at: float
    start_tag: float = 0.0
    tag_cost: float = 0.0


class SlotQueue:
    """Pending requests in the order in which they are granted slots."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._keys: dict[str, _Key] = {}
        self._pending: dict[str, PendingRequest] = {}
        self._order: list[_Key] = []
        self._by_priority: Counter[tuple[int, int]] = Counter()
        self._blocked: set[str] = set()
        self._blocked_by_priority: Counter[tuple[int, int]] = Counter()
        self._retries = 0
        self._finish_tags: dict[_Share, float] = {}
        self._virtual_times: dict[tuple[int, int], float] = {}  # By both priorities.
        self._heaviest = 0.0  # Weight since the tags were cleared.

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

    @property
    def shares_by_account(self) -> bool:
        """Whether any client account has been served recently."""
        return bool(self._finish_tags)

    def has_as_urgent(self, slot_request: SlotRequest) -> bool:
        """Return whether requests of the same or a more urgent priority are pending.

        Blocked requests don't count, as they can't use the free slots.
        """
        blocked = _count_as_urgent(self._blocked_by_priority, slot_request)
        return _count_as_urgent(self._by_priority, slot_request) > blocked

    def set_blocked(self, slot_request_id: str, is_blocked: bool) -> None:
        """Set whether only its body or its allowed targets keep a request from the free slots."""
        if is_blocked == (slot_request_id in self._blocked):
            return
        slot_request = self._pending[slot_request_id].slot_request
        priority = (slot_request.account_priority, slot_request.priority)
        if is_blocked:
            self._blocked.add(slot_request_id)
            self._blocked_by_priority[priority] += 1
        else:
            self._blocked.remove(slot_request_id)
            self._blocked_by_priority[priority] -= 1

    def count_ahead_of(self, pending: PendingRequest, now: float, work_s: float) -> int:
        """Return how many requests are granted slots before a new one.

        Without accounts these are all of the same or a more urgent priority.
        """
        if not self._uses_tags(pending.slot_request):
            return _count_as_urgent(self._by_priority, pending.slot_request)
        start_tag, _ = self._next_tags(pending.slot_request, work_s)
        return bisect_left(self._order, _sort_key(pending, start_tag, now, work_s))

    def add(self, pending: PendingRequest, now: float, work_s: float) -> None:
        """Add a request; `work_s` is the mean time of an attempt."""
        slot_request = pending.slot_request
        if self._uses_tags(slot_request):
            pending.start_tag, pending.tag_cost = self._next_tags(slot_request, work_s)
            self._finish_tags[_share_of(slot_request)] = pending.start_tag + pending.tag_cost
        key = _sort_key(pending, pending.start_tag, now, work_s)
        self._keys[slot_request.id] = key
        self._pending[slot_request.id] = pending
        insort(self._order, key)
        self._by_priority[slot_request.account_priority, slot_request.priority] += 1
        self._retries += slot_request.is_retry

    def remove(self, slot_request_id: str) -> PendingRequest | None:
        """Remove and return a request that got no slot, or return None if it isn't queued."""
        pending = self._take(slot_request_id)
        if pending is not None and pending.tag_cost:
            share = _share_of(pending.slot_request)
            finish_tag = self._finish_tags.get(share, 0.0) - pending.tag_cost
            self._finish_tags[share] = max(self._virtual_times.get(share[:2], 0.0), finish_tag)
        return pending

    def remove_granted(self, slot_request_id: str) -> None:
        """Remove a request that got a slot."""
        pending = self._take(slot_request_id)
        if pending is not None:
            self._advance(pending.slot_request, pending.start_tag)

    def charge(self, slot_request: SlotRequest, work_s: float) -> None:
        """Count a request that got a slot without waiting as its account's share."""
        if self._uses_tags(slot_request):
            start_tag, cost = self._next_tags(slot_request, work_s)
            self._finish_tags[_share_of(slot_request)] = start_tag + cost
            self._advance(slot_request, start_tag)

    def last(self) -> PendingRequest | None:
        """Return the request that is granted a slot last, or None without any."""
        return self._pending[self._order[-1][-1]] if self._order else None

    def _take(self, slot_request_id: str) -> PendingRequest | None:
        if slot_request_id not in self._pending:
            return None
        self.set_blocked(slot_request_id, False)
        pending = self._pending.pop(slot_request_id)
        del self._order[bisect_left(self._order, self._keys.pop(slot_request_id))]
        slot_request = pending.slot_request
        self._by_priority[slot_request.account_priority, slot_request.priority] -= 1
        self._retries -= slot_request.is_retry
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
        """Move the requests that miss their latency goal by now behind the others.

        Forgets the accounts that are served in full.
        """
        for slot_request_id, pending in self._pending.items():
            self._keys[slot_request_id] = _sort_key(pending, pending.start_tag, now, work_s)
        self._order = sorted(self._keys.values())
        if not self._pending:
            self._finish_tags.clear()
            self._virtual_times.clear()
            self._heaviest = 0.0

    def _uses_tags(self, slot_request: SlotRequest) -> bool:
        """Return whether a request gets a start tag; requests without an account share one."""
        return bool(slot_request.account or self._finish_tags)

    def _next_tags(self, slot_request: SlotRequest, work_s: float) -> tuple[float, float]:
        """Return the start tag of a new request, and what it adds to that for the finish tag.

        An account without a limit weighs as much as the heaviest since the tags were cleared.
        """
        weight = slot_request.account_weight if slot_request.account else 0.0
        self._heaviest = max(self._heaviest, weight)
        weight = weight or self._heaviest or 1.0
        share = _share_of(slot_request)
        virtual_time = self._virtual_times.get(share[:2], 0.0)
        start_tag = max(virtual_time, self._finish_tags.get(share, 0.0))
        return start_tag, work_s / weight

    def _advance(self, slot_request: SlotRequest, start_tag: float) -> None:
        """Move the virtual time of a granted request's priorities to its start tag."""
        priorities = (slot_request.account_priority, slot_request.priority)
        virtual_time = self._virtual_times.get(priorities, 0.0)
        self._virtual_times[priorities] = max(virtual_time, start_tag)


def _share_of(slot_request: SlotRequest) -> _Share:
    return slot_request.account_priority, slot_request.priority, slot_request.account


def _count_as_urgent(by_priority: Counter[tuple[int, int]], slot_request: SlotRequest) -> int:
    priority = (slot_request.account_priority, slot_request.priority)
    return sum(count for other, count in by_priority.items() if other <= priority)


def _sort_key(pending: PendingRequest, start_tag: float, now: float, work_s: float) -> _Key:
    slot_request = pending.slot_request
    misses_goal = pending.goal_at - now < work_s / 2
    return (
        slot_request.account_priority,
        slot_request.priority,
        misses_goal,
        start_tag,
        pending.arrived_at,
        slot_request.id,
    )
