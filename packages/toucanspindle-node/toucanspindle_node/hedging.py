"""Runs a second attempt beside a slow first one, and takes whichever is good first.

The first attempt runs on a thread of this pool.  If it hasn't ended after the hedging delay, the
second one starts beside it, provided that the retry budget allows it.  The attempt that loses
runs to its end; its outcome still counts as evidence on its target.
"""

from collections.abc import Callable
from concurrent.futures import FIRST_COMPLETED, Future, ThreadPoolExecutor, wait

from toucanspindle_node.targetclient import AttemptResult

Attempting = Callable[[], AttemptResult | None]


class HedgePool:
    """Threads for attempts that may be hedged.

    Invariant: at most two attempts run for one call of `run`.
    """

    def __init__(self, threads: int) -> None:
        """Create a pool of `threads` threads, started when first needed."""
        self._executor = ThreadPoolExecutor(threads, thread_name_prefix="hedge")

    def close(self) -> None:
        """Wait for the attempts that still run, and end the threads."""
        self._executor.shutdown()

    def run(
        self,
        first: Attempting,
        second: Attempting,
        after_s: float,
        is_good: Callable[[AttemptResult], bool],
    ) -> None:
        """Run `first`, and `second` beside it after `after_s` seconds, until one is good.

        `second` returns None when it may not be made.  Returns once one attempt was good or all
        have ended; raises what an attempt raised.
        """
        running: set[Future[AttemptResult | None]] = {self._executor.submit(first)}
        done, running = wait(running, after_s)
        if not done:
            running.add(self._executor.submit(second))
        while running and not any(_is_good(future, is_good) for future in done):
            done, running = wait(running, return_when=FIRST_COMPLETED)


def _is_good(
    future: "Future[AttemptResult | None]", is_good: Callable[[AttemptResult], bool]
) -> bool:
    result = future.result()
    return result is not None and is_good(result)
