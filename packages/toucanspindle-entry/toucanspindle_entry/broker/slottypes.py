"""Data types of the slot protocol between a host and the broker of a service."""

from dataclasses import dataclass
from enum import Enum

from toucanspindle_entry.targets.targethealth import AttemptOutcome
from toucanspindle_entry.targets.targetnotices import TargetNotice


class RefusalReason(Enum):
    """Why the broker refuses a slot request; the values are sent and logged."""

    OVERLOADED = "overloaded"  # the expected wait is too long, or the queue is full
    NO_TARGET = "no-target"  # no ready target is left to try
    RETRY_BUDGET_EXHAUSTED = "no-retry"  # the retry budget of the service is exhausted
    POISON = "poison"  # the request has crashed several targets
    TOO_LATE = "too-late"  # the deadline has passed, or the request has ended


@dataclass(frozen=True)
class SlotRequest:
    """A host's request for a slot, for one attempt.

    `id` is unique over all hosts and attempts.  `failure_domain` is that of the host.
    `time_left_s` is the time until the deadline and `goal_left_s` the time until the route's
    latency goal, in seconds.  `excluded` names the targets that get no further attempt, since they
    failed an earlier one or have left.  `can_retry` is true if another attempt can follow when this
    one fails.  `fingerprint` is equal for equal requests and identifies poison messages.
    `retry_credit` is added to the broker's retry budget, in retries.

    `account` names the client account, or is empty.  Its priority goes before that of the route,
    and its weight is its share of scarce slots relative to the other accounts; 0 is that of the
    heaviest one.  `body_bytes` is the
    size of the request's body.  If `allowed_targets` isn't empty, the attempt may use only these.
    `rejected_before` counts the requests for the service that the host has rejected, since their
    accounts were over their quota, since its last slot request.  `is_hedge` is true for a second
    attempt beside one that is in progress.
    """

    id: str
    host: str
    failure_domain: str
    priority: int
    time_left_s: float
    goal_left_s: float
    is_retry: bool
    can_retry: bool
    excluded: tuple[str, ...]
    fingerprint: str
    retry_credit: float = 0.0
    account: str = ""
    account_priority: int = 0
    account_weight: float = 1.0
    body_bytes: int = 0
    allowed_targets: tuple[str, ...] = ()
    rejected_before: int = 0
    is_hedge: bool = False


@dataclass(frozen=True)
class Grant:
    """A granted slot.

    `unhealthy_probability` is the broker's estimate for the target, last updated `estimate_age_s`
    seconds ago.  `retry_wait_s` is how long a retry was queued; it is None for a first attempt and
    for a resent grant.  `hedge_after_s` is how long the attempt runs before it may be hedged, or
    None if it may not.
    """

    slot_request_id: str
    host: str
    target: str
    unhealthy_probability: float
    estimate_age_s: float
    retry_wait_s: float | None = None
    hedge_after_s: float | None = None


@dataclass(frozen=True)
class Refused:
    """A refused slot request; the caller should retry after `retry_after_s` seconds."""

    slot_request_id: str
    host: str
    reason: RefusalReason
    retry_after_s: float


@dataclass(frozen=True)
class Queued:
    """A slot request that waits in the broker's queue; a grant or a refusal follows."""

    slot_request_id: str
    host: str


Decision = Grant | Refused | Queued


@dataclass(frozen=True)
class AttemptReport:
    """The outcome of an attempt; `work_s` is the time in seconds that it took at the target.

    `notice` is what the target said of itself, if it sent a response.
    """

    slot_request_id: str
    target: str
    outcome: AttemptOutcome
    work_s: float
    fingerprint: str
    notice: TargetNotice | None = None
