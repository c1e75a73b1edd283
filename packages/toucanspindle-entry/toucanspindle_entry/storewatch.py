"""Follows one kind of objects in the platform's store: lists it, then watches for changes.

Errors lead to another try after a wait that doubles; a lost history leads to a new listing.  The
reader learns whether the store was away before a listing, since what is missing then may only have
lapsed.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Final, Protocol

from logbook import Logger
from toucanspindle_core.clock import Clock
from toucanspindle_core.errors import PlatformError

from toucanspindle_entry.objectstore import (
    HistoryLostError,
    ObjectKind,
    ObjectStore,
    StoreChange,
    StoreItem,
)

FIRST_WAIT_S: Final = 0.1
MAX_WAIT_S: Final = 1.0  # A change must be in force about 2 s after the store's return.
OUTAGE_S: Final = 1.0  # Entries can lapse when the store was unreachable for longer than this.
AFTER_OUTAGE_S: Final = 2.0  # Live targets register again this soon after the store's return.

log = Logger("store")


class StoreReader(Protocol):
    """Takes over what the store holds."""

    def take_listing(self, items: tuple[StoreItem, ...], after_outage: bool) -> None:
        """Take over all objects of the kind."""
        ...

    def take_changes(self, changes: tuple[StoreChange, ...], after_outage: bool) -> None:
        """Take over changes, oldest first."""
        ...


class StoreWatch:
    """Keeps one reader up to date."""

    def __init__(
        self,
        store: ObjectStore,
        kind: ObjectKind,
        reader: StoreReader,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Create a watch; `start` begins it."""
        self._store = store
        self._kind = kind
        self._reader = reader
        self._clock = clock
        self._rng = rng
        self._revision: int | None = None
        self._lost_at: float | None = None
        self._lapses_until = float("-inf")
        self._wait_s = FIRST_WAIT_S
        self._task: asyncio.Task[None] | None = None
        self._wake = asyncio.Event()

    @property
    def is_away(self) -> bool:
        """Whether the last call to the store failed."""
        return self._lost_at is not None

    @property
    def revision(self) -> int:
        """The store's revision up to which changes are known; 0 before the first listing."""
        return self._revision or 0

    def start(self) -> None:
        """Begin to follow the kind."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """Stop following."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def hurry(self) -> None:
        """Try again now, if waiting after an error."""
        self._wake.set()

    async def _run(self) -> None:
        while True:
            try:
                await self._step()
            except HistoryLostError:
                log.info("event=history_lost kind={} revision={}", self._kind.value, self._revision)
                self._revision = None
            except PlatformError as error:
                await self._back_off(error)

    async def _step(self) -> None:
        if self._revision is None:
            listing = await self._store.list_all(self._kind)
            self._note_reached()
            self._revision = listing.revision
            self._reader.take_listing(listing.items, self._may_have_lapsed())
            return
        changes = await self._store.watch(self._kind, self._revision)
        self._note_reached()
        self._revision = changes.revision
        if changes.changes:
            self._reader.take_changes(changes.changes, self._may_have_lapsed())

    def _may_have_lapsed(self) -> bool:
        """Return whether entries may be missing only because the store was away."""
        return self._clock.now() < self._lapses_until

    def _note_reached(self) -> None:
        now = self._clock.now()
        if self._lost_at is not None:
            log.info("event=store_regained kind={} away_s={:.2f}", self._kind.value, now - self._lost_at)
            if now - self._lost_at > OUTAGE_S:
                self._lapses_until = now + AFTER_OUTAGE_S
        self._lost_at = None
        self._wait_s = FIRST_WAIT_S

    async def _back_off(self, error: PlatformError) -> None:
        if self._lost_at is None:
            log.warning("event=store_lost kind={} error={}", self._kind.value, error)
            self._lost_at = self._clock.now()
        wait_s = self._wait_s * self._rng.uniform(0.5, 1.0)
        self._wait_s = min(MAX_WAIT_S, self._wait_s * 2)
        self._wake.clear()
        try:
            async with asyncio.timeout(wait_s):
                await self._wake.wait()
        except TimeoutError:
            pass
