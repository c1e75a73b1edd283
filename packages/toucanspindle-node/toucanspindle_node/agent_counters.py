"""Counters of one agent: one metric with a bounded label; `agent_metrics.py` adds gauges."""

from enum import StrEnum
from typing import Final

from aioprometheus import Counter, Registry

METRIC_NAME: Final = "toucan_agent_events_total"


class AgentEvent(StrEnum):
    """What an agent counts."""

    PING_SENT = "ping_sent"
    PING_FAILED = "ping_failed"
    PING_INDIRECT = "ping_indirect"
    SUSPECTED = "suspected"
    PING_REFUSED = "ping_refused"
    REFUSED_UNKNOWN = "refused_unknown_incarnation"
    REFUSED_OUTDATED = "refused_outdated_incarnation"
    REFUSED_MALFORMED = "refused_malformed"
    EXCHANGE = "exchange"
    UNHEARD = "unheard"
    CONNECTED = "connected"
    CALL_FAILED = "call_failed"
    PLATFORM_CALL = "platform_call"
    PLATFORM_FAILURE = "platform_failure"
    CONFIG_APPLIED = "config_applied"
    CONFIG_REFUSED = "config_refused"
    CONFIG_INCOMPLETE = "config_incomplete"
    HEAD_BEHIND = "head_behind"
    NOTICE_SENT = "notice_sent"
    BUNDLE_FETCHED = "bundle_fetched"
    STATE_SENT = "state_sent"
    EVIDENCE_SENT = "evidence_sent"
    EVIDENCE_DROPPED = "evidence_dropped"
    EJECTIONS_PULLED = "ejections_pulled"


class AgentCounters:
    """Counts events; the registry is what a metrics server exposes."""

    def __init__(self) -> None:
        self.registry = Registry()
        text = "Events of the agent since its start."
        self._counter = Counter(METRIC_NAME, text, registry=self.registry)
        self._totals: dict[AgentEvent, int] = dict.fromkeys(AgentEvent, 0)
        for event in AgentEvent:
            self._counter.set({"event": event.value}, 0)

    def count(self, event: AgentEvent, amount: int = 1) -> None:
        """Count an event."""
        self._totals[event] += amount
        self._counter.add({"event": event.value}, amount)

    def total(self, event: AgentEvent) -> int:
        """Return how often an event was counted."""
        return self._totals[event]

    def summary(self) -> str:
        """Return the counters that aren't zero, for one log line."""
        return " ".join(f"{event}={count}" for event, count in self._totals.items() if count)
