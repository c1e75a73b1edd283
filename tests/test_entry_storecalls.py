"""Tests of how often a large fleet calls the store.

The pattern is a fleet of over a hundred hosts whose targets change now and then, before a store
that charges for each call.
"""

import asyncio
import dataclasses
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Final

from testtools import TestCase
from toucanspindle_entry.model import ClientAccount, TargetState
from toucanspindle_entry.store.objectstore import ObjectKind

from tests.entrycase import target
from tests.nodefleet import DOMAINS, NodeFleet, VirtualNode, plan
from tests.test_entry_storerelay import MAX_LAG_S, RelayFleet
from tests.virtualtime import run_in_virtual_time

LARGE: Final = 114
SMALL: Final = 40
TARGETS: Final = 160
LISTINGS: Final = {"list plan", "list targets"}
LISTED_READY_S: Final = 0.02  # Four pages of targets from the emulated store.


class RareChangeTests(TestCase):
    def play(self, size: int) -> list[int]:
        """Change a target each 5 s; return the calls of the hosts that aren't watchers."""
        calls: list[int] = []

        async def main() -> None:
            fleet = RelayFleet(size, may_spare_calls=True)
            for host in fleet.hosts.values():
                host.start()
            await asyncio.sleep(10.0)
            fleet.store.calls.clear()
            for n in range(8):
                lag_s = await fleet.lag_s(
                    list(fleet.hosts.values()), "t1", target("t1", slots=n + 1)
                )
                self.assertLess(lag_s, MAX_LAG_S)
                await asyncio.sleep(5.0)
            watchers = {host.ip for host in fleet.watchers()}
            calls.extend(n for ip, n in fleet.store.calls.items() if ip not in watchers)
            # The same bound without the watcher whose calls are the shortest.
            for host in fleet.watchers():
                host.is_cut_off = host.relay.is_first_watcher
            hosts = [host for host in fleet.hosts.values() if not host.is_cut_off]
            draining = target("t2", state=TargetState.DRAINING)
            self.assertLess(await fleet.lag_s(hosts, "t2", draining), MAX_LAG_S)
            await asyncio.gather(*(host.close() for host in fleet.hosts.values()))

        run_in_virtual_time(main())
        return calls

    # Guards against a call of each host 1.4 s after each change: the watchers' calls all begin
    # after a change, and none of them ended earlier.
    def test_hosts_that_follow_do_not_call_after_a_change(self) -> None:
        self.assertEqual([], self.play(LARGE))


