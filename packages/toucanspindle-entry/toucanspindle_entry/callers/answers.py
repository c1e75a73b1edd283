"""Error responses that the entry process generates, each with an error code and a remedy."""

from typing import Final

import orjson
from toucanspindle_core import errorcodes
from toucanspindle_core.errorcodes import ErrorCode

from toucanspindle_entry.broker.slottypes import RefusalReason
from toucanspindle_entry.callers.callermessages import CallerResponse

MAX_RETRY_AFTER_S: Final = 5.0

# For each refusal reason: the error code, the error text and the remedy.
REFUSAL_ERRORS: Final[dict[RefusalReason, tuple[ErrorCode, str, str]]] = {
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
    RefusalReason.RETRY_BUDGET_EXHAUSTED: (
        errorcodes.RETRIES_EXHAUSTED,
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


def error_response(
    code: ErrorCode, text: str, remedy: str, status: int, retry_after_s: float = 0.0
) -> CallerResponse:
    """Return a JSON error response; a positive `retry_after_s` sets Retry-After, limited to 5 s."""
    body = orjson.dumps({"code": str(code), "error": text, "remedy": remedy})
    headers = [(b"content-type", b"application/json")]
    if retry_after_s > 0:
        seconds = min(retry_after_s, MAX_RETRY_AFTER_S)
        headers.append((b"retry-after", b"%.2f" % seconds))
    return CallerResponse(status, headers, body)


def refusal_response(reason: RefusalReason, retry_after_s: float) -> CallerResponse:
    """Return the 503 response to a request that got no slot and certainly has not run."""
    code, text, remedy = REFUSAL_ERRORS[reason]
    return error_response(code, text, remedy, 503, retry_after_s)
