"""The entry process: connects the request handler, the datagram port and the store watches.

At start a node registers its host in the store, begins to watch the plan and the targets, and
discovers the other hosts.  It is ready once it knows a plan and the registered targets.

At shutdown a node reports unready and tells the other hosts that it is leaving.  It accepts
connections for STOP_ACCEPTING_S more, since callers may still use its address.  Then it closes
each connection between two requests.  After LAST_REQUEST_SHARE of the time until the platform would
kill the process it takes no more requests and refuses those that still wait for a slot, waits for
those at targets, and exits.
"""

import asyncio
import gc
import math
import random
import secrets
import socket
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Final, Protocol

import logbook
from logbook import Logger
from toucanspindle_core.clock import BoottimeClock, Clock
from toucanspindle_core.errors import PlatformError
from toucanspindle_core.hostport import HostPort

from toucanspindle_entry.accounts.planfreshness import PlanFreshness, encode_age_ms
from toucanspindle_entry.accounts.quotaclient import QuotaClient
from toucanspindle_entry.broker.slotclient import SlotClient
from toucanspindle_entry.callers.callerconnection import CallerConnection
from toucanspindle_entry.callers.callermessages import CallerRequest, CallerResponse
from toucanspindle_entry.callers.connectiontable import CallerPort, ConnectionTable
from toucanspindle_entry.callers.requestpath import HandlerDependencies, RequestHandler
from toucanspindle_entry.callers.routeindex import RouteIndex
from toucanspindle_entry.callers.workturns import WorkTurns
from toucanspindle_entry.entrymetrics import EntryMetrics
from toucanspindle_entry.headernames import HeaderNames
from toucanspindle_entry.hosts.brokerchoice import broker_capacity
from toucanspindle_entry.hosts.datagrams import DatagramEndpoint, Message
from toucanspindle_entry.hosts.hostannouncer import HostAnnouncer
from toucanspindle_entry.hosts.hostprober import HostProber, HostStatus
from toucanspindle_entry.hosts.livehosts import LiveHosts
from toucanspindle_entry.memoryaccount import MemoryAccount
from toucanspindle_entry.model import (
    CallerLimits,
    FleetPlan,
    HostEntry,
    TargetEntry,
)
from toucanspindle_entry.settings import EntrySettings
from toucanspindle_entry.store.missedchanges import MissedChanges
from toucanspindle_entry.store.objectstore import (
    ObjectKind,
    ObjectStore,
)
from toucanspindle_entry.store.storerelay import StoreRelay
from toucanspindle_entry.store.storesnapshot import StoreSnapshots
from toucanspindle_entry.store.storewatch import REGISTRATION_GRACE_S, StoreWatch
from toucanspindle_entry.storelisteners import PlanListener, TargetListener
from toucanspindle_entry.targets.targetconnectionpool import TargetConnectionPool
from toucanspindle_entry.targets.targettable import TargetTable

INCARNATION_BYTES: Final = 4
# Waits between host listings; the last repeats.  At a first start the entries of the others may
# be missing in an outdated listing for some seconds.
HOST_LIST_WAITS_S: Final = (0.05, 0.6, 2.0, 3.0, 5.0, 15.0)
# In a large fleet, once a listing that is newer than this host's registration names no other one.
COMPLETE_HOST_LIST_WAIT_S: Final = 60.0
LONE_HOST_WAIT_S: Final = 2.0  # From this wait on a host that knows no other needs a new listing.
HOUSEKEEPING_INTERVAL_S: Final = 0.5
REGISTER_RETRY_S: Final = 0.5  # Wait between registration attempts, before jitter.
# A stopping host accepts connections for 2 s, but some callers use a directory response longer.
DIRECTORY_TTL_S: Final = 3.0
MAX_DIRECTORY_ADDRESSES: Final = 64  # Callers use at most 64 addresses of one response.
STOP_ACCEPTING_S: Final = 2.0  # Accepts connections after SIGTERM until callers learn of the stop.
# A request that begins later might not end in time; most requests take less than the rest.
LAST_REQUEST_SHARE: Final = 0.5
STOP_MARGIN_S: Final = 0.6  # Exits this long before the platform kills the process.
STOP_IDLE_S: Final = 0.4  # Exits early after this long without requests and connections.
# The host counts as suspended if CLOCK_BOOTTIME gains this on the monotonic clock in one interval.
MIN_SUSPENSION_S: Final = 0.5
LISTEN_BACKLOG: Final = 512
# Only with a time limit for revoked keys: how often the age of the plan's confirmation is checked,
# the age at which a watcher of the failure domain is asked for a newer one, and the age at which,
# and the interval in which, the plan is listed.
CONFIRM_INTERVAL_S: Final = 0.25
ASK_WATCHER_AGE_S: Final = 1.0
LIST_PLAN_AGE_S: Final = 2.0
LIST_PLAN_INTERVAL_S: Final = 1.0
# Watchers list a plan with accounts after each watch call, as that shows what is newest just then.
# A plan of more keys is too large: 500 keys are about 35 KB, each 1.2 s.
MAX_LISTED_KEYS: Final = 500
PROBE_SEQ_BITS: Final = 32
# Connections that a port accepts in one turn of the event loop.  The limit for connections takes
# effect in the turn after, so this also bounds how far it is exceeded.
ACCEPTED_PER_TURN: Final = 16
# Requests to the ports for readiness, directory, control and metrics need no body.
STATUS_LIMITS: Final = CallerLimits(body_bytes=4096)