class HostListingTests(TestCase):
    def play(self, size: int) -> tuple[float, int]:
        """Start a fleet; return the listings of hosts that one host makes in 42 s, on average."""
        results: list[tuple[float, int]] = []

        async def main() -> None:
            fleet = NodeFleet()
            for n in range(TARGETS):
                fleet.store.put(ObjectKind.TARGETS, f"t{n}", target(f"t{n}"))
            await fleet.start_all(size, spread_s=1.0)
            await asyncio.sleep(42.0)
            pages = sum(n for (_, call), n in fleet.store.callers.items() if call == "stale hosts")
            least_known = min(len(node._hosts.peers) for node in fleet.nodes.values())
            sizes = {node._hosts.fleet_size for node in fleet.nodes.values()}
            self.assertEqual({size}, sizes)
            results.append((pages / size / -(-size // 50), least_known + 1))
            await fleet.close()

        run_in_virtual_time(main())
        return results[0]

    # Guards against listings that go on though the hosts know each other.
    def test_large_fleet_lists_its_hosts_rarely(self) -> None:
        listings, least_known = self.play(LARGE)
        self.assertLessEqual(listings, 3.5)
        self.assertEqual(LARGE, least_known)

    def test_small_fleet_lists_them_as_before(self) -> None:
        listings, least_known = self.play(SMALL)
        self.assertGreater(listings, 6.5)
        self.assertEqual(SMALL, least_known)


class PlanConfirmationTests(TestCase):
    # Guards against listings of the plan by each watcher, where those of one for each failure
    # domain confirm it for all hosts.
    def test_one_watcher_of_each_domain_lists_the_plan(self) -> None:
        async def main() -> None:
            fleet = NodeFleet()
            accounts = (ClientAccount("a", ("digest",)),)
            confirmed = dataclasses.replace(plan(1), accounts=accounts)
            fleet.store.put(ObjectKind.PLAN, "main", confirmed)
            await fleet.start_all(LARGE, spread_s=1.0)
            await asyncio.sleep(5.0)
            fleet.store.callers.clear()
            ages: list[float] = []
            for _ in range(40):
                await asyncio.sleep(0.5)
                now = asyncio.get_running_loop().time()
                ages += [node._freshness.age_s(now) for node in fleet.nodes.values()]
            listings = Counter(
                {ip: n for (ip, call), n in fleet.store.callers.items() if call == "list plan"}
            )
            # 20 s of listings after the emulated store's waits of up to 3 s.
            first = sum(n for _, n in listings.most_common(len(DOMAINS)))
            self.assertGreaterEqual(first, len(DOMAINS) * 6)
            # The others list less than half as often: only if the first one's news come late.
            self.assertLess(sum(listings.values()) - first, first / 2)
            self.assertLess(max(ages), 2.0)
            await fleet.close()

        run_in_virtual_time(main())


class SnapshotTests(TestCase):
    """Hosts that start beside hosts that know the targets."""

    def play(
        self, scenario: Callable[[NodeFleet], Awaitable[None]], size: int, loss: float
    ) -> None:
        async def main() -> None:
            fleet = NodeFleet(loss)
            for n in range(TARGETS):
                fleet.store.put(ObjectKind.TARGETS, f"t{n:03}", target(f"t{n:03}"))
            await fleet.start_all(size, spread_s=1.0)
            await asyncio.sleep(4.0)
            await scenario(fleet)
            await fleet.close()

        run_in_virtual_time(main())

    async def start_one(self, fleet: NodeFleet) -> tuple[VirtualNode, set[str]]:
        """Start a host; return it and the kinds that it listed until it was ready."""
        fleet.store.callers.clear()
        node = await fleet.start(len(fleet.nodes))
        async with asyncio.timeout(10.0):
            while not node.is_ready:
                await asyncio.sleep(0.001)
        ip = node.host_ip
        fleet.ready_after_s[ip] = asyncio.get_running_loop().time() - fleet.started_at[ip]
        return node, {call for caller, call in fleet.store.callers if caller == ip} & LISTINGS

    def check_targets(self, fleet: NodeFleet, node: VirtualNode) -> None:
        stored = fleet.store.objects[ObjectKind.TARGETS]
        known = {entry.name: entry.slots for entry in node._targets.all_entries()}
        self.assertEqual({name: entry.slots for name, entry in stored.items()}, known)

    # Guards against pages of listings for each host that starts, and against a snapshot whose
    # later pages are taken for the state at the revision of the first.
    def test_host_of_a_large_fleet_starts_without_listing(self) -> None:
        async def start_while_targets_change(fleet: NodeFleet) -> None:
            store = fleet.store

            def change() -> None:
                store.put(ObjectKind.TARGETS, "t002", None)
                store.put(ObjectKind.TARGETS, "t157", target("t157", slots=7))

            for n in range(8):
                asyncio.get_running_loop().call_later(n * 0.003, change if not n else int)
                node, listings = await self.start_one(fleet)
                self.assertEqual(set(), listings)
                if not n:
                    await asyncio.sleep(MAX_LAG_S)
                self.check_targets(fleet, node)
                self.assertLess(fleet.ready_after_s[node.host_ip], LISTED_READY_S + 0.03)

        self.play(start_while_targets_change, LARGE, loss=0.0)

    # Guards against a start that waits for lost datagrams, or takes a part for the whole.
    def test_starts_on_lossy_links_are_complete_and_soon(self) -> None:
        async def start_several(fleet: NodeFleet) -> None:
            for _ in range(10):
                node, _ = await self.start_one(fleet)
                self.check_targets(fleet, node)
                self.assertLess(fleet.ready_after_s[node.host_ip], 1.0)

        self.play(start_several, LARGE, loss=0.1)

    def test_host_of_a_small_fleet_lists(self) -> None:
        async def start(fleet: NodeFleet) -> None:
            node, listings = await self.start_one(fleet)
            self.assertEqual(LISTINGS, listings)
            self.check_targets(fleet, node)

        self.play(start, SMALL, loss=0.0)

    # Guards against a wait for hosts that aren't ready either.
    def test_large_fleet_that_starts_at_once_is_ready_as_soon_as_by_listing(self) -> None:
        async def main() -> None:
            fleet = NodeFleet()
            for n in range(TARGETS):
                fleet.store.put(ObjectKind.TARGETS, f"t{n:03}", target(f"t{n:03}"))
            await fleet.start_all(LARGE, spread_s=0.3)
            self.assertLess(max(fleet.ready_after_s.values()), LISTED_READY_S + 0.03)
            for node in fleet.nodes.values():
                self.check_targets(fleet, node)
            await fleet.close()

        run_in_virtual_time(main())

    # Guards against a host that starts with targets which others only keep for the grace, and
    # against one that gets stuck between the eras.
    def test_host_that_starts_after_a_restoration_follows_the_new_era(self) -> None:
        async def restore(fleet: NodeFleet) -> None:
            store = fleet.store
            store.put(ObjectKind.HOSTS, "h3", None)  # It registers after the copy was made.
            store.take_copy()
            store.put(ObjectKind.TARGETS, "lost", target("lost"))
            store.put(ObjectKind.PLAN, "main", plan(2))
            await asyncio.sleep(MAX_LAG_S)
            store.restore()
            await asyncio.sleep(1.0)
            node, listings = await self.start_one(fleet)
            self.assertIn("list targets", listings)
            self.assertIsNone(node._targets.get("lost"))
            # The plan in force is newer than the copy's.
            self.assertEqual(2, node.host_status.plan_version)
            await asyncio.sleep(3.0)
            node, listings = await self.start_one(fleet)
            self.assertNotIn("list targets", listings)
            self.assertEqual(1, node._targets.era)
            store.put(ObjectKind.TARGETS, "lost", target("lost", slots=9))
            await asyncio.sleep(MAX_LAG_S)
            for node in fleet.nodes.values():
                self.check_targets(fleet, node)
            self.assertEqual(
                set(store.objects[ObjectKind.HOSTS]), {f"h{n}" for n in range(len(fleet.nodes))}
            )

        self.play(restore, LARGE, loss=0.0)
