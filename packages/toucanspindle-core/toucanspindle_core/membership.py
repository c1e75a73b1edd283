"""Member table of one agent: merging, suspicion, refutation, tombstones and anti-entropy.

The protocol is SWIM with incarnations.  Records are ordered by (is LEFT, version, state).  Of two
records of one incarnation every node keeps the higher one.

- Only the member's own agent declares it LIVE, LEAVING or LEFT and raises its version.
- Another node may declare the version that it knows SUSPECT and, after `suspicion_s`, DEAD.  The
  member refutes this by raising its version.  LEFT is final.
- A process that reuses an address is a new incarnation.  The agent that owns an agent address
  therefore declares every other incarnation at that address stale: it is DEAD.  The agent waits
  `stale_grace_s` after its start, because its proxy may have outlived the previous agent process.

If a member is DEAD in this table and present in a peer's, neither node adopts the other's record.
This node rechecks the member by a direct ping.  The two sides of a network partition therefore
rejoin without declaring each other's members DEAD.

DEAD and LEFT records are kept as tombstones for `tombstone_s`.  A table with `max_members` records
refuses new members.  If it has more, the oldest DEAD and SUSPECT records are evicted first, then
the oldest LEFT ones.  The digest covers incarnation and version of the members that are neither
DEAD nor LEFT, so that it doesn't depend on when each node drops a tombstone.

Suspicion removes a node from directory answers; it never decides what may run.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from toucanspindle_core.clock import Clock
from toucanspindle_core.control_pb2 import DEAD, LEAVING, LEFT, LIVE, SUSPECT, Member, MemberState
from toucanspindle_core.gossipqueue import GossipQueue
from toucanspindle_core.memberrecord import (
    DIGEST_BYTES,
    GONE_STATES,
    check_member,
    compact,
    digest_hash,
    is_compact,
    same_description,
    supersedes,
    with_state,
)

SUSPICION_PROBES: Final = 4
MAX_STALE_VERSIONS: Final = 256


@dataclass(frozen=True)
class MembershipSettings:
    """Settings of the member table; times in seconds.

    `stale_grace_s` is how long after its start an agent without a proxy waits before it declares
    other incarnations at its address DEAD.
    """

    agent_address: str
    probe_interval_s: float
    tombstone_s: float
    stale_grace_s: float = 3.0
    max_members: int = 4096


@dataclass
class MemberRecord:
    """A member and the time of this node's clock at which its record last changed."""

    member: Member
    changed_at: float


@dataclass
class ExchangeAnswer:
    """Answer to a peer's compact table.

    `full` holds the records, except DEAD ones, that the peer lacks or has in an older version.
    `wanted` holds compact records of the members whose full record this node requests.
    """

    full: list[Member] = field(default_factory=list)
    wanted: list[Member] = field(default_factory=list)


