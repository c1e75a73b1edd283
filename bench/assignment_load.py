"""Measures how the assignment spreads services over nodes, and what changes when a node leaves.

    python -m bench.assignment_load

Calls the assignment directly, at the fleet size expected in two years, and writes
bench/results/assignment_load.json.  The request rate of a service is assumed to be proportional to
its slots.  Assigning each service separately (`assign`, at several fan-ins) is compared with
assigning all services together (`BalancedAssignment`), for services of equal and of different
sizes.  Milliseconds are processor time and valid only for the machine that ran the measurement.
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
SERVICE_SIZE_SIGMA: Final = 0.8
REQUESTS_PER_S: Final = 150_000
FAN_INS: Final = (4, 8, 16, 24)
MIN_FAN_IN: Final = 4
MAX_FAN_IN: Final = 22
LEAVING_NODES: Final = 20
SEED: Final = 5

Assigned = dict[str, list[Member]]
AssignFunction = Callable[[list[Member]], Assigned]


@dataclass(frozen=True)
class AssignmentResult:
    """Result of one way of assigning: its balance, its movement of pairs, and its cost.

    `pairs` counts the pairs of service and node.  `moved_per_leave` and `moved_per_join` are the
    mean numbers of new pairs after a node leaves or joins; `needed_per_leave` is the mean number
    of pairs of the leaving node.  `first_ms` and `again_ms` are the processor times of the first
    assignment and of one after a node left.
    """

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
    """Return the fleet's nodes, distributed evenly over the failure domains."""
    return [
        Member(node=f"node-{n}", failure_domain=f"domain-{n % DOMAINS}", state=LIVE)
        for n in range(NODES)
    ]


def make_service_slots(sizes: str) -> dict[str, int]:
    """Return the slots of each service: equal for "alike", log-normal for "unlike"."""
    generator = random.Random(SEED)
    sigma = SERVICE_SIZE_SIGMA if sizes == "unlike" else 0.0
    shares = [generator.lognormvariate(0, sigma) for _ in range(SERVICES)]
    targets = [max(MIN_TARGETS, round(share / sum(shares) * TARGETS)) for share in shares]
    return {f"service-{n}": count * SLOTS_PER_TARGET for n, count in enumerate(targets)}


def measure(
    sizes: str, way: str, slots: dict[str, int], assign_all: AssignFunction
) -> AssignmentResult:
    """Measure one way of assigning, with LEAVING_NODES nodes leaving and rejoining in turn."""
    members = make_members()
    started_s = time.process_time()
    assigned = assign_all(members)
    first_ms = (time.process_time() - started_s) * 1000
    pairs_before = _pairs(assigned)
    moved, joined, needed, again_ms = [], [], [], []
    for leaving in random.Random(SEED).sample(members, LEAVING_NODES):
        started_s = time.process_time()
        pairs_after_leave = _pairs(
            assign_all([member for member in members if member is not leaving])
        )
        again_ms.append((time.process_time() - started_s) * 1000)
        moved.append(len(pairs_after_leave - pairs_before))
        joined.append(len(_pairs(assign_all(members)) - pairs_after_leave))
        needed.append(sum(1 for _, node in pairs_before if node == leaving.node))
    load = _requests_by_node(slots, assigned, members)
    return AssignmentResult(
        sizes,
        way,
        len(pairs_before),
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


def _requests_by_node(
    slots: dict[str, int], assigned: Assigned, members: list[Member]
) -> dict[str, float]:
    load = {member.node: 0.0 for member in members}
    per_slot = REQUESTS_PER_S / sum(slots.values())
    for service, nodes in assigned.items():
        for member in nodes:
            load[member.node] += slots[service] * per_slot / len(nodes)
    return load


def _assign_separately(slots: dict[str, int], fan_in: int) -> AssignFunction:
    return lambda members: {service: assign(service, members, fan_in) for service in slots}


def _assign_together(slots: dict[str, int]) -> AssignFunction:
    assignment: BalancedAssignment[Member] = BalancedAssignment()
    demands = [
        ServiceDemand(service, count, scaled_fan_in(count, MIN_FAN_IN, MAX_FAN_IN))
        for service, count in slots.items()
    ]
    return lambda members: assignment.assign(demands, members)


def main() -> None:
    """Measure each way of assigning, and print and write the results."""
    results = []
    for sizes in ("alike", "unlike"):
        slots = make_service_slots(sizes)
        for fan_in in FAN_INS:
            separately = _assign_separately(slots, fan_in)
            results.append(measure(sizes, f"alone, fan-in {fan_in}", slots, separately))
        results.append(measure(sizes, "together", slots, _assign_together(slots)))
    text = json.dumps([asdict(result) for result in results], indent=1) + "\n"
    sys.stdout.write(text)
    RESULTS.parent.mkdir(parents=True, exist_ok=True)
    RESULTS.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
