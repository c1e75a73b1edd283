"""What a host and the broker of a service say to each other of slots, as plain data."""

from dataclasses import dataclass
from enum import Enum

from toucanspindle_entry.posterior import AttemptEnd


class RefusalReason(Enum):
    """Why a request gets no slot."""

    OVERLOADED = "overloaded"
    NO_TARGET = "no-target"
    NO_RETRY = "no-retry"
    POISON = "poison"
    TOO_LATE = "too-late"


@dataclass(frozen=True)
class SlotAsk:
    """A host's wish for a slot.

    `id` is unique over all hosts and attempts; `failure_domain` is the host's.  Times are seconds
    that are left: until the answer is of no use at all, and until it is of less use.  `excluded`
    are targets tried before.  `may_repeat` tells that another attempt can follow if this one fails.
    """

    id: str
    host: str
    failure_domain: str
    priority: int
    time_left_s: float
    goal_left_s: float
    is_retry: bool
    may_repeat: bool
    excluded: tuple[str, ...]
    fingerprint: str


@dataclass(frozen=True)
class Grant:
    """A slot for an ask; `sick` is the belief of the target, last changed `sick_age_s` ago."""

    ask_id: str
    host: str
    target: str
    sick: float
    sick_age_s: float


@dataclass(frozen=True)
class Refused:
    """An ask that gets no slot; `retry_after_s` is when it is worth coming back."""

    ask_id: str
    host: str
    reason: RefusalReason
    retry_after_s: float


@dataclass(frozen=True)
class Queued:
    """An ask that waits."""

    ask_id: str
    host: str


Decision = Grant | Refused | Queued


@dataclass(frozen=True)
class AttemptReport:
    """How a granted attempt ended; `work_s` is its time at the target."""

    ask_id: str
    target: str
    end: AttemptEnd
    work_s: float
    fingerprint: str
