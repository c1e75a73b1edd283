"""Messages between entry processes: JSON arrays in UDP datagrams.

A message may be lost, duplicated or reordered; a sender that needs an answer resends.  UDP is used
because these messages must arrive within a millisecond or not at all.  A TCP stream can't provide
this over a network that loses packets or a connection whose peer is silent.

All datagrams that have arrived are read in one go.  Otherwise each one would cost a round of the
event loop, and a host that is behind would fall behind further.
"""

import asyncio
import socket
from collections.abc import Callable
from typing import Any, Final

import orjson
from logbook import Logger

Message = list[Any]
MessageHandler = Callable[[str, Message], None]

MAX_DATAGRAM_BYTES: Final = 65_536
MAX_DATAGRAMS_READ: Final = 128  # In one go, so that connections get their turn.

log = Logger("datagrams")


class DatagramEndpoint:
    """UDP endpoint for messages; all hosts use the same port number."""

    def __init__(self, ip: str, port: int, handler: MessageHandler) -> None:
        """Create an unbound endpoint.

        `handler` gets the sender's IP address and the message.  It may raise ValueError, TypeError,
        IndexError or KeyError for a malformed message.
        """
        self._ip = ip
        self._port = port
        self._handler = handler
        self._socket: socket.socket | None = None
        self.datagrams_sent = 0
        self.datagrams_received = 0
        self.rejected = 0

    @property
    def port(self) -> int:
        """The UDP port of all hosts."""
        return self._port

    async def start(self) -> None:
        """Bind the UDP port; raise OSError if it is in use."""
        udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        udp_socket.setblocking(False)
        try:
            udp_socket.bind((self._ip, self._port))
        except OSError:
            udp_socket.close()
            raise
        self._socket = udp_socket
        asyncio.get_running_loop().add_reader(udp_socket, self._read_all)

    def close(self) -> None:
        """Close the UDP port, if it is bound."""
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def send(self, ip: str, message: Message) -> None:
        """Send a message without delivery guarantee; dropped unless the port is bound."""
        if self._socket is None:
            return
        self.datagrams_sent += 1
        try:
            self._socket.sendto(orjson.dumps(message), (ip, self._port))
        except OSError as error:
            # The sender treats a peer that can't be reached like one that doesn't answer.
            log.debug("event=datagram_refused error={!r}", error)

    def _read_all(self) -> None:
        """Handle the datagrams that have arrived."""
        for _ in range(MAX_DATAGRAMS_READ):
            if self._socket is None:
                return
            try:
                data, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # The error of an earlier datagram, whose receiver was unreachable.
                log.debug("event=datagram_refused error={!r}", error)
                continue
            self._handle_datagram(data, sender[0])

    def _handle_datagram(self, data: bytes, ip: str) -> None:
        """Pass a message to the handler; count, log and drop a malformed one."""
        self.datagrams_received += 1
        try:
            message = orjson.loads(data)
        except orjson.JSONDecodeError:
            message = None
        if not isinstance(message, list) or not message or not isinstance(message[0], str):
            self.rejected += 1
            log.warning("event=datagram_undecodable from={} count={}", ip, self.rejected)
            return
        try:
            self._handler(ip, message)
        except (ValueError, TypeError, IndexError, KeyError) as error:
            self.rejected += 1
            log.warning("event=datagram_malformed from={} error={!r}", ip, error)
        except Exception as error:
            # The datagrams behind this one are still to be read.
            self.rejected += 1
            log.exception("event=datagram_failed from={} error={!r}", ip, error)
