"""Tests of the relay of the store's changes: few hosts watch the store, all know its changes.

The pattern is a fleet of hundreds of hosts before a store whose calls are limited and charged.
"""

import asyncio
import dataclasses
import random
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any, Final

from testtools import TestCase
from toucanspindle_core import errorcodes
from toucanspindle_core.errors import PlatformError
from toucanspindle_entry.hosts.datagrams import Message
from toucanspindle_entry.hosts.livehosts import LiveHosts
from toucanspindle_entry.model import (
    CallerLimits,
    FleetPlan,
    HostEntry,
    Route,
    TargetState,
    WeightedService,
)
from toucanspindle_entry.store.objectstore import (
    HistoryLostError,
    ObjectKind,
    StoreChange,
    StoreChanges,
    StoreItem,
    StoreListing,
)
from toucanspindle_entry.store.storemessages import decode_progress, encode_progress
from toucanspindle_entry.store.storerelay import StoreRelay
from toucanspindle_entry.store.storewatch import StoreProgress, StoreWatch
from toucanspindle_entry.storelisteners import TargetListener
from toucanspindle_entry.targets.targettable import TargetTable

from tests.entrycase import target
from tests.virtualtime import LoopClock, run_in_virtual_time

DOMAINS: Final = ("a", "b", "c", "d")
WATCH_WAITS_S: Final = (1.2, 3.0)
CALL_S: Final = 0.004
MESSAGE_DELAY_S: Final = 0.001
# The stated bound from the acknowledgement of a drain to its effect on each connected host.
MAX_LAG_S: Final = 2.0
SILENT_CALL_S: Final = 3.8


class EmulatedStore:
    """A store of targets in virtual time, which counts its calls."""

    def __init__(self) -> None:
        self.revision = 0
        self.era = 0
        self.objects: dict[str, tuple[Any, int]] = {}
        self.history: list[StoreChange] = []
        self.first_kept = 0
        self.calls: Counter[str] = Counter()
        self.listings: Counter[str] = Counter()
        self.silent_for: Callable[[str], bool] = lambda _: False
        self.is_down = False
        self.rng = random.Random(2)
        self._changed = asyncio.Event()

    def put(self, name: str, value: Any) -> None:
        self.revision += 1
        if value is None:
            del self.objects[name]
        else:
            value = dataclasses.replace(value, revision=self.revision, era=self.era)
            self.objects[name] = (value, self.revision)
        self.history.append(StoreChange(name, value, value is None, self.revision))
        self._changed.set()
        self._changed = asyncio.Event()

    def restore(self, revision: int) -> None:
        """Go back to a revision and begin the next era; the calls that wait are aborted."""
        self.revision = revision
        self.era += 1
        self.history = [change for change in self.history if change.revision <= revision]
        self.objects.clear()
        for change in self.history:
            if change.removed:
                del self.objects[change.name]
            else:
                value = dataclasses.replace(change.value, era=self.era)
                self.objects[change.name] = (value, change.revision)
        self._changed.set()
        self._changed = asyncio.Event()

    async def enter(self, ip: str) -> None:
        """Begin a call of a host; raise PlatformError if the store doesn't serve it."""
        self.calls[ip] += 1
        await asyncio.sleep(CALL_S)
        if self.silent_for(ip):
            await asyncio.sleep(SILENT_CALL_S)
            raise PlatformError(errorcodes.PLATFORM_UNREACHABLE, "no answer", "wait")
        if self.is_down:
            raise PlatformError(errorcodes.PLATFORM_UNREACHABLE, "down", "wait")

    async def watch(self, ip: str, revision: int, max_wait_s: float | None = None) -> StoreChanges:
        await self.enter(ip)
        era = self.era
        wait_s = min(self.rng.uniform(*WATCH_WAITS_S), max_wait_s or WATCH_WAITS_S[1])
        deadline = asyncio.get_running_loop().time() + wait_s
        while True:
            if era != self.era:
                raise PlatformError(errorcodes.PLATFORM_UNREACHABLE, "restored", "wait")
            if not self.first_kept <= revision <= self.revision:
                raise HistoryLostError
            changes = tuple(change for change in self.history if change.revision > revision)
            left_s = deadline - asyncio.get_running_loop().time()
            if changes or left_s <= 0:
                return StoreChanges(changes, self.revision, self.era)
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue


