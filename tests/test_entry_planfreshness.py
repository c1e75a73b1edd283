"""Tests of the time limit for revoked keys: what confirms a plan, and for how long."""

import asyncio
import math
import random

from testtools import TestCase
from toucanspindle_core.clock import ManualClock
from toucanspindle_core.errors import SettingsError
from toucanspindle_entry.accounts.planfreshness import PlanFreshness, encode_age_ms
from toucanspindle_entry.entrymetrics import EntryMetrics
from toucanspindle_entry.hosts.hostprober import HostProber, HostStatus
from toucanspindle_entry.hosts.livehosts import LiveHosts
from toucanspindle_entry.model import FleetPlan, HostEntry
from toucanspindle_entry.store.objectstore import (
    ObjectKind,
    StoreChange,
    StoreChanges,
    StoreItem,
    StoreListing,
)
from toucanspindle_entry.store.storewatch import StoreProgress, StoreWatch
from toucanspindle_entry.storelisteners import PlanListener

from deployedfleet import SETTINGS
from platformsettings import load_settings
from tests.tempfolder import temporary_folder
from tests.test_entry_accounts import ACCOUNTS, KEY
from tests.test_entry_requestpath import FaultyTargetCase
from tests.test_entry_storewatch import FakeStore, RecordingListener, one_change
from tests.virtualtime import LoopClock, run_in_virtual_time

REVOKE_S = 5.0
LAST_S = 4.75  # The bound less the margin.


class PlanFreshnessTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.freshness = PlanFreshness(REVOKE_S)

    def check_confirmed(self, moment: float) -> None:
        """Check that the last proven moment is `moment`."""
        self.assertTrue(self.freshness.may_run_keyed(moment + LAST_S))
        self.assertFalse(self.freshness.may_run_keyed(moment + LAST_S + 0.01))

    def test_answer_of_the_store_counts_from_its_sending(self) -> None:
        self.assertFalse(self.freshness.may_run_keyed(0.0))
        self.freshness.record_store_answer(10.0, 3, 3)
        self.check_confirmed(10.0)
        self.freshness.record_store_answer(9.0, 3, 3)
        self.check_confirmed(10.0)

    # Guards against a store restored from a copy, which confirms a plan that was replaced.
    def test_store_that_shows_an_older_plan_confirms_nothing(self) -> None:
        self.freshness.record_store_answer(10.0, 3, 3)
        self.freshness.record_store_answer(11.0, 2, 3)
        self.freshness.record_store_answer(11.0, None, 3)
        self.check_confirmed(10.0)
        self.freshness.record_peer(11.0, 0.0, 4, 3)
        self.freshness.record_store_answer(12.0, 3, 3)
        self.check_confirmed(10.0)
        self.freshness.record_store_answer(12.5, 4, 4)
        self.check_confirmed(12.5)

    def test_calls_sent_within_two_seconds_of_a_new_era_confirm_nothing(self) -> None:
        self.freshness.record_store_answer(10.0, 3, 3)
        self.freshness.era_changed(11.0)
        self.freshness.record_store_answer(12.9, 3, 3)
        self.check_confirmed(10.0)
        self.freshness.record_store_answer(13.0, 3, 3)
        self.check_confirmed(13.0)

    def test_peer_counts_from_the_question_less_its_age_and_with_the_same_version(self) -> None:
        self.freshness.record_peer(10.0, 1.5, 3, 3)
        self.check_confirmed(8.5)
        for age_s, version in ((0.0, 2), (math.inf, 3), (-1.0, 3), (2.0, 3)):
            self.freshness.record_peer(10.0, age_s, version, 3)
            self.check_confirmed(8.5)

    def test_age_is_never_told_too_low(self) -> None:
        self.assertEqual([1001, None], [encode_age_ms(age_s) for age_s in (1.0001, math.inf)])

    def test_fleets_without_the_bound_use_keys_forever(self) -> None:
        self.assertTrue(PlanFreshness(None).may_run_keyed(1e9))
        self.assertNotIn(b"plan_age", EntryMetrics().render(0))

    # Guards against a bound that is off because its setting can't be read.
    def test_bound_is_decoded_or_the_settings_are_refused(self) -> None:
        path = temporary_folder(self) / "host.toml"
        names = ("name", "front", "ready", "control", "directory", "peer")
        values = dict.fromkeys(names, "1") | {
            "ip": "127.0.0.1",
            "seeds": "",
            "store": "127.0.0.1:1",
        }
        for bounds, revoke_s in (
            ("StrictRevoke = true\nRevokeMs = 5000", REVOKE_S),
            ("StrictRevoke = false\nRevokeMs = 5000", None),
            ("RevokeMs = 5000", None),
        ):
            path.write_text(SETTINGS.format(bounds=bounds, **values))
            self.assertEqual(revoke_s, load_settings(path)[0].bounds.revoke_s)
        for bounds in (
            "StrictRevoke = 1",
            "StrictRevoke = true",
            "StrictRevoke = true\nRevokeMs = 0",
        ):
            path.write_text(SETTINGS.format(bounds=bounds, **values))
            self.assertRaises(SettingsError, load_settings, path)

    def test_change_of_state_is_told_once(self) -> None:
        self.freshness.record_store_answer(10.0, 3, 3)
        changes = [self.freshness.take_state_change(now) for now in (11.0, 12.0, 20.0, 21.0)]
        self.assertEqual([True, None, False, None], changes)


