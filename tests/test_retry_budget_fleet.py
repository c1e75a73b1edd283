"""Tests of the retry budget over all hosts of a fleet, counted at the targets."""

import asyncio
import dataclasses
import os
from collections.abc import Callable, Coroutine
from typing import Any, Final

from testtools import TestCase
from toucanspindle_entry.hosts.brokerchoice import rank_brokers

from tests.emulatedfleet import SERVICE, EmulatedFleet, EmulatedHost, FleetShape
from tests.virtualtime import run_in_virtual_time

# The number of seeds of each test; more are played by hand.
SEEDS: Final = int(os.environ.get("TOUCANSPINDLE_FLEET_SEEDS", "2"))
FIRST_SEED: Final = int(os.environ.get("TOUCANSPINDLE_FLEET_FIRST_SEED", "1"))
DURATION_S: Final = 30.0
# The stated bound: this long after the third crash, at most three more requests reach targets.
CRASHES_KNOWN_AFTER_S: Final = 3.0
MAX_LATER_CRASHES: Final = 3
MAX_LATER_DEADLINE_S: Final = 0.5  # The stated bound for a request that is sent again.

Scenario = Callable[[EmulatedFleet], Coroutine[Any, Any, None]]


def set_cut_off(host: EmulatedHost, value: bool) -> None:
    host.is_cut_off = value


def set_muted(host: EmulatedHost, value: bool) -> None:
    host.is_muted = value


def set_slow(host: EmulatedHost, value: bool) -> None:
    host.is_slow = value


def set_frozen(host: EmulatedHost, value: bool) -> None:
    host.set_frozen(value)


class FleetCase(TestCase):
    """Plays scenarios with an emulated fleet."""

    def play(self, scenario: Scenario, shape: FleetShape, seed: int) -> EmulatedFleet:
        """Run a scenario beside the load of a shape; return the fleet afterwards."""
        fleets: list[EmulatedFleet] = []

        async def main() -> None:
            fleet = EmulatedFleet(shape, seed)
            fleets.append(fleet)
            failures = asyncio.get_running_loop().create_task(scenario(fleet))
            await fleet.run_load(DURATION_S)
            failures.cancel()

        run_in_virtual_time(main())
        return fleets[0]


