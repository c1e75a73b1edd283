"""Tests of the channel between the system's own processes."""

import asyncio

from grpclib.exceptions import StreamTerminatedError
from grpclib.protocol import H2Protocol
from testtools import TestCase
from toucanspindle_core.control_grpc import PeerLinkStub
from toucanspindle_core.control_pb2 import PingRequest
from toucanspindle_core.controlchannel import ControlChannel


class LostAtOnceChannel(ControlChannel):
    """A channel whose peer closes each connection before the first call uses it."""

    async def _create_connection(self) -> H2Protocol:
        protocol = await super()._create_connection()
        protocol.connection_lost(None)
        return protocol


class LostConnectionTests(TestCase):
    """A peer that accepts connections and closes them at once."""

    def test_call_ends_as_a_lost_connection(self) -> None:
        self.assertIsInstance(asyncio.run(call_lost_connection()), StreamTerminatedError)


async def call_lost_connection() -> BaseException | None:
    """Call through a connection that is lost at once; return how the call ended."""
    server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
    channel = LostAtOnceChannel("127.0.0.1", server.sockets[0].getsockname()[1])
    try:
        await PeerLinkStub(channel).Ping(PingRequest(), timeout=5)
    except Exception as error:
        return error
    finally:
        channel.close()
        server.close()
    return None
