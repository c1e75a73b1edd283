"""Last filter: sends the request to a target, and retries on another target where allowed.

An idempotent request is retried on another target after any failure, within its deadline, the
service's limit of attempts and its retry budget.  A non-idempotent request is retried only if the
attempt provably didn't run: no connection was established, the target shed it, or the target
confirmed that it cancelled the request before running it.  Any other failure is *unknown*.

Steps of spec/dispatch.py: MarkDispatched before the first byte is written, TargetRefuses when the
attempt provably didn't run.
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

FIRST_ERROR_STATUS: Final = 500  # a response with this or a higher status is a failure
NOT_RUN_KINDS: Final = frozenset({AttemptKind.NOT_CONNECTED, AttemptKind.SHED})
UNKNOWN_CODE_BY_KIND: Final[dict[AttemptKind, ErrorCode]] = {
    AttemptKind.TIMED_OUT: errorcodes.UNKNOWN_TIMEOUT,
    AttemptKind.BROKEN: errorcodes.UNKNOWN_ANSWER_LOST,
    AttemptKind.MISMATCHED_ID: errorcodes.UNKNOWN_MISMATCHED_ANSWER,
}


@dataclass
class _RequestProgress:
    """The attempts of one request so far.

    Invariant: `answered_result` and `unknown_result` are both None only while no target can have
    run the request.
    """

    tried_targets: set[str] = field(default_factory=set)
    answered_result: AttemptResult | None = None
    unknown_result: AttemptResult | None = None
    is_final: bool = False

    def add(self, result: AttemptResult, is_final: bool) -> None:
        """Add the result of an attempt; results after a final one are ignored."""
        if self.is_final:
            return
        self.is_final = is_final
        if result.kind is AttemptKind.ANSWERED:
            self.answered_result = result
        elif result.kind not in NOT_RUN_KINDS:
            self.unknown_result = result


class DispatchEvents(Protocol):
    """Receives events that must not wait for the next report to the agent."""

    def report_draining(self, service: str, target: str) -> None:
        """Report a target's new drain signal."""
        ...

    def report_crash(self, service: str, fingerprint: str) -> None:
        """Notify the other nodes of a request that broke its connection to a target.

        Returns once they have answered, or after a short timeout.
        """
        ...


@dataclass(frozen=True)
class DispatchDependencies:
    """The objects that the dispatch filter uses."""

    client: TargetClient
    registry: TargetRegistry
    chooser: TargetChooser
    evidence: EvidenceCollector
    quarantine: QuarantineTable
    events: DispatchEvents
    hedges: HedgePool


