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
    the request; it is called once for each result.
    """

    request: RepeatableRequest
    first: Callable[[], Awaitable[Result]]
    second: Callable[[], Awaitable[Result | None]]
    is_final: Callable[[Result], bool]

    async def _run_first(self) -> Result | None:
        return await self.first()

    async def run(self, delay_s: float) -> list[Result]:
        """Run the first attempt, and the second one too if the first takes longer than `delay_s`.

        Returns the results of the attempts that have ended; a final one is the last.  The attempt
        that is then still running is cancelled.  If no result is final, both attempts have ended.
        """
        tasks: set[asyncio.Future[Result | None]] = {asyncio.ensure_future(self._run_first())}
        results: list[Result] = []
        try:
            done, running = await asyncio.wait(tasks, timeout=delay_s)
            if running:
                tasks.add(asyncio.ensure_future(self.second()))
                done, running = set(), set(tasks)
            while True:
                ended = [result for task in done if (result := task.result()) is not None]
                results += sorted(ended, key=self.is_final)
                if (ended and self.is_final(results[-1])) or not running:
                    return results
                done, running = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
