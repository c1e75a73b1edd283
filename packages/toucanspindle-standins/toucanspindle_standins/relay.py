"""One connection through the fault proxy: two pumps that ask the rules before each write."""

import asyncio
import socket
import struct
from typing import Final

from toucanspindle_core.hostport import HostPort

from toucanspindle_standins.faultrules import ActiveRule, Direction, RuleTable

CHUNK_BYTES: Final = 65_536


class Relay:
    """Passes the bytes of one client connection to the server and back.

    Invariant: bytes of one direction keep their order; none passes while its direction is cut.
    """

    def __init__(
        self,
        link: str,
        source: str,
        table: RuleTable,
        client: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    ) -> None:
        """Create a relay of an accepted connection."""
        self._link = link
        self._source = source
        self._table = table
        self._client_reader, self._client_writer = client
        self._server_writer: asyncio.StreamWriter | None = None
        self._answer_bytes = 0
        self._request_bytes = 0
        self._request_seen = False
        self._held_pumps = 0

    @property
    def held(self) -> bool:
        """Whether a cut holds bytes, or the connection itself."""
        return self._held_pumps > 0

    def active_rule(self) -> ActiveRule:
        """Return the rule that holds for this connection now."""
        return self._table.lookup(self._link, self._source)

    async def run(self, server: HostPort) -> None:
        """Relay until either side ends; always leaves both sides closed."""
        try:
            if self.active_rule().rule.faults.reset:
                return
            # While either direction is cut, the handshake with the server can't complete.
            await self._wait_open(Direction.TO_SERVER, Direction.TO_CLIENT)
            reader, self._server_writer = await asyncio.open_connection(server.ip, server.port)
            await self._pump_both(reader, self._server_writer)
        except* OSError:
            pass
        finally:
            self.abort()

    def abort(self) -> None:
        """Reset both sides."""
        for writer in (self._client_writer, self._server_writer):
            if writer is not None:
                _reset(writer)

    async def _pump_both(
        self, reader: asyncio.StreamReader, server_writer: asyncio.StreamWriter
    ) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(self._pump(self._client_reader, server_writer, Direction.TO_SERVER))
            group.create_task(self._pump(reader, self._client_writer, Direction.TO_CLIENT))

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: Direction
    ) -> None:
        while True:
            data = await reader.read(CHUNK_BYTES)
            delay_ms = self.active_rule().rule.faults.delay_ms
            if delay_ms:
                await asyncio.sleep(delay_ms / 1000)
            await self._wait_open(direction)
            if not data:
                writer.write_eof()
                return
            if direction is Direction.TO_SERVER:
                self._answer_bytes = 0
                self._request_seen = True
                await self._pass_request(data, writer)
            else:
                self._pass_answer(data, writer)
            await writer.drain()

    async def _pass_request(self, data: bytes, writer: asyncio.StreamWriter) -> None:
        limit = self.active_rule().rule.faults.hold_request_after_bytes
        before = self._request_bytes
        self._request_bytes += len(data)
        if limit is not None and self._request_bytes > limit:
            passed = max(0, limit - before)
            writer.write(data[:passed])
            data = data[passed:]
            await self._hold_request()
        writer.write(data)

    async def _hold_request(self) -> None:
        while self.active_rule().rule.faults.hold_request_after_bytes is not None:
            self._held_pumps += 1
            try:
                await self._table.wait_changed()
            finally:
                self._held_pumps -= 1

    def _pass_answer(self, data: bytes, writer: asyncio.StreamWriter) -> None:
        active = self.active_rule()
        if self._answer_bytes == 0 and self._request_seen and active.takes_answer():
            raise ConnectionResetError("answer lost on demand")
        self._request_bytes = 0
        limit = active.rule.faults.cut_answer_after_bytes
        if limit is None:
            writer.write(data)
        else:
            writer.write(data[: max(0, limit - self._answer_bytes)])
        self._answer_bytes += len(data)
        if limit is not None and self._answer_bytes > limit:
            writer.close()
            raise ConnectionAbortedError("answer cut on demand")

    async def _wait_open(self, *directions: Direction) -> None:
        faults = self.active_rule().rule.faults
        while any(faults.cuts(direction) for direction in directions):
            on_heal = faults.on_heal
            self._held_pumps += 1
            try:
                await self._table.wait_changed()
            finally:
                self._held_pumps -= 1
            faults = self.active_rule().rule.faults
            if on_heal == "reset" and not any(faults.cuts(d) for d in directions):
                raise ConnectionResetError("held connection reset on demand")


def _reset(writer: asyncio.StreamWriter) -> None:
    if writer.is_closing():
        return
    raw: socket.socket = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
