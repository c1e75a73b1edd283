"""Tests that faulty targets with a passing health check are ejected, within the floor."""

import time
from functools import partial
from itertools import pairwise
from typing import Any, Final

from toucanspindle_core.objects import PERMITS_KIND
from toucanspindle_core.outcome import OutcomeKind
from toucanspindle_core.permits import Permits
from toucanspindle_standins.fleet import Fleet

from tests.fleetcase import SERVICE, ejected_targets, look_up
from tests.grayfleet import EjectionWatch, GrayFleetTestCase, proxy_bind_address
from tests.harness import wait_until

LOOKUPS_WITHOUT_TARGET: Final = 100
POISON: Final = "poison"
RESENDS: Final = 20
LOOKUPS_WATCHED: Final = 500
FLAP_PERIOD_MS: Final = 3000
# The first interval of readmission.py minus the time that nodes take to learn of an ejection.
MIN_FIRST_EJECTION_S: Final = 8.0


def granted_permits(fleet: Fleet) -> int:
    """Return how many permits the platform grants to all judges of the service."""
    stored = fleet.client.read(PERMITS_KIND, SERVICE)
    if stored is None:
        return 0
    return sum(grant.count for grant in Permits.model_validate(stored.value).grants)


class GrayTargetTests(GrayFleetTestCase):
    """Ejection for each kind of fault; the health endpoint always reports healthy."""

    def check_ejected(self, **faults: Any) -> None:
        fleet = self.start_fleet_with_traffic()
        faulty = fleet.targets[f"{SERVICE}-1"]
        faulty.set_faults(health="ok", **faults)
        self.wait_ejected(fleet, faulty.name)
        other_ejected = set().union(*(ejected_targets(node) for node in fleet.nodes)) - {
            faulty.name
        }
        self.assertEqual(set(), other_ejected)

    def test_target_five_times_slower_is_ejected(self) -> None:
        self.check_ejected(slow_factor=5.0)

    def test_target_with_30_percent_wrong_answers_is_ejected(self) -> None:
        self.check_ejected(wrong_share=0.3)

    def test_target_with_wrong_answers_for_one_account_bucket_is_ejected(self) -> None:
        self.check_ejected(wrong_account_bucket=3, account_buckets=4)

    def test_target_unreachable_from_one_domain_is_ejected_there(self) -> None:
        fleet = self.start_fleet_with_traffic(behind_faults=True)
        cut_off_node, faulty = fleet.nodes[0], fleet.targets[f"{SERVICE}-1"]
        fleet.links.set_rules([self.partition_rule(fleet, cut_off_node.name, faulty.name)])
        watch = EjectionWatch(fleet.nodes)

        def receives_no_requests() -> bool:
            held_requests = fleet.links.held_connection_count()
            outcomes = {
                look_up(proxy_bind_address(cut_off_node)).kind
                for _ in range(LOOKUPS_WITHOUT_TARGET)
            }
            return (
                outcomes == {OutcomeKind.ANSWERED}
                and fleet.links.held_connection_count() == held_requests
            )

        def wait_until_unused() -> None:
            self.wait_ejected(fleet, faulty.name)
            wait_until(
                receives_no_requests, what="the node sends nothing to the target it can't reach"
            )

        watch.watch_during(wait_until_unused)
        self.assertEqual({faulty.name}, watch.ever_ejected)
        self.assertEqual({OutcomeKind.ANSWERED}, set(self.traffic.outcomes))

    def test_flapping_target_is_ejected_longer_the_second_time(self) -> None:
        fleet = self.start_fleet_with_traffic()
        faulty = fleet.targets[f"{SERVICE}-1"]
        watch = EjectionWatch(fleet.nodes)
        faulty.set_faults(wrong_share=1.0, flap_period_ms=FLAP_PERIOD_MS)

        def second_ejection_is_longer() -> bool:
            starts = [run.started for run in faulty.runs()] + [time.time()]
            gaps = [later - earlier for earlier, later in pairwise(starts)]
            first_ejection = next(
                (index for index, gap in enumerate(gaps) if gap >= MIN_FIRST_EJECTION_S), len(gaps)
            )
            return any(gap >= 2 * MIN_FIRST_EJECTION_S for gap in gaps[first_ejection + 1 :])

        watch.watch_during(
            partial(wait_until, second_ejection_is_longer, 90.0, "the second ejection takes longer")
        )
        self.assertEqual({faulty.name}, watch.ever_ejected)


class HealthyTargetTests(GrayFleetTestCase):
    """Faults that aren't caused by a single target eject no target."""

    def test_no_target_is_ejected_while_the_whole_service_is_slow_or_wrong(self) -> None:
        fleet = self.start_fleet_with_traffic()
        watch = EjectionWatch(fleet.nodes)
        for faults in ({"slow_factor": 5.0}, {"wrong_share": 0.3}):
            for target in fleet.targets.values():
                target.set_faults(**faults)
            watch.watch_during(partial(self.wait_for_more_lookups, LOOKUPS_WATCHED))
        self.assertEqual(set(), watch.ever_ejected)

    def test_poison_request_ejects_no_healthy_target(self) -> None:
        fleet = self.start_fleet_with_traffic()
        for target in fleet.targets.values():
            target.set_faults(crash_marker=POISON)
        crashed: set[str] = set()

        def resend() -> None:
            for number in range(RESENDS):
                node = fleet.nodes[number % len(fleet.nodes)]
                look_up(node.entry, path=f"/{SERVICE}/{POISON}")
                crashed.update(self.restart_crashed(fleet))
            self.wait_for_more_lookups(LOOKUPS_WATCHED)

        watch = EjectionWatch(fleet.nodes)
        watch.watch_during(resend)
        self.assertIn(len(crashed), {1, 2}, crashed)
        self.assertEqual(set(), watch.ever_ejected - crashed)

    def restart_crashed(self, fleet: Fleet) -> list[str]:
        """Restart crashed targets without faults and return their names."""
        crashed = [t for t in fleet.targets.values() if not (t.process and t.process.running)]
        for target in crashed:
            target.start(fleet.options.target_options)
        return [target.name for target in crashed]


class FloorTests(GrayFleetTestCase):
    """Three of eight targets are faulty, with a floor of six."""

    def test_ejections_of_all_nodes_together_respect_the_floor(self) -> None:
        fleet = self.start_fleet_with_traffic()
        for number in (1, 2, 3):
            fleet.targets[f"{SERVICE}-{number}"].set_faults(wrong_share=0.5)
        self.assert_floor_holds_during(fleet, partial(self.wait_for_two_ejections, fleet))

    def test_targets_are_ejected_during_a_platform_outage(self) -> None:
        fleet = self.start_fleet_with_traffic()
        fleet.targets[f"{SERVICE}-1"].set_faults(wrong_share=0.5)
        self.wait_ejected(fleet, f"{SERVICE}-1")
        wait_until(lambda: granted_permits(fleet) == 2, what="the judges hold both permits")
        fleet.set_platform_faults(away="error")
        fleet.targets[f"{SERVICE}-2"].set_faults(wrong_share=0.5)
        fleet.targets[f"{SERVICE}-3"].set_faults(wrong_share=0.5)
        self.assert_floor_holds_during(fleet, partial(self.wait_for_two_ejections, fleet))
