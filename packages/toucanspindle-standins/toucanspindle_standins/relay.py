"""Relays one connection through the fault proxy.

One task per direction, a pump, copies bytes and applies the current rule before each write.
"""

import asyncio
import socket
import struct
from typing import Final

from toucanspindle_core.hostport import HostPort

from toucanspindle_standins.faultrules import ActiveRule, Direction, RuleTable

CHUNK_BYTES: Final = 65_536


class Relay:
    """Copies bytes between one client connection and the server.

    Invariant: bytes of one direction keep their order, and none passes while that direction is cut.
    """

    def __init__(
        self,
        link: str,
        source: str,
        table: RuleTable,
        client: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    ) -> None:
        """Create the relay of an accepted connection; it doesn't copy bytes yet."""
        self._link = link
        self._source = source
        self._table = table
        self._client_reader, self._client_writer = client
        self._server_writer: asyncio.StreamWriter | None = None
        self._answer_bytes = 0
        self._request_bytes = 0
        self._request_seen = False
        self._waiting_pumps = 0

    @property
    def held(self) -> bool:
        """Whether a rule holds bytes of the connection or its connect to the server."""
        return self._waiting_pumps > 0

    def active_rule(self) -> ActiveRule:
        """Return the rule that applies to this connection now."""
        return self._table.lookup(self._link, self._source)

    async def run(self, server: HostPort) -> None:
        """Connect to the server and copy bytes until either side fails or both end.

        Both sides are closed on return.
        """
        try:
            if self.active_rule().rule.faults.reset:
                return
            # A TCP handshake needs both directions, so it can't complete while either one is cut.
            await self._wait_until_uncut(Direction.TO_SERVER, Direction.TO_CLIENT)
            reader, self._server_writer = await asyncio.open_connection(server.ip, server.port)
            await self._pump_both(reader, self._server_writer)
        except* OSError:
            pass
        finally:
            self.abort()

    def abort(self) -> None:
        """Reset both connections that are still open."""
        for writer in (self._client_writer, self._server_writer):
            if writer is not None:
                _reset_connection(writer)

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
            await self._wait_until_uncut(direction)
            if not data:
                writer.write_eof()
                return
            if direction is Direction.TO_SERVER:
                self._answer_bytes = 0
                self._request_seen = True
                await self._forward_request(data, writer)
            else:
                self._forward_answer(data, writer)
            await writer.drain()

    async def _forward_request(self, data: bytes, writer: asyncio.StreamWriter) -> None:
        limit = self.active_rule().rule.faults.hold_request_after_bytes
        bytes_before = self._request_bytes
        self._request_bytes += len(data)
        if limit is not None and self._request_bytes > limit:
            allowed_bytes = max(0, limit - bytes_before)
            writer.write(data[:allowed_bytes])
            data = data[allowed_bytes:]
            await self._hold_request()
        writer.write(data)

    async def _hold_request(self) -> None:
        while self.active_rule().rule.faults.hold_request_after_bytes is not None:
            self._waiting_pumps += 1
            try:
                await self._table.wait_changed()
            finally:
                self._waiting_pumps -= 1

    def _forward_answer(self, data: bytes, writer: asyncio.StreamWriter) -> None:
        active = self.active_rule()
        if self._answer_bytes == 0 and self._request_seen and active.consume_answer_loss():
            raise ConnectionResetError("answer dropped by a fault rule")
        self._request_bytes = 0
        limit = active.rule.faults.cut_answer_after_bytes
        if limit is None:
            writer.write(data)
        else:
            writer.write(data[: max(0, limit - self._answer_bytes)])
        self._answer_bytes += len(data)
        if limit is not None and self._answer_bytes > limit:
            writer.close()
            raise ConnectionAbortedError("answer truncated by a fault rule")

    async def _wait_until_uncut(self, *directions: Direction) -> None:
        faults = self.active_rule().rule.faults
        while any(faults.cuts(direction) for direction in directions):
            on_heal = faults.on_heal
            self._waiting_pumps += 1
            try:
                await self._table.wait_changed()
            finally:
                self._waiting_pumps -= 1
            faults = self.active_rule().rule.faults
            if on_heal == "reset" and not any(faults.cuts(d) for d in directions):
                raise ConnectionResetError("held connection reset at the end of a cut")


def _reset_connection(writer: asyncio.StreamWriter) -> None:
    if writer.is_closing():
        return
    sock: socket.socket = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
