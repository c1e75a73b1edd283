"""The proxy process: assembles the request path and its links, and shuts down without losing work.

Shutdown on SIGTERM, in order: be named to callers no more (LEAVING); serve on until directory
answers that name this node have expired; refuse new requests as not run; finish what is in
flight; hand the finished records to a successor; say so (LEFT); close.
"""

import random
import secrets
import threading
import time
from datetime import UTC, datetime
from typing import Final

from logbook import Logger
from toucanspindle_core import control_pb2 as pb
from toucanspindle_core import errorcodes
from toucanspindle_core.assignment import assign
from toucanspindle_core.choice import TargetChooser
from toucanspindle_core.clock import MonotonicClock
from toucanspindle_core.configparts import ConfigPartError, join_encoded
from toucanspindle_core.errors import RequestError
from toucanspindle_core.evidence import EvidenceCollector
from toucanspindle_core.hostport import HostPort
from toucanspindle_core.inheritedrecords import InheritedRecords
from toucanspindle_core.objects import ConfigHead
from toucanspindle_core.outcome import Outcome, OutcomeKind
from toucanspindle_core.policy import merge_policy
from toucanspindle_core.processsettings import ProcessSettings
from toucanspindle_core.quarantine import QuarantineTable
from toucanspindle_core.ratelimit import AccountLimiter
from toucanspindle_core.records import RecordTable
from toucanspindle_core.tokens import TokenIssuer

from toucanspindle_node import messages
from toucanspindle_node.admit import AdmissionBook, AdmitFilter, QuarantineFilter
from toucanspindle_node.agentlink import AgentLink
from toucanspindle_node.directory import DIRECTORY_PREFIX, answer_directory
from toucanspindle_node.dispatch import DispatchFilter, DispatchParts
from toucanspindle_node.drainwatch import DrainWatch
from toucanspindle_node.entryserver import EntryServer, error_body
from toucanspindle_node.eventloop import EventLoopThread
from toucanspindle_node.evidencewire import (
    parse_quarantine,
    quarantine_message,
    report_message,
)
from toucanspindle_node.exchange import TOKEN_HEADER, CallerRequest, Exchange, build_chain
from toucanspindle_node.fleetstate import FleetStateHolder, ejections_for_domain
from toucanspindle_node.handover import hand_over_records
from toucanspindle_node.hedging import HedgePool
from toucanspindle_node.identify import IdentifyFilter
from toucanspindle_node.issuerlink import IssuerCaller, IssuerServer
from toucanspindle_node.once import OnceFilter
from toucanspindle_node.proxymetrics import MetricsServer, ProxyMetrics
from toucanspindle_node.routing import RouteFilter
from toucanspindle_node.targetclient import TargetClient
from toucanspindle_node.targetregistry import TargetRegistry, full_name
from toucanspindle_node.tracelog import TraceLog

INCARNATION_BYTES: Final = 8
START_TIMEOUT_S: Final = 5.0
IDLE_CHECK_S: Final = 1.0
QUIET_BEFORE_CLOSE_S: Final = 0.2
MAX_CRASH_PEERS: Final = 48
CRASH_NOTICES_PER_S: Final = 5
TOKEN_CODES: Final = frozenset(
    {errorcodes.TOKEN_MISSING, errorcodes.TOKEN_INVALID, errorcodes.TOKEN_EXPIRED}
)

log = Logger("proxy")


