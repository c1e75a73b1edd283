"""Exchanges member tables with peers, to join the fleet and for anti-entropy.

An exchange sends this agent's table in compact form, merges the full records that the peer returns
because they supersede it, and sends the full records that the peer requests.  An exchange starts
when a peer's digest differs.  The minimum time between two of these exchanges grows with the table,
which bounds the bytes per second.
"""

from collections.abc import Callable, Iterable
from random import Random
from typing import Final

from toucanspindle_core import errorcodes
from toucanspindle_core.control_pb2 import Member
from toucanspindle_core.errors import ControlError
from toucanspindle_core.memberrecord import is_compact

from toucanspindle_node.dependencies import AgentDependencies
from toucanspindle_node.eventcounters import AgentEvent

MIN_EXCHANGE_INTERVAL_S: Final = 2.0
EXCHANGE_BYTES_PER_MEMBER: Final = 60
EXCHANGE_BYTES_PER_S: Final = 1000


class MemberExchange:
    """Exchanges tables with agents known as members or only by address.

    Invariant: this agent's own address is never a candidate.
    """

    def __init__(
        self, dependencies: AgentDependencies, random: Random, on_change: Callable[[], None]
    ) -> None:
        """Create the component; `on_change` is called after each exchange."""
        self._own_address = dependencies.settings.agent_address
        self._membership = dependencies.membership
        self._clients = dependencies.peer_clients
        self._counters = dependencies.counters
        self._clock = dependencies.clock
        self._random = random
        self._on_change = on_change
        self._candidates: set[str] = set(dependencies.settings.seed_agents) - {self._own_address}
        self._next_exchange_at_s = 0.0

    def add_candidates(self, addresses: Iterable[str]) -> None:
        """Add agent addresses through which this agent may join the fleet."""
        self._candidates.update(addresses)
        self._candidates.discard(self._own_address)

    def candidates(self) -> set[str]:
        """Return the addresses of all known agents except this one."""
        known = self._candidates | {peer.agent_address for peer in self._membership.peers()}
        return known - {self._own_address}

    def choose_absent_candidates(self, count: int) -> list[str]:
        """Return up to `count` random candidates that aren't present members."""
        present = {member.agent_address for member in self._membership.peers()}
        absent = sorted(self._candidates - present)
        return self._random.sample(absent, min(count, len(absent)))

    async def exchange_if_digest_differs(self, address: str, digest: bytes) -> None:
        """Exchange tables with an agent whose `digest` differs from this agent's.

        Does nothing if the minimum time since the last such exchange hasn't passed.
        """
        now = self._clock.now()
        if digest == self._membership.digest or now < self._next_exchange_at_s:
            return
        table_bytes = len(self._membership.all_members()) * EXCHANGE_BYTES_PER_MEMBER
        self._next_exchange_at_s = now + max(
            MIN_EXCHANGE_INTERVAL_S, table_bytes / EXCHANGE_BYTES_PER_S
        )
        await self.exchange_with(address)

    async def exchange_with(self, address: str) -> None:
        """Exchange tables with the agent at `address`; a failure is ignored."""
        try:
            compact_records = self._membership.compact_table()
            received = await self._clients.exchange_members(address, compact_records)
            self._membership.merge(m for m in received if not is_compact(m))
            wanted = self._membership.full_records(received)
            if wanted:
                await self._clients.exchange_members(address, wanted)
        except ControlError as error:
            if error.code is errorcodes.PEER_MALFORMED:
                self._counters.count(AgentEvent.REFUSED_MALFORMED)
        self._on_change()

    def handle_table(self, members: list[Member]) -> list[Member]:
        """Merge a peer's full records and return the answer to its compact ones.

        Raises ControlError if a record is malformed.
        """
        full_records = [member for member in members if not is_compact(member)]
        self._membership.merge(full_records)
        compact_records = [member for member in members if is_compact(member)]
        records: list[Member] = []
        if compact_records or not full_records:
            answer = self._membership.answer_exchange(compact_records)
            records = answer.full + answer.wanted
        self._on_change()
        return records
