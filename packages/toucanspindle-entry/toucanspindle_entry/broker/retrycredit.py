"""Credit for retries, created once by the host that takes a request from its caller.

The bound on retries is for the sum over all hosts, so credit may not depend on how many brokers a
service has.  A host creates

- `ratio` credit for each request of a caller, however often it asks for a slot for it;
- its own part of the burst, that is 1 / n in a fleet of n hosts, at a constant rate.

It hands the credit to the broker with a slot request, and never twice: what is sent to a broker
that doesn't answer is lost.  Brokers spend what they were given, see `fleetretrybudget`.
"""

from typing import Final

# Share of the burst that all hosts create in a window.  The rest covers what hosts and brokers have
# saved up before the window, and the randomness of credit below one retry.
BURST_SHARE: Final = 0.4
MAX_ACCRUAL_S: Final = 2.0  # A host that sends no request for longer loses the rest of its part.


class RetryCreditSource:
    """The credit that one host creates for one service."""

    def __init__(self, ratio: float, burst: float, window_s: float) -> None:
        """Create a source without credit.

        A window of `window_s` seconds allows the fleet `ratio` retries per request plus `burst`.
        """
        self._ratio = ratio
        self._burst_per_s = burst * BURST_SHARE / window_s
        self._taken_at: float | None = None

    def take(self, starts_request: bool, fleet_size: int | None, now: float) -> float:
        """Return the credit created since the last call; the caller must hand it on or drop it.

        `starts_request` is true for the first slot request of a caller's request.  `fleet_size` is
        the number of hosts, or None while it isn't known; there is no part of the burst then.
        """
        credit = self._ratio if starts_request else 0.0
        if fleet_size is not None:
            if self._taken_at is not None:
                accrual_s = min(now - self._taken_at, MAX_ACCRUAL_S)
                credit += self._burst_per_s * accrual_s / fleet_size
            self._taken_at = now
        return credit
