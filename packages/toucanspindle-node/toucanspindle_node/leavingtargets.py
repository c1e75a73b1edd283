"""Stores targets that are being taken out of service.

The agent learns of them from the platform's host list, from the targets' own drain signals, and
from other agents.  Each entry expires `RETENTION_S` after it was last reported, so a target that
returns is used again without an explicit message.
"""

from collections.abc import Iterable
from typing import Final

from toucanspindle_core.clock import Clock

RETENTION_S: Final = 10.0
MAX_NAMES: Final = 10_000


class LeavingTargetTable:
    """Names of leaving targets ("service/target") with their expiry times."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._expires_at: dict[str, float] = {}

    def add(self, names: Iterable[str], retention_s: float = RETENTION_S) -> bool:
        """Store names for `retention_s` seconds; return whether any of them is new."""
        expires_at = self._clock.now() + retention_s
        is_new = False
        for name in names:
            if name not in self._expires_at and len(self._expires_at) >= MAX_NAMES:
                continue
            is_new = is_new or name not in self._expires_at
            self._expires_at[name] = max(expires_at, self._expires_at.get(name, 0.0))
        return is_new

    def names(self) -> frozenset[str]:
        """Return the stored names."""
        return frozenset(self._expires_at)

    def names_of_services(self, services: Iterable[str]) -> list[str]:
        """Return the stored names of the services' targets, sorted."""
        wanted = set(services)
        return sorted(n for n in self._expires_at if n.partition("/")[0] in wanted)

    def expire(self) -> bool:
        """Remove expired names; return whether there were any."""
        now = self._clock.now()
        expired = [name for name, expires_at in self._expires_at.items() if expires_at <= now]
        for name in expired:
            del self._expires_at[name]
        return bool(expired)
