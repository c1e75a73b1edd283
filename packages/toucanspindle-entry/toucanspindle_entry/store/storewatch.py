"""Keeps a listener up to date with one kind of objects in the platform's store.

The watch lists all objects and then waits for changes.  A failed call is retried with exponential
backoff.  After an error or a lost history the watch lists the kind again, because an interrupted
watch call may have missed changes that the store no longer keeps.  Changes are received a few times
a second at most, since the platform charges for each call.  The listener is told whether the store
was unreachable shortly before: objects missing then may only have expired.

A host that isn't a watcher of its failure domain leaves the calls to those, and follows what they
pass on (`receive`).  It calls the store itself if that doesn't follow from its own revision, or if
it hears of no answer of the store for MAX_UNCONFIRMED_S.

Revisions compare only within an era of the store.  Once an answer shows a newer era, the watch
lists the kind, and objects that are missing from the restored copy have REGISTRATION_GRACE_S to be
written again.  Answers and messages of an older era are ignored; a message of a newer one leads to
a listing.
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Protocol

from logbook import Logger
from toucanspindle_core import errorcodes
from toucanspindle_core.clock import Clock
from toucanspindle_core.errors import PlatformError

from toucanspindle_entry.store.objectstore import (
    HistoryLostError,
    ObjectKind,
    ObjectStore,
    StoreChange,
    StoreChanges,
    StoreListing,
)

FIRST_RETRY_WAIT_S: Final = 0.1
MAX_RETRY_WAIT_S: Final = 1.0  # A change must be in force about 2 s after the store recovers.
# Pause after each batch of changes.  Drains must take effect within 2 s, and so must a plan on
# every host.  Targets change more often, in bursts during starts and releases.
CHANGE_INTERVAL_S: Final = {ObjectKind.PLAN: 0.4, ObjectKind.TARGETS: 0.8, ObjectKind.HOSTS: 0.8}
# A host that hears of no answer of the store for this long calls it.  Drains must take effect
# within 2 s.
MAX_UNCONFIRMED_S: Final = 1.4
MIN_FOLLOW_S: Final = 0.02
# A change, or a start of all hosts, makes all watchers call at the same time.  In a large fleet
# their next calls end at different times within this, as each call that ends confirms the revision
# to all hosts.  Otherwise no call would end for MAX_UNCONFIRMED_S, and every host would call.
SPREAD_WAIT_S: Final = 1.0
# The first watcher of a large fleet ends its calls at least this often, and its first one after a
# change this soon, for the same reason.  The pause after a change takes up to 0.8 s more, and it
# takes up to 0.25 s until the other watchers pass a confirmation on.
FIRST_WATCHER_WAIT_S: Final = 0.9
FIRST_WATCHER_SPREAD_WAIT_S: Final = 0.3
MIN_SPREAD_WAIT_S: Final = 0.05
# A host that knows no others yet takes itself for a watcher.  One that started from a snapshot
# first gets to know them.
SETTLE_S: Final = 0.5
# A host that has heard of no confirmation for longer lists the kind again: the store may have
# dropped the changes since, and doesn't always say so.
MAX_RESUME_GAP_S: Final = 3.0
# If answers to watches are to prove what is newest: longest pause between two calls.  The store may
# drop its history without notice, and then a watch from before doesn't tell the changes since.
MAX_WATCH_PAUSE_S: Final = 0.5
MIN_OUTAGE_S: Final = 1.0  # Entries may expire in the store during an outage longer than this.
# Live targets register again within this time after an outage, or once the store was restored.
REGISTRATION_GRACE_S: Final = 2.0
MIN_LISTING_INTERVAL_S: Final = 0.3  # Least time from a listing to the next requested one.

OLDER_ERA_REMEDY: Final = (
    "find out why the store's era went back; hosts that have seen the later one must be restarted"
)

EraObserver = Callable[[int, float], None]  # Takes the era, and the time at which it was seen.

log = Logger("store")


@dataclass(frozen=True)
class StoreProgress:
    """What a host knows of a kind: the changes that lead from a revision to a later one.

    Without changes, nothing changed between the two; `changes` is None if they aren't told.  The
    store confirmed `age_s` seconds ago that the revision is the newest one.  Objects that are
    missing may be registered again within `grace_s` seconds; 0 means that they are gone.  Both
    revisions are of the same era.
    """

    base_revision: int
    revision: int
    age_s: float
    grace_s: float
    changes: tuple[StoreChange, ...] | None
    era: int = 0

    def without_changes(self) -> "StoreProgress":
        """Return the same without changes; a host that lacks them must ask the store."""
        return dataclasses.replace(self, base_revision=self.revision, changes=None)


@dataclass(frozen=True)
class StoreSnapshot:
    """A listing from another host; the store confirmed its revision `age_s` seconds ago."""

    listing: StoreListing
    age_s: float


class SnapshotSource(Protocol):
    """Gives a starting host what other hosts know."""

    async def fetch(self, kind: ObjectKind) -> StoreSnapshot | None:
        """Return what another host knows of a kind, or None if it must be read from the store."""
        ...


class ChangeExchange(Protocol):
    """Decides which hosts watch the store, and passes changes on to the others."""

    @property
    def is_watcher(self) -> bool:
        """Whether this host watches the store for others."""
        ...

    @property
    def spares_calls(self) -> bool:
        """Whether calls that each host would make are to be avoided now."""
        ...

    @property
    def is_first_watcher(self) -> bool:
        """Whether this host is the first one among the watchers of all failure domains."""
        ...

    def announce(self) -> None:
        """Tell now what is known of all kinds, if this host watches the store."""
        ...

    def pass_on(self, kind: ObjectKind, progress: StoreProgress, is_own: bool) -> None:
        """Pass new changes on; `is_own` if this host read them from the store itself."""
        ...


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
        *,
        exchange: ChangeExchange | None = None,
        on_answer: Callable[[float], None] | None = None,
        snapshots: SnapshotSource | None = None,
        confirms_by_listing: Callable[[], bool] = lambda: False,
    ) -> None:
        """Create a watch; nothing is called before `start`.

        Without an exchange the host always watches the store itself.  `on_answer` is called after
        the listener got what an answer of the store shows, with the time at which the call was
        sent: what the answer shows was the newest at some time after that.  With
        `confirms_by_listing` the kind is also listed after each watch call, and only listings count
        as answers.  The first listing is taken from `snapshots` if possible.
        """
        self._store = store
        self._kind = kind
        self._listener = listener
        self._clock = clock
        self._rng = rng
        self._exchange = exchange
        self._on_answer = on_answer
        self._snapshots = snapshots
        self._confirms_by_listing = confirms_by_listing
        self._answered_at = float("-inf")
        self._confirmed_at = float("-inf")
        self._unchanged_since = 0  # Nothing has changed from this revision to the known one.
        self._needed_revision = 0  # Other hosts tell no changes from earlier revisions on.
        self._revision: int | None = None
        self._era = 0
        self._era_observers: list[EraObserver] = []
        self._outage_began_at: float | None = None
        self._may_have_expired_until = float("-inf")
        self._listed_at = float("-inf")
        self._retry_wait_s = FIRST_RETRY_WAIT_S
        self._is_in_step = True  # Other watchers' last calls ended at the same time.
        self._task: asyncio.Task[None] | None = None
        self._listing_requested = asyncio.Event()
        self._listing_requested_or_behind = asyncio.Event()

    @property
    def is_unreachable(self) -> bool:
        """Whether the last call to the store failed."""
        return self._outage_began_at is not None

    @property
    def revision(self) -> int:
        """The store revision up to which changes are known; 0 while a listing is pending."""
        return self._revision or 0

    @property
    def era(self) -> int:
        """The era of the last listing."""
        return self._era

    @property
    def progress(self) -> StoreProgress | None:
        """Since when nothing has changed, as far as is known; None without a revision."""
        if self._revision is None:
            return None
        age_s = self._clock.now() - self._confirmed_at
        return StoreProgress(self._unchanged_since, self._revision, age_s, 0.0, (), self._era)

    def add_era_observer(self, observer: EraObserver) -> None:
        """Call `observer` when a listing shows another era, before the listing is applied.

        The first listing of a process counts if its era isn't 0: the store may have been restored
        shortly before.
        """
        self._era_observers.append(observer)

    def hear_era(self, era: int) -> None:
        """Request a listing if another host or another call has seen a newer era of the store.

        While a listing is pending nothing happens.  If that shows the earlier era, the watch call
        or the next message leads to another one.
        """
        if era > self._era and self._revision is not None:
            self.request_listing()

    def receive(self, progress: StoreProgress) -> bool:
        """Process what another host knows of the kind; return whether changes were applied.

        Changes from an earlier revision than the own one are applied again, which ends in the same
        state.
        """
        if progress.era != self._era:
            self.hear_era(progress.era)
            return False
        if self._revision is None:
            return False
        if progress.changes is None or progress.base_revision > self._revision:
            self._needed_revision = max(self._needed_revision, progress.base_revision)
            self._listing_requested_or_behind.set()
            return False
        now = self._clock.now()
        has_changes = bool(progress.changes) and progress.revision > self._revision
        if has_changes:
            grace_until = now + progress.grace_s if progress.grace_s else None
            changes = StoreChanges(progress.changes, progress.revision, progress.era)
            self._unchanged_since = progress.revision
            self._listener.on_changes(changes, grace_until)
        elif not progress.changes and progress.revision >= self._unchanged_since:
            self._unchanged_since = min(self._unchanged_since, progress.base_revision)
        if progress.revision >= self._revision:
            self._revision = progress.revision
            self._confirmed_at = max(self._confirmed_at, now - progress.age_s)
        return has_changes

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
            self._listing_requested_or_behind.set()

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
            await self._list()
            return
        if self._listing_requested.is_set():
            self._revision = None
            return
        if self._may_follow():
            await self._follow()
            return
        if self._clock.now() - self._confirmed_at > MAX_RESUME_GAP_S:
            self._revision = None
            return
        sent_at, watched_revision = self._clock.now(), self._revision
        is_paused = sent_at - self._answered_at > MAX_WATCH_PAUSE_S
        # Asked once: an answer that follows a pause must not count because it changes meanwhile.
        confirms_by_listing = self._on_answer is not None and self._confirms_by_listing()
        if self._on_answer is not None and is_paused and not confirms_by_listing:
            self._revision = None
            return
        changes = await self._wait_for_changes(watched_revision)
        if changes is None:
            self._revision = None
            return
        self._refuse_older_era(changes.era)
        if changes.era != self._era:
            self._revision = None
            return
        self._record_success()
        is_newer = changes.revision > self._revision
        self._revision = max(self._revision, changes.revision)
        applies_changes = is_newer and bool(changes.changes)  # Otherwise another host was faster.
        if applies_changes:
            self._apply(changes)
        elif not changes.changes and self._exchange is not None and self._exchange.spares_calls:
            self._exchange.announce()
        if confirms_by_listing:
            await self._confirm_by_listing()
        elif changes.revision >= watched_revision:  # Otherwise the store went back.
            self._note_answer(sent_at)
        if applies_changes:
            await self._wait_for_listing_request(CHANGE_INTERVAL_S[self._kind])

    def _apply(self, changes: StoreChanges) -> None:
        self._is_in_step = True
        base_revision, self._unchanged_since = self._unchanged_since, changes.revision
        self._listener.on_changes(changes, self._grace_until())
        self._pass_on(base_revision, changes)

    async def _list(self) -> None:
        """List the kind, or take what another host knows of it at the start."""
        self._listing_requested.clear()
        snapshot = await self._fetch_first()
        sent_at = self._clock.now()
        if snapshot is not None:
            listing, age_s = snapshot.listing, snapshot.age_s
        else:
            listing, age_s = await self._store.list_all(self._kind), 0.0
        self._listed_at = self._clock.now()
        self._refuse_older_era(listing.era)
        self._record_success(age_s)
        if listing.era != self._era:
            self._begin_era(listing.era)
        self._revision = listing.revision
        self._is_in_step = True
        self._unchanged_since = listing.revision
        self._listener.on_listing(listing, self._grace_until())
        if snapshot is None:
            self._note_answer(sent_at)
        else:
            await self._wait_for_listing_request(SETTLE_S)

    async def _fetch_first(self) -> StoreSnapshot | None:
        """Return the objects as another host knows them, when this watch starts."""
        snapshots, self._snapshots = self._snapshots, None
        return await snapshots.fetch(self._kind) if snapshots is not None else None

    def _refuse_older_era(self, era: int) -> None:
        """Raise PlatformError for an answer from before the store was restored."""
        if era < self._era:
            text = f"The store's answer is of era {era}, and era {self._era} has been seen."
            raise PlatformError(errorcodes.PLATFORM_UNREACHABLE, text, OLDER_ERA_REMEDY)

    def _begin_era(self, era: int) -> None:
        """Forget revisions of the earlier era, and start the grace for missing objects."""
        now = self._clock.now()
        log.warning("event=store_restored kind={} era={} was={}", self._kind.value, era, self._era)
        self._era = era
        self._needed_revision = 0
        self._may_have_expired_until = now + REGISTRATION_GRACE_S
        for observer in self._era_observers:
            observer(era, now)

    def _may_follow(self) -> bool:
        """Return whether other hosts watch the store for this one."""
        if self._exchange is None or self._exchange.is_watcher:
            return False
        if self.revision < self._needed_revision:
            return False
        return self._clock.now() - self._confirmed_at < MAX_UNCONFIRMED_S

    async def _follow(self) -> None:
        """Wait while other hosts watch the store, until the last confirmation is too old."""
        self._listing_requested_or_behind.clear()
        wait_s = self._confirmed_at + MAX_UNCONFIRMED_S - self._clock.now()
        try:
            async with asyncio.timeout(max(MIN_FOLLOW_S, wait_s)):
                await self._listing_requested_or_behind.wait()
        except TimeoutError:
            pass

    def _pass_on(self, base_revision: int, changes: StoreChanges) -> None:
        if self._exchange is not None:
            grace_until = self._grace_until()
            grace_s = grace_until - self._clock.now() if grace_until is not None else 0.0
            progress = StoreProgress(
                base_revision, changes.revision, 0.0, grace_s, changes.changes, self._era
            )
            self._exchange.pass_on(self._kind, progress, is_own=True)

    async def _wait_for_changes(self, revision: int) -> StoreChanges | None:
        """Wait for changes; return None if a new listing is requested first."""
        loop = asyncio.get_running_loop()
        max_wait_s = self._choose_max_wait_s()
        watch_task = loop.create_task(self._store.watch(self._kind, revision, max_wait_s))
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

    async def _confirm_by_listing(self) -> None:
        """List the kind to find out whether the newest change is known.

        The watch goes on from its own revision, so that it tells other hosts all changes.
        """
        sent_at = self._clock.now()
        listing = await self._store.list_all(self._kind)
        self._refuse_older_era(listing.era)
        if listing.era != self._era:
            self._revision = None
            return
        self._listener.on_listing(listing, self._grace_until())
        self._note_answer(sent_at)

    def _note_answer(self, sent_at: float) -> None:
        self._answered_at = self._clock.now()
        if self._on_answer is not None:
            self._on_answer(sent_at)

    def _choose_max_wait_s(self) -> float | None:
        """Return the longest wait of the next watch call, or None for the usual one."""
        is_in_step, self._is_in_step = self._is_in_step, False
        if self._exchange is None or not self._exchange.spares_calls:
            return None
        if self._on_answer is not None:
            return None  # A shorter watch doesn't prove what is newest.
        is_first = self._exchange.is_first_watcher
        if is_in_step:
            spread_s = FIRST_WATCHER_SPREAD_WAIT_S if is_first else SPREAD_WAIT_S
            return self._rng.uniform(MIN_SPREAD_WAIT_S, spread_s)
        return FIRST_WATCHER_WAIT_S if is_first else None

    def _grace_until(self) -> float | None:
        """Return until when missing objects may be registered again, or None if they are gone."""
        until = self._may_have_expired_until
        return until if self._clock.now() < until else None

    def _record_success(self, age_s: float = 0.0) -> None:
        """Reset the backoff; after a long outage, start the grace for missing objects."""
        now = self._clock.now()
        self._confirmed_at = now - age_s
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
