"""Admission of retries while the targets of a service shed requests (refuse them unexecuted).

A request that was shed may be sent again, but retries are scarce: the budget allows about 0.2 for
each request.  While most attempts are shed, a retry mostly fails; once the shedding ends it mostly
succeeds.  So the broker tells from recent attempts whether the service is shedding, holds the
retries back, and saves the credit that hosts deposit:

- While the service sheds the share p of the attempts, the share (p - r) / (1 - r) of the deposits
  of the budget's window is kept in reserve, where r is the budget's ratio: nothing if the ratio
  suffices, all if no retry succeeds.  Retries use the rest at once, since what is spent early in
  a spell of shedding has left the window when the last of the waiting requests have to be sent.
  The newest ones go first, as they succeed no less often than the others and may meet their goal.
- If a spell lasts longer than the window, the reserve shrinks, as its end may not be near.
- Afterwards the retries held back are sent, PACE of them for each first attempt that isn't shed,
  so that they neither come as a burst nor hide the beginning of another spell.

  They are sent by priority, then those with the least time left.

Until a whole window has passed since the last retry that used saved credit, all retries are
admitted this way; otherwise the window could hold both the saved credit and that of the usual rule.

Targets also shed when they are full.  Saving credit doesn't help then: waiting retries only make
others late.  So only what targets shed while many of their slots are free counts as shedding.
"""

from bisect import bisect_left, insort
from collections import deque
from collections.abc import Iterator
from typing import Final

from toucanspindle_entry.broker.slotqueue import PendingRequest
from toucanspindle_entry.broker.slottypes import AttemptReport
from toucanspindle_entry.targets.targethealth import AttemptOutcome

# The last attempts by which the service is judged.  At 230 attempts per second 24 of them arrive in
# 0.1 s.  In calm (1 in 100 shed) more than 3 of them are shed less than once in a million times.
SAMPLE_COUNT: Final = 24
MAX_SAMPLE_AGE_S: Final = 1.5
MIN_SAMPLES: Final = 8  # With fewer ones the service doesn't begin to count as shedding.
BEGIN_SHARE: Final = 0.15
END_SHARE: Final = 0.05  # Lower than BEGIN_SHARE, so that a constant share gives one decision.
SHARE_SMOOTHING: Final = 0.02  # Of the share that decides the reserve; averages 50 attempts.
# An attempt that isn't shed within some times the usual time of that counts as accepted.
ACCEPTED_AFTER_TIMES: Final = 2.5
MIN_ACCEPTED_AFTER_S: Final = 0.03
MAX_ACCEPTED_AFTER_S: Final = 0.2
SHED_TIME_SMOOTHING: Final = 0.1
PACE: Final = 2.0  # Retries for each accepted first attempt.
MAX_SAVED_PACE: Final = 8.0
MIN_PACE_PER_S: Final = 20.0  # For services with few first attempts.
RESUMED_WITHIN_S: Final = 1.0  # Shedding that begins again so soon continues its spell.
RESERVE_NONE_WINDOWS: Final = 1.25  # Age of a spell, in windows, from which on nothing is reserved.
# Share of the deposits that must be left beside the reserve before a retry that was held back is
# sent while the service sheds.  Below it, credit goes to new retries.
HELD_MARGIN_SHARE: Final = 0.05
FULL_UTILIZATION: Final = 0.5  # A target with this share of its slots in use may shed as full.
MIN_WORK_TIMES_LEFT: Final = 1.0  # A retry with less time, in mean work times, is refused.

_OUTCOMES_WITHOUT_EVIDENCE: Final = frozenset(
    {AttemptOutcome.WITHDRAWN, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.MISDIRECTED}
)
# Account priority, priority, deadline, slot request id.
_Key = tuple[int, int, float, str]


