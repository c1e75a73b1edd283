"""A sick target loses its traffic while it looks healthy, and the floor holds over all nodes."""

import time
from functools import partial
from itertools import pairwise
from typing import Any, Final

from toucanspindle_core.objects import PERMITS_KIND
from toucanspindle_core.outcome import OutcomeKind
from toucanspindle_core.permits import Permits
from toucanspindle_standins.fleet import Fleet

from tests.fleetcase import SERVICE, ejected_targets, look_up
from tests.grayfleet import EjectionWatch, GrayFleetTestCase, entry_past_links
from tests.harness import wait_until

LOOKUPS_WITHOUT_SICK: Final = 100
POISON: Final = "poison"
RESENDS: Final = 20
LOOKUPS_WATCHED: Final = 500
FLAP_PERIOD_MS: Final = 3000
# Less than the first interval of readmission.py by the time in which nodes hear of an ejection.
FIRST_OUT_S: Final = 8.0


def granted(fleet: Fleet) -> int:
    """Return how many permits the platform has granted to judges of the service."""
    stored = fleet.client.read(PERMITS_KIND, SERVICE)
    if stored is None:
        return 0
    return sum(grant.count for grant in Permits.model_validate(stored.value).grants)


class GrayTargetTests(GrayFleetTestCase):
    """Each kind of sickness, with the health endpoint green throughout."""

    def check_loses_traffic(self, **faults: Any) -> None:
        fleet = self.start_gray()
        sick = fleet.targets[f"{SERVICE}-1"]
        sick.set_faults(health="ok", **faults)
        self.wait_ejected(fleet, sick.name)
        healthy = set().union(*(ejected_targets(node) for node in fleet.nodes)) - {sick.name}
        self.assertEqual(set(), healthy)

    def test_slow_by_five(self) -> None:
        self.check_loses_traffic(slow_factor=5.0)

    def test_wrong_in_three_of_ten(self) -> None:
        self.check_loses_traffic(wrong_share=0.3)

    def test_wrong_for_one_bucket_of_accounts(self) -> None:
        self.check_loses_traffic(wrong_account_bucket=3, account_buckets=4)

    def test_unreachable_from_one_failure_domain(self) -> None:
        fleet = self.start_gray(behind_faults=True)
        near, sick = fleet.nodes[0], fleet.targets[f"{SERVICE}-1"]
        fleet.links.set_rules([self.cut_off(fleet, near.name, sick.name)])
        watch = EjectionWatch(fleet.nodes)

        def none_sent_there() -> bool:
            held = fleet.links.held()
            told = {look_up(entry_past_links(near)).kind for _ in range(LOOKUPS_WITHOUT_SICK)}
            return told == {OutcomeKind.ANSWERED} and fleet.links.held() == held

        def lose_traffic() -> None:
            self.wait_ejected(fleet, sick.name)
            wait_until(none_sent_there, what="the node sends nothing to the target it can't reach")

        watch.during(lose_traffic)
        self.assertEqual({sick.name}, watch.ever)
        self.assertEqual({OutcomeKind.ANSWERED}, set(self.traffic.told))

    def test_flapping_target_stays_out_longer_each_time(self) -> None:
        fleet = self.start_gray()
        sick = fleet.targets[f"{SERVICE}-1"]
        watch = EjectionWatch(fleet.nodes)
        sick.set_faults(wrong_share=1.0, flap_period_ms=FLAP_PERIOD_MS)

        def stays_out_longer() -> bool:
            starts = [run.started for run in sick.runs()] + [time.time()]
            gaps = [later - earlier for earlier, later in pairwise(starts)]
            first = next((n for n, gap in enumerate(gaps) if gap >= FIRST_OUT_S), len(gaps))
            return any(gap >= 2 * FIRST_OUT_S for gap in gaps[first + 1 :])

        watch.during(partial(wait_until, stays_out_longer, 90.0, "the target stays out longer"))
        self.assertEqual({sick.name}, watch.ever)


class HealthyTargetTests(GrayFleetTestCase):
    """What isn't a target's fault ejects no target."""

    def test_whole_service_slow_and_then_wrong(self) -> None:
        fleet = self.start_gray()
        watch = EjectionWatch(fleet.nodes)
        for faults in ({"slow_factor": 5.0}, {"wrong_share": 0.3}):
            for target in fleet.targets.values():
                target.set_faults(**faults)
            watch.during(partial(self.wait_more_told, LOOKUPS_WATCHED))
        self.assertEqual(set(), watch.ever)

    def test_poison_request_beside_traffic(self) -> None:
        fleet = self.start_gray()
        for target in fleet.targets.values():
            target.set_faults(crash_marker=POISON)
        crashed: set[str] = set()

        def resend() -> None:
            for number in range(RESENDS):
                node = fleet.nodes[number % len(fleet.nodes)]
                look_up(node.entry, path=f"/{SERVICE}/{POISON}")
                crashed.update(self.restart_crashed(fleet))
            self.wait_more_told(LOOKUPS_WATCHED)

        watch = EjectionWatch(fleet.nodes)
        watch.during(resend)
        self.assertIn(len(crashed), {1, 2}, crashed)
        self.assertEqual(set(), watch.ever - crashed)

    def restart_crashed(self, fleet: Fleet) -> list[str]:
        """Start the targets that crashed anew, without faults, and return their names."""
        crashed = [t for t in fleet.targets.values() if not (t.process and t.process.running)]
        for target in crashed:
            target.start(fleet.options.target_options)
        return [target.name for target in crashed]


class FloorTests(GrayFleetTestCase):
    """Three of eight targets are sick with a floor of six."""

    def test_union_of_ejections_respects_the_floor(self) -> None:
        fleet = self.start_gray()
        for number in (1, 2, 3):
            fleet.targets[f"{SERVICE}-{number}"].set_faults(wrong_share=0.5)
        self.check_floor_while(fleet, partial(self.wait_two_ejected, fleet))

    def test_ejections_go_on_while_the_platform_is_away(self) -> None:
        fleet = self.start_gray()
        fleet.targets[f"{SERVICE}-1"].set_faults(wrong_share=0.5)
        self.wait_ejected(fleet, f"{SERVICE}-1")
        wait_until(lambda: granted(fleet) == 2, what="the judges hold both permits")
        fleet.set_platform_faults(away="error")
        fleet.targets[f"{SERVICE}-2"].set_faults(wrong_share=0.5)
        fleet.targets[f"{SERVICE}-3"].set_faults(wrong_share=0.5)
        self.check_floor_while(fleet, partial(self.wait_two_ejected, fleet))
