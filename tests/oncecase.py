"""Base of the at-most-once tests: a fleet behind a fault proxy, and consistency checks."""

from typing import Any, Final

from toucanspindle_core.outcome import OutcomeKind
from toucanspindle_standins.entrynode import EntryNode
from toucanspindle_standins.faultrules import LinkFaults, Rule
from toucanspindle_standins.fleet import Fleet, FleetOptions

from tests.fleetcase import (
    SERVICE,
    BackgroundReservation,
    CallerResult,
    FleetTestCase,
    Reservation,
    reserve,
    runs_of,
)
from tests.harness import wait_until

SERVICE_MS: Final = 800
DEADLINE_MS: Final = 2500
CALLER_TIMEOUT_S: Final = 15.0
INITIAL_CONCURRENCY_LIMIT: Final = 8  # of a node for a service, before it adapts
QUEUEING_WAIT_S: Final = 0.3  # a queued request can't be observed before it is dispatched


class AtMostOnceTestCase(FleetTestCase):
    """A test case with a fleet whose links run through the fault proxy."""

    def start_behind_fault_proxy(self, service_ms: int = SERVICE_MS, **defaults: Any) -> Fleet:
        """Start three nodes and four targets behind the fault proxy; `defaults` are settings."""
        target_options = {"service_ms": service_ms}
        options = FleetOptions(behind_faults=True, target_options=target_options)
        settings = {"deadline_ms": DEADLINE_MS} | defaults
        return self.start_lotbook(options=options, **settings)

    def target_links_rule(self, fleet: Fleet, issuer: EntryNode, **faults: Any) -> Rule:
        """Return a rule with `faults` for the links of `issuer` to all targets."""
        links = [f"{SERVICE}/{name}" for name in fleet.targets]
        return fleet.links.rule(links, LinkFaults.model_validate(faults), issuer.name)

    def proxy_links_rule(self, fleet: Fleet, issuer: EntryNode, **faults: Any) -> Rule:
        """Return a rule with `faults` for the links of all other proxies to `issuer`."""
        return fleet.links.rule([f"{issuer.name}/proxy"], LinkFaults.model_validate(faults))

    def entry_link_rule(self, fleet: Fleet, issuer: EntryNode, **faults: Any) -> Rule:
        """Return a rule with `faults` for the links of callers to `issuer`."""
        return fleet.links.rule([f"{issuer.name}/entry"], LinkFaults.model_validate(faults))

    def wait_until_run(self, fleet: Fleet, reservation: Reservation) -> None:
        """Wait until a target has started to run the reservation."""
        wait_until(lambda: bool(runs_of(fleet, reservation.key)), what="a target runs the request")

    def wait_until_bytes_held(self, fleet: Fleet) -> None:
        """Wait until the fault proxy holds back bytes on a link."""
        wait_until(lambda: fleet.links.held_connection_count() > 0, what="a link holds bytes")

    def fill_admission_limit(
        self, fleet: Fleet, issuer: EntryNode
    ) -> dict[Reservation, BackgroundReservation]:
        """Use up a node's concurrency limit with reservations, and wait until all run."""
        reservations = [self.reservation(fleet, issuer) for _ in range(INITIAL_CONCURRENCY_LIMIT)]
        pending_reservations = {
            r: BackgroundReservation(issuer.entry, r, CALLER_TIMEOUT_S) for r in reservations
        }
        for reservation in reservations:
            self.wait_until_run(fleet, reservation)
        return pending_reservations

    def resend_to_all_nodes(self, fleet: Fleet, reservation: Reservation) -> list[CallerResult]:
        """Send a copy to every running node, and return the results."""
        return [reserve(n.entry, reservation) for n in fleet.nodes if n.proxy.running]

    def assert_consistent(
        self, fleet: Fleet, reservation: Reservation, results: list[CallerResult]
    ) -> None:
        """Assert that the results of all copies are consistent with the logs of the targets.

        The request ran at most once, with one response body; it ran if a copy was answered, and
        didn't run if a copy is reported as not run.
        """
        runs = runs_of(fleet, reservation.key)
        kinds = {result.kind for result in results}
        bodies = {result.body for result in results if result.kind is OutcomeKind.ANSWERED}
        self.assertLessEqual(len(runs), 1, f"{runs} {results}")
        self.assertLessEqual(len(bodies), 1)
        if OutcomeKind.NOT_RUN in kinds:
            self.assertEqual([], runs, str(results))
            self.assertNotIn(OutcomeKind.ANSWERED, kinds)
        if OutcomeKind.ANSWERED in kinds:
            self.assertEqual(1, len(runs), str(results))
