"""The proxy process: assembles the request path and its links, and shuts down without losing work.

Shutdown on SIGTERM, in order: be named to callers no more (LEAVING); serve on until directory
answers that name this node have expired; refuse new requests as not run; finish what is in
flight; hand the finished records to a successor; say so (LEFT); close.
"""

import gc
import random
import secrets
import time
from typing import Final

from logbook import Logger
from toucanspindle_core import control_pb2 as pb
from toucanspindle_core.choice import TargetChooser
from toucanspindle_core.clock import MonotonicClock
from toucanspindle_core.evidence import EvidenceCollector
from toucanspindle_core.hostport import HostPort
from toucanspindle_core.inheritedrecords import InheritedRecords
from toucanspindle_core.outcome import Outcome
from toucanspindle_core.processsettings import ProcessSettings
from toucanspindle_core.quarantine import QuarantineTable
from toucanspindle_core.records import RecordTable
from toucanspindle_core.tokens import TokenIssuer

from toucanspindle_node.admit import AdmissionBook, AdmitFilter, QuarantineFilter
from toucanspindle_node.agentlink import AgentLink
from toucanspindle_node.callerport import CallerPort
from toucanspindle_node.crashnotices import CrashNotices
from toucanspindle_node.dispatch import DispatchFilter, DispatchParts
from toucanspindle_node.drainwatch import DrainWatch
from toucanspindle_node.entryserver import EntryServer
from toucanspindle_node.eventloop import EventLoopThread
from toucanspindle_node.exchange import CallerRequest, Handler, build_chain
from toucanspindle_node.fleetport import FleetPort, FleetPortParts
from toucanspindle_node.fleetstate import FleetStateHolder
from toucanspindle_node.handover import hand_over_records
from toucanspindle_node.hedging import HedgePool
from toucanspindle_node.identify import IdentifyFilter
from toucanspindle_node.issuerlink import IssuerCaller, IssuerServer
from toucanspindle_node.metricsserver import MetricsServer
from toucanspindle_node.once import OnceFilter
from toucanspindle_node.proxymetrics import ProxyMetrics
from toucanspindle_node.routing import RouteFilter
from toucanspindle_node.targetclient import TargetClient
from toucanspindle_node.targetregistry import TargetRegistry

INCARNATION_BYTES: Final = 8
START_TIMEOUT_S: Final = 5.0
IDLE_CHECK_S: Final = 1.0
QUIET_BEFORE_CLOSE_S: Final = 0.2

log = Logger("proxy")


