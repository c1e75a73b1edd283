"""Shares the turns of the event loop between caller connections.

Parsing a slice of bytes and starting a request are one step each.  In one turn of the event loop a
connection does STEPS_PER_CONNECTION at most, and all together STEPS_PER_TURN.  What is left waits
for a later turn.  Connections that did nothing lately go first; the others take turns, and do some
steps in each turn of the event loop.  So a caller with one request waits for few steps of callers
that send many, and the loop gets to its timers and other sockets in between.
"""

import asyncio
from collections import deque
from typing import Final, Protocol

from toucanspindle_core.clock import Clock

STEPS_PER_TURN: Final = 32
STEPS_PER_CONNECTION: Final = 4  # An ordinary request takes two.
# Of each turn, for connections that did something lately, even if others wait.
BUSY_STEPS_PER_TURN: Final = 8
RECENT_S: Final = 0.05


class Worker(Protocol):
    """A connection that asks for turns."""

    def work(self, max_steps: int) -> int:
        """Do up to some steps, and return how many were done."""
        ...

    @property
    def has_work(self) -> bool:
        """Whether a step could be done now."""
        ...


class WorkTurns:
    """The turns of the connections of a process; `deferred` counts the waits for a later turn."""

    def __init__(self, clock: Clock) -> None:
        """Create turns that nobody waits for."""
        self.deferred = 0
        self._clock = clock
        self._rested: deque[Worker] = deque()
        self._busy: deque[Worker] = deque()
        self._waiting: set[Worker] = set()
        self._worked_at: dict[Worker, float] = {}
        self._steps_left = STEPS_PER_TURN
        self._is_scheduled = False

    def request(self, worker: Worker) -> bool:
        """Let a connection work, now if nobody waits before it, or else in a later turn.

        Returns whether it has worked.
        """
        if worker in self._waiting:
            return False
        is_rested = self._clock.now() - self._worked_at.get(worker, -RECENT_S) >= RECENT_S
        has_turn = self._steps_left > 0 and not self._rested and (is_rested or not self._busy)
        if has_turn:
            self._let_work(worker)
            if not worker.has_work:
                return True
            is_rested = False
        self.deferred += 1
        self._waiting.add(worker)
        (self._rested if is_rested else self._busy).append(worker)
        self._schedule()
        return has_turn

    def forget(self, worker: Worker) -> None:
        """Remove a connection that has ended."""
        self._worked_at.pop(worker, None)
        if worker in self._waiting:
            self._waiting.discard(worker)  # Its entry in a queue is skipped.

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        self._is_scheduled = False
        self._steps_left = STEPS_PER_TURN - BUSY_STEPS_PER_TURN
        self._serve(self._rested)
        self._steps_left += BUSY_STEPS_PER_TURN
        self._serve(self._busy)
        if self._waiting:
            self._schedule()

    def _serve(self, queue: deque[Worker]) -> None:
        for _ in range(len(queue)):
            if self._steps_left <= 0:
                return
            worker = queue.popleft()
            if worker not in self._waiting:
                continue
            self._waiting.discard(worker)
            if worker.has_work:
                self._let_work(worker)
            if worker.has_work and worker not in self._waiting:
                self._waiting.add(worker)
                self._busy.append(worker)

    def _let_work(self, worker: Worker) -> None:
        self._worked_at[worker] = self._clock.now()
        self._steps_left -= worker.work(min(STEPS_PER_CONNECTION, self._steps_left))
        self._schedule()  # The next turn begins with all steps.
