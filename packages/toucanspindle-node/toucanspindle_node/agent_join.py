"""Decides when a restarted agent knows a configuration that is safe to serve.

The agent keeps nothing over a restart, and the first peer to answer may lag.  It therefore asks
several peers in different failure domains, and the platform, for the generation they hold:

- The highest generation that anyone named must be held before anything is served.
- With the platform's answer, `QUORUM` peers or all that can be reached must have answered.
- Without it, `QUORUM` peers that hold a configuration must have answered, from two failure
  domains where there are two; after `JOIN_LIMIT_S` the peers that did answer suffice.

Step of spec/configuration.py: Join, with the guard ASK_SEVERAL_PEERS.
"""

import asyncio
import random
from typing import Final

from logbook import Logger
from toucanspindle_core.errors import ControlError, PlatformError

from toucanspindle_node.agent_parts import AgentParts
from toucanspindle_node.configspread import ConfigSpread
from toucanspindle_node.memberloop import MemberLoop
from toucanspindle_node.watcher import ConfigReader, parse_head

QUORUM: Final = 3
QUORUM_DOMAINS: Final = 2
ASKED_AT_A_TIME: Final = 6
JOIN_LIMIT_S: Final = 15.0
ROUND_S: Final = 0.25
ASK_TIMEOUT_S: Final = 1.0

_log = Logger("agent.join")


class ConfigJoin:
    """Asks around after a start until serving is safe.

    Invariant: `ready` turns true once and stays so; it isn't true while a generation higher than
    the one held has been named.
    """

    def __init__(self, parts: AgentParts, spread: ConfigSpread, members: MemberLoop) -> None:
        self._cache = parts.cache
        self._spread = spread
        self._members = members
        self._membership = parts.membership
        self._reader = ConfigReader(parts.platform, parts.cache)
        self._clock = parts.clock
        self._random = random.Random()
        self._answers: dict[str, int] = {}
        self._tried: set[str] = set()
        self._platform_generation: int | None = None
        self.ready = False

    async def run(self) -> None:
        """Ask until serving is safe.

        Step Join of `spec/configuration.py`, guard ASK_SEVERAL_PEERS.
        """
        started = self._clock.now()
        while not self.ready:
            await asyncio.gather(self._ask_platform(), self._ask_peers())
            limit_passed = self._clock.now() - started >= JOIN_LIMIT_S
            self.ready = self._suffices(limit_passed)
            if not self.ready:
                await asyncio.sleep(ROUND_S)
        _log.info(
            "serving from generation {} after asking {} peer(s){}",
            self._cache.generation,
            len(self._answers),
            "" if self._platform_generation is not None else "; the platform is away",
        )

    def _suffices(self, limit_passed: bool) -> bool:
        named = max([self._platform_generation or 0, *self._answers.values()])
        if self._cache.generation < named:
            return False
        candidates = self._members.exchange.candidates()
        quorum = min(QUORUM, len(candidates))
        if self._platform_generation is not None:
            return len(self._answers) >= quorum or candidates <= self._tried
        if self._cache.generation == 0:
            return False
        informed = [address for address, generation in self._answers.items() if generation]
        return limit_passed or (len(informed) >= quorum and self._spans_domains(informed))

    def _spans_domains(self, addresses: list[str]) -> bool:
        domain_of = {m.agent_address: m.failure_domain for m in self._membership.peers()}
        wanted = min(QUORUM_DOMAINS, len(set(domain_of.values())))
        return len({domain_of[a] for a in addresses if a in domain_of}) >= wanted

    async def _ask_platform(self) -> None:
        try:
            stored = await self._reader.read_head()
            self._platform_generation = parse_head(stored).generation if stored else 0
            if stored is not None and self._platform_generation > self._cache.generation:
                self._spread.offer(await self._reader.read_bundle(stored))
        except PlatformError:
            pass  # asked again in the next round

    async def _ask_peers(self) -> None:
        unasked = sorted(self._members.exchange.candidates() - set(self._answers))
        chosen = self._random.sample(unasked, min(ASKED_AT_A_TIME, len(unasked)))
        await asyncio.gather(*(self._ask(address) for address in chosen))

    async def _ask(self, address: str) -> None:
        try:
            answer = await self._members.ping(address, None, ASK_TIMEOUT_S)
            self._answers[address] = answer.generation
        except ControlError:
            pass  # it may answer in a later round
        self._tried.add(address)
