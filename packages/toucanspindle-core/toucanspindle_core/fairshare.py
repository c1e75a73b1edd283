"""Weighted fair order of waiting items: start-time fair queueing over classes, then accounts.

Each class has a virtual time that grows by 1 / weight per item taken, and within a class each
account has one that grows by 1.  The item taken next is the oldest of the account with the
least virtual time in the class with the least virtual time.  A class or account that was idle
starts at the present virtual time, so that it can't save up a share; one that comes back at once
keeps its own time, so that it can't jump the queue by never having two items in it.
"""

from collections import deque
from typing import Final, Generic, TypeVar

from toucanspindle_core.policy import AccountClass

MAX_IDLE_TIMES: Final = 4096

T = TypeVar("T")


class _VirtualTimes:
    """Virtual times by key; a key that isn't kept stands at the present time."""

    def __init__(self) -> None:
        self._now = 0.0
        self._times: dict[str, float] = {}

    def start(self, key: str) -> float:
        return max(self._now, self._times.get(key, 0.0))

    def advance(self, key: str, amount: float) -> None:
        self._now = self.start(key)
        self._times[key] = self._now + amount
        if len(self._times) > MAX_IDLE_TIMES:
            self._times = {k: t for k, t in self._times.items() if t > self._now}


class _ClassQueue(Generic[T]):
    """Waiting items of one class by account; no account without items is kept."""

    def __init__(self, weight: int) -> None:
        self.weight = weight
        self.accounts: dict[str, deque[T]] = {}

    def backlog(self, added: int = 0) -> float:
        return (sum(map(len, self.accounts.values())) + added) / self.weight

    def waiting(self, account: str) -> int:
        return len(self.accounts.get(account, ()))


class FairQueue(Generic[T]):
    """Waiting items in weighted fair order.

    Invariant: a class or account without waiting items isn't kept, `len` counts all items.
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
        """Add an item of an account."""
        group = self._classes.get(account_class.name)
        if group is None:
            group = self._classes[account_class.name] = _ClassQueue(account_class.weight)
        group.accounts.setdefault(account, deque()).append(item)
        self._size += 1

    def pop(self) -> T | None:
        """Take the item that is next in fair order, or None when there is none."""
        if not self._classes:
            return None
        name = min(self._classes, key=self._class_times.start)
        group = self._classes[name]
        times = self._account_times.setdefault(name, _VirtualTimes())
        account = min(group.accounts, key=times.start)
        item = group.accounts[account].popleft()
        self._class_times.advance(name, 1 / group.weight)
        times.advance(account, 1)
        self._after_removal(name, account)
        return item

    def push_out(self, account: str, account_class: AccountClass) -> T | None:
        """Remove the newest item of the class and account that hold most over their share.

        Returns None when no one holds more than the newcomer's class and account would.
        """
        if not self._classes:
            return None
        name = max(self._classes, key=lambda key: self._classes[key].backlog())
        group = self._classes[name]
        victim = max(group.accounts, key=group.waiting)
        if not self._has_better_claim(account, account_class, name, victim):
            return None
        item = group.accounts[victim].pop()
        self._after_removal(name, victim)
        return item

    def remove(self, account: str, account_class: AccountClass, item: T) -> bool:
        """Remove an item that gave up waiting; return whether it was still here."""
        group = self._classes.get(account_class.name)
        items = group.accounts.get(account) if group else None
        if items is None or item not in items:
            return False
        items.remove(item)
        self._after_removal(account_class.name, account)
        return True

    def _has_better_claim(
        self, account: str, account_class: AccountClass, victim_class: str, victim: str
    ) -> bool:
        own: _ClassQueue[T] | None = self._classes.get(account_class.name)
        if own is None:
            own = _ClassQueue(account_class.weight)
        if account_class.name == victim_class:
            return own.waiting(account) + 1 < own.waiting(victim)
        return own.backlog(added=1) < self._classes[victim_class].backlog()

    def _after_removal(self, class_name: str, account: str) -> None:
        self._size -= 1
        group = self._classes[class_name]
        if not group.accounts[account]:
            del group.accounts[account]
        if not group.accounts:
            del self._classes[class_name]
