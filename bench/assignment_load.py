"""Shows how services fall on nodes at the two-year size, and what moves when a node leaves.

    python -m bench.assignment_load

Runs the assignment directly; writes bench/results/assignment_load.json.  The services' requests
are taken to be in proportion to their slots.  Each service alone (`assign`, at several fan-ins) is
compared with all services together (`BalancedAssignment`), for services of one size and for
unlike ones.  Milliseconds are of processor time, so they hold for the machine that ran it.
"""

import json
import random
import statistics
import sys
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Final

from toucanspindle_core.assignment import assign
from toucanspindle_core.balancedassignment import (
    BalancedAssignment,
    ServiceDemand,
    scaled_fan_in,
)
from toucanspindle_core.control_pb2 import LIVE, Member

RESULTS: Final = Path(__file__).parent / "results" / "assignment_load.json"
NODES: Final = 690
DOMAINS: Final = 7
SERVICES: Final = 200
TARGETS: Final = 7_400
SLOTS_PER_TARGET: Final = 4
MIN_TARGETS: Final = 4
SIZE_SIGMA: Final = 0.8
REQUESTS_PER_S: Final = 150_000
FAN_INS: Final = (4, 8, 16, 24)
LEAST_FAN_IN: Final = 4
MOST_FAN_IN: Final = 22
LEAVES: Final = 20
SEED: Final = 5

Assigned = dict[str, list[Member]]
AssignAll = Callable[[list[Member]], Assigned]


@dataclass(frozen=True)
class AssignmentResult:
    """How even one way of assigning is, what it moves, and what it costs."""

    sizes: str
    way: str
    pairs: int
    idle_nodes: int
    mean_requests_per_s: float
    max_requests_per_s: float
    fewest_domains: int
    moved_per_leave: float
    max_moved_per_leave: int
    needed_per_leave: float
    moved_per_join: float
    first_ms: float
    again_ms: float


def make_members() -> list[Member]:
    """Return the fleet's nodes, spread evenly over the failure domains."""
    return [
        Member(node=f"node-{n}", failure_domain=f"domain-{n % DOMAINS}", state=LIVE)
        for n in range(NODES)
    ]


def make_slots(sizes: str) -> dict[str, int]:
    """Return the slots of each service: alike, or log-normally spread."""
    generator = random.Random(SEED)
    sigma = SIZE_SIGMA if sizes == "unlike" else 0.0
    shares = [generator.lognormvariate(0, sigma) for _ in range(SERVICES)]
    targets = [max(MIN_TARGETS, round(share / sum(shares) * TARGETS)) for share in shares]
    return {f"service-{n}": count * SLOTS_PER_TARGET for n, count in enumerate(targets)}


def measure(sizes: str, way: str, slots: dict[str, int], assign_all: AssignAll) -> AssignmentResult:
    """Return the figures of one way of assigning."""
    members = make_members()
    began = time.process_time()
    assigned = assign_all(members)
    first_ms = (time.process_time() - began) * 1000
    before = _pairs(assigned)
    moved, joined, needed, again_ms = [], [], [], []
    for gone in random.Random(SEED).sample(members, LEAVES):
        began = time.process_time()
        left = _pairs(assign_all([member for member in members if member is not gone]))
        again_ms.append((time.process_time() - began) * 1000)
        moved.append(len(left - before))
        joined.append(len(_pairs(assign_all(members)) - left))
        needed.append(sum(1 for _, node in before if node == gone.node))
    load = _requests(slots, assigned, members)
    return AssignmentResult(
        sizes,
        way,
        len(before),
        sum(1 for requests in load.values() if not requests),
        round(statistics.mean(load.values()), 1),
        round(max(load.values()), 1),
        min(len({m.failure_domain for m in nodes}) for nodes in assigned.values()),
        round(statistics.mean(moved), 2),
        max(moved),
        round(statistics.mean(needed), 2),
        round(statistics.mean(joined), 2),
        round(first_ms, 1),
        round(statistics.mean(again_ms), 1),
    )


def _pairs(assigned: Assigned) -> set[tuple[str, str]]:
    return {(service, member.node) for service, nodes in assigned.items() for member in nodes}


def _requests(slots: dict[str, int], assigned: Assigned, members: list[Member]) -> dict[str, float]:
    load = {member.node: 0.0 for member in members}
    per_slot = REQUESTS_PER_S / sum(slots.values())
    for service, nodes in assigned.items():
        for member in nodes:
            load[member.node] += slots[service] * per_slot / len(nodes)
    return load


def _alone(slots: dict[str, int], fan_in: int) -> AssignAll:
    return lambda members: {service: assign(service, members, fan_in) for service in slots}


def _together(slots: dict[str, int]) -> AssignAll:
    assignment: BalancedAssignment[Member] = BalancedAssignment()
    demands = [
        ServiceDemand(service, count, scaled_fan_in(count, LEAST_FAN_IN, MOST_FAN_IN))
        for service, count in slots.items()
    ]
    return lambda members: assignment.assign(demands, members)


def main() -> None:
    """Measure every way, print and write the results."""
    results = []
    for sizes in ("alike", "unlike"):
        slots = make_slots(sizes)
        for fan_in in FAN_INS:
            alone = _alone(slots, fan_in)
            results.append(measure(sizes, f"alone, fan-in {fan_in}", slots, alone))
        results.append(measure(sizes, "together", slots, _together(slots)))
    text = json.dumps([asdict(result) for result in results], indent=1) + "\n"
    sys.stdout.write(text)
    RESULTS.parent.mkdir(parents=True, exist_ok=True)
    RESULTS.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
