"""Measures message sizes and operation times of the member table at the planned fleet size.

    python -m bench.member_table [--members 690]

The default is the fleet size expected in two years.  Calls the decision logic directly in one
process and writes bench/results/member_table.json.
"""

import argparse
import json
import time
import tracemalloc
import uuid
from collections.abc import Callable
from pathlib import Path
from typing import Final

from toucanspindle_core.assignment import assign
from toucanspindle_core.clock import ManualClock
from toucanspindle_core.control_pb2 import LIVE, AgentState, Member, MemberTable
from toucanspindle_core.gossipqueue import transmissions
from toucanspindle_core.membership import Membership, MembershipSettings

RESULTS: Final = Path(__file__).parent / "results" / "member_table.json"
DOMAINS: Final = 7
REPEATS: Final = 20
TOKEN_CHARS: Final = 120
FAN_IN: Final = 24


def make_members(count: int) -> list[Member]:
    """Return `count` members with fields as long as in a real fleet."""
    return [
        Member(
            node=f"entry-{i}",
            incarnation=uuid.uuid4().hex,
            failure_domain=f"domain-{i % DOMAINS}",
            region=f"region-{i % 3}",
            entry_address=f"10.1.{i // 250}.{i % 250}:8080",
            proxy_control_address=f"10.1.{i // 250}.{i % 250}:8081",
            agent_address=f"10.1.{i // 250}.{i % 250}:8082",
            version=1,
            state=LIVE,
            token="t" * TOKEN_CHARS,
        )
        for i in range(count)
    ]


def mean_ms(operation: Callable[[], object]) -> float:
    """Return the mean time of an operation over REPEATS calls, in milliseconds."""
    started = time.perf_counter()
    for _ in range(REPEATS):
        operation()
    return 1000 * (time.perf_counter() - started) / REPEATS


def main() -> None:
    """Measure sizes and times, and print and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--members", type=int, default=690)
    count = parser.parse_args().members
    members = make_members(count)
    settings = MembershipSettings("10.9.9.9:8082", 1.0, 2400.0)
    tracemalloc.start()
    table = Membership(settings, ManualClock())
    table.merge(members)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    compact_members = table.compact_table()
    half_table = Membership(settings, ManualClock())
    half_table.merge(members[: count // 2])
    values = {
        "members": count,
        "record_bytes": members[0].ByteSize(),
        "compact_table_bytes": MemberTable(members=compact_members).ByteSize(),
        "full_table_bytes": MemberTable(members=members).ByteSize(),
        "table_memory_bytes": memory_bytes,
        "transmissions_per_update": transmissions(count),
        "answer_equal_exchange_ms": mean_ms(lambda: table.answer_exchange(compact_members)),
        "answer_half_exchange_ms": mean_ms(
            lambda: table.answer_exchange(half_table.compact_table())
        ),
        "list_peers_ms": mean_ms(table.peers),
        "expire_ms": mean_ms(table.expire),
        "agent_state_ms": mean_ms(
            lambda: AgentState(members=table.all_members()).SerializeToString()
        ),
        "assign_one_service_ms": mean_ms(lambda: assign("lotbook", members, FAN_IN)),
    }
    RESULTS.write_text(json.dumps(values, indent=2) + "\n", encoding="utf-8")
    print(json.dumps(values, indent=2))


if __name__ == "__main__":
    main()
