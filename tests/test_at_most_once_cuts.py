"""Cut links and lost responses while the caller resends a non-idempotent request.

The links are cut in one direction at a time.  The checks compare the callers' results with the
targets' logs.  All cuts use one fleet.
"""

from toucanspindle_core.outcome import OutcomeKind
from toucanspindle_standins.faultrules import Rule

from tests.fleetcase import CallerResult, reserve, runs_of
from tests.harness import wait_until
from tests.oncecase import AtMostOnceTestCase

UNKNOWN = OutcomeKind.UNKNOWN
ANSWERED = OutcomeKind.ANSWERED


class LinkCutTests(AtMostOnceTestCase):
    """Cuts between proxies, between the issuer and the targets, and to callers."""

    def test_request_runs_at_most_once_despite_cuts_and_lost_responses(self) -> None:
        self.fleet = self.start_behind_fault_proxy(service_ms=20, deadline_ms=1000)
        self.issuer, self.other = self.fleet.nodes[:2]
        for direction in ("to-server", "to-client"):
            self.check_issuer_cut_off(direction)
            self.check_targets_cut_off(direction)
        self.check_responses_of_the_issuer_lost()
        self.check_responses_of_the_target_lost()
        self.check_responses_to_the_caller_lost()

    def check_issuer_cut_off(self, direction: str) -> None:
        """Other nodes report unknown until they reach the issuer, which runs the request."""
        self.start_request(self.proxy_links_rule(self.fleet, self.issuer, cut=direction))
        results = [self.send_to_other()]
        self.assertEqual(UNKNOWN, results[0].kind)
        results += [reserve(self.issuer.entry, self.request)]
        self.fleet.links.clear_rules()
        self.assert_answered_after_healing(results)

    def check_targets_cut_off(self, direction: str) -> None:
        """The request or its response is delayed; nodes that can reach the targets don't run it."""
        self.start_request(self.target_links_rule(self.fleet, self.issuer, cut=direction))
        results = [self.send_to_other(), reserve(self.issuer.entry, self.request)]
        self.fleet.links.clear_rules()
        self.wait_until_run(self.fleet, self.request)
        results += self.resend_to_all_nodes(self.fleet, self.request)
        self.assertEqual({UNKNOWN}, {result.kind for result in results}, str(results))
        self.assert_consistent(self.fleet, self.request, results)

    def check_responses_of_the_issuer_lost(self) -> None:
        self.start_request(self.proxy_links_rule(self.fleet, self.issuer, reset=True))
        self.assertEqual(UNKNOWN, self.send_to_other().kind)
        self.start_request(self.proxy_links_rule(self.fleet, self.issuer, lose_answers=1))
        results = [self.send_to_other()]
        self.fleet.links.clear_rules()
        self.assert_answered_after_healing(results)

    def check_responses_of_the_target_lost(self) -> None:
        self.start_request(self.target_links_rule(self.fleet, self.issuer, lose_answers=1))
        results = [self.send_to_other()]
        self.fleet.links.clear_rules()
        results += self.resend_to_all_nodes(self.fleet, self.request)
        self.assertEqual({UNKNOWN}, {result.kind for result in results}, str(results))
        self.assertEqual(1, len(runs_of(self.fleet, self.request.key)))

    def check_responses_to_the_caller_lost(self) -> None:
        self.start_request(self.entry_link_rule(self.fleet, self.issuer, lose_answers=1))
        results = [reserve(self.issuer.entry, self.request)]
        self.assertIsNone(results[0].kind)
        self.fleet.links.clear_rules()
        self.assert_answered_after_healing(results)

    def start_request(self, rule: Rule) -> None:
        """Create a new request, and apply one fault rule."""
        self.request = self.reservation(self.fleet, self.issuer)
        self.fleet.links.set_rules([rule])

    def send_to_other(self) -> CallerResult:
        """Send a copy to a node that didn't issue the token."""
        return reserve(self.other.entry, self.request)

    def assert_answered_after_healing(self, results: list[CallerResult]) -> None:
        """Wait until the other node answers; then all nodes return the response of a single run."""
        wait_until(lambda: self.send_to_other().kind is ANSWERED, what="the issuer is reachable")
        final_results = self.resend_to_all_nodes(self.fleet, self.request)
        self.assertEqual({ANSWERED}, {result.kind for result in final_results}, str(final_results))
        self.assert_consistent(self.fleet, self.request, results + final_results)
