"""An asyncio event loop in its own thread, for the control traffic of the threaded proxy."""

import asyncio
import threading
from collections.abc import Coroutine
from concurrent.futures import Future
from typing import Any, TypeVar

T = TypeVar("T")


class EventLoopThread:
    """Runs coroutines that other threads submit."""

    def __init__(self, name: str) -> None:
        """Create the loop without starting it; `name` is the name of its thread."""
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def close(self) -> None:
        """Cancel the running tasks and end the thread."""
        self.call(self._cancel_all(), 5.0)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def submit(self, coroutine: Coroutine[Any, Any, T]) -> "Future[T]":
        """Start a coroutine and return its future, which any other thread may wait for."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop)

    def call(self, coroutine: Coroutine[Any, Any, T], timeout_s: float) -> T:
        """Run a coroutine and return its result; cancel it and raise TimeoutError on timeout."""
        future = self.submit(coroutine)
        try:
            return future.result(timeout_s)
        except TimeoutError:
            future.cancel()
            raise

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()

    @staticmethod
    async def _cancel_all() -> None:
        others = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
