"""Tests of the member table: merging, suspicion, refutation, tombstones and anti-entropy."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from toucanspindle_core import errorcodes
from toucanspindle_core.clock import ManualClock
from toucanspindle_core.control_pb2 import DEAD, LEAVING, LEFT, LIVE, SUSPECT, Member
from toucanspindle_core.errors import ControlError
from toucanspindle_core.gossipqueue import GossipQueue, transmissions
from toucanspindle_core.memberrecord import compact, with_state
from toucanspindle_core.membership import Membership, MembershipSettings

OWN_ADDRESS = "127.0.0.1:7000"
TOMBSTONE_S = 100.0


def make_member(name: str, version: int = 1, state: int = LIVE, port: int = 0) -> Member:
    """Return a full record; the agent port is derived from the name unless given."""
    port = port or 7100 + ord(name[0])
    return Member(
        node=f"entry-{name}",
        incarnation=f"incarnation-{name}",
        failure_domain="beaufort",
        entry_address=f"127.0.0.1:{port + 1000}",
        proxy_control_address=f"127.0.0.1:{port + 2000}",
        agent_address=f"127.0.0.1:{port}",
        version=version,
        state=state,  # type: ignore[arg-type]
    )


def make_own(name: str = "own", version: int = 0) -> Member:
    """Return a record of a proxy on the host of the agent under test."""
    return make_member(name, version, port=7000)


records = st.lists(
    st.builds(
        make_member,
        st.sampled_from("abc"),
        st.integers(1, 4),
        st.sampled_from([LIVE, SUSPECT, DEAD, LEAVING, LEFT]),
    ),
    max_size=10,
)


class MembershipCase(TestCase):
    """Base class that provides a member table with a manual clock."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.table = self.make_table()

    def make_table(self, max_members: int = 100) -> Membership:
        settings = MembershipSettings(OWN_ADDRESS, 1.0, TOMBSTONE_S, max_members=max_members)
        return Membership(settings, self.clock)

    def state_of(self, name: str) -> int | None:
        member = self.table.find(f"incarnation-{name}")
        return member.state if member else None


class MergeTests(MembershipCase):
    """Merging of records from peers."""

    @given(records)
    def test_order_and_repetition_do_not_matter(self, updates: list[Member]) -> None:
        one, other = self.make_table(), self.make_table()
        one.merge(updates)
        other.merge(list(reversed(updates)) + updates)
        as_text = [sorted(str(m) for m in table.all_members()) for table in (one, other)]
        self.assertEqual(as_text[0], as_text[1])
        self.assertEqual(one.digest, other.digest)

    @given(records)
    def test_versions_never_decrease(self, updates: list[Member]) -> None:
        table = self.make_table()
        seen: dict[str, int] = {}
        for update in updates:
            table.merge([update])
            for member in table.all_members():
                if member.state != LEFT:
                    self.assertGreaterEqual(member.version, seen.get(member.incarnation, 0))
                    seen[member.incarnation] = member.version

    def test_left_is_final(self) -> None:
        self.table.merge([make_member("a", 3, LEFT), make_member("a", 9, LIVE)])
        self.assertEqual(LEFT, self.state_of("a"))

    def test_a_malformed_record_rejects_the_whole_update(self) -> None:
        wrong = make_member("b")
        wrong.agent_address = "not an address"
        error = self.assertRaises(ControlError, self.table.merge, [make_member("a"), wrong])
        self.assertIs(errorcodes.PEER_MALFORMED, error.code)
        self.assertEqual([], self.table.all_members())

    def test_a_full_table_refuses_new_members(self) -> None:
        self.table = self.make_table(max_members=2)
        self.table.merge([make_member("a"), make_member("b", 1, DEAD), make_member("c")])
        self.assertEqual((None, 1), (self.state_of("c"), self.table.refused_when_full))


class SuspicionTests(MembershipCase):
    """Suspicion, refutation and expiry."""

    def test_a_suspect_is_declared_dead_unless_it_refutes(self) -> None:
        self.table.merge([make_member("a"), make_member("b")])
        for name in "ab":
            self.table.suspect(f"incarnation-{name}")
        self.table.merge([make_member("a", 2)])
        self.clock.advance(self.table.suspicion_s())
        self.table.expire()
        self.assertEqual((LIVE, DEAD), (self.state_of("a"), self.state_of("b")))

    def test_the_member_refutes_by_a_higher_version(self) -> None:
        self.table.set_own_member(make_own())
        own = self.table.own_member
        assert own is not None
        for state in (SUSPECT, DEAD):
            peer_record = with_state(own, state, own.version)
            refutation = self.table.handle_belief(compact(peer_record))
            assert refutation is not None
            self.assertEqual((LIVE, True), (refutation.state, refutation.version > own.version))

    def test_a_dead_member_that_a_peer_has_live_is_rechecked(self) -> None:
        self.table.merge([make_member("a", 1, DEAD)])
        self.table.merge([make_member("a", 1, LIVE)])
        self.assertEqual(DEAD, self.state_of("a"))
        recheck = self.table.pop_recheck()
        self.assertEqual("incarnation-a", recheck.incarnation if recheck else None)

    def test_tombstones_expire(self) -> None:
        self.table.merge([make_member("a", 1, LEFT), make_member("b", 1, DEAD), make_member("c")])
        self.clock.advance(TOMBSTONE_S - 1)
        self.table.expire()
        self.assertEqual(LEFT, self.state_of("a"))
        self.clock.advance(1)
        self.table.expire()
        self.assertEqual([None, None, LIVE], [self.state_of(name) for name in "abc"])


