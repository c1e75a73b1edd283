"""Limits the open connections of callers, and sheds those that do least for their descriptors.

Above the limit each new connection takes the place of another one.  First go those whose last
response has been sent, then those that haven't sent a complete request, then idle ones, then those
whose callers don't read their responses; within each of these, the one that has been so longest.
A connection whose request is being handled is never shed: if there are only such, the new one is
closed.  No request of a connection that is shed is being run, apart from responses that are already
being sent.  Each operation takes constant time, also while connections come at a high rate.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Final, Protocol

from logbook import Logger

from toucanspindle_entry.callers.workturns import WorkTurns
from toucanspindle_entry.model import CallerLimits

LOG_PERIOD_S: Final = 10.0

log = Logger("callers")


class ConnectionPhase(IntEnum):
    """What a connection does, in the order in which connections are shed."""

    CLOSING = 0  # The last response has been sent.
    READING = 1  # No complete request yet, or a part of the next one.
    IDLE = 2  # Between two requests.
    BLOCKED = 3  # The caller doesn't read its responses.
    BUSY = 4  # A request is being handled; never shed.


class Sheddable(Protocol):
    """A connection in a table."""

    def abort(self) -> None:
        """Close at once."""
        ...


class ConnectionTable:
    """The open connections of one or several ports, with a limit; None is no limit."""

    def __init__(
        self,
        name: str,
        limit: int | None,
        now: Callable[[], float],
        on_shed: Callable[[str, str], None] = lambda _name, _phase: None,
    ) -> None:
        """Create an empty table; `on_shed` gets its name and the phase of a connection it sheds."""
        self.name = name
        self._limit = limit
        self._now = now
        self._on_shed = on_shed
        # A plain dict would scan the entries that have left it to find the first one.
        self._by_phase: list[OrderedDict[Sheddable, None]] = [
            OrderedDict() for _ in ConnectionPhase
        ]
        self._phases: dict[Sheddable, ConnectionPhase] = {}
        self._logged_at = float("-inf")

    def __len__(self) -> int:
        return len(self._phases)

    def add(self, connection: Sheddable) -> None:
        """Add a new connection; above the limit shed one, which may be the new one."""
        self._phases[connection] = ConnectionPhase.READING
        self._by_phase[ConnectionPhase.READING][connection] = None
        if self._limit is not None and len(self._phases) > self._limit:
            self._shed(connection)

    def set_phase(self, connection: Sheddable, phase: ConnectionPhase) -> None:
        """Record what a connection does now."""
        old_phase = self._phases.get(connection)
        if old_phase is None or old_phase is phase:
            return
        del self._by_phase[old_phase][connection]
        self._phases[connection] = phase
        self._by_phase[phase][connection] = None

    def remove(self, connection: Sheddable) -> None:
        """Remove a connection, if it is still there."""
        phase = self._phases.pop(connection, None)
        if phase is not None:
            del self._by_phase[phase][connection]

    def _shed(self, new: Sheddable) -> None:
        victim = next(
            (
                connection
                for phase in ConnectionPhase
                if phase is not ConnectionPhase.BUSY
                for connection in self._by_phase[phase]
                if connection is not new
            ),
            new,
        )
        phase = self._phases[victim]
        self.remove(victim)
        self._on_shed(self.name, phase.name.lower())
        now = self._now()
        if now - self._logged_at >= LOG_PERIOD_S:
            self._logged_at = now
            log.warning(
                "event=connections_shed ports={} limit={} phase={}",
                self.name,
                self._limit,
                phase.name.lower(),
            )
        victim.abort()


@dataclass(frozen=True)
class CallerPort:
    """What the connections of a port have in common.

    `limits` are those of its requests, or None for those of the plan in force.  Without `turns`,
    the work for one connection in a turn of the event loop isn't limited.
    """

    table: ConnectionTable = field(
        default_factory=lambda: ConnectionTable("unlimited", None, lambda: 0.0)
    )
    limits: CallerLimits | None = None
    turns: WorkTurns | None = None
