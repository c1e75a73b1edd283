"""Shows how services fall on nodes at the two-year size, for several fan-ins.

    python -m bench.assignment_load

Runs the assignment directly; writes bench/results/assignment_load.json.  Every service is taken to
get the same share of the requests.
"""

import json
import statistics
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Final

from toucanspindle_core.assignment import assign
from toucanspindle_core.control_pb2 import LIVE, Member

RESULTS: Final = Path(__file__).parent / "results" / "assignment_load.json"
NODES: Final = 690
DOMAINS: Final = 7
SERVICES: Final = 200
REQUESTS_PER_S: Final = 150_000
FAN_INS: Final = (4, 8, 16, 24)


def make_members() -> list[Member]:
    """Return the fleet's nodes, spread evenly over the failure domains."""
    return [
        Member(node=f"node-{n}", failure_domain=f"domain-{n % DOMAINS}", state=LIVE)
        for n in range(NODES)
    ]


def measure(members: list[Member], fan_in: int) -> dict[str, float]:
    """Return how many services the nodes get, and the requests of the busiest."""
    services: Counter[str] = Counter({member.node: 0 for member in members})
    began = time.process_time()
    for number in range(SERVICES):
        services.update(m.node for m in assign(f"service-{number}", members, fan_in))
    elapsed_ms = (time.process_time() - began) * 1000
    counts = sorted(services.values())
    per_assignment = REQUESTS_PER_S / SERVICES / fan_in
    return {
        "fan_in": fan_in,
        "mean_services": round(statistics.mean(counts), 2),
        "idle_nodes": counts.count(0),
        "p99_services": counts[int(NODES * 0.99)],
        "max_services": counts[-1],
        "mean_requests_per_s": round(REQUESTS_PER_S / NODES, 1),
        "max_requests_per_s": round(counts[-1] * per_assignment, 1),
        "assign_ms": round(elapsed_ms / SERVICES, 2),
    }


def main() -> None:
    """Measure every fan-in, print and write the results."""
    members = make_members()
    results = [measure(members, fan_in) for fan_in in FAN_INS]
    text = json.dumps(results, indent=1) + "\n"
    sys.stdout.write(text)
    RESULTS.parent.mkdir(parents=True, exist_ok=True)
    RESULTS.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