class StoreClient:
    """The store as one host calls it."""

    def __init__(self, store: EmulatedStore, ip: str) -> None:
        self._store = store
        self._ip = ip

    async def list_all(
        self, kind: ObjectKind, may_be_stale: bool = False  # noqa: ARG002
    ) -> StoreListing:
        self._store.listings[self._ip] += 1
        await self._store.enter(self._ip)
        items = [StoreItem(name, value) for name, (value, _) in self._store.objects.items()]
        return StoreListing(tuple(items), self._store.revision, self._store.era)

    async def watch(
        self, kind: ObjectKind, revision: int, max_wait_s: float | None = None  # noqa: ARG002
    ) -> StoreChanges:
        return await self._store.watch(self._ip, revision, max_wait_s)

    async def put_host(self, name: str, value: Any) -> int:
        raise NotImplementedError

    async def close(self) -> None:
        raise NotImplementedError


class RelayHost:
    """A host with the real watch and relay; `known` holds the objects that it knows."""

    def __init__(self, fleet: "RelayFleet", ip: str, domain: str) -> None:
        self.ip = ip
        self.is_cut_off = False
        self.known: dict[str, Any] = {}
        self.graces: list[bool] = []
        self.table = TargetTable(LoopClock())
        self._table_listener = TargetListener(self.table, self.targets_changed)
        rng = random.Random(ip)
        self.hosts = LiveHosts(HostEntry(ip, ip, domain, ip), rng)
        self.relay = StoreRelay(
            self.hosts,
            lambda to, message: fleet.deliver(ip, to, message),
            may_spare_calls=fleet.may_spare_calls,
        )
        client = StoreClient(fleet.store, ip)
        self.watch = StoreWatch(
            client, ObjectKind.TARGETS, self, LoopClock(), rng, exchange=self.relay
        )
        self.relay.set_watches({ObjectKind.TARGETS: self.watch})
        self.relay.set_ready(True)
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self.watch.start()
        self._task = asyncio.get_running_loop().create_task(self.relay.run())

    async def close(self) -> None:
        assert self._task is not None
        self._task.cancel()
        await self.watch.close()

    def targets_changed(self) -> None:
        return

    def on_listing(self, listing: StoreListing, grace_until: float | None) -> None:
        self._table_listener.on_listing(listing, grace_until)
        self.known = {item.name: item.value for item in listing.items}

    def on_changes(self, changes: StoreChanges, grace_until: float | None) -> None:
        self._table_listener.on_changes(changes, grace_until)
        self.graces.append(grace_until is not None)
        for change in changes.changes:
            if change.removed:
                self.known.pop(change.name, None)
            else:
                self.known[change.name] = change.value


class RelayFleet:
    """Hosts in four failure domains that know each other."""

    def __init__(self, size: int, loss: float = 0.0, *, may_spare_calls: bool = False) -> None:
        self.may_spare_calls = may_spare_calls
        self.store = EmulatedStore()
        self.loss = loss
        self.rng = random.Random(1)
        for n in range(5):
            self.store.put(f"t{n}", target(f"t{n}"))
        self.hosts = {
            f"10.0.0.{n}": RelayHost(self, f"10.0.0.{n}", DOMAINS[n % 4]) for n in range(size)
        }
        for host in self.hosts.values():
            for other in self.hosts.values():
                host.hosts.add_host(other.hosts.own, 0.0)

    def deliver(self, sender: str, receiver: str, message: Message) -> None:
        ends = (self.hosts[sender], self.hosts[receiver])
        if any(host.is_cut_off for host in ends) or self.rng.random() < self.loss:
            return
        asyncio.get_running_loop().call_later(
            MESSAGE_DELAY_S, ends[1].relay.handle_message, sender, message
        )

    def watchers(self) -> list[RelayHost]:
        return [host for host in self.hosts.values() if host.relay.is_watcher]

    async def lag_s(self, hosts: list[RelayHost], name: str, value: Any) -> float:
        """Change an object; return how long it takes until the hosts know of it."""
        loop = asyncio.get_running_loop()
        changed_at = loop.time()
        self.store.put(name, value)
        stored = self.store.objects.get(name, (None, 0))[0]
        while any(host.known.get(name) != stored for host in hosts):
            await asyncio.sleep(0.01)
            if loop.time() - changed_at > 10.0:
                break
        return loop.time() - changed_at


