"""Tests of the client of the platform's store against raw bytes of listings and watches."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from typing import Final

import logbook
import orjson
from testtools import ExpectedException, TestCase
from toucanspindle_core.errors import PlatformError, PlatformUncertainError
from toucanspindle_entry.memoryaccount import MemoryAccount
from toucanspindle_entry.model import HostEntry
from toucanspindle_entry.store.objectstore import ObjectKind

from platformstore import MAX_LISTING_BYTES, MAX_RESPONSE_BYTES, PlatformStore
from platformwire import encode_host
from tests.rawstore import BodySource, RawStore

TEST_TIMEOUT_S: Final = 10.0
MEMORY_BYTES: Final = 10_000_000


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
            store = PlatformStore(await raw_store.start(), MemoryAccount(MEMORY_BYTES))
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

    def test_listing_without_end_is_an_error(self) -> None:
        """Guards against pages without end, which would take the memory of the process."""
        pages = itertools.count()

        async def body_of(path: str) -> bytes:  # noqa: ARG001
            page = listing(entry(f"t{next(pages):06}"), has_more=True)
            return page + b" " * (MAX_RESPONSE_BYTES - 1000)

        async def use(store: PlatformStore, raw_store: RawStore) -> None:
            with ExpectedException(PlatformError, ".*exceeds.*"):
                await store.list_all(ObjectKind.TARGETS)
            # The limit is for the whole listing: no page alone is too large.
            self.assertGreater(len(raw_store.paths), MAX_LISTING_BYTES // MAX_RESPONSE_BYTES)

        self.run_with_store(body_of, use)

    def test_page_above_its_limit_is_an_error(self) -> None:
        """Guards against a page that takes many times its bytes once it is decoded."""

        async def body_of(path: str) -> bytes:  # noqa: ARG001
            return listing(b"[]," * (MAX_RESPONSE_BYTES // 3) + b"[]")

        async def use(store: PlatformStore, raw_store: RawStore) -> None:
            with ExpectedException(PlatformUncertainError, ".*exceeds.*"):
                await store.list_all(ObjectKind.TARGETS)

        self.run_with_store(body_of, use)


def with_value(field: bytes, value: bytes) -> bytes:
    """Return the bytes of an entry named "odd" with one value replaced by raw bytes."""
    values = {
        b"name": b'"odd"',
        b"address": b'"10.128.0.9:8080"',
        b"zone": b'"beaufort"',
        b"slots": b"4",
        b"seq": b"4",
        b"born": b"1700000000000",
        field: value,
    }
    return (
        b'{"Metadata":{"Name":%(name)s,"Revision":1},"Spec":{"Address":%(address)s,"Info":'
        b'{"Service":"s","Zone":%(zone)s,"MaxConcurrency":%(slots)s},"Status":{"State":"ready",'
        b'"Seq":%(seq)s,"WarmupLeftMs":0},"born":%(born)s}}' % values
    )


# Entries that name no target to use, for whatever reason.
ODD_ENTRIES: Final = {
    "nested beyond the parser's limit": with_value(b"seq", b"[" * 2000 + b"]" * 2000),
    "nested very deeply": with_value(b"seq", b'{"a":' * 100_000 + b"1" + b"}" * 100_000),
    "nested with brackets in strings": with_value(b"seq", b'["\\"]}",' * 2000 + b"1" + b"]" * 2000),
    "number beyond a double": with_value(b"seq", b"1e400"),
    "integer beyond a double": with_value(b"born", b"9" * 400),
    "integer beyond 64 bits": with_value(b"born", b"9" * 30),
    "too many slots": with_value(b"slots", b"1000000000000"),
    "no number": with_value(b"seq", b"NaN"),
    "port out of range": with_value(b"address", b'"10.128.0.9:70000"'),
    "port of many digits": with_value(b"address", b'"10.128.0.9:' + b"9" * 5000 + b'"'),
    "port 0": with_value(b"address", b'"10.128.0.9:0"'),
    "half of a surrogate pair": with_value(b"zone", b'"\\ud800"'),
    "no UTF-8": with_value(b"zone", b'"\xff\xfe"'),
    "line break in the name": with_value(b"name", b'"odd\\r\\nX-A: b"'),
    "no object": b'"odd"',
    "null": b"null",
    "empty": b"{}",
}
# Entries with odd values that don't matter, or that can be left out.
HARMLESS_ENTRIES: Final = {
    "nested failure domain": with_value(b"zone", b"[" * 1000 + b"]" * 1000),
    "number as failure domain": with_value(b"zone", b"7"),
}


class OddEntryTests(StoreCase):
    """An entry of another writer that can't be read costs itself and nothing else."""

    # Guards against a listing that fails as a whole, so that the host stops following the targets.
    def test_listing_keeps_the_other_targets(self) -> None:
        for reason, odd in ODD_ENTRIES.items():
            body = listing(entry("a"), odd, entry("z"))
            handler = logbook.TestHandler()

            async def body_of(path: str, body: bytes = body) -> bytes:  # noqa: ARG001
                return body

            async def use(
                store: PlatformStore, raw_store: RawStore, reason: str = reason  # noqa: ARG001
            ) -> None:
                result = await store.list_all(ObjectKind.TARGETS)
                readable = [item.name for item in result.items if item.value is not None]
                self.assertEqual(["a", "z"], readable, reason)

            with handler.applicationbound():
                self.run_with_store(body_of, use)
            self.assertTrue(
                any("event=entry_unreadable" in record.message for record in handler.records),
                reason,
            )

    def test_watch_keeps_the_other_changes(self) -> None:
        for reason, odd in ODD_ENTRIES.items():
            events = b",".join(
                b'{"Object":%s,"Deleted":false}' % changed
                for changed in (entry("a", revision=11), odd, entry("z", revision=13))
            )
            body = b'{"events":[%s],"At":13}' % events

            async def body_of(path: str, body: bytes = body) -> bytes:  # noqa: ARG001
                return body

            async def use(
                store: PlatformStore, raw_store: RawStore, reason: str = reason  # noqa: ARG001
            ) -> None:
                changes = await store.watch(ObjectKind.TARGETS, 10)
                readable = [c.name for c in changes.changes if c.value is not None]
                self.assertEqual(["a", "z"], readable, reason)
                self.assertEqual(13, changes.revision)

            self.run_with_store(body_of, use)

    # Guards against a target that stays in use after its entry has become unreadable.
    def test_change_of_an_unreadable_entry_names_its_target(self) -> None:
        odd = with_value(b"seq", b"1e400")

        async def body_of(path: str) -> bytes:  # noqa: ARG001
            return b'{"events":[{"Deleted":false,"Object":%s}],"At":13}' % odd

        async def use(store: PlatformStore, raw_store: RawStore) -> None:  # noqa: ARG001
            (change,) = (await store.watch(ObjectKind.TARGETS, 10)).changes
            self.assertEqual(("odd", None, False), (change.name, change.value, change.removed))

        self.run_with_store(body_of, use)

    def test_odd_values_that_do_not_matter_cost_nothing(self) -> None:
        for reason, odd in HARMLESS_ENTRIES.items():

            async def body_of(path: str, odd: bytes = odd) -> bytes:  # noqa: ARG001
                return listing(odd, entry("z"))

            async def use(
                store: PlatformStore, raw_store: RawStore, reason: str = reason  # noqa: ARG001
            ) -> None:
                items = (await store.list_all(ObjectKind.TARGETS)).items
                self.assertEqual(["odd", "z"], [i.name for i in items if i.value], reason)

            self.run_with_store(body_of, use)

    # Guards against a listing that starts again from its first page, forever.
    def test_unreadable_entry_at_the_end_of_a_page_is_passed_over(self) -> None:
        for odd in (b"null", with_value(b"seq", b"1e400"), with_value(b"name", b'"\xff"')):

            async def body_of(path: str, odd: bytes = odd) -> bytes:
                if "after=" not in path:
                    return listing(entry("a"), odd, has_more=True)
                return listing(odd, entry("z"))

            async def use(store: PlatformStore, raw_store: RawStore) -> None:
                items = (await store.list_all(ObjectKind.TARGETS)).items
                self.assertEqual(["a", "z"], [item.name for item in items if item.value])
                self.assertEqual(2, len(raw_store.paths))

            self.run_with_store(body_of, use)

    def test_page_that_names_no_object_to_continue_from_is_an_error(self) -> None:
        async def body_of(path: str) -> bytes:  # noqa: ARG001
            return listing(b"null", has_more=True)

        async def use(store: PlatformStore, raw_store: RawStore) -> None:  # noqa: ARG001
            with ExpectedException(PlatformError):
                await store.list_all(ObjectKind.TARGETS)

        self.run_with_store(body_of, use)

    # Guards against a background task that ends for good on an odd entry of a host.
    def test_listing_of_hosts_keeps_the_other_hosts(self) -> None:
        nested = b"[" * 1000 + b"]" * 1000
        odd = (
            b'{"Metadata":{"Name":"odd"},"Spec":{"ip":%s,"failure_domain":"d","incarnation":"1"}}'
            % nested
        )
        good = orjson.dumps(encode_host(HostEntry("h", "10.0.0.1", "beaufort", "1")))

        async def body_of(path: str) -> bytes:  # noqa: ARG001
            return listing(odd, good)

        async def use(store: PlatformStore, raw_store: RawStore) -> None:  # noqa: ARG001
            items = (await store.list_all(ObjectKind.HOSTS)).items
            self.assertEqual(["h"], [item.name for item in items if item.value is not None])

        self.run_with_store(body_of, use)

    def test_body_that_is_no_object_is_an_error(self) -> None:
        for body in (b"", b"[]", b"{", b'{"items":[1', b'{"items":[1e400],"At":', b"\xff"):

            async def body_of(path: str, body: bytes = body) -> bytes:  # noqa: ARG001
                return body

            async def use(
                store: PlatformStore, raw_store: RawStore, body: bytes = body  # noqa: ARG001
            ) -> None:
                with ExpectedException(PlatformError):
                    await store.list_all(ObjectKind.TARGETS)

            self.run_with_store(body_of, use)
