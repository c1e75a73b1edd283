"""Following the store: outages, lost history, cut watches, and news from other hosts."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

from testtools import TestCase
from toucanspindle_core import errorcodes
from toucanspindle_core.clock import MonotonicClock
from toucanspindle_core.errors import PlatformError
from toucanspindle_entry import storewatch
from toucanspindle_entry.objectstore import (
    HistoryLostError,
    ObjectKind,
    StoreChange,
    StoreChanges,
    StoreItem,
    StoreListing,
)
from toucanspindle_entry.storewatch import StoreWatch

AWAY = PlatformError(errorcodes.PLATFORM_AWAY, "The store is away.", "wait")


class FakeStore:
    """A store whose watches are answered by the test."""

    def __init__(self) -> None:
        self.listings = 0
        self.errors: list[Exception] = []
        self.answers: asyncio.Queue[StoreChanges | Exception] = asyncio.Queue()
        self.watched_from: list[int] = []

    async def list_all(
        self, kind: ObjectKind, may_be_stale: bool = False
    ) -> StoreListing:  # noqa: ARG002
        if self.errors:
            raise self.errors.pop(0)
        self.listings += 1
        return StoreListing((StoreItem("a", self.listings),), 100 * self.listings)

    async def watch(self, kind: ObjectKind, revision: int) -> StoreChanges:  # noqa: ARG002
        self.watched_from.append(revision)
        answer = await self.answers.get()
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def put_host(self, name: str, value: Any) -> None:
        raise NotImplementedError

    async def close(self) -> None:
        raise NotImplementedError


class Reader:
    """Keeps what it was told."""

    def __init__(self) -> None:
        self.listings: list[bool] = []
        self.changes: list[tuple[str, bool]] = []
        self.fails_once = False

    def take_listing(
        self, items: tuple[StoreItem, ...], after_outage: bool
    ) -> None:  # noqa: ARG002
        if self.fails_once:
            self.fails_once = False
            raise ValueError("a fault of the reader")
        self.listings.append(after_outage)

    def take_changes(self, changes: tuple[StoreChange, ...], after_outage: bool) -> None:
        self.changes += [(change.name, after_outage) for change in changes]


def change(name: str, revision: int) -> StoreChanges:
    return StoreChanges((StoreChange(name, 1, removed=False),), revision)


class StoreWatchTests(TestCase):
    def follow(self, script: Callable[[FakeStore, Reader, StoreWatch], Awaitable[None]]) -> None:
        """Run a script beside a watch."""

        async def run() -> None:
            store, reader = FakeStore(), Reader()
            watch = StoreWatch(
                store, ObjectKind.TARGETS, reader, MonotonicClock(), random.Random(1)
            )
            watch.start()
            try:
                async with asyncio.timeout(10):
                    await script(store, reader, watch)
            finally:
                await watch.close()

        asyncio.run(run())

    def test_changes_follow_the_listing(self) -> None:
        async def script(store: FakeStore, reader: Reader, watch: StoreWatch) -> None:
            store.answers.put_nowait(change("b", 101))
            await until(lambda: reader.changes == [("b", False)])
            await until(lambda: store.watched_from == [100, 101])
            self.assertEqual(101, watch.revision)

        self.follow(script)

    def test_cut_watch_leads_to_a_listing(self) -> None:
        """Changes between the cut and the next watch may have lost their history."""

        async def script(
            store: FakeStore, reader: Reader, watch: StoreWatch
        ) -> None:  # noqa: ARG001
            store.answers.put_nowait(AWAY)
            await until(lambda: store.watched_from == [100, 200])
            self.assertEqual(2, store.listings)

        self.follow(script)

    def test_lost_history_leads_to_a_listing(self) -> None:
        async def script(
            store: FakeStore, reader: Reader, watch: StoreWatch
        ) -> None:  # noqa: ARG001
            store.answers.put_nowait(HistoryLostError())
            await until(lambda: store.watched_from == [100, 200])

        self.follow(script)

    def test_news_of_another_host_lead_to_a_listing(self) -> None:
        async def script(
            store: FakeStore, reader: Reader, watch: StoreWatch
        ) -> None:  # noqa: ARG001
            await until(lambda: store.watched_from == [100])
            await asyncio.sleep(storewatch.REFRESH_S + 0.05)
            watch.refresh()
            await until(lambda: store.watched_from == [100, 200])

        self.follow(script)

    def test_missing_entries_after_an_outage_are_told_apart(self) -> None:
        """An outage as long as OUTAGE_S marks the listing after it; a cut connection doesn't."""

        async def script(store: FakeStore, reader: Reader, watch: StoreWatch) -> None:
            await until(lambda: len(reader.listings) == 1)
            store.answers.put_nowait(AWAY)
            await until(lambda: len(reader.listings) == 2)
            store.errors += [AWAY] * 5
            store.answers.put_nowait(AWAY)
            await until(lambda: watch.is_away)
            await until(lambda: len(reader.listings) == 3)
            self.assertEqual([False, False, True], reader.listings)

        self.follow(script)

    def test_fault_of_the_reader_does_not_end_the_watch(self) -> None:
        """A NameError once ended the watches of 14 hosts without a word."""

        async def script(
            store: FakeStore, reader: Reader, watch: StoreWatch
        ) -> None:  # noqa: ARG001
            await until(lambda: len(reader.listings) == 1)
            reader.fails_once = True
            store.answers.put_nowait(AWAY)
            await until(lambda: len(reader.listings) == 2)

        self.follow(script)


async def until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.005)
