"""Third filter: a non-idempotent request runs at most once.

Names such as BeginRecord are steps of the specification spec/dispatch.py.

The token names the incarnation that issued it, and only that incarnation dispatches the request:

- It is this one: the record table decides (BeginRecord, JoinInFlight, AnswerFromRecord,
  RefuseExpired).  The bearer of a started record finishes it in every case.
- It handed its records over to this node: they are answered from, never dispatched.
- Otherwise the request goes to the issuer or its successor (AskIssuer).  While neither can be
  heard the outcome is *unknown*, since an earlier copy may have run there.
"""

from typing import Protocol

from logbook import Logger
from toucanspindle_core import errorcodes
from toucanspindle_core.control_pb2 import MemberState
from toucanspindle_core.errors import RequestError
from toucanspindle_core.inheritedrecords import InheritedRecords
from toucanspindle_core.outcome import Outcome
from toucanspindle_core.records import (
    Finished,
    Joined,
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
    """Sends a request to the proxy that may answer for it."""

    def submit(self, address: str, exchange: Exchange) -> Outcome:
        """Return that proxy's outcome; raise ControlError when it can't be heard."""
        ...


class OnceFilter:
    """Lets a non-idempotent request pass at most once per account, token and key."""

    def __init__(
        self,
        issuer: TokenIssuer,
        records: RecordTable,
        inherited: InheritedRecords,
        client: IssuerClient,
    ) -> None:
        """Create the filter of one incarnation."""
        self._issuer = issuer
        self._records = records
        self._inherited = inherited
        self._client = client

    def handle(self, exchange: Exchange, forward: Handler) -> Outcome:
        """Forward an idempotent request; else run it once, answer from a record, or relay it."""
        if exchange.refusal is None and exchange.routed.idempotent:
            return forward(exchange)
        issuer = _check_identity(exchange)
        if issuer == self._issuer.incarnation:
            return self._run_once(exchange, forward)
        inherited = self._find_inherited(exchange, issuer)
        if inherited is not None:
            exchange.note(f"answered from the records that {issuer} handed over")
            return inherited
        return self._ask_issuer(exchange, issuer)

    def _run_once(self, exchange: Exchange, forward: Handler) -> Outcome:
        begun = self._records.begin(
            exchange.account,
            exchange.token,
            exchange.key,
            exchange.fingerprint,
            exchange.deadline,
        )
        if isinstance(begun, Finished):
            exchange.note("answered from the record of an earlier copy")
            return begun.outcome
        if isinstance(begun, Joined):
            exchange.note("joined an earlier copy in flight")
            outcome = begun.record.wait(exchange.remaining_s())
            return outcome or _unknown("An earlier copy of the request is still running.")
        exchange.record = begun.record
        return _finish_in_every_case(begun.record, exchange, forward)

    def _find_inherited(self, exchange: Exchange, issuer: str) -> Outcome | None:
        name = RequestName(exchange.account, exchange.token, exchange.key)
        return self._inherited.find(issuer, name, exchange.fingerprint)

    def _ask_issuer(self, exchange: Exchange, issuer: str) -> Outcome:
        address = "" if exchange.relayed else _address_of_issuer(exchange, issuer)
        if not address:
            exchange.note(f"the issuer {issuer} isn't known to be alive")
            return _unknown("The node that issued the token is gone or isn't known here.")
        exchange.note(f"asked the issuer {issuer} at {address}")
        return self._client.submit(address, exchange)


def _check_identity(exchange: Exchange) -> str:
    if not exchange.key:
        text = f"{exchange.routed.operation} isn't idempotent and needs an Idempotency-Key."
        raise RequestError(errorcodes.KEY_MISSING, text, messages.REMEDY_KEY)
    if not exchange.token:
        text = f"{exchange.routed.operation} isn't idempotent and needs a Toucan-Token."
        raise RequestError(errorcodes.TOKEN_MISSING, text, messages.REMEDY_TOKEN)
    issuer = issuer_of(exchange.token)
    if issuer is None:
        text = "Toucan-Token doesn't have the form of a token."
        raise RequestError(errorcodes.TOKEN_INVALID, text, messages.REMEDY_TOKEN)
    return issuer


def _finish_in_every_case(record: Record, exchange: Exchange, forward: Handler) -> Outcome:
    try:
        if exchange.refusal is not None:
            raise exchange.refusal
        return record.finish(forward(exchange))
    except RequestError as error:
        return record.finish(Outcome.from_error(error))
    except Exception:
        log.exception("request {} failed inside the proxy", exchange.request_id)
        if record.state is RecordState.DISPATCHED:
            return record.finish(_unknown("The proxy failed while the request ran."))
        text = "The proxy failed before the request ran."
        not_run = RequestError(errorcodes.NO_TARGET, text, messages.REMEDY_LATER)
        return record.finish(Outcome.from_error(not_run))


def _address_of_issuer(exchange: Exchange, issuer: str) -> str:
    member = exchange.state.member(issuer)
    if member is None:
        return ""
    if member.state == MemberState.LEFT:
        successor = exchange.state.member(member.successor)
        return successor.proxy_control_address if successor else ""
    return member.proxy_control_address


def _unknown(text: str) -> Outcome:
    error = RequestError(errorcodes.UNKNOWN_ISSUER, text, messages.REMEDY_UNKNOWN)
    return Outcome.from_error(error)
