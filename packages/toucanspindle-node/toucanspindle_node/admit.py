"""Fourth filter: refuses what is quarantined or can't be served in time.

Everything that is refused here was not run.
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


class AdmissionBook:
    """The admission state of each service at this node; safe for use by several threads."""

    def __init__(self, clock: Clock) -> None:
        """Create an empty book."""
        self._clock = clock
        self._lock = threading.Lock()
        self._by_service: dict[str, ServiceAdmission] = {}

    def of(self, service: ServicePolicy) -> ServiceAdmission:
        """Return the admission of a service, created at its first request."""
        admission = self._by_service.get(service.name)
        if admission is None:
            with self._lock:
                created = ServiceAdmission(service.settings, self._clock)
                created.update(service.settings, service.demand().nodes)
                admission = self._by_service.setdefault(service.name, created)
        return admission

    def apply_policy(self, policy: FleetPolicy) -> None:
        """Take over the settings of a new generation."""
        for name, admission in list(self._by_service.items()):
            service = policy.services.get(name)
            if service is not None:
                admission.update(service.settings, service.demand().nodes)


class QuarantineFilter:
    """Refuses requests that crashed targets."""

    def __init__(self, quarantine: QuarantineTable) -> None:
        """Create the filter over the fleet's table as this node knows it."""
        self._quarantine = quarantine

    def handle(self, exchange: Exchange, forward: Handler) -> Outcome:
        """Refuse a quarantined request; forward any other."""
        service = exchange.service.name
        if self._quarantine.is_quarantined(service, exchange.fingerprint.hex()):
            raise quarantined_error(service)
        return forward(exchange)


class AdmitFilter:
    """Admits requests by service and account class, within deadlines."""

    def __init__(self, book: AdmissionBook) -> None:
        """Create the filter over the book of admissions."""
        self._book = book

    def handle(self, exchange: Exchange, forward: Handler) -> Outcome:
        """Wait for a place in the service's limit; refuse what would come too late."""
        admission = self._book.of(exchange.service)
        ticket = self._admit(exchange, admission)
        started_at = time.monotonic()
        within_time = True
        try:
            outcome = forward(exchange)
            within_time = not _is_overload(outcome)
            return outcome
        except RequestError as error:
            within_time = error.code not in TIMEOUT_CODES
            raise
        finally:
            admission.release(ticket, time.monotonic() - started_at, within_time)

    def _admit(self, exchange: Exchange, admission: ServiceAdmission) -> AdmissionTicket:
        policy = exchange.state.policy
        assert policy is not None
        account_class = policy.account_class(exchange.account)
        remaining_s = exchange.remaining_s()
        ticket = admission.try_admit(exchange.account, account_class, remaining_s)
        if isinstance(ticket, Refusal):
            raise _refused(ticket.code, exchange)
        refusal = admission.wait(ticket)
        if refusal is not None:
            raise _refused(refusal.code, exchange)
        return ticket


def quarantined_error(service: str) -> RequestError:
    """Return the refusal of a quarantined request."""
    text = f"The request crashed several targets of {service} and is quarantined."
    return RequestError(errorcodes.QUARANTINED, text, messages.REMEDY_QUARANTINED)


def _is_overload(outcome: Outcome) -> bool:
    return outcome.kind is not OutcomeKind.ANSWERED and outcome.error_code in TIMEOUT_CODES


def _refused(code: ErrorCode, exchange: Exchange) -> RequestError:
    exchange.note(f"refused before dispatch: {code.description}")
    return RequestError(code, code.description, messages.REMEDY_LATER)
