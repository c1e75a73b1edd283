"""Member records: their order, the validation of received records, and their compact form.

A full record describes a member.  A compact record holds only incarnation, version and state, so
it is useful only to a receiver that already knows the member.
"""

from hashlib import blake2b
from typing import Final

from toucanspindle_core import errorcodes
from toucanspindle_core.control_pb2 import DEAD, LEAVING, LEFT, LIVE, SUSPECT, Member, MemberState
from toucanspindle_core.errors import ControlError
from toucanspindle_core.hostport import HostPort

DIGEST_BYTES: Final = 16
MAX_TEXT_CHARS: Final = 256
MAX_TOKEN_CHARS: Final = 1024
MAX_VERSION: Final = 2**48
GONE_STATES: Final = frozenset({DEAD, LEFT})

_STATE_PRECEDENCE: Final = {LIVE: 1, LEAVING: 2, SUSPECT: 3, DEAD: 4, LEFT: 5}


def supersedes(new: Member, old: Member) -> bool:
    """Return whether `new` replaces `old`, a record of the same incarnation."""
    return _order_key(new) > _order_key(old)


def _order_key(member: Member) -> tuple[bool, int, int]:
    return (member.state == LEFT, member.version, _STATE_PRECEDENCE[member.state])


def check_member(member: Member) -> None:
    """Raise ControlError if a record from a peer is malformed."""
    if not 0 < len(member.incarnation) <= MAX_TEXT_CHARS:
        raise _malformed("a member's incarnation is empty or too long")
    if member.state not in _STATE_PRECEDENCE or member.version > MAX_VERSION:
        raise _malformed(f"a member's state {member.state} or version is out of range")
    if not is_compact(member):
        _check_full(member)


def _check_full(member: Member) -> None:
    try:
        for address in (member.entry_address, member.proxy_control_address, member.agent_address):
            HostPort.parse(address)
    except ValueError as error:
        raise _malformed(str(error)) from error
    if not all(0 < len(t) <= MAX_TEXT_CHARS for t in (member.node, member.failure_domain)):
        raise _malformed("a member's name or failure domain is empty or too long")
    if len(member.token) > MAX_TOKEN_CHARS or len(member.successor) > MAX_TEXT_CHARS:
        raise _malformed("a member's token or successor is too long")


def is_compact(member: Member) -> bool:
    """Return whether a record holds only incarnation, version and state."""
    return not member.node


def compact(member: Member) -> Member:
    """Return the compact form of a record."""
    return Member(incarnation=member.incarnation, version=member.version, state=member.state)


def digest_hash(member: Member) -> int:
    """Return the hash of a member for the digest of a table; 0 if it is DEAD or LEFT."""
    if member.state in GONE_STATES:
        return 0
    data = f"{member.incarnation}\0{member.version}".encode()
    return int.from_bytes(blake2b(data, digest_size=DIGEST_BYTES).digest(), "big")


def with_state(member: Member, state: MemberState.ValueType, version: int) -> Member:
    """Return a copy of a record with the given state and version."""
    changed = Member()
    changed.CopyFrom(member)
    changed.state = state
    changed.version = version
    return changed


def same_description(known: Member, reported: Member) -> bool:
    """Return whether two records of one incarnation agree on addresses, token and successor."""
    fields = ("entry_address", "proxy_control_address", "agent_address", "token", "successor")
    return all(getattr(known, name) == getattr(reported, name) for name in fields)


def _malformed(text: str) -> ControlError:
    return ControlError(
        errorcodes.PEER_MALFORMED,
        f"A peer sent a malformed member record: {text}.",
        "check that all agents run the same release",
    )
