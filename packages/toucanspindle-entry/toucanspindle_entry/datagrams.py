"""Small messages between entry processes: JSON arrays in UDP datagrams.

A message may be lost, come twice or out of order; whoever needs an answer sends again.  Datagrams
carry what must arrive in a millisecond or not at all, which a stream over a lossy or silent link
can't give.
"""

import asyncio
from collections.abc import Callable
from typing import Any, cast

import orjson
from logbook import Logger

Message = list[Any]
Receiver = Callable[[str, Message], None]

log = Logger("datagrams")


class DatagramPort(asyncio.DatagramProtocol):
    """Sends and receives messages on the port that all hosts share."""

    def __init__(self, ip: str, port: int, receiver: Receiver) -> None:
        """Create a port; `receiver` gets the sender's IP number and the message."""
        self._ip = ip
        self._port = port
        self._receiver = receiver
        self._transport: asyncio.DatagramTransport | None = None
        self.sent = 0
        self.received = 0
        self.undecodable = 0

    async def start(self) -> None:
        """Bind the port."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(self._ip, self._port))

    def close(self) -> None:
        """Release the port."""
        if self._transport is not None:
            self._transport.close()

    def send(self, ip: str, message: Message) -> None:
        """Send a message, which may be lost."""
        if self._transport is None or self._transport.is_closing():
            return
        self.sent += 1
        self._transport.sendto(orjson.dumps(message), (ip, self._port))

    # asyncio.DatagramProtocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # asyncio's own datagram transport isn't a subclass of DatagramTransport in Python 3.11.
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Hand a message on; an undecodable one is counted and dropped."""
        self.received += 1
        try:
            message = orjson.loads(data)
        except orjson.JSONDecodeError:
            message = None
        if not isinstance(message, list) or not message or not isinstance(message[0], str):
            self.undecodable += 1
            log.warning("event=datagram_undecodable from={} count={}", addr[0], self.undecodable)
            return
        try:
            self._receiver(addr[0], message)
        except (ValueError, TypeError, IndexError, KeyError) as error:
            self.undecodable += 1
            log.warning("event=datagram_malformed from={} error={!r}", addr[0], error)

    def error_received(self, exc: Exception) -> None:
        """Ignore an unreachable peer: silence and refusal mean the same to the sender."""
        log.debug("event=datagram_refused error={!r}", exc)
