"""Tests of admission control: fair queueing, concurrency limit, deadlines and account limits."""

from testtools import TestCase
from toucanspindle_core import errorcodes
from toucanspindle_core.admission import (
    INITIAL_LIMIT,
    AdmissionTicket,
    Refusal,
    ServiceAdmission,
    TicketState,
)
from toucanspindle_core.clock import ManualClock
from toucanspindle_core.fairshare import FairQueue
from toucanspindle_core.fleetconfig import ServiceSettings
from toucanspindle_core.policy import AccountClass

SHOPS = AccountClass("shops", 3)
WORKSHOPS = AccountClass("workshops", 1)


class FairQueueTests(TestCase):
    """Weighted fair order of queued items."""

    def test_classes_share_by_weight(self) -> None:
        queue: FairQueue[str] = FairQueue()
        for _ in range(40):
            queue.push("a", SHOPS, "shops")
            queue.push("b", WORKSHOPS, "workshops")
        taken = [queue.pop() for _ in range(20)]
        self.assertEqual(15, taken.count("shops"))

    def test_one_account_does_not_starve_another(self) -> None:
        queue: FairQueue[str] = FairQueue()
        for _ in range(30):
            queue.push("greedy", SHOPS, "greedy")
        queue.push("small", SHOPS, "small")
        self.assertIn("small", [queue.pop(), queue.pop()])

    def test_an_account_with_one_item_at_a_time_gets_no_more_than_its_share(self) -> None:
        queue: FairQueue[str] = FairQueue()
        for _ in range(30):
            queue.push("patient", SHOPS, "patient")
        taken: list[str | None] = []
        for _ in range(20):
            if "quick" not in taken[-1:]:
                queue.push("quick", SHOPS, "quick")
            taken.append(queue.pop())
        self.assertEqual(10, taken.count("quick"))

    def test_evict_removes_from_the_account_most_over_its_share(self) -> None:
        queue: FairQueue[str] = FairQueue()
        queue.push("small", WORKSHOPS, "small")
        for number in range(5):
            queue.push("greedy", SHOPS, f"greedy-{number}")
        self.assertEqual("greedy-4", queue.evict("other", SHOPS))
        self.assertIsNone(queue.evict("greedy", SHOPS))
        self.assertEqual(5, len(queue))


class ServiceAdmissionTests(TestCase):
    """Admission control of one service."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        settings = ServiceSettings.model_validate(
            {"queue_limit": 2, "fan_in": 2, "account_requests_per_s": 100}
        )
        self.admission = ServiceAdmission(settings, self.clock)

    def admit(self, account: str = "a", deadline_s: float = 2.0) -> AdmissionTicket:
        """Return the ticket of a request; fails if it is refused."""
        ticket = self.admission.try_admit(account, SHOPS, deadline_s)
        assert isinstance(ticket, AdmissionTicket), ticket
        return ticket

    def fill(self) -> list[AdmissionTicket]:
        """Return granted tickets that use up the concurrency limit."""
        return [self.admit() for _ in range(int(INITIAL_LIMIT))]

    def test_requests_above_the_limit_wait_and_above_the_queue_limit_are_refused(self) -> None:
        self.fill()
        waiting = [self.admit(), self.admit()]
        self.assertEqual([TicketState.WAITING] * 2, [t.state for t in waiting])
        self.assertEqual(Refusal(errorcodes.OVERLOADED), self.admission.try_admit("a", SHOPS, 2.0))

    def test_a_release_grants_the_next_ticket(self) -> None:
        first = self.fill()[0]
        waiting = self.admit()
        self.admission.release(first, 0.01, ok=True)
        self.assertIsNone(self.admission.wait(waiting))
        self.assertEqual(int(INITIAL_LIMIT), self.admission.in_flight)

    def test_a_request_that_would_miss_its_deadline_is_refused_immediately(self) -> None:
        granted = self.fill()
        self.admission.release(granted[0], 1.0, ok=True)
        self.admit()
        refused = self.admission.try_admit("a", SHOPS, 0.5)
        self.assertEqual(Refusal(errorcodes.DEADLINE_TOO_SHORT), refused)

    def test_a_queued_ticket_is_refused_when_its_deadline_passes(self) -> None:
        self.fill()
        waiting = self.admit(deadline_s=1.0)
        self.clock.advance(1.5)
        self.assertEqual(Refusal(errorcodes.DEADLINE_TOO_SHORT), self.admission.wait(waiting))
        self.assertEqual(0, self.admission.waiting)

    def test_an_account_gets_the_nodes_share_of_its_fleet_limit(self) -> None:
        admitted = 0
        for _ in range(200):
            ticket = self.admission.try_admit("a", SHOPS, 2.0)
            if isinstance(ticket, AdmissionTicket):
                self.admission.release(ticket, 0.01, ok=True)
                admitted += 1
        self.assertEqual(50, admitted)
        self.assertEqual(
            Refusal(errorcodes.ACCOUNT_LIMITED), self.admission.try_admit("a", SHOPS, 2.0)
        )
        self.admit("b")

    def test_the_limit_grows_when_reached_and_shrinks_on_shed_requests(self) -> None:
        for _ in range(20):
            self.clock.advance(10)
            for ticket in self.fill():
                self.admission.release(ticket, 0.01, ok=True)
        grown = self.admission.limit
        self.assertTrue(grown > INITIAL_LIMIT, grown)
        for _ in range(20 * grown):
            self.clock.advance(1)
            self.admission.release(self.admit(), 0.01, ok=False)
        self.assertTrue(self.admission.limit < grown)