Scenario = Callable[[RelayFleet], Coroutine[Any, Any, None]]


class StoreRelayTests(TestCase):
    def play(self, scenario: Scenario, size: int = 40, loss: float = 0.0) -> None:
        async def main() -> None:
            fleet = RelayFleet(size, loss)
            for host in fleet.hosts.values():
                host.start()
            await asyncio.sleep(5.0)
            await scenario(fleet)
            await asyncio.gather(*(host.close() for host in fleet.hosts.values()))

        run_in_virtual_time(main())

    # Guards against a call of each host for each change.
    def test_calls_for_a_change_do_not_grow_with_the_fleet(self) -> None:
        calls: list[int] = []

        async def change_often(fleet: RelayFleet) -> None:
            fleet.store.calls.clear()
            for n in range(20):
                await asyncio.sleep(1.0)
                fleet.store.put("t1", target("t1", slots=n + 1))
            calls.append(fleet.store.calls.total())
            known = {host.known["t1"].slots for host in fleet.hosts.values()}
            self.assertEqual(1, len(known))

        for size in (40, 300):
            self.play(change_often, size)
        self.assertLess(calls[1], 1.2 * calls[0])
        # Two watchers in each of four domains, one call for each change or two seconds.
        self.assertLess(calls[1], 8 * 35)

    def test_change_reaches_all_hosts_within_the_bound_on_lossy_links(self) -> None:
        async def drain(fleet: RelayFleet) -> None:
            hosts = list(fleet.hosts.values())
            for n in range(10):
                value = target("t1", state=TargetState.DRAINING, slots=n + 1)
                self.assertLess(await fleet.lag_s(hosts, "t1", value), MAX_LAG_S)

        self.play(drain, loss=0.05)

    # Guards against hosts that go on trusting watchers which no longer hear of the store.
    def test_change_reaches_hosts_whose_watchers_are_gone_or_without_the_store(self) -> None:
        async def lose_watchers(fleet: RelayFleet) -> None:
            lost = fleet.watchers()[::2]
            for host in lost:
                host.is_cut_off = True
            others = [host for host in fleet.hosts.values() if host not in lost]
            lag_s = await fleet.lag_s(others, "t2", target("t2", state=TargetState.DRAINING))
            self.assertLess(lag_s, MAX_LAG_S)

        async def silence_all_watchers(fleet: RelayFleet) -> None:
            lost = {host.ip for host in fleet.watchers()}
            fleet.store.silent_for = lambda ip: ip in lost
            others = [host for host in fleet.hosts.values() if host.ip not in lost]
            lag_s = await fleet.lag_s(others, "t2", target("t2", state=TargetState.DRAINING))
            self.assertLess(lag_s, MAX_LAG_S)

        async def cut_off_all_watchers(fleet: RelayFleet) -> None:
            lost = fleet.watchers()
            for host in lost:
                host.is_cut_off = True
            others = [host for host in fleet.hosts.values() if host not in lost]
            lag_s = await fleet.lag_s(others, "t2", target("t2", state=TargetState.DRAINING))
            self.assertLess(lag_s, MAX_LAG_S)

        for scenario in (lose_watchers, silence_all_watchers, cut_off_all_watchers):
            self.play(scenario)

    # Guards against a watch call that is sent in the last moments of a silent outage, is never
    # answered, and holds up every host until its timeout.
    def test_change_after_a_silent_outage_reaches_all_hosts_soon(self) -> None:
        async def darken(fleet: RelayFleet) -> None:
            fleet.store.put("t1", target("t1", slots=9))
            await asyncio.sleep(0.1)
            fleet.store.silent_for = lambda _: True
            await asyncio.sleep(3.3)
            fleet.store.silent_for = lambda _: False
            hosts = list(fleet.hosts.values())
            # Bounds hold again 3 s after the outage.
            await asyncio.sleep(3.0)
            lag_s = await fleet.lag_s(hosts, "t3", target("t3", state=TargetState.DRAINING))
            self.assertLess(lag_s, MAX_LAG_S)

        self.play(darken)

    def test_host_that_missed_changes_asks_the_store_for_them(self) -> None:
        async def cut_off_follower(fleet: RelayFleet) -> None:
            host = next(host for host in fleet.hosts.values() if not host.relay.is_watcher)
            host.is_cut_off = True
            fleet.store.silent_for = lambda ip: ip == host.ip
            fleet.store.put("t1", None)
            fleet.store.put("t9", target("t9"))
            await asyncio.sleep(4.0)
            self.assertIn("t1", host.known)
            host.is_cut_off = False
            fleet.store.silent_for = lambda _: False
            await asyncio.sleep(MAX_LAG_S + SILENT_CALL_S)
            self.assertEqual(set(fleet.store.objects), set(host.known))

        self.play(cut_off_follower)

    # Guards against a change that is lost for good: the store may drop its history without notice,
    # and then answers a watch from an old revision without the changes since.
    def test_host_without_confirmation_for_long_lists_anew(self) -> None:
        async def drop_history(fleet: RelayFleet) -> None:
            host = next(host for host in fleet.hosts.values() if not host.relay.is_watcher)
            host.is_cut_off = True
            fleet.store.silent_for = lambda ip: ip == host.ip
            await asyncio.sleep(0.5)
            fleet.store.put("t1", None)
            fleet.store.history.clear()
            await asyncio.sleep(5.0)
            host.is_cut_off = False
            fleet.store.silent_for = lambda _: False
            await asyncio.sleep(MAX_LAG_S + SILENT_CALL_S)
            self.assertNotIn("t1", host.known)

        self.play(drop_history)

    # Guards against targets that are taken for gone by hosts which follow a watcher, though their
    # entries have only lapsed during an outage.
    def test_grace_after_an_outage_is_passed_on(self) -> None:
        async def lapse(fleet: RelayFleet) -> None:
            fleet.store.is_down = True
            await asyncio.sleep(3.0)
            fleet.store.is_down = False
            await asyncio.sleep(1.2)
            for host in fleet.hosts.values():
                host.graces.clear()
            fleet.store.put("t4", None)
            await asyncio.sleep(0.9)
            without = [host.ip for host in fleet.hosts.values() if not any(host.graces)]
            self.assertEqual([], without)

        self.play(lapse)


