"""A set of asyncio tasks with one owner: cancels them together and logs their failures."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from logbook import Logger

_log = Logger("agent.tasks")


class TaskSet:
    """The running tasks of one component of the agent.

    Invariant: no task runs after `close`.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Start a coroutine as a task; an unhandled exception is logged."""
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
            _log.error("background task failed with an unhandled exception: {!r}", task.exception())
