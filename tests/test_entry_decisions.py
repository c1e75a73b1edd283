"""Tests of route selection, target registrations, live hosts and broker ranks."""

import dataclasses
import math
import random

from testtools import TestCase
from toucanspindle_core.clock import ManualClock
from toucanspindle_entry.callers.routeindex import RouteIndex
from toucanspindle_entry.hosts.brokerchoice import BrokerRanking, broker_capacity, rank_brokers
from toucanspindle_entry.hosts.livehosts import DEAD_AFTER_MISSED_PROBES, LiveHosts
from toucanspindle_entry.model import HostEntry, TargetState
from toucanspindle_entry.store.storewatch import REGISTRATION_GRACE_S
from toucanspindle_entry.targets.targettable import TargetTable

from tests.entrycase import plan, route, target


class RouteIndexTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.index = RouteIndex(
            plan(
                3,
                route("short", "a.example", "/x/", ("s1", 1)),
                route("long", "a.example", "/x/y/", ("s2", 1)),
                route("root", "b.example", "/", ("s3", 1)),
            ),
            random.Random(1),
        )

    def test_longest_prefix_of_the_host_matches(self) -> None:
        for host, path, expected in (
            ("a.example", "/x/1", "short"),
            ("a.example", "/x/y/1", "long"),
            ("a.example", "/x/y", "short"),
            ("a.example", "/x", None),
            ("a.example", "/xy/", None),
            ("b.example", "/x/y/", "root"),
            ("c.example", "/x/", None),
        ):
            found = self.index.find(host, path)
            self.assertEqual(expected, found.name if found else None, (host, path))

    def test_services_are_selected_by_weight(self) -> None:
        split = route("split", "a.example", "/s/", ("s1", 90), ("s2", 10))
        index = RouteIndex(plan(1, split), random.Random(2))
        picks = [index.pick_service(split) for _ in range(300)]
        self.assertEqual(270, picks.count("s1"))


class TargetTableTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.table = TargetTable(self.clock)
        self.table.replace_all([target("a"), target("b")], grace_until=None)

    def test_missing_entry_without_an_outage_is_removed_at_once(self) -> None:
        self.table.replace_all([target("a")], grace_until=None)
        self.assertIsNone(self.table.get("b"))
        self.assertTrue(self.table.has_left("b", 1, 0))

    def test_missing_entry_after_an_outage_is_kept_until_the_grace_ends(self) -> None:
        self.table.replace_all([target("a")], grace_until=self.clock.now() + REGISTRATION_GRACE_S)
        self.assertEqual({"b"}, self.table.unconfirmed)
        self.clock.advance(REGISTRATION_GRACE_S)
        self.assertTrue(self.table.expire_unconfirmed())
        self.assertIsNone(self.table.get("b"))

    # Guards against a grace that starts anew for each entry that is found missing.
    def test_entry_found_missing_late_in_the_grace_is_gone_at_its_end(self) -> None:
        grace_until = self.clock.now() + REGISTRATION_GRACE_S
        self.clock.advance(REGISTRATION_GRACE_S - 0.1)
        self.table.mark_unconfirmed("b", grace_until)
        self.assertFalse(self.table.has_left("b", 1, 0))
        self.clock.advance(0.1)
        # The next check for expired entries may be half a second later.
        self.assertTrue(self.table.has_left("b", 1, 0))

    def test_entry_registered_again_is_confirmed(self) -> None:
        self.table.replace_all([target("a")], grace_until=self.clock.now() + REGISTRATION_GRACE_S)
        self.table.register(target("b"))
        self.clock.advance(REGISTRATION_GRACE_S)
        self.assertFalse(self.table.expire_unconfirmed())
        self.assertIsNotNone(self.table.get("b"))

    def test_unknown_entry_has_left_if_the_store_is_known_up_to_its_revision(self) -> None:
        self.table.advance_to(7)
        self.assertTrue(self.table.has_left("c", 1, 7))
        self.assertFalse(self.table.has_left("c", 1, 8))

    def test_unknown_entry_without_a_revision_has_not_left(self) -> None:
        """Brokers of earlier versions send none."""
        self.table.advance_to(7)
        self.assertFalse(self.table.has_left("c", 1, 0))

    def test_unconfirmed_entry_keeps_its_revision(self) -> None:
        """Hosts that know of its removal can tell by the revision; this one isn't sure itself."""
        self.table.register(dataclasses.replace(target("b"), revision=3))
        self.table.mark_unconfirmed("b", self.clock.now() + REGISTRATION_GRACE_S)
        entry = self.table.get("b")
        assert entry is not None
        self.assertEqual(3, entry.revision)

    def test_removal_of_one_incarnation_does_not_affect_the_next(self) -> None:
        self.table.remove("b")
        self.table.register(target("b", started_ms=2))
        self.assertFalse(self.table.has_left("b", 2, 0))
        entry = self.table.get("b")
        assert entry is not None
        self.assertIs(TargetState.READY, entry.state)


class LiveHostsTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.hosts = LiveHosts(make_host_entry("10.0.0.1"), random.Random(1))
        for n in range(2, 6):
            self.hosts.add_host(make_host_entry(f"10.0.0.{n}"), 0.0)
        self.hosts.record_probe_answer("10.0.0.5", 0.0)

    def test_host_is_dead_after_missed_probes(self) -> None:
        for _ in range(DEAD_AFTER_MISSED_PROBES - 1):
            self.assertFalse(self.hosts.record_missed_probe("10.0.0.2", 0.1))
        self.assertTrue(self.hosts.record_missed_probe("10.0.0.2", 0.1))
        self.assertNotIn("10.0.0.2", self.hosts.alive_ips())

    def test_dead_host_that_answers_a_probe_is_alive(self) -> None:
        for _ in range(DEAD_AFTER_MISSED_PROBES):
            self.hosts.record_missed_probe("10.0.0.2", 0.1)
        self.assertTrue(self.hosts.record_probe_answer("10.0.0.2", 0.2))
        self.assertIn("10.0.0.2", self.hosts.alive_ips())

    def test_isolated_host_declares_no_other_host_dead(self) -> None:
        """An isolated host must not declare the whole fleet dead."""
        for _ in range(DEAD_AFTER_MISSED_PROBES):
            self.hosts.record_missed_probe("10.0.0.2", 5.0)
        self.assertEqual(4, len(self.hosts.alive_ips()))

    def test_leave_message_of_an_earlier_incarnation_is_ignored(self) -> None:
        self.hosts.add_host(make_host_entry("10.0.0.2", "second"), 1.0)
        self.assertFalse(self.hosts.set_leaving("10.0.0.2", "first"))
        self.assertIn("10.0.0.2", self.hosts.alive_ips())


class BrokerRankTests(TestCase):
    def test_lost_host_moves_only_its_own_services(self) -> None:
        hosts = [f"10.0.0.{n}" for n in range(20)]
        services = [f"s{n}" for n in range(50)]
        before = {s: rank_brokers(s, hosts)[0] for s in services}
        lost_host = before["s0"]
        remaining_hosts = [h for h in hosts if h != lost_host]
        moved = [s for s in services if rank_brokers(s, remaining_hosts)[0] != before[s]]
        self.assertEqual([s for s in services if before[s] == lost_host], moved)

    # Guards against a broker on a host with half a core and a slow link beside much stronger ones.
    def test_strong_hosts_are_the_brokers_of_nearly_all_services(self) -> None:
        """A service of hundreds of requests per second in a fleet of mostly weak hosts."""
        strong = {f"10.0.0.{n}": broker_capacity(2.15, 200.0) for n in range(8)}
        weak = {f"10.0.1.{n}": broker_capacity(0.43, 10.0) for n in range(128)}
        capacities = {**strong, **weak}
        brokers = [rank_brokers(f"s{n}", capacities, capacities)[0] for n in range(200)]
        self.assertGreater(sum(broker in strong for broker in brokers), 190)
        self.assertEqual(set(strong), set(brokers) & set(strong))

    def test_hosts_of_equal_capacity_are_ranked_as_without_one(self) -> None:
        hosts = [f"10.0.0.{n}" for n in range(20)]
        for service in ("a", "b", "c"):
            ranked = rank_brokers(service, hosts, dict.fromkeys(hosts, 0.086))
            self.assertEqual(rank_brokers(service, hosts), ranked)

    def test_ranking_follows_the_changes_of_hosts(self) -> None:
        hosts = LiveHosts(make_host_entry("10.0.0.1"), random.Random(1))
        ranking = BrokerRanking(hosts)
        self.assertEqual(["10.0.0.1"], ranking.live("s"))
        hosts.add_host(make_host_entry("10.0.0.2"), 0.0)
        hosts.set_capacity("10.0.0.2", 50.0)
        self.assertEqual(["10.0.0.2", "10.0.0.1"], ranking.live("s"))
        hosts.set_leaving("10.0.0.2", "first")
        self.assertEqual(["10.0.0.1"], ranking.live("s"))
        self.assertEqual(["10.0.0.2", "10.0.0.1"], ranking.known("s"))

    def test_restarted_host_keeps_its_capacity(self) -> None:
        hosts = LiveHosts(make_host_entry("10.0.0.1"), random.Random(1))
        hosts.add_host(make_host_entry("10.0.0.2"), 0.0)
        hosts.set_capacity("10.0.0.2", 50.0)
        hosts.add_host(make_host_entry("10.0.0.2", "second"), 1.0)
        self.assertEqual(50.0, hosts.capacities()["10.0.0.2"])

    def test_capacity_that_is_no_number_is_refused(self) -> None:
        hosts = LiveHosts(make_host_entry("10.0.0.1"), random.Random(1))
        hosts.add_host(make_host_entry("10.0.0.2"), 0.0)
        for capacity in (-1.0, math.inf, math.nan):
            self.assertRaises(ValueError, hosts.set_capacity, "10.0.0.2", capacity)


def make_host_entry(ip: str, incarnation: str = "first") -> HostEntry:
    return HostEntry(f"node-{ip}", ip, "beaufort", incarnation)
