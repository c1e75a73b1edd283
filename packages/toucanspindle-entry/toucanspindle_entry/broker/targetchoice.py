"""Chooses the target of a slot request, or lets the request wait for a better one.

Targets that the active-target floor requires come first, then new targets without any request, then
the free target of least cost.  A request waits instead of using a target that is probably
unhealthy, if it has the time and a healthier target is only busy.
"""

from typing import Final

from toucanspindle_entry.broker.activetargetfloor import ActiveTargetFloor
from toucanspindle_entry.broker.slotqueue import PendingRequest
from toucanspindle_entry.broker.slottypes import SlotRequest
from toucanspindle_entry.broker.targetcandidates import TargetCandidates, cross_domain_cost
from toucanspindle_entry.broker.targetrecord import TargetRecord

# A request waits for a busy target instead of using a free one if the free target's unhealthy
# probability exceeds AVOID_MIN_UNHEALTHY, the busy target's is lower by more than AVOID_MIN_GAIN,
# and the request has more than AVOID_MIN_WORK_TIMES mean work times left to wait.
AVOID_MIN_UNHEALTHY: Final = 0.4
AVOID_MIN_GAIN: Final = 0.25
AVOID_MIN_WORK_TIMES: Final = 1.5
# An avoided target gets one probe request AVOIDED_PROBE_INTERVAL_S after its last request.  A
# request that can't be retried is the probe only after it has waited for
# PROBE_MIN_WAIT_WORK_TIMES mean work times.
AVOIDED_PROBE_INTERVAL_S: Final = 1.5
PROBE_MIN_WAIT_WORK_TIMES: Final = 0.5
# A new target that has had no request gets one that can be retried after the first delay, or any
# request after the second one.
NEW_TARGET_DELAY_RETRYABLE_S: Final = 1.5
NEW_TARGET_DELAY_S: Final = 3.5  # Operators investigate new targets that are idle after 8 s.


class TargetChoice:
    """The choice of targets for one broker; times are in seconds of its clock.

    `work_s` is the mean time of an attempt.
    """

    def __init__(self, candidates: TargetCandidates, active_floor: ActiveTargetFloor) -> None:
        """Create a choice among the targets of `candidates`."""
        self._candidates = candidates
        self._active_floor = active_floor

    def choose(self, pending: PendingRequest, work_s: float, now: float) -> TargetRecord | None:
        """Return the target for a request, or None if the request should wait.

        Targets that the active-target floor requires come first, then new targets without any
        request, then the free target of least cost.
        """
        slot_request = pending.slot_request
        if slot_request.allowed_targets:
            allowed = self._candidates.cheapest_of(
                slot_request.allowed_targets, slot_request.excluded, slot_request.body_bytes
            )
            return allowed.record if allowed is not None else None
        preferred = self._floor_target(slot_request, now) or (
            self._unused_new_target(slot_request, now)
        )
        if preferred is not None:
            return preferred
        best = self._candidates.cheapest(
            slot_request.failure_domain, slot_request.excluded, slot_request.body_bytes
        )
        if best is None:
            return None
        should_avoid_best = (
            best.unhealthy_probability > AVOID_MIN_UNHEALTHY
            and self._candidates.least_unhealthy_busy(slot_request.excluded)
            < best.unhealthy_probability - AVOID_MIN_GAIN
        )
        if (
            should_avoid_best
            and self._can_wait_for_healthier_target(pending, work_s, now)
            and not self._may_probe(best.record, pending, work_s, now)
        ):
            return None
        return best.record

    def is_blocked(self, slot_request: SlotRequest) -> bool:
        """Return whether a target is free but for the request's body or its allowed targets."""
        domain, excluded = slot_request.failure_domain, slot_request.excluded
        body_bytes, allowed = slot_request.body_bytes, slot_request.allowed_targets
        if not body_bytes and not allowed:
            return False
        if self._candidates.cheapest(domain, excluded, 0) is None:
            return False
        if allowed:
            return self._candidates.cheapest_of(allowed, excluded, body_bytes) is None
        return self._candidates.cheapest(domain, excluded, body_bytes) is None

    def _can_wait_for_healthier_target(
        self, pending: PendingRequest, work_s: float, now: float
    ) -> bool:
        """Return whether a request has time to wait for a healthier target.

        A first attempt waits only while it can still meet its latency goal.  A retry has usually
        missed its goal, so it may wait until its deadline: a late answer is better than a failure,
        and retries are too few to delay other requests.
        """
        wait_until = pending.deadline_at if pending.slot_request.is_retry else pending.goal_at
        return wait_until - now > AVOID_MIN_WORK_TIMES * work_s

    def _may_probe(
        self, record: TargetRecord, pending: PendingRequest, work_s: float, now: float
    ) -> bool:
        """Return whether a request may probe an avoided target.

        Without probes a recovered target stays unused while requests wait for other targets.
        """
        if (
            record.leases
            or now - self._active_floor.last_granted_at(record.entry.name)
            < AVOIDED_PROBE_INTERVAL_S
        ):
            return False
        has_waited = now - pending.arrived_at > PROBE_MIN_WAIT_WORK_TIMES * work_s
        return pending.slot_request.can_retry or has_waited

    def _floor_target(self, slot_request: SlotRequest, now: float) -> TargetRecord | None:
        """Return one of the free targets due for the floor.

        It is the one most likely healthy, or the one idle for longest if the floor prefers that.
        """
        due = [
            candidate
            for candidate in self._candidates.floor_due
            if candidate.record.entry.name not in slot_request.excluded
            and candidate.record.has_room_for_body(slot_request.body_bytes)
        ]
        if not due:
            return None
        self._active_floor.record_floor_request(now)
        self._candidates.floor_request_granted()
        if self._active_floor.prefers_longest_idle:
            return min(
                (candidate.record for candidate in due),
                key=lambda record: self._active_floor.last_granted_at(record.entry.name),
            )
        return min(
            due,
            key=lambda candidate: candidate.unhealthy_probability
            + cross_domain_cost(candidate.record.entry.failure_domain, slot_request.failure_domain),
        ).record

    def _unused_new_target(self, slot_request: SlotRequest, now: float) -> TargetRecord | None:
        """Return a free target that joined a while ago and has had no request yet, or None."""
        wait_s = NEW_TARGET_DELAY_RETRYABLE_S if slot_request.can_retry else NEW_TARGET_DELAY_S
        for record in self._candidates.unused:
            is_excluded = record.entry.name in slot_request.excluded
            has_room = record.has_room_for_body(slot_request.body_bytes)
            if not is_excluded and has_room and now - record.joined_at > wait_s:
                return record
        return None


def is_eligible(record: TargetRecord, slot_request: SlotRequest) -> bool:
    """Return whether a target may get an attempt of a request, now or later."""
    name, allowed = record.entry.name, slot_request.allowed_targets
    return (
        record.takes_requests
        and name not in slot_request.excluded
        and (not allowed or name in allowed)
    )