class ProbeTests(TestCase):
    """Answers to probes are dated from the probe's sending, and carry the age only if asked to."""

    statuses: list[tuple[HostStatus, float | None]]
    host_status = HostStatus(1, True, 5, 1500)

    def handle_host_status(self, status: HostStatus, asked_at: float | None) -> None:
        self.statuses.append((status, asked_at))

    def greet_all(self) -> None:
        return

    # Guards against an answer that waited in a socket buffer, or that answers no own probe.
    def test_only_the_answer_to_an_own_probe_is_dated(self) -> None:
        async def main() -> None:
            hosts = LiveHosts(HostEntry("own", "own", "d", "1"), random.Random(1))
            for ip in ("a", "b"):
                hosts.add_host(HostEntry(ip, ip, "d", "1"), 0.0)
            sent = []
            clock, self.statuses = ManualClock(100.0), []
            prober = HostProber(
                hosts, lambda *m: sent.append(m), self, clock, random.Random(1), tells_plan_age=True
            )
            prober.ask("a")
            clock.advance(60.0)
            prober.handle_message("b", ["alive", 9, 1, 1, 5, [], 0])
            for seq, age in ((1, 7), (9, 0)):
                prober.handle_message("a", ["alive", seq, 1, 1, 5, [], age])
            prober.handle_message("a", ["probe", 4])
            self.assertEqual(("a", ["alive", 4, 1, 1, 5, [], 1500]), sent[-1])

        run_in_virtual_time(main())
        ages = [(status.plan_age_ms, asked_at) for status, asked_at in self.statuses]
        self.assertEqual([(0, None), (7, 100.0), (0, None)], ages)


class WatchTests(TestCase):
    """Guards against the age of a plan that counts from an answer, or from a relayed message."""

    def answers(self, by_listing: bool) -> list[tuple[float, int, int]]:
        """Play four calls; return when those that prove something were sent, and what was known."""
        answers: list[tuple[float, int, int]] = []

        async def main() -> None:
            store, listener = FakeStore(), RecordingListener()
            watch = StoreWatch(
                store,
                ObjectKind.PLAN,
                listener,
                LoopClock(),
                random.Random(1),
                on_answer=lambda sent_at: answers.append(
                    (sent_at, len(listener.listings), len(listener.changes))
                ),
                confirms_by_listing=lambda: by_listing,
            )
            watch.start()
            for result in (one_change("b", 101), StoreChanges((), 101), StoreChanges((), 99)):
                await asyncio.sleep(1.0)
                store.watch_results.put_nowait(result)
            await asyncio.sleep(1.0)
            watch.receive(StoreProgress(101, 101, 0.0, 0.0, ()))
            await watch.close()
            # A store that went back is listed anew, if the watch alone can prove nothing any more.
            last_revision = 101 if by_listing else 200
            self.assertEqual([100, 101, 101, last_revision], store.watched_revisions)

        run_in_virtual_time(main())
        return answers

    def test_watch_tells_when_its_calls_were_sent(self) -> None:
        answers = self.answers(by_listing=False)
        self.assertEqual([(0.0, 1, 0), (0.0, 1, 1), (1.4, 1, 1), (3.0, 2, 1)], answers)

    # Guards against a store that tells a watch of nothing, though changes are made.
    def test_with_listings_only_these_count(self) -> None:
        answers = self.answers(by_listing=True)
        self.assertEqual([(0.0, 1, 0), (1.0, 2, 1), (2.0, 3, 1), (3.0, 4, 1)], answers)


class UnreadablePlanTests(TestCase):
    # Guards against a host that refuses keys for as long as the store holds a bad plan, once it has
    # had to list the plan.
    def test_unreadable_plan_that_was_seen_to_come_leaves_the_one_before_the_newest(self) -> None:
        for era, revision, shown in ((0, 9, 2), (0, 10, None), (1, 9, None)):
            listener = PlanListener(lambda _plan: None)
            good = StoreItem("main", FleetPlan(2, (), frozenset()), 7)
            listener.on_listing(StoreListing((good,), 7), None)
            bad = StoreChange("main", None, removed=False, revision=9)
            listener.on_changes(StoreChanges((bad,), 9), None)
            listing = StoreListing((StoreItem("main", None, revision),), 12, era)
            listener.on_listing(listing, None)
            self.assertEqual(shown, listener.shown_version, (era, revision))
            self.assertTrue(listener.is_unreadable)


class UnconfirmedKeyTests(FaultyTargetCase):
    def test_known_key_is_refused_with_retry_after_and_public_routes_are_served(self) -> None:
        async def answer(number: int, request_id: bytes, writer: asyncio.StreamWriter) -> None:
            raise AssertionError("the request has run")

        for key, status in ((KEY.encode(), 503), (b"unknown", 503)):
            (refusal,), _ = self.send(
                answer,
                "q1",
                accounts=ACCOUNTS,
                extra_headers=((b"x-account-key", key),),
                freshness=PlanFreshness(REVOKE_S),
            )
            self.assertEqual(status, refusal.status)
            self.assertEqual(status == 503, b"TS328" in bytes(refusal.body))
            self.assertEqual(status == 503, b"retry-after" in dict(refusal.headers))