class DispatchFilter:
    """Chooses targets, sends attempts, and records evidence on each target's health."""

    def __init__(self, dependencies: DispatchDependencies) -> None:
        """Create the filter; it keeps a retry budget per service."""
        self._client = dependencies.client
        self._registry = dependencies.registry
        self._chooser = dependencies.chooser
        self._evidence = dependencies.evidence
        self._quarantine = dependencies.quarantine
        self._events = dependencies.events
        self._hedges = dependencies.hedges
        self._retry_budgets: dict[tuple[str, int], RetryBudget] = {}

    def handle(self, exchange: Exchange, forward: Handler) -> Outcome:  # noqa: ARG002
        """Return the outcome of the attempts; raise RequestError when no target can have run it."""
        service = exchange.service
        budget = self._retry_budget(service)
        budget.record_first_attempt()
        progress = _RequestProgress()
        if exchange.matched_route.idempotent and service.settings.hedge_after_ms:
            self._run_hedged_attempts(exchange, progress, budget)
        while not progress.is_final and self._may_attempt(exchange, progress, budget):
            if self._run_attempt(exchange, progress) is None:
                break
        return self._final_outcome(exchange, progress)

    def _run_attempt(self, exchange: Exchange, progress: _RequestProgress) -> AttemptResult | None:
        """Make one attempt and return its result; return None when no target is available."""
        target = self._choose_target(exchange, progress)
        if target is None:
            return None
        progress.tried_targets.add(target.name)
        result = self._send_attempt(exchange, target, progress)
        progress.add(result, is_final=not self._should_try_another_target(exchange, result))
        return result

    def _run_hedged_attempts(
        self, exchange: Exchange, progress: _RequestProgress, budget: RetryBudget
    ) -> None:
        def run_hedge() -> AttemptResult | None:
            if not self._may_attempt(exchange, progress, budget):
                return None
            exchange.add_trace_step("hedged: the first attempt exceeded the hedging delay")
            return self._run_attempt(exchange, progress)

        self._hedges.run_hedged(
            partial(self._run_attempt, exchange, progress),
            run_hedge,
            exchange.service.settings.hedge_after_ms / 1000,
            lambda result: not self._should_try_another_target(exchange, result),
        )

    def _may_attempt(
        self, exchange: Exchange, progress: _RequestProgress, budget: RetryBudget
    ) -> bool:
        """Return whether an attempt is allowed; a retry spends from the retry budget."""
        if exchange.remaining_s() <= 0:
            return False
        if not progress.tried_targets:
            return True
        if len(progress.tried_targets) >= exchange.service.settings.max_attempts:
            return False
        if self._is_quarantined(exchange):
            return False
        return budget.try_spend()

    def _choose_target(self, exchange: Exchange, progress: _RequestProgress) -> Target | None:
        """Return a target that wasn't tried yet, or None when no such target is available."""
        candidates = self._registry.candidates(
            exchange.service, exchange.fleet_state, exchange.matched_route.idempotent
        )
        chosen = self._chooser.choose(candidates, progress.tried_targets)
        if chosen is None:
            return None
        return next(t for t in exchange.service.targets if t.name == chosen.name)

    def _send_attempt(
        self, exchange: Exchange, target: Target, progress: _RequestProgress
    ) -> AttemptResult:
        service = exchange.service
        attempt = Attempt(
            new_request_id(),
            exchange.request.method,
            exchange.request.path_and_query,
            exchange.request.headers,
            exchange.request.body,
        )
        timeout_s = self._attempt_timeout_s(exchange, progress)
        if exchange.record is not None:
            exchange.record.mark_dispatched()
        self._registry.begin_attempt(service.name, target.name)
        try:
            result = self._client.send(
                target, attempt, timeout_s, service.settings.connections_per_target
            )
        finally:
            self._registry.end_attempt(service.name, target.name)
        result = self._confirm_not_run(exchange, target, attempt, result)
        self._record_result(exchange, target, result)
        exchange.add_trace_step(
            f"attempt {attempt.attempt_id} at {target.name}: {result.kind.value}"
            f" {result.status or ''} after {result.elapsed_s * 1000:.1f} ms"
        )
        return result

    def _confirm_not_run(
        self, exchange: Exchange, target: Target, attempt: Attempt, result: AttemptResult
    ) -> AttemptResult:
        """Return `result`, or SHED if the target confirms that it cancelled the timed-out attempt.

        Applies to requests with a record, and marks the record when the attempt provably didn't
        run.
        """
        if exchange.record is None:
            return result
        if result.kind is AttemptKind.TIMED_OUT and self._client.cancel(target, attempt.attempt_id):
            exchange.add_trace_step(
                f"{target.name} confirms that it cancelled the request before running it"
            )
            result = AttemptResult(AttemptKind.SHED, result.elapsed_s)
        if result.kind in NOT_RUN_KINDS:
            exchange.record.mark_not_run_by_target()
        return result

    def _attempt_timeout_s(self, exchange: Exchange, progress: _RequestProgress) -> float:
        remaining_s = max(exchange.remaining_s(), 0.001)
        attempts_left = exchange.service.settings.max_attempts - len(progress.tried_targets) + 1
        if exchange.matched_route.idempotent and attempts_left > 1:
            return remaining_s / 2  # leaves time for a retry on another target
        return remaining_s

    def _record_result(self, exchange: Exchange, target: Target, result: AttemptResult) -> None:
        service = exchange.service
        if result.draining and self._registry.mark_draining(service.name, target):
            self._events.report_draining(service.name, target.name)
        evidence = _evidence_from(exchange, result)
        if evidence is not None:
            operation = exchange.matched_route.operation
            self._evidence.record(
                service.name, target.name, operation, exchange.account, evidence, result.elapsed_s
            )
        fingerprint = exchange.fingerprint.hex()
        if result.kind is AttemptKind.ANSWERED:
            self._quarantine.record_answer(service.name, fingerprint)
        if result.crashed:
            exchange.add_trace_step(f"the request broke its connection to {target.name}")
            self._quarantine.record_crash(service.name, fingerprint, target.name)
            self._events.report_crash(service.name, fingerprint)

    def _should_try_another_target(self, exchange: Exchange, result: AttemptResult) -> bool:
        if result.kind in NOT_RUN_KINDS:
            return True
        if not exchange.matched_route.idempotent:
            return False
        return result.kind is not AttemptKind.ANSWERED or result.status >= FIRST_ERROR_STATUS

    def _final_outcome(self, exchange: Exchange, progress: _RequestProgress) -> Outcome:
        if progress.answered_result is not None:
            answered_result = progress.answered_result
            return Outcome.answered(
                answered_result.status, answered_result.headers, answered_result.body
            )
        if progress.unknown_result is not None:
            return self._unknown_outcome(exchange, progress.unknown_result)
        if exchange.remaining_s() <= 0:
            text = "The deadline passed before the request was dispatched."
            raise RequestError(errorcodes.DEADLINE_TOO_SHORT, text, messages.REMEDY_LATER)
        text = f"No target of {exchange.service.name} accepted the request."
        raise RequestError(errorcodes.NO_TARGET, text, messages.REMEDY_LATER)

    def _unknown_outcome(self, exchange: Exchange, result: AttemptResult) -> Outcome:
        code = UNKNOWN_CODE_BY_KIND[result.kind]
        if self._is_quarantined(exchange):
            code = errorcodes.UNKNOWN_CRASHED_TARGETS
        idempotent = exchange.matched_route.idempotent
        remedy = messages.REMEDY_UNKNOWN_IDEMPOTENT if idempotent else messages.REMEDY_UNKNOWN
        if code is errorcodes.UNKNOWN_CRASHED_TARGETS:
            remedy = messages.REMEDY_QUARANTINED_NOW
        return Outcome.from_error(RequestError(code, code.description, remedy))

    def _is_quarantined(self, exchange: Exchange) -> bool:
        return self._quarantine.is_quarantined(exchange.service.name, exchange.fingerprint.hex())

    def _retry_budget(self, service: ServicePolicy) -> RetryBudget:
        key = (service.name, service.settings.retry_budget_percent)
        budget = self._retry_budgets.get(key)
        if budget is None:
            budget = self._retry_budgets.setdefault(key, RetryBudget(key[1]))
        return budget


def _evidence_from(exchange: Exchange, result: AttemptResult) -> Evidence | None:
    """Return what a result shows about its target, or None when it shows nothing."""
    if result.kind is AttemptKind.SHED:
        return Evidence.SHED
    if result.kind is AttemptKind.TIMED_OUT:
        return _evidence_from_timeout(exchange, result)
    if result.kind is AttemptKind.ANSWERED and result.status < FIRST_ERROR_STATUS:
        return Evidence.SUCCEEDED
    return Evidence.FAILED


def _evidence_from_timeout(exchange: Exchange, result: AttemptResult) -> Evidence | None:
    # A first attempt has half of the service's deadline.  A timeout that is shorter, because the
    # caller sent a short deadline, is no evidence against the target.
    default_deadline_s = exchange.service.settings.deadline_ms / 1000
    if exchange.requested_deadline_ms and result.elapsed_s < default_deadline_s / 2 - 0.001:
        return None
    return Evidence.FAILED
