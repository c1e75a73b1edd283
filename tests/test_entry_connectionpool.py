"""Tests of the limit for connections to targets, over real sockets."""

import asyncio

from testtools import TestCase
from toucanspindle_core.clock import MonotonicClock
from toucanspindle_core.hostport import HostPort
from toucanspindle_entry.memoryaccount import MemoryAccount
from toucanspindle_entry.targets.httpclient import ConnectError, HttpResponse
from toucanspindle_entry.targets.targetconnectionpool import (
    ConnectionLimitError,
    TargetConnectionPool,
)


class ConnectionLimitTests(TestCase):
    def test_connections_to_targets_leave_descriptors_to_others(self) -> None:
        """Guards against many requests at targets that take the descriptors of the store."""
        refused: list[int] = []

        async def run() -> None:
            server = await asyncio.start_server(lambda _reader, _writer: None, "127.0.0.1", 0)
            address = HostPort(*server.sockets[0].getsockname())
            pool = TargetConnectionPool(
                MonotonicClock(), MemoryAccount(1_000_000), 2, lambda: refused.append(1)
            )
            connections = [(await pool.acquire(address, False))[0] for _ in range(2)]
            for _ in range(3):
                try:
                    await pool.acquire(address, False)
                except ConnectionLimitError:
                    continue
                raise AssertionError("a third connection was opened")
            # The idle connection of another request is used, and its place is empty then.
            pool.release(address, connections[0], HttpResponse(200))
            connections[0] = (await pool.acquire(address, True))[0]
            self.assertRaises(ConnectionLimitError, pool._make_room)
            # An idle connection makes room for a new one.
            pool.release(address, connections[0], HttpResponse(200))
            connections[0] = (await pool.acquire(address, False))[0]
            # A lost one does, and a failed connect takes none.
            connections[1].close()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            server.close()
            for _ in range(3):
                try:
                    await pool.acquire(address, False)
                except ConnectError:
                    continue
                raise AssertionError("connected to a closed port")
            connections[0].close()
            await asyncio.sleep(0.01)
            self.assertEqual(0, pool._open)

        asyncio.run(run())
        self.assertEqual(4, len(refused))
