"""A set of asyncio tasks with one owner: they end together, and none fails unseen."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from logbook import Logger

_log = Logger("agent.tasks")


class TaskSet:
    """Tasks that belong to one part of the agent.

    Invariant: after `close` none of them runs.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine; an exception that it doesn't handle is logged."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    async def close(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _finish(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error("a task of the agent failed: {!r}", task.exception())