class OwnAddressTests(MembershipCase):
    """Incarnations at the agent's own address; a process that reuses it is a new one."""

    def test_the_owner_of_an_address_declares_earlier_incarnations_dead(self) -> None:
        earlier = make_own("earlier", 5)
        self.table.merge([earlier])
        self.assertEqual(LIVE, self.state_of("earlier"))
        self.table.set_own_member(make_own("own"))
        self.assertEqual(DEAD, self.state_of("earlier"))
        answer = self.table.handle_belief(compact(earlier))
        self.assertEqual(DEAD, answer.state if answer else None)

    def test_an_agent_without_proxy_declares_incarnations_dead_only_after_a_grace(self) -> None:
        peer_record = compact(make_own("earlier", 5))
        self.assertIsNone(self.table.handle_belief(peer_record))
        self.clock.advance(60)
        answer = self.table.handle_belief(peer_record)
        self.assertEqual((DEAD, 6), (answer.state, answer.version) if answer else None)
        self.table.set_own_member(make_own("earlier"))
        own = self.table.own_member
        self.assertEqual((LIVE, 7), (own.state, own.version) if own else None)

    def test_a_new_proxy_declares_the_previous_one_dead(self) -> None:
        self.table.set_own_member(make_own("own"))
        self.table.set_own_member(make_own("next"))
        self.assertEqual((DEAD, LIVE), (self.state_of("own"), self.state_of("next")))

    def test_a_suspect_own_member_stays_suspect_when_its_token_changes(self) -> None:
        self.table.set_own_member(make_own())
        self.table.set_own_state(SUSPECT)
        reported = make_own()
        reported.token = "another"
        self.table.set_own_member(reported)
        self.assertEqual(SUSPECT, self.state_of("own"))
        self.table.set_own_state(LIVE)
        self.assertEqual(LIVE, self.state_of("own"))

    def test_a_leaving_member_stays_leaving_after_its_stream_ends(self) -> None:
        self.table.set_own_member(with_state(make_own(), LEAVING, 0))
        self.table.retire_own_member()
        self.assertEqual(LEAVING, self.state_of("own"))
        self.table.declare_dead_if_leaving("incarnation-own")
        self.assertEqual(DEAD, self.state_of("own"))


class ExchangeTests(MembershipCase):
    """Anti-entropy exchange between two tables."""

    @given(records, records)
    def test_an_exchange_makes_records_equal_except_dead_ones(
        self, ours: list[Member], theirs: list[Member]
    ) -> None:
        one, other = self.make_table(), self.make_table()
        one.merge(ours)
        other.merge(theirs)
        answer = other.answer_exchange(one.compact_table())
        one.merge(answer.full)
        other.merge(one.full_records(answer.wanted))
        for member in [*one.all_members(), *other.all_members()]:
            pair = (one.find(member.incarnation), other.find(member.incarnation))
            if all(m is not None and m.state != DEAD for m in pair):
                self.assertEqual(pair[0], pair[1])

    def test_dead_records_are_not_exchanged(self) -> None:
        other = self.make_table()
        self.table.merge([make_member("a", 1, DEAD)])
        other.merge([make_member("a", 1)])
        answer = other.answer_exchange(self.table.compact_table())
        self.table.merge(answer.full)
        self.assertEqual([], self.table.full_records(answer.wanted))
        self.assertIsNotNone(self.table.pop_recheck())


class GossipQueueTests(TestCase):
    """Queue of updates to piggyback."""

    def test_each_update_is_sent_a_bounded_number_of_times(self) -> None:
        queue = GossipQueue()
        queue.push(make_member("a"))
        sent = 0
        while queue.take(690):
            sent += 1
        self.assertEqual(transmissions(690), sent)

    def test_a_message_is_bounded_and_fresh_updates_go_first(self) -> None:
        queue = GossipQueue()
        for name in "abcd":
            queue.push(make_member(name))
        first = queue.take(690, 2)
        self.assertEqual(["entry-d", "entry-c"], [m.node for m in first])
        self.assertEqual(["entry-b", "entry-a"], [m.node for m in queue.take(690, 2)])

    def test_a_later_update_replaces_an_earlier_one(self) -> None:
        queue = GossipQueue()
        queue.push(make_member("a", 1))
        queue.push(make_member("a", 2))
        self.assertEqual([2], [m.version for m in queue.take(690)])
