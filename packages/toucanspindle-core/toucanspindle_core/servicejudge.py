"""Decides which targets of one service are ejected and when they are re-admitted.

At each step the detector reports unhealthy targets.  The judge ejects a reported target if no other
judge has ejected it and a permit is free.  A judge of rank n first waits n times
STANDBY_DELAY_S.  It doesn't eject a target that another judge has ejected, even from a single
failure domain, so that two judges don't use two permits for one target.  Ejected targets are
re-admitted in stages.  When there are more ejections than usable permits, the judge withdraws the
newest ejections at once.

Steps of spec/permits.py: Eject, Readmit, LearnLeaving.
"""

from dataclasses import dataclass, field
from typing import Final

from toucanspindle_core.clock import Clock
from toucanspindle_core.detection import ALL_DOMAINS, Detector, EjectionScope, Verdict
from toucanspindle_core.evidence import ObservedEvidence
from toucanspindle_core.floor import PermitLedger
from toucanspindle_core.readmission import EjectionHistory, Readmission, ReadmissionStep

COLD_START_S: Final = 60.0  # Evidence on a newly available target is ignored this long.
CRASH_GRACE_S: Final = 5.0
STANDBY_DELAY_S: Final = 3.0


@dataclass(frozen=True)
class ServiceView:
    """State of the service at a step, as known to the judge's node.

    `unavailable` targets are leaving or drained.  `usable_permits` already respects the floor.
    `ejected_by_others` holds the ejections of other judges.  `rank` is the judge's index in the
    service's list of judges, from 0.  `lease_s` is the time in seconds after which a withdrawn
    ejection has expired on every node.
    """

    targets: frozenset[str]
    unavailable: frozenset[str]
    usable_permits: int
    ejected_by_others: frozenset[EjectionScope]
    rank: int
    lease_s: float


@dataclass
class ActiveEjection:
    """An ejection made by this judge."""

    verdict: Verdict
    readmission: Readmission

    @property
    def scope(self) -> EjectionScope:
        """The ejected target and the failure domain whose nodes stop using it."""
        return EjectionScope(self.verdict.target, self.verdict.from_domain)


@dataclass(frozen=True)
class JudgeChange:
    """A change of an ejection, described in `text` for the log."""

    text: str


@dataclass
class _PreviousStep:
    """State kept from the previous step.

    `suspected_since` maps targets with verdicts that didn't lead to an ejection yet to the time of
    the first of these verdicts.
    """

    targets: frozenset[str] = frozenset()
    available: frozenset[str] = frozenset()
    ejected_by_others: frozenset[EjectionScope] = frozenset()
    is_first: bool = True
    suspected_since: dict[str, float] = field(default_factory=dict)


