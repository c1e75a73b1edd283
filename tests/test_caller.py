"""Tests of Caller against real nodes, including nodes that fail."""

import threading
from typing import Final

from toucanspindle_core.caller import Caller, CallerAnswer, CallerSettings, Submission
from toucanspindle_core.errors import ControlError
from toucanspindle_core.outcome import OutcomeKind
from toucanspindle_standins.fleet import Fleet, FleetOptions

from tests.fleetcase import ACCOUNT, SERVICE, FleetTestCase, reserve, runs_of
from tests.harness import ADDRESSES, wait_until

SLOW_MS: Final = 600


class CallerTests(FleetTestCase):
    """Idempotent and at-most-once requests through a fleet whose nodes are killed."""

    def caller_of(self, *addresses: str) -> Caller:
        caller = Caller(CallerSettings(ACCOUNT, addresses, timeout_s=3.0))
        self.addCleanup(caller.close)
        return caller

    def caller_of_fleet(self, fleet: Fleet) -> Caller:
        return self.caller_of(*(node.settings.entry_address for node in fleet.nodes))

    def test_requests_to_a_dead_node_are_answered_by_another(self) -> None:
        fleet = self.start_lotbook(directory_ttl_s=60)
        caller = self.caller_of_fleet(fleet)
        caller.entries(SERVICE)
        fleet.nodes[0].kill()
        answers = [caller.send_get(SERVICE, f"/{SERVICE}/{n}") for n in range(6)]
        answers += [caller.submit(SERVICE, f"/{SERVICE}", b"%d" % n) for n in range(6)]
        self.assertEqual({OutcomeKind.ANSWERED}, {answer.kind for answer in answers})

    def test_outcome_is_unknown_when_the_issuer_crashes_during_a_submission(self) -> None:
        fleet = self.start_lotbook(options=FleetOptions(target_options={"service_ms": SLOW_MS}))
        caller = self.caller_of_fleet(fleet)
        answers: list[CallerAnswer] = []
        thread = threading.Thread(
            target=lambda: answers.append(caller.submit(SERVICE, f"/{SERVICE}", b"x"))
        )
        thread.start()
        wait_until(fleet.all_runs, what="a target runs the request")
        self.kill_issuer(fleet)
        thread.join()
        self.assertEqual(OutcomeKind.UNKNOWN, answers[0].kind)
        self.assertEqual(1, len(runs_of(fleet, answers[0].key)))

    def kill_issuer(self, fleet: Fleet) -> None:
        """Kill the node that the first entry of a fresh directory answer names."""
        entry = fleet.directory(fleet.nodes[0], SERVICE).json()["entries"][0]["node"]
        fleet.node(entry).kill()

    def test_resend_returns_the_recorded_outcome(self) -> None:
        fleet = self.start_lotbook()
        reservation = self.reservation(fleet, fleet.nodes[1])
        first = reserve(fleet.nodes[1].entry, reservation)
        submission = Submission(
            SERVICE, "POST", f"/{SERVICE}", reservation.body, reservation.key, reservation.token
        )
        again = self.caller_of_fleet(fleet).resend(submission)
        self.assertEqual((first.kind, first.body), (again.kind, again.body))
        self.assertEqual(1, len(runs_of(fleet, reservation.key)))

    def test_error_when_no_entry_address_answers(self) -> None:
        caller = self.caller_of(str(ADDRESSES.allocate()))
        error = self.assertRaises(ControlError, caller.send_get, SERVICE, "/x")
        self.assertEqual("TS501", error.code.name)