class Membership:
    """Members known to one agent; not thread-safe.

    Invariants: a record is only replaced by one that supersedes it; `_digest` is the XOR of
    the hashes of all members that are neither DEAD nor LEFT; the record of the own member is never
    replaced by one from a peer.
    """

    def __init__(self, settings: MembershipSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._records: dict[str, MemberRecord] = {}
        self._own_incarnation = ""
        self._digest = 0
        self._rechecks: dict[str, None] = {}
        self._declare_stale_from_s = clock.now() + settings.stale_grace_s
        self._stale_versions: dict[str, int] = {}
        self.gossip_queue = GossipQueue()
        self.change_count = 0
        self.state_change_count = 0
        self.evictions = 0
        self.refused_when_full = 0

    @property
    def own_member(self) -> Member | None:
        """Record of this host's proxy, or None while there is no proxy."""
        record = self._records.get(self._own_incarnation)
        return record.member if record else None

    @property
    def digest(self) -> bytes:
        """Digest of incarnation and version of the members that are neither DEAD nor LEFT."""
        return self._digest.to_bytes(DIGEST_BYTES, "big")

    def suspicion_s(self) -> float:
        """Return how long a SUSPECT member has to refute before it is declared DEAD, in seconds.

        The time grows with the logarithm of the number of records.
        """
        scale = max(1.0, math.log10(len(self._records) + 1))
        return SUSPICION_PROBES * self._settings.probe_interval_s * scale

    def find(self, incarnation: str) -> Member | None:
        """Return the record of an incarnation, or None if it is unknown."""
        record = self._records.get(incarnation)
        return record.member if record else None

    def all_members(self) -> list[Member]:
        """Return all records, including tombstones."""
        return [record.member for record in self._records.values()]

    def present_members(self) -> list[Member]:
        """Return the members that are neither DEAD nor LEFT, including the own member."""
        return [m for m in self.all_members() if m.state not in GONE_STATES]

    def live_members(self) -> list[Member]:
        """Return the members in state LIVE, including the own member."""
        return [m for m in self.all_members() if m.state == LIVE]

    def peers(self) -> list[Member]:
        """Return the members to probe: all present members at other agent addresses."""
        own_address = self._settings.agent_address
        return [m for m in self.present_members() if m.agent_address != own_address]

    def dead_peers(self) -> list[Member]:
        """Return the DEAD members at agent addresses without a present member."""
        taken = {m.agent_address for m in self.present_members()}
        taken.add(self._settings.agent_address)
        return [m for m in self.all_members() if m.state == DEAD and m.agent_address not in taken]

    # Own member.

    def set_own_member(self, member: Member) -> None:
        """Set the record that this host's proxy reports of itself.

        A previous incarnation of the proxy is declared DEAD.  The version is raised
        unless the record of the own member is unchanged.  A SUSPECT own member that is reported
        LIVE stays SUSPECT until `set_own_state` changes it.
        """
        if self._own_incarnation and self._own_incarnation != member.incarnation:
            self.retire_own_member()
        known = self.find(member.incarnation)
        if known is not None and known.state == LEFT:
            return
        was_own = self._own_incarnation == member.incarnation
        self._own_incarnation = member.incarnation
        was_suspect = was_own and known is not None and known.state == SUSPECT
        state = SUSPECT if was_suspect and member.state == LIVE else member.state
        if (
            was_own
            and known is not None
            and known.state == state
            and same_description(known, member)
        ):
            return
        highest = max(member.version, known.version if known else 0)
        highest = max(highest, self._stale_versions.pop(member.incarnation, 0))
        self._store(with_state(member, state, highest + 1))
        self._declare_all_stale()

    def set_own_state(self, state: MemberState.ValueType) -> None:
        """Change the state of the own member and raise its version; does nothing if it LEFT."""
        own = self.own_member
        if own is None or own.state in {state, LEFT}:
            return
        self._store(with_state(own, state, own.version + 1))

    def retire_own_member(self) -> None:
        """Remove the own member and declare it DEAD unless it is LEAVING or LEFT."""
        own = self.own_member
        self._own_incarnation = ""
        if own is not None and own.state not in {LEFT, LEAVING, DEAD}:
            self._store(with_state(own, DEAD, own.version + 1))

    def declare_dead_if_leaving(self, incarnation: str) -> None:
        """Declare a former own member DEAD if its proxy ended while LEAVING, without LEFT."""
        member = self.find(incarnation)
        if member is not None and member.state == LEAVING and incarnation != self._own_incarnation:
            self._store(with_state(member, DEAD, member.version + 1))

    # Updates from peers, suspicion and expiry.

    def merge(self, updates: Iterable[Member]) -> None:
        """Merge records from a peer.

        Raises ControlError, and merges none, if one of them is malformed.
        """
        received = list(updates)
        for update in received:
            check_member(update)
        for update in received:
            if is_compact(update):
                self._merge_compact(update)
            else:
                self._merge_record(update)

    def handle_belief(self, peer_record: Member) -> Member | None:
        """Process the record that a peer has of a member at this agent's address.

        Returns the record that refutes it, or None if there is nothing to refute.  Raises
        ControlError if the record is malformed.
        """
        check_member(peer_record)
        own = self.own_member
        if own is None and self._clock.now() < self._declare_stale_from_s:
            return None
        if own is None or peer_record.incarnation != own.incarnation:
            return self._declare_stale(peer_record)
        self._refute(peer_record)
        refuted = self.own_member
        return refuted if refuted is not None and supersedes(refuted, peer_record) else None

    def suspect(self, incarnation: str) -> None:
        """Declare a LIVE or LEAVING member SUSPECT because it didn't answer."""
        member = self.find(incarnation)
        if (
            member is None
            or incarnation == self._own_incarnation
            or member.state not in {LIVE, LEAVING}
        ):
            return
        self._store(with_state(member, SUSPECT, member.version))

    def expire(self) -> None:
        """Declare timed-out suspects DEAD; drop expired tombstones and records above the limit."""
        self._declare_all_stale()
        now = self._clock.now()
        suspected_before = now - self.suspicion_s()
        for incarnation, record in list(self._records.items()):
            state = record.member.state
            if (
                state == SUSPECT
                and incarnation != self._own_incarnation
                and record.changed_at <= suspected_before
            ):
                self._store(with_state(record.member, DEAD, record.member.version))
            elif state in GONE_STATES and record.changed_at <= now - self._settings.tombstone_s:
                self._forget(incarnation)
        self._evict()

    def pop_recheck(self) -> Member | None:
        """Remove and return a DEAD member to ping because a peer has it as present, or None."""
        while self._rechecks:
            incarnation = next(iter(self._rechecks))
            del self._rechecks[incarnation]
            member = self.find(incarnation)
            if member is not None and member.state == DEAD:
                return member
        return None

    # Anti-entropy.

    def compact_table(self) -> list[Member]:
        """Return compact records of all members except DEAD ones."""
        return [compact(m) for m in self.all_members() if m.state != DEAD]

    def answer_exchange(self, entries: Iterable[Member]) -> ExchangeAnswer:
        """Compare a peer's compact table with this one; raises ControlError if it is malformed."""
        answer = ExchangeAnswer()
        listed: dict[str, Member] = {entry.incarnation: entry for entry in entries}
        for entry in listed.values():
            check_member(entry)
        for entry in listed.values():
            known = self.find(entry.incarnation)
            if known is None or supersedes(entry, known):
                answer.wanted.append(compact(entry))
            self._queue_recheck(entry, known)
        for member in self.all_members():
            peer_entry = listed.get(member.incarnation)
            if member.state == DEAD:
                continue
            if peer_entry is None or supersedes(member, peer_entry):
                answer.full.append(member)
        return answer

    def full_records(self, wanted: Iterable[Member]) -> list[Member]:
        """Return the full records that a peer requested, except DEAD ones."""
        found = [self.find(entry.incarnation) for entry in wanted if is_compact(entry)]
        return [member for member in found if member is not None and member.state != DEAD]

    # Changes of the table.

    def _merge_record(self, update: Member) -> None:
        if update.incarnation == self._own_incarnation:
            self._refute(update)
            return
        if update.agent_address == self._settings.agent_address and self._may_declare_stale():
            self._declare_stale(update)
            return
        record = self._records.get(update.incarnation)
        if record is None and len(self._records) >= self._settings.max_members:
            self.refused_when_full += 1
            return
        if record is None or supersedes(update, record.member):
            copied = Member()
            copied.CopyFrom(update)
            self._store(copied)
        self._queue_recheck(update, record.member if record else None)

    def _merge_compact(self, update: Member) -> None:
        known = self.find(update.incarnation)
        if known is None or update.incarnation == self._own_incarnation or update.state != DEAD:
            return
        if supersedes(update, known):
            self._store(with_state(known, DEAD, update.version))

    def _may_declare_stale(self) -> bool:
        return bool(self._own_incarnation) or self._clock.now() >= self._declare_stale_from_s

    def _declare_all_stale(self) -> None:
        if not self._may_declare_stale():
            return
        for member in self.all_members():
            at_own_address = member.agent_address == self._settings.agent_address
            if at_own_address and member.incarnation != self._own_incarnation:
                self._declare_stale(member)

    def _refute(self, peer_record: Member) -> None:
        """Raise the own version above a peer's record that supersedes the own one, except LEFT."""
        own = self.own_member
        if own is None or peer_record.state == LEFT or not supersedes(peer_record, own):
            return
        self._store(with_state(own, own.state, peer_record.version + 1))

    def _declare_stale(self, member: Member) -> Member | None:
        """Declare an incarnation at this agent's address DEAD with a higher version.

        Returns the DEAD record.  If this table has the member as LEAVING, DEAD or LEFT, returns
        that record unchanged.  Otherwise returns None if `member` itself is DEAD or LEFT.
        """
        known = self.find(member.incarnation)
        if known is not None and known.state in GONE_STATES | {LEAVING}:
            return known
        if member.state in GONE_STATES:
            return None
        base_record = known or member
        dead = with_state(base_record, DEAD, max(base_record.version, member.version) + 1)
        if len(self._stale_versions) < MAX_STALE_VERSIONS:
            self._stale_versions[dead.incarnation] = dead.version
        if not is_compact(dead):
            self._store(dead)
        return dead

    def _queue_recheck(self, peer_record: Member, known: Member | None) -> None:
        if known is None or known.state != DEAD or peer_record.state in GONE_STATES:
            return
        if peer_record.version == known.version:
            self._rechecks[peer_record.incarnation] = None

    def _store(self, member: Member) -> None:
        old = self._records.get(member.incarnation)
        if old is not None:
            self._digest ^= digest_hash(old.member)
        if old is None or old.member.state != member.state:
            self.state_change_count += 1
        self._records[member.incarnation] = MemberRecord(member, self._clock.now())
        self._digest ^= digest_hash(member)
        self.change_count += 1
        self.gossip_queue.push(member)

    def _forget(self, incarnation: str) -> None:
        record = self._records.pop(incarnation)
        self._digest ^= digest_hash(record.member)
        self.gossip_queue.drop(incarnation)
        self.change_count += 1
        self.state_change_count += 1

    def _evict(self) -> None:
        excess = len(self._records) - self._settings.max_members
        if excess <= 0:
            return
        candidates = [
            (record.member.state == LEFT, record.changed_at, incarnation)
            for incarnation, record in self._records.items()
            if record.member.state in GONE_STATES | {SUSPECT}
            and incarnation != self._own_incarnation
        ]
        for _, _, incarnation in sorted(candidates)[:excess]:
            self._forget(incarnation)
            self.evictions += 1
