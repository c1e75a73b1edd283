"""Follows one kind of objects in the platform's store: lists it, then watches for changes.

Errors lead to another try after a wait that doubles.  After an error or a lost history the kind is
listed anew: a watch that was cut may have missed changes whose history is gone.  Changes are
taken in once or twice a second at most, since each call to the store is priced.  The
reader learns whether the store was away before a listing, since what is missing then may only have
lapsed.
"""

import asyncio
import random
from typing import Final, Protocol

from logbook import Logger
from toucanspindle_core.clock import Clock
from toucanspindle_core.errors import PlatformError

from toucanspindle_entry.objectstore import (
    HistoryLostError,
    ObjectKind,
    ObjectStore,
    StoreChange,
    StoreChanges,
    StoreItem,
)

FIRST_WAIT_S: Final = 0.1
MAX_WAIT_S: Final = 1.0  # A change must be in force about 2 s after the store's return.
# Pause between two watch calls.  Drains must be heeded within 2 s, a plan on every host as well;
# targets change more often, in bursts at starts and releases.
COALESCE_S: Final = {ObjectKind.PLAN: 0.4, ObjectKind.TARGETS: 0.8, ObjectKind.HOSTS: 0.8}
OUTAGE_S: Final = 1.0  # Entries can lapse when the store was unreachable for longer than this.
AFTER_OUTAGE_S: Final = 2.0  # Live targets register again this soon after the store's return.
REFRESH_S: Final = 0.3  # Least time between two listings that other hosts' news lead to.

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
        self._listed_at = float("-inf")
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

    def refresh(self) -> None:
        """List the kind anew, soon: another host knows something newer."""
        if self._clock.now() - self._listed_at > REFRESH_S:
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
            except Exception as error:
                # Without its watch a host would go stale unseen: report the fault and go on.
                log.exception("event=watch_failed kind={} error={!r}", self._kind.value, error)
                await self._back_off(error)

    async def _step(self) -> None:
        if self._revision is None:
            self._wake.clear()
            listing = await self._store.list_all(self._kind)
            self._listed_at = self._clock.now()
            self._note_reached()
            self._revision = listing.revision
            self._reader.take_listing(listing.items, self._may_have_lapsed())
            return
        changes = await self._next_changes(self._revision)
        if changes is None:
            self._revision = None
            return
        self._note_reached()
        self._revision = changes.revision
        if changes.changes:
            self._reader.take_changes(changes.changes, self._may_have_lapsed())
            await self._sleep(COALESCE_S[self._kind])

    async def _next_changes(self, revision: int) -> StoreChanges | None:
        """Wait for changes; return None when a new listing was asked for first."""
        loop = asyncio.get_running_loop()
        watching = loop.create_task(self._store.watch(self._kind, revision))
        waking = loop.create_task(self._wake.wait())
        try:
            await asyncio.wait({watching, waking}, return_when=asyncio.FIRST_COMPLETED)
            return watching.result() if watching.done() else None
        finally:
            waking.cancel()
            watching.cancel()
            await asyncio.gather(watching, return_exceptions=True)

    def _may_have_lapsed(self) -> bool:
        """Return whether entries may be missing only because the store was away."""
        return self._clock.now() < self._lapses_until

    def _note_reached(self) -> None:
        now = self._clock.now()
        if self._lost_at is not None:
            log.info(
                "event=store_regained kind={} away_s={:.2f}", self._kind.value, now - self._lost_at
            )
            if now - self._lost_at > OUTAGE_S:
                self._lapses_until = now + AFTER_OUTAGE_S
        self._lost_at = None
        self._wait_s = FIRST_WAIT_S

    async def _back_off(self, error: Exception) -> None:
        if self._lost_at is None:
            log.warning("event=store_lost kind={} error={}", self._kind.value, error)
            self._lost_at = self._clock.now()
        self._revision = None
        wait_s = self._wait_s * self._rng.uniform(0.5, 1.0)
        self._wait_s = min(MAX_WAIT_S, self._wait_s * 2)
        await self._sleep(wait_s)

    async def _sleep(self, seconds: float) -> None:
        """Wait, or until a new listing is asked for."""
        try:
            async with asyncio.timeout(seconds):
                await self._wake.wait()
        except TimeoutError:
            pass
