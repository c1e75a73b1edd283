"""A non-idempotent request runs at most once, and an outcome *not run* is true.

The checks use the targets' logs and the callers' results, not the fleet's own metrics.
"""

from toucanspindle_core import errorcodes
from toucanspindle_core.outcome import OutcomeKind
from toucanspindle_standins.fleet import Fleet, FleetOptions

from tests.fleetcase import BackgroundReservation, FleetTestCase, reserve, runs_of
from tests.harness import wait_until

SLOW_TARGET = {"service_ms": 400}
ISSUER_UNREACHABLE = str(errorcodes.UNKNOWN_ISSUER)


class ResendTests(FleetTestCase):
    """Copies of a request that are sent to the same node and to others."""

    def test_resend_to_every_node_runs_once_with_one_answer(self) -> None:
        fleet = self.start_lotbook()
        for issuer in fleet.nodes:
            reservation = self.reservation(fleet, issuer)
            results = [reserve(node.entry, reservation) for node in fleet.nodes for _ in range(2)]
            self.assertEqual({OutcomeKind.ANSWERED}, {result.kind for result in results})
            self.assertEqual(1, len({result.body for result in results}))
            self.assertEqual(1, len(runs_of(fleet, reservation.key)))

    def test_concurrent_copies_join_the_first(self) -> None:
        fleet = self.start_lotbook(options=FleetOptions(target_options=SLOW_TARGET))
        reservation = self.reservation(fleet, fleet.nodes[0])
        pending_reservations = [
            BackgroundReservation(node.entry, reservation) for node in fleet.nodes for _ in range(3)
        ]
        results = [pending.result() for pending in pending_reservations]
        self.assertEqual({OutcomeKind.ANSWERED}, {result.kind for result in results})
        self.assertEqual(1, len({result.body for result in results}))
        self.assertEqual(1, len(runs_of(fleet, reservation.key)))


class IssuerCrashTests(FleetTestCase):
    """After the issuer is killed, no other node may run the request or report it as not run."""

    def test_request_running_when_its_issuer_is_killed_is_not_run_again(self) -> None:
        fleet = self.start_lotbook(options=FleetOptions(target_options=SLOW_TARGET))
        issuer, other = fleet.nodes[0], fleet.nodes[1]
        reservation = self.reservation(fleet, issuer)
        pending = BackgroundReservation(issuer.entry, reservation)
        wait_until(lambda: runs_of(fleet, reservation.key), what="a target runs the request")
        issuer.kill()
        self.assertIsNone(pending.result().kind)
        for _ in range(3):
            self.assertEqual(OutcomeKind.UNKNOWN, reserve(other.entry, reservation).kind)
        issuer.start()
        issuer.wait_listening()
        fleet.wait_for_directories(fleet.nodes)
        result = reserve(issuer.entry, reservation)
        self.assertEqual(OutcomeKind.UNKNOWN, result.kind)
        self.assertEqual(1, len(runs_of(fleet, reservation.key)))

    def test_requests_of_a_killed_issuer_are_unknown_at_other_nodes(self) -> None:
        fleet = self.start_lotbook()
        issuer, other = fleet.nodes[0], fleet.nodes[1]
        unsent = self.reservation(fleet, issuer)
        finished = self.reservation(fleet, issuer)
        self.assertEqual(OutcomeKind.ANSWERED, reserve(issuer.entry, finished).kind)
        issuer.kill()
        self.assertEqual(OutcomeKind.UNKNOWN, reserve(other.entry, unsent).kind)
        self.assertEqual(OutcomeKind.UNKNOWN, reserve(other.entry, finished).kind)
        self.assertEqual(0, len(runs_of(fleet, unsent.key)))
        self.assertEqual(1, len(runs_of(fleet, finished.key)))


class PausedIssuerTests(FleetTestCase):
    """The issuer process is paused for longer than all timeouts, and resumed."""

    def test_paused_issuer_is_not_replaced_and_serves_again(self) -> None:
        fleet, _ = self.resend_while_issuer_is_paused(FleetOptions())
        issuer = fleet.nodes[0]
        wait_until(
            lambda: (
                reserve(issuer.entry, self.reservation(fleet, issuer)).kind is OutcomeKind.ANSWERED
            ),
            what="the issuer serves new requests",
        )

    def test_resumed_issuer_whose_target_misses_the_deadline_reports_unknown(self) -> None:
        """The request was dispatched, and its response came too late, as on an overloaded host."""
        _, kinds = self.resend_while_issuer_is_paused(
            FleetOptions(target_options={"service_ms": 1500})
        )
        self.assertEqual({OutcomeKind.UNKNOWN}, kinds)

    def resend_while_issuer_is_paused(
        self, options: FleetOptions
    ) -> tuple[Fleet, set[OutcomeKind | None]]:
        """Pause an issuer that holds a request, resume it, and resend to all nodes.

        Returns the fleet and the kinds of outcome that the nodes report after the resume.
        """
        fleet = self.start_lotbook(options=options, deadline_ms=1000)
        issuer, other = fleet.nodes[0], fleet.nodes[1]
        reservation = self.reservation(fleet, issuer)
        issuer.proxy.pause()
        pending = BackgroundReservation(issuer.entry, reservation, timeout_s=2.0)
        result = reserve(other.entry, reservation)
        self.assertEqual((OutcomeKind.UNKNOWN, ISSUER_UNREACHABLE), (result.kind, result.code))
        self.assertIsNone(pending.result().kind)
        issuer.proxy.resume()
        wait_until(
            lambda: reserve(other.entry, reservation).code != ISSUER_UNREACHABLE,
            what="the issuer answers again",
        )
        results_of_all_nodes = [reserve(node.entry, reservation) for node in fleet.nodes]
        kinds = {result.kind for result in results_of_all_nodes}
        runs = runs_of(fleet, reservation.key)
        self.assertEqual(1, len(kinds), str(results_of_all_nodes))
        allowed = {OutcomeKind.NOT_RUN: {0}, OutcomeKind.ANSWERED: {1}, OutcomeKind.UNKNOWN: {0, 1}}
        for kind in kinds:
            self.assertIn(len(runs), allowed[kind] if kind else set(), str(results_of_all_nodes))
        return fleet, kinds
