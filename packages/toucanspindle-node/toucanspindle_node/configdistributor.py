"""Distributes configurations between agents by notices and fetches.

An agent that applied a generation notifies `NOTIFY_FAN_OUT` random peers.  An agent that learns of
a higher generation, from a notice or a ping, fetches it from the peer that reported it and notifies
others in turn.  Pings carry the generation too, so an agent that missed every notice still learns
of it.

A restarted agent has no configuration, and the first peer to answer may have an old one;
`configbootstrap.py` decides when a restarted agent may serve.

Step of spec/configuration.py: PullFromPeer.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Final

from logbook import Logger
from toucanspindle_core.control_pb2 import LIVE, ConfigBundle, GenerationNotice
from toucanspindle_core.errors import ControlError

from toucanspindle_node.configcache import OfferResult
from toucanspindle_node.dependencies import AgentDependencies
from toucanspindle_node.eventcounters import AgentEvent
from toucanspindle_node.taskset import TaskSet

NOTIFY_FAN_OUT: Final = 3
MAX_KNOWN_PEER_GENERATIONS: Final = 8
FETCH_RETRY_DELAY_S: Final = 0.5
FETCHES_PER_PEER: Final = 3

_log = Logger("agent.config")


class ConfigDistributor:
    """Fetches higher generations from peers and notifies peers of them.

    Invariant: at most one fetch runs at a time.
    """

    def __init__(self, dependencies: AgentDependencies) -> None:
        self._settings = dependencies.settings
        self._cache = dependencies.config_cache
        self._membership = dependencies.membership
        self._clients = dependencies.peer_clients
        self._counters = dependencies.counters
        self._random = random.Random()
        self._generation_by_peer: dict[str, int] = {}
        self._fetch_needed = asyncio.Event()
        self._tasks = TaskSet()
        self._last_logged_result: OfferResult | None = None
        self.on_applied: Callable[[], None] = lambda: None

    async def start(self) -> None:
        """Start the loop that fetches higher generations."""
        self._tasks.spawn(self._fetch_forever())

    async def close(self) -> None:
        """Stop the loop and cancel unsent notices."""
        await self._tasks.close()

    @property
    def highest_known_generation(self) -> int:
        """The highest generation that this agent holds or a peer reported."""
        return max([self._cache.generation, *self._generation_by_peer.values()])

    def record_peer_generation(self, generation: int, address: str) -> None:
        """Record which generation the agent at `address` holds.

        A generation higher than the one held is fetched.
        """
        if generation <= self._cache.generation or not address:
            return
        if (
            len(self._generation_by_peer) >= MAX_KNOWN_PEER_GENERATIONS
            and address not in self._generation_by_peer
        ):
            del self._generation_by_peer[
                min(self._generation_by_peer, key=lambda a: self._generation_by_peer[a])
            ]
        self._generation_by_peer[address] = generation
        self._fetch_needed.set()

    def offer(self, bundle: ConfigBundle) -> OfferResult:
        """Offer a bundle to the cache; notify peers if it was applied.

        A rejected bundle is counted, and logged if the last rejection had another result.
        """
        result = self._cache.offer(bundle)
        if result is OfferResult.APPLIED:
            self._handle_applied()
        elif result is OfferResult.INCOMPLETE:
            self._counters.count(AgentEvent.CONFIG_INCOMPLETE)
        elif result is OfferResult.MALFORMED:
            self._counters.count(AgentEvent.CONFIG_REFUSED)
        if (
            result in {OfferResult.INCOMPLETE, OfferResult.MALFORMED}
            and result is not self._last_logged_result
        ):
            self._last_logged_result = result
            _log.warning(
                "generation {} is {}; generation {} stays in force",
                bundle.generation,
                result.value,
                self._cache.generation,
            )
        return result

    def _handle_applied(self) -> None:
        self._last_logged_result = None
        generation = self._cache.generation
        self._counters.count(AgentEvent.CONFIG_APPLIED)
        _log.info("applied generation {}", generation)
        self._generation_by_peer = {
            a: g for a, g in self._generation_by_peer.items() if g > generation
        }
        self.on_applied()
        notice = GenerationNotice(
            generation=generation, from_agent_address=self._settings.agent_address
        )
        peers = [m.agent_address for m in self._membership.peers() if m.state == LIVE]
        for address in self._random.sample(peers, min(NOTIFY_FAN_OUT, len(peers))):
            self._tasks.spawn(self._send_notice(address, notice))

    async def _send_notice(self, address: str, notice: GenerationNotice) -> None:
        try:
            await self._clients.notify_generation(address, notice)
        except ControlError:
            pass  # pings carry the generation too

    async def _fetch_forever(self) -> None:
        """Fetch from the peer with the highest generation whenever a peer has a higher one.

        A bounded number of fetches follows each report of a higher generation.
        """
        while True:
            await self._fetch_needed.wait()
            self._fetch_needed.clear()
            fetches = 0
            while (
                self._generation_by_peer and fetches < FETCHES_PER_PEER * MAX_KNOWN_PEER_GENERATIONS
            ):
                fetches += 1
                address = max(
                    self._generation_by_peer,
                    key=lambda a: (self._generation_by_peer[a], self._random.random()),
                )
                if not await self._fetch(address):
                    await asyncio.sleep(FETCH_RETRY_DELAY_S)

    async def _fetch(self, address: str) -> bool:
        """Fetch the configuration of the agent at `address`; return False to delay the next fetch.

        Step PullFromPeer of `spec/configuration.py`.
        """
        peer_generation = self._generation_by_peer.pop(address, 0)
        if peer_generation <= self._cache.generation:
            return True
        try:
            own_generation = self._cache.generation
            bundle = await self._clients.fetch_bundle(address, own_generation)
            result = self.offer(bundle)
            if result is OfferResult.INCOMPLETE and own_generation:
                bundle = await self._clients.fetch_bundle(address, 0)
                result = self.offer(bundle)
        except ControlError:
            return False
        self._counters.count(AgentEvent.BUNDLE_FETCHED)
        return result is OfferResult.APPLIED
