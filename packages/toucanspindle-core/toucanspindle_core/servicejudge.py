"""Judges the targets of one service: detection, permits, floor and re-admission together.

Each step the detector names sick targets.  One that no other judge has ejected is ejected if a
permit is free.  Judges further down the service's list wait a little first, and a target that
another judge holds ejected, if only from one failure domain, is left to it, so that two judges
don't spend two permits on one target.  Ejected targets come back by stages.  When the permits that
may be used fall below the ejections, the newest are taken back at once.

Steps of spec/permits.py: Eject, Readmit, LearnLeaving.
"""

from dataclasses import dataclass, field
from typing import Final

from toucanspindle_core.clock import Clock
from toucanspindle_core.detection import ALL_DOMAINS, Detector, EjectedFrom, Verdict
from toucanspindle_core.evidence import ObservedEvidence
from toucanspindle_core.floor import PermitLedger
from toucanspindle_core.readmission import FlapMemory, Readmission, ReadmissionStep

COLD_START_S: Final = 60.0
CRASH_GRACE_S: Final = 5.0
STANDBY_DELAY_S: Final = 3.0


@dataclass(frozen=True)
class ServiceView:
    """What a judge knows of its service at a step.

    `unavailable` targets are leaving or drained; `usable_permits` already heeds the floor;
    `ejected_by_others` is what other judges hold ejected; `rank` is the judge's place in the
    service's list, from 0; `lease_s` is the time in which a withdrawn ejection lapses everywhere.
    """

    targets: frozenset[str]
    unavailable: frozenset[str]
    usable_permits: int
    ejected_by_others: frozenset[EjectedFrom]
    rank: int
    lease_s: float


@dataclass
class ActiveEjection:
    """An ejection that this judge holds."""

    verdict: Verdict
    readmission: Readmission

    @property
    def scope(self) -> EjectedFrom:
        """The target, and the failure domain from which it is ejected."""
        return EjectedFrom(self.verdict.target, self.verdict.from_domain)


@dataclass(frozen=True)
class JudgeChange:
    """A change of state, to be logged."""

    text: str


@dataclass
class _Seen:
    """Targets and outside facts of the last step."""

    targets: frozenset[str] = frozenset()
    available: frozenset[str] = frozenset()
    others: frozenset[EjectedFrom] = frozenset()
    is_first: bool = True
    suspected_since: dict[str, float] = field(default_factory=dict)


