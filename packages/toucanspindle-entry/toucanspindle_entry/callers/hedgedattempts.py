"""Runs a second attempt beside a slow first one, and cancels the one that is no longer needed.

Only a request that may run more than once can be hedged: `RepeatableRequest` is the only way to
start a second attempt, and it exists for idempotent routes alone.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from toucanspindle_entry.model import Route

Result = TypeVar("Result")


@dataclass(frozen=True)
class RepeatableRequest:
    """A request of an idempotent route; made by `of_route` only."""

    route: Route

    @classmethod
    def of_route(cls, route: Route) -> "RepeatableRequest | None":
        """Return a repeatable request, or None if requests of the route may run only once."""
        return cls(route) if route.idempotent else None


@dataclass(frozen=True)
class HedgedAttempts(Generic[Result]):
    """The attempts of one repeatable request.

    `second` returns None if no second attempt is allowed.  `is_final` tells whether a result ends
    the request.
    """

    request: RepeatableRequest
    first: Callable[[], Awaitable[Result]]
    second: Callable[[], Awaitable[Result | None]]
    is_final: Callable[[Result], bool]

    async def _run_first(self) -> Result | None:
        return await self.first()

    async def run(self, delay_s: float) -> list[Result]:
        """Run the first attempt, and the second one too if the first takes longer than `delay_s`.

        Returns the results of the attempts that have ended.  The last one is final, or both
        attempts have ended.  An attempt that is still running then is cancelled, and a second
        final result of the same moment is dropped.
        """
        tasks: list[asyncio.Future[Result | None]] = [asyncio.ensure_future(self._run_first())]
        results: list[Result] = []
        try:
            done, running = await asyncio.wait(tasks, timeout=delay_s)
            if running:
                tasks.append(asyncio.ensure_future(self.second()))
                done, running = set(), set(tasks)
            while True:
                for task in (task for task in tasks if task in done):
                    result = task.result()
                    if result is not None and self.is_final(result):
                        return [*results, result]
                    results += [result] if result is not None else []
                if not running:
                    return results
                done, running = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
