"""Third filter: runs a non-idempotent request at most once.

Names such as BeginRecord are steps of the specification spec/dispatch.py.

The token names the incarnation that issued it, and only that incarnation dispatches the request:

- This proxy is the issuer: the record table decides (BeginRecord, JoinInFlight, AnswerFromRecord,
  RefuseExpired).  The request that starts a record always finishes it.
- The issuer handed its records over to this proxy: the request is answered from these records and
  never dispatched.
- Otherwise the request is sent to the issuer or its successor (AskIssuer).  If neither can be
  reached the outcome is *unknown*, because an earlier copy may have run there.
"""

from typing import Protocol

from logbook import Logger
from toucanspindle_core import errorcodes
from toucanspindle_core.control_pb2 import MemberState
from toucanspindle_core.errors import RequestError
from toucanspindle_core.inheritedrecords import InheritedRecords
from toucanspindle_core.outcome import Outcome
from toucanspindle_core.records import (
    AlreadyFinished,
    DuplicateInFlight,
    Record,
    RecordState,
    RecordTable,
    RequestName,
)
from toucanspindle_core.tokens import TokenIssuer, issuer_of

from toucanspindle_node import messages
from toucanspindle_node.exchange import Exchange, Handler

log = Logger("once")


class IssuerClient(Protocol):
    """Sends a request to the proxy that holds its record."""

    def submit(self, address: str, exchange: Exchange) -> Outcome:
        """Return that proxy's outcome; the outcome is unknown when it can't be reached."""
        ...


class OnceFilter:
    """Forwards a non-idempotent request at most once per account, token and key."""

    def __init__(
        self,
        issuer: TokenIssuer,
        records: RecordTable,
        inherited: InheritedRecords,
        client: IssuerClient,
    ) -> None:
        """Create the filter; `issuer` and `records` belong to this incarnation."""
        self._issuer = issuer
        self._records = records
        self._inherited = inherited
        self._client = client

    def handle(self, exchange: Exchange, forward: Handler) -> Outcome:
        """Forward an idempotent request; run any other once, or answer it by record or relay."""
        if exchange.deferred_refusal is None and exchange.matched_route.idempotent:
            return forward(exchange)
        issuer = _validated_issuer(exchange)
        if issuer == self._issuer.incarnation:
            return self._run_once(exchange, forward)
        inherited = self._find_inherited(exchange, issuer)
        if inherited is not None:
            exchange.add_trace_step(f"answered from the records that {issuer} handed over")
            return inherited
        return self._relay_to_issuer(exchange, issuer)

    def _run_once(self, exchange: Exchange, forward: Handler) -> Outcome:
        begin_result = self._records.begin(
            exchange.account,
            exchange.token,
            exchange.key,
            exchange.fingerprint,
            exchange.deadline,
        )
        if isinstance(begin_result, AlreadyFinished):
            exchange.add_trace_step("answered from the record of an earlier copy")
            return begin_result.outcome
        if isinstance(begin_result, DuplicateInFlight):
            exchange.add_trace_step("joined an earlier copy in flight")
            outcome = begin_result.record.wait(exchange.remaining_s())
            return outcome or _unknown_outcome("An earlier copy of the request is still running.")
        exchange.record = begin_result.record
        return _run_and_finish_record(begin_result.record, exchange, forward)

    def _find_inherited(self, exchange: Exchange, issuer: str) -> Outcome | None:
        name = RequestName(exchange.account, exchange.token, exchange.key)
        return self._inherited.find(issuer, name, exchange.fingerprint)

    def _relay_to_issuer(self, exchange: Exchange, issuer: str) -> Outcome:
        address = "" if exchange.relayed else _issuer_address(exchange, issuer)
        if not address:
            exchange.add_trace_step(f"the issuer {issuer} isn't known to be alive")
            return _unknown_outcome(
                "The node that issued the token has left the fleet or isn't known."
            )
        exchange.add_trace_step(f"relayed to the issuer {issuer} at {address}")
        return self._client.submit(address, exchange)


def _validated_issuer(exchange: Exchange) -> str:
    """Return the incarnation that issued the token; raise RequestError without key or token."""
    if not exchange.key:
        text = f"{exchange.matched_route.operation} isn't idempotent and needs an Idempotency-Key."
        raise RequestError(errorcodes.KEY_MISSING, text, messages.REMEDY_KEY)
    if not exchange.token:
        text = f"{exchange.matched_route.operation} isn't idempotent and needs a Toucan-Token."
        raise RequestError(errorcodes.TOKEN_MISSING, text, messages.REMEDY_TOKEN)
    issuer = issuer_of(exchange.token)
    if issuer is None:
        text = "Toucan-Token is malformed."
        raise RequestError(errorcodes.TOKEN_INVALID, text, messages.REMEDY_TOKEN)
    return issuer


def _run_and_finish_record(record: Record, exchange: Exchange, forward: Handler) -> Outcome:
    """Run the request and return its outcome; finish the record even when the proxy fails."""
    try:
        if exchange.deferred_refusal is not None:
            raise exchange.deferred_refusal
        return record.finish(forward(exchange))
    except RequestError as error:
        return record.finish(Outcome.from_error(error))
    except Exception:
        log.exception("request {} failed inside the proxy", exchange.request_id)
        if record.state is RecordState.DISPATCHED:
            return record.finish(_unknown_outcome("The proxy failed while the request ran."))
        text = "The proxy failed before the request ran."
        not_run = RequestError(errorcodes.NO_TARGET, text, messages.REMEDY_LATER)
        return record.finish(Outcome.from_error(not_run))


def _issuer_address(exchange: Exchange, issuer: str) -> str:
    member = exchange.fleet_state.find_member(issuer)
    if member is None:
        return ""
    if member.state == MemberState.LEFT:
        successor = exchange.fleet_state.find_member(member.successor)
        return successor.proxy_control_address if successor else ""
    return member.proxy_control_address


def _unknown_outcome(text: str) -> Outcome:
    error = RequestError(errorcodes.UNKNOWN_ISSUER, text, messages.REMEDY_UNKNOWN)
    return Outcome.from_error(error)
