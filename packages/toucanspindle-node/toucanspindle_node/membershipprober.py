"""Runs the SWIM-style membership protocol of one agent: direct and indirect probes.

Each probe interval the agent pings one peer, in a shuffled order that visits every peer once per
round.  If a peer doesn't answer, the agent pings it through a few relays.  The agent suspects the
peer only if a relay answers that its ping failed too.  If the peer is in another failure domain,
that relay must be in another domain than this node as well; otherwise this node or its domain may
be the one that is cut off (`reachability.py`).

The first record of a ping is compact and says what the sender believes about the receiver's
member.  The receiver answers with the record that refutes this belief, if there is one.

Each reconnect interval the agent exchanges tables with one address that isn't known as present (a
seed or a host from the platform's list) and pings one DEAD member, so that the sides of a network
partition find each other again.
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
from toucanspindle_core.memberrecord import GONE_STATES, compact, is_compact

from toucanspindle_node.dependencies import AgentDependencies
from toucanspindle_node.eventcounters import AgentEvent
from toucanspindle_node.memberexchange import MemberExchange
from toucanspindle_node.reachability import Reachability, ReachabilityTracker
from toucanspindle_node.taskset import TaskSet

INDIRECT_PROBE_PEERS: Final = 3
JOIN_PEERS: Final = 5
FINAL_GOSSIP_PEERS: Final = 4
DIRECT_TIMEOUT_PROBE_INTERVALS: Final = 0.8
MIN_DIRECT_TIMEOUT_S: Final = 0.3
RECONNECT_PROBE_INTERVALS: Final = 5
NO_GENERATION: Final = 0

_log = Logger("agent.members")

GenerationCallback = Callable[[int, str], None]


class MembershipProber:
    """Probes peers and answers their probes.

    Invariant: `on_change` is called after every change of the member table.
    """

    def __init__(self, dependencies: AgentDependencies) -> None:
        settings = dependencies.settings
        clock = dependencies.clock
        self._settings = settings
        self._membership = dependencies.membership
        self._clients = dependencies.peer_clients
        self._counters = dependencies.counters
        self._clock = clock
        self._random = random.Random()
        self._exchange = MemberExchange(dependencies, self._random, self._notify_changes)
        self._reachability_tracker = ReachabilityTracker(
            settings.failure_domain, settings.probe_interval_s, clock
        )
        self._reachability = Reachability.REACHABLE
        self._probe_order: list[str] = []
        self._next_reconnect_at_s = 0.0
        self._tasks = TaskSet()
        self._last_change_count = 0
        self.get_generation: Callable[[], int] = lambda: NO_GENERATION
        self.on_generation: GenerationCallback = lambda generation, address: None
        self.on_change: Callable[[], None] = lambda: None

    @property
    def reachability(self) -> Reachability:
        """Whether messages pass between this node and the rest of the fleet."""
        return self._reachability

    @property
    def exchange(self) -> MemberExchange:
        """The exchange of member tables with peers."""
        return self._exchange

    async def start(self) -> None:
        """Join the fleet through the known candidates and start to probe."""
        self._tasks.spawn(self._probe_forever())

    async def close(self) -> None:
        """Stop probing, then send queued updates to a few peers."""
        await self._tasks.close()
        if len(self._membership.gossip_queue):
            await asyncio.gather(
                *(self._send_final_gossip(peer) for peer in self._sample(FINAL_GOSSIP_PEERS))
            )

    def make_ping(self, target: Member | None) -> PingRequest:
        """Return a ping for a member; `target` is None if the agent's member isn't known."""
        own = self._membership.own_member
        updates = [compact(target)] if target else []
        if own is not None and (target is None or target.state in GONE_STATES):
            updates.append(own)
        updates += self._membership.gossip_queue.take(len(self._membership.peers()))
        return PingRequest(
            updates=updates,
            members_digest=self._membership.digest,
            generation=self.get_generation(),
            from_incarnation=own.incarnation if own else "",
            from_agent_address=self._settings.agent_address,
        )

    async def ping(self, address: str, target: Member | None, timeout_s: float) -> PingAnswer:
        """Ping an agent and merge the updates in its answer.

        Raises ControlError if the agent doesn't answer or refuses the ping.
        """
        request = self.make_ping(target)
        try:
            answer = await self._clients.ping(address, request, timeout_s)
        except ControlError as error:
            own = self._membership.own_member
            if error.code is not errorcodes.INCARNATION_UNKNOWN or own is None:
                raise
            request.updates.append(own)
            answer = await self._clients.ping(address, request, timeout_s)
        self._merge_answer(answer, address)
        return answer

    # Requests from peers.

    def handle_ping(self, request: PingRequest) -> PingAnswer:
        """Merge the updates in a ping and return the answer; raise ControlError to refuse it."""
        sender = self._check_sender(request)
        if sender is not None:
            self._reachability_tracker.record_request(sender.failure_domain)
        updates = []
        for belief in request.updates:
            refutation = self._membership.handle_belief(belief) if is_compact(belief) else None
            if refutation is not None:
                updates.append(refutation)
        self._membership.merge(update for update in request.updates if not is_compact(update))
        if sender is not None and sender.state in {SUSPECT, DEAD}:
            updates.append(self._membership.find(sender.incarnation) or sender)
        updates += self._membership.gossip_queue.take(len(self._membership.peers()))
        self.on_generation(request.generation, request.from_agent_address)
        self._notify_changes()
        return PingAnswer(
            updates=updates,
            members_digest=self._membership.digest,
            generation=self.get_generation(),
        )

    async def handle_indirect_ping(self, request: IndirectPing) -> IndirectAnswer:
        """Ping another agent on behalf of a peer; return whether it answered, and its answer."""
        sender = self._membership.find(request.ping.from_incarnation)
        if sender is not None:
            self._reachability_tracker.record_request(sender.failure_domain)
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
        known = self._membership.find(incarnation)
        introduced = next((m for m in request.updates if m.incarnation == incarnation), None)
        if known is None:
            if introduced is None or is_compact(introduced):
                self._counters.count(AgentEvent.REFUSED_UNKNOWN)
                text = f"Incarnation {incarnation} at {request.from_agent_address} is unknown."
                remedy = "include the member's full record in the ping"
                raise ControlError(errorcodes.INCARNATION_UNKNOWN, text, remedy)
            return introduced
        if known.state == LEFT or (known.state == DEAD and self._is_replaced(known)):
            self._counters.count(AgentEvent.REFUSED_OUTDATED)
            text = f"Incarnation {incarnation} at {request.from_agent_address} has ended."
            remedy = "restart the process; it gets a new incarnation"
            raise ControlError(errorcodes.INCARNATION_OUTDATED, text, remedy)
        return known

    def _is_replaced(self, member: Member) -> bool:
        return any(
            other.agent_address == member.agent_address and other.incarnation != member.incarnation
            for other in self._membership.present_members()
        )

    # Probing.

    async def _probe_forever(self) -> None:
        join_addresses = self._exchange.choose_absent_candidates(JOIN_PEERS)
        await asyncio.gather(*(self._exchange.exchange_with(address) for address in join_addresses))
        while True:
            peer = self._next_probe_peer()
            if peer is not None:
                self._tasks.spawn(self._probe(peer))
            dead_member = self._membership.pop_recheck()
            if dead_member is not None:
                self._tasks.spawn(self._ping_dead_member(dead_member))
            if self._clock.now() >= self._next_reconnect_at_s:
                self._reconnect()
            self._membership.expire()
            self._update_reachability()
            self._notify_changes()
            await asyncio.sleep(self._settings.probe_interval_s * self._random.uniform(0.9, 1.1))

    def _next_probe_peer(self) -> Member | None:
        present = {peer.incarnation: peer for peer in self._membership.peers()}
        while self._probe_order:
            peer = present.get(self._probe_order.pop())
            if peer is not None:
                return peer
        self._probe_order = list(present)
        self._random.shuffle(self._probe_order)
        return present[self._probe_order.pop()] if self._probe_order else None

    async def _probe(self, peer: Member) -> None:
        try:
            answer = await self.ping(peer.agent_address, peer, self._direct_timeout_s())
        except ControlError:
            self._counters.count(AgentEvent.PING_FAILED)
            await self._probe_indirectly(peer)
        else:
            self._reachability_tracker.record_round_trip(peer.failure_domain)
            await self._exchange.exchange_if_digest_differs(
                peer.agent_address, answer.members_digest
            )
        self._update_reachability()
        self._notify_changes()

    async def _probe_indirectly(self, peer: Member) -> None:
        relays = self._choose_relays(peer)
        request = IndirectPing(agent_address=peer.agent_address, ping=self.make_ping(peer))
        answers = await asyncio.gather(
            *(self._ping_through_relay(relay, request) for relay in relays)
        )
        if any(answers):
            return
        self._reachability_tracker.record_failed_probe(peer.failure_domain)
        for relay, reached in zip(relays, answers, strict=True):
            if reached is False and (
                self._is_in_own_domain(peer) or not self._is_in_own_domain(relay)
            ):
                self._counters.count(AgentEvent.SUSPECTED)
                self._membership.suspect(peer.incarnation)
                return

    def _choose_relays(self, peer: Member) -> list[Member]:
        """Return a few random live peers, preferring those outside this node's failure domain."""
        live = [m for m in self._sample(None) if m.incarnation != peer.incarnation]
        return sorted(live, key=self._is_in_own_domain)[:INDIRECT_PROBE_PEERS]

    def _is_in_own_domain(self, member: Member) -> bool:
        return member.failure_domain == self._settings.failure_domain

    async def _ping_through_relay(self, relay: Member, request: IndirectPing) -> bool | None:
        """Return whether the relay reached the agent, or None if the relay didn't answer."""
        timeout_s = 2 * self._direct_timeout_s()
        try:
            answer = await self._clients.ping_indirect(relay.agent_address, request, timeout_s)
        except ControlError:
            return None
        self._reachability_tracker.record_round_trip(relay.failure_domain)
        if answer.reached:
            self._merge_answer(answer.answer, request.agent_address)
        return answer.reached

    async def _ping_dead_member(self, dead: Member) -> None:
        try:
            await self.ping(dead.agent_address, dead, self._direct_timeout_s())
        except ControlError:
            return
        self._reachability_tracker.record_round_trip(dead.failure_domain)
        self._notify_changes()

    async def _send_final_gossip(self, peer: Member) -> None:
        try:
            await self.ping(peer.agent_address, peer, self._direct_timeout_s())
        except ControlError:
            pass

    def _reconnect(self) -> None:
        interval_s = RECONNECT_PROBE_INTERVALS * self._settings.probe_interval_s
        self._next_reconnect_at_s = self._clock.now() + interval_s
        dead = self._membership.dead_peers()
        if dead:
            self._tasks.spawn(self._ping_dead_member(self._random.choice(dead)))
        for address in self._exchange.choose_absent_candidates(1):
            self._tasks.spawn(self._exchange.exchange_with(address))

    def _merge_answer(self, answer: PingAnswer, address: str) -> None:
        try:
            self._membership.merge(answer.updates)
        except ControlError:
            self._counters.count(AgentEvent.REFUSED_MALFORMED)
        self.on_generation(answer.generation, address)

    # This node's reachability.

    def _update_reachability(self) -> None:
        domains = [member.failure_domain for member in self._membership.peers()]
        reachability = self._reachability_tracker.classify(domains)
        if reachability is self._reachability:
            return
        _log.notice(
            "reachability of this node is {} (was {})", reachability.value, self._reachability.value
        )
        self._reachability = reachability
        if reachability is not Reachability.REACHABLE:
            self._counters.count(AgentEvent.REACHABILITY_LOST)
        self._membership.change_count += 1

    def _notify_changes(self) -> None:
        if self._membership.change_count != self._last_change_count:
            self._last_change_count = self._membership.change_count
            self.on_change()

    def _sample(self, count: int | None) -> list[Member]:
        """Return up to `count` random live peers; for None all of them, shuffled."""
        live = [m for m in self._membership.peers() if m.state == LIVE]
        size = len(live) if count is None else min(count, len(live))
        return self._random.sample(live, size)

    def _direct_timeout_s(self) -> float:
        timeout_s = DIRECT_TIMEOUT_PROBE_INTERVALS * self._settings.probe_interval_s
        return max(MIN_DIRECT_TIMEOUT_S, timeout_s)
