"""Weighted fair queue: start-time fair queueing over classes, then over accounts.

Each class has a virtual time that increases by 1 / weight per item popped.  Within a class each
account has a virtual time that increases by 1 per item popped.  The next item popped is the oldest
one of the account with the lowest virtual time in the class with the lowest virtual time.

A class or account that was idle starts at the current virtual time, so that it can't accumulate a
share while idle.  One that returns immediately keeps its own virtual time if that is later, so that
it gains nothing by never having two items queued.
"""

from collections import deque
from typing import Final, Generic, TypeVar

from toucanspindle_core.policy import AccountClass

MAX_VIRTUAL_TIMES: Final = 4096

T = TypeVar("T")


class _VirtualTimes:
    """Virtual times by key; a key without an entry is at the current virtual time."""

    def __init__(self) -> None:
        self._current = 0.0
        self._times: dict[str, float] = {}

    def start_time(self, key: str) -> float:
        return max(self._current, self._times.get(key, 0.0))

    def advance_by(self, key: str, amount: float) -> None:
        self._current = self.start_time(key)
        self._times[key] = self._current + amount
        if len(self._times) > MAX_VIRTUAL_TIMES:
            self._times = {k: t for k, t in self._times.items() if t > self._current}


class _ClassQueue(Generic[T]):
    """Queued items of one class by account; accounts without items are removed."""

    def __init__(self, weight: int) -> None:
        self.weight = weight
        self.accounts: dict[str, deque[T]] = {}

    def weighted_backlog(self, extra_items: int = 0) -> float:
        return (sum(map(len, self.accounts.values())) + extra_items) / self.weight

    def item_count(self, account: str) -> int:
        return len(self.accounts.get(account, ()))


class FairQueue(Generic[T]):
    """Queued items in weighted fair order; not thread-safe.

    Invariant: classes and accounts without items are removed; `len` is the number of all items.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._classes: dict[str, _ClassQueue[T]] = {}
        self._class_times = _VirtualTimes()
        self._account_times: dict[str, _VirtualTimes] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, account: str, account_class: AccountClass, item: T) -> None:
        """Append an item to the queue of its account."""
        class_queue = self._classes.get(account_class.name)
        if class_queue is None:
            class_queue = self._classes[account_class.name] = _ClassQueue(account_class.weight)
        class_queue.accounts.setdefault(account, deque()).append(item)
        self._size += 1

    def pop(self) -> T | None:
        """Remove and return the next item in fair order, or return None if the queue is empty."""
        if not self._classes:
            return None
        name = min(self._classes, key=self._class_times.start_time)
        class_queue = self._classes[name]
        times = self._account_times.setdefault(name, _VirtualTimes())
        account = min(class_queue.accounts, key=times.start_time)
        item = class_queue.accounts[account].popleft()
        self._class_times.advance_by(name, 1 / class_queue.weight)
        times.advance_by(account, 1)
        self._update_after_removal(name, account)
        return item

    def evict(self, account: str, account_class: AccountClass) -> T | None:
        """Remove and return the newest item of the account that is most over its share.

        That is the account with most items in the class with the largest backlog per weight.
        Returns None, and removes nothing, unless it exceeds what the given class or account would
        have with one more item.
        """
        if not self._classes:
            return None
        name = max(self._classes, key=lambda key: self._classes[key].weighted_backlog())
        class_queue = self._classes[name]
        evicted_account = max(class_queue.accounts, key=class_queue.item_count)
        if not self._would_hold_less(account, account_class, name, evicted_account):
            return None
        item = class_queue.accounts[evicted_account].pop()
        self._update_after_removal(name, evicted_account)
        return item

    def remove(self, account: str, account_class: AccountClass, item: T) -> bool:
        """Remove an item, for example on a timeout; return whether it was still queued."""
        class_queue = self._classes.get(account_class.name)
        items = class_queue.accounts.get(account) if class_queue else None
        if items is None or item not in items:
            return False
        items.remove(item)
        self._update_after_removal(account_class.name, account)
        return True

    def _would_hold_less(
        self, account: str, account_class: AccountClass, evicted_class: str, evicted_account: str
    ) -> bool:
        """Return whether the account or class, with one more item, holds less than the evicted one.

        Within one class the items of the accounts are compared, otherwise the backlogs per weight
        of the classes.
        """
        own_queue: _ClassQueue[T] | None = self._classes.get(account_class.name)
        if own_queue is None:
            own_queue = _ClassQueue(account_class.weight)
        if account_class.name == evicted_class:
            return own_queue.item_count(account) + 1 < own_queue.item_count(evicted_account)
        return (
            own_queue.weighted_backlog(extra_items=1)
            < self._classes[evicted_class].weighted_backlog()
        )

    def _update_after_removal(self, class_name: str, account: str) -> None:
        self._size -= 1
        class_queue = self._classes[class_name]
        if not class_queue.accounts[account]:
            del class_queue.accounts[account]
        if not class_queue.accounts:
            del self._classes[class_name]
