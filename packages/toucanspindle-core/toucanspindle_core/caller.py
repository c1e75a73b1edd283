"""Client side of the protocol: asks the directory, picks an address, resends safely.

An idempotent request is retried at another address unless it is answered, or not run with an error
code that isn't in RETRYABLE_NOT_RUN.  For any other request:

1. The caller takes an entry from the directory's answer; the entry's token and a new key identify
   the request.
2. If the connection can't be opened, no byte was sent, and the caller may use another entry, with
   that entry's token and a new key.
3. *Answered* is final.  After *not run* the caller stops, or sends a new request (new key, next
   entry) if the error code is in RETRYABLE_NOT_RUN.
4. In every other case the request may have run.  The caller sends it again with the *same* key and
   token, to the other addresses in turn and then to the first one; a node that didn't issue the
   token asks the issuer for the outcome.
"""

import itertools
import time
import uuid
from dataclasses import dataclass, replace
from typing import Any, Final

import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from toucanspindle_core import errorcodes
from toucanspindle_core.errors import ControlError
from toucanspindle_core.outcome import OutcomeKind

RESEND_PAUSE_S: Final = 0.1
RETRYABLE_NOT_RUN: Final = frozenset(
    code.name
    for code in (
        errorcodes.AGENT_UNREACHABLE,
        errorcodes.CONFIG_ABSENT,
        errorcodes.NO_TARGET,
        errorcodes.NODE_CLOSING,
        errorcodes.OVERLOADED,
        errorcodes.RECORDS_FULL,
        errorcodes.TOKEN_EXPIRED,
        errorcodes.TOKEN_INVALID,
    )
)


@dataclass(frozen=True)
class CallerSettings:
    """Settings of a Caller; addresses are "IP:port".

    `entry_addresses` are asked for the directory before any entry is cached; `max_sends` is the
    number of attempts for one call of `submit`.
    """

    account: str
    entry_addresses: tuple[str, ...]
    timeout_s: float = 5.0
    max_sends: int = 5


@dataclass(frozen=True)
class DirectoryEntry:
    """An "IP:port" address that serves a service, and the current token of its node."""

    address: str
    token: str


@dataclass(frozen=True)
class CallerAnswer:
    """Outcome of one request with the HTTP answer.

    `code` is the printed error code, empty for an answer; `key` is the idempotency key, empty for
    `send_get`; `sends` is the number of attempts of `submit`, and 1 for `send_get`.
    """

    kind: OutcomeKind
    status: int
    body: bytes
    code: str = ""
    key: str = ""
    sends: int = 1


@dataclass(frozen=True)
class Submission:
    """A request that must run at most once; every resend repeats its key and token."""

    service: str
    method: str
    path: str
    body: bytes
    key: str
    token: str


@dataclass(frozen=True)
class _CachedEntries:
    entries: list[DirectoryEntry]
    expires_at: float


@dataclass(frozen=True)
class _SendResult:
    """Result of one attempt: the answer, if any; `may_be_written` if a byte may have been sent."""

    answer: CallerAnswer | None
    may_be_written: bool = True


_NOT_SENT: Final = _SendResult(None, may_be_written=False)


