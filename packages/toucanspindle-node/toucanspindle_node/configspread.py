"""Spreads configurations between agents: notices, fetches, and what a restarted agent does.

An agent that applied a generation notifies `FAN_OUT` random peers; one that hears of a higher
generation, by a notice or a ping, fetches it from whoever named it, and notifies others in turn.
Pings carry the generation, so that an agent that every notice missed catches up.

A restarted agent knows nothing, and the first peer to answer may lag.  Before it serves, it asks
peers in several failure domains, and the platform, and takes the highest generation that any of
them names.  Only when the platform is away and too few peers answer within `JOIN_LIMIT_S` does it
go on with the highest it has; never with less than what somebody named.

Step of spec/configuration.py: PullFromPeer.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Final

from logbook import Logger
from toucanspindle_core.control_pb2 import LIVE, ConfigBundle, GenerationNotice
from toucanspindle_core.errors import ControlError

from toucanspindle_node.agent_counters import AgentEvent
from toucanspindle_node.agent_parts import AgentParts
from toucanspindle_node.agent_tasks import TaskSet
from toucanspindle_node.configcache import Offered

FAN_OUT: Final = 3
MAX_SOURCES: Final = 8
REFETCH_S: Final = 0.5
FETCH_TRIES: Final = 3

_log = Logger("agent.config")


class ConfigSpread:
    """Fetches higher generations from peers and tells peers of them.

    Invariant: at most one fetch runs at a time.
    """

    def __init__(self, parts: AgentParts) -> None:
        self._settings = parts.settings
        self._cache = parts.cache
        self._members = parts.membership
        self._clients = parts.clients
        self._counters = parts.counters
        self._random = random.Random()
        self._sources: dict[str, int] = {}
        self._wake = asyncio.Event()
        self._tasks = TaskSet()
        self._alarmed: Offered | None = None
        self.on_applied: Callable[[], None] = lambda: None

    async def start(self) -> None:
        """Begin to fetch what peers name."""
        self._tasks.spawn(self._fetch_forever())

    async def close(self) -> None:
        """Stop fetching and notifying."""
        await self._tasks.close()

    @property
    def highest_named(self) -> int:
        """The highest generation held here or named by a peer."""
        return max([self._cache.generation, *self._sources.values()])

    def hear_generation(self, generation: int, address: str) -> None:
        """Take in that the agent at `address` holds a generation."""
        if generation <= self._cache.generation or not address:
            return
        if len(self._sources) >= MAX_SOURCES and address not in self._sources:
            del self._sources[min(self._sources, key=lambda a: self._sources[a])]
        self._sources[address] = generation
        self._wake.set()

    def offer(self, bundle: ConfigBundle) -> Offered:
        """Apply a bundle from a peer or the platform if it is right, and notify peers."""
        offered = self._cache.offer(bundle)
        if offered is Offered.APPLIED:
            self._applied()
        elif offered is Offered.INCOMPLETE:
            self._counters.count(AgentEvent.CONFIG_INCOMPLETE)
        elif offered is Offered.MALFORMED:
            self._counters.count(AgentEvent.CONFIG_REFUSED)
        if offered in {Offered.INCOMPLETE, Offered.MALFORMED} and offered is not self._alarmed:
            self._alarmed = offered
            _log.warning(
                "generation {} is {}; keeping {}",
                bundle.generation,
                offered.value,
                self._cache.generation,
            )
        return offered

    def _applied(self) -> None:
        self._alarmed = None
        generation = self._cache.generation
        self._counters.count(AgentEvent.CONFIG_APPLIED)
        _log.info("generation {} is held", generation)
        self._sources = {a: g for a, g in self._sources.items() if g > generation}
        self.on_applied()
        notice = GenerationNotice(
            generation=generation, from_agent_address=self._settings.agent_address
        )
        peers = [m.agent_address for m in self._members.peers() if m.state == LIVE]
        for address in self._random.sample(peers, min(FAN_OUT, len(peers))):
            self._tasks.spawn(self._notify(address, notice))

    async def _notify(self, address: str, notice: GenerationNotice) -> None:
        try:
            await self._clients.notify_generation(address, notice)
        except ControlError:
            pass  # pings carry the generation too

    async def _fetch_forever(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            tries = 0
            while self._sources and tries < FETCH_TRIES * MAX_SOURCES:
                tries += 1
                address = max(
                    self._sources, key=lambda a: (self._sources[a], self._random.random())
                )
                if not await self._fetch(address):
                    await asyncio.sleep(REFETCH_S)

    async def _fetch(self, address: str) -> bool:
        """Fetch from a peer: step PullFromPeer of `spec/configuration.py`."""
        named = self._sources.pop(address, 0)
        if named <= self._cache.generation:
            return True
        try:
            held = self._cache.generation
            bundle = await self._clients.fetch_bundle(address, held)
            offered = self.offer(bundle)
            if offered is Offered.INCOMPLETE and held:
                bundle = await self._clients.fetch_bundle(address, 0)
                offered = self.offer(bundle)
        except ControlError:
            return False
        self._counters.count(AgentEvent.BUNDLE_FETCHED)
        return offered is Offered.APPLIED
