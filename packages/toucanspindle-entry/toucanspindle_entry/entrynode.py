"""The entry process: assembles the request path, the fleet link and the store's watches.

Start: register this host, follow the plan and the targets, meet the other hosts, then be ready.
Stop: be unready and say so to the other hosts, serve on while callers still know this address,
close connections at a boundary between requests, finish what is under way, and end in time.
"""

import asyncio
import gc
import random
import secrets
import time
from collections.abc import Awaitable, Callable
from typing import Final, Protocol

from logbook import Logger
from toucanspindle_core.clock import Clock, MonotonicClock
from toucanspindle_core.errors import PlatformError
from toucanspindle_core.hostport import HostPort

from toucanspindle_entry.callerconnection import CallerAnswer, CallerConnection, CallerRequest
from toucanspindle_entry.datagrams import DatagramPort, Message
from toucanspindle_entry.entrymetrics import EntryMetrics
from toucanspindle_entry.livehosts import LiveHosts
from toucanspindle_entry.model import (
    CallerLimits,
    FleetPlan,
    HostEntry,
    TargetEntry,
    TargetState,
)
from toucanspindle_entry.objectstore import ObjectKind, ObjectStore, StoreChange, StoreItem
from toucanspindle_entry.requestpath import HeaderNames, PathParts, RequestPath
from toucanspindle_entry.routeindex import RouteIndex
from toucanspindle_entry.settings import EntrySettings
from toucanspindle_entry.slotclient import SlotClient
from toucanspindle_entry.storewatch import StoreWatch
from toucanspindle_entry.targetpool import TargetPool
from toucanspindle_entry.targettable import TargetTable

INCARNATION_BYTES: Final = 4
PROBE_S: Final = 0.25  # One probe of another host in each; a dead host is noticed in 1 to 2 s.
PROBE_ANSWER_S: Final = 0.12  # Round trips take 2 ms; slow hosts need some more.
HOST_LIST_S: Final = (0.05, 0.6, 2.0, 15.0)  # Waits before listing the hosts; the last repeats.
HOUSEKEEPING_S: Final = 0.5
REGISTER_WAIT_S: Final = 0.5  # Between tries to register while the store is away.
DIRECTORY_TTL_S: Final = (
    3.0  # A stopped host serves on for 2 s, and some callers keep answers longer.
)
DIRECTORY_SIZE: Final = 64  # Addresses that a caller takes from one answer.
STOP_ACCEPT_S: Final = 2.0  # Serves new connections after SIGTERM while callers learn of it.
STOP_MARGIN_S: Final = 0.6  # Ends this long before the platform kills the process.
STOP_IDLE_S: Final = 0.4  # Ends early once nothing was in flight for so long.
SUSPEND_S: Final = 0.5  # The clock that counts suspension ran ahead by this: the host was frozen.
LISTEN_BACKLOG: Final = 512

log = Logger("node")

PageHandler = Callable[[CallerRequest], Awaitable[CallerAnswer]]


class EntryPages(Protocol):
    """The platform's own calls to a host, in its wire format."""

    def attach(self, view: "EntryView") -> None:
        """Take the node whose state the pages show."""
        ...

    async def ready(self, request: CallerRequest) -> CallerAnswer:
        """Answer whether this host is ready."""
        ...

    async def directory(self, request: CallerRequest) -> CallerAnswer:
        """Answer which addresses a caller may use."""
        ...


class EntryView(Protocol):
    """What the platform's pages show of a node."""

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        ...

    @property
    def directory_ttl_s(self) -> float:
        """How long a caller may keep an answer of the directory."""
        ...

    def caller_addresses(self) -> list[HostPort]:
        """Return the addresses that callers may use."""
        ...


class _PlanReader:
    """Takes over the plan; an older version never follows a newer one."""

    def __init__(self, node: "EntryNode") -> None:
        self._node = node

    def take_listing(
        self, items: tuple[StoreItem, ...], after_outage: bool
    ) -> None:  # noqa: ARG002
        for item in items:
            self._node.take_plan(item.value)

    def take_changes(
        self, changes: tuple[StoreChange, ...], after_outage: bool
    ) -> None:  # noqa: ARG002
        for change in changes:
            if not change.removed:
                self._node.take_plan(change.value)


