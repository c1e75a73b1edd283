"""A refusal doesn't hide that an earlier copy of the request ran."""

from toucanspindle_core.fleetconfig import FleetConfig
from toucanspindle_core.outcome import OutcomeKind
from toucanspindle_standins.fleet import Fleet, FleetOptions

from tests.fleetcase import FleetTestCase, reserve, runs_of


class RefusedResendTests(FleetTestCase):
    """Copies that are resent after a new configuration would refuse the request."""

    def assert_resend_has_first_outcome(self, fleet: Fleet, config: FleetConfig) -> None:
        """Run a reservation, apply `config`, and assert that a resend has the first outcome.

        A reservation that is new after the change is refused as not run.
        """
        issuer = fleet.nodes[0]
        reservation, new_reservation = self.reservation(fleet, issuer), self.reservation(
            fleet, issuer
        )
        first = reserve(issuer.entry, reservation)
        self.assertEqual(OutcomeKind.ANSWERED, first.kind)
        config_head = fleet.accept(config, "a change that refuses reservations")
        fleet.wait_generation(config_head.generation)
        for node in fleet.nodes:
            self.assertEqual(first, reserve(node.entry, reservation), node.name)
            self.assertEqual(
                OutcomeKind.NOT_RUN, reserve(node.entry, new_reservation).kind, node.name
            )
        self.assertEqual(1, len(runs_of(fleet, reservation.key)))
        self.assertEqual([], runs_of(fleet, new_reservation.key))

    def test_resend_after_its_route_was_removed_has_the_first_outcome(self) -> None:
        fleet = self.start_lotbook(options=FleetOptions(node_count=2))
        service = fleet.config.services[0]
        routes = [route for route in service.routes if route.idempotent]
        services = [service.model_copy(update={"routes": routes})]
        self.assert_resend_has_first_outcome(
            fleet, fleet.config.model_copy(update={"services": services})
        )

    def test_resend_after_the_body_limit_was_lowered_has_the_first_outcome(self) -> None:
        fleet = self.start_lotbook(options=FleetOptions(node_count=2))
        defaults = fleet.config.defaults.model_copy(update={"max_body_bytes": 4})
        self.assert_resend_has_first_outcome(
            fleet, fleet.config.model_copy(update={"defaults": defaults})
        )

    def test_node_without_configuration_reports_unknown(self) -> None:
        fleet = self.start_lotbook(options=FleetOptions(node_count=2))
        issuer, other = fleet.nodes
        reservation = self.reservation(fleet, issuer)
        self.assertEqual(OutcomeKind.ANSWERED, reserve(issuer.entry, reservation).kind)
        other.kill()
        other.proxy.start(other.entry)
        result = reserve(other.entry, reservation)
        self.assertEqual(OutcomeKind.UNKNOWN, result.kind, str(result))
