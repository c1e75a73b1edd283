"""A poison message, which crashes each target that runs it, crashes at most two targets."""

import uuid
from typing import Final

from toucanspindle_core.outcome import OutcomeKind
from toucanspindle_standins.fleet import Fleet

from tests.fleetcase import ACCOUNT, SERVICE, FleetTestCase, look_up, reserve
from tests.harness import http_call

POISON: Final = "poison"
RESENDS: Final = 20


class PoisonRequestTests(FleetTestCase):
    """One poison message, resent RESENDS times through different nodes."""

    def start_with_poison(self) -> Fleet:
        fleet = self.start_lotbook(targets=5)
        for target in fleet.targets.values():
            target.set_faults(crash_marker=POISON)
        return fleet

    def crashed_targets(self, fleet: Fleet) -> list[str]:
        return [t.name for t in fleet.targets.values() if not t.process or not t.process.running]

    def check_other_requests_served(self, fleet: Fleet) -> None:
        for node in fleet.nodes:
            self.assertEqual(OutcomeKind.ANSWERED, look_up(node.entry).kind)

    def test_lookup_crashes_at_most_two_targets(self) -> None:
        fleet = self.start_with_poison()
        for number in range(RESENDS):
            node = fleet.nodes[number % len(fleet.nodes)]
            result = look_up(node.entry, path=f"/{SERVICE}/{POISON}")
            self.assertNotEqual(OutcomeKind.ANSWERED, result.kind)
        self.assertLessEqual(len(self.crashed_targets(fleet)), 2)
        self.assertEqual("TS314", result.code)
        self.check_other_requests_served(fleet)

    def test_reservation_under_fresh_keys_crashes_at_most_two_targets(self) -> None:
        fleet = self.start_with_poison()
        for number in range(RESENDS):
            node = fleet.nodes[number % len(fleet.nodes)]
            token = self.reservation(fleet, node).token
            headers = {
                "Toucan-Account": ACCOUNT,
                "Idempotency-Key": uuid.uuid4().hex,
                "Toucan-Token": token,
            }
            answer = http_call(node.entry, "POST", f"/{SERVICE}", headers, POISON.encode())
            self.assertNotEqual(200, answer.status)
        self.assertLessEqual(len(self.crashed_targets(fleet)), 2)
        self.assertEqual("TS314", answer.headers["toucan-error"])
        reservation = self.reservation(fleet, fleet.nodes[0])
        self.assertEqual(OutcomeKind.ANSWERED, reserve(fleet.nodes[0].entry, reservation).kind)