log = Logger("node")

EndpointHandler = Callable[[CallerRequest], Awaitable[CallerResponse]]


class StatusEndpoints(Protocol):
    """Endpoints that the platform itself calls on each host, in the platform's wire format."""

    def attach(self, node_status: "NodeStatusView") -> None:
        """Set the node whose status the endpoints report."""
        ...

    async def ready(self, request: CallerRequest) -> CallerResponse:
        """Respond 200 if this host is ready for callers."""
        ...

    async def directory(self, request: CallerRequest) -> CallerResponse:
        """Respond with the addresses that a caller may use."""
        ...


class NodeStatusView(Protocol):
    """The node status that the platform's endpoints report."""

    @property
    def is_ready(self) -> bool:
        """Whether callers may be directed to this host."""
        ...

    @property
    def directory_ttl_s(self) -> float:
        """How long a caller may use a directory response, in seconds."""
        ...

    def caller_addresses(self) -> list[HostPort]:
        """Return the addresses that callers may use."""
        ...


class EntryNode:
    """One entry process; each instance has a new random incarnation id."""

    def __init__(
        self,
        settings: EntrySettings,
        store: ObjectStore,
        header_names: HeaderNames,
        endpoints: StatusEndpoints,
        memory: MemoryAccount,
    ) -> None:
        """Create the components of a node; `start` opens the ports.

        `memory` is charged for all that peers make the process hold.
        """
        self._settings = settings
        self._store = store
        self._memory = memory
        self._endpoints = endpoints
        self._clock: Clock = BoottimeClock()
        self._rng = random.Random(secrets.randbits(64))
        incarnation = secrets.token_hex(INCARNATION_BYTES)
        self._own_entry = HostEntry(
            settings.node, settings.ip, settings.failure_domain, incarnation
        )
        capacity = broker_capacity(settings.cores, settings.link_mbps)
        self._hosts = LiveHosts(self._own_entry, self._rng, capacity)
        self._targets = TargetTable(self._clock)
        self._metrics = EntryMetrics()
        self._freshness = PlanFreshness(settings.bounds.revoke_s)
        self._connection_pool = TargetConnectionPool(
            self._clock,
            memory,
            settings.max_target_connections,
            self._metrics.count_refused_target_connection,
        )
        self._slots = SlotClient(
            self._hosts,
            self._targets,
            settings.bounds,
            self._clock,
            self._rng,
            metrics=self._metrics,
        )
        self._quotas = QuotaClient(
            self._hosts,
            settings.bounds,
            self._clock,
            self._rng,
            self._slots.is_skipped,
        )
        self._metrics.quota_counts = self._quotas.counts
        self._request_handler = RequestHandler(
            HandlerDependencies(
                header_names,
                self._slots,
                self._targets,
                self._connection_pool,
                self._metrics,
                self._clock,
                self._freshness,
                self._quotas,
            )
        )
        self._datagrams = DatagramEndpoint(settings.ip, settings.peer_port, self._handle_datagram)
        self._slots.attach(self._datagrams)
        self._announcer = HostAnnouncer(self._hosts, self._datagrams.send, lambda: self.is_ready)
        self._prober = HostProber(
            self._hosts,
            self._datagrams.send,
            self,
            self._clock,
            self._rng,
            # A late answer to a probe of an earlier process on this host must match no new probe.
            first_seq=secrets.randbits(PROBE_SEQ_BITS) if self._freshness.is_bounded else 1,
            tells_plan_age=self._freshness.is_bounded,
        )
        self._quotas.attach(self._datagrams, self._prober.check_silent)
        self._relay = StoreRelay(
            self._hosts, self._datagrams.send, may_spare_calls=settings.spares_store_calls
        )
        self._snapshots = StoreSnapshots(
            self._hosts, self._relay, self._datagrams.send, settings.seeds, self._rng
        )
        self._plan_listener = PlanListener(self.apply_plan)
        self._plan_watch = self._create_watch(
            ObjectKind.PLAN,
            self._plan_listener,
            self._confirm_plan if self._freshness.is_bounded else None,
            self._lists_plan,
        )
        self._target_watch = self._create_watch(
            ObjectKind.TARGETS, TargetListener(self._targets, self.targets_changed)
        )
        watches = {ObjectKind.PLAN: self._plan_watch, ObjectKind.TARGETS: self._target_watch}
        self._relay.set_watches(watches)
        self._snapshots.set_sources(
            watches,
            {ObjectKind.PLAN: self._plan_objects, ObjectKind.TARGETS: self._target_objects},
        )
        for watch in (self._plan_watch, self._target_watch):
            watch.add_era_observer(self._handle_era)
        self._targets.set_era_listener(self._target_watch.hear_era)
        self._store_era = 0
        self._era_rose = asyncio.Event()
        self._missed_targets = MissedChanges()
        self._host_listing_requested = asyncio.Event()
        self._targets_known = False
        self._is_plan_small = False
        self._announced_ready = False
        self._stopping = False
        self._connections: set[CallerConnection] = set()
        self._turns = WorkTurns(self._clock)
        self._caller_port = self._create_port("callers", settings.max_caller_connections, None)
        self._status_port = self._create_port(
            "status", settings.max_status_connections, STATUS_LIMITS
        )
        self._servers: dict[str, asyncio.Server] = {}
        self._tasks: list[asyncio.Task[None]] = []

    # ConnectionOwner, NodeStatusView and ProbeOwner.

    @property
    def limits(self) -> CallerLimits:
        """Caller limits of the plan in force, or the defaults if there is no plan."""
        routes = self._request_handler.routes
        return routes.plan.limits if routes is not None else CallerLimits()

    @property
    def memory(self) -> MemoryAccount:
        """The memory that peers may hold."""
        return self._memory

    @property
    def caller_stall_s(self) -> float:
        """How long a caller may take nothing of a response before its connection ends."""
        return self._settings.caller_stall_s

    @property
    def is_stopping(self) -> bool:
        """Whether `close` was called."""
        return self._stopping

    @property
    def is_ready(self) -> bool:
        """Whether a plan and the targets are known, and the node is not stopping."""
        return (
            self._request_handler.routes is not None and self._targets_known and not self._stopping
        )

    @property
    def directory_ttl_s(self) -> float:
        """How long a caller may use a directory response, in seconds."""
        return min(DIRECTORY_TTL_S, self._settings.bounds.directory_ttl_max_s)

    @property
    def host_status(self) -> HostStatus:
        """What this host tells the hosts that probe it."""
        plan_age_ms = None
        if self._freshness.is_bounded:
            plan_age_ms = encode_age_ms(self._freshness.age_s(self._clock.now()))
        return HostStatus(
            self._plan_version(),
            self.is_ready,
            self._targets.newest_change,
            plan_age_ms,
            self._targets.era,
        )

    def handle_host_status(self, status: HostStatus, asked_at: float | None) -> None:
        """List again what another host has a newer version of; date its plan's confirmation."""
        if self._freshness.is_bounded and asked_at is not None:
            age_s = status.plan_age_ms / 1000 if status.plan_age_ms is not None else math.inf
            self._freshness.record_peer(asked_at, age_s, status.plan_version, self._plan_version())
        if status.plan_version > self._plan_version():
            self._plan_watch.request_listing()
        if status.newest_change is not None:
            self._check_missed_targets(status.newest_change, status.store_era, self._clock.now())

    def greet_all(self) -> None:
        """Greet all known hosts, and those that started while this one was cut off.

        Hosts that took this one for dead probe it then.
        """
        self._announcer.greet_all()
        self._host_listing_requested.set()

    def caller_addresses(self) -> list[HostPort]:
        """Return up to MAX_DIRECTORY_ADDRESSES addresses of live hosts, with this one if ready."""
        port = self._settings.caller_address.port
        ips = self._hosts.alive_ips()
        if self.is_ready:
            ips.append(self._settings.caller_address.ip)
        if len(ips) > MAX_DIRECTORY_ADDRESSES:
            ips = self._rng.sample(ips, MAX_DIRECTORY_ADDRESSES)
        return [HostPort(ip, port) for ip in ips]

    def connection_opened(self, connection: CallerConnection) -> None:
        """Register an open caller connection."""
        self._connections.add(connection)

    def connection_closed(self, connection: CallerConnection) -> None:
        """Remove a closed caller connection."""
        self._connections.discard(connection)

    def count_rejected(self, status: int) -> None:
        """Count a request that was rejected before it was complete."""
        self._metrics.count_rejected(status)

    def count_handler_failure(self) -> None:
        """Count a request whose handler ended with an exception."""
        self._metrics.count_handler_failure()

    def count_stalled(self) -> None:
        """Count a connection that was ended because its caller took nothing of a response."""
        self._metrics.count_stalled_caller()

    # Start and shutdown.

    async def start(self) -> None:
        """Open all ports, then start the store watches and the background tasks."""
        settings = self._settings
        self._endpoints.attach(self)
        await self._datagrams.start()
        await self._start_server("callers", settings.caller_address, self._request_handler.handle)
        await self._start_server("ready", settings.ready_address, self._endpoints.ready)
        await self._start_server("directory", settings.directory_address, self._endpoints.directory)
        await self._start_server("control", settings.control_address, self._serve_metrics)
        await self._start_server("metrics", settings.metrics_address, self._serve_metrics)
        self._plan_watch.start()
        self._target_watch.start()
        loop = asyncio.get_running_loop()
        background: list[Callable[[], Coroutine[Any, Any, None]]] = [
            self._register_host,
            self._discover_hosts,
            self._prober.run,
            self._relay.run,
            self._quotas.run,
            self._run_housekeeping,
        ]
        if self._freshness.is_bounded:
            background.append(self._keep_plan_confirmed)
        for run_background in background:
            task = loop.create_task(run_background())
            task.add_done_callback(_log_task_failure)
            self._tasks.append(task)
        gc.collect()
        gc.freeze()  # Later collections skip the objects that exist now.
        log.info(
            "event=started node={} ip={} incarnation={}",
            self._own_entry.name,
            self._own_entry.ip,
            self._own_entry.incarnation,
        )

    async def close(self) -> None:
        """Shut down gracefully within the platform's shutdown time; see the module docstring."""
        stop_started_at = self._clock.now()
        stop_deadline = stop_started_at + self._settings.bounds.shutdown_s - STOP_MARGIN_S
        self._stopping = True
        self._relay.set_ready(False)
        log.info("event=stopping connections={}", len(self._connections))
        for ip in list(self._hosts.peers):
            self._datagrams.send(ip, ["leave", self._own_entry.incarnation])
        last_request_at = stop_started_at + self._settings.bounds.shutdown_s * LAST_REQUEST_SHARE
        idle_since: float | None = None
        while self._clock.now() < stop_deadline:
            await asyncio.sleep(0.05)
            now = self._clock.now()
            if now > last_request_at:
                self._request_handler.refuse_waiting()
                for connection in list(self._connections):
                    connection.stop_reading()
            if now - stop_started_at > STOP_ACCEPTING_S:
                self._servers["callers"].close()
                for connection in list(self._connections):
                    connection.close_if_idle()
            if self._metrics.in_flight or self._connections:
                idle_since = None
            elif idle_since is None:
                idle_since = now
            elif now - idle_since > STOP_IDLE_S and now - stop_started_at > STOP_ACCEPTING_S:
                break
        await self._stop()
        log.info("event=stopped in_flight={}", self._metrics.in_flight)

    async def _stop(self) -> None:
        """Cancel the background tasks and close all ports and connections."""
        for task in self._tasks:
            task.cancel()
        for server in self._servers.values():
            server.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._plan_watch.close()
        await self._target_watch.close()
        await self._store.close()
        self._connection_pool.close()
        self._datagrams.close()

    # Changes from the store.

    def apply_plan(self, plan: FleetPlan) -> None:
        """Put a plan in force if it is newer."""
        routes = self._request_handler.routes
        if routes is not None and plan.version <= routes.plan.version:
            return
        routes = RouteIndex(plan, self._rng)
        self._request_handler.routes = routes
        self._quotas.set_plan(plan, routes.accounts)
        accounts = plan.accounts
        key_count = sum(len(account.key_digests) for account in accounts or ())
        self._is_plan_small = accounts is not None and key_count <= MAX_LISTED_KEYS
        log.info("event=plan_in_force version={} routes={}", plan.version, len(plan.routes))
        self._announce_when_ready()

    def targets_changed(self) -> None:
        """Pass changed target registrations to this host's brokers."""
        self._targets_known = True
        self._slots.targets_changed()
        self._announce_when_ready()

    def _hear_era(self, era: int) -> None:
        """List all kinds if their listings are of an earlier era of the store."""
        self._plan_watch.hear_era(era)
        self._target_watch.hear_era(era)

    def _handle_era(self, era: int, now: float) -> None:
        """List the other kinds and register again, when a listing shows another era."""
        self._missed_targets = MissedChanges()
        if era <= self._store_era:
            return
        self._store_era = era
        self._freshness.era_changed(now)
        self._hear_era(era)
        self._era_rose.set()
        if self._announced_ready:
            # The other hosts have registered again by then.
            wait_s = REGISTRATION_GRACE_S * self._rng.uniform(1.0, 1.5)
            asyncio.get_running_loop().call_later(wait_s, self._host_listing_requested.set)

    # Other hosts.

    def _announce_when_ready(self) -> None:
        """Send `hello` to all known hosts when this host becomes ready for the first time."""
        if self.is_ready and not self._announced_ready:
            self._announced_ready = True
            self._quotas.take_over()
            self._relay.set_ready(True)
            log.info("event=ready targets={}", self._targets.size)
            self._announcer.greet_all()

    def _handle_datagram(self, ip: str, message: Message) -> None:
        """Process a datagram about slots, quotas or other hosts; ignore unknown kinds."""
        if self._slots.handle_message(ip, message) or self._relay.handle_message(ip, message):
            return
        if self._quotas.handle_message(ip, message) or self._snapshots.handle_message(ip, message):
            return
        kind = message[0]
        now = self._clock.now()
        if self._prober.handle_message(ip, message):
            if kind == "probe" and ip not in self._hosts.peers:
                self._announcer.greet(ip)
        elif kind in {"hello", "welcome"}:
            if self._announcer.handle_hello(ip, message, now):
                self._slots.release_host(ip)
            self._prober.check_sender(ip)
        elif self._announcer.handle_message(ip, message):
            return
        elif kind == "leave" and self._hosts.set_leaving(ip, message[1]):
            log.info("event=host_leaving host={}", ip)

    def _check_missed_targets(self, newest_change: int, era: int, now: float) -> None:
        """List the targets again if another host has long seen a change that this one hasn't."""
        revision = self._target_watch.revision
        if era != self._target_watch.era:
            self._hear_era(era)
            return
        # A listing is due already if no revision is known.
        if revision and self._missed_targets.is_overdue(newest_change, revision, now):
            log.warning(
                "event=changes_missed kind=targets revision={} newest={}", revision, newest_change
            )
            self._target_watch.request_listing()

    def _confirm_plan(self, sent_at: float) -> None:
        """Process an answer of the store to a call for the plan that was sent at `sent_at`."""
        self._freshness.record_store_answer(
            sent_at, self._plan_listener.shown_version, self._plan_version()
        )

    def _lists_plan(self) -> bool:
        """Return whether the plan is listed to confirm it, rather than only watched.

        A listing of a plan that can't be decoded doesn't tell whether a valid one came before it.
        The second watcher of a failure domain mostly learns of the first one's listings.
        """
        if not self._is_plan_small or self._plan_listener.is_unreadable:
            return False
        age_s = self._freshness.age_s(self._clock.now())
        return self._relay.is_first_of_domain or age_s > ASK_WATCHER_AGE_S

    async def _keep_plan_confirmed(self) -> None:
        """Ask other hosts, and then the store, for a newer confirmation; log changes of state."""
        listing_requested_at = float("-inf")
        while True:
            await asyncio.sleep(CONFIRM_INTERVAL_S)
            now = self._clock.now()
            self._log_confirmation(now)
            routes = self._request_handler.routes
            if routes is None or routes.accounts is None:
                continue
            age_s = self._freshness.age_s(now)
            if age_s > ASK_WATCHER_AGE_S and (watchers := self._relay.domain_watchers()):
                self._prober.ask(self._rng.choice(watchers))
            is_due = now - listing_requested_at > LIST_PLAN_INTERVAL_S and self._lists_plan()
            if age_s > LIST_PLAN_AGE_S and is_due and not self._plan_watch.is_unreachable:
                listing_requested_at = now
                self._plan_watch.request_listing()

    def _log_confirmation(self, now: float) -> None:
        may_run = self._freshness.take_state_change(now)
        if may_run is not None:
            log.log(
                logbook.INFO if may_run else logbook.WARNING,
                "event=account_keys_{} version={} age_s={:.2f}",
                "confirmed" if may_run else "unconfirmed",
                self._plan_version(),
                self._freshness.age_s(now),
            )

    def _plan_version(self) -> int:
        routes = self._request_handler.routes
        return routes.plan.version if routes is not None else 0

    async def _discover_hosts(self) -> None:
        """Ask the seeds for the other hosts, and greet each unknown host that the store lists.

        Outdated listings cost the store little.  Only a requested listing is up to date, and those
        of a host that hasn't found any other.  In a large fleet a host that already knows the
        others leaves out the first listing, and lists them rarely once no listing names a further
        one.
        """
        seeds = [ip for ip in self._settings.seeds if ip != self._own_entry.ip]
        self._rng.shuffle(seeds)
        for ip in seeds:
            self._announcer.greet(ip)
        waits = iter(HOST_LIST_WAITS_S)
        unheard: set[str] = set()  # Listed hosts that had not answered by then.
        is_complete = False
        while True:
            # One seed at a time, since each names all hosts.
            if seeds:
                self._announcer.ask_for_hosts(seeds.pop())
            wait_s = next(waits, HOST_LIST_WAITS_S[-1])
            if is_complete and self._relay.spares_calls:
                wait_s = COMPLETE_HOST_LIST_WAIT_S
            is_requested = await self._wait_for_host_listing(wait_s * self._rng.uniform(0.9, 1.1))
            if wait_s == HOST_LIST_WAITS_S[0] and self._relay.spares_calls and not is_requested:
                continue
            is_alone = wait_s >= LONE_HOST_WAIT_S and not self._hosts.peers
            may_be_stale = not (is_requested or is_alone)
            try:
                listing = await self._store.list_all(ObjectKind.HOSTS, may_be_stale)
            except PlatformError as error:
                log.warning("event=host_list_failed error={}", error)
                continue
            registrations = [
                item.value for item in listing.items if isinstance(item.value, HostEntry)
            ]
            # An outdated listing counts only if it is newer than this host's registration: one from
            # before may lack hosts, and would make the parts of limits that are split too large.
            is_counted = not may_be_stale or self._own_entry in registrations
            if is_counted:
                self._hosts.record_listing(len(registrations))
            known = {self._own_entry.ip, *self._hosts.peers}
            previously_unheard, unheard = unheard, {r.ip for r in registrations} - known
            is_complete = is_counted and unheard <= previously_unheard
            for registration in registrations:
                self._announcer.greet_first(registration.ip)

    async def _wait_for_host_listing(self, seconds: float) -> bool:
        """Wait until a listing of hosts is requested, or for some seconds; return which."""
        try:
            async with asyncio.timeout(seconds):
                await self._host_listing_requested.wait()
        except TimeoutError:
            return False
        self._host_listing_requested.clear()
        return True

    async def _register_host(self) -> None:
        """Write this host's entry to the store until it succeeds, and again in each later era."""
        while True:
            try:
                era = await self._store.put_host(self._own_entry.name, self._own_entry)
            except PlatformError as error:
                log.warning("event=register_failed error={}", error)
                await asyncio.sleep(REGISTER_RETRY_S * self._rng.uniform(0.8, 1.6))
                continue
            self._hear_era(era)
            while era >= self._store_era:
                await self._era_rose.wait()
                self._era_rose.clear()
            # All hosts learn of an era at about the same time.
            await asyncio.sleep(REGISTER_RETRY_S * self._rng.random())

    # Housekeeping and servers.

    async def _run_housekeeping(self) -> None:
        """Expire idle connections and unconfirmed targets; reset state after a suspension."""
        suspended_s = _suspended_since_boot_s()
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            self._connection_pool.close_expired()
            self._announcer.repeat()
            if self._targets.expire_unconfirmed():
                self._slots.targets_changed()
            current_suspended_s = _suspended_since_boot_s()
            if current_suspended_s - suspended_s > MIN_SUSPENSION_S:
                log.warning("event=was_suspended seconds={:.1f}", current_suspended_s - suspended_s)
                # Timers stopped meanwhile, so state may be held for longer than intended.
                self._slots.invalidate_brokers()
                self._connection_pool.close()
                self.greet_all()
                self._plan_watch.request_listing()
                self._target_watch.request_listing()
            suspended_s = current_suspended_s

    def _create_watch(
        self,
        kind: ObjectKind,
        listener: PlanListener | TargetListener,
        on_answer: Callable[[float], None] | None = None,
        confirms_by_listing: Callable[[], bool] = lambda: False,
    ) -> StoreWatch:
        return StoreWatch(
            self._store,
            kind,
            listener,
            self._clock,
            self._rng,
            exchange=self._relay,
            on_answer=on_answer,
            confirms_by_listing=confirms_by_listing,
            snapshots=self._snapshots if self._settings.spares_store_calls else None,
        )

    def _plan_objects(self) -> list[tuple[str, FleetPlan]] | None:
        """Return the plan in force for a host that starts, or None without one."""
        routes, name = self._request_handler.routes, self._plan_listener.plan_name
        return [(name, routes.plan)] if routes is not None and name is not None else None

    def _target_objects(self) -> list[tuple[str, TargetEntry]] | None:
        """Return the targets for a host that starts, or None while some are kept for a grace."""
        if not self._targets.is_settled:
            return None
        return [(entry.name, entry) for entry in self._targets.all_entries()]

    def _create_port(self, name: str, limit: int, limits: CallerLimits | None) -> CallerPort:
        count_shed = self._metrics.count_shed_connection
        table = ConnectionTable(name, limit, self._clock.now, count_shed)
        return CallerPort(table, limits, self._turns)

    async def _start_server(self, name: str, address: HostPort, handler: EndpointHandler) -> None:
        port = self._caller_port if name == "callers" else self._status_port
        family = socket.AF_INET6 if ":" in address.ip else socket.AF_INET
        sock = socket.create_server((address.ip, address.port), family=family)
        self._servers[name] = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(self, handler, self._clock, port),
            sock=sock,
            backlog=ACCEPTED_PER_TURN,
        )
        # For the event loop the backlog is also the number of connections accepted in one turn.
        sock.listen(LISTEN_BACKLOG)

    async def _serve_metrics(self, request: CallerRequest) -> CallerResponse:  # noqa: ARG002
        headers = [(b"content-type", b"text/plain; version=0.0.4")]
        plan_age_s = None
        if self._freshness.is_bounded:
            plan_age_s = self._freshness.age_s(self._clock.now())
        body = self._metrics.render(
            self._memory.held_bytes, self._turns.deferred, plan_age_s, self._quotas.gauges
        )
        return CallerResponse(200, headers, body)


def _log_task_failure(task: asyncio.Task[None]) -> None:
    """Log the exception of a background task, which no other task awaits."""
    if not task.cancelled() and task.exception() is not None:
        log.error("event=task_failed task={} error={!r}", task.get_name(), task.exception())


def _suspended_since_boot_s() -> float:
    """Return how long this host was suspended since boot, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
