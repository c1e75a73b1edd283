"""Tests of a store that is restored from a copy: what it was told since is lost, revisions return.

The pattern is a fleet that serves while its targets and its operator write again what was lost.
"""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable
from typing import Final

from testtools import TestCase
from toucanspindle_core.clock import MonotonicClock
from toucanspindle_entry.broker import slotmessages
from toucanspindle_entry.broker.slottypes import Grant
from toucanspindle_entry.memoryaccount import MemoryAccount
from toucanspindle_entry.model import HostEntry, TargetState
from toucanspindle_entry.store.objectstore import ObjectKind
from toucanspindle_entry.store.storewatch import (
    CHANGE_INTERVAL_S,
    REGISTRATION_GRACE_S,
    StoreProgress,
    StoreWatch,
)
from toucanspindle_entry.targets.targettable import TargetTable
from toucanspindle_standins.httpserver import HttpAnswer
from toucanspindle_standins.processes import AddressPool

from metastore import MetaStore
from platformstore import PlatformStore
from tests.entrycase import target
from tests.test_entry_storerelay import (
    MAX_LAG_S,
    SILENT_CALL_S,
    WATCH_WAITS_S,
    RelayFleet,
    RelayHost,
    Scenario,
)
from tests.test_entry_storewatch import RecordingListener, wait_until_true
from tests.virtualtime import LoopClock, run_in_virtual_time

MAX_CHANGE_INTERVAL_S: Final = max(CHANGE_INTERVAL_S.values())
LOST: Final = ("t7", "t8")  # Written after the copy was made.


def target_spec(slots: int = 4) -> dict[str, object]:
    return {
        "Address": "127.0.0.1:9000",
        "Info": {"Service": "s", "MaxConcurrency": slots},
        "Status": {"State": "ready"},
        "born": 1,
    }


class StandInTests(TestCase):
    """A watch and the client of the platform's store before the stand-in, over HTTP."""

    def run_with_store(
        self, scenario: Callable[[MetaStore, RecordingListener, StoreWatch], Awaitable[None]]
    ) -> None:
        async def run() -> None:
            store = MetaStore(AddressPool().allocate())
            await store.start()
            client = PlatformStore(store.address, MemoryAccount(10_000_000))
            listener = RecordingListener()
            watch = StoreWatch(
                client, ObjectKind.TARGETS, listener, MonotonicClock(), random.Random(1)
            )
            store.put("servers", "a", target_spec())
            watch.start()
            try:
                async with asyncio.timeout(10):
                    await wait_until_true(lambda: watch.revision > 0)
                    await scenario(store, listener, watch)
            finally:
                await watch.close()
                await client.close()
                await store.close()

        asyncio.run(run())

    # Guards against changes that are missed since a revision was given out again: a watch from it
    # gets no 410 then, and only the era tells.
    def test_watch_lists_anew_though_its_revision_exists_again(self) -> None:
        async def scenario(
            store: MetaStore, listener: RecordingListener, watch: StoreWatch
        ) -> None:
            earlier = store.take_copy()
            store.put("servers", "b", target_spec())
            await wait_until_true(lambda: listener.changes == [("b", False)])
            seen: list[int] = []
            watch.add_era_observer(lambda era, _: seen.append(era))
            store.restore(earlier)
            for n in range(3):
                store.put("servers", f"c{n}", target_spec())
            await wait_until_true(lambda: len(listener.listings) == 2)
            self.assertEqual([False, True], listener.listings)
            self.assertEqual((1, [1]), (watch.era, seen))
            store.put("servers", "d", target_spec())
            await wait_until_true(lambda: listener.changes[-1:] == [("d", True)])

        self.run_with_store(scenario)

    # Guards against a watch that waits forever from a revision that the store doesn't have.
    def test_watch_answered_410_lists(self) -> None:
        async def scenario(
            store: MetaStore, listener: RecordingListener, watch: StoreWatch
        ) -> None:
            earlier = store.take_copy()
            store.put("servers", "b", target_spec())
            await wait_until_true(lambda: len(listener.changes) == 1)
            store.restore(earlier)
            await wait_until_true(lambda: len(listener.listings) == 2)
            self.assertLess(watch.revision, store.put("servers", "c", target_spec()))

        self.run_with_store(scenario)

    # Guards against a listing whose pages mix what was lost with what was written again.
    def test_listing_across_a_restoration_is_of_one_era(self) -> None:
        async def scenario(
            store: MetaStore, listener: RecordingListener, watch: StoreWatch
        ) -> None:  # noqa: ARG001
            await watch.close()
            client = PlatformStore(store.address, MemoryAccount(10_000_000))
            earlier = store.take_copy()
            for n in range(30):
                store.put("servers", f"b{n}", target_spec())
            read_page = store._handle_read

            def read_and_restore(kind: str, name: str, after: str) -> HttpAnswer:
                if not store.era:
                    asyncio.get_running_loop().call_soon(store.restore, earlier)
                return read_page(kind, name, after)

            store._handle_read = read_and_restore  # type: ignore[method-assign]
            try:
                listing = await client.list_all(ObjectKind.TARGETS)
                self.assertEqual((1, ["a"]), (listing.era, [item.name for item in listing.items]))
                self.assertEqual(1, listing.items[0].value.era)
                host = HostEntry("h", "10.0.0.1", "d", "1")
                self.assertEqual(1, await client.put_host("h", host))
            finally:
                await client.close()

        self.run_with_store(scenario)


