"""A TCP proxy that injects faults on demand, as a process or inside a test's event loop.

Each link listens at one address and connects to another.  The admin address, never subject to
faults, takes:

    GET, PUT /faults     RuleSet; a PUT replaces all rules
    PUT /sources         {"name": [process ids]}, so that rules can name who connects
    GET /stats           {"links": {address: {"accepted": n, "open": n, "held": n}}}
"""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from pydantic import TypeAdapter, ValidationError
from toucanspindle_core.hostport import HostPort

from toucanspindle_standins.faultrules import RuleSet, RuleTable
from toucanspindle_standins.httpserver import (
    Exchange,
    HttpAnswer,
    HttpRequest,
    HttpServer,
    json_answer,
)
from toucanspindle_standins.relay import Relay
from toucanspindle_standins.socketowner import SocketOwners


@dataclass(frozen=True)
class Link:
    """Where a link listens and where it connects to."""

    listen: HostPort
    server: HostPort


class LinkListener:
    """Accepts connections of one link.

    Invariant: while a rule for all sources refuses connections, nothing listens.
    """

    def __init__(self, link: Link, table: RuleTable, owners: SocketOwners) -> None:
        """Create a listener of a link."""
        self.link = link
        self.accepted = 0
        self.relays: set[Relay] = set()
        self._table = table
        self._owners = owners
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen, unless a rule refuses connections."""
        await self.follow_rules()

    async def close(self) -> None:
        """Stop to listen and reset all connections."""
        self._stop_listening()
        for relay in list(self.relays):
            relay.abort()

    async def follow_rules(self) -> None:
        """Open or close the listening socket and reset connections, as the rules say."""
        refused = any(
            rule.faults.refuse and not rule.sources and rule.matches(str(self.link.listen), "")
            for rule in self._table.rules.rules
        )
        if refused:
            self._stop_listening()
        elif self._listener is None:
            self._listener = await asyncio.start_server(
                self._accept, self.link.listen.ip, self.link.listen.port
            )
        for relay in list(self.relays):
            if relay.active_rule().rule.faults.reset:
                relay.abort()

    def _stop_listening(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        peer = HostPort(*writer.get_extra_info("peername")[:2])
        source = self._owners.source_of(peer, self.link.listen)
        relay = Relay(str(self.link.listen), source, self._table, (reader, writer))
        self.relays.add(relay)
        try:
            await relay.run(self.link.server)
        finally:
            self.relays.discard(relay)


class FaultProxy:
    """All links of one process, and the admin address."""

    def __init__(self, links: Sequence[Link], admin: HostPort) -> None:
        """Create a proxy without faults."""
        self.table = RuleTable()
        self.owners = SocketOwners()
        self._listeners = [LinkListener(link, self.table, self.owners) for link in links]
        self._http = HttpServer(admin, self._handle)
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen at all addresses, the admin address last."""
        for listener in self._listeners:
            await listener.start()
        await self._http.start()

    async def close(self) -> None:
        """Stop and reset all connections."""
        await self._http.close()
        for listener in self._listeners:
            await listener.close()

    async def set_rules(self, rules: RuleSet) -> None:
        """Put other rules in force."""
        self.table.replace(rules)
        for listener in self._listeners:
            await listener.follow_rules()

    def _handle(self, request: HttpRequest, exchange: Exchange) -> None:
        task = asyncio.get_running_loop().create_task(self._answer(request, exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, request: HttpRequest, exchange: Exchange) -> None:
        try:
            exchange.answer(await self._admin(request))
        except ValidationError as error:
            exchange.answer(json_answer({"error": str(error)}, 400))
        except OSError as error:
            exchange.answer(json_answer({"error": str(error)}, 500))

    async def _admin(self, request: HttpRequest) -> HttpAnswer:
        match request.method, request.path:
            case "GET", "/faults":
                return json_answer(self.table.rules.model_dump())
            case "PUT", "/faults":
                await self.set_rules(RuleSet.model_validate_json(request.body))
                return json_answer(self.table.rules.model_dump())
            case "PUT", "/sources":
                pids = TypeAdapter(dict[str, list[int]]).validate_json(request.body)
                self.owners.register(pids)
                return json_answer(pids)
            case "GET", "/stats":
                return json_answer(
                    {"links": {str(x.link.listen): _stats(x) for x in self._listeners}}
                )
        return json_answer({"error": "not found"}, 404)


def _stats(listener: LinkListener) -> dict[str, int]:
    return {
        "accepted": listener.accepted,
        "open": len(listener.relays),
        "held": sum(relay.held for relay in listener.relays),
    }
