"""Emulator of a fleet of entry hosts in virtual time, without network.

Each host runs the real request handler, slot client and brokers.  Datagrams take a millisecond;
a host can be killed, frozen, cut off, muted or slowed down.  The targets are emulated as well, and
record each arrival, so that a test counts what a target sees and not what a host believes to have
sent.
"""

import asyncio
import dataclasses
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, cast

from toucanspindle_core.hostport import HostPort
from toucanspindle_entry.accounts.quotaclient import TICK_S, QuotaClient
from toucanspindle_entry.bodybuffer import Body
from toucanspindle_entry.broker.slotclient import SlotClient
from toucanspindle_entry.callers.callermessages import CallerRequest, CallerResponse
from toucanspindle_entry.callers.requestpath import HandlerDependencies, RequestHandler
from toucanspindle_entry.callers.routeindex import RouteIndex
from toucanspindle_entry.entrymetrics import EntryMetrics
from toucanspindle_entry.headernames import HeaderNames
from toucanspindle_entry.hosts.datagrams import DatagramEndpoint, Message
from toucanspindle_entry.hosts.hostprober import PROBE_INTERVAL_S, PROBE_TIMEOUTS_S
from toucanspindle_entry.hosts.livehosts import LiveHosts
from toucanspindle_entry.model import (
    ClientAccount,
    FleetPlan,
    HostEntry,
    Route,
    TargetEntry,
    WeightedService,
)
from toucanspindle_entry.settings import FleetBounds
from toucanspindle_entry.store.storewatch import REGISTRATION_GRACE_S
from toucanspindle_entry.targets.httpclient import ConnectError, ConnectionLostError, HttpResponse
from toucanspindle_entry.targets.targetconnectionpool import TargetConnectionPool
from toucanspindle_entry.targets.targettable import TargetTable

from tests.entrycase import target
from tests.virtualtime import LoopClock

SERVICE: Final = "orders"
MESSAGE_DELAY_S: Final = 0.001
SLOW_HOST_DELAY_S: Final = 0.15  # Longer than a host waits for a broker's answer.
DEADLINE_S: Final = 4.0
POISON_PATH: Final = "/poison"
LEAVING_HEADER: Final = b"x-leaving"
LIMIT_HEADER: Final = b"x-limit"
LIMIT_WINDOW_S: Final = 4.0
LIMIT_KNOWN_AFTER_S: Final = 3.0  # Windows count from then on after a target first named a limit.
HOST_TOLD_BEFORE_S: Final = 0.5  # Arrivals count from hosts that were told this long before.
PAUSE_KNOWN_AFTER_S: Final = 0.5  # Requests may still be on their way for this long.
LIMIT_FACTOR: Final = 1.5
LIMIT_SLACK: Final = 5.0
HEADER_NAMES: Final = HeaderNames(
    b"x-request-id",
    b"x-deadline-ms",
    b"x-signature",
    b"x-expected-target",
    b"x-not-run",
    LEAVING_HEADER,
    LIMIT_HEADER,
    b"x-account-key",
    b"x-account",
)


@dataclass(frozen=True)
class FleetShape:
    """Size, load and failures of an emulated fleet; shares are of the requests that arrive.

    The route is split evenly over the services, and each target belongs to one of them.
    `rate` is in requests per second.  `shed_share` is refused by targets as not run, `fail_share`
    ends with status 500, and `unreachable_share` of the connects fail.  A host needs `datagram_s`
    of processor time for each datagram, and handles them one after the other.  `loss` is the
    share of the datagrams that are lost.
    """

    hosts: int = 24
    targets: int = 12
    services: int = 1
    slots: int = 8
    rate: float = 60.0
    work_s: float = 0.1
    shed_share: float = 0.5
    fail_share: float = 0.1
    unreachable_share: float = 0.05
    idempotent: bool = True
    max_attempts: int = 3
    datagram_s: float = 0.0
    bounds: FleetBounds = FleetBounds(2.0, 6.0, 0.2, 10.0, 40.0, 3.0, 0.7)
    accounts: tuple[ClientAccount, ...] | None = None
    loss: float = 0.0