class SheddingControl:
    """Decides for one broker when retries are sent; times are in seconds of its clock."""

    def __init__(self, ratio: float, window_s: float) -> None:
        """Create the control of a service that isn't shedding.

        The budget allows `ratio` retries per request, in each window of `window_s` seconds.
        """
        self._ratio = ratio
        self._window_s = window_s
        self._samples: deque[tuple[float, bool]] = deque()
        self._sheds = 0
        self._undecided: dict[str, tuple[float, bool]] = {}  # Grant time and whether it is a retry.
        self._is_shedding = False
        self._began_at = 0.0
        self._last_shedding_at = float("-inf")
        self._share = 0.0
        self._shed_time_s = 0.0
        self._held: dict[str, PendingRequest] = {}
        self._order: list[_Key] = []
        self._saved_credit_spent_at = float("-inf")
        self._pace_credit = 0.0
        self._paced_at = 0.0

    def __len__(self) -> int:
        """Return the number of retries held back."""
        return len(self._order)

    def __contains__(self, slot_request_id: str) -> bool:
        """Return whether a retry is held back."""
        return slot_request_id in self._held

    def __iter__(self) -> Iterator[PendingRequest]:
        """Iterate over the retries in order; they must not change meanwhile."""
        return (self._held[key[-1]] for key in self._order)

    @property
    def is_shedding(self) -> bool:
        """Whether the service counts as shedding, as of the last call of `update`."""
        return self._is_shedding

    @property
    def shed_share(self) -> float:
        """The smoothed share of the attempts that are shed."""
        return self._share

    # Estimate.

    def record_grant(self, slot_request_id: str, is_retry: bool, now: float) -> None:
        """Record the begin of an attempt."""
        self._undecided[slot_request_id] = (now, is_retry)

    def record_outcome(self, report: AttemptReport, utilization: float, now: float) -> None:
        """Record the end of an attempt.

        `utilization` is the share of the target's slots that other attempts use.
        """
        outcome = report.outcome
        _, is_retry = self._undecided.pop(report.slot_request_id, (None, None))
        if outcome is AttemptOutcome.SHED:
            if not self._shed_time_s:
                self._shed_time_s = report.work_s
            self._shed_time_s += SHED_TIME_SMOOTHING * (report.work_s - self._shed_time_s)
            if utilization < FULL_UTILIZATION:
                self._add_sample(True, now)
        elif is_retry is not None and outcome not in _OUTCOMES_WITHOUT_EVIDENCE:
            self._add_accepted(is_retry, now)
        self.update(now)

    def update(self, now: float) -> None:
        """Count the attempts that were accepted by now, and decide whether the service sheds."""
        accepted_after_s = min(
            MAX_ACCEPTED_AFTER_S,
            max(MIN_ACCEPTED_AFTER_S, ACCEPTED_AFTER_TIMES * self._shed_time_s),
        )
        while self._undecided:
            slot_request_id, (granted_at, is_retry) = next(iter(self._undecided.items()))
            if now - granted_at <= accepted_after_s:
                break
            del self._undecided[slot_request_id]
            self._add_accepted(is_retry, now)
        while self._samples and (
            len(self._samples) > SAMPLE_COUNT or now - self._samples[0][0] > MAX_SAMPLE_AGE_S
        ):
            self._sheds -= self._samples.popleft()[1]
        count = len(self._samples)
        if self._is_shedding:
            self._is_shedding = self._sheds > END_SHARE * count
        else:
            self._is_shedding = count >= MIN_SAMPLES and self._sheds > BEGIN_SHARE * count
            if now - self._last_shedding_at > RESUMED_WITHIN_S:
                self._began_at = now
        if self._is_shedding:
            self._last_shedding_at = now

    def _add_accepted(self, is_retry: bool, now: float) -> None:
        self._add_sample(False, now)
        if not is_retry:
            self._pace_credit = min(self._pace_credit + PACE, MAX_SAVED_PACE)

    def _add_sample(self, is_shed: bool, now: float) -> None:
        self._samples.append((now, is_shed))
        self._sheds += is_shed
        self._share += SHARE_SMOOTHING * (is_shed - self._share)

    # Decisions.

    def saves_credit(self, now: float) -> bool:
        """Return whether retries are admitted by this control instead of the usual rule."""
        return (
            self._is_shedding
            or bool(self._held)
            or now - self._saved_credit_spent_at <= self._window_s
        )

    def may_send(self, balance: float, deposited: float, now: float, *, was_held: bool) -> bool:
        """Return whether a retry may be sent now.

        `balance` is what the budget's window allows, and `deposited` the deposits in it.
        """
        if self._is_shedding:
            reserved = self._reserve_share(now)
            reserved += HELD_MARGIN_SHARE * was_held
            return balance >= 1 + reserved * deposited
        elapsed_s = max(0.0, now - self._paced_at)
        self._paced_at = now
        self._pace_credit = min(self._pace_credit + MIN_PACE_PER_S * elapsed_s, MAX_SAVED_PACE)
        return balance >= 1 and self._pace_credit >= 1

    def _reserve_share(self, now: float) -> float:
        """Return the share of the deposits that is kept for the end of the spell."""
        windows = (now - self._began_at) / self._window_s
        factor = min(1.0, (RESERVE_NONE_WINDOWS - windows) / (RESERVE_NONE_WINDOWS - 1))
        return max(0.0, factor * (self._share - self._ratio) / max(0.01, 1 - self._ratio))

    def record_sent(self, now: float) -> None:
        """Record that a retry is sent with saved credit."""
        self._saved_credit_spent_at = now
        self._pace_credit = max(0.0, self._pace_credit - 1)

    def adopt_sent(self, sent_at: float) -> None:
        """Record that an earlier broker may have sent a retry with saved credit."""
        self._saved_credit_spent_at = max(self._saved_credit_spent_at, sent_at)

    # Retries held back.

    def hold(self, pending: PendingRequest) -> None:
        """Hold a retry back until it may be sent."""
        self._held[pending.slot_request.id] = pending
        insort(self._order, _sort_key(pending))

    def remove(self, slot_request_id: str) -> PendingRequest | None:
        """Remove and return a retry, or return None if it isn't held back."""
        pending = self._held.pop(slot_request_id, None)
        if pending is not None:
            del self._order[bisect_left(self._order, _sort_key(pending))]
        return pending

    def remove_host(self, host: str) -> None:
        """Remove the retries of a host."""
        for pending in [held for held in self if held.slot_request.host == host]:
            self.remove(pending.slot_request.id)

    def remove_unservable(self, work_s: float, now: float) -> list[PendingRequest]:
        """Remove and return the retries that have too little time left for an attempt."""
        due_at = now + MIN_WORK_TIMES_LEFT * work_s
        due = [pending for pending in self if pending.deadline_at < due_at]
        for pending in due:
            self.remove(pending.slot_request.id)
        return due


def _sort_key(pending: PendingRequest) -> _Key:
    slot_request = pending.slot_request
    return (
        slot_request.account_priority,
        slot_request.priority,
        pending.deadline_at,
        slot_request.id,
    )
