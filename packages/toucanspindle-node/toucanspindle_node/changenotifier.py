"""Wakes the streams to the proxy when the agent's state changes, at a bounded rate."""

import asyncio
from typing import Final

PUSH_INTERVAL_S: Final = 0.1
MEMBERS_PER_PUSH_INTERVAL: Final = 100


class ChangeNotifier:
    """Counts changes and wakes the streams that wait for the next one.

    Invariant: a change that happens between two waits of a stream ends its second wait at once.
    """

    def __init__(self) -> None:
        self._change_count = 0
        self._waiters: set[asyncio.Future[None]] = set()

    @property
    def change_count(self) -> int:
        """The number of changes so far."""
        return self._change_count

    def notify(self) -> None:
        """Count a change and wake every stream."""
        self._change_count += 1
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
        self._waiters.clear()

    async def wait_for_change_after(self, change_count: int) -> None:
        """Return when the number of changes is greater than `change_count`."""
        while self._change_count <= change_count:
            waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiters.add(waiter)
            try:
                await waiter
            finally:
                self._waiters.discard(waiter)


def push_interval_s(member_count: int) -> float:
    """Return the minimum time between two pushes, in seconds.

    It grows with the number of members, since the state of a large fleet changes constantly.
    """
    return PUSH_INTERVAL_S * max(1.0, member_count / MEMBERS_PER_PUSH_INTERVAL)
