"""Tracks each target's requests in flight and drain signals, as seen by this node.

This node sends no new requests to a target from its first drain signal on.  The signal is
reported to the agent, so that the other nodes stop within a few seconds.  `drainwatch` polls the
target's health endpoint until the signal is gone.
"""

import threading
from collections import Counter
from dataclasses import dataclass

from toucanspindle_core.choice import Candidate
from toucanspindle_core.policy import ServicePolicy, Target

from toucanspindle_node.fleetstate import FleetState


@dataclass(frozen=True)
class DrainingTarget:
    """A target that signalled draining, and its service."""

    service: str
    target: Target


class TargetRegistry:
    """Counts of requests in flight and drain signals; safe for use by several threads.

    Invariant: a count is never negative.
    """

    def __init__(self, failure_domain: str) -> None:
        """Create the registry of a node in `failure_domain`."""
        self._failure_domain = failure_domain
        self._lock = threading.Lock()
        self._in_flight: Counter[str] = Counter()
        self._draining: dict[str, DrainingTarget] = {}

    def begin_attempt(self, service: str, target: str) -> None:
        """Count an attempt as in flight at a target."""
        with self._lock:
            self._in_flight[qualified_target_name(service, target)] += 1

    def end_attempt(self, service: str, target: str) -> None:
        """Stop counting an attempt as in flight at a target."""
        name = qualified_target_name(service, target)
        with self._lock:
            self._in_flight[name] -= 1
            if not self._in_flight[name]:
                del self._in_flight[name]

    def mark_draining(self, service: str, target: Target) -> bool:
        """Record a target's drain signal; return whether it is new."""
        name = qualified_target_name(service, target.name)
        with self._lock:
            is_new = name not in self._draining
            self._draining[name] = DrainingTarget(service, target)
        return is_new

    def clear_draining(self, draining: DrainingTarget) -> None:
        """Remove the drain signal of a target."""
        with self._lock:
            self._draining.pop(qualified_target_name(draining.service, draining.target.name), None)

    def draining_targets(self) -> list[DrainingTarget]:
        """Return the targets whose drain signal this node has seen."""
        with self._lock:
            return list(self._draining.values())

    def candidates(
        self, service: ServicePolicy, state: FleetState, idempotent: bool
    ) -> list[Candidate]:
        """Return the targets that may receive a request, with their load and weight.

        Leaving, draining and drained targets are left out.  An ejected target has its trickle
        share as weight for idempotent requests, and weight 0 for others.
        """
        ejected = state.active_ejections(service.name)
        candidates = []
        for target in service.targets:
            name = qualified_target_name(service.name, target.name)
            if target.drained or name in self._draining or name in state.leaving_targets:
                continue
            weight = 1.0
            ejection = ejected.get(target.name)
            if ejection is not None:
                weight = ejection.trickle_percent / 100 if idempotent else 0.0
            candidates.append(
                Candidate(
                    target.name,
                    self._in_flight.get(name, 0),
                    service.settings.slots_per_target,
                    weight,
                    target.failure_domain == self._failure_domain,
                )
            )
        return candidates


def qualified_target_name(service: str, target: str) -> str:
    """Return "service/target", which is unique in the fleet."""
    return f"{service}/{target}"
