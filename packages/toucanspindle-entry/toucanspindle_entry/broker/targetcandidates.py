"""The targets of a service that can take a request now, in the order of their expected cost.

All targets are evaluated at most once in MAX_AGE_S.  In between, only a target whose state changes
is evaluated again, so that the work for a decision hardly grows with the number of targets.  What
changes by time alone, such as the end of a pause, is therefore noticed up to MAX_AGE_S late.
"""

import random
from bisect import bisect_left, insort
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import Final

from toucanspindle_entry.broker.activetargetfloor import ActiveTargetFloor
from toucanspindle_entry.broker.targetlimits import TargetLimits
from toucanspindle_entry.broker.targetrecord import TargetRecord

MAX_AGE_S: Final = 0.025  # Half the least time between two requests for the active-target floor.
CROSS_DOMAIN_COST: Final = 0.04  # Cross-domain traffic is charged for and slightly slower.
JITTER_COST: Final = 0.02  # Maximum random cost; spreads requests over targets of similar cost.
# At a normal failure rate the active-target floor counts only targets below this probability.  The
# first failure of a target believed healthy is mostly an isolated error and yields 0.48.
FLOOR_MAX_UNHEALTHY: Final = 0.55


@dataclass(slots=True)
class Candidate:
    """A ready target when it was last evaluated.

    `cost` is without the surcharge for another failure domain; it is None if the target takes no
    request now.  `is_busy` is true if it has no free slot, is limited or paused.
    """

    record: TargetRecord
    unhealthy_probability: float
    has_room: bool
    is_busy: bool
    cost: float | None


