"""Runs the membership protocol of one agent: probes and indirect probes.

Each probe interval one peer is pinged, in a shuffled order that visits every peer once a round.
A peer that doesn't answer is pinged through a few others.  It is suspected only if one of them
answered that it failed too, and that one must be in another failure domain than ours if the peer
is; otherwise it may be this node, or its domain, that is cut off (`agent_heard.py`).

A ping's first record is a compact one: what the sender believes of the receiver's member; the
receiver answers with the record that refutes it, if one does.

Each reconnect interval, one address that isn't known as present (a seed, a host of the
platform's list) is sent an exchange of tables, and one DEAD member is pinged, so that parts of
the fleet that were cut apart find each other again.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Final

from logbook import Logger
from toucanspindle_core import errorcodes
from toucanspindle_core.control_pb2 import (
    DEAD,
    LEFT,
    LIVE,
    SUSPECT,
    IndirectAnswer,
    IndirectPing,
    Member,
    PingAnswer,
    PingRequest,
)
from toucanspindle_core.errors import ControlError
from toucanspindle_core.memberrecord import GONE, compact, is_compact

from toucanspindle_node.agent_counters import AgentEvent
from toucanspindle_node.agent_heard import HeardTracker, Hearing
from toucanspindle_node.agent_parts import AgentParts
from toucanspindle_node.agent_tasks import TaskSet
from toucanspindle_node.memberexchange import MemberExchange

INDIRECT_PEERS: Final = 3
JOIN_PEERS: Final = 5
FAREWELL_PEERS: Final = 4
DIRECT_TIMEOUT_PROBES: Final = 0.8
MIN_DIRECT_TIMEOUT_S: Final = 0.3
RECONNECT_PROBES: Final = 5
GENERATION_UNKNOWN: Final = 0

_log = Logger("agent.members")

GenerationHeard = Callable[[int, str], None]


class MemberLoop:
    """Probes peers and answers their probes.

    Invariant: every change of the table is followed by a call of `on_change`.
    """

    def __init__(self, parts: AgentParts) -> None:
        settings = parts.settings
        clock = parts.clock
        self._settings = settings
        self._members = parts.membership
        self._clients = parts.clients
        self._counters = parts.counters
        self._clock = clock
        self._random = random.Random()
        self._exchange = MemberExchange(parts, self._random, self._note_changes)
        self._heard = HeardTracker(settings.failure_domain, settings.probe_interval_s, clock)
        self._hearing = Hearing.HEARD
        self._round: list[str] = []
        self._next_reconnect = 0.0
        self._tasks = TaskSet()
        self._changes_seen = 0
        self.generation: Callable[[], int] = lambda: GENERATION_UNKNOWN
        self.on_generation: GenerationHeard = lambda generation, address: None
        self.on_change: Callable[[], None] = lambda: None

    @property
    def hearing(self) -> Hearing:
        """How this node stands towards the rest of the fleet."""
        return self._hearing

    @property
    def exchange(self) -> MemberExchange:
        """The exchanges of tables that this loop sets off."""
        return self._exchange

    async def start(self) -> None:
        """Join through the candidates known so far and begin to probe."""
        self._tasks.spawn(self._probe_forever())

    async def close(self) -> None:
        """Tell a few peers what is still queued, then stop."""
        await self._tasks.close()
        if len(self._members.queue):
            await asyncio.gather(*(self._farewell(peer) for peer in self._sample(FAREWELL_PEERS)))

    def make_ping(self, target: Member | None) -> PingRequest:
        """Return a ping for a member, or for an agent whose member isn't known."""
        own = self._members.own
        updates = [compact(target)] if target else []
        if own is not None and (target is None or target.state in GONE):
            updates.append(own)
        updates += self._members.queue.take(len(self._members.peers()))
        return PingRequest(
            updates=updates,
            members_digest=self._members.digest,
            generation=self.generation(),
            from_incarnation=own.incarnation if own else "",
            from_agent_address=self._settings.agent_address,
        )

    async def ping(self, address: str, target: Member | None, timeout_s: float) -> PingAnswer:
        """Ping an agent and take in its answer; raise ControlError when there is none."""
        request = self.make_ping(target)
        try:
            answer = await self._clients.ping(address, request, timeout_s)
        except ControlError as error:
            own = self._members.own
            if error.code is not errorcodes.INCARNATION_UNKNOWN or own is None:
                raise
            request.updates.append(own)
            answer = await self._clients.ping(address, request, timeout_s)
        self._take_answer(answer, address)
        return answer

    # What peers ask.

    def answer_ping(self, request: PingRequest) -> PingAnswer:
        """Answer a peer's ping; raise ControlError to refuse it."""
        sender = self._check_sender(request)
        if sender is not None:
            self._heard.note_request(sender.failure_domain)
        updates = []
        for belief in request.updates:
            refutation = self._members.hear_belief(belief) if is_compact(belief) else None
            if refutation is not None:
                updates.append(refutation)
        self._members.merge(update for update in request.updates if not is_compact(update))
        if sender is not None and sender.state in {SUSPECT, DEAD}:
            updates.append(self._members.find(sender.incarnation) or sender)
        updates += self._members.queue.take(len(self._members.peers()))
        self.on_generation(request.generation, request.from_agent_address)
        self._note_changes()
        return PingAnswer(
            updates=updates, members_digest=self._members.digest, generation=self.generation()
        )

    async def answer_indirect(self, request: IndirectPing) -> IndirectAnswer:
        """Ping another agent on a peer's behalf."""
        sender = self._members.find(request.ping.from_incarnation)
        if sender is not None:
            self._heard.note_request(sender.failure_domain)
        try:
            answer = await self._clients.ping(
                request.agent_address, request.ping, self._direct_timeout_s()
            )
        except ControlError:
            return IndirectAnswer(reached=False)
        return IndirectAnswer(reached=True, answer=answer)

    def _check_sender(self, request: PingRequest) -> Member | None:
        incarnation = request.from_incarnation
        if not incarnation:
            return None
        known = self._members.find(incarnation)
        introduced = next((m for m in request.updates if m.incarnation == incarnation), None)
        if known is None:
            if introduced is None or is_compact(introduced):
                self._counters.count(AgentEvent.REFUSED_UNKNOWN)
                text = f"Incarnation {incarnation} at {request.from_agent_address} is unknown here."
                remedy = "send the member's record along"
                raise ControlError(errorcodes.INCARNATION_UNKNOWN, text, remedy)
            return introduced
        if known.state == LEFT or (known.state == DEAD and self._is_replaced(known)):
            self._counters.count(AgentEvent.REFUSED_OUTDATED)
            text = f"Incarnation {incarnation} at {request.from_agent_address} has ended."
            remedy = "start the process anew; it gets a fresh incarnation"
            raise ControlError(errorcodes.INCARNATION_OUTDATED, text, remedy)
        return known

    def _is_replaced(self, member: Member) -> bool:
        return any(
            other.agent_address == member.agent_address and other.incarnation != member.incarnation
            for other in self._members.present_members()
        )

    # Probing.

    async def _probe_forever(self) -> None:
        joining = self._exchange.pick_absent(JOIN_PEERS)
        await asyncio.gather(*(self._exchange.run(address) for address in joining))
        while True:
            peer = self._next_peer()
            if peer is not None:
                self._tasks.spawn(self._probe(peer))
            recheck = self._members.take_recheck()
            if recheck is not None:
                self._tasks.spawn(self._recheck(recheck))
            if self._clock.now() >= self._next_reconnect:
                self._reconnect()
            self._members.expire()
            self._judge_hearing()
            self._note_changes()
            await asyncio.sleep(self._settings.probe_interval_s * self._random.uniform(0.9, 1.1))

    def _next_peer(self) -> Member | None:
        present = {peer.incarnation: peer for peer in self._members.peers()}
        while self._round:
            peer = present.get(self._round.pop())
            if peer is not None:
                return peer
        self._round = list(present)
        self._random.shuffle(self._round)
        return present[self._round.pop()] if self._round else None

    async def _probe(self, peer: Member) -> None:
        try:
            answer = await self.ping(peer.agent_address, peer, self._direct_timeout_s())
        except ControlError:
            self._counters.count(AgentEvent.PING_FAILED)
            await self._probe_indirectly(peer)
        else:
            self._heard.note_round_trip(peer.failure_domain)
            await self._exchange.run_if_differing(peer.agent_address, answer.members_digest)
        self._judge_hearing()
        self._note_changes()

    async def _probe_indirectly(self, peer: Member) -> None:
        helpers = self._pick_helpers(peer)
        request = IndirectPing(agent_address=peer.agent_address, ping=self.make_ping(peer))
        answers = await asyncio.gather(*(self._ask_helper(h, request) for h in helpers))
        if any(answers):
            return
        self._heard.note_failure(peer.failure_domain)
        for helper, reached in zip(helpers, answers, strict=True):
            if reached is False and (self._is_near(peer) or not self._is_near(helper)):
                self._counters.count(AgentEvent.SUSPECTED)
                self._members.suspect(peer.incarnation)
                return

    def _pick_helpers(self, peer: Member) -> list[Member]:
        """Return a few random peers, those of other failure domains than ours first."""
        live = [m for m in self._sample(None) if m.incarnation != peer.incarnation]
        return sorted(live, key=self._is_near)[:INDIRECT_PEERS]

    def _is_near(self, member: Member) -> bool:
        return member.failure_domain == self._settings.failure_domain

    async def _ask_helper(self, helper: Member, request: IndirectPing) -> bool | None:
        """Return whether the helper reached the agent, or None when the helper didn't answer."""
        timeout_s = 2 * self._direct_timeout_s()
        try:
            answer = await self._clients.ping_indirect(helper.agent_address, request, timeout_s)
        except ControlError:
            return None
        self._heard.note_round_trip(helper.failure_domain)
        if answer.reached:
            self._take_answer(answer.answer, request.agent_address)
        return answer.reached

    async def _recheck(self, dead: Member) -> None:
        try:
            await self.ping(dead.agent_address, dead, self._direct_timeout_s())
        except ControlError:
            return
        self._heard.note_round_trip(dead.failure_domain)
        self._note_changes()

    async def _farewell(self, peer: Member) -> None:
        try:
            await self.ping(peer.agent_address, peer, self._direct_timeout_s())
        except ControlError:
            pass

    def _reconnect(self) -> None:
        interval_s = RECONNECT_PROBES * self._settings.probe_interval_s
        self._next_reconnect = self._clock.now() + interval_s
        dead = self._members.dead_peers()
        if dead:
            self._tasks.spawn(self._recheck(self._random.choice(dead)))
        for address in self._exchange.pick_absent(1):
            self._tasks.spawn(self._exchange.run(address))

    def _take_answer(self, answer: PingAnswer, address: str) -> None:
        try:
            self._members.merge(answer.updates)
        except ControlError:
            self._counters.count(AgentEvent.REFUSED_MALFORMED)
        self.on_generation(answer.generation, address)

    # The node's own standing.

    def _judge_hearing(self) -> None:
        domains = [member.failure_domain for member in self._members.peers()]
        hearing = self._heard.hearing(domains)
        if hearing is self._hearing:
            return
        _log.notice("this node is {} (was {})", hearing.value, self._hearing.value)
        self._hearing = hearing
        if hearing is not Hearing.HEARD:
            self._counters.count(AgentEvent.UNHEARD)
        self._members.changes += 1

    def _note_changes(self) -> None:
        if self._members.changes != self._changes_seen:
            self._changes_seen = self._members.changes
            self.on_change()

    def _sample(self, count: int | None) -> list[Member]:
        """Return up to `count` random live peers; all of them, shuffled, for None."""
        live = [m for m in self._members.peers() if m.state == LIVE]
        size = len(live) if count is None else min(count, len(live))
        return self._random.sample(live, size)

    def _direct_timeout_s(self) -> float:
        wanted = DIRECT_TIMEOUT_PROBES * self._settings.probe_interval_s
        return max(MIN_DIRECT_TIMEOUT_S, wanted)