class Proxy:
    """One proxy process; each instance is a fresh incarnation."""

    def __init__(self, settings: ProcessSettings) -> None:
        """Assemble a proxy; nothing listens yet."""
        clock = MonotonicClock()
        self._settings = settings
        self._incarnation = secrets.token_hex(INCARNATION_BYTES)
        self._loop = EventLoopThread("control")
        self._caller = IssuerCaller(self._loop)
        self._state = FleetStateHolder()
        self._metrics = ProxyMetrics()
        self._book = AdmissionBook(clock)
        self._evidence = EvidenceCollector()
        self._quarantine = QuarantineTable(clock)
        self._targets = TargetClient()
        self._hedges = HedgePool(settings.proxy_threads)
        self._registry = TargetRegistry(settings.failure_domain)
        self._drain_watch = DrainWatch(self._registry, self._targets)
        self._notices = CrashNotices(self._incarnation, self._quarantine, self._caller, clock)
        self._issuer = TokenIssuer(self._incarnation, clock, settings.token_lifetime_s)
        self._records = RecordTable(
            self._issuer, clock, settings.record_lifetime_s, settings.max_records
        )
        self._inherited = InheritedRecords(clock, settings.max_records)
        self._port = CallerPort(self._build_path(), self._state, self._records, self._metrics)
        self._fleet = FleetPort(self._fleet_parts())
        self._agent = AgentLink(
            HostPort.parse(settings.proxy_link_address), settings.report_interval_s, self._fleet
        )
        self._issuer_server = IssuerServer(
            HostPort.parse(settings.proxy_control_bind_address), self, self._inherited
        )
        self._entry = EntryServer(
            HostPort.parse(settings.entry_bind_address), settings.proxy_threads, self._port.answer
        )
        self._metrics_server = MetricsServer(
            "metrics_address", HostPort.parse(settings.metrics_address), self._metrics.text
        )

    @property
    def incarnation(self) -> str:
        """This process, told from any other that had the same addresses."""
        return self._incarnation

    def start(self) -> None:
        """Listen and link up; raise SettingsError, with nothing left running, when it can't."""
        try:
            self._start_all()
        except BaseException:
            # Threads of a part that did start would keep the process from ending.
            self._entry.stop_serving()
            self._metrics_server.close()
            raise
        _exempt_from_collection()
        log.info(
            "proxy {} serves callers on {} as incarnation {}",
            self._settings.node,
            self._settings.entry_address,
            self._incarnation,
        )

    def close(self) -> None:
        """Leave the fleet without cutting off a request."""
        log.info("proxy {} leaves the directory", self._settings.node)
        self._fleet.set_leaving()
        self._publish_member()
        time.sleep(self._grace_s())
        self._refuse_new_requests()
        self._finish_in_flight()
        successor = hand_over_records(
            self._records, self._incarnation, self._state.state, self._caller
        )
        self._fleet.set_left(successor)
        self._publish_member()
        self._stop()
        log.info("proxy {} has closed", self._settings.node)

    # What other proxies ask: issuerlink.IssuerEnd.

    def answer_relayed(self, request: CallerRequest) -> Outcome:
        """Run or answer a request that another node sent here."""
        return self._port.answer_relayed(request)

    def explain(self, request_id: str) -> list[str]:
        """Return what is known of a request, a line per step."""
        return self._port.explain(request_id)

    def take_crash_notice(self, entry: pb.QuarantineEntry) -> list[pb.QuarantineEntry]:
        """Take note of a crash at another node; return what is known of the same request."""
        return self._notices.take(entry)

    # What the dispatch filter tells: dispatch.DispatchEvents.

    def note_draining(self, service: str, target: str) -> None:
        """Report a target's new drain signal at once."""
        log.info("target {} of {} signals draining", target, service)
        self._metrics.count_event("target_draining")
        self._loop.submit(self._report_soon())

    def note_crash(self, service: str, fingerprint: str) -> None:
        """Tell the other nodes of a request that broke its connection to a target."""
        self._metrics.count_event("target_crashed")
        self._notices.send(service, fingerprint, self._state.state)

    # Assembly.

    def _build_path(self) -> Handler:
        return build_chain(
            [
                IdentifyFilter(),
                RouteFilter(),
                OnceFilter(self._issuer, self._records, self._inherited, self._caller),
                QuarantineFilter(self._quarantine),
                AdmitFilter(self._book),
                DispatchFilter(self._dispatch_parts()),
            ]
        )

    def _dispatch_parts(self) -> DispatchParts:
        return DispatchParts(
            client=self._targets,
            registry=self._registry,
            chooser=TargetChooser(random.Random()),
            evidence=self._evidence,
            quarantine=self._quarantine,
            events=self,
            hedges=self._hedges,
        )

    def _fleet_parts(self) -> FleetPortParts:
        return FleetPortParts(
            settings=self._settings,
            incarnation=self._incarnation,
            state=self._state,
            records=self._records,
            evidence=self._evidence,
            quarantine=self._quarantine,
            registry=self._registry,
            book=self._book,
            metrics=self._metrics,
        )

    def _start_all(self) -> None:
        self._loop.start()
        self._loop.call(self._issuer_server.start(), START_TIMEOUT_S)
        self._metrics_server.start()
        self._entry.start_serving()
        self._loop.call(self._agent.start(), START_TIMEOUT_S)
        self._drain_watch.start()

    # Steps of the shutdown.

    async def _report_soon(self) -> None:
        self._agent.report_soon()

    def _publish_member(self) -> None:
        try:
            self._loop.call(self._agent.report_now(), START_TIMEOUT_S)
        except TimeoutError:
            log.warning("the agent didn't take the state of this node")

    def _grace_s(self) -> float:
        if self._settings.close_grace_s >= 0:
            return self._settings.close_grace_s
        policy = self._state.state.policy
        services = policy.services.values() if policy else []
        return max((s.settings.directory_ttl_s for s in services), default=0)

    def _refuse_new_requests(self) -> None:
        self._records.close()
        self._port.closing = True
        self._entry.closing = True

    def _finish_in_flight(self) -> None:
        """Wait until nothing has been in flight for a moment; connections may still bring some."""
        quiet_since = time.monotonic()
        while time.monotonic() - quiet_since < QUIET_BEFORE_CLOSE_S or self._records.unfinished:
            if not self._entry.wait_idle(IDLE_CHECK_S):
                quiet_since = time.monotonic()
                continue
            time.sleep(QUIET_BEFORE_CLOSE_S / 4)
            if self._entry.in_flight:
                quiet_since = time.monotonic()

    def _stop(self) -> None:
        self._entry.stop_serving()
        self._metrics_server.close()
        self._drain_watch.close()
        self._loop.call(self._agent.close(), START_TIMEOUT_S)
        self._loop.call(self._issuer_server.close(), START_TIMEOUT_S)
        self._caller.close()
        self._loop.close()
        self._hedges.close()
        self._targets.close()


def _exempt_from_collection() -> None:
    """Leave what exists now, modules above all, out of later collections of garbage.

    A full collection walks all objects while every request waits.
    """
    gc.collect()
    gc.freeze()
