"""A request that isn't idempotent runs at most once, and *not run* is true.

The targets' logs and the callers' records decide, never the fleet's own metrics.
"""

from toucanspindle_core import errorcodes
from toucanspindle_core.outcome import OutcomeKind
from toucanspindle_standins.fleet import Fleet, FleetOptions

from tests.fleetcase import FleetTestCase, Sending, reserve, runs_of
from tests.harness import wait_until

SLOW = {"service_ms": 400}
ISSUER_SILENT = str(errorcodes.UNKNOWN_ISSUER)


class ResendTests(FleetTestCase):
    """Copies of a request at the same node and at others."""

    def test_resend_to_every_node_runs_once_with_one_answer(self) -> None:
        fleet = self.start_lotbook()
        for issuer in fleet.nodes:
            reservation = self.reservation(fleet, issuer)
            told = [reserve(node.entry, reservation) for node in fleet.nodes for _ in range(2)]
            self.assertEqual({OutcomeKind.ANSWERED}, {t.kind for t in told})
            self.assertEqual(1, len({t.body for t in told}))
            self.assertEqual(1, len(runs_of(fleet, reservation.key)))

    def test_copies_in_flight_join(self) -> None:
        fleet = self.start_lotbook(options=FleetOptions(target_options=SLOW))
        reservation = self.reservation(fleet, fleet.nodes[0])
        sendings = [Sending(node.entry, reservation) for node in fleet.nodes for _ in range(3)]
        told = [sending.result() for sending in sendings]
        self.assertEqual({OutcomeKind.ANSWERED}, {t.kind for t in told})
        self.assertEqual(1, len({t.body for t in told}))
        self.assertEqual(1, len(runs_of(fleet, reservation.key)))


class IssuerCrashTests(FleetTestCase):
    """The issuer is killed; nobody else may run the request or call it not run."""

    def test_killed_while_the_request_runs(self) -> None:
        fleet = self.start_lotbook(options=FleetOptions(target_options=SLOW))
        issuer, other = fleet.nodes[0], fleet.nodes[1]
        reservation = self.reservation(fleet, issuer)
        sending = Sending(issuer.entry, reservation)
        wait_until(lambda: runs_of(fleet, reservation.key), what="a target runs the request")
        issuer.kill()
        self.assertIsNone(sending.result().kind)
        for _ in range(3):
            self.assertEqual(OutcomeKind.UNKNOWN, reserve(other.entry, reservation).kind)
        issuer.start()
        issuer.wait_listening()
        fleet.wait_named(fleet.nodes)
        told = reserve(issuer.entry, reservation)
        self.assertEqual(OutcomeKind.UNKNOWN, told.kind)
        self.assertEqual(1, len(runs_of(fleet, reservation.key)))

    def test_killed_before_the_request_and_after_the_answer(self) -> None:
        fleet = self.start_lotbook()
        issuer, other = fleet.nodes[0], fleet.nodes[1]
        before = self.reservation(fleet, issuer)
        after = self.reservation(fleet, issuer)
        self.assertEqual(OutcomeKind.ANSWERED, reserve(issuer.entry, after).kind)
        issuer.kill()
        self.assertEqual(OutcomeKind.UNKNOWN, reserve(other.entry, before).kind)
        self.assertEqual(OutcomeKind.UNKNOWN, reserve(other.entry, after).kind)
        self.assertEqual(0, len(runs_of(fleet, before.key)))
        self.assertEqual(1, len(runs_of(fleet, after.key)))


class FrozenIssuerTests(FleetTestCase):
    """The issuer is frozen past every timeout and woken."""

    def test_frozen_issuer_keeps_its_requests_to_itself(self) -> None:
        fleet, _ = self.freeze_and_wake(FleetOptions())
        issuer = fleet.nodes[0]
        wait_until(
            lambda: (
                reserve(issuer.entry, self.reservation(fleet, issuer)).kind is OutcomeKind.ANSWERED
            ),
            what="the issuer serves new requests",
        )

    def test_woken_issuer_whose_target_misses_the_deadline_says_unknown(self) -> None:
        """As on a very busy machine: the request was dispatched, and its answer came too late."""
        _, kinds = self.freeze_and_wake(FleetOptions(target_options={"service_ms": 1500}))
        self.assertEqual({OutcomeKind.UNKNOWN}, kinds)

    def freeze_and_wake(self, options: FleetOptions) -> tuple[Fleet, set[OutcomeKind | None]]:
        """Freeze an issuer that holds a request, wake it, and return what all nodes then tell."""
        fleet = self.start_lotbook(options=options, deadline_ms=1000)
        issuer, other = fleet.nodes[0], fleet.nodes[1]
        reservation = self.reservation(fleet, issuer)
        issuer.proxy.pause()
        sending = Sending(issuer.entry, reservation, timeout_s=2.0)
        told = reserve(other.entry, reservation)
        self.assertEqual((OutcomeKind.UNKNOWN, ISSUER_SILENT), (told.kind, told.code))
        self.assertIsNone(sending.result().kind)
        issuer.proxy.resume()
        wait_until(
            lambda: reserve(other.entry, reservation).code != ISSUER_SILENT,
            what="the issuer answers again",
        )
        told_by_all = [reserve(node.entry, reservation) for node in fleet.nodes]
        kinds = {one.kind for one in told_by_all}
        runs = runs_of(fleet, reservation.key)
        self.assertEqual(1, len(kinds), str(told_by_all))
        allowed = {OutcomeKind.NOT_RUN: {0}, OutcomeKind.ANSWERED: {1}, OutcomeKind.UNKNOWN: {0, 1}}
        for kind in kinds:
            self.assertIn(len(runs), allowed[kind] if kind else set(), str(told_by_all))
        return fleet, kinds