class StoreMessageTests(TestCase):
    def test_changes_survive_encoding(self) -> None:
        entry = dataclasses.replace(target("t1", started_ms=5), revision=7, warmup_s=0.5)
        plan = FleetPlan(
            3,
            (Route("r", "h", "/", True, 4.0, 1.5, 2, 1, (WeightedService("s", 0.5),)),),
            frozenset({"s", "t"}),
            CallerLimits(idle_timeout_s=9.0),
        )
        for kind, changes in (
            (ObjectKind.TARGETS, (StoreChange("t1", entry, False, 7),)),
            (ObjectKind.TARGETS, (StoreChange("t1", None, True, 8), StoreChange("x", None, False))),
            (ObjectKind.PLAN, (StoreChange("main", plan, False, 9),)),
            (ObjectKind.PLAN, ()),
            (ObjectKind.PLAN, None),
        ):
            progress = StoreProgress(4, 9, 0.25, 1.5, changes)
            self.assertEqual((kind, progress), decode_progress(encode_progress(kind, progress)))

    # Guards against one malformed message that is applied in part.
    def test_malformed_state_is_refused_whole(self) -> None:
        good = encode_progress(
            ObjectKind.TARGETS,
            StoreProgress(0, 5, 0.0, 0.0, (StoreChange("t1", target("t1"), False, 5),)),
        )
        for bad in (
            [],
            ["planets", *good[1:]],
            [*good[:5], [["t1", 0, 5, ["t1"]]]],
            [good[0], "x", *good[2:]],
            [*good[:5], 7],
        ):
            self.assertRaises((ValueError, TypeError, IndexError, KeyError), decode_progress, bad)
