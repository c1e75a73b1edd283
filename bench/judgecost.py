"""Measures a judge's CPU time per service with synthetic outcomes.

Reports are parsed and judged as in an agent; the result is the CPU time of this process.

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
from toucanspindle_node.fleetsync import EVIDENCE_ATTEMPTS_PER_S

from bench.outcomestream import LOTBOOK, ORDERS, OutcomeStream, ServiceShape

LARGE: Final = ServiceShape(
    "two-year", tuple(f"domain-{number}" for number in range(7)), 37, 4, 20.0, 0.05
)
CAPPED: Final = replace(
    LARGE, name="two-year, capped", requests_per_target_s=EVIDENCE_ATTEMPTS_PER_S / LARGE.targets
)
WARM_UP_S: Final = 60.0
MEASURED_S: Final = 30.0
FALSE_EJECTIONS_PER_TARGET_DAY: Final = 0.05


@dataclass(frozen=True)
class JudgeCost:
    """Cost of judging one service; `core_percent` is the share of one CPU core at this rate."""

    service: str
    requests_per_s: float
    parse_us_per_request: float
    step_us_per_request: float
    core_percent: float
    report_bytes_per_s: float


def measure(shape: ServiceShape) -> JudgeCost:
    """Judge a stream of outcomes and return the cost after the warm-up."""
    clock = ManualClock()
    detector = SequentialDetector(FALSE_EJECTIONS_PER_TARGET_DAY, clock)
    detector.set_targets(shape.target_names())
    parse_cpu_s = step_cpu_s = 0.0
    requests = report_bytes = 0
    for step_number, outcomes in enumerate(OutcomeStream(shape, 1).steps(WARM_UP_S + MEASURED_S)):
        by_domain: dict[str, list[TargetOutcomes]] = defaultdict(list)
        for outcome in outcomes:
            by_domain[outcome.domain].append(outcome.counts)
        reports = [
            report_message(ServiceEvidence(shape.name, counts), "observer", domain, step_number)
            for domain, counts in by_domain.items()
        ]
        encoded_reports = [report.SerializeToString() for report in reports]
        clock.advance(STEP_S)
        started_at_s = time.process_time()
        observed = [parse_report(EvidenceReport.FromString(data)) for data in encoded_reports]
        parsed_at_s = time.process_time()
        for observed_report in observed:
            for counts in observed_report.evidence.targets:
                detector.observe(observed_report.failure_domain, counts)
        detector.step()
        if step_number * STEP_S >= WARM_UP_S:
            parse_cpu_s += parsed_at_s - started_at_s
            step_cpu_s += time.process_time() - parsed_at_s
            requests += sum(
                c.succeeded + c.failed
                for domain_counts in by_domain.values()
                for c in domain_counts
            )
            report_bytes += sum(map(len, encoded_reports))
    return JudgeCost(
        shape.name,
        requests / MEASURED_S,
        1e6 * parse_cpu_s / requests,
        1e6 * step_cpu_s / requests,
        100 * (parse_cpu_s + step_cpu_s) / MEASURED_S,
        report_bytes / MEASURED_S,
    )


def main(write_line: Callable[[str], object] = print) -> None:
    """Measure all service shapes and write a Markdown table."""
    write_line(
        "| service | requests/s | parse, us/request | judge, us/request | core | report B/s |"
    )
    write_line("| --- | --- | --- | --- | --- | --- |")
    for shape in (LOTBOOK, ORDERS, LARGE, CAPPED):
        cost = measure(shape)
        write_line(
            f"| {cost.service} | {cost.requests_per_s:.0f} | {cost.parse_us_per_request:.0f}"
            f" | {cost.step_us_per_request:.0f} | {cost.core_percent:.1f}%"
            f" | {cost.report_bytes_per_s:.0f} |"
        )


if __name__ == "__main__":
    main()