class TargetCandidates:
    """The ready targets of one broker; times are in seconds of the broker's clock."""

    def __init__(
        self, limits: TargetLimits, active_floor: ActiveTargetFloor, rng: random.Random
    ) -> None:
        """Create a table without targets."""
        self._limits = limits
        self._active_floor = active_floor
        self._rng = rng
        self._records: Mapping[str, TargetRecord] = {}
        self._evaluated_at = float("-inf")
        self._candidates: dict[str, Candidate] = {}
        self._available: dict[str, list[tuple[float, str]]] = {}  # By failure domain, by cost.
        self._busy: list[tuple[float, str]] = []  # The healthiest first.
        self._floor_due: dict[str, Candidate] = {}
        self._unused: dict[str, TargetRecord] = {}
        self._expected_healthy: float | None = None

    @property
    def has_free_target(self) -> bool:
        """Whether any request can be granted, as of the last evaluation."""
        return bool(self._floor_due or self._unused or any(self._available.values()))

    @property
    def floor_due(self) -> Collection[Candidate]:
        """The free targets that the active-target floor requires."""
        return self._floor_due.values()

    @property
    def unused(self) -> Collection[TargetRecord]:
        """The free targets that joined after the first ones and have had no request yet."""
        return self._unused.values()

    def set_records(self, records: Mapping[str, TargetRecord]) -> None:
        """Replace the targets; they are evaluated before the next decision."""
        self._records = records
        self.invalidate()

    def invalidate(self) -> None:
        """Forget what is known of the targets; they are evaluated before the next decision."""
        self._evaluated_at = float("-inf")
        self._clear()

    def refresh(self, now: float) -> None:
        """Evaluate all targets unless that was done within MAX_AGE_S."""
        if now - self._evaluated_at < MAX_AGE_S:
            return
        self._evaluated_at = now
        self._clear()
        for name, record in self._records.items():
            self._insert(name, record, now)
        names_due = self._active_floor.targets_due(
            list(self._candidates),
            lambda name: self._candidates[name].unhealthy_probability < FLOOR_MAX_UNHEALTHY,
            now,
        )
        for name in names_due:
            if self._candidates[name].has_room:
                self._floor_due[name] = self._candidates[name]

    def update(self, record: TargetRecord, now: float) -> None:
        """Evaluate one target again after its state has changed."""
        name = record.entry.name
        candidate = self._candidates.pop(name, None)
        if candidate is None and self._records.get(name) is not record:
            return
        if candidate is not None:
            self._remove(name, candidate)
        self._insert(name, record, now)
        updated = self._candidates.get(name)
        if name in self._floor_due:
            if updated is None or not updated.has_room:
                del self._floor_due[name]
            else:
                self._floor_due[name] = updated

    def floor_request_granted(self) -> None:
        """Require no target for the floor until the next evaluation of all targets."""
        self._floor_due.clear()

    def cheapest(
        self, failure_domain: str, excluded: Collection[str], body_bytes: int
    ) -> Candidate | None:
        """Return the free target of least cost for a host of a failure domain and a body."""
        best: Candidate | None = None
        best_cost = float("inf")
        for domain, available in self._available.items():
            surcharge = cross_domain_cost(domain, failure_domain)
            for cost, name in available:
                if cost + surcharge >= best_cost:
                    break
                candidate = self._candidates[name]
                if name not in excluded and candidate.record.has_room_for_body(body_bytes):
                    best, best_cost = candidate, cost + surcharge
                    break
        return best

    def cheapest_of(
        self, names: Collection[str], excluded: Collection[str], body_bytes: int
    ) -> Candidate | None:
        """Return the free target of least cost among a few, whatever their failure domains."""
        best: Candidate | None = None
        best_cost = float("inf")
        for name in names:
            candidate = self._candidates.get(name)
            if candidate is None or candidate.cost is None or name in excluded:
                continue
            if candidate.cost < best_cost and candidate.record.has_room_for_body(body_bytes):
                best, best_cost = candidate, candidate.cost
        return best

    def least_unhealthy_busy(self, excluded: Collection[str]) -> float:
        """Return the lowest unhealthy probability of the busy targets, or 1 without any."""
        return next((unhealthy for unhealthy, name in self._busy if name not in excluded), 1.0)

    def expected_healthy_slots(self, work_s: float, now: float) -> float:
        """Return the slots of ready targets, weighted by the probability of being healthy.

        `work_s` is the mean time of an attempt, which bounds the use of a limited target.
        """
        if self._expected_healthy is None or now - self._evaluated_at >= MAX_AGE_S:
            self._expected_healthy = sum(
                self._usable_slots(record, work_s) * (1 - record.health.unhealthy_at(now))
                for record in self._records.values()
                if record.takes_requests
            )
        return self._expected_healthy

    def _clear(self) -> None:
        self._candidates.clear()
        self._available.clear()
        self._busy.clear()
        self._unused.clear()
        self._floor_due.clear()
        self._expected_healthy = None

    def _usable_slots(self, record: TargetRecord, work_s: float) -> float:
        """Return how many slots of a target its limit lets the service use in the mean."""
        entry = record.entry
        rate = self._limits.rate_of(entry.name, entry.started_ms)
        return entry.slots if rate is None else min(entry.slots, rate * work_s)

    def _insert(self, name: str, record: TargetRecord, now: float) -> None:
        if not record.takes_requests:
            return
        unhealthy = record.health.unhealthy_at(now)
        has_room = record.has_free_slot and self._limits.has_room(
            name, record.entry.started_ms, now
        )
        is_paused = now < record.paused_until
        cost = None
        if has_room and not is_paused:
            cost = record.expected_cost(unhealthy, now) + JITTER_COST * self._rng.random()
            insort(self._available.setdefault(record.entry.failure_domain, []), (cost, name))
        if not has_room or is_paused:
            insort(self._busy, (unhealthy, name))
        is_new = record.joined_at > float("-inf")
        if has_room and is_new and record.joined_at > self._active_floor.last_granted_at(name):
            self._unused[name] = record
        self._candidates[name] = Candidate(
            record, unhealthy, has_room, not has_room or is_paused, cost
        )

    def _remove(self, name: str, candidate: Candidate) -> None:
        if candidate.cost is not None:
            available = self._available[candidate.record.entry.failure_domain]
            del available[bisect_left(available, (candidate.cost, name))]
        if candidate.is_busy:
            del self._busy[bisect_left(self._busy, (candidate.unhealthy_probability, name))]
        self._unused.pop(name, None)


def cross_domain_cost(target_domain: str, host_domain: str) -> float:
    """Return the surcharge for a target in a failure domain other than that of the host."""
    return 0.0 if target_domain == host_domain else CROSS_DOMAIN_COST
