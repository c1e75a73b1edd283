"""Exchanges member tables with peers: joining, and anti-entropy where digests differ.

An exchange sends the own table in compact form, takes in the peer's full records that supersede
it, and sends the full records that the peer asked for.  Between two exchanges that a differing
digest set off lies a pause that grows with the table, so that the bytes a second stay bounded.
"""

from collections.abc import Callable, Iterable
from random import Random
from typing import Final

from toucanspindle_core import errorcodes
from toucanspindle_core.control_pb2 import Member
from toucanspindle_core.errors import ControlError
from toucanspindle_core.memberrecord import is_compact

from toucanspindle_node.agent_counters import AgentEvent
from toucanspindle_node.agent_parts import AgentParts

MIN_EXCHANGE_INTERVAL_S: Final = 2.0
EXCHANGE_BYTES_PER_MEMBER: Final = 60
EXCHANGE_BYTES_PER_S: Final = 1000


class MemberExchange:
    """Exchanges tables with agents, known as members or by their address only.

    Invariant: the own agent's address is no candidate.
    """

    def __init__(self, parts: AgentParts, random: Random, on_change: Callable[[], None]) -> None:
        """Create an exchange that calls `on_change` after each one."""
        self._own_address = parts.settings.agent_address
        self._members = parts.membership
        self._clients = parts.clients
        self._counters = parts.counters
        self._clock = parts.clock
        self._random = random
        self._on_change = on_change
        self._candidates: set[str] = set(parts.settings.seed_agents) - {self._own_address}
        self._next_exchange_s = 0.0

    def add_candidates(self, addresses: Iterable[str]) -> None:
        """Add addresses of agents that may be joined through."""
        self._candidates.update(addresses)
        self._candidates.discard(self._own_address)

    def candidates(self) -> set[str]:
        """Return addresses of agents known from any source, without this one's."""
        known = self._candidates | {peer.agent_address for peer in self._members.peers()}
        return known - {self._own_address}

    def pick_absent(self, count: int) -> list[str]:
        """Return up to `count` random candidates that aren't known as present."""
        present = {member.agent_address for member in self._members.peers()}
        absent = sorted(self._candidates - present)
        return self._random.sample(absent, min(count, len(absent)))

    async def run_if_differing(self, address: str, digest: bytes) -> None:
        """Exchange with the agent at `address` if its digest differs and the pause is over."""
        now = self._clock.now()
        if digest == self._members.digest or now < self._next_exchange_s:
            return
        size = len(self._members.all_members()) * EXCHANGE_BYTES_PER_MEMBER
        self._next_exchange_s = now + max(MIN_EXCHANGE_INTERVAL_S, size / EXCHANGE_BYTES_PER_S)
        await self.run(address)

    async def run(self, address: str) -> None:
        """Exchange with the agent at `address`; one that can't be reached is left alone."""
        try:
            listing = self._members.compact_table()
            received = await self._clients.exchange_members(address, listing)
            self._members.merge(m for m in received if not is_compact(m))
            wanted = self._members.full_records(received)
            if wanted:
                await self._clients.exchange_members(address, wanted)
        except ControlError as error:
            if error.code is errorcodes.PEER_MALFORMED:
                self._counters.count(AgentEvent.REFUSED_MALFORMED)
        self._on_change()

    def answer(self, members: list[Member]) -> list[Member]:
        """Answer a peer's table: its compact entries are compared, its full ones merged.

        Raises ControlError if a record is malformed.
        """
        full = [member for member in members if not is_compact(member)]
        self._members.merge(full)
        listing = [member for member in members if is_compact(member)]
        answered: list[Member] = []
        if listing or not full:
            answer = self._members.answer_exchange(listing)
            answered = answer.full + answer.wanted
        self._on_change()
        return answered
