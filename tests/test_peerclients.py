"""Tests of how long a channel to a peer that doesn't answer is kept."""

import asyncio

from testtools import TestCase
from toucanspindle_core.clock import ManualClock
from toucanspindle_core.control_pb2 import PingRequest
from toucanspindle_core.errors import ControlError
from toucanspindle_node.eventcounters import AgentCounters
from toucanspindle_node.peerclients import MAX_CONSECUTIVE_TIMEOUTS, PeerClients

MIN_SILENCE_S = 10.0
PING_TIMEOUT_S = 0.05


class SilentPeer:
    """Accepts connections and never answers."""

    def __init__(self) -> None:
        self.connections = 0

    async def start(self) -> str:
        """Listen on a free port and return the address."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def close(self) -> None:
        """Stop listening."""
        self._server.close()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        await reader.read()
        writer.close()


class SilentPeerTests(TestCase):
    """Calls to a peer that never answers."""

    def count_connections(self, unanswered_s: float) -> int:
        """Return how many connections pings open to a silent peer.

        The clock advances by `unanswered_s` after the first `MAX_CONSECUTIVE_TIMEOUTS` pings.
        """
        clock = ManualClock()

        async def run_pings() -> int:
            peer = SilentPeer()
            address = await peer.start()
            clients = PeerClients(AgentCounters(), MIN_SILENCE_S, clock)
            for _ in range(MAX_CONSECUTIVE_TIMEOUTS):
                await self.ping(clients, address)
            clock.advance(unanswered_s)
            for _ in range(2):
                await self.ping(clients, address)
            clients.close()
            await peer.close()
            return peer.connections

        return asyncio.run(run_pings())

    async def ping(self, clients: PeerClients, address: str) -> None:
        """Ping once; the call must fail."""
        try:
            await clients.ping(address, PingRequest(), PING_TIMEOUT_S)
        except ControlError:
            return
        self.fail("a silent peer answered")

    def test_timeouts_within_the_minimum_silence_keep_the_channel(self) -> None:
        self.assertEqual(1, self.count_connections(MIN_SILENCE_S - 1))

    def test_timeouts_beyond_the_minimum_silence_reopen_the_channel(self) -> None:
        self.assertEqual(2, self.count_connections(MIN_SILENCE_S))