class RetryBudgetTests(FleetCase):
    """The bounds on repeats, for each request and for all hosts in each sliding window."""

    def check(self, scenario: Scenario, shape: FleetShape) -> None:
        for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
            fleet = self.play(scenario, shape, seed)
            excess = fleet.record.worst_excess(shape.bounds)
            self.assertLessEqual(excess, 0, f"seed {seed}: {excess:.0f} repeats too many")
            targets = max(len(names) for names in fleet.record.targets.values())
            self.assertLessEqual(targets, shape.max_attempts, f"seed {seed}")

    def test_budget_holds_while_brokers_are_slow_by_turns(self) -> None:
        """Hosts that skip a slow broker at different moments use several brokers at once."""

        async def slow_brokers(fleet: EmulatedFleet) -> None:
            while True:
                for ip in rank_brokers(SERVICE, fleet.ips)[:3]:
                    if fleet.rng.random() < 0.6:
                        fleet.disturb(ip, set_slow, fleet.rng.uniform(0.3, 2.5))
                await asyncio.sleep(fleet.rng.uniform(1.0, 3.0))

        self.check(slow_brokers, FleetShape())

    def test_budget_holds_while_brokers_are_killed_and_come_back(self) -> None:
        """Each change of brokers must not add a budget, also if hosts disagree for seconds."""

        async def kill_brokers(fleet: EmulatedFleet) -> None:
            while True:
                await asyncio.sleep(fleet.rng.uniform(1.0, 4.0))
                ip = fleet.rng.choice(rank_brokers(SERVICE, fleet.ips)[:4])
                if fleet.hosts[ip].is_running:
                    fleet.kill(ip, fleet.rng.uniform(0.3, 3.0))

        self.check(kill_brokers, FleetShape())

    def test_budget_holds_when_frozen_brokers_wake_up_with_unused_credit(self) -> None:
        """The clock of a frozen broker stops, so its credit could outlive the time it is for."""

        async def freeze_brokers(fleet: EmulatedFleet) -> None:
            failing = fleet.shape
            while True:
                fleet.shape = dataclasses.replace(failing, shed_share=0.0, fail_share=0.0)
                brokers = rank_brokers(SERVICE, fleet.ips)[:4]
                for n, ip in enumerate(brokers):
                    await asyncio.sleep(2.0)
                    fleet.disturb(ip, set_frozen, 2.0 * (len(brokers) - n))
                await asyncio.sleep(2.0)
                fleet.shape = failing
                await asyncio.sleep(fleet.rng.uniform(5.0, 12.0))

        self.check(freeze_brokers, FleetShape(idempotent=False, shed_share=0.7))

    def test_budget_holds_while_groups_of_hosts_save_credit_at_brokers_of_their_own(self) -> None:
        """Hosts that disagree about who is ready use several brokers all day, at a high rate."""

        async def fail_after_calm(fleet: EmulatedFleet) -> None:
            ranked = rank_brokers(SERVICE, fleet.ips)
            for n, host in enumerate(fleet.hosts.values()):
                for ip in ranked[: n % 6]:
                    host.live_hosts.set_capacity(ip, 0.0)
            failing = fleet.shape
            while True:
                fleet.shape = dataclasses.replace(failing, shed_share=0.0, fail_share=0.0)
                await asyncio.sleep(5.0)
                fleet.shape = failing
                await asyncio.sleep(12.0)

        bounds = dataclasses.replace(FleetShape().bounds, retry_burst=20.0)
        self.check(fail_after_calm, FleetShape(rate=150.0, shed_share=0.8, bounds=bounds))

    def test_budget_holds_while_all_hosts_decide_alone(self) -> None:
        """A fleet without datagrams has as many brokers as hosts."""

        async def cut_all(fleet: EmulatedFleet) -> None:
            await asyncio.sleep(8.0)
            for ip in fleet.ips:
                fleet.disturb(ip, set_cut_off, fleet.rng.uniform(6.0, 14.0))

        self.check(cut_all, FleetShape())

    def test_budget_holds_while_hosts_are_cut_off_muted_and_restarted(self) -> None:
        """Failures of all kinds overlap, and requests aren't idempotent."""

        async def disturb_hosts(fleet: EmulatedFleet) -> None:
            while True:
                await asyncio.sleep(fleet.rng.uniform(0.1, 0.8))
                ranked = rank_brokers(SERVICE, fleet.ips)
                ip = fleet.rng.choice(ranked[:4] if fleet.rng.random() < 0.5 else ranked)
                set_state = fleet.rng.choice((set_cut_off, set_muted, set_slow, None))
                if set_state is not None:
                    fleet.disturb(ip, set_state, fleet.rng.uniform(0.3, 5.0))
                elif fleet.hosts[ip].is_running:
                    fleet.kill(ip, fleet.rng.uniform(0.3, 3.0))

        self.check(disturb_hosts, FleetShape(idempotent=False, shed_share=0.7))

    def test_budget_holds_when_waiting_retries_get_their_slots_at_once(self) -> None:
        """Retries that wait for slots reach the targets later than they were requested."""

        async def free_slots(fleet: EmulatedFleet) -> None:
            await asyncio.sleep(DURATION_S)

        self.check(free_slots, FleetShape(targets=3, slots=2, work_s=0.4, rate=30.0))

    def test_budget_holds_when_a_broker_has_spent_its_savings_and_is_killed(self) -> None:
        """The next broker is given credit anew in the same window."""

        async def kill_after_spells(fleet: EmulatedFleet) -> None:
            failing = fleet.shape
            while True:
                fleet.shape = dataclasses.replace(failing, shed_share=0.0, fail_share=0.0)
                await asyncio.sleep(11.0)
                fleet.shape = failing
                await asyncio.sleep(fleet.rng.uniform(0.5, 3.0))
                running = [ip for ip in fleet.ips if fleet.hosts[ip].is_running]
                fleet.kill(rank_brokers(SERVICE, running)[0], 5.0)
                await asyncio.sleep(6.0)

        self.check(kill_after_spells, FleetShape(idempotent=False, rate=120.0, shed_share=0.7))

    def test_most_of_the_ratio_is_used_with_one_broker(self) -> None:
        """A bound that holds because nothing is retried serves no caller."""

        async def no_failures(fleet: EmulatedFleet) -> None:
            await asyncio.sleep(DURATION_S)

        shape = FleetShape()
        fleet = self.play(no_failures, shape, FIRST_SEED)
        ratio = len(fleet.record.repeats()) / len(fleet.record.requests)
        self.assertGreater(ratio, shape.bounds.retry_ratio)


