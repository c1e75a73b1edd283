"""First filter: reads account, request id, deadline, idempotency key and token from the headers."""

import re
from typing import Final

from toucanspindle_core import errorcodes
from toucanspindle_core.errors import RequestError
from toucanspindle_core.outcome import Outcome

from toucanspindle_node import messages
from toucanspindle_node.exchange import (
    ACCOUNT_HEADER,
    DEADLINE_HEADER,
    KEY_HEADER,
    REQUEST_ID_HEADER,
    TOKEN_HEADER,
    Exchange,
    Handler,
    new_request_id,
)

MAX_DEADLINE_MS: Final = 600_000
_ACCOUNT_PATTERN: Final = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_KEY_PATTERN: Final = re.compile(r"[!-~]{1,255}")
_DEADLINE_PATTERN: Final = re.compile(r"[1-9][0-9]{0,5}")
_REQUEST_ID_PATTERN: Final = re.compile(r"[A-Za-z0-9_.-]{1,64}")


class IdentifyFilter:
    """Reads and validates these headers; creates a request id when there is no valid one."""

    def handle(self, exchange: Exchange, forward: Handler) -> Outcome:
        """Set the exchange's fields from the headers; refuse the request when one is invalid."""
        headers = exchange.request.headers
        requested_id = headers.get(REQUEST_ID_HEADER, "")
        exchange.request_id = (
            requested_id if _REQUEST_ID_PATTERN.fullmatch(requested_id) else new_request_id()
        )
        exchange.account = _read_account(headers)
        exchange.key = _read_key(headers)
        exchange.token = headers.get(TOKEN_HEADER, "")
        try:
            exchange.requested_deadline_ms = _read_deadline_ms(headers)
        except RequestError as error:
            exchange.refuse_or_defer(error)
        return forward(exchange)


def _read_account(headers: dict[str, str]) -> str:
    account = headers.get(ACCOUNT_HEADER, "")
    if not _ACCOUNT_PATTERN.fullmatch(account):
        text = f"Toucan-Account is {account!r}." if account else "Toucan-Account is missing."
        raise RequestError(errorcodes.ACCOUNT_MISSING, text, messages.REMEDY_ACCOUNT)
    return account


def _read_deadline_ms(headers: dict[str, str]) -> int:
    text = headers.get(DEADLINE_HEADER)
    if text is None:
        return 0
    if not _DEADLINE_PATTERN.fullmatch(text) or int(text) > MAX_DEADLINE_MS:
        message = f"Toucan-Deadline-Ms is {text[:40]!r}."
        raise RequestError(errorcodes.BAD_REQUEST, message, messages.REMEDY_DEADLINE)
    return int(text)


def _read_key(headers: dict[str, str]) -> str:
    key = headers.get(KEY_HEADER, "")
    if key and not _KEY_PATTERN.fullmatch(key):
        text = "Idempotency-Key is too long or has unprintable characters."
        raise RequestError(errorcodes.BAD_REQUEST, text, messages.REMEDY_KEY)
    return key