class Caller:
    """Sends requests of one account by the protocol; safe for use by several threads."""

    def __init__(self, settings: CallerSettings) -> None:
        """Create a caller with an empty directory cache; nothing is sent yet."""
        self._settings = settings
        self._pool = urllib3.PoolManager(maxsize=8, retries=False)
        self._cache: dict[str, _CachedEntries] = {}
        self._rotation = itertools.count()

    def close(self) -> None:
        """Close all connections."""
        self._pool.clear()

    def send_get(self, service: str, path: str) -> CallerAnswer:
        """Send an idempotent GET; try further addresses while it fails with a retryable error.

        Raises ControlError if no entry address answers.
        """
        combined = _NOT_SENT
        for entry in self._rotated_entries(service):
            attempt = self._send(entry.address, "GET", path, b"", {})
            combined = _combine(combined, attempt)
            if attempt.answer is not None and not _is_retryable(attempt.answer):
                break
        return _to_caller_answer(combined, "", 1)

    def submit(self, service: str, path: str, body: bytes, method: str = "POST") -> CallerAnswer:
        """Send a request that must run at most once, and return its outcome.

        Resend it until its outcome is known or `max_sends` is reached.  Raises ControlError if no
        entry address answers.
        """
        answer = _to_caller_answer(_NOT_SENT, "", 0)
        sends = 0
        for entry in self._rotated_entries(service):
            if sends >= self._settings.max_sends:
                break
            key = uuid.uuid4().hex
            submission = Submission(service, method, path, body, key, entry.token)
            answer = self._submit_to(entry.address, submission, sends)
            sends = answer.sends
            if answer.kind is not OutcomeKind.NOT_RUN or answer.code not in RETRYABLE_NOT_RUN:
                break
        return answer

    def resend(self, submission: Submission) -> CallerAnswer:
        """Send a request again with the same key and token, through each address in turn.

        Return the first outcome other than UNKNOWN, else UNKNOWN.  Raises ControlError if no entry
        address answers.
        """
        combined = _SendResult(None, may_be_written=True)
        for sends, entry in enumerate(self._rotated_entries(submission.service), 1):
            combined = _combine(combined, self._send_submission(entry.address, submission))
            if combined.answer is not None and combined.answer.kind is not OutcomeKind.UNKNOWN:
                return _to_caller_answer(combined, submission.key, sends)
        return _to_caller_answer(combined, submission.key, self._settings.max_sends)

    def entries(self, service: str) -> list[DirectoryEntry]:
        """Return the directory entries of a service; they are cached for the directory's TTL.

        If no address answers, return the expired entries; raise ControlError if there are none.
        """
        cached = self._cache.get(service)
        if cached is not None and time.monotonic() < cached.expires_at:
            return cached.entries
        for address in self._known_addresses():
            answer = self._ask_directory(address, service)
            if answer is not None:
                self._cache[service] = answer
                return answer.entries
        if cached is not None:
            return cached.entries
        raise ControlError(
            errorcodes.AGENT_UNREACHABLE,
            f"No entry address answers for {service}.",
            "check the entry addresses and that a node is up",
        )

    def _submit_to(self, address: str, submission: Submission, sends: int) -> CallerAnswer:
        """Send until the outcome is known, no byte was written, or `max_sends` is reached.

        `sends` is the number of attempts made before; the result's `sends` includes it.
        """
        others = self._other_addresses(submission.service, address)
        addresses = itertools.chain([address], others)
        combined = _NOT_SENT
        while sends < self._settings.max_sends:
            combined = _combine(
                combined, self._send_submission(next(addresses, address), submission)
            )
            sends += 1
            if not combined.may_be_written:
                break
            if combined.answer is not None and combined.answer.kind is not OutcomeKind.UNKNOWN:
                break
            time.sleep(RESEND_PAUSE_S)
        return _to_caller_answer(combined, submission.key, sends)

    def _send_submission(self, address: str, submission: Submission) -> _SendResult:
        headers = {"Idempotency-Key": submission.key, "Toucan-Token": submission.token}
        return self._send(address, submission.method, submission.path, submission.body, headers)

    def _send(
        self, address: str, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> _SendResult:
        headers = headers | {"Toucan-Account": self._settings.account}
        try:
            response = self._pool.request(
                method,
                f"http://{address}{path}",
                body=body or None,
                headers=headers,
                timeout=urllib3.Timeout(1.0, self._settings.timeout_s),
            )
        except (NewConnectionError, ConnectTimeoutError):
            return _SendResult(None, may_be_written=False)
        except HTTPError:
            return _SendResult(None)
        return _SendResult(_parse_answer(response))

    def _ask_directory(self, address: str, service: str) -> _CachedEntries | None:
        try:
            response = self._pool.request(
                "GET", f"http://{address}/.toucan/directory/{service}", timeout=1.0
            )
            body: Any = response.json() if response.status == 200 else None
            if body is None:
                return None
            entries = [DirectoryEntry(e["address"], e["token"]) for e in body["entries"]]
            return _CachedEntries(entries, time.monotonic() + float(body["ttl_s"]))
        except (HTTPError, ValueError, KeyError, TypeError):
            return None

    def _rotated_entries(self, service: str) -> list[DirectoryEntry]:
        entries = self.entries(service)
        if not entries:
            return []
        start = next(self._rotation) % len(entries)
        return entries[start:] + entries[:start]

    def _other_addresses(self, service: str, address: str) -> list[str]:
        return [e.address for e in self.entries(service) if e.address != address]

    def _known_addresses(self) -> list[str]:
        cached = [e.address for known in self._cache.values() for e in known.entries]
        return list(dict.fromkeys([*cached, *self._settings.entry_addresses]))


def _parse_answer(response: urllib3.BaseHTTPResponse) -> CallerAnswer:
    try:
        kind = OutcomeKind(response.headers.get("Toucan-Outcome", ""))
    except ValueError:
        kind = OutcomeKind.UNKNOWN
    code = response.headers.get("Toucan-Error", "")
    return CallerAnswer(kind, response.status, response.data, code)


def _is_retryable(answer: CallerAnswer) -> bool:
    return answer.kind is OutcomeKind.UNKNOWN or answer.code in RETRYABLE_NOT_RUN


def _combine(earlier: _SendResult, later: _SendResult) -> _SendResult:
    """Combine two attempts of one request: the newest answer, and whether either was written."""
    return _SendResult(
        later.answer or earlier.answer, earlier.may_be_written or later.may_be_written
    )


def _to_caller_answer(attempt: _SendResult, key: str, sends: int) -> CallerAnswer:
    if attempt.answer is not None:
        return replace(attempt.answer, key=key, sends=sends)
    if attempt.may_be_written:
        return CallerAnswer(OutcomeKind.UNKNOWN, 504, b"", "", key, sends)
    return CallerAnswer(
        OutcomeKind.NOT_RUN, 503, b"", errorcodes.AGENT_UNREACHABLE.name, key, sends
    )