class ServiceJudge:
    """One judge's decisions on one service.

    Invariants: the targets ejected, together with those whose ejections may not have lapsed yet,
    never exceed the permits that were usable when the newest was ejected; after each step the
    targets ejected don't exceed the permits usable then.
    """

    def __init__(self, detector: Detector, clock: Clock) -> None:
        """Create a judge of a service without ejections."""
        self._detector = detector
        self._clock = clock
        self._ledger = PermitLedger(clock)
        self._flaps = FlapMemory(clock)
        self._ejections: dict[EjectedFrom, ActiveEjection] = {}
        self._seen = _Seen()
        self._changes: list[JudgeChange] = []
        self.refused = 0

    @property
    def in_use(self) -> int:
        """Permits that are used."""
        return self._ledger.in_use

    def ejections(self) -> list[ActiveEjection]:
        """Return the ejections in force."""
        return list(self._ejections.values())

    def observe(self, observed: ObservedEvidence) -> None:
        """Take in one observer's evidence."""
        for counts in observed.evidence.targets:
            self._detector.observe(observed.failure_domain, counts)
            for scope in (
                EjectedFrom(counts.target),
                EjectedFrom(counts.target, observed.failure_domain),
            ):
                ejection = self._ejections.get(scope)
                if ejection is not None:
                    ejection.readmission.record(counts.succeeded + counts.failed)

    def excuse_crash(self, target: str) -> None:
        """Don't hold against a target what a quarantined request did to it."""
        self._detector.excuse(target, self._clock.now() + CRASH_GRACE_S)

    def step(self, view: ServiceView) -> list[JudgeChange]:
        """End a step; return what changed."""
        self._changes = []
        self._follow_targets(view)
        self._follow_others(view)
        self._keep_to_permits(view)
        self._readmit(view)
        self._detector.set_ejected([*self._ejections, *view.ejected_by_others])
        for verdict in self._detector.step():
            self._consider(verdict, view)
        return self._changes

    def withdraw_all(self, lease_s: float) -> None:
        """Take back all ejections, as on closing."""
        for ejection in self.ejections():
            self._withdraw(ejection, lease_s, "the judge closes")

    def _follow_targets(self, view: ServiceView) -> None:
        available = view.targets - view.unavailable
        if available == self._seen.available and view.targets == self._seen.targets:
            return
        self._detector.set_targets(view.targets)
        if not self._seen.is_first:
            for target in available - self._seen.available:
                self._detector.excuse(target, self._clock.now() + COLD_START_S)
        self._seen.targets, self._seen.available = view.targets, available
        self._seen.is_first = False
        for ejection in self.ejections():
            if ejection.verdict.target not in available:
                self._withdraw(ejection, view.lease_s, "the target left or was drained")

    def _follow_others(self, view: ServiceView) -> None:
        for scope in view.ejected_by_others ^ self._seen.others:
            self._detector.forget(scope.target)
        self._seen.others = view.ejected_by_others

    def _keep_to_permits(self, view: ServiceView) -> None:
        for target in self._ledger.excess(view.usable_permits):
            for ejection in self.ejections():
                if ejection.verdict.target == target:
                    self._withdraw(ejection, view.lease_s, "fewer permits may be used")

    def _readmit(self, view: ServiceView) -> None:
        for ejection in self.ejections():
            target = ejection.verdict.target
            step = ejection.readmission.step(self._detector.suspicion(target))
            if step is ReadmissionStep.READMIT:
                self._withdraw(ejection, view.lease_s, "it did well in slow start")
            elif step is ReadmissionStep.ADVANCE:
                self._detector.forget(target)
                self._note(f"{target} takes {ejection.readmission.percent}% of its traffic")
            elif step is ReadmissionStep.RELAPSE:
                interval_s = self._flaps.next_interval_s(target)
                ejection.readmission = Readmission(interval_s, self._clock)
                self._detector.forget(target)
                self._note(f"{target} did badly again and stays out for {interval_s:.0f} s")

    def _consider(self, verdict: Verdict, view: ServiceView) -> None:
        target = verdict.target
        scope = EjectedFrom(target, verdict.from_domain)
        if target not in self._seen.available or self._is_ejected(scope, view):
            return
        now = self._clock.now()
        since = self._seen.suspected_since.get(target, now)
        if now - since > 2 * STANDBY_DELAY_S * (view.rank + 1):
            since = now
        self._seen.suspected_since[target] = since
        if now - since < view.rank * STANDBY_DELAY_S:
            return
        if not self._ledger.acquire(target, view.usable_permits):
            self.refused += 1
            return
        self._eject(verdict, scope)

    def _eject(self, verdict: Verdict, scope: EjectedFrom) -> None:
        target = verdict.target
        if scope.from_domain == ALL_DOMAINS:
            narrower = [s for s in self._ejections if s.target == target]
            for known in narrower:
                del self._ejections[known]
        interval_s = self._flaps.next_interval_s(target)
        self._ejections[scope] = ActiveEjection(verdict, Readmission(interval_s, self._clock))
        self._detector.forget(target)
        del self._seen.suspected_since[target]
        where = f" from {scope.from_domain}" if scope.from_domain else ""
        self._note(f"{target} is ejected{where} for {interval_s:.0f} s: {verdict.evidence}")

    def _is_ejected(self, scope: EjectedFrom, view: ServiceView) -> bool:
        own = [held for held in self._ejections if held.target == scope.target]
        if own:
            return scope in own or EjectedFrom(scope.target) in own
        # Its holder sees the same evidence and widens the ejection without another permit.
        return any(held.target == scope.target for held in view.ejected_by_others)

    def _withdraw(self, ejection: ActiveEjection, lease_s: float, why: str) -> None:
        target = ejection.verdict.target
        del self._ejections[ejection.scope]
        self._detector.forget(target)
        if not any(scope.target == target for scope in self._ejections):
            self._ledger.release(target, lease_s)
        self._note(f"{target} is re-admitted: {why}")

    def _note(self, text: str) -> None:
        self._changes.append(JudgeChange(text))
