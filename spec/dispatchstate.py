"""States of the dispatch specification; dispatch.py defines the steps between them."""

from enum import IntEnum
from typing import Final, NamedTuple

MAX_COPIES: Final = 4
MAX_DISPATCHES: Final = 2


class RecordState(IntEnum):
    """State of the issuer's record of the request."""

    NONE = 0
    BEGUN = 1
    DISPATCHED = 2  # dispatch recorded, first byte not yet written
    WRITTEN = 3
    NOT_RUN = 4
    UNKNOWN = 5
    ANSWERED = 6


class IssuerState(IntEnum):
    """State of the process that issued the token."""

    OPEN = 0
    CLOSED = 1  # creates no new records
    HANDED_OVER = 2
    EXITED = 3
    REPLACED = 4  # another incarnation runs at the same address


class TokenAge(IntEnum):
    """Age of the token, measured by the issuer's clock."""

    VALID = 0
    EXPIRED = 1
    RECORDS_EVICTABLE = 2  # records under the token may have been evicted


class Reply(IntEnum):
    """Reply in transit from a target to the issuer."""

    NONE = 0
    ANSWER = 1
    REFUSAL = 2


class InheritedState(IntEnum):
    """What the records inherited from the issuer tell the successor about the request."""

    NOTHING = 0
    PARTIAL = 1  # the hand-over isn't complete
    ABSENT = 2  # complete, lists the token, and has no record of the request
    NOT_LISTED = 3  # complete, has no record, and doesn't list the token
    NOT_RUN = 4
    UNKNOWN = 5
    ANSWERED = 6


class State(NamedTuple):
    """One state of the protocol.

    `copies_to_issuer`, `copies_to_other`: copies of the request in transit to either node.
    `requests_at_targets`: dispatched requests that targets have neither run nor shed.
    `threads_past_check`: threads that checked the expiry but haven't created the record; nonzero
    only without the guard EXPIRY_INSIDE_BEGIN.
    `reported_not_run`: some answer stated that the request wasn't run.
    """

    sends_left: int = MAX_COPIES
    copies_to_issuer: int = 0
    copies_to_other: int = 0
    issuer: IssuerState = IssuerState.OPEN
    record: RecordState = RecordState.NONE
    token_age: TokenAge = TokenAge.VALID
    has_capacity: bool = True
    token_closed: bool = False
    threads_past_check: int = 0
    dispatches_left: int = MAX_DISPATCHES
    requests_at_targets: int = 0
    reply: Reply = Reply.NONE
    inherited: InheritedState = InheritedState.NOTHING
    runs: int = 0
    reported_not_run: bool = False
