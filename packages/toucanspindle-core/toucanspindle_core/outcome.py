"""The three outcomes that a request can have.

*Answered*: the caller gets the target's whole answer.  *Not run*: no target ran the request, and
none will under the same account, token and key.  *Unknown*: a target may have run it.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from toucanspindle_core.errorcodes import ErrorCode
from toucanspindle_core.errors import RequestError

UNKNOWN_HTTP_STATUS: Final = 504


class OutcomeKind(Enum):
    """What a caller is told about its request; the value is the text of `Toucan-Outcome`."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Outcome:
    """The outcome of one request, as it is kept in a record and told to the caller.

    Invariant: `error_code` is None exactly for ANSWERED; UNKNOWN has status 504 and NOT_RUN any
    other status from 400 on.
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
        """Approximate memory that the headers, the body and the texts take."""
        headers = sum(len(name) + len(value) for name, value in self.headers)
        return headers + len(self.body) + len(self.text) + len(self.remedy)

    @classmethod
    def answered(cls, status: int, headers: tuple[tuple[str, str], ...], body: bytes) -> "Outcome":
        """Return the outcome for a target's whole answer."""
        return cls(OutcomeKind.ANSWERED, status, headers, body)

    @classmethod
    def from_error(cls, error: RequestError) -> "Outcome":
        """Return the outcome that an error stands for: UNKNOWN for status 504, else NOT_RUN."""
        status = error.code.http_status
        kind = OutcomeKind.UNKNOWN if status == UNKNOWN_HTTP_STATUS else OutcomeKind.NOT_RUN
        return cls(kind, status, error_code=error.code, text=error.text, remedy=error.remedy)
