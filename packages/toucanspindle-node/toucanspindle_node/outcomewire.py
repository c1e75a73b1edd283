"""Converts requests, outcomes and records to and from the messages between proxies."""

from typing import Final

from toucanspindle_core import control_pb2 as pb
from toucanspindle_core.errorcodes import UNKNOWN_BROKEN, lookup_code
from toucanspindle_core.inheritedrecords import InheritedRecord, covered_token_record
from toucanspindle_core.outcome import Outcome, OutcomeKind
from toucanspindle_core.records import Record, RequestName

from toucanspindle_node.exchange import CallerRequest, Exchange

KIND_TO_WIRE: Final = {
    OutcomeKind.ANSWERED: pb.ANSWERED,
    OutcomeKind.NOT_RUN: pb.NOT_RUN,
    OutcomeKind.UNKNOWN: pb.UNKNOWN,
}
KIND_FROM_WIRE: Final = {wire: kind for kind, wire in KIND_TO_WIRE.items()}


def submit_message(exchange: Exchange) -> pb.SubmitRequest:
    """Return the message that sends a caller's request on to its issuer."""
    return pb.SubmitRequest(
        account=exchange.account,
        token=exchange.token,
        key=exchange.key,
        method=exchange.request.method,
        path=exchange.request.target,
        headers=[pb.Header(name=n, value=v) for n, v in exchange.request.headers.items()],
        body=exchange.request.body,
        deadline_ms=max(1, int(exchange.remaining_s() * 1000)),
    )


def parse_submit(message: pb.SubmitRequest) -> CallerRequest:
    """Return the caller's request in a message, with the time that it has left."""
    headers = {h.name: h.value for h in message.headers}
    headers["toucan-deadline-ms"] = str(message.deadline_ms)
    return CallerRequest(message.method, message.path, headers, message.body)


def answer_message(outcome: Outcome) -> pb.SubmitAnswer:
    """Return the message for an outcome."""
    return pb.SubmitAnswer(
        kind=KIND_TO_WIRE[outcome.kind],
        error_code=outcome.error_code.name if outcome.error_code else "",
        error_text=f"{outcome.text}\n{outcome.remedy}",
        status=outcome.status,
        headers=[pb.Header(name=n, value=v) for n, v in outcome.headers],
        body=outcome.body,
    )


def parse_answer(message: pb.SubmitAnswer) -> Outcome:
    """Return the outcome in a message; raise ValueError when it isn't one."""
    kind = KIND_FROM_WIRE.get(message.kind)
    if kind is None:
        raise ValueError(f"outcome kind {message.kind}")
    text, _, remedy = message.error_text.partition("\n")
    code = lookup_code(message.error_code)
    if code is None and kind is not OutcomeKind.ANSWERED:
        code = UNKNOWN_BROKEN
    headers = tuple((h.name, h.value) for h in message.headers)
    return Outcome(kind, message.status, headers, message.body, code, text, remedy)


def record_message(record: Record, outcome: Outcome) -> pb.FinishedRecord:
    """Return the message that hands a finished record over."""
    return pb.FinishedRecord(
        account=record.name.account,
        token=record.name.token,
        key=record.name.key,
        fingerprint=record.fingerprint,
        answer=answer_message(outcome),
    )


def covered_token_message(token: str) -> pb.FinishedRecord:
    """Return the message that says that a hand-over holds every request under a token."""
    record = covered_token_record(token)
    return pb.FinishedRecord(token=token, answer=answer_message(record.outcome))


def parse_record(message: pb.FinishedRecord) -> InheritedRecord:
    """Return the record in a message; raise ValueError when it isn't one."""
    name = RequestName(message.account, message.token, message.key)
    return InheritedRecord(name, message.fingerprint, parse_answer(message.answer))
