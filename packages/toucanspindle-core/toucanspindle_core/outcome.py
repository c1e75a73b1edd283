"""The three outcomes of a request.

*Answered*: the caller gets the target's whole answer.  *Not run*: no target ran the request, and
none will run it under the same account, token and key.  *Unknown*: a target may have run it.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from toucanspindle_core.errorcodes import ErrorCode
from toucanspindle_core.errors import RequestError

UNKNOWN_HTTP_STATUS: Final = 504


class OutcomeKind(Enum):
    """Outcome reported to the caller; the value is the text of the header `Toucan-Outcome`."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Outcome:
    """The outcome of one request, as stored in its record and sent to the caller.

    Invariants: `error_code` is None if and only if `kind` is ANSWERED; UNKNOWN has HTTP status
    504, and NOT_RUN has any other status of 400 or above.
    """

    kind: OutcomeKind
    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    error_code: ErrorCode | None = None
    text: str = ""
    remedy: str = ""

    @property
    def size_bytes(self) -> int:
        """Approximate memory use of the headers, the body and the texts, in bytes."""
        headers = sum(len(name) + len(value) for name, value in self.headers)
        return headers + len(self.body) + len(self.text) + len(self.remedy)

    @classmethod
    def answered(cls, status: int, headers: tuple[tuple[str, str], ...], body: bytes) -> "Outcome":
        """Return an ANSWERED outcome with the target's whole answer."""
        return cls(OutcomeKind.ANSWERED, status, headers, body)

    @classmethod
    def from_error(cls, error: RequestError) -> "Outcome":
        """Return the outcome for an error: UNKNOWN if its status is 504, else NOT_RUN."""
        status = error.code.http_status
        kind = OutcomeKind.UNKNOWN if status == UNKNOWN_HTTP_STATUS else OutcomeKind.NOT_RUN
        return cls(kind, status, error_code=error.code, text=error.text, remedy=error.remedy)
