"""Entry nodes in virtual time, without network, before a store that counts its calls.

Each host is a real `EntryNode` without its TCP ports.  Datagrams take a millisecond, and links lose
a share of them.
"""

import asyncio
import dataclasses
import random
from collections import Counter
from typing import Any, Final
from unittest import mock

import orjson
from toucanspindle_core import errorcodes
from toucanspindle_core.errors import PlatformError
from toucanspindle_core.hostport import HostPort
from toucanspindle_entry import entrynode
from toucanspindle_entry.entrynode import EndpointHandler, EntryNode
from toucanspindle_entry.hosts.datagrams import Message, MessageHandler
from toucanspindle_entry.memoryaccount import MemoryAccount
from toucanspindle_entry.model import FleetPlan
from toucanspindle_entry.settings import EntrySettings
from toucanspindle_entry.store.objectstore import (
    HistoryLostError,
    ObjectKind,
    StoreChange,
    StoreChanges,
    StoreItem,
    StoreListing,
)

from platformpages import PlatformStatusEndpoints
from platformwire import HEADER_NAMES
from tests.entrycase import BOUNDS
from tests.virtualtime import LoopClock

CALL_S: Final = 0.004
MESSAGE_DELAY_S: Final = 0.001
WATCH_WAITS_S: Final = (1.2, 3.0)
PAGE_ITEMS: Final = 50
STALE_PRICE: Final = 0.1
MAX_DATAGRAM_BYTES: Final = 65_507
DOMAINS: Final = ("a", "b", "c", "d")


class PricedStore:
    """A store of all kinds; `calls` holds the price of the calls, by call and kind."""

    def __init__(self) -> None:
        self.revision = 0
        self.era = 0
        self.is_down = False
        self.calls: Counter[str] = Counter()
        self.callers: Counter[tuple[str, str]] = Counter()
        self.objects: dict[ObjectKind, dict[str, Any]] = {kind: {} for kind in ObjectKind}
        self._history: list[tuple[ObjectKind, StoreChange]] = []
        self._copy: tuple[int, dict[ObjectKind, dict[str, Any]]] = (0, {})
        self._changed = asyncio.Event()
        self._rng = random.Random(2)

    def put(self, kind: ObjectKind, name: str, value: Any) -> None:
        """Write an object, or remove it with None."""
        self.revision += 1
        if value is None:
            del self.objects[kind][name]
        else:
            self.objects[kind][name] = value
        change = StoreChange(name, value, value is None, self.revision)
        self._history.append((kind, change))
        self._wake()

    def take_copy(self) -> None:
        """Keep a copy for `restore`."""
        self._copy = (self.revision, {kind: dict(o) for kind, o in self.objects.items()})

    def restore(self) -> None:
        """Go back to the copy and begin the next era."""
        self.revision, objects = self._copy
        self.objects = {kind: dict(o) for kind, o in objects.items()}
        self._history = [entry for entry in self._history if entry[1].revision <= self.revision]
        self.era += 1
        self._wake()

    async def begin(self, call: str, kind: ObjectKind, caller: str, price: float) -> None:
        """Count a call and wait for its answer."""
        self.calls[f"{call} {kind.value}"] += price  # type: ignore[assignment]
        self.callers[caller, f"{call} {kind.value}"] += 1
        await asyncio.sleep(CALL_S)
        if self.is_down:
            raise PlatformError(errorcodes.PLATFORM_UNREACHABLE, "down", "wait")

    async def watch(
        self, kind: ObjectKind, revision: int, max_wait_s: float | None
    ) -> StoreChanges:
        """Wait for changes of a kind."""
        era = self.era
        wait_s = min(self._rng.uniform(*WATCH_WAITS_S), max_wait_s or WATCH_WAITS_S[1])
        deadline = asyncio.get_running_loop().time() + wait_s
        while True:
            if era != self.era:
                raise PlatformError(errorcodes.PLATFORM_UNREACHABLE, "restored", "wait")
            if revision > self.revision:
                raise HistoryLostError
            changes = tuple(c for k, c in self._history if k is kind and c.revision > revision)
            left_s = deadline - asyncio.get_running_loop().time()
            if changes or left_s <= 0:
                return StoreChanges(changes, self.revision, self.era)
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class PricedClient:
    """The store as one host calls it."""

    def __init__(self, store: PricedStore, ip: str) -> None:
        self._store = store
        self._ip = ip

    async def list_all(self, kind: ObjectKind, may_be_stale: bool = False) -> StoreListing:
        store = self._store
        call = "stale" if may_be_stale else "list"
        price = STALE_PRICE if may_be_stale else 1.0
        await store.begin(call, kind, self._ip, price)
        items = tuple(StoreItem(name, value) for name, value in store.objects[kind].items())
        revision, era = store.revision, store.era
        for _ in range(PAGE_ITEMS, len(items), PAGE_ITEMS):
            await store.begin(call, kind, self._ip, price)
        return StoreListing(items, revision, era)

    async def watch(
        self, kind: ObjectKind, revision: int, max_wait_s: float | None = None
    ) -> StoreChanges:
        await self._store.begin("watch", kind, self._ip, 1.0)
        return await self._store.watch(kind, revision, max_wait_s)

    async def put_host(self, name: str, value: Any) -> int:
        await self._store.begin("put", ObjectKind.HOSTS, self._ip, 1.0)
        self._store.put(ObjectKind.HOSTS, name, value)
        return self._store.era

    async def close(self) -> None:
        return


