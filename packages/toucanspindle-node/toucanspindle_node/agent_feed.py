"""Wakes streams to the proxy when something they carry has changed, at a bounded rate."""

import asyncio
from typing import Final

PUSH_INTERVAL_S: Final = 0.1
MEMBERS_PER_PUSH_INTERVAL: Final = 100


class StateFeed:
    """A counter of changes that streams wait on.

    Invariant: a change counted after a stream's last wait ends its next wait.
    """

    def __init__(self) -> None:
        self._version = 0
        self._waiters: set[asyncio.Future[None]] = set()

    @property
    def version(self) -> int:
        """How many changes there were."""
        return self._version

    def bump(self) -> None:
        """Count a change and wake every stream."""
        self._version += 1
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
        self._waiters.clear()

    async def wait_beyond(self, version: int) -> None:
        """Return once there were more changes than `version`."""
        while self._version <= version:
            waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiters.add(waiter)
            try:
                await waiter
            finally:
                self._waiters.discard(waiter)


def push_interval_s(members: int) -> float:
    """Return the least time between two pushes; large fleets change all the time."""
    return PUSH_INTERVAL_S * max(1.0, members / MEMBERS_PER_PUSH_INTERVAL)
