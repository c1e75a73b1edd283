"""Tests of the bound on the body bytes that the fleet sends to one target at once."""

import dataclasses

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from toucanspindle_entry.broker.slottypes import AttemptReport, Grant, SlotRequest
from toucanspindle_entry.broker.targetrecord import MAX_BODY_BYTES
from toucanspindle_entry.targets.targethealth import AttemptOutcome

from tests.entrycase import granted_target, make_broker, slot_request, target

MIB = 1024 * 1024


def request_with_body(slot_request_id: str, mib: float) -> SlotRequest:
    return dataclasses.replace(slot_request(slot_request_id), body_bytes=int(mib * MIB))


class BodyBytesTests(TestCase):
    """Large uploads at once to few targets; a target crashes if they exceed its memory."""

    @given(st.lists(st.tuples(st.floats(0.0, 70.0), st.booleans()), max_size=40))
    def test_a_target_holds_64_mib_or_a_single_request_with_a_body(
        self, uploads: list[tuple[float, bool]]
    ) -> None:
        broker = make_broker(target("a", slots=6), target("b", slots=6))
        held: dict[str, tuple[str, int]] = {}
        for number, (mib, ends) in enumerate(uploads):
            now = number / 100
            request = request_with_body(str(number), mib)
            decisions = [broker.request_slot(request, now)]
            if ends and held:
                ended, (name, _) = held.popitem()
                report = AttemptReport(ended, name, AttemptOutcome.ANSWERED, 0.1, "")
                decisions += broker.record_attempt(report, now)
            for decision in decisions:
                if isinstance(decision, Grant):
                    size = int(uploads[int(decision.slot_request_id)][0] * MIB)
                    held[decision.slot_request_id] = decision.target, size
            for name in "ab":
                sizes = [size for at, size in held.values() if at == name and size]
                self.assertTrue(len(sizes) <= 1 or sum(sizes) <= MAX_BODY_BYTES, sizes)

    def test_request_without_a_body_is_not_kept_from_a_target_that_holds_a_large_one(self) -> None:
        broker = make_broker(target("a", slots=2))
        granted_target(broker.request_slot(request_with_body("1", 64), 0.0))
        granted_target(broker.request_slot(request_with_body("2", 0), 0.0))

    def test_new_broker_counts_the_bodies_that_hosts_have_sent(self) -> None:
        """Guards against a second lot of uploads after the broker changes."""
        broker = make_broker(target("a", slots=4))
        broker.adopt_leases("h", [("old", "a", 5.0, "")], 0.0, {"old": 40 * MIB})
        self.assertNotIsInstance(broker.request_slot(request_with_body("1", 30), 0.0), Grant)
        report = AttemptReport("old", "a", AttemptOutcome.ANSWERED, 0.1, "")
        self.assertEqual(1, len(broker.record_attempt(report, 0.1)))
