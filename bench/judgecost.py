"""Measures a judge's processor time per service, on synthetic outcomes.

Reports are parsed and judged as an agent does it; the processor time is this process's own.

    python -m bench.judgecost
"""

import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Final

from toucanspindle_core.clock import ManualClock
from toucanspindle_core.control_pb2 import EvidenceReport
from toucanspindle_core.detection import STEP_S
from toucanspindle_core.evidence import ServiceEvidence, TargetOutcomes
from toucanspindle_core.sequentialdetector import SequentialDetector
from toucanspindle_node.evidencewire import parse_report, report_message
from toucanspindle_node.fleetport import EVIDENCE_PER_S

from bench.outcomestream import LOTBOOK, ORDERS, OutcomeStream, ServiceShape

LARGE: Final = ServiceShape(
    "two-year", tuple(f"domain-{number}" for number in range(7)), 37, 4, 20.0, 0.05
)
CAPPED: Final = replace(
    LARGE, name="two-year, capped", requests_per_target_s=EVIDENCE_PER_S / LARGE.targets
)
WARM_UP_S: Final = 60.0
MEASURED_S: Final = 30.0
ALLOWED_PER_DAY: Final = 0.05


@dataclass(frozen=True)
class JudgeCost:
    """Cost of judging one service; `core_percent` is the share of one core at the given rate."""

    service: str
    requests_per_s: float
    parse_us_per_request: float
    step_us_per_request: float
    core_percent: float
    report_bytes_per_s: float


def measure(shape: ServiceShape) -> JudgeCost:
    """Judge a stream and return what it cost."""
    clock = ManualClock()
    detector = SequentialDetector(ALLOWED_PER_DAY, clock)
    detector.set_targets(shape.target_names())
    parse_s = step_s = 0.0
    requests = report_bytes = 0
    for number, outcomes in enumerate(OutcomeStream(shape, 1).steps(WARM_UP_S + MEASURED_S)):
        by_domain: dict[str, list[TargetOutcomes]] = defaultdict(list)
        for one in outcomes:
            by_domain[one.domain].append(one.counts)
        reports = [
            report_message(ServiceEvidence(shape.name, counts), "observer", domain, number)
            for domain, counts in by_domain.items()
        ]
        wire = [report.SerializeToString() for report in reports]
        clock.advance(STEP_S)
        began = time.process_time()
        observed = [parse_report(EvidenceReport.FromString(data)) for data in wire]
        parsed = time.process_time()
        for one_report in observed:
            for counts in one_report.evidence.targets:
                detector.observe(one_report.failure_domain, counts)
        detector.step()
        if number * STEP_S >= WARM_UP_S:
            parse_s += parsed - began
            step_s += time.process_time() - parsed
            requests += sum(c.succeeded + c.failed for cs in by_domain.values() for c in cs)
            report_bytes += sum(map(len, wire))
    return JudgeCost(
        shape.name,
        requests / MEASURED_S,
        1e6 * parse_s / requests,
        1e6 * step_s / requests,
        100 * (parse_s + step_s) / MEASURED_S,
        report_bytes / MEASURED_S,
    )


def main(write: Callable[[str], object] = print) -> None:
    """Measure all sizes and write a table."""
    write("| service | requests/s | parse, us/request | judge, us/request | core | report B/s |")
    write("| --- | --- | --- | --- | --- | --- |")
    for shape in (LOTBOOK, ORDERS, LARGE, CAPPED):
        cost = measure(shape)
        write(
            f"| {cost.service} | {cost.requests_per_s:.0f} | {cost.parse_us_per_request:.0f}"
            f" | {cost.step_us_per_request:.0f} | {cost.core_percent:.1f}%"
            f" | {cost.report_bytes_per_s:.0f} |"
        )


if __name__ == "__main__":
    main()
