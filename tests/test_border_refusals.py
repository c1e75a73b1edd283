"""A refusal tells the truth: an earlier copy of the refused request may have run."""

from toucanspindle_core.fleetconfig import FleetConfig
from toucanspindle_core.outcome import OutcomeKind
from toucanspindle_standins.fleet import Fleet, FleetOptions

from tests.fleetcase import FleetTestCase, reserve, runs_of


class RefusedResendTests(FleetTestCase):
    """Copies that come when the configuration wouldn't let the request through any more."""

    def assert_first_outcome_stands(self, fleet: Fleet, config: FleetConfig) -> None:
        """Run a reservation, put `config` in force, and resend; then send one that is new."""
        issuer = fleet.nodes[0]
        reservation, fresh = self.reservation(fleet, issuer), self.reservation(fleet, issuer)
        first = reserve(issuer.entry, reservation)
        self.assertEqual(OutcomeKind.ANSWERED, first.kind)
        head = fleet.accept(config, "a change that refuses reservations")
        fleet.wait_generation(head.generation)
        for node in fleet.nodes:
            self.assertEqual(first, reserve(node.entry, reservation), node.name)
            self.assertEqual(OutcomeKind.NOT_RUN, reserve(node.entry, fresh).kind, node.name)
        self.assertEqual(1, len(runs_of(fleet, reservation.key)))
        self.assertEqual([], runs_of(fleet, fresh.key))

    def test_route_removed(self) -> None:
        fleet = self.start_lotbook(options=FleetOptions(node_count=2))
        service = fleet.config.services[0]
        routes = [route for route in service.routes if route.idempotent]
        services = [service.model_copy(update={"routes": routes})]
        self.assert_first_outcome_stands(
            fleet, fleet.config.model_copy(update={"services": services})
        )

    def test_body_limit_lowered(self) -> None:
        fleet = self.start_lotbook(options=FleetOptions(node_count=2))
        defaults = fleet.config.defaults.model_copy(update={"max_body_bytes": 4})
        self.assert_first_outcome_stands(
            fleet, fleet.config.model_copy(update={"defaults": defaults})
        )

    def test_node_without_configuration_says_unknown(self) -> None:
        fleet = self.start_lotbook(options=FleetOptions(node_count=2))
        issuer, other = fleet.nodes
        reservation = self.reservation(fleet, issuer)
        self.assertEqual(OutcomeKind.ANSWERED, reserve(issuer.entry, reservation).kind)
        other.kill()
        other.proxy.start(other.entry)
        told = reserve(other.entry, reservation)
        self.assertEqual(OutcomeKind.UNKNOWN, told.kind, str(told))
