"""Tests of StoreWatch: outages, lost history, interrupted watches and requested listings."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

from testtools import TestCase
from toucanspindle_core import errorcodes
from toucanspindle_core.clock import MonotonicClock
from toucanspindle_core.errors import PlatformError
from toucanspindle_entry.store import storewatch
from toucanspindle_entry.store.objectstore import (
    HistoryLostError,
    ObjectKind,
    StoreChange,
    StoreChanges,
    StoreItem,
    StoreListing,
)
from toucanspindle_entry.store.storewatch import StoreWatch

UNREACHABLE = PlatformError(errorcodes.PLATFORM_UNREACHABLE, "The store is unreachable.", "wait")


class FakeStore:
    """A store whose watch calls return what the test queues."""

    def __init__(self) -> None:
        self.listings = 0
        self.errors: list[Exception] = []
        self.watch_results: asyncio.Queue[StoreChanges | Exception] = asyncio.Queue()
        self.watched_revisions: list[int] = []

    async def list_all(
        self, kind: ObjectKind, may_be_stale: bool = False
    ) -> StoreListing:  # noqa: ARG002
        if self.errors:
            raise self.errors.pop(0)
        self.listings += 1
        return StoreListing((StoreItem("a", self.listings),), 100 * self.listings)

    async def watch(
        self, kind: ObjectKind, revision: int, max_wait_s: float | None = None  # noqa: ARG002
    ) -> StoreChanges:
        self.watched_revisions.append(revision)
        watch_result = await self.watch_results.get()
        if isinstance(watch_result, Exception):
            raise watch_result
        return watch_result

    async def put_host(self, name: str, value: Any) -> int:
        raise NotImplementedError

    async def close(self) -> None:
        raise NotImplementedError


class RecordingListener:
    """Records the calls of a watch."""

    def __init__(self) -> None:
        self.listings: list[bool] = []
        self.changes: list[tuple[str, bool]] = []
        self.fails_next_listing = False

    def on_listing(self, listing: StoreListing, grace_until: float | None) -> None:  # noqa: ARG002
        if self.fails_next_listing:
            self.fails_next_listing = False
            raise ValueError("simulated listener failure")
        self.listings.append(grace_until is not None)

    def on_changes(self, changes: StoreChanges, grace_until: float | None) -> None:
        self.changes += [(change.name, grace_until is not None) for change in changes.changes]


def one_change(name: str, revision: int) -> StoreChanges:
    return StoreChanges((StoreChange(name, 1, removed=False),), revision)


class StoreWatchTests(TestCase):
    def run_with_watch(
        self, scenario: Callable[[FakeStore, RecordingListener, StoreWatch], Awaitable[None]]
    ) -> None:
        """Run a scenario concurrently with a watch."""

        async def run() -> None:
            store, listener = FakeStore(), RecordingListener()
            watch = StoreWatch(
                store, ObjectKind.TARGETS, listener, MonotonicClock(), random.Random(1)
            )
            watch.start()
            try:
                async with asyncio.timeout(10):
                    await scenario(store, listener, watch)
            finally:
                await watch.close()

        asyncio.run(run())

    def test_changes_follow_the_listing(self) -> None:
        async def scenario(
            store: FakeStore, listener: RecordingListener, watch: StoreWatch
        ) -> None:
            store.watch_results.put_nowait(one_change("b", 101))
            await wait_until_true(lambda: listener.changes == [("b", False)])
            await wait_until_true(lambda: store.watched_revisions == [100, 101])
            self.assertEqual(101, watch.revision)

        self.run_with_watch(scenario)

    def test_failed_watch_call_leads_to_a_listing(self) -> None:
        """The store may no longer keep changes made before the next watch call."""

        async def scenario(
            store: FakeStore, listener: RecordingListener, watch: StoreWatch
        ) -> None:  # noqa: ARG001
            store.watch_results.put_nowait(UNREACHABLE)
            await wait_until_true(lambda: store.watched_revisions == [100, 200])
            self.assertEqual(2, store.listings)

        self.run_with_watch(scenario)

    def test_lost_history_leads_to_a_listing(self) -> None:
        async def scenario(
            store: FakeStore, listener: RecordingListener, watch: StoreWatch
        ) -> None:  # noqa: ARG001
            store.watch_results.put_nowait(HistoryLostError())
            await wait_until_true(lambda: store.watched_revisions == [100, 200])

        self.run_with_watch(scenario)

    def test_requested_listing_interrupts_the_watch_call(self) -> None:
        async def scenario(
            store: FakeStore, listener: RecordingListener, watch: StoreWatch
        ) -> None:  # noqa: ARG001
            await wait_until_true(lambda: store.watched_revisions == [100])
            await asyncio.sleep(storewatch.MIN_LISTING_INTERVAL_S + 0.05)
            watch.request_listing()
            await wait_until_true(lambda: store.watched_revisions == [100, 200])

        self.run_with_watch(scenario)

    def test_only_a_long_outage_is_reported_to_the_listener(self) -> None:
        """An outage longer than MIN_OUTAGE_S sets `grace_until`; one failed call doesn't."""

        async def scenario(
            store: FakeStore, listener: RecordingListener, watch: StoreWatch
        ) -> None:
            await wait_until_true(lambda: len(listener.listings) == 1)
            store.watch_results.put_nowait(UNREACHABLE)
            await wait_until_true(lambda: len(listener.listings) == 2)
            store.errors += [UNREACHABLE] * 5
            store.watch_results.put_nowait(UNREACHABLE)
            await wait_until_true(lambda: watch.is_unreachable)
            await wait_until_true(lambda: len(listener.listings) == 3)
            self.assertEqual([False, False, True], listener.listings)

        self.run_with_watch(scenario)

    def test_listener_exception_does_not_end_the_watch(self) -> None:
        """A NameError in a listener once ended the watches of 14 hosts without a log line."""

        async def scenario(
            store: FakeStore, listener: RecordingListener, watch: StoreWatch
        ) -> None:  # noqa: ARG001
            await wait_until_true(lambda: len(listener.listings) == 1)
            listener.fails_next_listing = True
            store.watch_results.put_nowait(UNREACHABLE)
            await wait_until_true(lambda: len(listener.listings) == 2)

        self.run_with_watch(scenario)


async def wait_until_true(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.005)