class EraFleetTests(TestCase):
    """Hosts with real watches and relays in virtual time."""

    def play(self, scenario: Scenario, size: int = 40, loss: float = 0.0) -> None:
        async def main() -> None:
            fleet = RelayFleet(size, loss)
            for host in fleet.hosts.values():
                host.start()
            await asyncio.sleep(5.0)
            copied_at = fleet.store.revision
            for name in LOST:
                fleet.store.put(name, target(name))
            await asyncio.sleep(MAX_LAG_S)
            self.assertEqual({7}, {host.table.size for host in fleet.hosts.values()})
            fleet.store.restore(copied_at)
            await scenario(fleet)
            await asyncio.gather(*(host.close() for host in fleet.hosts.values()))

        run_in_virtual_time(main())

    def check_knows_store(self, hosts: list[RelayHost], fleet: RelayFleet) -> None:
        for host in hosts:
            host.table.expire_unconfirmed()
            known = {e.name: (e.slots, e.era) for e in host.table.of_service("orders")}
            stored = {name: (e.slots, e.era) for name, (e, _) in fleet.store.objects.items()}
            self.assertEqual(stored, known, host.ip)
            self.assertEqual(frozenset(), host.table.unconfirmed)

    # Guards against targets that are dropped since the copy lacks them, on hosts that learn of the
    # era from the store or by relay, and against listings in a loop.
    def test_each_host_lists_once_and_keeps_targets_that_are_written_again(self) -> None:
        async def write_again(fleet: RelayFleet) -> None:
            fleet.store.listings.clear()
            hosts = list(fleet.hosts.values())
            for _ in range(15):
                await asyncio.sleep(0.1)
                kept = {h.ip for h in hosts if all(h.table.get(name) for name in LOST)}
                self.assertEqual(set(fleet.hosts), kept)
                left = [h.table.has_left(name, 1, 6, 0) for h in hosts for name in LOST]
                self.assertFalse(any(left))
            self.assertEqual({1}, {host.watch.era for host in hosts})
            self.assertEqual({1}, {fleet.store.listings[host.ip] for host in hosts})
            lag_s = await fleet.lag_s(hosts, "t7", target("t7", slots=5))
            self.assertLess(lag_s, MAX_LAG_S)
            await asyncio.sleep(REGISTRATION_GRACE_S)
            self.check_knows_store(hosts, fleet)  # Nobody wrote the other one again.

        self.play(write_again)
        self.play(write_again, size=150)

    def test_hosts_on_lossy_links_agree(self) -> None:
        async def write_again(fleet: RelayFleet) -> None:
            await asyncio.sleep(1.0)
            for name in LOST:
                fleet.store.put(name, target(name, slots=7))
            await asyncio.sleep(MAX_LAG_S + REGISTRATION_GRACE_S)
            self.check_knows_store(list(fleet.hosts.values()), fleet)

        self.play(write_again, loss=0.05)

    # Guards against a host that compares a relayed revision of the new era with its own, and skips
    # or applies changes that don't lead on from what it knows.
    def test_host_without_the_store_keeps_its_targets_and_lists_when_it_can(self) -> None:
        async def cut_off(fleet: RelayFleet) -> None:
            host = next(host for host in fleet.hosts.values() if not host.relay.is_watcher)
            fleet.store.silent_for = lambda ip: ip == host.ip
            for n in range(9):  # Beyond the revision that the host knows.
                await asyncio.sleep(1.0)
                fleet.store.put("t9", target("t9", slots=n + 1))
            self.assertEqual((0, 7), (host.watch.era, host.table.size))
            self.assertFalse(host.table.has_left("t9", 1, 5, 1))
            fleet.store.silent_for = lambda _: False
            await asyncio.sleep(MAX_LAG_S + SILENT_CALL_S + REGISTRATION_GRACE_S)
            self.check_knows_store([host], fleet)

        self.play(cut_off)

    # Guards against a host that goes on in the old era with others that missed the new one too, and
    # against hosts of the new era that believe them.
    def test_hosts_cut_off_at_the_time_are_ignored_and_catch_up(self) -> None:
        async def cut_off(fleet: RelayFleet) -> None:
            late = list(fleet.hosts.values())[:20]
            late_ips = {host.ip for host in late}
            fleet.store.silent_for = lambda ip: ip in late_ips
            for host in late:
                host.is_cut_off = True
            await asyncio.sleep(2.0)
            for host in late:
                host.is_cut_off = False
            await asyncio.sleep(1.0)
            others = [host for host in fleet.hosts.values() if host not in late]
            self.assertEqual({1}, {host.watch.era for host in others})
            self.assertEqual({0}, {host.watch.era for host in late})
            fleet.store.put("t7", target("t7", slots=6))
            fleet.store.silent_for = lambda _: False
            await asyncio.sleep(MAX_LAG_S + SILENT_CALL_S + REGISTRATION_GRACE_S)
            self.check_knows_store(list(fleet.hosts.values()), fleet)

        self.play(cut_off)

    # Guards against a host that never follows the watchers again, since a revision that it had to
    # reach in the old era is far off in the new one.
    def test_host_that_was_behind_follows_again(self) -> None:
        async def restore(fleet: RelayFleet) -> None:
            host = next(host for host in fleet.hosts.values() if not host.relay.is_watcher)
            host.watch.receive(StoreProgress(100, 100, 0.0, 0.0, None))
            await asyncio.sleep(5.0)
            self.assertEqual(1, host.watch.era)
            fleet.store.calls.clear()
            await asyncio.sleep(5.0)
            self.assertEqual(0, fleet.store.calls[host.ip])

        self.play(restore, size=100)

    def test_store_that_goes_back_twice_within_a_second(self) -> None:
        async def again(fleet: RelayFleet) -> None:
            await asyncio.sleep(0.5)
            revision = fleet.store.revision
            fleet.store.put("t9", target("t9"))
            await asyncio.sleep(0.3)
            fleet.store.restore(revision)
            fleet.store.put("t7", target("t7", slots=8))
            # Where the revision of a watch exists again, only the end of its wait shows the era.
            await asyncio.sleep(MAX_CHANGE_INTERVAL_S + WATCH_WAITS_S[1] + REGISTRATION_GRACE_S)
            self.assertEqual({2}, {host.watch.era for host in fleet.hosts.values()})
            self.check_knows_store(list(fleet.hosts.values()), fleet)

        self.play(again)


