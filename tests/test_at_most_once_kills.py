"""The issuer is killed at each step of a request that must not repeat, and frozen.

Faulty links stop the request at one step; then the issuer is killed, the caller resends to every
other node, the links deliver what they held, the issuer starts again, and the caller resends to
all.  The targets' logs and what the callers were told decide.  The steps share one fleet.
"""

import time
from functools import partial

from toucanspindle_core.outcome import OutcomeKind
from toucanspindle_standins.entrynode import EntryNode

from tests.fleetcase import Sending, reserve, runs_of
from tests.harness import wait_until
from tests.oncecase import CALLER_TIMEOUT_S, READ_S, OnceCase


class KilledIssuerTests(OnceCase):
    """A request and its copies, from before the first byte to after the last one."""

    def test_killed_at_each_step_and_frozen(self) -> None:
        self.fleet = self.start_faulty()
        self.issuer = self.fleet.nodes[0]
        self.check_queued()
        self.check_half_written()
        self.check_arriving_after_the_kill()
        self.check_answer_not_recorded()
        self.check_recorded_and_not_told()
        self.check_frozen_before_dispatch()

    def check_queued(self) -> None:
        fillers = self.fill(self.fleet, self.issuer)
        sending = self.send()
        time.sleep(READ_S)
        self.kill_and_resend(sending)
        self.assertEqual([], runs_of(self.fleet, self.request.key))
        for filler, filling in fillers.items():
            self.assert_agree(
                self.fleet, filler, [filling.result(), reserve(self.issuer.entry, filler)]
            )

    def check_half_written(self) -> None:
        rule = self.to_targets(self.fleet, self.issuer, hold_request_after_bytes=100)
        self.fleet.links.set_rules([rule])
        sending = self.send()
        self.wait_held(self.fleet)
        self.kill_and_resend(sending)

    def check_arriving_after_the_kill(self) -> None:
        rule = self.to_targets(self.fleet, self.issuer, cut="to-server")
        self.fleet.links.set_rules([rule])
        sending = self.send()
        self.wait_held(self.fleet)
        self.kill_and_resend(sending)
        self.wait_run(self.fleet, self.request)
        told = self.resend_everywhere(self.fleet, self.request)
        self.assert_agree(self.fleet, self.request, told)

    def check_answer_not_recorded(self) -> None:
        sending = self.send()
        self.wait_run(self.fleet, self.request)
        rule = self.to_targets(self.fleet, self.issuer, cut="to-client")
        self.fleet.links.set_rules([rule])
        self.wait_held(self.fleet)
        self.kill_and_resend(sending)
        self.assertEqual(1, len(runs_of(self.fleet, self.request.key)))

    def check_recorded_and_not_told(self) -> None:
        sending = self.send()
        self.wait_run(self.fleet, self.request)
        self.fleet.links.set_rules([self.to_entry(self.fleet, self.issuer, cut="to-client")])
        self.wait_held(self.fleet)
        for node in self.fleet.nodes[1:]:
            wait_until(partial(self.is_answered_by, node), what="the record answers a copy")
        self.kill_and_resend(sending)
        self.assertEqual(1, len(runs_of(self.fleet, self.request.key)))

    def check_frozen_before_dispatch(self) -> None:
        fillers = self.fill(self.fleet, self.issuer)
        sending = self.send()
        time.sleep(READ_S)
        self.issuer.proxy.pause()
        others = [Sending(node.entry, self.request) for node in self.fleet.nodes[1:]]
        told = [other.result() for other in others]
        self.assertEqual({OutcomeKind.UNKNOWN}, {one.kind for one in told}, str(told))
        self.issuer.proxy.resume()
        first = sending.result()
        last = self.resend_everywhere(self.fleet, self.request)
        self.assertEqual(1, len({one.kind for one in last}), str(last))
        self.assert_agree(self.fleet, self.request, [first, *told, *last])
        for filler, filling in fillers.items():
            self.assert_agree(self.fleet, filler, [filling.result()])

    def send(self) -> Sending:
        """Send a new request to its issuer in the background."""
        self.request = self.reservation(self.fleet, self.issuer)
        return Sending(self.issuer.entry, self.request, CALLER_TIMEOUT_S)

    def is_answered_by(self, node: EntryNode) -> bool:
        """Send a copy to a node; return whether it was answered."""
        return reserve(node.entry, self.request).kind is OutcomeKind.ANSWERED

    def kill_and_resend(self, sending: Sending) -> None:
        """Kill the issuer; nobody may run the request or call it not run from then on."""
        self.issuer.kill()
        told = self.resend_everywhere(self.fleet, self.request)
        self.fleet.links.heal()
        self.issuer.start()
        self.issuer.wait_listening()
        self.fleet.register_sources()
        self.fleet.wait_named(self.fleet.nodes)
        told += self.resend_everywhere(self.fleet, self.request)
        self.assertEqual({OutcomeKind.UNKNOWN}, {one.kind for one in told}, str(told))
        self.assert_agree(self.fleet, self.request, [*told, sending.result()])
