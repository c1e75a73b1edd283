"""Exports the metrics of one agent: its event counters, and gauges that each scrape updates.

Labels are states, events and services, never accounts or targets, so the number of time series is
bounded.  The services after the first `MAX_SERVICE_LABELS` by name share the label `other`.

A separate thread serves the text (`metricsserver.py`).  The text is built on the event loop, since
the components that it reads may only be used there.
"""

import asyncio
import time
from collections import Counter as OccurrenceCounter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from aioprometheus import Counter, Gauge, render
from toucanspindle_core.control_pb2 import EjectionSet, MemberState
from toucanspindle_core.hostport import HostPort

from toucanspindle_node.dependencies import AgentDependencies
from toucanspindle_node.evidencerouter import EvidenceRouter
from toucanspindle_node.judgeinterface import Judge
from toucanspindle_node.membershipprober import MembershipProber
from toucanspindle_node.metricsserver import MetricsServer
from toucanspindle_node.proxylink import ProxyLink
from toucanspindle_node.reachability import Reachability

MAX_SERVICE_LABELS: Final = 200
OTHER_SERVICES: Final = "other"
RENDER_TIMEOUT_S: Final = 5.0
ADDRESS_SETTING: Final = "agent_metrics_address"
MEMBER_STATES: Final = [state for state in MemberState.values() if state]


@dataclass(frozen=True)
class MetricsSources:
    """The components of an agent that its gauges read."""

    dependencies: AgentDependencies
    prober: MembershipProber
    proxy_link: ProxyLink
    evidence_router: EvidenceRouter
    judge: Judge


class AgentMetrics:
    """The metrics of one agent, and their server if the settings have an address for it.

    Invariant: the collectors are updated and rendered on the event loop only.
    """

    def __init__(self, sources: MetricsSources) -> None:
        """Create all gauges; the server starts in `start`."""
        self._sources = sources
        self._registry = sources.dependencies.counters.registry
        self._members_gauge = self._gauge("members", "Members known, by state.")
        self._generation_gauge = self._gauge(
            "config_generation", "Generation that the agent holds."
        )
        self._proxy_generation_gauge = self._gauge(
            "proxy_config_generation", "Generation in force at the proxy."
        )
        self._reachability_gauge = self._gauge(
            "hearing", "1 for how this node stands towards the others."
        )
        self._proxy_connected_gauge = self._gauge("proxy_connected", "Whether a proxy follows.")
        self._platform_reachable_gauge = self._gauge(
            "platform_reachable", "Whether the last call was answered."
        )
        self._ejections_gauge = self._gauge("ejections", "Ejections in force, by service.")
        self._own_ejections_gauge = self._gauge(
            "ejections_held", "Ejections that this judge holds, by service."
        )
        self._permits_gauge = self._gauge(
            "permits_held", "Permits that this judge holds, by service."
        )
        self._cpu_counter = Counter(
            "toucan_agent_cpu_seconds_total",
            "Processor time of the agent since its start.",
            registry=self._registry,
        )
        self._server: MetricsServer | None = None

    async def start(self) -> None:
        """Start the server if the settings have an address for it.

        Raises SettingsError if the address can't be used.
        """
        address = self._sources.dependencies.settings.agent_metrics_address
        if address is None:
            return
        loop = asyncio.get_running_loop()

        def render_text() -> bytes:
            return asyncio.run_coroutine_threadsafe(self.render_text(), loop).result(
                RENDER_TIMEOUT_S
            )

        server = MetricsServer(ADDRESS_SETTING, HostPort.parse(address), render_text)
        server.start()
        self._server = server

    async def close(self) -> None:
        """Stop the server."""
        if self._server is not None:
            # Closing waits for an answer in progress, and that answer needs the event loop.
            await asyncio.to_thread(self._server.close)

    async def render_text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        self._update()
        content, _ = render(self._registry, [])
        return bytes(content)

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(f"toucan_agent_{name}", doc, registry=self._registry)

    def _update(self) -> None:
        sources = self._sources
        dependencies = sources.dependencies
        states = OccurrenceCounter(member.state for member in dependencies.membership.all_members())
        for state in MEMBER_STATES:
            self._members_gauge.set({"state": MemberState.Name(state).lower()}, states[state])
        for reachability in Reachability:
            is_current = sources.prober.reachability is reachability
            self._reachability_gauge.set({"hearing": reachability.value}, int(is_current))
        self._generation_gauge.set({}, dependencies.config_cache.generation)
        self._proxy_generation_gauge.set({}, sources.proxy_link.proxy_generation)
        self._proxy_connected_gauge.set({}, int(sources.proxy_link.connected))
        self._platform_reachable_gauge.set({}, int(dependencies.platform.reachable))
        ejections = sources.evidence_router.ejections
        set_service_values(self._ejections_gauge, count_ejected_targets(ejections.active_sets()))
        set_service_values(
            self._own_ejections_gauge, count_ejected_targets(ejections.active_own_sets())
        )
        set_service_values(self._permits_gauge, sources.judge.permits_held())
        self._cpu_counter.set({}, time.process_time())


def count_ejected_targets(sets: Iterable[EjectionSet]) -> Mapping[str, int]:
    """Return how many targets are ejected, by service.

    A target that two judges eject counts once.
    """
    ejected: dict[str, set[str]] = {}
    for item in sets:
        targets = ejected.setdefault(item.service, set())
        targets.update(ejection.target for ejection in item.ejections)
    return {service: len(targets) for service, targets in ejected.items()}


def set_service_values(gauge: Gauge, values: Mapping[str, int]) -> None:
    """Replace all values of a gauge, so that removed services have no value.

    Services beyond `MAX_SERVICE_LABELS` are added up under `OTHER_SERVICES`.
    """
    gauge.values.clear()
    for rank, service in enumerate(sorted(values)):
        is_named = rank < MAX_SERVICE_LABELS
        labels = {"service": service if is_named else OTHER_SERVICES}
        total_so_far = gauge.values.get(labels, 0) if not is_named else 0
        gauge.set_value(labels, total_so_far + values[service])
