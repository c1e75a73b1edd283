"""How long other hosts take to answer, so that a slow answer isn't taken for none.

A sender that resends, or turns to another host, after a fixed time adds load just when answers are
late because of load.  Waits therefore follow the last round trip of each host, within bounds.  They
also follow the mean over all hosts: if that is long, this host or its link is behind itself.
"""

from typing import Final

ROUND_TRIP_MARGIN: Final = 2.0  # A wait is at least this multiple of a round trip.
MEAN_SMOOTHING: Final = 0.2  # Smoothing factor of the mean; averages about five answers.


class RoundTrips:
    """The last round trip of each host, by IP address, and their mean."""

    def __init__(self) -> None:
        """Create a table without hosts."""
        self._last_s: dict[str, float] = {}
        self._mean_s = 0.0

    def record(self, ip: str, round_trip_s: float) -> None:
        """Record that a host took `round_trip_s` seconds to answer."""
        self._last_s[ip] = round_trip_s
        self._mean_s += MEAN_SMOOTHING * (round_trip_s - self._mean_s)

    def wait_s(self, ip: str, least_s: float, most_s: float) -> float:
        """Return how long to wait for an answer of a host, in seconds."""
        round_trip_s = max(self._last_s.get(ip, 0.0), self._mean_s)
        return max(least_s, min(most_s, ROUND_TRIP_MARGIN * round_trip_s))
