"""The proxy process: assembles the request path and its links, and shuts down gracefully.

Shutdown on SIGTERM, in order: the node leaves the directory (LEAVING); it keeps serving until
directory responses that list it have expired; it refuses new requests as not run; it completes the
requests in flight; it hands over the finished records to a successor; it reports LEFT; it stops.
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

from toucanspindle_node.admit import AdmissionRegistry, AdmitFilter, QuarantineFilter
from toucanspindle_node.agentlink import AgentLink
from toucanspindle_node.callerport import CallerEndpoint
from toucanspindle_node.crashnotices import CrashNotices
from toucanspindle_node.dispatch import DispatchDependencies, DispatchFilter
from toucanspindle_node.drainwatch import DrainWatch
from toucanspindle_node.entryserver import EntryServer
from toucanspindle_node.eventloop import EventLoopThread
from toucanspindle_node.exchange import CallerRequest, Handler, build_chain
from toucanspindle_node.fleetstate import FleetStateHolder
from toucanspindle_node.fleetsync import FleetSync, FleetSyncDependencies
from toucanspindle_node.handover import hand_over_records
from toucanspindle_node.hedging import HedgePool
from toucanspindle_node.identify import IdentifyFilter
from toucanspindle_node.issuerlink import IssuerLinkClient, IssuerLinkServer
from toucanspindle_node.metricsserver import MetricsServer
from toucanspindle_node.once import OnceFilter
from toucanspindle_node.proxymetrics import ProxyMetrics
from toucanspindle_node.routing import RouteFilter
from toucanspindle_node.targetclient import TargetClient
from toucanspindle_node.targetregistry import TargetRegistry

INCARNATION_BYTES: Final = 8
START_TIMEOUT_S: Final = 5.0
IDLE_CHECK_S: Final = 1.0
IDLE_BEFORE_CLOSE_S: Final = 0.2

log = Logger("proxy")


class Proxy:
    """One proxy process; each instance is a new incarnation."""

    def __init__(self, settings: ProcessSettings) -> None:
        """Create all parts of the proxy, without listening or starting threads."""
        clock = MonotonicClock()
        self._settings = settings
        self._incarnation = secrets.token_hex(INCARNATION_BYTES)
        self._control_loop = EventLoopThread("control")
        self._issuer_link_client = IssuerLinkClient(self._control_loop)
        self._fleet_state = FleetStateHolder()
        self._metrics = ProxyMetrics()
        self._admissions = AdmissionRegistry(clock)
        self._evidence = EvidenceCollector()
        self._quarantine = QuarantineTable(clock)
        self._target_client = TargetClient()
        self._hedge_pool = HedgePool(settings.proxy_threads)
        self._target_registry = TargetRegistry(settings.failure_domain)
        self._drain_watch = DrainWatch(self._target_registry, self._target_client)
        self._crash_notices = CrashNotices(
            self._incarnation, self._quarantine, self._issuer_link_client, clock
        )
        self._token_issuer = TokenIssuer(self._incarnation, clock, settings.token_lifetime_s)
        self._records = RecordTable(
            self._token_issuer, clock, settings.record_lifetime_s, settings.max_records
        )
        self._inherited_records = InheritedRecords(clock, settings.max_records)
        self._caller_endpoint = CallerEndpoint(
            self._build_filter_chain(), self._fleet_state, self._records, self._metrics
        )
        self._fleet_sync = FleetSync(self._fleet_sync_dependencies())
        self._agent_link = AgentLink(
            HostPort.parse(settings.proxy_link_address),
            settings.report_interval_s,
            self._fleet_sync,
        )
        self._issuer_link_server = IssuerLinkServer(
            HostPort.parse(settings.proxy_control_bind_address), self, self._inherited_records
        )
        self._entry_server = EntryServer(
            HostPort.parse(settings.entry_bind_address),
            settings.proxy_threads,
            self._caller_endpoint.answer,
        )
        self._metrics_server = MetricsServer(
            "metrics_address", HostPort.parse(settings.metrics_address), self._metrics.render_text
        )

    @property
    def incarnation(self) -> str:
        """The random id of this process, which a restart at the same addresses changes."""
        return self._incarnation

    def start(self) -> None:
        """Start listening and connect to the agent.

        Raises SettingsError when an address can't be used; the servers are stopped in this case.
        """
        try:
            self._start_all()
        except BaseException:
            # Threads of a server that was started would keep the process from ending.
            self._entry_server.stop_serving()
            self._metrics_server.close()
            raise
        _exclude_from_garbage_collection()
        log.info(
            "proxy {} serves callers on {} as incarnation {}",
            self._settings.node,
            self._settings.entry_address,
            self._incarnation,
        )

    def close(self) -> None:
        """Shut down gracefully: complete the requests in flight and hand over the records."""
        log.info("proxy {} leaves the directory", self._settings.node)
        self._fleet_sync.set_leaving()
        self._report_member_state()
        time.sleep(self._directory_grace_s())
        self._refuse_new_requests()
        self._finish_in_flight()
        successor = hand_over_records(
            self._records, self._incarnation, self._fleet_state.state, self._issuer_link_client
        )
        self._fleet_sync.set_left(successor)
        self._report_member_state()
        self._stop_all()
        log.info("proxy {} has stopped", self._settings.node)

    # Calls of other proxies: implements issuerlink.IssuerLinkHandler.

    def answer_relayed(self, request: CallerRequest) -> Outcome:
        """Return the outcome of a request that another node sent here."""
        return self._caller_endpoint.answer_relayed(request)

    def explain(self, request_id: str) -> list[str]:
        """Return the trace of a request, a line per step; empty when it isn't known."""
        return self._caller_endpoint.explain(request_id)

    def receive_crash_notice(self, entry: pb.QuarantineEntry) -> list[pb.QuarantineEntry]:
        """Record a crash at another node; return the earlier entries for the same request."""
        return self._crash_notices.receive(entry)

    # Events of the dispatch filter: implements dispatch.DispatchEvents.

    def report_draining(self, service: str, target: str) -> None:
        """Report a target's new drain signal to the agent without waiting for the interval."""
        log.info("target {} of {} signals draining", target, service)
        self._metrics.count_event("target_draining")
        self._control_loop.submit(self._request_report())

    def report_crash(self, service: str, fingerprint: str) -> None:
        """Notify the other nodes of a request that broke its connection to a target."""
        self._metrics.count_event("target_crashed")
        self._crash_notices.send(service, fingerprint, self._fleet_state.state)

    # Assembly.

    def _build_filter_chain(self) -> Handler:
        return build_chain(
            [
                IdentifyFilter(),
                RouteFilter(),
                OnceFilter(
                    self._token_issuer,
                    self._records,
                    self._inherited_records,
                    self._issuer_link_client,
                ),
                QuarantineFilter(self._quarantine),
                AdmitFilter(self._admissions),
                DispatchFilter(self._dispatch_dependencies()),
            ]
        )

    def _dispatch_dependencies(self) -> DispatchDependencies:
        return DispatchDependencies(
            client=self._target_client,
            registry=self._target_registry,
            chooser=TargetChooser(random.Random()),
            evidence=self._evidence,
            quarantine=self._quarantine,
            events=self,
            hedges=self._hedge_pool,
        )

    def _fleet_sync_dependencies(self) -> FleetSyncDependencies:
        return FleetSyncDependencies(
            settings=self._settings,
            incarnation=self._incarnation,
            state=self._fleet_state,
            records=self._records,
            evidence=self._evidence,
            quarantine=self._quarantine,
            registry=self._target_registry,
            admissions=self._admissions,
            metrics=self._metrics,
        )

    def _start_all(self) -> None:
        self._control_loop.start()
        self._control_loop.call(self._issuer_link_server.start(), START_TIMEOUT_S)
        self._metrics_server.start()
        self._entry_server.start_serving()
        self._control_loop.call(self._agent_link.start(), START_TIMEOUT_S)
        self._drain_watch.start()

    # Steps of the shutdown.

    async def _request_report(self) -> None:
        self._agent_link.request_report()

    def _report_member_state(self) -> None:
        try:
            self._control_loop.call(self._agent_link.send_report(), START_TIMEOUT_S)
        except TimeoutError:
            log.warning("the agent didn't accept the state of this node")

    def _directory_grace_s(self) -> float:
        if self._settings.close_grace_s >= 0:
            return self._settings.close_grace_s
        policy = self._fleet_state.state.policy
        services = policy.services.values() if policy else []
        return max((s.settings.directory_ttl_s for s in services), default=0)

    def _refuse_new_requests(self) -> None:
        self._records.close()
        self._caller_endpoint.closing = True
        self._entry_server.closing = True

    def _finish_in_flight(self) -> None:
        """Wait until no request was in flight for IDLE_BEFORE_CLOSE_S and all records are finished.

        Open connections may still deliver requests during this time.
        """
        idle_since = time.monotonic()
        while time.monotonic() - idle_since < IDLE_BEFORE_CLOSE_S or self._records.unfinished_count:
            if not self._entry_server.wait_idle(IDLE_CHECK_S):
                idle_since = time.monotonic()
                continue
            time.sleep(IDLE_BEFORE_CLOSE_S / 4)
            if self._entry_server.in_flight:
                idle_since = time.monotonic()

    def _stop_all(self) -> None:
        self._entry_server.stop_serving()
        self._metrics_server.close()
        self._drain_watch.close()
        self._control_loop.call(self._agent_link.close(), START_TIMEOUT_S)
        self._control_loop.call(self._issuer_link_server.close(), START_TIMEOUT_S)
        self._issuer_link_client.close()
        self._control_loop.close()
        self._hedge_pool.close()
        self._target_client.close()


def _exclude_from_garbage_collection() -> None:
    """Exclude all present objects, which are mostly modules, from later garbage collections.

    A full collection visits every object and blocks all requests meanwhile.
    """
    gc.collect()
    gc.freeze()
