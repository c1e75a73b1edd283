"""Decides when a restarted agent has a configuration that is safe to serve.

The agent stores nothing across a restart, and the first peer to answer may hold an old generation.
The agent therefore asks several peers in different failure domains, and the platform, which
generation they hold:

- The agent serves nothing until it holds the highest generation that any of them reported.
- If the platform answered, `PEER_QUORUM` peers must have answered, or every candidate must have
  been asked.
- If the platform didn't answer, `PEER_QUORUM` peers that hold a configuration must have answered,
  from `QUORUM_DOMAINS` failure domains if there are as many.  After `QUORUM_TIMEOUT_S` the agent
  accepts fewer peers.

Step of spec/configuration.py: Join, with the guard ASK_SEVERAL_PEERS.
"""

import asyncio
import random
from typing import Final

from logbook import Logger
from toucanspindle_core.errors import ControlError, PlatformError

from toucanspindle_node.configdistributor import ConfigDistributor
from toucanspindle_node.configwatcher import ConfigReader, parse_head
from toucanspindle_node.dependencies import AgentDependencies
from toucanspindle_node.membershipprober import MembershipProber

PEER_QUORUM: Final = 3
QUORUM_DOMAINS: Final = 2
MAX_PEERS_PER_ROUND: Final = 6
QUORUM_TIMEOUT_S: Final = 15.0
ROUND_INTERVAL_S: Final = 0.25
ASK_TIMEOUT_S: Final = 1.0

_log = Logger("agent.join")


class ConfigBootstrap:
    """Collects generations after a start until a configuration is safe to serve.

    Invariant: `ready` becomes true once and stays true.  It doesn't become true while a generation
    higher than the one held has been reported.
    """

    def __init__(
        self,
        dependencies: AgentDependencies,
        distributor: ConfigDistributor,
        prober: MembershipProber,
    ) -> None:
        self._cache = dependencies.config_cache
        self._distributor = distributor
        self._prober = prober
        self._membership = dependencies.membership
        self._config_reader = ConfigReader(dependencies.platform, dependencies.config_cache)
        self._clock = dependencies.clock
        self._random = random.Random()
        self._generation_by_peer: dict[str, int] = {}
        self._asked_peers: set[str] = set()
        self._platform_generation: int | None = None
        self.ready = False

    async def run(self) -> None:
        """Ask the platform and peers in rounds until a configuration is safe to serve.

        Step Join of `spec/configuration.py`, guard ASK_SEVERAL_PEERS.
        """
        started = self._clock.now()
        while not self.ready:
            await asyncio.gather(self._ask_platform(), self._ask_peers())
            is_timed_out = self._clock.now() - started >= QUORUM_TIMEOUT_S
            self.ready = self._is_safe_to_serve(is_timed_out)
            if not self.ready:
                await asyncio.sleep(ROUND_INTERVAL_S)
        _log.info(
            "serving generation {} after answers from {} peer(s){}",
            self._cache.generation,
            len(self._generation_by_peer),
            "" if self._platform_generation is not None else "; the platform is unreachable",
        )

    def _is_safe_to_serve(self, is_timed_out: bool) -> bool:
        highest = max([self._platform_generation or 0, *self._generation_by_peer.values()])
        if self._cache.generation < highest:
            return False
        candidates = self._prober.exchange.candidates()
        quorum = min(PEER_QUORUM, len(candidates))
        if self._platform_generation is not None:
            return len(self._generation_by_peer) >= quorum or candidates <= self._asked_peers
        if self._cache.generation == 0:
            return False
        peers_with_config = [
            address for address, generation in self._generation_by_peer.items() if generation
        ]
        return is_timed_out or (
            len(peers_with_config) >= quorum and self._spans_domains(peers_with_config)
        )

    def _spans_domains(self, addresses: list[str]) -> bool:
        domain_of = {m.agent_address: m.failure_domain for m in self._membership.peers()}
        required = min(QUORUM_DOMAINS, len(set(domain_of.values())))
        return len({domain_of[a] for a in addresses if a in domain_of}) >= required

    async def _ask_platform(self) -> None:
        try:
            stored = await self._config_reader.read_head()
            self._platform_generation = parse_head(stored).generation if stored else 0
            if stored is not None and self._platform_generation > self._cache.generation:
                self._distributor.offer(await self._config_reader.read_bundle(stored))
        except PlatformError:
            pass  # the next round asks again

    async def _ask_peers(self) -> None:
        unanswered = sorted(self._prober.exchange.candidates() - set(self._generation_by_peer))
        chosen = self._random.sample(unanswered, min(MAX_PEERS_PER_ROUND, len(unanswered)))
        await asyncio.gather(*(self._ask(address) for address in chosen))

    async def _ask(self, address: str) -> None:
        try:
            answer = await self._prober.ping(address, None, ASK_TIMEOUT_S)
            self._generation_by_peer[address] = answer.generation
        except ControlError:
            pass  # a later round asks again
        self._asked_peers.add(address)
