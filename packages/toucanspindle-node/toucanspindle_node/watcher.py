"""Watches the configuration head at the platform, on few agents per failure domain.

The agents of a domain choose the same `WATCHERS_PER_DOMAIN` of its live members by rendezvous
hashing; an agent that knows none of its domain watches itself.  A watcher reads the head, applies
it, and waits for a later version; so a head that became older than ours is seen too: the higher
one is kept, counted, and reported once.  The rest of the fleet hears of a generation by
`configspread.py`.

Step of spec/configuration.py: WatchHead.
"""

import asyncio
from functools import partial
from typing import Final

from logbook import Logger
from pydantic import ValidationError
from toucanspindle_core import errorcodes
from toucanspindle_core.assignment import choose_by_weight
from toucanspindle_core.configparts import ConfigPartError, verified_value
from toucanspindle_core.control_pb2 import LIVE, ConfigBundle, Member
from toucanspindle_core.errors import PlatformError
from toucanspindle_core.membership import Membership
from toucanspindle_core.objects import (
    CONFIG_KIND,
    HEAD_NAME,
    PART_KIND,
    ConfigHead,
    canonical_json,
)
from toucanspindle_core.platformclient import PlatformClient, StoredObject
from toucanspindle_core.processsettings import ProcessSettings

from toucanspindle_node.agent_counters import AgentEvent
from toucanspindle_node.agent_parts import AgentParts
from toucanspindle_node.agent_platform import AgentPlatform
from toucanspindle_node.agent_tasks import TaskSet
from toucanspindle_node.configcache import ConfigCache, Offered
from toucanspindle_node.configspread import ConfigSpread

WATCHERS_PER_DOMAIN: Final = 2
ELECTION_KEY: Final = "config-watch"
WATCH_WAIT_S: Final = 10.0
IDLE_CHECK_S: Final = 0.5
MIN_RETRY_S: Final = 0.25
MAX_RETRY_S: Final = 4.0

_log = Logger("agent.watcher")


def is_watcher(settings: ProcessSettings, membership: Membership) -> bool:
    """Say whether this agent is one of its failure domain's watchers."""
    domain = settings.failure_domain
    members = [m for m in membership.all_members() if m.failure_domain == domain]
    live = [m for m in members if m.state == LIVE]
    chosen: list[Member] = choose_by_weight(ELECTION_KEY, live, WATCHERS_PER_DOMAIN)
    return not chosen or any(m.agent_address == settings.agent_address for m in chosen)


class ConfigReader:
    """Reads a configuration from the platform, leaving out parts that are held already."""

    def __init__(self, platform: AgentPlatform, cache: ConfigCache) -> None:
        self._platform = platform
        self._cache = cache

    async def read_head(self) -> StoredObject | None:
        """Return the head object, or None; raise PlatformError."""
        return await self._platform.call(lambda client: client.read(CONFIG_KIND, HEAD_NAME))

    async def read_bundle(self, stored: StoredObject) -> ConfigBundle:
        """Return the bundle of a head, without missing or altered parts; raise PlatformError."""
        head = parse_head(stored)
        parts: dict[str, bytes] = {}
        for role, digest in self._cache.lacks(head).items():
            data = await self._platform.call(partial(_read_part, digest=digest))
            if data is not None and _is_genuine(role, digest, data):
                parts[digest] = data
        encoded = canonical_json(stored.value)
        return ConfigBundle(generation=head.generation, head=encoded, parts=parts)


def parse_head(stored: StoredObject) -> ConfigHead:
    """Return the validated head; raise PlatformError if it is malformed."""
    try:
        return ConfigHead.model_validate(stored.value)
    except ValidationError as error:
        raise PlatformError(
            errorcodes.PLATFORM_MALFORMED,
            f"The configuration head is malformed: {error.error_count()} wrong value(s).",
            "apply the configuration again with toucanctl",
        ) from error


def _read_part(client: PlatformClient, *, digest: str) -> bytes | None:
    stored = client.read(PART_KIND, digest)
    return None if stored is None else canonical_json(stored.value)


def _is_genuine(role: str, digest: str, data: bytes) -> bool:
    try:
        verified_value(role, digest, data)
    except ConfigPartError:
        return False
    return True


class ConfigWatcher:
    """Holds the waiting watch while this agent is one of its domain's watchers."""

    def __init__(self, parts: AgentParts, spread: ConfigSpread) -> None:
        self._settings = parts.settings
        self._platform = parts.platform
        self._cache = parts.cache
        self._reader = ConfigReader(parts.platform, parts.cache)
        self._spread = spread
        self._members = parts.membership
        self._counters = parts.counters
        self._tasks = TaskSet()
        self._watching = False
        self._behind = False

    @property
    def watching(self) -> bool:
        """Whether this agent is a watcher now."""
        return self._watching

    async def start(self) -> None:
        """Begin to watch whenever this agent is chosen."""
        self._tasks.spawn(self._run())

    async def close(self) -> None:
        """Stop watching; a watch in flight is abandoned."""
        await self._tasks.close()

    async def _run(self) -> None:
        retry_s = MIN_RETRY_S
        while True:
            self._watching = is_watcher(self._settings, self._members)
            if not self._watching:
                await asyncio.sleep(IDLE_CHECK_S)
                continue
            try:
                whole = await self._watch_once()
            except PlatformError:
                whole = False
            retry_s = MIN_RETRY_S if whole else min(MAX_RETRY_S, 2 * retry_s)
            if not whole:
                await asyncio.sleep(retry_s)

    async def _watch_once(self) -> bool:
        """Read the head and wait for the next; return False if it couldn't be applied.

        Step WatchHead of `spec/configuration.py`.
        """
        stored = await self._reader.read_head()
        if stored is not None and not await self._take(stored):
            return False
        after = stored.version if stored else 0
        later = await self._platform.watch(CONFIG_KIND, HEAD_NAME, after, WATCH_WAIT_S)
        return later is None or await self._take(later)

    async def _take(self, stored: StoredObject) -> bool:
        head = parse_head(stored)
        self._note_behind(head.generation < self._cache.generation, head.generation)
        if head.generation <= self._cache.generation:
            return True
        bundle = await self._reader.read_bundle(stored)
        return self._spread.offer(bundle) in {Offered.APPLIED, Offered.NOT_HIGHER}

    def _note_behind(self, behind: bool, generation: int) -> None:
        if behind:
            self._counters.count(AgentEvent.HEAD_BEHIND)
        if behind and not self._behind:
            _log.error(
                "{}: the platform holds generation {}, keeping {};"
                " apply the configuration again with toucanctl",
                errorcodes.HEAD_BEHIND,
                generation,
                self._cache.generation,
            )
        elif self._behind and not behind:
            _log.notice("the platform's configuration has caught up")
        self._behind = behind
