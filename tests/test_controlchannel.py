"""Tests of ControlChannel."""

import asyncio

from grpclib.exceptions import StreamTerminatedError
from grpclib.protocol import H2Protocol
from testtools import TestCase
from toucanspindle_core.control_grpc import PeerLinkStub
from toucanspindle_core.control_pb2 import PingRequest
from toucanspindle_core.controlchannel import ControlChannel


class ClosedConnectionChannel(ControlChannel):
    """A channel whose connection is closed before the first call uses it."""

    async def _create_connection(self) -> H2Protocol:
        protocol = await super()._create_connection()
        protocol.connection_lost(None)
        return protocol


class LostConnectionTests(TestCase):
    """A peer accepts a connection and closes it at once.

    Without ControlChannel such a call ends with AttributeError in grpclib.
    """

    def test_call_raises_stream_terminated_error(self) -> None:
        self.assertIsInstance(asyncio.run(call_on_closed_connection()), StreamTerminatedError)


async def call_on_closed_connection() -> BaseException | None:
    """Call through a connection that is lost at once; return the exception, or None."""
    server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
    channel = ClosedConnectionChannel("127.0.0.1", server.sockets[0].getsockname()[1])
    try:
        await PeerLinkStub(channel).Ping(PingRequest(), timeout=5)
    except Exception as error:
        return error
    finally:
        channel.close()
        server.close()
    return None
