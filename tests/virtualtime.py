"""An event loop with virtual time: timers fire in order, and no time is spent on waiting."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _AdvancingSelector(selectors.SelectSelector):
    """A selector that advances its own time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("the virtual loop waits without a timer")
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose time advances to the next timer when nothing is ready."""

    def __init__(self) -> None:
        self._advancing_selector = _AdvancingSelector()
        super().__init__(self._advancing_selector)

    def time(self) -> float:
        """Return the virtual time in seconds; it starts at 0."""
        return self._advancing_selector.now


class LoopClock:
    """The clock of the running event loop."""

    def now(self) -> float:
        """Return the time of the running loop in seconds."""
        return asyncio.get_running_loop().time()


def run_in_virtual_time(main: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine in a new event loop with virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        runner.run(main)
