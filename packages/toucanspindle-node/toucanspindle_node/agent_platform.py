"""The platform's blocking client, called from the agent's event loop.

Short calls run on a small pool of threads of their own.  A waiting watch holds its thread for
seconds, so each runs on a daemon thread that doesn't keep the process from ending.
"""

import asyncio
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Final, TypeVar

from logbook import Logger
from toucanspindle_core.errors import ConflictError, PlatformError
from toucanspindle_core.platformclient import PlatformClient, StoredObject

from toucanspindle_node.agent_counters import AgentCounters, AgentEvent

CALL_THREADS: Final = 3

T = TypeVar("T")
_log = Logger("agent.platform")


class AgentPlatform:
    """Calls the platform off the event loop and notes whether it can be reached."""

    def __init__(self, base_url: str, counters: AgentCounters) -> None:
        self._client = PlatformClient(base_url)
        self._counters = counters
        self._threads = ThreadPoolExecutor(CALL_THREADS, thread_name_prefix="platform")
        self._reachable = True

    @property
    def reachable(self) -> bool:
        """Whether the last call was answered."""
        return self._reachable

    def close(self) -> None:
        """Abandon calls in flight and close idle connections."""
        self._threads.shutdown(wait=False, cancel_futures=True)
        self._client.close()

    async def call(self, call: Callable[[PlatformClient], T]) -> T:
        """Run a short call; raises what it raises, PlatformError when the platform is away."""
        loop = asyncio.get_running_loop()
        return await self._noted(loop.run_in_executor(self._threads, call, self._client))

    async def watch(self, kind: str, name: str, after: int, wait_s: float) -> StoredObject | None:
        """Wait for a version above `after` as `PlatformClient.watch` does."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[StoredObject | None] = loop.create_future()

        def run() -> None:
            try:
                found = self._client.watch(kind, name, after, wait_s)
            except Exception as error:
                _settle(loop, future, None, error)
            else:
                _settle(loop, future, found, None)

        threading.Thread(target=run, name="platform-watch", daemon=True).start()
        return await self._noted(future)

    async def _noted(self, work: "asyncio.Future[T]") -> T:
        self._counters.count(AgentEvent.PLATFORM_CALL)
        try:
            result = await work
        except ConflictError:
            self._note(True)
            raise
        except PlatformError:
            self._counters.count(AgentEvent.PLATFORM_FAILURE)
            self._note(False)
            raise
        self._note(True)
        return result

    def _note(self, reachable: bool) -> None:
        if reachable != self._reachable:
            _log.notice("platform is {}", "back" if reachable else "away; keeping our state")
        self._reachable = reachable


def _settle(
    loop: asyncio.AbstractEventLoop,
    future: "asyncio.Future[StoredObject | None]",
    result: StoredObject | None,
    error: Exception | None,
) -> None:
    def settle() -> None:
        if future.done():
            return
        if error is not None:
            future.set_exception(error)
        else:
            future.set_result(result)

    try:
        loop.call_soon_threadsafe(settle)
    except RuntimeError:
        pass  # the loop was closed while the watch waited
