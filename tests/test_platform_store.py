"""Tests of the client of the platform's store against raw bytes of listings and watches."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

import orjson
from testtools import TestCase
from toucanspindle_entry.objectstore import ObjectKind

from platformstore import PlatformStore
from tests.rawstore import BodySource, RawStore

TEST_TIMEOUT_S: Final = 10.0


def entry(name: str, state: str = "ready", revision: int = 1) -> bytes:
    """Return the bytes of a readable entry of a target."""
    return orjson.dumps(
        {
            "Metadata": {"Name": name, "Revision": revision},
            "Spec": {
                "Address": "10.128.0.9:8080",
                "Info": {"Service": "s", "Zone": "beaufort", "MaxConcurrency": 4},
                "Status": {"State": state, "Seq": 4, "WarmupLeftMs": 0},
                "born": 1_700_000_000_000,
            },
        }
    )


def listing(*entries: bytes, revision: int = 10, has_more: bool = False) -> bytes:
    return b'{"items":[%s],"HasMore":%s,"At":%d}' % (
        b",".join(entries),
        b"true" if has_more else b"false",
        revision,
    )


class StoreCase(TestCase):
    """Runs a client against a raw store."""

    def run_with_store(
        self, body_of: BodySource, use: Callable[[PlatformStore, RawStore], Awaitable[None]]
    ) -> None:
        async def run() -> None:
            raw_store = RawStore(body_of)
            store = PlatformStore(await raw_store.start())
            try:
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    await use(store, raw_store)
            finally:
                await store.close()
                await raw_store.close()

        asyncio.run(run())


class PagedListingTests(StoreCase):
    # Guards against a drain between two pages that no later watch call returns.
    def test_changes_made_while_pages_are_read_are_watched(self) -> None:
        async def body_of(path: str) -> bytes:
            if "after=" not in path:
                return listing(entry("a"), entry("b"), revision=10, has_more=True)
            return listing(entry("c"), revision=12)  # "a" changed at revision 11.

        async def use(store: PlatformStore, raw_store: RawStore) -> None:
            result = await store.list_all(ObjectKind.TARGETS)
            self.assertEqual(["a", "b", "c"], [item.name for item in result.items])
            self.assertEqual(10, result.revision)

        self.run_with_store(body_of, use)