@dataclass
class TargetRecord:
    """What the targets of a fleet saw, and when the callers sent their requests.

    `arrivals` holds (time, request id), `targets` the targets at which a request arrived, by its
    id, `crashes` (time, target) of the request that crashes them,
    `last_arrivals` the time of the last arrival by sending host and target, and `deadlines` the
    times at which the deadlines passed on end, by request id.  `sent_at` is when the caller sent a
    request, `leaving_told_at` when a target first told a host (by incarnation) that it is leaving,
    and `late_arrivals` holds (time, incarnation, target) of the requests that callers sent longer
    than the bound on drains after that.  `limit_named_at` is when a target first named a limit,
    `limit_told_at` when it first told it to a host (by incarnation), and `limited_arrivals` holds
    the times of the requests that count against the limit, by target.  `paused_until` is until when
    a target wants nothing from a host (by incarnation), and `unwanted` counts the requests that
    it gets from there meanwhile, in each pause.  `account_responses` holds when a request was sent
    and the status of its response (0 if its caller left), by key, and `account_runs` when the
    requests that reached a target were sent, by account and request id.
    """

    arrivals: list[tuple[float, str]] = field(default_factory=list)
    requests: list[float] = field(default_factory=list)
    crashes: list[tuple[float, str]] = field(default_factory=list)
    last_arrivals: dict[tuple[str, str], float] = field(default_factory=dict)
    targets: dict[str, set[str]] = field(default_factory=dict)
    deadlines: dict[str, list[float]] = field(default_factory=dict)
    sent_at: dict[str, float] = field(default_factory=dict)
    leaving_told_at: dict[tuple[str, str], float] = field(default_factory=dict)
    late_arrivals: list[tuple[float, str, str]] = field(default_factory=list)

    limit_named_at: dict[str, float] = field(default_factory=dict)
    limit_told_at: dict[tuple[str, str], float] = field(default_factory=dict)
    limited_arrivals: dict[str, list[float]] = field(default_factory=dict)

    paused_until: dict[tuple[str, str], float] = field(default_factory=dict)
    unwanted: Counter[tuple[str, str, float]] = field(default_factory=Counter)

    account_responses: dict[str, list[tuple[float, int]]] = field(default_factory=dict)
    account_runs: dict[str, dict[str, float]] = field(default_factory=dict)

    def worst_limit_excess(self, limits: dict[str, float]) -> float:
        """Return by how much the worst window exceeds a target's limit; negative if none does."""
        worst = float("-inf")
        for name, limit in limits.items():
            counted_from = self.limit_named_at.get(name, math.inf) + LIMIT_KNOWN_AFTER_S
            times = [at for at in self.limited_arrivals.get(name, []) if at >= counted_from]
            for start in times:
                count = sum(1 for at in times if start <= at < start + LIMIT_WINDOW_S)
                allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * limit + LIMIT_SLACK
                worst = max(worst, count - allowed)
        return worst

    def repeats(self) -> list[float]:
        """Return the times of the arrivals beyond the first of each request."""
        seen: set[str] = set()
        times: list[float] = []
        for at, request_id in self.arrivals:
            if request_id in seen:
                times.append(at)
            seen.add(request_id)
        return times

    def worst_excess(self, bounds: FleetBounds) -> float:
        """Return by how much the worst window exceeds the retry budget; negative if none does.

        The requests are counted in the window, in the one before it and in the one half a window
        before it, and the most of these counts.
        """
        window_s = bounds.retry_window_s
        repeats = self.repeats()
        worst = float("-inf")
        for start in repeats:
            count = sum(1 for at in repeats if start <= at < start + window_s)
            requests = max(
                sum(1 for at in self.requests if begin <= at < begin + window_s)
                for begin in (start, start - window_s, start - window_s / 2)
            )
            worst = max(worst, count - bounds.retry_ratio * requests - bounds.retry_burst)
        return worst


