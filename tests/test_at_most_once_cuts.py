"""Links are cut one way, and answers lost, while the caller resends a request that must not repeat.

The targets' logs and what the callers were told decide.  The cuts share one fleet.
"""

from toucanspindle_core.outcome import OutcomeKind
from toucanspindle_standins.faultrules import Rule

from tests.fleetcase import Told, reserve, runs_of
from tests.harness import wait_until
from tests.oncecase import OnceCase

UNKNOWN = OutcomeKind.UNKNOWN
ANSWERED = OutcomeKind.ANSWERED


class CutTests(OnceCase):
    """Cuts between proxies, between the issuer and the targets, and towards callers."""

    def test_cuts_each_way_and_lost_answers(self) -> None:
        self.fleet = self.start_faulty(service_ms=20, deadline_ms=1000)
        self.issuer, self.other = self.fleet.nodes[:2]
        for way in ("to-server", "to-client"):
            self.check_issuer_cut_off(way)
            self.check_targets_cut_off(way)
        self.check_answers_of_the_issuer_lost()
        self.check_answers_of_the_target_lost()
        self.check_answers_to_the_caller_lost()

    def check_issuer_cut_off(self, way: str) -> None:
        """The issuer runs a copy at once, or late; the others wait for its word."""
        self.start_request(self.to_proxy(self.fleet, self.issuer, cut=way))
        told = [self.send_to_other()]
        self.assertEqual(UNKNOWN, told[0].kind)
        told += [reserve(self.issuer.entry, self.request)]
        self.fleet.links.heal()
        self.assert_answered_at_last(told)

    def check_targets_cut_off(self, way: str) -> None:
        """The request or its answer is late; the other nodes, which aren't cut off, run nothing."""
        self.start_request(self.to_targets(self.fleet, self.issuer, cut=way))
        told = [self.send_to_other(), reserve(self.issuer.entry, self.request)]
        self.fleet.links.heal()
        self.wait_run(self.fleet, self.request)
        told += self.resend_everywhere(self.fleet, self.request)
        self.assertEqual({UNKNOWN}, {one.kind for one in told}, str(told))
        self.assert_agree(self.fleet, self.request, told)

    def check_answers_of_the_issuer_lost(self) -> None:
        self.start_request(self.to_proxy(self.fleet, self.issuer, reset=True))
        self.assertEqual(UNKNOWN, self.send_to_other().kind)
        self.start_request(self.to_proxy(self.fleet, self.issuer, lose_answers=1))
        told = [self.send_to_other()]
        self.fleet.links.heal()
        self.assert_answered_at_last(told)

    def check_answers_of_the_target_lost(self) -> None:
        self.start_request(self.to_targets(self.fleet, self.issuer, lose_answers=1))
        told = [self.send_to_other()]
        self.fleet.links.heal()
        told += self.resend_everywhere(self.fleet, self.request)
        self.assertEqual({UNKNOWN}, {one.kind for one in told}, str(told))
        self.assertEqual(1, len(runs_of(self.fleet, self.request.key)))

    def check_answers_to_the_caller_lost(self) -> None:
        self.start_request(self.to_entry(self.fleet, self.issuer, lose_answers=1))
        told = [reserve(self.issuer.entry, self.request)]
        self.assertIsNone(told[0].kind)
        self.fleet.links.heal()
        self.assert_answered_at_last(told)

    def start_request(self, rule: Rule) -> None:
        """Draw a new request, and put one rule in force."""
        self.request = self.reservation(self.fleet, self.issuer)
        self.fleet.links.set_rules([rule])

    def send_to_other(self) -> Told:
        """Send a copy to a node that didn't issue the token."""
        return reserve(self.other.entry, self.request)

    def assert_answered_at_last(self, told: list[Told]) -> None:
        """Wait until the other node answers; then all give one answer of one run."""
        wait_until(lambda: self.send_to_other().kind is ANSWERED, what="the issuer is heard")
        last = self.resend_everywhere(self.fleet, self.request)
        self.assertEqual({ANSWERED}, {one.kind for one in last}, str(last))
        self.assert_agree(self.fleet, self.request, told + last)
