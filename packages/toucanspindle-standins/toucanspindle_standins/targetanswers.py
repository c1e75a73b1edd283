"""Builds the answers of a stand-in target, and sends answers with damaged framing."""

import json
from typing import Final

from toucanspindle_standins.httpserver import Exchange, HttpAnswer
from toucanspindle_standins.runlog import Run
from toucanspindle_standins.targetfaults import TargetFaults

JSON_TYPE: Final = ("Content-Type", "application/json")
DRAINING: Final = ("Target-Draining", "1")
NOT_RUN: Final = ("Target-Outcome", "not-run")
EXTRA_LENGTH_BYTES: Final = 64


def run_answer(run: Run, service: str, padding: str, status: int, corrupt: bool) -> HttpAnswer:
    """Return the answer of a finished run; its JSON body names request, account and run.

    `padding` is added to the body.  With `corrupt`, the body isn't valid JSON.
    """
    values = {
        "request_id": run.request_id,
        "target": run.target,
        "service": service,
        "account": run.account,
        "key": run.key,
        "run": run.run,
        "method": run.method,
        "path": run.path,
        "body_digest": run.body_digest,
    }
    if padding:
        values["padding"] = padding
    body = json.dumps(values).encode() + b"\n"
    if corrupt:
        body = body.replace(run.target.encode(), b"#" * len(run.target)).replace(b'"', b"\x00")
    return HttpAnswer(status, body, (JSON_TYPE, ("Request-Id", run.request_id)))


def refusal(request_id: str) -> HttpAnswer:
    """Return the 503 answer to a request that was shed, expired or cancelled before its run."""
    body = json.dumps({"request_id": request_id, "error": "not run"}).encode() + b"\n"
    return HttpAnswer(503, body, (JSON_TYPE, ("Request-Id", request_id), NOT_RUN))


def with_draining(answer: HttpAnswer, faults: TargetFaults) -> HttpAnswer:
    """Return the answer with the header Target-Draining if the target is draining."""
    if not faults.draining:
        return answer
    return HttpAnswer(answer.status, answer.body, (*answer.headers, DRAINING))


def send_damaged(exchange: Exchange, answer: HttpAnswer, kind: str) -> None:
    """Send an answer with damaged framing; `kind` is a value of TargetFaults.answer_fault.

    An answer of kind "length-too-short" keeps the connection; all others close it.
    """
    body = answer.body
    half_length = len(body) // 2
    if kind == "cut":
        exchange.close(answer.head(len(body)) + body[:half_length])
    elif kind == "broken-chunk":
        chunked = HttpAnswer(
            answer.status, b"", (*answer.headers, ("Transfer-Encoding", "chunked"))
        )
        first = b"%x\r\n%s\r\n" % (half_length, body[:half_length])
        exchange.close(chunked.head(None) + first + b"zz\r\n" + body[half_length:])
    elif kind == "length-too-long":
        exchange.close(answer.head(len(body) + EXTRA_LENGTH_BYTES) + body)
    else:
        # The second half of the body stays on the connection, where the next answer would start.
        exchange.answer_raw(answer.head(half_length) + body)
