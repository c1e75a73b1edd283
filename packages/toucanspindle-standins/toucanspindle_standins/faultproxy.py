"""A TCP proxy that injects faults, as a separate process or in a test's event loop.

Each link listens at one address and connects to another.  Faults never affect the admin address,
which serves:

    GET, PUT /faults     RuleSet; a PUT replaces all rules
    PUT /sources         {"name": [process ids]}, the sources that rules can name
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
    """Address at which a link listens, and the server address that it connects to."""

    listen: HostPort
    server: HostPort


class LinkListener:
    """Accepts the connections of one link.

    Invariant: the link doesn't listen while a rule for all sources refuses connections.
    """

    def __init__(self, link: Link, table: RuleTable, owners: SocketOwners) -> None:
        """Create the listener of a link; it doesn't listen yet."""
        self.link = link
        self.accepted = 0
        self.relays: set[Relay] = set()
        self._table = table
        self._owners = owners
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen unless a rule refuses connections; raise OSError if the address can't be bound."""
        await self.apply_rules()

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        self._stop_listening()
        for relay in list(self.relays):
            relay.abort()

    async def apply_rules(self) -> None:
        """Open or close the listening socket and reset connections according to the rules."""
        refuses_all = any(
            rule.faults.refuse and not rule.sources and rule.matches(str(self.link.listen), "")
            for rule in self._table.rules.rules
        )
        if refuses_all:
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
    """Serves several links and the admin address."""

    def __init__(self, links: Sequence[Link], admin: HostPort) -> None:
        """Create a proxy without rules; it doesn't listen yet."""
        self.table = RuleTable()
        self.owners = SocketOwners()
        self._listeners = [LinkListener(link, self.table, self.owners) for link in links]
        self._http = HttpServer(admin, self._handle)
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen at all addresses, the admin address last; raise OSError if one can't be bound."""
        for listener in self._listeners:
            await listener.start()
        await self._http.start()

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        await self._http.close()
        for listener in self._listeners:
            await listener.close()

    async def set_rules(self, rules: RuleSet) -> None:
        """Replace all rules and apply them to open connections."""
        self.table.replace(rules)
        for listener in self._listeners:
            await listener.apply_rules()

    def _handle(self, request: HttpRequest, exchange: Exchange) -> None:
        task = asyncio.get_running_loop().create_task(self._answer_admin_call(request, exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer_admin_call(self, request: HttpRequest, exchange: Exchange) -> None:
        try:
            exchange.answer(await self._admin_answer(request))
        except ValidationError as error:
            exchange.answer(json_answer({"error": str(error)}, 400))
        except OSError as error:
            exchange.answer(json_answer({"error": str(error)}, 500))

    async def _admin_answer(self, request: HttpRequest) -> HttpAnswer:
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
                    {
                        "links": {
                            str(listener.link.listen): _link_stats(listener)
                            for listener in self._listeners
                        }
                    }
                )
        return json_answer({"error": "not found"}, 404)


def _link_stats(listener: LinkListener) -> dict[str, int]:
    return {
        "accepted": listener.accepted,
        "open": len(listener.relays),
        "held": sum(relay.held for relay in listener.relays),
    }
