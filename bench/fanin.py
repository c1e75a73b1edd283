"""Measures the wait over an ideal single queue for several nodes that dispatch to one service.

Requests arrive as a Poisson process and go to one of the nodes at random.  The node chooses a
target with the very chooser of the request path, from what it alone has in flight; targets serve
first come, first served with a number of slots and exponential service times of mean 1.  The mean
wait is compared with the ideal single queue (M/M/c, Erlang C).  The choosers differ in the number
of targets they compare and in whether targets of the node's own failure domain win ties.

    python -m bench.fanin --seeds 5 --arrivals 20000

writes bench/results/fanin.json; `python -m bench.plots` makes tables and plots of it.
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
class Shape:
    """Targets and slots of one service."""

    name: str
    targets: int
    slots: int


SHAPES: Final = (Shape("lotbook, 8 x 4", 8, 4), Shape("orders, 11 x 2", 11, 2))


@dataclass(frozen=True)
class ChooserKind:
    """A way to choose: how many targets are compared, and whether the own domain wins ties."""

    name: str
    sample_size: int
    prefer_own_domain: bool


CHOOSERS: Final = (
    ChooserKind("2 sampled", 2, False),
    ChooserKind("12 sampled, ties at random", 12, False),
    ChooserKind("12 sampled, ties to own domain", 12, True),
)


@dataclass(frozen=True)
class FanInResult:
    """Mean wait in units of the mean service time, and the ideal one."""

    service: str
    chooser: str
    fan_in: int
    load: float
    seed: int
    mean_wait: float
    ideal_wait: float


class _Targets:
    """Queues of the targets, and each node's count of its own requests in flight."""

    def __init__(self, shape: Shape, fan_in: int) -> None:
        self.busy = [0] * shape.targets
        self.queues: list[deque[tuple[float, int]]] = [deque() for _ in range(shape.targets)]
        self.in_flight = [[0] * shape.targets for _ in range(fan_in)]


@dataclass(frozen=True)
class Case:
    """One simulation."""

    shape: Shape
    kind: ChooserKind
    fan_in: int
    load: float
    arrivals: int


def simulate(case: Case, seed: int) -> float:
    """Return the mean wait, in units of the mean service time."""
    shape, kind, fan_in = case.shape, case.kind, case.fan_in
    arrivals = case.arrivals
    random = Random(seed)
    chooser = TargetChooser(random, kind.sample_size, kind.prefer_own_domain)
    targets = _Targets(shape, fan_in)
    departures: list[tuple[float, int, int]] = []
    rate = case.load * shape.targets * shape.slots
    now, waited, counted = 0.0, 0.0, 0

    def begin(at: float, arrived: float, target: int, node: int, number: int) -> None:
        nonlocal waited, counted
        heapq.heappush(departures, (at + random.expovariate(1.0), target, node))
        if number >= arrivals * WARM_UP_SHARE:
            waited += at - arrived
            counted += 1

    for number in range(arrivals):
        now += random.expovariate(rate)
        while departures and departures[0][0] <= now:
            at, target, node = heapq.heappop(departures)
            targets.in_flight[node][target] -= 1
            targets.busy[target] -= 1
            if targets.queues[target]:
                arrived, waiting_node = targets.queues[target].popleft()
                targets.busy[target] += 1
                begin(at, arrived, target, waiting_node, number)
        node = random.randrange(fan_in)
        target = _choose(chooser, shape, targets.in_flight[node], node)
        targets.in_flight[node][target] += 1
        if targets.busy[target] < shape.slots:
            targets.busy[target] += 1
            begin(now, now, target, node, number)
        else:
            targets.queues[target].append((now, node))
    return waited / counted


def _choose(chooser: TargetChooser, shape: Shape, in_flight: list[int], node: int) -> int:
    candidates = [
        Candidate(str(i), count, shape.slots, same_domain=i % DOMAINS == node % DOMAINS)
        for i, count in enumerate(in_flight)
    ]
    chosen = chooser.choose(candidates)
    assert chosen is not None
    return int(chosen.name)


def ideal_wait(servers: int, load: float) -> float:
    """Return the mean wait of M/M/c by Erlang's C formula, in units of the service time."""
    offered = servers * load
    blocking = 1.0
    for count in range(1, servers + 1):
        blocking = offered * blocking / (count + offered * blocking)
    delayed = blocking / (1 - load * (1 - blocking))
    return delayed / (servers - offered)


def main(write: Callable[[str], object] = print) -> None:
    """Run all simulations and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--arrivals", type=int, default=20_000)
    parser.add_argument("--out", type=Path, default=RESULTS)
    arguments = parser.parse_args()
    results = []
    for shape, kind, fan_in, load in product(SHAPES, CHOOSERS, FAN_INS, LOADS):
        ideal = ideal_wait(shape.targets * shape.slots, load)
        case = Case(shape, kind, fan_in, load, arguments.arrivals)
        for seed in range(1, arguments.seeds + 1):
            wait = simulate(case, seed)
            results.append(FanInResult(shape.name, kind.name, fan_in, load, seed, wait, ideal))
        write(f"{shape.name}, {kind.name}, fan-in {fan_in}, load {load}")
    arguments.out.parent.mkdir(parents=True, exist_ok=True)
    rows = [asdict(result) for result in results]
    arguments.out.write_text(json.dumps(rows, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