class VirtualEndpoint:
    """The datagrams of one host."""

    def __init__(self, fleet: "NodeFleet", ip: str, port: int, handler: MessageHandler) -> None:
        self.ip = ip
        self.port = port
        self.handler = handler
        self._fleet = fleet

    async def start(self) -> None:
        self._fleet.endpoints[self.ip] = self

    def close(self) -> None:
        self._fleet.endpoints.pop(self.ip, None)

    def send(self, ip: str, message: Message) -> None:
        self._fleet.deliver(self.ip, ip, message)


class VirtualNode(EntryNode):
    """An entry node without TCP ports."""

    @property
    def host_ip(self) -> str:
        return self._own_entry.ip

    async def _start_server(self, name: str, address: HostPort, handler: EndpointHandler) -> None:
        return


class NodeFleet:
    """Hosts in four failure domains; create it inside a running loop of virtual time."""

    def __init__(self, loss: float = 0.0, revoke_s: float | None = 5.0) -> None:
        self._bounds = dataclasses.replace(BOUNDS, revoke_s=revoke_s)
        self.store = PricedStore()
        self.store.put(ObjectKind.PLAN, "main", plan(1))
        self.loss = loss
        self.endpoints: dict[str, VirtualEndpoint] = {}
        self.nodes: dict[str, VirtualNode] = {}
        self.started_at: dict[str, float] = {}
        self.ready_after_s: dict[str, float] = {}
        self.datagram_bytes: Counter[str] = Counter()
        self._rng = random.Random(1)

    async def start(self, n: int) -> VirtualNode:
        """Start a host."""
        loop = asyncio.get_running_loop()
        ip = f"10.0.{n // 200}.{n % 200 + 1}"
        address = HostPort(ip, 80)
        settings = EntrySettings(
            *(f"h{n}", ip, DOMAINS[n % 4]),
            *((address,) * 5),
            *(7000, ("10.0.0.1", "10.0.0.2", "10.0.0.3"), self._bounds),
        )

        def endpoint(own_ip: str, port: int, handler: MessageHandler) -> VirtualEndpoint:
            return VirtualEndpoint(self, own_ip, port, handler)

        with (
            mock.patch.object(entrynode, "DatagramEndpoint", endpoint),
            mock.patch.object(entrynode, "BoottimeClock", LoopClock),
            mock.patch("gc.freeze"),
            mock.patch("gc.collect"),
        ):
            node = VirtualNode(
                settings,
                PricedClient(self.store, ip),
                HEADER_NAMES,
                PlatformStatusEndpoints(),
                MemoryAccount(1_000_000),
            )
            self.nodes[ip] = node
            self.started_at[ip] = loop.time()
            await node.start()
        return node

    async def start_all(self, size: int, spread_s: float) -> None:
        """Start hosts at random times within `spread_s`, and wait until all are ready.

        `ready_after_s` tells how long each took.
        """

        async def start_one(n: int) -> None:
            await asyncio.sleep(self._rng.uniform(0.0, spread_s))
            node = await self.start(n)
            ip = node.host_ip
            while not node.is_ready:
                await asyncio.sleep(0.001)
            self.ready_after_s[ip] = asyncio.get_running_loop().time() - self.started_at[ip]

        await asyncio.gather(*(start_one(n) for n in range(size)))

    def deliver(self, sender: str, receiver: str, message: Message) -> None:
        """Deliver a datagram as bytes, unless it is lost or too large."""
        data = orjson.dumps(message)
        self.datagram_bytes[message[0]] += len(data)
        if self._rng.random() < self.loss or len(data) > MAX_DATAGRAM_BYTES:
            return
        asyncio.get_running_loop().call_later(MESSAGE_DELAY_S, self._arrive, sender, receiver, data)

    async def kill(self, ip: str) -> None:
        """End a host at once."""
        node = self.nodes.pop(ip)
        self.ready_after_s.pop(ip, None)
        await node._stop()

    async def close(self) -> None:
        """End all hosts."""
        for ip in list(self.nodes):
            await self.kill(ip)

    def _arrive(self, sender: str, receiver: str, data: bytes) -> None:
        endpoint = self.endpoints.get(receiver)
        if endpoint is not None:
            endpoint.handler(sender, orjson.loads(data))


def plan(version: int) -> FleetPlan:
    """Return a plan without routes."""
    return FleetPlan(version, (), frozenset({"orders"}))
