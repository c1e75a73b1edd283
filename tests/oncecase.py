"""Base of the tests of requests that must not repeat: faulty links, and what must agree."""

from typing import Any, Final

from toucanspindle_core.outcome import OutcomeKind
from toucanspindle_standins.entrynode import EntryNode
from toucanspindle_standins.faultrules import LinkFaults, Rule
from toucanspindle_standins.fleet import Fleet, FleetOptions

from tests.fleetcase import (
    SERVICE,
    FleetTestCase,
    Reservation,
    Sending,
    Told,
    reserve,
    runs_of,
)
from tests.harness import wait_until

SERVICE_MS: Final = 800
DEADLINE_MS: Final = 2500
CALLER_TIMEOUT_S: Final = 15.0
ADMITTED_AT_ONCE: Final = 8  # what a node has in flight for a service at its start
READ_S: Final = 0.3  # for a request that shows nowhere until it is dispatched


class OnceCase(FleetTestCase):
    """A test case with a fleet behind faulty links."""

    def start_faulty(self, service_ms: int = SERVICE_MS, **defaults: Any) -> Fleet:
        """Start three nodes and four targets, all behind the fault proxy."""
        target_options = {"service_ms": service_ms}
        options = FleetOptions(behind_faults=True, target_options=target_options)
        settings = {"deadline_ms": DEADLINE_MS} | defaults
        return self.start_lotbook(options=options, **settings)

    def to_targets(self, fleet: Fleet, issuer: EntryNode, **faults: Any) -> Rule:
        """Return a rule for the links of a node to all targets."""
        links = [f"{SERVICE}/{name}" for name in fleet.targets]
        return fleet.links.rule(links, LinkFaults.model_validate(faults), issuer.name)

    def to_proxy(self, fleet: Fleet, issuer: EntryNode, **faults: Any) -> Rule:
        """Return a rule for the links of all other proxies to a proxy."""
        return fleet.links.rule([f"{issuer.name}/proxy"], LinkFaults.model_validate(faults))

    def to_entry(self, fleet: Fleet, issuer: EntryNode, **faults: Any) -> Rule:
        """Return a rule for the links of callers to a node."""
        return fleet.links.rule([f"{issuer.name}/entry"], LinkFaults.model_validate(faults))

    def wait_run(self, fleet: Fleet, reservation: Reservation) -> None:
        """Wait until a target runs a reservation."""
        wait_until(lambda: bool(runs_of(fleet, reservation.key)), what="a target runs the request")

    def wait_held(self, fleet: Fleet) -> None:
        """Wait until a link holds bytes back."""
        wait_until(lambda: fleet.links.held() > 0, what="a link holds bytes")

    def fill(self, fleet: Fleet, issuer: EntryNode) -> dict[Reservation, Sending]:
        """Send as many reservations as a node admits at once, and wait until all run."""
        reservations = [self.reservation(fleet, issuer) for _ in range(ADMITTED_AT_ONCE)]
        sendings = {r: Sending(issuer.entry, r, CALLER_TIMEOUT_S) for r in reservations}
        for reservation in reservations:
            self.wait_run(fleet, reservation)
        return sendings

    def resend_everywhere(self, fleet: Fleet, reservation: Reservation) -> list[Told]:
        """Send a copy to every node that runs."""
        return [reserve(n.entry, reservation) for n in fleet.nodes if n.proxy.running]

    def assert_agree(self, fleet: Fleet, reservation: Reservation, told: list[Told]) -> None:
        """Check what the callers were told against the logs of all targets."""
        runs = runs_of(fleet, reservation.key)
        kinds = {one.kind for one in told}
        bodies = {one.body for one in told if one.kind is OutcomeKind.ANSWERED}
        self.assertLessEqual(len(runs), 1, f"{runs} {told}")
        self.assertLessEqual(len(bodies), 1)
        if OutcomeKind.NOT_RUN in kinds:
            self.assertEqual([], runs, str(told))
            self.assertNotIn(OutcomeKind.ANSWERED, kinds)
        if OutcomeKind.ANSWERED in kinds:
            self.assertEqual(1, len(runs), str(told))
