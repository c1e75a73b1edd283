"""The retries that one host was granted within the window of the retry budget, for new brokers."""

from collections import deque
from typing import Final

AGE_STEP_S: Final = 0.5  # Ages are told in steps of this, rounded down.


class RecentRetries:
    """Counts granted retries by service and time; times are in seconds of the host's clock."""

    def __init__(self, window_s: float) -> None:
        """Create a table that remembers retries for `window_s` seconds."""
        self._window_s = window_s
        self._granted: dict[str, deque[tuple[int, int]]] = {}  # (time in steps, count)

    def record(self, service: str, now: float) -> None:
        """Record a retry that is granted now."""
        granted = self._granted.setdefault(service, deque())
        step = int(now / AGE_STEP_S)
        if granted and granted[-1][0] == step:
            granted[-1] = (step, granted[-1][1] + 1)
        else:
            granted.append((step, 1))
        self._expire(granted, now)

    def of_service(self, service: str, now: float) -> list[list[int]]:
        """Return the retries of a service in the window, as [count, age in ms]."""
        granted = self._granted.get(service, deque())
        self._expire(granted, now)
        return [
            [count, max(0, int((now - (step + 1) * AGE_STEP_S) * 1000))] for step, count in granted
        ]

    def _expire(self, granted: deque[tuple[int, int]], now: float) -> None:
        while granted and now - (granted[0][0] + 1) * AGE_STEP_S > self._window_s:
            granted.popleft()
