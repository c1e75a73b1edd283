"""Watches the configuration head at the platform, on a few agents per failure domain.

The agents of a domain choose the same `WATCHERS_PER_DOMAIN` of its live members by rendezvous
hashing.  An agent that knows no live member of its domain is a watcher itself.  A watcher reads the
head, applies it, and waits for a newer version of the object.  It therefore also sees a head whose
generation is lower than the one held, for example after the platform's store was restored.  The
higher generation is kept; the event is counted and logged once.  All other agents learn of a
generation through `configdistributor.py`.

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

from toucanspindle_node.asyncplatform import AsyncPlatformClient
from toucanspindle_node.configcache import ConfigCache, OfferResult
from toucanspindle_node.configdistributor import ConfigDistributor
from toucanspindle_node.dependencies import AgentDependencies
from toucanspindle_node.eventcounters import AgentEvent
from toucanspindle_node.taskset import TaskSet

WATCHERS_PER_DOMAIN: Final = 2
ELECTION_KEY: Final = "config-watch"
WATCH_WAIT_S: Final = 10.0
ELECTION_CHECK_INTERVAL_S: Final = 0.5
MIN_RETRY_S: Final = 0.25
MAX_RETRY_S: Final = 4.0

_log = Logger("agent.watcher")


def is_watcher(settings: ProcessSettings, membership: Membership) -> bool:
    """Return whether this agent is one of its failure domain's watchers."""
    domain = settings.failure_domain
    members = [m for m in membership.all_members() if m.failure_domain == domain]
    live = [m for m in members if m.state == LIVE]
    chosen: list[Member] = choose_by_weight(ELECTION_KEY, live, WATCHERS_PER_DOMAIN)
    return not chosen or any(m.agent_address == settings.agent_address for m in chosen)


class ConfigReader:
    """Reads a configuration from the platform, except parts that the cache has already."""

    def __init__(self, platform: AsyncPlatformClient, cache: ConfigCache) -> None:
        self._platform = platform
        self._cache = cache

    async def read_head(self) -> StoredObject | None:
        """Return the head object, or None if there is none.

        Raises PlatformError if the platform can't be reached.
        """
        return await self._platform.call(lambda client: client.read(CONFIG_KIND, HEAD_NAME))

    async def read_bundle(self, stored: StoredObject) -> ConfigBundle:
        """Return the bundle of a head; parts that are missing or don't match are left out.

        Raises PlatformError if the head is malformed or the platform can't be reached.
        """
        head = parse_head(stored)
        parts: dict[str, bytes] = {}
        for role, digest in self._cache.missing_parts(head).items():
            data = await self._platform.call(partial(_read_part, digest=digest))
            if data is not None and _is_valid_part(role, digest, data):
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
            f"The configuration head is malformed: {error.error_count()} invalid value(s).",
            "apply the configuration again with toucanctl",
        ) from error


def _read_part(client: PlatformClient, *, digest: str) -> bytes | None:
    stored = client.read(PART_KIND, digest)
    return None if stored is None else canonical_json(stored.value)


def _is_valid_part(role: str, digest: str, data: bytes) -> bool:
    try:
        verified_value(role, digest, data)
    except ConfigPartError:
        return False
    return True


class ConfigWatcher:
    """Watches the head while this agent is one of its domain's watchers."""

    def __init__(self, dependencies: AgentDependencies, distributor: ConfigDistributor) -> None:
        self._settings = dependencies.settings
        self._platform = dependencies.platform
        self._cache = dependencies.config_cache
        self._config_reader = ConfigReader(dependencies.platform, dependencies.config_cache)
        self._distributor = distributor
        self._membership = dependencies.membership
        self._counters = dependencies.counters
        self._tasks = TaskSet()
        self._is_watching = False
        self._is_head_outdated = False

    @property
    def watching(self) -> bool:
        """Whether this agent is a watcher now."""
        return self._is_watching

    async def start(self) -> None:
        """Start the loop that watches the head whenever this agent is a watcher."""
        self._tasks.spawn(self._watch_forever())

    async def close(self) -> None:
        """Stop the loop; a running watch is abandoned."""
        await self._tasks.close()

    async def _watch_forever(self) -> None:
        retry_s = MIN_RETRY_S
        while True:
            self._is_watching = is_watcher(self._settings, self._membership)
            if not self._is_watching:
                await asyncio.sleep(ELECTION_CHECK_INTERVAL_S)
                continue
            try:
                succeeded = await self._watch_once()
            except PlatformError:
                succeeded = False
            retry_s = MIN_RETRY_S if succeeded else min(MAX_RETRY_S, 2 * retry_s)
            if not succeeded:
                await asyncio.sleep(retry_s)

    async def _watch_once(self) -> bool:
        """Read the head and wait for a newer one; return False if either couldn't be applied.

        Step WatchHead of `spec/configuration.py`.
        """
        stored = await self._config_reader.read_head()
        if stored is not None and not await self._apply_head(stored):
            return False
        last_version = stored.version if stored else 0
        newer = await self._platform.watch(CONFIG_KIND, HEAD_NAME, last_version, WATCH_WAIT_S)
        return newer is None or await self._apply_head(newer)

    async def _apply_head(self, stored: StoredObject) -> bool:
        head = parse_head(stored)
        self._update_head_outdated(head.generation < self._cache.generation, head.generation)
        if head.generation <= self._cache.generation:
            return True
        bundle = await self._config_reader.read_bundle(stored)
        return self._distributor.offer(bundle) in {OfferResult.APPLIED, OfferResult.NOT_HIGHER}

    def _update_head_outdated(self, is_outdated: bool, generation: int) -> None:
        if is_outdated:
            self._counters.count(AgentEvent.HEAD_OUTDATED)
        if is_outdated and not self._is_head_outdated:
            _log.error(
                "{}: the platform has generation {}, lower than the applied {};"
                " apply the configuration again with toucanctl",
                errorcodes.PLATFORM_HEAD_OUTDATED,
                generation,
                self._cache.generation,
            )
        elif self._is_head_outdated and not is_outdated:
            _log.notice("the platform's configuration is up to date again")
        self._is_head_outdated = is_outdated
