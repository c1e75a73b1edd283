"""The member table of one agent: merging, suspicion, refutation, tombstones and anti-entropy.

The protocol is SWIM with incarnations.  A record is ordered by (LEFT or not, version, state);
of two records of one incarnation the higher one wins, on every node alike:

- Only the member's own agent raises its version, and only it says LIVE, LEAVING or LEFT.
- Another node may say SUSPECT or, after `suspicion_s`, DEAD of the version it knows; the member
  refutes by raising its version.  LEFT is final.
- The agent that owns an agent address declares every other incarnation at that address DEAD: a
  process that reuses an address is another incarnation.  It waits `disown_grace_s` after its
  own start, because its proxy may have outlived its predecessor.

A member that this node holds DEAD and a peer holds
alive is rechecked by a direct ping, never taken over unasked in either direction; so two halves
that were cut apart join again without declaring each other's members dead.

DEAD and LEFT members stay as tombstones for `tombstone_s`, and at most `max_members` records are
kept: the oldest tombstones go first.  The digest covers incarnation and version of the members
that are neither DEAD nor LEFT, so tombstones that lapse at different times don't make it differ.
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
    GONE,
    check_member,
    compact,
    hash_of,
    is_compact,
    same_facts,
    supersedes,
    with_state,
)

SUSPICION_PROBES: Final = 4
MAX_DISOWNED: Final = 256


@dataclass(frozen=True)
class MembershipSettings:
    """Settings of the member table; times in seconds."""

    agent_address: str
    probe_interval_s: float
    tombstone_s: float
    disown_grace_s: float = 3.0
    max_members: int = 4096


@dataclass
class MemberRecord:
    """A member with what this node noted about it."""

    member: Member
    changed_at: float


@dataclass
class ExchangeAnswer:
    """What an exchange of tables yields for the peer."""

    full: list[Member] = field(default_factory=list)
    wanted: list[Member] = field(default_factory=list)


class Membership:
    """The members that one agent knows.

    Invariants: a record is only replaced by one that supersedes it; `_digest` is the XOR of
    the hashes of all members not gone; the own member's record is never replaced by a peer's.
    """

    def __init__(self, settings: MembershipSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._records: dict[str, MemberRecord] = {}
        self._own = ""
        self._digest = 0
        self._rechecks: dict[str, None] = {}
        self._disown_from = clock.now() + settings.disown_grace_s
        self._disowned_versions: dict[str, int] = {}
        self.queue = GossipQueue()
        self.changes = 0
        self.state_changes = 0
        self.evictions = 0
        self.refused_full = 0

    @property
    def own(self) -> Member | None:
        """The own member as others should see it, or None while there is no proxy."""
        record = self._records.get(self._own)
        return record.member if record else None

    @property
    def digest(self) -> bytes:
        """Digest of incarnation and version of the members that aren't gone."""
        return self._digest.to_bytes(DIGEST_BYTES, "big")

    def suspicion_s(self) -> float:
        """Return how long a suspected member has to refute."""
        scale = max(1.0, math.log10(len(self._records) + 1))
        return SUSPICION_PROBES * self._settings.probe_interval_s * scale

    def find(self, incarnation: str) -> Member | None:
        """Return the record of an incarnation, or None."""
        record = self._records.get(incarnation)
        return record.member if record else None

    def all_members(self) -> list[Member]:
        """Return every record, tombstones included."""
        return [record.member for record in self._records.values()]

    def present_members(self) -> list[Member]:
        """Return the members that are neither DEAD nor LEFT, the own one included."""
        return [m for m in self.all_members() if m.state not in GONE]

    def live_members(self) -> list[Member]:
        """Return the members in state LIVE, the own one included."""
        return [m for m in self.all_members() if m.state == LIVE]

    def peers(self) -> list[Member]:
        """Return the members to probe: all that are present at another agent."""
        own_address = self._settings.agent_address
        return [m for m in self.present_members() if m.agent_address != own_address]

    def dead_peers(self) -> list[Member]:
        """Return the DEAD members at addresses where no other incarnation is present."""
        taken = {m.agent_address for m in self.present_members()}
        taken.add(self._settings.agent_address)
        return [m for m in self.all_members() if m.state == DEAD and m.agent_address not in taken]

    # The own member.

    def set_own(self, member: Member) -> None:
        """Adopt what this host's proxy says of itself; a previous incarnation is gone."""
        if self._own and self._own != member.incarnation:
            self.retire_own()
        known = self.find(member.incarnation)
        if known is not None and known.state == LEFT:
            return
        was_own = self._own == member.incarnation
        self._own = member.incarnation
        unlisted = was_own and known is not None and known.state == SUSPECT
        state = SUSPECT if unlisted and member.state == LIVE else member.state
        if was_own and known is not None and known.state == state and same_facts(known, member):
            return
        highest = max(member.version, known.version if known else 0)
        highest = max(highest, self._disowned_versions.pop(member.incarnation, 0))
        self._store(with_state(member, state, highest + 1))
        self._disown_all()

    def set_own_state(self, state: MemberState.ValueType) -> None:
        """Change the state of the own member, with a raised version."""
        own = self.own
        if own is None or own.state in {state, LEFT}:
            return
        self._store(with_state(own, state, own.version + 1))

    def retire_own(self) -> None:
        """Declare the own member DEAD unless it LEFT or is LEAVING; there is no own one after."""
        own = self.own
        self._own = ""
        if own is not None and own.state not in {LEFT, LEAVING, DEAD}:
            self._store(with_state(own, DEAD, own.version + 1))

    def finish_leaving(self, incarnation: str) -> None:
        """Declare a member DEAD that was LEAVING when its proxy ended without LEFT."""
        member = self.find(incarnation)
        if member is not None and member.state == LEAVING and incarnation != self._own:
            self._store(with_state(member, DEAD, member.version + 1))

    # What others say.

    def merge(self, updates: Iterable[Member]) -> None:
        """Take in full records from a peer; raise ControlError if one is malformed."""
        received = list(updates)
        for update in received:
            check_member(update)
        for update in received:
            if is_compact(update):
                self._merge_compact(update)
            else:
                self._merge_one(update)

    def hear_belief(self, belief: Member) -> Member | None:
        """Take in what a peer believes of a member at this address; return what refutes it.

        Raises ControlError if the belief is malformed.
        """
        check_member(belief)
        own = self.own
        if own is None and self._clock.now() < self._disown_from:
            return None
        if own is None or belief.incarnation != own.incarnation:
            return self._disown(belief)
        self._refute(belief)
        refuted = self.own
        return refuted if refuted is not None and supersedes(refuted, belief) else None

    def suspect(self, incarnation: str) -> None:
        """Suspect a member that didn't answer."""
        member = self.find(incarnation)
        if member is None or incarnation == self._own or member.state not in {LIVE, LEAVING}:
            return
        self._store(with_state(member, SUSPECT, member.version))

    def expire(self) -> None:
        """Declare lapsed suspects DEAD, and forget lapsed tombstones and what is over the bound."""
        self._disown_all()
        now = self._clock.now()
        limit = now - self.suspicion_s()
        for incarnation, record in list(self._records.items()):
            state = record.member.state
            if state == SUSPECT and incarnation != self._own and record.changed_at <= limit:
                self._store(with_state(record.member, DEAD, record.member.version))
            elif state in GONE and record.changed_at <= now - self._settings.tombstone_s:
                self._forget(incarnation)
        self._evict()

    def take_recheck(self) -> Member | None:
        """Return a member held DEAD here and alive at a peer, to be pinged; or None."""
        while self._rechecks:
            incarnation = next(iter(self._rechecks))
            del self._rechecks[incarnation]
            member = self.find(incarnation)
            if member is not None and member.state == DEAD:
                return member
        return None

    # Anti-entropy.

    def compact_table(self) -> list[Member]:
        """Return what this node knows but for DEAD members, in compact form."""
        return [compact(m) for m in self.all_members() if m.state != DEAD]

    def answer_exchange(self, entries: Iterable[Member]) -> ExchangeAnswer:
        """Compare a peer's compact table with this one; raise ControlError if it is malformed."""
        answer = ExchangeAnswer()
        listed: dict[str, Member] = {entry.incarnation: entry for entry in entries}
        for entry in listed.values():
            check_member(entry)
        for entry in listed.values():
            known = self.find(entry.incarnation)
            if known is None or supersedes(entry, known):
                answer.wanted.append(compact(entry))
            self._note_claim(entry, known)
        for member in self.all_members():
            entry_or_none = listed.get(member.incarnation)
            if member.state == DEAD:
                continue
            if entry_or_none is None or supersedes(member, entry_or_none):
                answer.full.append(member)
        return answer

    def full_records(self, wanted: Iterable[Member]) -> list[Member]:
        """Return the full records that a peer asked for, but for DEAD ones."""
        found = [self.find(entry.incarnation) for entry in wanted if is_compact(entry)]
        return [member for member in found if member is not None and member.state != DEAD]

    # Changing the table.

    def _merge_one(self, update: Member) -> None:
        if update.incarnation == self._own:
            self._refute(update)
            return
        if update.agent_address == self._settings.agent_address and self._may_disown():
            self._disown(update)
            return
        record = self._records.get(update.incarnation)
        if record is None and len(self._records) >= self._settings.max_members:
            self.refused_full += 1
            return
        if record is None or supersedes(update, record.member):
            copied = Member()
            copied.CopyFrom(update)
            self._store(copied)
        self._note_claim(update, record.member if record else None)

    def _merge_compact(self, update: Member) -> None:
        known = self.find(update.incarnation)
        if known is None or update.incarnation == self._own or update.state != DEAD:
            return
        if supersedes(update, known):
            self._store(with_state(known, DEAD, update.version))

    def _may_disown(self) -> bool:
        return bool(self._own) or self._clock.now() >= self._disown_from

    def _disown_all(self) -> None:
        if not self._may_disown():
            return
        for member in self.all_members():
            at_own_address = member.agent_address == self._settings.agent_address
            if at_own_address and member.incarnation != self._own:
                self._disown(member)

    def _refute(self, belief: Member) -> None:
        own = self.own
        if own is None or belief.state == LEFT or not supersedes(belief, own):
            return
        self._store(with_state(own, own.state, belief.version + 1))

    def _disown(self, belief: Member) -> Member | None:
        known = self.find(belief.incarnation)
        if known is not None and known.state in GONE | {LEAVING}:
            return known
        if belief.state in GONE:
            return None
        base = known or belief
        dead = with_state(base, DEAD, max(base.version, belief.version) + 1)
        if len(self._disowned_versions) < MAX_DISOWNED:
            self._disowned_versions[dead.incarnation] = dead.version
        if not is_compact(dead):
            self._store(dead)
        return dead

    def _note_claim(self, claim: Member, known: Member | None) -> None:
        if known is None or known.state != DEAD or claim.state in GONE:
            return
        if claim.version == known.version:
            self._rechecks[claim.incarnation] = None

    def _store(self, member: Member) -> None:
        old = self._records.get(member.incarnation)
        if old is not None:
            self._digest ^= hash_of(old.member)
        if old is None or old.member.state != member.state:
            self.state_changes += 1
        self._records[member.incarnation] = MemberRecord(member, self._clock.now())
        self._digest ^= hash_of(member)
        self.changes += 1
        self.queue.push(member)

    def _forget(self, incarnation: str) -> None:
        record = self._records.pop(incarnation)
        self._digest ^= hash_of(record.member)
        self.queue.drop(incarnation)
        self.changes += 1
        self.state_changes += 1

    def _evict(self) -> None:
        excess = len(self._records) - self._settings.max_members
        if excess <= 0:
            return
        candidates = [
            (record.member.state == LEFT, record.changed_at, incarnation)
            for incarnation, record in self._records.items()
            if record.member.state in GONE | {SUSPECT} and incarnation != self._own
        ]
        for _, _, incarnation in sorted(candidates)[:excess]:
            self._forget(incarnation)
            self.evictions += 1
