"""The metrics of one agent: its event counters, and gauges read when somebody scrapes.

Labels are states, events and services, never accounts or targets.  The services after the first
`MAX_SERVICE_LABELS` by name share the label `other`.

The text is served by a thread of its own (`metricsserver.py`); the parts that it is read from
belong to the event loop, so it is built there.
"""

import asyncio
import time
from collections import Counter as Tally
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from aioprometheus import Counter, Gauge, render
from toucanspindle_core.control_pb2 import EjectionSet, MemberState
from toucanspindle_core.hostport import HostPort

from toucanspindle_node.agent_evidence import EvidenceRouter
from toucanspindle_node.agent_heard import Hearing
from toucanspindle_node.agent_hooks import Judge
from toucanspindle_node.agent_parts import AgentParts
from toucanspindle_node.memberloop import MemberLoop
from toucanspindle_node.metricsserver import MetricsServer
from toucanspindle_node.proxylink import ProxyLink

MAX_SERVICE_LABELS: Final = 200
OTHER_SERVICES: Final = "other"
RENDER_TIMEOUT_S: Final = 5.0
SETTING: Final = "agent_metrics_address"
STATES: Final = [state for state in MemberState.values() if state]


@dataclass(frozen=True)
class AgentSources:
    """The parts of an agent that its gauges are read from."""

    parts: AgentParts
    members: MemberLoop
    proxy: ProxyLink
    evidence: EvidenceRouter
    judge: Judge


class AgentMetrics:
    """The metrics of one agent and their server, if the settings name an address for it.

    Invariant: the collectors are changed and rendered on the event loop only.
    """

    def __init__(self, sources: AgentSources) -> None:
        """Create all gauges; nothing listens yet."""
        self._sources = sources
        self._registry = sources.parts.counters.registry
        self._members = self._gauge("members", "Members known, by state.")
        self._generation = self._gauge("config_generation", "Generation that the agent holds.")
        self._proxy_generation = self._gauge(
            "proxy_config_generation", "Generation in force at the proxy."
        )
        self._hearing = self._gauge("hearing", "1 for how this node stands towards the others.")
        self._proxy_connected = self._gauge("proxy_connected", "Whether a proxy follows.")
        self._reachable = self._gauge("platform_reachable", "Whether the last call was answered.")
        self._ejections = self._gauge("ejections", "Ejections in force, by service.")
        self._held = self._gauge("ejections_held", "Ejections that this judge holds, by service.")
        self._permits = self._gauge("permits_held", "Permits that this judge holds, by service.")
        self._cpu = Counter(
            "toucan_agent_cpu_seconds_total",
            "Processor time of the agent since its start.",
            registry=self._registry,
        )
        self._server: MetricsServer | None = None

    async def start(self) -> None:
        """Listen if the settings name an address; raise SettingsError if it can't be used."""
        address = self._sources.parts.settings.agent_metrics_address
        if address is None:
            return
        loop = asyncio.get_running_loop()

        def text() -> bytes:
            return asyncio.run_coroutine_threadsafe(self.text(), loop).result(RENDER_TIMEOUT_S)

        server = MetricsServer(SETTING, HostPort.parse(address), text)
        server.start()
        self._server = server

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            # Off the loop, since an answer that is under way waits for the loop.
            await asyncio.to_thread(self._server.close)

    async def text(self) -> bytes:
        """Return all metrics in the text format."""
        self._read()
        content, _ = render(self._registry, [])
        return bytes(content)

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(f"toucan_agent_{name}", doc, registry=self._registry)

    def _read(self) -> None:
        sources = self._sources
        parts = sources.parts
        states = Tally(member.state for member in parts.membership.all_members())
        for state in STATES:
            self._members.set({"state": MemberState.Name(state).lower()}, states[state])
        for hearing in Hearing:
            is_it = sources.members.hearing is hearing
            self._hearing.set({"hearing": hearing.value}, int(is_it))
        self._generation.set({}, parts.cache.generation)
        self._proxy_generation.set({}, sources.proxy.generation)
        self._proxy_connected.set({}, int(sources.proxy.connected))
        self._reachable.set({}, int(parts.platform.reachable))
        ejections = sources.evidence.ejections
        set_by_service(self._ejections, ejected_by_service(ejections.all_sets()))
        set_by_service(self._held, ejected_by_service(ejections.own_sets()))
        set_by_service(self._permits, sources.judge.permits_held())
        self._cpu.set({}, time.process_time())


def ejected_by_service(sets: Iterable[EjectionSet]) -> Mapping[str, int]:
    """Return how many targets are ejected; one that two judges eject counts once."""
    ejected: dict[str, set[str]] = {}
    for item in sets:
        targets = ejected.setdefault(item.service, set())
        targets.update(ejection.target for ejection in item.ejections)
    return {service: len(targets) for service, targets in ejected.items()}


def set_by_service(gauge: Gauge, values: Mapping[str, int]) -> None:
    """Replace the values of a gauge; services that are gone leave no value behind."""
    gauge.values.clear()
    for place, service in enumerate(sorted(values)):
        is_named = place < MAX_SERVICE_LABELS
        labels = {"service": service if is_named else OTHER_SERVICES}
        known = gauge.values.get(labels, 0) if not is_named else 0
        gauge.set_value(labels, known + values[service])
