"""Last filter: sends the request to a target, and to another one where that is allowed.

An idempotent request is tried again on another target after any failure, within its deadline,
the service's number of attempts and its retry budget.  A request that isn't idempotent goes to
another target only if the attempt provably never ran: no connection came about, the target shed
it, or the target confirms that it cancelled it before running.  Everything else is *unknown*.

Steps of spec/dispatch.py: MarkDispatched before the first byte is written, TargetRefuses when
it provably didn't run.
"""

from dataclasses import dataclass, field
from functools import partial
from typing import Final, Protocol

from toucanspindle_core import errorcodes
from toucanspindle_core.choice import TargetChooser
from toucanspindle_core.errorcodes import ErrorCode
from toucanspindle_core.errors import RequestError
from toucanspindle_core.evidence import EvidenceCollector
from toucanspindle_core.evidence import Outcome as Evidence
from toucanspindle_core.outcome import Outcome
from toucanspindle_core.policy import ServicePolicy, Target
from toucanspindle_core.quarantine import QuarantineTable
from toucanspindle_core.retrybudget import RetryBudget

from toucanspindle_node import messages
from toucanspindle_node.exchange import Exchange, Handler, new_request_id
from toucanspindle_node.hedging import HedgePool
from toucanspindle_node.targetclient import Attempt, AttemptKind, AttemptResult, TargetClient
from toucanspindle_node.targetregistry import TargetRegistry

FIRST_ERROR_STATUS: Final = 500
NEVER_RAN: Final = frozenset({AttemptKind.REFUSED, AttemptKind.SHED})
UNKNOWN_CODES: Final[dict[AttemptKind, ErrorCode]] = {
    AttemptKind.TIMED_OUT: errorcodes.UNKNOWN_TIMEOUT,
    AttemptKind.BROKEN: errorcodes.UNKNOWN_BROKEN,
    AttemptKind.FOREIGN: errorcodes.UNKNOWN_FOREIGN,
}


@dataclass
class _Progress:
    """The attempts of one request so far.

    Invariant: `answer` and `uncertain` are both None only while no target can have run the request.
    """

    tried: set[str] = field(default_factory=set)
    answer: AttemptResult | None = None
    uncertain: AttemptResult | None = None
    is_settled: bool = False

    def add(self, result: AttemptResult, is_settled: bool) -> None:
        """Note the end of an attempt; once one has settled the request, later ones don't count."""
        if self.is_settled:
            return
        self.is_settled = is_settled
        if result.kind is AttemptKind.ANSWERED:
            self.answer = result
        elif result.kind not in NEVER_RAN:
            self.uncertain = result


class DispatchEvents(Protocol):
    """Is told what can't wait for the next report."""

    def note_draining(self, service: str, target: str) -> None:
        """Take note of a target's new drain signal."""
        ...

    def note_crash(self, service: str, fingerprint: str) -> None:
        """Tell the other nodes of a request that broke its connection to a target.

        Returns once they know, or after a short time.
        """
        ...


@dataclass(frozen=True)
class DispatchParts:
    """What the filter works with."""

    client: TargetClient
    registry: TargetRegistry
    chooser: TargetChooser
    evidence: EvidenceCollector
    quarantine: QuarantineTable
    events: DispatchEvents
    hedges: HedgePool