class _EmulatedConnection:
    """A connection of a host to the emulated targets; it runs one exchange."""

    def __init__(self, fleet: "EmulatedFleet", host: "EmulatedHost") -> None:
        self._fleet = fleet
        self._host = host

    async def exchange(
        self,
        request: bytes,
        is_head: bool,  # noqa: ARG002
        matches_request: object,  # noqa: ARG002
        request_body: Body,
    ) -> HttpResponse:
        try:
            return await self._fleet.serve(self._host, request + bytes(request_body))
        finally:
            await self._host.wait_until_awake()


class _EmulatedPool:
    """Stand-in for the `TargetConnectionPool` of a host."""

    def __init__(self, fleet: "EmulatedFleet", host: "EmulatedHost") -> None:
        self._fleet = fleet
        self._host = host

    async def acquire(
        self, address: HostPort, may_reuse: bool  # noqa: ARG002
    ) -> tuple[_EmulatedConnection, bool]:
        await asyncio.sleep(MESSAGE_DELAY_S)
        await self._host.wait_until_awake()
        if self._fleet.rng.random() < self._fleet.shape.unreachable_share:
            raise ConnectError("unreachable")
        return _EmulatedConnection(self._fleet, self._host), False

    def release(self, *_: object) -> None:
        return


class _EmulatedEndpoint:
    """Stand-in for the `DatagramEndpoint` of a host."""

    def __init__(self, fleet: "EmulatedFleet", host: "EmulatedHost") -> None:
        self._fleet = fleet
        self._host = host

    def send(self, ip: str, message: Message) -> None:
        self._fleet.deliver(self._host, ip, message)


class EmulatedHost:
    """One incarnation of an entry host.

    A host that is cut off exchanges no datagrams, but callers and targets still reach it.  What
    arrives at a frozen host or is sent by it does so once it is awake.  Its clock goes on, as the
    one of the entry process does.
    """

    def __init__(self, fleet: "EmulatedFleet", ip: str, entries: list[TargetEntry]) -> None:
        clock = LoopClock()
        rng = random.Random(fleet.rng.random())
        incarnation = f"{ip}-{fleet.next_incarnation()}"
        self.ip = ip
        self.incarnation = incarnation
        self.is_running = True
        self.is_cut_off = False
        self.is_muted = False
        self.is_slow = False
        self.busy_until = 0.0
        self._awake = asyncio.Event()
        self._awake.set()
        self._held_back: list[Callable[[], None]] = []
        self.live_hosts = LiveHosts(HostEntry(ip, ip, "beaufort", incarnation), rng)
        for other in fleet.ips:
            self.live_hosts.add_host(HostEntry(other, other, "beaufort", other), clock.now())
        self.live_hosts.record_listing(len(fleet.ips))
        self.targets = TargetTable(clock)
        self.targets.replace_all(entries, grace_until=None)
        self.targets.advance_to(fleet.store_revision)
        self.slots = SlotClient(self.live_hosts, self.targets, fleet.shape.bounds, LoopClock(), rng)
        self.slots.attach(cast(DatagramEndpoint, _EmulatedEndpoint(fleet, self)))
        self.quotas = QuotaClient(
            self.live_hosts, fleet.shape.bounds, LoopClock(), rng, self.slots.is_skipped
        )
        self.quotas.attach(
            cast(DatagramEndpoint, _EmulatedEndpoint(fleet, self)),
            lambda other: fleet.check_host(self, other),
        )
        self.handler = RequestHandler(
            HandlerDependencies(
                HEADER_NAMES,
                self.slots,
                self.targets,
                cast(TargetConnectionPool, _EmulatedPool(fleet, self)),
                EntryMetrics(),
                clock,
                quotas=self.quotas,
            )
        )
        self._rng = rng
        self.set_plan(fleet.plan)
        self._quota_task = asyncio.get_running_loop().create_task(self._run_quotas())

    def set_plan(self, plan: FleetPlan) -> None:
        """Put a plan in force on this host."""
        self.handler.routes = RouteIndex(plan, self._rng)
        self.quotas.set_plan(plan, self.handler.routes.accounts)

    async def _run_quotas(self) -> None:
        """Do the housekeeping of quotas while the host runs; none while it is frozen."""
        while self.is_running:
            await asyncio.sleep(TICK_S)
            await self.wait_until_awake()
            self.quotas.tick()

    @property
    def is_disturbed(self) -> bool:
        """Whether the host is cut off or frozen, which excuses it from limits."""
        return self.is_cut_off or self.is_muted or not self._awake.is_set()

    def set_frozen(self, is_frozen: bool) -> None:
        """Freeze the host, or wake it up."""
        if is_frozen:
            self._awake.clear()
            return
        self._awake.set()
        held_back, self._held_back = self._held_back, []
        for action in held_back:
            action()

    def when_awake(self, action: Callable[[], None]) -> None:
        """Do something now, or once the host is awake."""
        if self._awake.is_set():
            action()
        else:
            self._held_back.append(action)

    async def wait_until_awake(self) -> None:
        """Wait while the host is frozen."""
        await self._awake.wait()


