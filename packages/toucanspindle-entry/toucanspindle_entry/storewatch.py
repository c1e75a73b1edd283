"""Keeps a listener up to date with one kind of objects in the platform's store.

The watch lists all objects and then waits for changes.  A failed call is retried with exponential
backoff.  After an error or a lost history the watch lists the kind again, because an interrupted
watch call may have missed changes that the store no longer keeps.  Changes are received once or
twice a second at most, since the platform charges for each call.  The listener is told whether
the store was unreachable shortly before: objects missing then may only have expired.
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
    StoreChanges,
    StoreListing,
)

FIRST_RETRY_WAIT_S: Final = 0.1
MAX_RETRY_WAIT_S: Final = 1.0  # A change must be in force about 2 s after the store recovers.
# Pause after each batch of changes.  Drains must take effect within 2 s, and so must a plan on
# every host.  Targets change more often, in bursts during starts and releases.
CHANGE_INTERVAL_S: Final = {ObjectKind.PLAN: 0.4, ObjectKind.TARGETS: 0.8, ObjectKind.HOSTS: 0.8}
MIN_OUTAGE_S: Final = 1.0  # Entries may expire in the store during an outage longer than this.
REGISTRATION_GRACE_S: Final = 2.0  # Live targets register again within this time after an outage.
MIN_LISTING_INTERVAL_S: Final = 0.3  # Least time from a listing to the next requested one.

log = Logger("store")


class StoreListener(Protocol):
    """Receives the objects of one kind.

    `grace_until` is set shortly after the store was unreachable: objects that are missing may only
    have expired meanwhile, and are registered again by that time, in seconds of the watch's clock.
    """

    def on_listing(self, listing: StoreListing, grace_until: float | None) -> None:
        """Replace all objects of the kind by a listing."""
        ...

    def on_changes(self, changes: StoreChanges, grace_until: float | None) -> None:
        """Apply changes, oldest first."""
        ...


class StoreWatch:
    """Follows one kind of objects and passes them to one listener."""

    def __init__(
        self,
        store: ObjectStore,
        kind: ObjectKind,
        listener: StoreListener,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Create a watch; nothing is called before `start`."""
        self._store = store
        self._kind = kind
        self._listener = listener
        self._clock = clock
        self._rng = rng
        self._revision: int | None = None
        self._outage_began_at: float | None = None
        self._may_have_expired_until = float("-inf")
        self._listed_at = float("-inf")
        self._retry_wait_s = FIRST_RETRY_WAIT_S
        self._task: asyncio.Task[None] | None = None
        self._listing_requested = asyncio.Event()

    @property
    def is_unreachable(self) -> bool:
        """Whether the last call to the store failed."""
        return self._outage_began_at is not None

    @property
    def revision(self) -> int:
        """The store revision up to which changes are known; 0 while a listing is pending."""
        return self._revision or 0

    def start(self) -> None:
        """Start the background task that lists and watches."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """Cancel the background task and wait for its end."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def request_listing(self) -> None:
        """Request a listing, for example when another host has newer data.

        The request is ignored for MIN_LISTING_INTERVAL_S after a listing.
        """
        if self._clock.now() - self._listed_at > MIN_LISTING_INTERVAL_S:
            self._listing_requested.set()

    async def _run(self) -> None:
        while True:
            try:
                await self._list_or_watch()
            except HistoryLostError:
                log.info("event=history_lost kind={} revision={}", self._kind.value, self._revision)
                self._revision = None
            except PlatformError as error:
                await self._back_off(error)
            except Exception as error:
                # If the task ended here, the host would use stale data without any notice.
                log.exception("event=watch_failed kind={} error={!r}", self._kind.value, error)
                await self._back_off(error)

    async def _list_or_watch(self) -> None:
        """Run one listing, or one watch call, and pass the result to the listener."""
        if self._revision is None:
            self._listing_requested.clear()
            listing = await self._store.list_all(self._kind)
            self._listed_at = self._clock.now()
            self._record_success()
            self._revision = listing.revision
            self._listener.on_listing(listing, self._grace_until())
            return
        changes = await self._wait_for_changes(self._revision)
        if changes is None:
            self._revision = None
            return
        self._record_success()
        self._revision = changes.revision
        if changes.changes:
            self._listener.on_changes(changes, self._grace_until())
            await self._wait_for_listing_request(CHANGE_INTERVAL_S[self._kind])

    async def _wait_for_changes(self, revision: int) -> StoreChanges | None:
        """Wait for changes; return None if a new listing is requested first."""
        loop = asyncio.get_running_loop()
        watch_task = loop.create_task(self._store.watch(self._kind, revision))
        listing_request_task = loop.create_task(self._listing_requested.wait())
        try:
            await asyncio.wait(
                {watch_task, listing_request_task}, return_when=asyncio.FIRST_COMPLETED
            )
            return watch_task.result() if watch_task.done() else None
        finally:
            listing_request_task.cancel()
            watch_task.cancel()
            await asyncio.gather(watch_task, return_exceptions=True)

    def _grace_until(self) -> float | None:
        """Return until when missing objects may be registered again, or None if they are gone."""
        until = self._may_have_expired_until
        return until if self._clock.now() < until else None

    def _record_success(self) -> None:
        """Reset the backoff; after a long outage, start the grace for missing objects."""
        now = self._clock.now()
        if self._outage_began_at is not None:
            log.info(
                "event=store_regained kind={} away_s={:.2f}",
                self._kind.value,
                now - self._outage_began_at,
            )
            if now - self._outage_began_at > MIN_OUTAGE_S:
                self._may_have_expired_until = now + REGISTRATION_GRACE_S
        self._outage_began_at = None
        self._retry_wait_s = FIRST_RETRY_WAIT_S

    async def _back_off(self, error: Exception) -> None:
        """Wait after a failed call, twice as long after each; the next call lists the kind."""
        if self._outage_began_at is None:
            log.warning("event=store_lost kind={} error={}", self._kind.value, error)
            self._outage_began_at = self._clock.now()
        self._revision = None
        wait_s = self._retry_wait_s * self._rng.uniform(0.5, 1.0)
        self._retry_wait_s = min(MAX_RETRY_WAIT_S, self._retry_wait_s * 2)
        await self._wait_for_listing_request(wait_s)

    async def _wait_for_listing_request(self, seconds: float) -> None:
        """Wait for some seconds, or until a new listing is requested."""
        try:
            async with asyncio.timeout(seconds):
                await self._listing_requested.wait()
        except TimeoutError:
            pass