class DispatchFilter:
    """Chooses targets, makes the attempts, and records what each shows about its target."""

    def __init__(self, parts: DispatchParts) -> None:
        """Create the filter."""
        self._client = parts.client
        self._registry = parts.registry
        self._chooser = parts.chooser
        self._evidence = parts.evidence
        self._quarantine = parts.quarantine
        self._events = parts.events
        self._hedges = parts.hedges
        self._budgets: dict[tuple[str, int], RetryBudget] = {}

    def handle(self, exchange: Exchange, forward: Handler) -> Outcome:  # noqa: ARG002
        """Return the outcome of the attempts; raise RequestError when none was made."""
        service = exchange.service
        budget = self._budget(service)
        budget.record_first_attempt()
        progress = _Progress()
        if exchange.routed.idempotent and service.settings.hedge_after_ms:
            self._try_hedged(exchange, progress, budget)
        while not progress.is_settled and self._may_try(exchange, progress, budget):
            if self._try_once(exchange, progress) is None:
                break
        return self._conclude(exchange, progress)

    def _try_once(self, exchange: Exchange, progress: _Progress) -> AttemptResult | None:
        """Make one attempt; return None when there is no target for it."""
        target = self._choose(exchange, progress)
        if target is None:
            return None
        progress.tried.add(target.name)
        result = self._attempt(exchange, target, progress)
        progress.add(result, is_settled=not self._goes_on(exchange, result))
        return result

    def _try_hedged(self, exchange: Exchange, progress: _Progress, budget: RetryBudget) -> None:
        def second() -> AttemptResult | None:
            if not self._may_try(exchange, progress, budget):
                return None
            exchange.note("hedged: the first attempt takes long")
            return self._try_once(exchange, progress)

        self._hedges.run(
            partial(self._try_once, exchange, progress),
            second,
            exchange.service.settings.hedge_after_ms / 1000,
            lambda result: not self._goes_on(exchange, result),
        )

    def _may_try(self, exchange: Exchange, progress: _Progress, budget: RetryBudget) -> bool:
        if exchange.remaining_s() <= 0:
            return False
        if not progress.tried:
            return True
        if len(progress.tried) >= exchange.service.settings.max_attempts:
            return False
        if self._is_quarantined(exchange):
            return False
        return budget.try_spend()

    def _choose(self, exchange: Exchange, progress: _Progress) -> Target | None:
        candidates = self._registry.candidates(
            exchange.service, exchange.state, exchange.routed.idempotent
        )
        chosen = self._chooser.choose(candidates, progress.tried)
        if chosen is None:
            return None
        return next(t for t in exchange.service.targets if t.name == chosen.name)

    def _attempt(self, exchange: Exchange, target: Target, progress: _Progress) -> AttemptResult:
        service = exchange.service
        attempt = Attempt(
            new_request_id(),
            exchange.request.method,
            exchange.request.target,
            exchange.request.headers,
            exchange.request.body,
        )
        timeout_s = self._attempt_timeout_s(exchange, progress)
        if exchange.record is not None:
            exchange.record.mark_dispatched()
        self._registry.begin(service.name, target.name)
        try:
            result = self._client.send(
                target, attempt, timeout_s, service.settings.connections_per_target
            )
        finally:
            self._registry.end(service.name, target.name)
        result = self._settle(exchange, target, attempt, result)
        self._learn(exchange, target, result)
        exchange.note(
            f"attempt {attempt.attempt_id} at {target.name}: {result.kind.value}"
            f" {result.status or ''} after {result.elapsed_s * 1000:.1f} ms"
        )
        return result

    def _settle(
        self, exchange: Exchange, target: Target, attempt: Attempt, result: AttemptResult
    ) -> AttemptResult:
        """Find out whether a request that isn't idempotent provably never ran."""
        if exchange.record is None:
            return result
        if result.kind is AttemptKind.TIMED_OUT and self._client.cancel(target, attempt.attempt_id):
            exchange.note(f"{target.name} confirms that it cancelled the request before running it")
            result = AttemptResult(AttemptKind.SHED, result.elapsed_s)
        if result.kind in NEVER_RAN:
            exchange.record.mark_not_run_by_target()
        return result

    def _attempt_timeout_s(self, exchange: Exchange, progress: _Progress) -> float:
        remaining_s = max(exchange.remaining_s(), 0.001)
        attempts_left = exchange.service.settings.max_attempts - len(progress.tried) + 1
        if exchange.routed.idempotent and attempts_left > 1:
            return remaining_s / 2
        return remaining_s

    def _learn(self, exchange: Exchange, target: Target, result: AttemptResult) -> None:
        service = exchange.service
        if result.draining and self._registry.note_draining(service.name, target):
            self._events.note_draining(service.name, target.name)
        evidence = _evidence_of(exchange, result)
        if evidence is not None:
            operation = exchange.routed.operation
            self._evidence.record(
                service.name, target.name, operation, exchange.account, evidence, result.elapsed_s
            )
        fingerprint = exchange.fingerprint.hex()
        if result.kind is AttemptKind.ANSWERED:
            self._quarantine.record_answer(service.name, fingerprint)
        if result.crashed:
            exchange.note(f"the request broke its connection to {target.name}")
            self._quarantine.record_crash(service.name, fingerprint, target.name)
            self._events.note_crash(service.name, fingerprint)

    def _goes_on(self, exchange: Exchange, result: AttemptResult) -> bool:
        if result.kind in NEVER_RAN:
            return True
        if not exchange.routed.idempotent:
            return False
        return result.kind is not AttemptKind.ANSWERED or result.status >= FIRST_ERROR_STATUS

    def _conclude(self, exchange: Exchange, progress: _Progress) -> Outcome:
        if progress.answer is not None:
            answer = progress.answer
            return Outcome.answered(answer.status, answer.headers, answer.body)
        if progress.uncertain is not None:
            return self._unknown(exchange, progress.uncertain)
        if exchange.remaining_s() <= 0:
            text = "The deadline passed before the request was dispatched."
            raise RequestError(errorcodes.DEADLINE_TOO_SHORT, text, messages.REMEDY_LATER)
        text = f"No target of {exchange.service.name} took the request."
        raise RequestError(errorcodes.NO_TARGET, text, messages.REMEDY_LATER)

    def _unknown(self, exchange: Exchange, result: AttemptResult) -> Outcome:
        code = UNKNOWN_CODES[result.kind]
        if self._is_quarantined(exchange):
            code = errorcodes.QUARANTINED_NOW
        idempotent = exchange.routed.idempotent
        remedy = messages.REMEDY_UNKNOWN_IDEMPOTENT if idempotent else messages.REMEDY_UNKNOWN
        if code is errorcodes.QUARANTINED_NOW:
            remedy = messages.REMEDY_QUARANTINED_NOW
        return Outcome.from_error(RequestError(code, code.description, remedy))

    def _is_quarantined(self, exchange: Exchange) -> bool:
        return self._quarantine.is_quarantined(exchange.service.name, exchange.fingerprint.hex())

    def _budget(self, service: ServicePolicy) -> RetryBudget:
        key = (service.name, service.settings.retry_budget_percent)
        budget = self._budgets.get(key)
        if budget is None:
            budget = self._budgets.setdefault(key, RetryBudget(key[1]))
        return budget


def _evidence_of(exchange: Exchange, result: AttemptResult) -> Evidence | None:
    if result.kind is AttemptKind.SHED:
        return Evidence.SHED
    if result.kind is AttemptKind.TIMED_OUT:
        return _evidence_of_timeout(exchange, result)
    if result.kind is AttemptKind.ANSWERED and result.status < FIRST_ERROR_STATUS:
        return Evidence.SUCCEEDED
    return Evidence.FAILED


def _evidence_of_timeout(exchange: Exchange, result: AttemptResult) -> Evidence | None:
    # A caller's own short deadline says nothing about the target.
    usual_s = exchange.service.settings.deadline_ms / 1000
    if exchange.deadline_ms and result.elapsed_s < usual_s / 2 - 0.001:
        return None
    return Evidence.FAILED
