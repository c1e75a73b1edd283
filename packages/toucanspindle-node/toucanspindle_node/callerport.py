"""Answers callers' requests from the directory or with the filter chain.

Every response carries the outcome and the request's id in headers.  An error response also
carries the error code, and a JSON body with the message and the remedy.
"""

import time
from typing import Final

from logbook import Logger
from toucanspindle_core import errorcodes
from toucanspindle_core.errors import RequestError
from toucanspindle_core.outcome import Outcome, OutcomeKind
from toucanspindle_core.records import RecordTable

from toucanspindle_node import messages
from toucanspindle_node.directory import DIRECTORY_PREFIX, answer_directory
from toucanspindle_node.entryserver import error_body
from toucanspindle_node.exchange import TOKEN_HEADER, CallerRequest, Exchange, Handler
from toucanspindle_node.fleetstate import FleetStateHolder
from toucanspindle_node.proxymetrics import ProxyMetrics
from toucanspindle_node.tracelog import TraceLog

TOKEN_CODES: Final = frozenset(
    {errorcodes.TOKEN_MISSING, errorcodes.TOKEN_INVALID, errorcodes.TOKEN_EXPIRED}
)

log = Logger("callerport")


class CallerEndpoint:
    """Returns the responses to callers' requests; safe for use by several threads.

    Invariant: once `closing` is set, only requests with a token are handled, and the record table,
    which is closed by then, admits no new ones.
    """

    def __init__(
        self,
        filter_chain: Handler,
        fleet_state: FleetStateHolder,
        records: RecordTable,
        metrics: ProxyMetrics,
    ) -> None:
        """Create an endpoint that passes requests to `filter_chain`."""
        self._filter_chain = filter_chain
        self._fleet_state = fleet_state
        self._records = records
        self._metrics = metrics
        self._traces = TraceLog()
        self.closing = False

    def answer(self, request: CallerRequest) -> Outcome:
        """Return the response to a caller's request, and count it in the metrics."""
        exchange = Exchange(request, self._fleet_state.state)
        if request.path_and_query.startswith(DIRECTORY_PREFIX):
            return self._add_caller_headers(exchange, _answer_directory_request(exchange))
        if self.closing and TOKEN_HEADER not in request.headers:
            text = "The node is shutting down."
            error = RequestError(errorcodes.NODE_CLOSING, text, messages.REMEDY_OTHER_NODE)
            return self._add_caller_headers(exchange, Outcome.from_error(error))
        outcome = self._run_filter_chain(exchange)
        self._metrics.count_request(exchange, outcome, time.monotonic() - exchange.received_at)
        return self._add_caller_headers(exchange, outcome)

    def answer_relayed(self, request: CallerRequest) -> Outcome:
        """Return the outcome of a request that another node sent here; it isn't counted."""
        return self._run_filter_chain(Exchange(request, self._fleet_state.state, relayed=True))

    def explain(self, request_id: str) -> list[str]:
        """Return the trace of a request, a line per step; empty when it isn't known."""
        return self._traces.explain(request_id)

    def _run_filter_chain(self, exchange: Exchange) -> Outcome:
        try:
            outcome = self._filter_chain(exchange)
        except RequestError as error:
            outcome = Outcome.from_error(error)
        except Exception:
            log.exception("request {} failed inside the proxy", exchange.request_id)
            text = "The proxy failed while it handled the request."
            remedy = messages.REMEDY_UNKNOWN_IDEMPOTENT
            outcome = Outcome.from_error(
                RequestError(errorcodes.UNKNOWN_PROXY_FAILED, text, remedy)
            )
        exchange.add_trace_step(
            f"outcome: {outcome.kind.value} {outcome.error_code or outcome.status}"
        )
        self._traces.add(exchange)
        return outcome

    def _add_caller_headers(self, exchange: Exchange, outcome: Outcome) -> Outcome:
        """Return the outcome with the response headers, and for an error the JSON body."""
        headers = [
            ("Toucan-Outcome", outcome.kind.value),
            ("Toucan-Request-Id", exchange.request_id),
        ]
        code = outcome.error_code
        if outcome.kind is OutcomeKind.ANSWERED or code is None:
            headers.extend(outcome.headers)
            return Outcome(outcome.kind, outcome.status, tuple(headers), outcome.body)
        headers.append(("Content-Type", "application/json"))
        headers.append(("Toucan-Error", code.name))
        if code in TOKEN_CODES:
            headers.append(("Toucan-Token", self._records.current_token()))
        body = error_body(
            outcome.kind.value, code, outcome.text, outcome.remedy, exchange.request_id
        )
        return Outcome(outcome.kind, outcome.status, tuple(headers), body, code)


def _answer_directory_request(exchange: Exchange) -> Outcome:
    request = exchange.request
    try:
        if request.method != "GET":
            text = "The directory accepts only the method GET."
            raise RequestError(errorcodes.BAD_REQUEST, text, messages.REMEDY_BAD_REQUEST)
        return answer_directory(request.path.removeprefix(DIRECTORY_PREFIX), exchange.fleet_state)
    except RequestError as error:
        return Outcome.from_error(error)
