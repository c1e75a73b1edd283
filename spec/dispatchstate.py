"""States of the specification of dispatch; see dispatch.py."""

from enum import IntEnum
from typing import Final, NamedTuple

MAX_COPIES: Final = 4
MAX_DISPATCHES: Final = 2


class Record(IntEnum):
    """The issuer's record of the request."""

    NONE = 0
    BEGUN = 1
    DISPATCHED = 2  # marked, first byte not yet written
    WRITTEN = 3
    NOT_RUN = 4
    UNKNOWN = 5
    ANSWERED = 6


class Issuer(IntEnum):
    """The process that issued the token."""

    UP = 0
    CLOSED = 1  # begins no record
    HANDED_OVER = 2
    GONE = 3
    REPLACED = 4  # another incarnation runs at the same address


class Age(IntEnum):
    """Age of the token by the issuer's clock."""

    VALID = 0
    EXPIRED = 1
    FORGOTTEN = 2  # the earliest record under it may have been evicted


class Reply(IntEnum):
    """What is on its way from a target to the issuer."""

    NONE = 0
    ANSWER = 1
    REFUSAL = 2


class Inherited(IntEnum):
    """What the successor holds of the issuer."""

    NOTHING = 0
    PARTIAL = 1
    ABSENT = 2  # complete, covers the token, and has no record of the request
    NOT_COVERED = 3  # complete, has no record, and doesn't cover the token
    NOT_RUN = 4
    UNKNOWN = 5
    ANSWERED = 6


class State(NamedTuple):
    """One state.

    `to_issuer`, `to_other`: copies under way; `at_target`: dispatches under way to targets;
    `checked`: threads between check and record, in use only when these are apart.
    """

    sends_left: int = MAX_COPIES
    to_issuer: int = 0
    to_other: int = 0
    issuer: Issuer = Issuer.UP
    record: Record = Record.NONE
    age: Age = Age.VALID
    has_room: bool = True
    token_closed: bool = False
    checked: int = 0
    dispatches_left: int = MAX_DISPATCHES
    at_target: int = 0
    reply: Reply = Reply.NONE
    inherited: Inherited = Inherited.NOTHING
    runs: int = 0
    told_not_run: bool = False
