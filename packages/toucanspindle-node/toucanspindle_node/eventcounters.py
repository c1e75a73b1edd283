"""Event counters of one agent, exported as one metric with an `event` label.

`metricsexporter.py` adds the gauges and serves both.
"""

from enum import StrEnum
from typing import Final

from aioprometheus import Counter, Registry

METRIC_NAME: Final = "toucan_agent_events_total"


class AgentEvent(StrEnum):
    """The events that an agent counts; the values are the metric's labels."""

    PING_SENT = "ping_sent"
    PING_FAILED = "ping_failed"
    PING_INDIRECT = "ping_indirect"
    SUSPECTED = "suspected"
    PING_REFUSED = "ping_refused"
    REFUSED_UNKNOWN = "refused_unknown_incarnation"
    REFUSED_OUTDATED = "refused_outdated_incarnation"
    REFUSED_MALFORMED = "refused_malformed"
    EXCHANGE = "exchange"
    REACHABILITY_LOST = "unheard"
    CONNECTED = "connected"
    CALL_FAILED = "call_failed"
    PLATFORM_CALL = "platform_call"
    PLATFORM_FAILURE = "platform_failure"
    CONFIG_APPLIED = "config_applied"
    CONFIG_REFUSED = "config_refused"
    CONFIG_INCOMPLETE = "config_incomplete"
    HEAD_OUTDATED = "head_behind"
    NOTICE_SENT = "notice_sent"
    BUNDLE_FETCHED = "bundle_fetched"
    STATE_SENT = "state_sent"
    EVIDENCE_SENT = "evidence_sent"
    EVIDENCE_DROPPED = "evidence_dropped"
    EJECTIONS_PULLED = "ejections_pulled"


class AgentCounters:
    """Counts events in `registry`, which a metrics server exposes."""

    def __init__(self) -> None:
        self.registry = Registry()
        help_text = "Events of the agent since its start."
        self._counter = Counter(METRIC_NAME, help_text, registry=self.registry)
        self._totals: dict[AgentEvent, int] = dict.fromkeys(AgentEvent, 0)
        for event in AgentEvent:
            self._counter.set({"event": event.value}, 0)

    def count(self, event: AgentEvent, amount: int = 1) -> None:
        """Add `amount` to the count of an event."""
        self._totals[event] += amount
        self._counter.add({"event": event.value}, amount)

    def total(self, event: AgentEvent) -> int:
        """Return the count of an event since the start."""
        return self._totals[event]

    def summary(self) -> str:
        """Return the nonzero counters as "event=count" pairs for a log line."""
        return " ".join(f"{event}={count}" for event, count in self._totals.items() if count)
