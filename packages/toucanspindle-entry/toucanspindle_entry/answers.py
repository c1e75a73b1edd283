"""Answers that the entry process gives itself, each with an error code and a remedy."""

from typing import Final

import orjson
from toucanspindle_core import errorcodes
from toucanspindle_core.errorcodes import ErrorCode

from toucanspindle_entry.callerconnection import CallerAnswer
from toucanspindle_entry.slottypes import RefusalReason

MAX_RETRY_AFTER_S: Final = 5.0

# For each reason of a refusal: its code, what happened, and what the caller can do.
REFUSALS: Final[dict[RefusalReason, tuple[ErrorCode, str, str]]] = {
    RefusalReason.OVERLOADED: (
        errorcodes.OVERLOADED,
        "The service can't serve the request in time; it has not run.",
        "send it again after the time in Retry-After",
    ),
    RefusalReason.NO_TARGET: (
        errorcodes.NO_TARGET,
        "No target of the service takes new work; the request has not run.",
        "send it again after the time in Retry-After",
    ),
    RefusalReason.NO_RETRY: (
        errorcodes.RETRIES_SPENT,
        "The request failed and the service's retries are used up.",
        "send it again later",
    ),
    RefusalReason.POISON: (
        errorcodes.QUARANTINED,
        "The request has broken several targets, and isn't run again.",
        "change the request, or report it to the operators",
    ),
    RefusalReason.TOO_LATE: (
        errorcodes.DEADLINE_TOO_SHORT,
        "The deadline has passed before the request was run.",
        "allow more time",
    ),
}


def own_answer(
    code: ErrorCode, text: str, remedy: str, status: int, retry_after_s: float = 0.0
) -> CallerAnswer:
    """Return an answer with a code, what happened and a remedy."""
    body = orjson.dumps({"code": str(code), "error": text, "remedy": remedy})
    headers = [(b"content-type", b"application/json")]
    if retry_after_s > 0:
        seconds = min(retry_after_s, MAX_RETRY_AFTER_S)
        headers.append((b"retry-after", b"%.2f" % seconds))
    return CallerAnswer(status, headers, body)


def refusal_answer(reason: RefusalReason, retry_after_s: float) -> CallerAnswer:
    """Return the answer to a request that was never sent to a target: 503, "not run"."""
    code, text, remedy = REFUSALS[reason]
    return own_answer(code, text, remedy, 503, retry_after_s)
