"""Messages between entry processes: JSON arrays in UDP datagrams.

A message may be lost, duplicated or reordered; a sender that needs an answer resends.  UDP is used
because these messages must arrive within a millisecond or not at all.  A TCP stream can't provide
this over a network that loses packets or a connection whose peer is silent.
"""

import asyncio
from collections.abc import Callable
from typing import Any, cast

import orjson
from logbook import Logger

Message = list[Any]
MessageHandler = Callable[[str, Message], None]

log = Logger("datagrams")


class DatagramEndpoint(asyncio.DatagramProtocol):
    """UDP endpoint for messages; all hosts use the same port number."""

    def __init__(self, ip: str, port: int, handler: MessageHandler) -> None:
        """Create an unbound endpoint.

        `handler` gets the sender's IP address and the message.  It may raise ValueError, TypeError,
        IndexError or KeyError for a malformed message.
        """
        self._ip = ip
        self._port = port
        self._handler = handler
        self._transport: asyncio.DatagramTransport | None = None
        self.datagrams_sent = 0
        self.datagrams_received = 0
        self.rejected = 0

    async def start(self) -> None:
        """Bind the UDP port; raise OSError if it is in use."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(self._ip, self._port))

    def close(self) -> None:
        """Close the UDP port, if it is bound."""
        if self._transport is not None:
            self._transport.close()

    def send(self, ip: str, message: Message) -> None:
        """Send a message without delivery guarantee; dropped unless the port is bound."""
        if self._transport is None or self._transport.is_closing():
            return
        self.datagrams_sent += 1
        self._transport.sendto(orjson.dumps(message), (ip, self._port))

    # asyncio.DatagramProtocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for sending."""
        # asyncio's datagram transport isn't a subclass of DatagramTransport in Python 3.11.
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a message to the handler; count, log and drop a malformed one."""
        self.datagrams_received += 1
        try:
            message = orjson.loads(data)
        except orjson.JSONDecodeError:
            message = None
        if not isinstance(message, list) or not message or not isinstance(message[0], str):
            self.rejected += 1
            log.warning("event=datagram_undecodable from={} count={}", addr[0], self.rejected)
            return
        try:
            self._handler(addr[0], message)
        except (ValueError, TypeError, IndexError, KeyError) as error:
            self.rejected += 1
            log.warning("event=datagram_malformed from={} error={!r}", addr[0], error)

    def error_received(self, exc: Exception) -> None:
        """Log an unreachable peer; the sender treats it like a peer that doesn't answer."""
        log.debug("event=datagram_refused error={!r}", exc)
