"""Tests of the calls to other agents: how long a channel to a silent peer is kept."""

import asyncio

from testtools import TestCase
from toucanspindle_core.clock import ManualClock
from toucanspindle_core.control_pb2 import PingRequest
from toucanspindle_core.errors import ControlError
from toucanspindle_node.agent_counters import AgentCounters
from toucanspindle_node.peerclients import MAX_TIMEOUTS, PeerClients

MIN_SILENCE_S = 10.0
PING_TIMEOUT_S = 0.05


class SilentPeer:
    """Accepts connections and answers nothing."""

    def __init__(self) -> None:
        self.connections = 0

    async def start(self) -> str:
        """Listen and return the address."""
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
    """A peer whose answers are lost."""

    def connections_after(self, silence_s: float) -> int:
        """Return the connections made by pings before and after the peer's first silence."""
        clock = ManualClock()

        async def script() -> int:
            peer = SilentPeer()
            address = await peer.start()
            clients = PeerClients(AgentCounters(), MIN_SILENCE_S, clock)
            for _ in range(MAX_TIMEOUTS):
                await self.ping(clients, address)
            clock.advance(silence_s)
            for _ in range(2):
                await self.ping(clients, address)
            clients.close()
            await peer.close()
            return peer.connections

        return asyncio.run(script())

    async def ping(self, clients: PeerClients, address: str) -> None:
        """Ping once, in vain."""
        try:
            await clients.ping(address, PingRequest(), PING_TIMEOUT_S)
        except ControlError:
            return
        self.fail("a silent peer answered")

    def test_many_timeouts_in_a_short_while_leave_the_channel_open(self) -> None:
        self.assertEqual(1, self.connections_after(MIN_SILENCE_S - 1))

    def test_a_silent_while_later_the_channel_is_opened_anew(self) -> None:
        self.assertEqual(2, self.connections_after(MIN_SILENCE_S))