class EmulatedFleet:
    """A fleet of hosts before the targets of one service; create it inside a running loop."""

    def __init__(self, shape: FleetShape, seed: int) -> None:
        self.shape = shape
        self.rng = random.Random(seed)
        self.record = TargetRecord()
        self.ips = [f"10.0.0.{n}" for n in range(1, shape.hosts + 1)]
        services = [SERVICE, *(f"{SERVICE}{n}" for n in range(1, shape.services))]
        route = Route(
            "r",
            "shop",
            "/",
            shape.idempotent,
            DEADLINE_S,
            1.5,
            shape.max_attempts,
            1,
            tuple(WeightedService(service, 1.0) for service in services),
        )
        self.plan = FleetPlan(1, (route,), frozenset(services), accounts=shape.accounts)
        self.account_rates: dict[str, float] = {}  # By key; instead of `rate`, if not empty.
        self._incarnations = 0
        self.store_revision = shape.targets
        self._entries = [
            dataclasses.replace(
                target(f"t{n}", slots=shape.slots, service=services[n % shape.services]),
                revision=n + 1,
            )
            for n in range(shape.targets)
        ]
        self.hosts = {ip: EmulatedHost(self, ip, self._entries) for ip in self.ips}
        self._request_count = 0
        self._tasks: dict[asyncio.Task[CallerResponse], EmulatedHost] = {}
        self.statuses: list[int] = []
        self.parted: set[str] = set()  # These hosts exchange datagrams only with one another.
        self.leaving: set[str] = set()
        self.limits: dict[str, float] = {}
        self.pause_s = 0.0
        self.rate_factor = 1.0
        self.datagrams: Counter[str] = Counter()  # Sent by each host.
        self.datagram_kinds: Counter[str] = Counter()
        self.takeovers: set[tuple[str, float]] = set()  # Host and time.

    def next_incarnation(self) -> int:
        """Return a number for a new incarnation."""
        self._incarnations += 1
        return self._incarnations

    # Network and targets.

    def deliver(self, sender: EmulatedHost, ip: str, message: Message) -> None:
        """Deliver a datagram, unless the network or one of the two hosts fails."""
        sender.when_awake(lambda: self._send(sender, ip, message))

    def _send(self, sender: EmulatedHost, ip: str, message: Message) -> None:
        receiver = self.hosts[ip]
        ends = (sender, receiver)
        if sender.is_muted or any(host.is_cut_off or not host.is_running for host in ends):
            return
        if (sender.ip in self.parted) != (ip in self.parted):
            return
        delay_s = SLOW_HOST_DELAY_S if receiver.is_slow else MESSAGE_DELAY_S

        def receive() -> None:
            if not receiver.is_running or self.hosts[ip] is not receiver:
                return
            if not receiver.quotas.handle_message(sender.ip, message):
                receiver.slots.handle_message(sender.ip, message)

        self.datagrams[sender.ip] += 1
        self.datagram_kinds[message[0]] += 1
        if self.rng.random() < self.shape.loss:
            return
        if message[0] == "sync":
            self.takeovers.add((sender.ip, self._now()))
        starts_at = max(receiver.busy_until, self._now() + delay_s)
        receiver.busy_until = starts_at + self.shape.datagram_s
        asyncio.get_running_loop().call_at(receiver.busy_until, receiver.when_awake, receive)

    async def serve(self, host: EmulatedHost, request: bytes) -> HttpResponse:
        """Record the arrival of a request of a host at its target, and answer it."""
        head = dict(
            line.split(b": ", 1) for line in request.split(b"\r\n\r\n")[0].split(b"\r\n")[1:]
        )
        request_id = head[HEADER_NAMES.request_id]
        now = asyncio.get_running_loop().time()
        self.record.arrivals.append((now, request_id.decode()))
        account = head.get(HEADER_NAMES.account, b"").decode()
        runs = self.record.account_runs.setdefault(account, {})
        runs[request_id.decode()] = self.record.sent_at[request_id.decode()]
        deadline_at = now + int(head[HEADER_NAMES.deadline_ms]) / 1000
        self.record.deadlines.setdefault(request_id.decode(), []).append(deadline_at)
        target_name = head[HEADER_NAMES.expected_target].decode()
        self.record.targets.setdefault(request_id.decode(), set()).add(target_name)
        self.record.last_arrivals[host.ip, target_name] = now
        told_at = self.record.leaving_told_at.get((host.incarnation, target_name), math.inf)
        if self.record.sent_at[request_id.decode()] > told_at + self.shape.bounds.drain_s:
            self.record.late_arrivals.append((now, host.incarnation, target_name))
        told_at = self.record.limit_told_at.get((host.incarnation, target_name), math.inf)
        if now - told_at >= HOST_TOLD_BEFORE_S and not host.is_disturbed:
            self.record.limited_arrivals.setdefault(target_name, []).append(now)
        pair = (host.incarnation, target_name)
        paused_until = self.record.paused_until.get(pair, -math.inf)
        paused_at = paused_until - self.pause_s
        if paused_at + PAUSE_KNOWN_AFTER_S < now < paused_until:
            self.record.unwanted[*pair, paused_until] += 1
        response = await self._answer(request, target_name, request_id)
        if self.pause_s and response.status == 503:
            response.headers.append((b"retry-after", b"%.1f" % self.pause_s))
            until = self._now() + self.pause_s
            if paused_until < self._now():
                self.record.paused_until[pair] = until
        if target_name in self.limits:
            response.headers.append((LIMIT_HEADER, b"%.2f" % self.limits[target_name]))
            self.record.limit_named_at.setdefault(target_name, self._now())
            self.record.limit_told_at.setdefault((host.incarnation, target_name), self._now())
        if target_name in self.leaving:
            response.headers.append((LEAVING_HEADER, b"1"))
            self.record.leaving_told_at.setdefault((host.incarnation, target_name), self._now())
        return response

    async def _answer(self, request: bytes, target_name: str, request_id: bytes) -> HttpResponse:
        now = self._now()
        headers = [(HEADER_NAMES.request_id, request_id)]
        if request.split(b" ")[1] == POISON_PATH.encode():
            self.record.crashes.append((now, target_name))
            raise ConnectionLostError("reset")
        draw = self.rng.random()
        if draw < self.shape.shed_share:
            await asyncio.sleep(MESSAGE_DELAY_S)
            return HttpResponse(503, b"", [*headers, (HEADER_NAMES.not_run, b"1")])
        await asyncio.sleep(self.rng.expovariate(1 / self.shape.work_s))
        if draw < self.shape.shed_share + self.shape.fail_share:
            if self.rng.random() < 0.5:
                raise ConnectionLostError("reset")
            return HttpResponse(500, b"", [*headers, (HEADER_NAMES.signature, b"s")])
        return HttpResponse(200, b"", [*headers, (HEADER_NAMES.signature, b"s")], b"ok")

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    # Load.

    async def run_load(self, duration_s: float) -> None:
        """Send requests to random running hosts for `duration_s`, then wait for the responses."""
        loop = asyncio.get_running_loop()
        probing = loop.create_task(self._answer_probes())
        end_at = loop.time() + duration_s
        while loop.time() < end_at:
            rate = sum(self.account_rates.values()) or self.shape.rate
            await asyncio.sleep(self.rng.expovariate(rate * self.rate_factor))
            running = [host for host in self.hosts.values() if host.is_running]
            rates = self.account_rates
            key = self.rng.choices(list(rates), list(rates.values()))[0] if rates else ""
            if running:
                self.send_request(self.rng.choice(running), key=key)
        await asyncio.wait(self._tasks, timeout=2 * DEADLINE_S)
        probing.cancel()

    async def _answer_probes(self) -> None:
        """Let each connected host get answers to probes, so that it isn't isolated."""
        while True:
            for host in self.hosts.values():
                if host.is_running and not host.is_disturbed:
                    # The host itself is none of its peers, so no peer's state changes.
                    host.live_hosts.record_probe_answer(host.ip, self._now())
            await asyncio.sleep(PROBE_INTERVAL_S)

    def send_poison(self, host: EmulatedHost) -> None:
        """Send a host the request that crashes each target that runs it."""
        self.send_request(host, POISON_PATH)

    def send_request(self, host: EmulatedHost, path: str = "", key: str = "") -> None:
        """Send one request to a host; without a path it is unlike all others."""
        self._request_count += 1
        self.record.requests.append(self._now())
        self.record.sent_at[f"q{self._request_count}"] = self._now()
        headers = [
            (b"host", b"shop"),
            (HEADER_NAMES.request_id, b"q%d" % self._request_count),
            (HEADER_NAMES.deadline_ms, b"%d" % (DEADLINE_S * 1000)),
        ]
        if key:
            headers.append((HEADER_NAMES.account_key, key.encode()))
        method = "GET" if self.shape.idempotent else "POST"
        path = path or f"/{self._request_count}"

        async def handle() -> CallerResponse:
            await host.wait_until_awake()
            request = CallerRequest(method, path, headers, b"", asyncio.get_running_loop().time())
            return await host.handler.handle(request)

        task = asyncio.get_running_loop().create_task(handle())
        self._tasks[task] = host
        task.add_done_callback(self._end_request)
        if key:
            sent_at = self._now()
            task.add_done_callback(lambda task: self._record_account(key, sent_at, task))
        # The caller leaves at its deadline.
        asyncio.get_running_loop().call_later(DEADLINE_S, task.cancel)

    def _end_request(self, task: asyncio.Task[CallerResponse]) -> None:
        del self._tasks[task]
        if not task.cancelled():
            self.statuses.append(task.result().status)

    def _record_account(self, key: str, sent_at: float, task: asyncio.Task[CallerResponse]) -> None:
        status = 0 if task.cancelled() else task.result().status
        self.record.account_responses.setdefault(key, []).append((sent_at, status))

    def set_plan(self, plan: FleetPlan, unaware: frozenset[str] = frozenset()) -> None:
        """Put a plan in force on all hosts but those `unaware`."""
        self.plan = plan
        for ip, host in self.hosts.items():
            if ip not in unaware:
                host.set_plan(plan)

    # Changes of the registered targets.

    def remove_targets(self, names: set[str], unaware: set[str]) -> None:
        """Remove targets; the hosts `unaware` don't learn of it, as without the store."""
        self._entries = [entry for entry in self._entries if entry.name not in names]
        self._change_targets({ip for ip in self.ips if ip not in unaware})

    def replace_targets(self, name: str, aware: set[str]) -> None:
        """Replace all targets by one new target; only the hosts `aware` learn of it."""
        new = target(name, slots=self.shape.slots * self.shape.targets)
        self._entries = [dataclasses.replace(new, revision=self.store_revision + 1)]
        self._change_targets(aware)

    def _change_targets(self, aware: set[str]) -> None:
        self.store_revision += 1
        for ip in aware:
            host = self.hosts[ip]
            host.targets.replace_all(self._entries, grace_until=None)
            host.targets.advance_to(self.store_revision)
            host.slots.targets_changed()

    def regain_store(self, ip: str) -> None:
        """Let a host list the targets after a time without the store."""
        host = self.hosts[ip]
        host.targets.replace_all(self._entries, grace_until=self._now() + REGISTRATION_GRACE_S)
        host.targets.advance_to(self.store_revision)
        host.slots.targets_changed()

    # Failures.

    def kill(self, ip: str, down_s: float) -> None:
        """Kill a host with its requests; a new incarnation starts after `down_s`."""
        host = self.hosts[ip]
        host.is_running = False
        for task, owner in list(self._tasks.items()):
            if owner is host:
                task.cancel()

        def restart() -> None:
            self.hosts[ip] = EmulatedHost(self, ip, self._entries)
            self._announce_later(ip)

        self._declare_dead_later(ip)
        asyncio.get_running_loop().call_later(down_s, restart)

    def disturb(
        self, ip: str, set_state: Callable[[EmulatedHost, bool], None], for_s: float
    ) -> None:
        """Set a state of a host for `for_s`; other hosts take it for dead and alive meanwhile."""
        host = self.hosts[ip]
        set_state(host, True)
        self._declare_dead_later(ip)

        def end() -> None:
            set_state(host, False)
            self._announce_later(ip)

        asyncio.get_running_loop().call_later(for_s, end)

    def part(self, ips: set[str], for_s: float) -> None:
        """Part hosts from the others for `for_s`; each side takes the other for dead meanwhile."""
        loop = asyncio.get_running_loop()
        self.parted = set(ips)
        for ip in self.ips:
            for other in self.ips:
                if (ip in ips) != (other in ips):
                    loop.call_later(self.rng.uniform(0.5, 1.5), self._declare_dead, ip, other)

        def end() -> None:
            self.parted = set()
            for ip in self.ips:
                self._announce_later(ip)

        loop.call_later(for_s, end)

    def add_hosts(self, count: int) -> None:
        """Start further hosts; the others learn of each at a moment of their own."""
        loop = asyncio.get_running_loop()
        for _ in range(count):
            ip = f"10.0.1.{len(self.ips)}"
            self.ips.append(ip)
            self.hosts[ip] = EmulatedHost(self, ip, self._entries)
            for other in self.hosts.values():
                entry = HostEntry(ip, ip, "beaufort", self.hosts[ip].incarnation)
                loop.call_later(
                    self.rng.uniform(0.0, 1.0), other.live_hosts.add_host, entry, self._now()
                )

    def check_host(self, host: EmulatedHost, ip: str) -> None:
        """Let a host probe another one until it has missed as many probes as a dead host does."""
        loop = asyncio.get_running_loop()
        misses = 0

        def probe() -> None:
            nonlocal misses
            misses += not self._reaches(host, ip)
            if misses == len(PROBE_TIMEOUTS_S) and host.is_running:
                self._declare_dead(host.ip, ip)

        for n in range(len(PROBE_TIMEOUTS_S)):
            loop.call_later(sum(PROBE_TIMEOUTS_S[: n + 1]), probe)

    def _reaches(self, host: EmulatedHost, ip: str) -> bool:
        """Return whether another host answers a probe of a host now."""
        other = self.hosts[ip]
        is_parted = (host.ip in self.parted) != (ip in self.parted)
        return other.is_running and not (is_parted or other.is_disturbed or host.is_cut_off)

    def _declare_dead_later(self, ip: str) -> None:
        """Let most of the other hosts declare a host dead, each at a moment of its own."""
        for other in self.ips:
            if other != ip and self.rng.random() < 0.8:
                asyncio.get_running_loop().call_later(
                    self.rng.uniform(0.3, 2.0), self._declare_dead, other, ip
                )

    def _declare_dead(self, by: str, ip: str) -> None:
        live_hosts = self.hosts[by].live_hosts
        now = asyncio.get_running_loop().time()
        live_hosts.record_probe_answer(by, now)  # The host isn't isolated.
        for _ in range(3):
            live_hosts.record_missed_probe(ip, now)

    def _announce_later(self, ip: str) -> None:
        """Let the other hosts find a host alive again, each at a moment of its own."""
        for other in self.ips:
            if other != ip:
                asyncio.get_running_loop().call_later(
                    self.rng.uniform(0.0, 6.0), self._find_alive, other, ip
                )

    def _find_alive(self, by: str, ip: str) -> None:
        host = self.hosts[ip]
        if host.is_running and not host.is_cut_off:
            self.hosts[by].live_hosts.record_probe_answer(ip, asyncio.get_running_loop().time())
