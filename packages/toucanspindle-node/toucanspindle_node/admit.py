"""Fourth filter: refuses quarantined requests and requests that can't be served in time.

A request that is refused here was not run.
"""

import threading
import time

from toucanspindle_core import errorcodes
from toucanspindle_core.admission import AdmissionTicket, Refusal, ServiceAdmission
from toucanspindle_core.clock import Clock
from toucanspindle_core.errorcodes import ErrorCode
from toucanspindle_core.errors import RequestError
from toucanspindle_core.outcome import Outcome, OutcomeKind
from toucanspindle_core.policy import FleetPolicy, ServicePolicy
from toucanspindle_core.quarantine import QuarantineTable

from toucanspindle_node import messages
from toucanspindle_node.exchange import Exchange, Handler

TIMEOUT_CODES = frozenset({errorcodes.UNKNOWN_TIMEOUT, errorcodes.DEADLINE_TOO_SHORT})


class AdmissionRegistry:
    """The admission state of each service at this node; safe for use by several threads."""

    def __init__(self, clock: Clock) -> None:
        """Create a registry without services."""
        self._clock = clock
        self._lock = threading.Lock()
        self._admission_by_service: dict[str, ServiceAdmission] = {}

    def for_service(self, service: ServicePolicy) -> ServiceAdmission:
        """Return the admission of a service; it is created at the service's first request."""
        admission = self._admission_by_service.get(service.name)
        if admission is None:
            with self._lock:
                created = ServiceAdmission(service.settings, self._clock)
                created.update(service.settings, service.demand().nodes)
                admission = self._admission_by_service.setdefault(service.name, created)
        return admission

    def apply_policy(self, policy: FleetPolicy) -> None:
        """Apply the settings of a new generation to the services that have an admission."""
        for name, admission in list(self._admission_by_service.items()):
            service = policy.services.get(name)
            if service is not None:
                admission.update(service.settings, service.demand().nodes)


class QuarantineFilter:
    """Refuses requests whose fingerprint is quarantined because they crashed targets."""

    def __init__(self, quarantine: QuarantineTable) -> None:
        """Create the filter with this node's copy of the fleet's quarantine table."""
        self._quarantine = quarantine

    def handle(self, exchange: Exchange, forward: Handler) -> Outcome:
        """Raise RequestError for a quarantined request; forward any other."""
        service = exchange.service.name
        if self._quarantine.is_quarantined(service, exchange.fingerprint.hex()):
            raise quarantined_error(service)
        return forward(exchange)


class AdmitFilter:
    """Limits concurrency and queueing per service, by account class and deadline."""

    def __init__(self, admissions: AdmissionRegistry) -> None:
        """Create the filter with the node's admissions."""
        self._admissions = admissions

    def handle(self, exchange: Exchange, forward: Handler) -> Outcome:
        """Wait until the service admits the request; raise RequestError if it refuses it."""
        admission = self._admissions.for_service(exchange.service)
        ticket = self._admit(exchange, admission)
        started_at = time.monotonic()
        completed_in_time = True
        try:
            outcome = forward(exchange)
            completed_in_time = not _has_timed_out(outcome)
            return outcome
        except RequestError as error:
            completed_in_time = error.code not in TIMEOUT_CODES
            raise
        finally:
            admission.release(ticket, time.monotonic() - started_at, completed_in_time)

    def _admit(self, exchange: Exchange, admission: ServiceAdmission) -> AdmissionTicket:
        policy = exchange.fleet_state.policy
        assert policy is not None
        account_class = policy.account_class(exchange.account)
        remaining_s = exchange.remaining_s()
        ticket = admission.try_admit(exchange.account, account_class, remaining_s)
        if isinstance(ticket, Refusal):
            raise _refusal_error(ticket.code, exchange)
        refusal = admission.wait(ticket)
        if refusal is not None:
            raise _refusal_error(refusal.code, exchange)
        return ticket


def quarantined_error(service: str) -> RequestError:
    """Return the error for a quarantined request."""
    text = f"The request crashed several targets of {service} and is quarantined."
    return RequestError(errorcodes.QUARANTINED, text, messages.REMEDY_QUARANTINED)


def _has_timed_out(outcome: Outcome) -> bool:
    return outcome.kind is not OutcomeKind.ANSWERED and outcome.error_code in TIMEOUT_CODES


def _refusal_error(code: ErrorCode, exchange: Exchange) -> RequestError:
    exchange.add_trace_step(f"refused before dispatch: {code.description}")
    return RequestError(code, code.description, messages.REMEDY_LATER)
