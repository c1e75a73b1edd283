"""Calls the platform's blocking client from the agent's event loop.

Short calls run on a small dedicated thread pool.  A watch blocks its thread for seconds, so each
watch runs on its own daemon thread, which doesn't delay the exit of the process.
"""

import asyncio
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Final, TypeVar

from logbook import Logger
from toucanspindle_core.errors import ConflictError, PlatformError
from toucanspindle_core.platformclient import PlatformClient, StoredObject

from toucanspindle_node.eventcounters import AgentCounters, AgentEvent

CALL_THREADS: Final = 3

T = TypeVar("T")
_log = Logger("agent.platform")


class AsyncPlatformClient:
    """Calls the platform on worker threads and tracks whether it is reachable."""

    def __init__(self, base_url: str, counters: AgentCounters) -> None:
        self._client = PlatformClient(base_url)
        self._counters = counters
        self._threads = ThreadPoolExecutor(CALL_THREADS, thread_name_prefix="platform")
        self._reachable = True

    @property
    def reachable(self) -> bool:
        """Whether the platform answered the last call; True before the first call."""
        return self._reachable

    def close(self) -> None:
        """Abandon running calls and close idle connections."""
        self._threads.shutdown(wait=False, cancel_futures=True)
        self._client.close()

    async def call(self, call: Callable[[PlatformClient], T]) -> T:
        """Run a short call and return its result.

        Raises what the call raises; PlatformError if the platform can't be reached.
        """
        loop = asyncio.get_running_loop()
        return await self._await_and_record(loop.run_in_executor(self._threads, call, self._client))

    async def watch(self, kind: str, name: str, after: int, wait_s: float) -> StoredObject | None:
        """Wait up to `wait_s` seconds for a version above `after`, as `PlatformClient.watch` does.

        Raises what `PlatformClient.watch` raises.
        """
        loop = asyncio.get_running_loop()
        future: asyncio.Future[StoredObject | None] = loop.create_future()

        def run() -> None:
            try:
                found = self._client.watch(kind, name, after, wait_s)
            except Exception as error:
                _resolve_from_thread(loop, future, None, error)
            else:
                _resolve_from_thread(loop, future, found, None)

        threading.Thread(target=run, name="platform-watch", daemon=True).start()
        return await self._await_and_record(future)

    async def _await_and_record(self, work: "asyncio.Future[T]") -> T:
        self._counters.count(AgentEvent.PLATFORM_CALL)
        try:
            result = await work
        except ConflictError:
            self._set_reachable(True)
            raise
        except PlatformError:
            self._counters.count(AgentEvent.PLATFORM_FAILURE)
            self._set_reachable(False)
            raise
        self._set_reachable(True)
        return result

    def _set_reachable(self, reachable: bool) -> None:
        if reachable != self._reachable:
            _log.notice(
                "platform is {}",
                "reachable again" if reachable else "unreachable; serving the last known state",
            )
        self._reachable = reachable


def _resolve_from_thread(
    loop: asyncio.AbstractEventLoop,
    future: "asyncio.Future[StoredObject | None]",
    result: StoredObject | None,
    error: Exception | None,
) -> None:
    def resolve() -> None:
        if future.done():
            return
        if error is not None:
            future.set_exception(error)
        else:
            future.set_result(result)

    try:
        loop.call_soon_threadsafe(resolve)
    except RuntimeError:
        pass  # the loop was closed during the watch
