"""Measures the added wait when several nodes dispatch to one service independently.

Requests arrive as a Poisson process, each at a random node.  The node selects a target with the
chooser class of the request path, based only on its own requests in flight.  Targets serve requests
first come, first served, with a number of slots and exponential service times of mean 1.  The mean
wait is compared with the ideal of a single shared queue (M/M/c, Erlang C).  The choosers differ in
the number of targets that they compare and in whether a target of the node's own failure domain
wins a tie.

    python -m bench.fanin --seeds 5 --arrivals 20000

writes bench/results/fanin.json; `python -m bench.plots` creates tables and plots from it.
"""

import argparse
import heapq
import json
from collections import deque
from collections.abc import Callable
from dataclasses import asdict, dataclass
from itertools import product
from pathlib import Path
from random import Random
from typing import Final

from toucanspindle_core.choice import Candidate, TargetChooser

RESULTS: Final = Path(__file__).parent / "results" / "fanin.json"
FAN_INS: Final = (1, 2, 4, 8, 40)
LOADS: Final = (0.6, 0.8)
DOMAINS: Final = 4
WARM_UP_SHARE: Final = 0.1


@dataclass(frozen=True)
class ServiceSize:
    """Name, number of targets and slots per target of one service."""

    name: str
    targets: int
    slots: int


SERVICES: Final = (ServiceSize("lotbook, 8 x 4", 8, 4), ServiceSize("orders, 11 x 2", 11, 2))


@dataclass(frozen=True)
class ChooserVariant:
    """A chooser: number of compared targets, and whether the node's own domain wins ties."""

    name: str
    sample_size: int
    prefer_own_domain: bool


CHOOSERS: Final = (
    ChooserVariant("2 sampled", 2, False),
    ChooserVariant("12 sampled, ties at random", 12, False),
    ChooserVariant("12 sampled, ties to own domain", 12, True),
)


@dataclass(frozen=True)
class FanInResult:
    """Measured and ideal mean wait of one simulation, in units of the mean service time."""

    service: str
    chooser: str
    fan_in: int
    load: float
    seed: int
    mean_wait: float
    ideal_wait: float


class _TargetQueues:
    """Busy slots and queues of the targets, and each node's own requests in flight per target."""

    def __init__(self, service_size: ServiceSize, fan_in: int) -> None:
        self.busy = [0] * service_size.targets
        self.queues: list[deque[tuple[float, int]]] = [deque() for _ in range(service_size.targets)]
        self.in_flight = [[0] * service_size.targets for _ in range(fan_in)]


@dataclass(frozen=True)
class SimulationCase:
    """Parameters of one simulation; `load` is the offered load divided by the capacity."""

    service_size: ServiceSize
    variant: ChooserVariant
    fan_in: int
    load: float
    arrivals: int


def simulate(case: SimulationCase, seed: int) -> float:
    """Simulate one case and return the mean wait, in units of the mean service time."""
    service_size, variant, fan_in = case.service_size, case.variant, case.fan_in
    arrivals = case.arrivals
    random = Random(seed)
    chooser = TargetChooser(random, variant.sample_size, variant.prefer_own_domain)
    targets = _TargetQueues(service_size, fan_in)
    departures: list[tuple[float, int, int]] = []
    rate = case.load * service_size.targets * service_size.slots
    now, total_wait, counted_requests = 0.0, 0.0, 0

    def start_service(
        started_at: float, arrived_at: float, target: int, node: int, number: int
    ) -> None:
        nonlocal total_wait, counted_requests
        heapq.heappush(departures, (started_at + random.expovariate(1.0), target, node))
        if number >= arrivals * WARM_UP_SHARE:
            total_wait += started_at - arrived_at
            counted_requests += 1

    for number in range(arrivals):
        now += random.expovariate(rate)
        while departures and departures[0][0] <= now:
            departed_at, target, node = heapq.heappop(departures)
            targets.in_flight[node][target] -= 1
            targets.busy[target] -= 1
            if targets.queues[target]:
                arrived_at, waiting_node = targets.queues[target].popleft()
                targets.busy[target] += 1
                start_service(departed_at, arrived_at, target, waiting_node, number)
        node = random.randrange(fan_in)
        target = _choose_target(chooser, service_size, targets.in_flight[node], node)
        targets.in_flight[node][target] += 1
        if targets.busy[target] < service_size.slots:
            targets.busy[target] += 1
            start_service(now, now, target, node, number)
        else:
            targets.queues[target].append((now, node))
    return total_wait / counted_requests


def _choose_target(
    chooser: TargetChooser, service_size: ServiceSize, in_flight: list[int], node: int
) -> int:
    candidates = [
        Candidate(str(i), count, service_size.slots, same_domain=i % DOMAINS == node % DOMAINS)
        for i, count in enumerate(in_flight)
    ]
    chosen = chooser.choose(candidates)
    assert chosen is not None
    return int(chosen.name)


def ideal_wait(servers: int, load: float) -> float:
    """Return the mean wait of M/M/c by Erlang's C formula, in units of the mean service time."""
    offered = servers * load
    blocking = 1.0
    for count in range(1, servers + 1):
        blocking = offered * blocking / (count + offered * blocking)
    delayed = blocking / (1 - load * (1 - blocking))
    return delayed / (servers - offered)


def main(write: Callable[[str], object] = print) -> None:
    """Run all simulations, write the results, and report progress to `write`."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--arrivals", type=int, default=20_000)
    parser.add_argument("--out", type=Path, default=RESULTS)
    arguments = parser.parse_args()
    results = []
    for service_size, variant, fan_in, load in product(SERVICES, CHOOSERS, FAN_INS, LOADS):
        ideal = ideal_wait(service_size.targets * service_size.slots, load)
        case = SimulationCase(service_size, variant, fan_in, load, arguments.arrivals)
        for seed in range(1, arguments.seeds + 1):
            wait = simulate(case, seed)
            results.append(
                FanInResult(service_size.name, variant.name, fan_in, load, seed, wait, ideal)
            )
        write(f"{service_size.name}, {variant.name}, fan-in {fan_in}, load {load}")
    arguments.out.parent.mkdir(parents=True, exist_ok=True)
    rows = [asdict(result) for result in results]
    arguments.out.write_text(json.dumps(rows, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
