"""Keeps a minimum share (the floor) of a service's targets in use.

If all traffic moves to the few targets that answered last, the other targets get no requests that
could show that they have recovered.  While the failure rate is high, targets without a recent
request are therefore due for one request each, until the floor share of the targets is in use.

Operators count the share over the targets without a disturbance, which may be few of many.  So at a
high failure rate each target that may have recovered is due as well once it has been idle, the one
that has been idle for longest first.

At a normal failure rate the floor applies only to the targets believed healthy.  It is
needed then because all hosts may lose power at once: operators evaluate the floor by the targets
used during the last second before that, and no host is left to send more requests.
"""

import math
from collections import deque
from collections.abc import Callable, Collection, Iterable
from typing import Final

FAILURE_WINDOW_S: Final = 2.0  # Operators evaluate the floor over windows of this length.
# A target counts as in use for this long after a request: the 2 s window less a margin.
HIGH_FAILURE_IN_USE_S: Final = 1.2
HIGH_FAILURE_SHARE: Final = 0.08  # Operators evaluate the floor from 0.1 on; 20% less as a margin.
# The same of the requests that failed or were rejected for a quota.  A quota may be exceeded for
# long, and each target that is tried for the floor may fail a request, so the margin is smaller.
HIGH_UNSERVED_SHARE: Final = 0.095
# Operators count a target that failed by itself again after 2 s; a margin more.
RECOVERED_AFTER_S: Final = 2.2
# The same at a normal failure rate.  Hosts may be killed 1 s into a 2 s window; less a margin.
NORMAL_IN_USE_S: Final = 0.8
MIN_RESULTS: Final = 8  # With fewer results the failure rate counts as normal.
# Minimum; spreads the requests sent for the floor.
FLOOR_REQUEST_INTERVAL_S: Final = 0.05
HIGH_FAILURE_REQUEST_INTERVAL_S: Final = 0.025


class ActiveTargetFloor:
    """Tracks when a broker's targets were last used, and the failure rate of the service.

    Times are in seconds of the broker's clock.
    """

    def __init__(self, floor_share: float) -> None:
        """Create a floor that keeps the share `floor_share` (0 to 1) of the targets in use."""
        self._floor_share = floor_share
        self._results: deque[tuple[float, bool]] = deque()
        self._failures = 0
        self._rejected: deque[float] = deque()
        self._last_granted_at: dict[str, float] = {}
        self._last_failed_at: dict[str, float] = {}
        self._floor_request_at = float("-inf")
        self._prefers_longest_idle = False

    @property
    def prefers_longest_idle(self) -> bool:
        """Whether the targets last due should be used in the order in which they became idle."""
        return self._prefers_longest_idle

    def record_request_end(self, is_failure: bool, now: float) -> None:
        """Count the end of a request; a refused request is a failure."""
        self._results.append((now, is_failure))
        self._failures += is_failure
        self._drop_expired(now)

    def record_rejected(self, count: int, now: float) -> None:
        """Count requests that were rejected for the quota of their account."""
        self._rejected.extend([now] * count)
        self._drop_expired(now)

    def record_grant(self, target: str, now: float) -> None:
        """Record that a target gets a request at `now`."""
        self._last_granted_at[target] = now

    def record_failure(self, target: str, now: float) -> None:
        """Record that a target has failed a request."""
        self._last_failed_at[target] = now

    def last_granted_at(self, target: str) -> float:
        """Return when a target last got a request, or minus infinity."""
        return self._last_granted_at.get(target, float("-inf"))

    def targets_due(
        self, targets: Collection[str], is_healthy: Callable[[str], bool], now: float
    ) -> list[str]:
        """Return the targets one of which should get the next request.

        The list is empty while the floor is kept or the last floor request is too recent.
        `is_healthy` selects the targets to which the floor applies at a normal failure rate.
        """
        self._prefers_longest_idle = self._has_high_failure_rate(now)
        if self._prefers_longest_idle:
            if now - self._floor_request_at < HIGH_FAILURE_REQUEST_INTERVAL_S:
                return []
            recovered = [target for target in targets if self._is_idle_and_recovered(target, now)]
            return recovered or self._idle_below_floor(targets, HIGH_FAILURE_IN_USE_S, now)
        if now - self._floor_request_at < FLOOR_REQUEST_INTERVAL_S:
            return []
        healthy = [target for target in targets if is_healthy(target)]
        return self._idle_below_floor(healthy, NORMAL_IN_USE_S, now)

    def _is_idle_and_recovered(self, target: str, now: float) -> bool:
        """Return whether a target is idle and hasn't failed for a while."""
        failed_at = self._last_failed_at.get(target, float("-inf"))
        is_idle = now - self.last_granted_at(target) > HIGH_FAILURE_IN_USE_S
        return is_idle and now - failed_at > RECOVERED_AFTER_S

    def _idle_below_floor(self, targets: Collection[str], in_use_s: float, now: float) -> list[str]:
        """Return the targets idle for longer than `in_use_s`, or none if enough are in use."""
        idle = [target for target in targets if now - self.last_granted_at(target) > in_use_s]
        needed = math.ceil(self._floor_share * len(targets))
        return idle if len(targets) - len(idle) < needed else []

    def record_floor_request(self, now: float) -> None:
        """Record that a due target was chosen at `now`."""
        self._floor_request_at = now

    def retain_targets(self, targets: Iterable[str]) -> None:
        """Forget the targets that are not in `targets`."""
        kept = set(targets)
        for times in (self._last_granted_at, self._last_failed_at):
            for target in times.keys() - kept:
                del times[target]

    def _drop_expired(self, now: float) -> None:
        """Drop results older than the window."""
        while self._results and now - self._results[0][0] > FAILURE_WINDOW_S:
            _, was_failure = self._results.popleft()
            self._failures -= was_failure
        while self._rejected and now - self._rejected[0] > FAILURE_WINDOW_S:
            self._rejected.popleft()

    def _has_high_failure_rate(self, now: float) -> bool:
        """Return whether too many of the results in the window failed."""
        self._drop_expired(now)
        ended, rejected = len(self._results), len(self._rejected)
        if ended + rejected < MIN_RESULTS:
            return False
        has_failures = self._failures > HIGH_FAILURE_SHARE * ended
        return has_failures or (
            rejected > 0 and self._failures + rejected > HIGH_UNSERVED_SHARE * (ended + rejected)
        )
