"""A caller's side of the protocol: asks the directory, picks an address, resends safely.

For an idempotent request any failure leads to another address.  For any other request:

1. Take an entry of the directory's answer; its token and a fresh key name the request.
2. No connection: no byte was sent, so another entry with its own token may be used.
3. Answered: done.  Not run: done, or a new request (fresh key, fresh entry) if it may pass later.
4. Anything else may have run: send it again with the *same* key and token, to the same address
   or, when that can't be reached, to another one, which asks the issuer.
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
        errorcodes.AGENT_AWAY,
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
    """Settings of a caller; addresses are "IP:port", times in seconds."""

    account: str
    entry_addresses: tuple[str, ...]
    timeout_s: float = 5.0
    max_sends: int = 5


@dataclass(frozen=True)
class DirectoryEntry:
    """An address to use for a service, and the token that its node issues."""

    address: str
    token: str


@dataclass(frozen=True)
class CallerAnswer:
    """What a caller learns: the outcome, and the answer or the error."""

    kind: OutcomeKind
    status: int
    body: bytes
    code: str = ""
    key: str = ""
    sends: int = 1


@dataclass(frozen=True)
class Submission:
    """A request that must run at most once, with the names that every resend must repeat."""

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
class _Sent:
    """One sending: no answer when the connection failed; `written` if a byte may have been sent."""

    answer: CallerAnswer | None
    written: bool = True


_NOTHING_SENT: Final = _Sent(None, written=False)


class Caller:
    """Follows the protocol for one account; safe for use by several threads."""

    def __init__(self, settings: CallerSettings) -> None:
        """Create a caller that knows some entry addresses to begin with."""
        self._settings = settings
        self._pool = urllib3.PoolManager(maxsize=8, retries=False)
        self._cache: dict[str, _CachedEntries] = {}
        self._turn = itertools.count()

    def close(self) -> None:
        """Close all connections."""
        self._pool.clear()

    def look_up(self, service: str, path: str) -> CallerAnswer:
        """Send an idempotent GET, to other addresses as long as it fails."""
        last = _NOTHING_SENT
        for entry in self._entries_in_turn(service):
            sent = self._send(entry.address, "GET", path, b"", {})
            last = _later_of(last, sent)
            if sent.answer is not None and not _may_try_again(sent.answer):
                break
        return _conclude(last, "", 1)

    def submit(self, service: str, path: str, body: bytes, method: str = "POST") -> CallerAnswer:
        """Send a request that must run at most once.

        Resends it until its outcome is known or the settings' number of sends is used up.
        """
        answer = _conclude(_NOTHING_SENT, "", 0)
        sends = 0
        for entry in self._entries_in_turn(service):
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
        """Ask again for a request whose key and token are known, through any address."""
        last = _Sent(None, written=True)
        for sends, entry in enumerate(self._entries_in_turn(submission.service), 1):
            last = _later_of(last, self._send_submission(entry.address, submission))
            if last.answer is not None and last.answer.kind is not OutcomeKind.UNKNOWN:
                return _conclude(last, submission.key, sends)
        return _conclude(last, submission.key, self._settings.max_sends)

    def entries(self, service: str) -> list[DirectoryEntry]:
        """Return the entries of a service, asked for when the cached ones have expired.

        Raises ControlError when no entry address answers.
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
            errorcodes.AGENT_AWAY,
            f"No entry address answers for {service}.",
            "check the entry addresses and that a node is up",
        )

    def _submit_to(self, address: str, submission: Submission, sends: int) -> CallerAnswer:
        """Send until the outcome is known, or it is certain that no byte was sent."""
        others = self._other_addresses(submission.service, address)
        addresses = itertools.chain([address], others)
        last = _NOTHING_SENT
        while sends < self._settings.max_sends:
            last = _later_of(last, self._send_submission(next(addresses, address), submission))
            sends += 1
            if not last.written:
                break
            if last.answer is not None and last.answer.kind is not OutcomeKind.UNKNOWN:
                break
            time.sleep(RESEND_PAUSE_S)
        return _conclude(last, submission.key, sends)

    def _send_submission(self, address: str, submission: Submission) -> _Sent:
        headers = {"Idempotency-Key": submission.key, "Toucan-Token": submission.token}
        return self._send(address, submission.method, submission.path, submission.body, headers)

    def _send(
        self, address: str, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> _Sent:
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
            return _Sent(None, written=False)
        except HTTPError:
            return _Sent(None)
        return _Sent(_parse_answer(response))

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

    def _entries_in_turn(self, service: str) -> list[DirectoryEntry]:
        entries = self.entries(service)
        if not entries:
            return []
        start = next(self._turn) % len(entries)
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


def _may_try_again(answer: CallerAnswer) -> bool:
    return answer.kind is OutcomeKind.UNKNOWN or answer.code in RETRYABLE_NOT_RUN


def _later_of(earlier: _Sent, later: _Sent) -> _Sent:
    """Return what is known after two sendings of one request."""
    return _Sent(later.answer or earlier.answer, earlier.written or later.written)


def _conclude(sent: _Sent, key: str, sends: int) -> CallerAnswer:
    if sent.answer is not None:
        return replace(sent.answer, key=key, sends=sends)
    if sent.written:
        return CallerAnswer(OutcomeKind.UNKNOWN, 504, b"", "", key, sends)
    return CallerAnswer(OutcomeKind.NOT_RUN, 503, b"", errorcodes.AGENT_AWAY.name, key, sends)
