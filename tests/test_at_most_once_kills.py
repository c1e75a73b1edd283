"""The issuer is killed or paused at each step of a non-idempotent request.

The fault proxy holds the request at one step.  The issuer is killed, the caller resends to every
other node, the links deliver the held bytes, the issuer starts again, and the caller resends to
all nodes.  The checks compare the callers' results with the targets' logs.  All steps use the same
fleet.
"""

import time
from functools import partial

from toucanspindle_core.outcome import OutcomeKind
from toucanspindle_standins.entrynode import EntryNode

from tests.fleetcase import BackgroundReservation, reserve, runs_of
from tests.harness import wait_until
from tests.oncecase import CALLER_TIMEOUT_S, QUEUEING_WAIT_S, AtMostOnceTestCase


class KilledIssuerTests(AtMostOnceTestCase):
    """The issuer fails at each step, from queueing the request to sending the response."""

    def test_request_runs_at_most_once_when_its_issuer_is_killed_or_paused(self) -> None:
        self.fleet = self.start_behind_fault_proxy()
        self.issuer = self.fleet.nodes[0]
        self.check_killed_while_queued()
        self.check_killed_with_request_half_written()
        self.check_request_arrives_after_the_kill()
        self.check_killed_before_response_recorded()
        self.check_killed_before_response_sent()
        self.check_paused_before_dispatch()

    def check_killed_while_queued(self) -> None:
        other_requests = self.fill_admission_limit(self.fleet, self.issuer)
        pending = self.send()
        time.sleep(QUEUEING_WAIT_S)
        self.kill_and_resend(pending)
        self.assertEqual([], runs_of(self.fleet, self.request.key))
        for other_request, other_pending in other_requests.items():
            self.assert_consistent(
                self.fleet,
                other_request,
                [other_pending.result(), reserve(self.issuer.entry, other_request)],
            )

    def check_killed_with_request_half_written(self) -> None:
        rule = self.target_links_rule(self.fleet, self.issuer, hold_request_after_bytes=100)
        self.fleet.links.set_rules([rule])
        pending = self.send()
        self.wait_until_bytes_held(self.fleet)
        self.kill_and_resend(pending)

    def check_request_arrives_after_the_kill(self) -> None:
        rule = self.target_links_rule(self.fleet, self.issuer, cut="to-server")
        self.fleet.links.set_rules([rule])
        pending = self.send()
        self.wait_until_bytes_held(self.fleet)
        self.kill_and_resend(pending)
        self.wait_until_run(self.fleet, self.request)
        results = self.resend_to_all_nodes(self.fleet, self.request)
        self.assert_consistent(self.fleet, self.request, results)

    def check_killed_before_response_recorded(self) -> None:
        pending = self.send()
        self.wait_until_run(self.fleet, self.request)
        rule = self.target_links_rule(self.fleet, self.issuer, cut="to-client")
        self.fleet.links.set_rules([rule])
        self.wait_until_bytes_held(self.fleet)
        self.kill_and_resend(pending)
        self.assertEqual(1, len(runs_of(self.fleet, self.request.key)))

    def check_killed_before_response_sent(self) -> None:
        pending = self.send()
        self.wait_until_run(self.fleet, self.request)
        self.fleet.links.set_rules([self.entry_link_rule(self.fleet, self.issuer, cut="to-client")])
        self.wait_until_bytes_held(self.fleet)
        for node in self.fleet.nodes[1:]:
            wait_until(partial(self.is_answered_by, node), what="the record answers a copy")
        self.kill_and_resend(pending)
        self.assertEqual(1, len(runs_of(self.fleet, self.request.key)))

    def check_paused_before_dispatch(self) -> None:
        other_requests = self.fill_admission_limit(self.fleet, self.issuer)
        pending = self.send()
        time.sleep(QUEUEING_WAIT_S)
        self.issuer.proxy.pause()
        pending_copies = [
            BackgroundReservation(node.entry, self.request) for node in self.fleet.nodes[1:]
        ]
        results = [pending_copy.result() for pending_copy in pending_copies]
        self.assertEqual({OutcomeKind.UNKNOWN}, {result.kind for result in results}, str(results))
        self.issuer.proxy.resume()
        first = pending.result()
        final_results = self.resend_to_all_nodes(self.fleet, self.request)
        self.assertEqual(1, len({result.kind for result in final_results}), str(final_results))
        self.assert_consistent(self.fleet, self.request, [first, *results, *final_results])
        for other_request, other_pending in other_requests.items():
            self.assert_consistent(self.fleet, other_request, [other_pending.result()])

    def send(self) -> BackgroundReservation:
        """Send a new request to its issuer in the background."""
        self.request = self.reservation(self.fleet, self.issuer)
        return BackgroundReservation(self.issuer.entry, self.request, CALLER_TIMEOUT_S)

    def is_answered_by(self, node: EntryNode) -> bool:
        """Send a copy to a node, and return whether it was answered."""
        return reserve(node.entry, self.request).kind is OutcomeKind.ANSWERED

    def kill_and_resend(self, pending: BackgroundReservation) -> None:
        """Kill and restart the issuer; assert that every copy is reported as unknown.

        After the kill no node may run the request or report it as not run.
        """
        self.issuer.kill()
        results = self.resend_to_all_nodes(self.fleet, self.request)
        self.fleet.links.clear_rules()
        self.issuer.start()
        self.issuer.wait_listening()
        self.fleet.register_sources()
        self.fleet.wait_for_directories(self.fleet.nodes)
        results += self.resend_to_all_nodes(self.fleet, self.request)
        self.assertEqual({OutcomeKind.UNKNOWN}, {result.kind for result in results}, str(results))
        self.assert_consistent(self.fleet, self.request, [*results, pending.result()])
