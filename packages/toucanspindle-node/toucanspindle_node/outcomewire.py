"""Converts requests, outcomes and records to and from the messages between proxies.

Messages from another process are validated as strictly as requests of callers: a forwarded header
value with a line end could inject a second request to a target or a second response to a caller.
"""

import re
from collections.abc import Iterable
from typing import Final

from toucanspindle_core import control_pb2 as pb
from toucanspindle_core.errorcodes import UNKNOWN_ANSWER_LOST, lookup_code
from toucanspindle_core.inheritedrecords import InheritedRecord, covered_token_record
from toucanspindle_core.outcome import UNKNOWN_HTTP_STATUS, Outcome, OutcomeKind
from toucanspindle_core.records import Record, RequestName
from toucanspindle_core.tokens import issuer_of

from toucanspindle_node.exchange import (
    ACCOUNT_HEADER,
    KEY_HEADER,
    TOKEN_HEADER,
    CallerRequest,
    Exchange,
)

KIND_TO_WIRE: Final = {
    OutcomeKind.ANSWERED: pb.ANSWERED,
    OutcomeKind.NOT_RUN: pb.NOT_RUN,
    OutcomeKind.UNKNOWN: pb.UNKNOWN,
}
KIND_FROM_WIRE: Final = {wire: kind for kind, wire in KIND_TO_WIRE.items()}
VALID_STATUSES: Final = {
    OutcomeKind.ANSWERED: range(100, 1000),
    OutcomeKind.NOT_RUN: range(400, 600),
    OutcomeKind.UNKNOWN: range(UNKNOWN_HTTP_STATUS, UNKNOWN_HTTP_STATUS + 1),
}
MAX_NAME_CHARS: Final = 255

_METHOD_OR_PATH: Final = re.compile(r"[!-~\x80-\xff]+")
_HEADER_NAME: Final = re.compile(r"[!-9;-~\x80-\xff]+")
_HEADER_VALUE: Final = re.compile(r"[^\r\n\0\u0100-\U0010ffff]*")
_FINGERPRINT: Final = re.compile(r"[0-9a-f]{1,128}")


def submit_message(exchange: Exchange) -> pb.SubmitRequest:
    """Return the message that relays a caller's request to its issuer."""
    return pb.SubmitRequest(
        account=exchange.account,
        token=exchange.token,
        key=exchange.key,
        method=exchange.request.method,
        path=exchange.request.path_and_query,
        headers=[pb.Header(name=n, value=v) for n, v in exchange.request.headers.items()],
        body=exchange.request.body,
        deadline_ms=max(1, int(exchange.remaining_s() * 1000)),
    )


def parse_submit(message: pb.SubmitRequest) -> CallerRequest:
    """Return the caller's request in a message; its deadline header is the remaining time.

    Raises ValueError when the request can't be written to a target unchanged, or when its headers
    name another account, token or key than the message.  A proxy never sends such a message.
    """
    if not _METHOD_OR_PATH.fullmatch(message.method) or not _METHOD_OR_PATH.fullmatch(message.path):
        raise ValueError("the method or path is empty or has spaces or control characters")
    headers = dict(_validated_headers(message.headers))
    header_values = [headers.get(name, "") for name in (ACCOUNT_HEADER, TOKEN_HEADER, KEY_HEADER)]
    if header_values != [message.account, message.token, message.key]:
        raise ValueError("the headers name another account, token or key than the message")
    if any(name != name.lower() for name in headers):
        raise ValueError("a header name isn't in lower case")
    headers["toucan-deadline-ms"] = str(message.deadline_ms)
    return CallerRequest(message.method, message.path, headers, message.body)


def answer_message(outcome: Outcome) -> pb.SubmitAnswer:
    """Return the message that carries an outcome."""
    return pb.SubmitAnswer(
        kind=KIND_TO_WIRE[outcome.kind],
        error_code=outcome.error_code.name if outcome.error_code else "",
        error_text=f"{outcome.text}\n{outcome.remedy}",
        status=outcome.status,
        headers=[pb.Header(name=n, value=v) for n, v in outcome.headers],
        body=outcome.body,
    )


def parse_answer(message: pb.SubmitAnswer) -> Outcome:
    """Return the outcome in a message; raise ValueError when the message is invalid."""
    kind = KIND_FROM_WIRE.get(message.kind)
    if kind is None:
        raise ValueError(f"{message.kind} isn't a kind of outcome")
    if message.status not in VALID_STATUSES[kind]:
        raise ValueError(f"status {message.status} is invalid for an outcome of kind {kind.value}")
    if kind is OutcomeKind.NOT_RUN and message.status == UNKNOWN_HTTP_STATUS:
        raise ValueError("an outcome of kind not-run has the status of kind unknown")
    text, _, remedy = message.error_text.partition("\n")
    code = lookup_code(message.error_code)
    if code is None and kind is not OutcomeKind.ANSWERED:
        code = UNKNOWN_ANSWER_LOST
    headers = tuple(_validated_headers(message.headers))
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
    """Return the message that states that a hand-over has all records under a token."""
    record = covered_token_record(token)
    return pb.FinishedRecord(token=token, answer=answer_message(record.outcome))


def parse_batch(message: pb.RecordBatch) -> list[InheritedRecord]:
    """Return the records of a batch; raise ValueError unless the sender issued all tokens."""
    records = [parse_record(record) for record in message.records]
    if any(issuer_of(record.name.token) != message.from_incarnation for record in records):
        raise ValueError("a record has a token that the sender didn't issue")
    return records


def check_crash_entry(entry: pb.QuarantineEntry) -> None:
    """Raise ValueError unless an entry has a valid service, target name and fingerprint."""
    if not _FINGERPRINT.fullmatch(entry.fingerprint):
        raise ValueError("the fingerprint isn't hexadecimal")
    if not entry.service or max(len(entry.service), len(entry.last_target)) > MAX_NAME_CHARS:
        raise ValueError("the name of the service is missing, or a name is too long")


def _validated_headers(headers: Iterable[pb.Header]) -> Iterable[tuple[str, str]]:
    for header in headers:
        if not _HEADER_NAME.fullmatch(header.name) or not _HEADER_VALUE.fullmatch(header.value):
            raise ValueError("a header has line ends or characters that HTTP doesn't allow")
        yield header.name, header.value


def parse_record(message: pb.FinishedRecord) -> InheritedRecord:
    """Return the record in a message; raise ValueError when its outcome is invalid."""
    name = RequestName(message.account, message.token, message.key)
    return InheritedRecord(name, message.fingerprint, parse_answer(message.answer))