class DeadlineTests(FleetCase):
    """A target may not get more time for a request than its caller has left."""

    def test_request_of_a_host_that_was_frozen_is_not_sent_again_with_more_time(self) -> None:
        """The time for which a host was frozen counts."""

        async def freeze_hosts(fleet: EmulatedFleet) -> None:
            while True:
                await asyncio.sleep(fleet.rng.uniform(0.2, 1.0))
                fleet.disturb(fleet.rng.choice(fleet.ips), set_frozen, fleet.rng.uniform(0.5, 3.0))

        for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
            fleet = self.play(freeze_hosts, FleetShape(work_s=0.3), seed)
            excess = [max(ends) - ends[0] for ends in fleet.record.deadlines.values()]
            self.assertLessEqual(max(excess), MAX_LATER_DEADLINE_S, f"seed {seed}")


class PoisonMessageTests(FleetCase):
    """A request that crashes its targets comes again and again, at any host."""

    SHAPE = FleetShape(shed_share=0.0, fail_share=0.02, unreachable_share=0.0)

    def check(self, scenario: Scenario, shape: FleetShape = SHAPE, gap_s: float = 0.4) -> None:
        for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):

            async def play(fleet: EmulatedFleet) -> None:
                failures = asyncio.get_running_loop().create_task(scenario(fleet))
                while True:
                    await asyncio.sleep(gap_s)
                    running = [host for host in fleet.hosts.values() if host.is_running]
                    fleet.send_poison(fleet.rng.choice(running))
                    if failures.done():
                        failures.result()

            crashes = self.play(play, shape, seed).record.crashes
            third_at = crashes[2][0]
            later = [at for at, _ in crashes if at > third_at + CRASHES_KNOWN_AFTER_S]
            self.assertLessEqual(len(later), MAX_LATER_CRASHES, f"seed {seed}: {later}")

    def test_crashed_targets_are_remembered_while_brokers_change(self) -> None:
        """Each new broker would let the request crash three more targets."""

        async def kill_brokers(fleet: EmulatedFleet) -> None:
            while True:
                await asyncio.sleep(fleet.rng.uniform(2.0, 4.0))
                for ip in rank_brokers(SERVICE, fleet.ips)[: fleet.rng.randint(1, 2)]:
                    if fleet.hosts[ip].is_running:
                        fleet.kill(ip, fleet.rng.uniform(0.3, 2.0))

        self.check(kill_brokers)

    def test_crashes_of_all_services_of_a_split_route_count_together(self) -> None:
        """Guards against a poison message that crashes three targets of each service."""

        async def kill_hosts(fleet: EmulatedFleet) -> None:
            while True:
                await asyncio.sleep(fleet.rng.uniform(2.0, 4.0))
                ip = fleet.rng.choice(fleet.ips)
                if fleet.hosts[ip].is_running:
                    fleet.kill(ip, fleet.rng.uniform(0.3, 2.0))

        # One target is crashed at a time, so that no service alone gets there in time.
        shape = dataclasses.replace(self.SHAPE, targets=48, services=4, max_attempts=1)
        self.check(kill_hosts, shape, gap_s=1.0)

    def test_crashed_targets_are_remembered_by_all_of_several_brokers(self) -> None:
        """Hosts that skip a slow broker by turns use several brokers at once."""

        async def slow_brokers(fleet: EmulatedFleet) -> None:
            while True:
                for ip in rank_brokers(SERVICE, fleet.ips)[:2]:
                    if fleet.rng.random() < 0.6:
                        fleet.disturb(ip, set_slow, fleet.rng.uniform(0.3, 2.5))
                await asyncio.sleep(fleet.rng.uniform(1.0, 3.0))

        self.check(slow_brokers)