class _TargetReader:
    """Takes over the registered targets."""

    def __init__(self, node: "EntryNode", table: TargetTable) -> None:
        self._node = node
        self._table = table

    def take_listing(self, items: tuple[StoreItem, ...], after_outage: bool) -> None:
        entries = [item.value for item in items if isinstance(item.value, TargetEntry)]
        self._table.replace_all(entries, after_outage)
        self._node.targets_changed()

    def take_changes(self, changes: tuple[StoreChange, ...], after_outage: bool) -> None:
        for change in changes:
            if isinstance(change.value, TargetEntry) and not change.removed:
                _log_target_change(self._table.get(change.name), change.value)
                self._table.put(change.value)
            elif after_outage:
                self._table.lapse(change.name)
            else:
                log.info("event=target_removed target={}", change.name)
                self._table.remove(change.name)
        self._node.targets_changed()


class EntryNode:
    """One entry process; each instance is a fresh incarnation."""

    def __init__(
        self, settings: EntrySettings, store: ObjectStore, names: HeaderNames, pages: EntryPages
    ) -> None:
        """Assemble a node; nothing listens yet."""
        self._settings = settings
        self._store = store
        self._pages = pages
        self._clock: Clock = MonotonicClock()
        self._rng = random.Random(secrets.randbits(64))
        incarnation = secrets.token_hex(INCARNATION_BYTES)
        self._own = HostEntry(settings.node, settings.ip, settings.failure_domain, incarnation)
        self._hosts = LiveHosts(self._own, self._rng)
        self._targets = TargetTable(self._clock)
        self._pool = TargetPool(self._clock)
        self._metrics = EntryMetrics()
        self._slots = SlotClient(
            self._hosts, self._targets, settings.bounds, self._clock, self._rng
        )
        self._path = RequestPath(
            PathParts(names, self._slots, self._targets, self._pool, self._metrics, self._clock)
        )
        self._port = DatagramPort(settings.ip, settings.peer_port, self._receive)
        self._slots.attach(self._port)
        self._plan_watch = self._watch(ObjectKind.PLAN, _PlanReader(self))
        self._target_watch = self._watch(ObjectKind.TARGETS, _TargetReader(self, self._targets))
        self._targets_known = False
        self._announced = False
        self._stopping = False
        self._connections: set[CallerConnection] = set()
        self._servers: dict[str, asyncio.Server] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._probes: dict[int, tuple[str, asyncio.TimerHandle]] = {}
        self._probe_seq = 0

    # CallerHost and EntryView.

    @property
    def limits(self) -> CallerLimits:
        """Bounds of callers in force now."""
        routes = self._path.routes
        return routes.plan.limits if routes is not None else CallerLimits()

    @property
    def is_stopping(self) -> bool:
        """Whether this process is ending."""
        return self._stopping

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        return self._path.routes is not None and self._targets_known and not self._stopping

    @property
    def directory_ttl_s(self) -> float:
        """How long a caller may keep an answer of the directory."""
        return min(DIRECTORY_TTL_S, self._settings.bounds.directory_ttl_max_s)

    def caller_addresses(self) -> list[HostPort]:
        """Return the addresses that callers may use, at most DIRECTORY_SIZE of them."""
        port = self._settings.caller_address.port
        ips = self._hosts.alive()
        if self.is_ready:
            ips.append(self._settings.caller_address.ip)
        if len(ips) > DIRECTORY_SIZE:
            ips = self._rng.sample(ips, DIRECTORY_SIZE)
        return [HostPort(ip, port) for ip in ips]

    def connection_opened(self, connection: CallerConnection) -> None:
        """Note a caller's connection."""
        self._connections.add(connection)

    def connection_closed(self, connection: CallerConnection) -> None:
        """Note the end of a caller's connection."""
        self._connections.discard(connection)

    # Start and close.

    async def start(self) -> None:
        """Listen and join the fleet."""
        settings = self._settings
        self._pages.attach(self)
        await self._port.start()
        await self._listen("callers", settings.caller_address, self._path.handle)
        await self._listen("ready", settings.ready_address, self._pages.ready)
        await self._listen("directory", settings.directory_address, self._pages.directory)
        await self._listen("control", settings.control_address, self._metrics_page)
        await self._listen("metrics", settings.metrics_address, self._metrics_page)
        self._plan_watch.start()
        self._target_watch.start()
        loop = asyncio.get_running_loop()
        for work in (self._register, self._meet_hosts, self._probe_hosts, self._keep_house):
            task = loop.create_task(work())
            task.add_done_callback(_log_failure)
            self._tasks.append(task)
        gc.collect()
        gc.freeze()
        log.info(
            "event=started node={} ip={} incarnation={}",
            self._own.name,
            self._own.ip,
            self._own.incarnation,
        )

    async def close(self) -> None:
        """Leave the fleet without cutting off a request."""
        began_at = self._clock.now()
        end_at = began_at + self._settings.bounds.shutdown_s - STOP_MARGIN_S
        self._stopping = True
        log.info("event=stopping connections={}", len(self._connections))
        for ip in list(self._hosts.peers):
            self._port.send(ip, ["leave", self._own.incarnation])
        quiet_since: float | None = None
        while self._clock.now() < end_at:
            await asyncio.sleep(0.05)
            now = self._clock.now()
            if now - began_at > STOP_ACCEPT_S:
                self._servers["callers"].close()
                for connection in list(self._connections):
                    connection.close_if_idle()
            if self._metrics.in_flight or self._connections:
                quiet_since = None
            elif quiet_since is None:
                quiet_since = now
            elif now - quiet_since > STOP_IDLE_S and now - began_at > STOP_ACCEPT_S:
                break
        await self._stop()
        log.info("event=stopped in_flight={}", self._metrics.in_flight)

    async def _stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        for server in self._servers.values():
            server.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._plan_watch.close()
        await self._target_watch.close()
        await self._store.close()
        self._pool.close()
        self._port.close()

    # What the store tells.

    def take_plan(self, plan: object) -> None:
        """Put a newer plan in force."""
        if not isinstance(plan, FleetPlan):
            return
        routes = self._path.routes
        if routes is not None and plan.version <= routes.plan.version:
            return
        self._path.routes = RouteIndex(plan, self._rng)
        log.info("event=plan_in_force version={} routes={}", plan.version, len(plan.routes))
        self._announce_when_ready()

    def targets_changed(self) -> None:
        """Tell the brokers of changed registrations."""
        self._targets_known = True
        self._slots.targets_changed()
        self._announce_when_ready()

    # Other hosts.

    def _announce_when_ready(self) -> None:
        if self.is_ready and not self._announced:
            self._announced = True
            log.info("event=ready targets={}", self._targets.size)
            for ip in list(self._hosts.peers):
                self._port.send(ip, self._hello("hello"))

    def _hello(self, kind: str) -> Message:
        own = self._own
        return [kind, own.name, own.failure_domain, own.incarnation, int(self.is_ready)]

    def _receive(self, ip: str, message: Message) -> None:
        if self._slots.receive(ip, message):
            return
        kind = message[0]
        now = self._clock.now()
        if kind == "probe":
            self._port.send(ip, ["alive", message[1], self._plan_version()])
            if ip not in self._hosts.peers:
                self._port.send(ip, self._hello("hello"))
        elif kind == "alive":
            self._take_probe_answer(ip, message[1], message[2], now)
        elif kind in {"hello", "welcome"}:
            self._take_hello(ip, message, now)
        elif kind == "peers":
            for name, peer_ip, domain, incarnation in message[1]:
                if self._hosts.learn(HostEntry(name, peer_ip, domain, incarnation), now):
                    self._port.send(peer_ip, self._hello("hello"))
        elif kind == "leave":
            if self._hosts.set_leaving(ip, message[1]):
                log.info("event=host_leaving host={}", ip)
        elif kind == "dead" and self._hosts.accuse(message[1], ip):
            self._host_died(message[1], f"told by {ip}")

    def _take_hello(self, ip: str, message: Message, now: float) -> None:
        kind, name, domain, incarnation, is_ready = message
        if self._hosts.learn(HostEntry(name, ip, domain, incarnation), now):
            log.info("event=host_joined host={} name={} incarnation={}", ip, name, incarnation)
            self._slots.host_ended(ip)
        peer = self._hosts.peers.get(ip)
        if peer is not None and not is_ready:
            peer.leaving = True
        elif peer is not None:
            peer.leaving = False
        if kind == "hello":
            self._port.send(ip, self._hello("welcome"))
            if not is_ready:
                known = [
                    [p.entry.name, p.entry.ip, p.entry.failure_domain, p.entry.incarnation]
                    for p in self._hosts.peers.values()
                    if p.entry.ip != ip
                ]
                self._port.send(ip, ["peers", known])

    def _take_probe_answer(self, ip: str, seq: int, plan_version: int, now: float) -> None:
        probe = self._probes.pop(seq, None)
        if probe is not None:
            probe[1].cancel()
        if self._hosts.answered(ip, now):
            log.info("event=host_alive host={}", ip)
        if plan_version > self._plan_version():
            self._plan_watch.refresh()

    def _plan_version(self) -> int:
        routes = self._path.routes
        return routes.plan.version if routes is not None else 0

    def _host_died(self, ip: str, why: str) -> None:
        log.warning("event=host_dead host={} why={!r}", ip, why)

    async def _probe_hosts(self) -> None:
        while True:
            await asyncio.sleep(PROBE_S * self._rng.uniform(0.8, 1.2))
            ip = self._hosts.probe_target()
            if ip is None:
                continue
            self._send_probe(ip)

    def _send_probe(self, ip: str) -> None:
        self._probe_seq += 1
        seq = self._probe_seq
        self._port.send(ip, ["probe", seq])
        timer = asyncio.get_running_loop().call_later(PROBE_ANSWER_S, self._probe_missed, seq)
        self._probes[seq] = (ip, timer)

    def _probe_missed(self, seq: int) -> None:
        ip, _ = self._probes.pop(seq)
        peer = self._hosts.peers.get(ip)
        was_alive = peer is not None and peer.is_alive
        if self._hosts.missed(ip, self._clock.now()):
            self._host_died(ip, "missed probes")
            for other in self._hosts.alive():
                self._port.send(other, ["dead", ip])
        elif was_alive and not self._hosts.is_deaf(self._clock.now()):
            self._send_probe(ip)

    async def _meet_hosts(self) -> None:
        for ip in self._settings.seeds:
            if ip != self._own.ip:
                self._port.send(ip, self._hello("hello"))
        waits = iter(HOST_LIST_S)
        wait_s = next(waits)
        while True:
            await asyncio.sleep(wait_s * self._rng.uniform(0.9, 1.1))
            wait_s = next(waits, HOST_LIST_S[-1])
            try:
                listing = await self._store.list_all(
                    ObjectKind.HOSTS, may_be_stale=wait_s == HOST_LIST_S[-1]
                )
            except PlatformError as error:
                log.warning("event=host_list_failed error={}", error)
                continue
            for item in listing.items:
                entry = item.value
                known = {self._own.ip, *self._hosts.peers}
                if isinstance(entry, HostEntry) and entry.ip not in known:
                    self._port.send(entry.ip, self._hello("hello"))

    async def _register(self) -> None:
        while True:
            try:
                await self._store.put_host(self._own.name, self._own)
            except PlatformError as error:
                log.warning("event=register_failed error={}", error)
                await asyncio.sleep(REGISTER_WAIT_S * self._rng.uniform(0.8, 1.6))
                continue
            return

    # Upkeep.

    async def _keep_house(self) -> None:
        lag_s = _suspended_s()
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            self._pool.expire()
            if self._targets.expire_unconfirmed():
                self._slots.targets_changed()
            now_lag_s = _suspended_s()
            if now_lag_s - lag_s > SUSPEND_S:
                log.warning("event=was_suspended seconds={:.1f}", now_lag_s - lag_s)
                # The steady clock stood still: what is held looks younger than it is.
                self._slots.forget_brokerage()
                self._pool.close()
                self._plan_watch.refresh()
                self._target_watch.refresh()
            lag_s = now_lag_s

    def _watch(self, kind: ObjectKind, reader: _PlanReader | _TargetReader) -> StoreWatch:
        return StoreWatch(self._store, kind, reader, self._clock, self._rng)

    async def _listen(self, name: str, address: HostPort, handler: PageHandler) -> None:
        loop = asyncio.get_running_loop()
        self._servers[name] = await loop.create_server(
            lambda: CallerConnection(self, handler, self._clock),
            address.ip,
            address.port,
            backlog=LISTEN_BACKLOG,
        )

    async def _metrics_page(self, request: CallerRequest) -> CallerAnswer:  # noqa: ARG002
        headers = [(b"content-type", b"text/plain; version=0.0.4")]
        return CallerAnswer(200, headers, self._metrics.text())


def _log_failure(task: asyncio.Task[None]) -> None:
    """Report a background task that ended by an error, which nobody awaits."""
    if not task.cancelled() and task.exception() is not None:
        log.error("event=task_failed task={} error={!r}", task.get_name(), task.exception())


def _suspended_s() -> float:
    """Return how long this host has been suspended since it booted, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()


def _log_target_change(old: TargetEntry | None, new: TargetEntry) -> None:
    if old is None:
        log.info(
            "event=target_joined target={} service={} address={}",
            new.name,
            new.service,
            new.address,
        )
    elif old.started_ms != new.started_ms:
        log.info("event=target_restarted target={}", new.name)
    elif old.state is not new.state and new.state is TargetState.DRAINING:
        log.info("event=target_draining target={} service={}", new.name, new.service)