class EraTableTests(TestCase):
    def play(self, use: Callable[[TargetTable], Awaitable[None]]) -> None:
        async def main() -> None:
            table = TargetTable(LoopClock())
            old = dataclasses.replace(target("a", state=TargetState.DRAINING), revision=9)
            table.replace_all([old], grace_until=None)
            table.advance_to(9)
            table.begin_era(1, REGISTRATION_GRACE_S)
            ready = dataclasses.replace(target("a"), revision=5, era=1)
            table.replace_all([ready], REGISTRATION_GRACE_S)
            table.advance_to(5)
            await use(table)

        run_in_virtual_time(main())

    # Guards against a target that counts as gone, or as registered, by a revision of another era.
    def test_unknown_entry_of_another_era(self) -> None:
        async def use(table: TargetTable) -> None:
            heard: list[int] = []
            table.set_era_listener(heard.append)
            self.assertEqual(5, table.newest_change)
            self.assertFalse(table.has_left("b", 1, 3, 0))
            self.assertFalse(table.has_left("b", 1, 3, 2))
            self.assertTrue(table.has_left("b", 1, 3, 1))
            await asyncio.sleep(REGISTRATION_GRACE_S)
            self.assertTrue(table.has_left("b", 1, 3, 0))
            self.assertFalse(table.has_left("b", 1, 3, 2))
            self.assertEqual([2, 2], heard)
            table.remove("a")
            self.assertTrue(table.has_left("a", 1, 3, 1))
            self.assertFalse(table.has_left("a", 1, 3, 2))

        self.play(use)

    # Guards against a grace that ends too soon since the store goes back once more within it.
    def test_entry_that_is_missing_in_two_eras_has_the_grace_of_the_later_one(self) -> None:
        async def use(table: TargetTable) -> None:
            table.mark_unconfirmed("a", REGISTRATION_GRACE_S)
            table.begin_era(2, REGISTRATION_GRACE_S + 1.0)
            await asyncio.sleep(REGISTRATION_GRACE_S)
            self.assertFalse(table.has_left("a", 1, 5, 1))
            self.assertFalse(table.expire_unconfirmed())
            await asyncio.sleep(1.0)
            self.assertTrue(table.expire_unconfirmed())

        self.play(use)

    # Guards against requests to a draining target whose drain the copy lacks.
    def test_drain_that_the_copy_lacks_holds_until_the_grace_ends(self) -> None:
        async def use(table: TargetTable) -> None:
            def state() -> TargetState | None:
                entry = table.get("a")
                return entry.state if entry else None

            self.assertFalse(table.expire_unconfirmed())
            self.assertIs(TargetState.DRAINING, state())
            await asyncio.sleep(REGISTRATION_GRACE_S)
            self.assertTrue(table.expire_unconfirmed())
            self.assertIs(TargetState.READY, state())

        self.play(use)

    # Guards against other bytes between hosts before a store that tells no era.
    def test_grant_tells_the_era_only_if_there_is_one(self) -> None:
        grant = Grant("1", "10.0.0.1", "a", 0.0, 0.0)
        for era, expected in ((0, [1, 7]), (3, [1, 7, 3])):
            entry = dataclasses.replace(target("a"), revision=7, era=era)
            self.assertEqual(expected, slotmessages.encode_decision("s", grant, entry)[7:])