class ServiceJudge:
    """Ejects and re-admits the targets of one service on behalf of one judge.

    Invariants: when a target is ejected, the ejected targets and those whose withdrawn ejection
    may not have expired yet number at most the permits usable at that time; after each step the
    ejected targets number at most the permits usable at that step.
    """

    def __init__(self, detector: Detector, clock: Clock) -> None:
        """Create a judge that has ejected no target."""
        self._detector = detector
        self._clock = clock
        self._ledger = PermitLedger(clock)
        self._ejection_history = EjectionHistory(clock)
        self._ejections: dict[EjectionScope, ActiveEjection] = {}
        self._previous = _PreviousStep()
        self._changes: list[JudgeChange] = []
        self.refused_ejections = 0

    @property
    def permits_in_use(self) -> int:
        """Number of permits in use, including those of ejections that have not expired yet."""
        return self._ledger.in_use

    def ejections(self) -> list[ActiveEjection]:
        """Return the ejections of this judge, oldest first."""
        return list(self._ejections.values())

    def observe(self, observed: ObservedEvidence) -> None:
        """Pass one observer's evidence to the detector and to the re-admissions it concerns."""
        for counts in observed.evidence.targets:
            self._detector.observe(observed.failure_domain, counts)
            for scope in (
                EjectionScope(counts.target),
                EjectionScope(counts.target, observed.failure_domain),
            ):
                ejection = self._ejections.get(scope)
                if ejection is not None:
                    ejection.readmission.record(counts.succeeded + counts.failed)

    def start_crash_grace(self, target: str) -> None:
        """Ignore evidence on a target for CRASH_GRACE_S after a quarantined request crashed it."""
        self._detector.ignore_until(target, self._clock.now() + CRASH_GRACE_S)

    def step(self, view: ServiceView) -> list[JudgeChange]:
        """Apply the evidence of a step and return the ejections that changed."""
        self._changes = []
        self._update_targets(view)
        self._update_other_ejections(view)
        self._withdraw_excess_ejections(view)
        self._advance_readmissions(view)
        self._detector.set_ejected([*self._ejections, *view.ejected_by_others])
        for verdict in self._detector.step():
            self._handle_verdict(verdict, view)
        return self._changes

    def withdraw_all(self, lease_s: float) -> None:
        """Withdraw all ejections, because the judge is closing."""
        for ejection in self.ejections():
            self._withdraw(ejection, lease_s, "the judge is closing")

    def _update_targets(self, view: ServiceView) -> None:
        available = view.targets - view.unavailable
        if available == self._previous.available and view.targets == self._previous.targets:
            return
        self._detector.set_targets(view.targets)
        if not self._previous.is_first:
            for target in available - self._previous.available:
                self._detector.ignore_until(target, self._clock.now() + COLD_START_S)
        self._previous.targets, self._previous.available = view.targets, available
        self._previous.is_first = False
        for ejection in self.ejections():
            if ejection.verdict.target not in available:
                self._withdraw(ejection, view.lease_s, "the target left or was drained")

    def _update_other_ejections(self, view: ServiceView) -> None:
        for scope in view.ejected_by_others ^ self._previous.ejected_by_others:
            self._detector.reset_target(scope.target)
        self._previous.ejected_by_others = view.ejected_by_others

    def _withdraw_excess_ejections(self, view: ServiceView) -> None:
        for target in self._ledger.excess(view.usable_permits):
            for ejection in self.ejections():
                if ejection.verdict.target == target:
                    self._withdraw(ejection, view.lease_s, "fewer permits are usable")

    def _advance_readmissions(self, view: ServiceView) -> None:
        for ejection in self.ejections():
            target = ejection.verdict.target
            step = ejection.readmission.step(self._detector.suspicion(target))
            if step is ReadmissionStep.READMIT:
                self._withdraw(ejection, view.lease_s, "it passed slow start")
            elif step is ReadmissionStep.ADVANCE:
                self._detector.reset_target(target)
                self._add_change(
                    f"{target} receives {ejection.readmission.percent}% of its traffic"
                )
            elif step is ReadmissionStep.RELAPSE:
                interval_s = self._ejection_history.record_ejection(target)
                ejection.readmission = Readmission(interval_s, self._clock)
                self._detector.reset_target(target)
                self._add_change(f"{target} failed again and stays ejected for {interval_s:.0f} s")

    def _handle_verdict(self, verdict: Verdict, view: ServiceView) -> None:
        target = verdict.target
        scope = EjectionScope(target, verdict.from_domain)
        if target not in self._previous.available or self._is_ejected(scope, view):
            return
        now = self._clock.now()
        since = self._previous.suspected_since.get(target, now)
        # A first verdict that is too old no longer counts, and the wait starts again.
        if now - since > 2 * STANDBY_DELAY_S * (view.rank + 1):
            since = now
        self._previous.suspected_since[target] = since
        if now - since < view.rank * STANDBY_DELAY_S:
            return
        if not self._ledger.acquire(target, view.usable_permits):
            self.refused_ejections += 1
            return
        self._eject(verdict, scope)

    def _eject(self, verdict: Verdict, scope: EjectionScope) -> None:
        target = verdict.target
        if scope.from_domain == ALL_DOMAINS:
            narrower_scopes = [s for s in self._ejections if s.target == target]
            for narrower_scope in narrower_scopes:
                del self._ejections[narrower_scope]
        interval_s = self._ejection_history.record_ejection(target)
        self._ejections[scope] = ActiveEjection(verdict, Readmission(interval_s, self._clock))
        self._detector.reset_target(target)
        del self._previous.suspected_since[target]
        where = f" from {scope.from_domain}" if scope.from_domain else ""
        self._add_change(f"{target} is ejected{where} for {interval_s:.0f} s: {verdict.evidence}")

    def _is_ejected(self, scope: EjectionScope, view: ServiceView) -> bool:
        own_scopes = [ejected for ejected in self._ejections if ejected.target == scope.target]
        if own_scopes:
            return scope in own_scopes or EjectionScope(scope.target) in own_scopes
        # The judge that ejected it sees the same evidence and can widen the ejection to all
        # domains without another permit.
        return any(ejected.target == scope.target for ejected in view.ejected_by_others)

    def _withdraw(self, ejection: ActiveEjection, lease_s: float, reason: str) -> None:
        target = ejection.verdict.target
        del self._ejections[ejection.scope]
        self._detector.reset_target(target)
        if not any(scope.target == target for scope in self._ejections):
            self._ledger.release(target, lease_s)
        self._add_change(f"{target} is re-admitted: {reason}")

    def _add_change(self, text: str) -> None:
        self._changes.append(JudgeChange(text))
