"""Request hedging: runs a second attempt in parallel to a slow first one.

The first attempt runs on a thread of this pool.  If it hasn't ended after the hedging delay, the
second attempt starts in parallel, provided that the retry budget allows it.  The first final result
counts.  The other attempt isn't cancelled, and its result still counts as evidence on its target.
"""

from collections.abc import Callable
from concurrent.futures import FIRST_COMPLETED, Future, ThreadPoolExecutor, wait

from toucanspindle_node.targetclient import AttemptResult

AttemptFunction = Callable[[], AttemptResult | None]


class HedgePool:
    """A thread pool for attempts that may be hedged.

    Invariant: at most two attempts run for one call of `run_hedged`.
    """

    def __init__(self, threads: int) -> None:
        """Create a pool of up to `threads` threads, which are started on demand."""
        self._executor = ThreadPoolExecutor(threads, thread_name_prefix="hedge")

    def close(self) -> None:
        """Wait for the running attempts, and end the threads."""
        self._executor.shutdown()

    def run_hedged(
        self,
        primary: AttemptFunction,
        hedge: AttemptFunction,
        delay_s: float,
        is_final: Callable[[AttemptResult], bool],
    ) -> None:
        """Run `primary`, and after `delay_s` seconds also `hedge`, until one result is final.

        `hedge` returns None when the attempt isn't allowed.  Returns once `is_final` is true for a
        result or all attempts have ended; raises the exception of an attempt.
        """
        pending: set[Future[AttemptResult | None]] = {self._executor.submit(primary)}
        done, pending = wait(pending, delay_s)
        if not done:
            pending.add(self._executor.submit(hedge))
        while pending and not any(_has_final_result(future, is_final) for future in done):
            done, pending = wait(pending, return_when=FIRST_COMPLETED)


def _has_final_result(
    future: "Future[AttemptResult | None]", is_final: Callable[[AttemptResult], bool]
) -> bool:
    result = future.result()
    return result is not None and is_final(result)
