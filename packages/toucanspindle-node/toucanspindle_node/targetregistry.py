"""What this node knows of each target from its own traffic: requests in flight, drain signals.

A target that signals draining gets no new work from this node at once; the signal is reported,
so that the other nodes follow within a few seconds.  Its health endpoint, which is no work, is
asked now and then until the signal is gone.
"""

import threading
from collections import Counter
from dataclasses import dataclass

from toucanspindle_core.choice import Candidate
from toucanspindle_core.policy import ServicePolicy, Target

from toucanspindle_node.fleetstate import FleetState


@dataclass(frozen=True)
class DrainingTarget:
    """A target that signalled draining."""

    service: str
    target: Target


class TargetRegistry:
    """Counts of requests in flight and drain signals; safe for use by several threads.

    Invariant: a count is never negative.
    """

    def __init__(self, failure_domain: str) -> None:
        """Create a registry of a node in a failure domain."""
        self._failure_domain = failure_domain
        self._lock = threading.Lock()
        self._outstanding: Counter[str] = Counter()
        self._draining: dict[str, DrainingTarget] = {}

    def begin(self, service: str, target: str) -> None:
        """Count a request that is sent to a target."""
        with self._lock:
            self._outstanding[full_name(service, target)] += 1

    def end(self, service: str, target: str) -> None:
        """Count the end of a request at a target."""
        name = full_name(service, target)
        with self._lock:
            self._outstanding[name] -= 1
            if not self._outstanding[name]:
                del self._outstanding[name]

    def note_draining(self, service: str, target: Target) -> bool:
        """Take note of a drain signal; return whether it is new."""
        name = full_name(service, target.name)
        with self._lock:
            is_new = name not in self._draining
            self._draining[name] = DrainingTarget(service, target)
        return is_new

    def forget_draining(self, draining: DrainingTarget) -> None:
        """Take note that a target no longer signals draining."""
        with self._lock:
            self._draining.pop(full_name(draining.service, draining.target.name), None)

    def draining(self) -> list[DrainingTarget]:
        """Return the targets that signalled draining to this node."""
        with self._lock:
            return list(self._draining.values())

    def candidates(
        self, service: ServicePolicy, state: FleetState, idempotent: bool
    ) -> list[Candidate]:
        """Return the targets that may take a request, with their load.

        Leaving, draining and drained targets are left out.  An ejected target takes its trickle
        of idempotent requests and no others.
        """
        ejected = state.ejected(service.name)
        candidates = []
        for target in service.targets:
            name = full_name(service.name, target.name)
            if target.drained or name in self._draining or name in state.leaving_targets:
                continue
            weight = 1.0
            ejection = ejected.get(target.name)
            if ejection is not None:
                weight = ejection.trickle_percent / 100 if idempotent else 0.0
            candidates.append(
                Candidate(
                    target.name,
                    self._outstanding.get(name, 0),
                    service.settings.slots_per_target,
                    weight,
                    target.failure_domain == self._failure_domain,
                )
            )
        return candidates


def full_name(service: str, target: str) -> str:
    """Return the name of a target that is unique in the fleet."""
    return f"{service}/{target}"