class Proxy:
    """One proxy process.

    Invariant: `state` of the member only goes LIVE, LEAVING, LEFT.
    """

    def __init__(self, settings: ProcessSettings) -> None:
        """Create a proxy with a fresh incarnation; nothing listens yet."""
        clock = MonotonicClock()
        self._settings = settings
        self._state = FleetStateHolder()
        self._member_state = pb.LIVE
        self._member_version = 1
        self._successor = ""
        self._incarnation = secrets.token_hex(INCARNATION_BYTES)
        self._issuer = TokenIssuer(self._incarnation, clock, settings.token_lifetime_s)
        self._records = RecordTable(
            self._issuer, clock, settings.record_lifetime_s, settings.max_records
        )
        self._inherited = InheritedRecords(clock, settings.max_records)
        self._evidence = EvidenceCollector()
        self._evidence_sequence = 0
        self._quarantine = QuarantineTable(clock)
        self._metrics = ProxyMetrics()
        self._traces = TraceLog()
        self._book = AdmissionBook(clock)
        self._crash_notices = AccountLimiter(CRASH_NOTICES_PER_S, 1, clock)
        self._targets = TargetClient()
        self._hedges = HedgePool(settings.proxy_threads)
        self._registry = TargetRegistry(settings.failure_domain)
        self._drain_watch = DrainWatch(self._registry, self._targets)
        self._loop = EventLoopThread("control")
        self._caller = IssuerCaller(self._loop)
        self._agent = AgentLink(
            HostPort.parse(settings.proxy_link_address), settings.report_interval_s, self
        )
        self._issuer_server = IssuerServer(
            HostPort.parse(settings.proxy_control_bind_address), self, self._inherited
        )
        self._entry = EntryServer(
            HostPort.parse(settings.entry_bind_address), settings.proxy_threads, self._answer_caller
        )
        self._metrics_server = MetricsServer(
            HostPort.parse(settings.metrics_address), self._metrics.text
        )
        self._path = build_chain(
            [
                IdentifyFilter(),
                RouteFilter(),
                OnceFilter(self._issuer, self._records, self._inherited, self._caller),
                QuarantineFilter(self._quarantine),
                AdmitFilter(self._book),
                DispatchFilter(self._dispatch_parts()),
            ]
        )

    @property
    def incarnation(self) -> str:
        """This process, told from any other that had the same addresses."""
        return self._incarnation

    def start(self) -> None:
        """Listen and link up; raise SettingsError when an address can't be used."""
        self._loop.start()
        self._loop.call(self._issuer_server.start(), START_TIMEOUT_S)
        self._metrics_server.start()
        self._entry.start_serving()
        self._loop.call(self._agent.start(), START_TIMEOUT_S)
        self._drain_watch.start()
        log.info(
            "proxy {} serves callers on {} as incarnation {}",
            self._settings.node,
            self._settings.entry_address,
            self._incarnation,
        )

    def close(self) -> None:
        """Leave the fleet without cutting off a request."""
        self._leave_directory()
        time.sleep(self._grace_s())
        self._records.close()
        self._entry.closing = True
        self._finish_in_flight()
        self._member_state = pb.LEFT
        self._successor = hand_over_records(
            self._records, self._incarnation, self._state.state, self._caller
        )
        self._publish_member()
        self._entry.stop_serving()
        self._metrics_server.close()
        self._drain_watch.close()
        self._loop.call(self._agent.close(), START_TIMEOUT_S)
        self._loop.call(self._issuer_server.close(), START_TIMEOUT_S)
        self._caller.close()
        self._loop.close()
        self._hedges.close()
        self._targets.close()
        log.info("proxy {} has closed", self._settings.node)

    def member(self) -> pb.Member:
        """Return this proxy as a member of the fleet."""
        settings = self._settings
        return pb.Member(
            node=settings.node,
            incarnation=self._incarnation,
            failure_domain=settings.failure_domain,
            region=settings.region,
            entry_address=settings.entry_address,
            proxy_control_address=settings.proxy_control_address,
            agent_address=settings.agent_address,
            version=self._member_version,
            state=self._member_state,
            token=self._records.renew_token(),
            successor=self._successor,
        )

    def report(self) -> pb.ProxyReport:
        """Return what happened since the last report."""
        self._drop_expired_exceptions()
        self._evidence_sequence += 1
        domain = self._settings.failure_domain
        evidence = [
            report_message(item, self._incarnation, domain, self._evidence_sequence)
            for item in self._evidence.drain()
        ]
        draining = [full_name(d.service, d.target.name) for d in self._registry.draining()]
        return pb.ProxyReport(
            member=self.member(),
            evidence=evidence,
            crashes=[quarantine_message(entry) for entry in self._quarantine.entries()],
            generation=self._state.state.generation,
            draining_targets=draining,
        )

    def apply(self, state: pb.AgentState) -> None:
        """Apply a state from the agent."""
        if state.config.generation:
            self._apply_config(state.config)
        self._state.apply_members(list(state.members))
        ejections = ejections_for_domain(list(state.ejections), self._settings.failure_domain)
        self._state.apply_ejections(ejections)
        self._state.apply_leaving(frozenset(state.leaving_targets))
        self._quarantine.merge([parse_quarantine(entry) for entry in state.quarantine])

    def note_draining(self, service: str, target: str) -> None:
        """Report a target's new drain signal at once."""
        log.info("target {} of {} signals draining", target, service)
        self._metrics.count_event("target_draining")
        self._loop.submit(self._report_soon())

    def note_crash(self, service: str, fingerprint: str) -> None:
        """Tell the other nodes of the service that a request broke a connection.

        The next attempt waits for this, so that a request that crashes targets can't reach a
        third one through another node.  When crashes are frequent, a target is sick rather than
        a request, and only the regular reports spread them.
        """
        self._metrics.count_event("target_crashed")
        if not self._crash_notices.try_take(service):
            return
        entries = [e for e in self._quarantine.entries(service) if e.fingerprint == fingerprint]
        addresses = self._crash_peers(service)
        for entry in entries:
            known = self._caller.tell_crash(addresses, quarantine_message(entry))
            self._quarantine.merge([parse_quarantine(item) for item in known])

    def take_crash_notice(self, entry: pb.QuarantineEntry) -> list[pb.QuarantineEntry]:
        """Take note of a crash at another node; return what is known of the same request."""
        own = [
            quarantine_message(known)
            for known in self._quarantine.entries(entry.service)
            if known.fingerprint == entry.fingerprint
        ]
        self._quarantine.merge([parse_quarantine(entry)])
        return own

    def explain(self, request_id: str) -> list[str]:
        """Return what is known of a request, a line per step."""
        return self._traces.explain(request_id)

    def answer_relayed(self, request: CallerRequest) -> Outcome:
        """Run or answer a request that another node sent here."""
        exchange = Exchange(request, self._state.state, relayed=True)
        return self._run_path(exchange)

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

    def _apply_config(self, bundle: pb.ConfigBundle) -> None:
        if bundle.generation <= self._state.state.generation:
            return
        try:
            head = ConfigHead.model_validate_json(bundle.head)
            policy = merge_policy(join_encoded(head, dict(bundle.parts)), head.generation)
        except (ValueError, ConfigPartError) as error:
            log.error("generation {} is refused: {}", bundle.generation, error)
            self._metrics.count_event("config_refused")
            return
        if self._state.apply_policy(policy):
            self._book.apply_policy(policy)
            self._metrics.set_generation(policy.generation)
            self._agent.report_soon()
            log.info("generation {} is in force", policy.generation)

    def _drop_expired_exceptions(self) -> None:
        policy = self._state.drop_expired_exceptions(datetime.now(UTC))
        if policy is not None:
            self._book.apply_policy(policy)
            log.info("generation {} is in force without an expired exception", policy.generation)

    def _answer_caller(self, request: CallerRequest) -> Outcome:
        if request.target.startswith(DIRECTORY_PREFIX):
            return self._answer_directory(request)
        if self._entry.closing and TOKEN_HEADER not in request.headers:
            text = "The node is closing."
            error = RequestError(errorcodes.NODE_CLOSING, text, messages.REMEDY_OTHER_NODE)
            return self._decorate(Exchange(request, self._state.state), Outcome.from_error(error))
        return self._serve(Exchange(request, self._state.state))

    def _serve(self, exchange: Exchange) -> Outcome:
        outcome = self._run_path(exchange)
        self._metrics.count(exchange, outcome, time.monotonic() - exchange.received_at)
        return self._decorate(exchange, outcome)

    def _run_path(self, exchange: Exchange) -> Outcome:
        try:
            outcome = self._path(exchange)
        except RequestError as error:
            outcome = Outcome.from_error(error)
        exchange.note(f"outcome: {outcome.kind.value} {outcome.error_code or outcome.status}")
        self._traces.add(exchange)
        return outcome

    def _answer_directory(self, request: CallerRequest) -> Outcome:
        exchange = Exchange(request, self._state.state)
        service = request.path.removeprefix(DIRECTORY_PREFIX)
        try:
            if request.method != "GET":
                text = "The directory answers GET only."
                raise RequestError(errorcodes.BAD_REQUEST, text, messages.REMEDY_BAD_REQUEST)
            outcome = answer_directory(service, exchange.state)
        except RequestError as error:
            outcome = Outcome.from_error(error)
        return self._decorate(exchange, outcome)

    def _decorate(self, exchange: Exchange, outcome: Outcome) -> Outcome:
        """Return an outcome with the headers, and for an error the body, that callers see."""
        headers = [
            ("Toucan-Outcome", outcome.kind.value),
            ("Toucan-Request-Id", exchange.request_id),
        ]
        code = outcome.error_code
        if outcome.kind is OutcomeKind.ANSWERED or code is None:
            headers.extend(outcome.headers)
            return Outcome(outcome.kind, outcome.status, tuple(headers), outcome.body)
        headers.append(("Content-Type", "application/json"))
        headers.append(("Toucan-Error", code.name))
        if code in TOKEN_CODES:
            headers.append(("Toucan-Token", self._records.renew_token()))
        body = error_body(
            outcome.kind.value, code, outcome.text, outcome.remedy, exchange.request_id
        )
        return Outcome(outcome.kind, outcome.status, tuple(headers), body, code)

    def _crash_peers(self, service: str) -> list[str]:
        members = [m for m in self._state.state.members if m.state in {pb.LIVE, pb.LEAVING}]
        if len(members) > MAX_CRASH_PEERS:
            policy = self._state.state.policy
            fan_in = policy.services[service].settings.fan_in if policy else MAX_CRASH_PEERS
            members = assign(service, members, fan_in)
        own = self._incarnation
        return [m.proxy_control_address for m in members if m.incarnation != own]

    async def _report_soon(self) -> None:
        self._agent.report_soon()

    def _leave_directory(self) -> None:
        log.info("proxy {} leaves the directory", self._settings.node)
        self._member_state = pb.LEAVING
        self._publish_member()

    def _publish_member(self) -> None:
        self._member_version += 1
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

    def _finish_in_flight(self) -> None:
        """Wait until nothing has been in flight for a moment; connections may still bring some."""
        quiet_since = time.monotonic()
        while time.monotonic() - quiet_since < QUIET_BEFORE_CLOSE_S or self._records.unfinished:
            if not self._entry.wait_idle(IDLE_CHECK_S):
                quiet_since = time.monotonic()
                continue
            threading.Event().wait(QUIET_BEFORE_CLOSE_S / 4)
            if self._entry.in_flight:
                quiet_since = time.monotonic()
