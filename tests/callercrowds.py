"""Crowds of callers that exceed limits; each crowd runs as a process of its own.

    python -m tests.callercrowds KIND CONNECTIONS PLACE [PLACE ...]

A place is `IP:PORT PATH [KEY]`.  The connections are spread over the places and stay busy
until the process is killed.
"""

import asyncio
import itertools
import socket
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

from toucanspindle_core.hostport import HostPort

from deployedfleet import HOST_NAME

BODY_BYTES: Final = 4 * 2**20  # Within MaxBodyBytes of the plan that the crowds meet.
HUGE_BODY_BYTES: Final = 2**40
PIECE: Final = b"x" * 65_536
SMALL_PIECE: Final = b"x" * 200
CHUNKS: Final = b"10\r\n" + b"x" * 16 + b"\r\n"
CHUNKED: Final = "Transfer-Encoding: chunked\r\n"
# Just inside MaxHeaderBytes with the other fields of the head.
TINY_FIELDS: Final = "a:\r\n" * 3900
CONNECT_TIMEOUT_S: Final = 10.0
OPENED_AT_ONCE: Final = 50
PAUSE_S: Final = 0.3


@dataclass(frozen=True)
class Place:
    """Where a caller sends its requests."""

    address: HostPort
    path: str
    key: str

    def head(self, number: int, method: str, fields: str = "", end: str = "\r\n") -> bytes:
        """Return the head of a request."""
        key = f"X-Credential: {self.key}\r\n" if self.key else ""
        return (
            f"{method} {self.path} HTTP/1.1\r\nHost: {HOST_NAME}\r\n{key}"
            f"X-Attempt-Id: c{number:015x}\r\nX-Deadline-Ms: 15000\r\n{fields}{end}"
        ).encode()


class Crowd:
    """The methods without an underscore are kinds of crowds; each call is one connection."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)

    async def whole_bodies(self, place: Place, _index: int) -> None:
        """Send bodies of legal size, each at once."""
        await self._upload(place, PIECE, BODY_BYTES)

    async def bodies_in_pieces(self, place: Place, _index: int) -> None:
        """Send bodies of legal size in small pieces."""
        await self._upload(place, SMALL_PIECE, BODY_BYTES)

    async def bodies_in_chunks(self, place: Place, _index: int) -> None:
        """Send bodies of legal size in chunks of 16 bytes."""
        reader, writer = await self._connect(place)
        writer.write(self._head(place, "POST", CHUNKED))
        for _ in range(BODY_BYTES // 16 // 400):
            writer.write(CHUNKS * 400)
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await self._finish(reader, writer)

    async def unfinished_bodies(self, place: Place, _index: int) -> None:
        """Stop one byte short of the end of a body and stay open."""
        reader, writer = await self._connect(place)
        writer.write(self._head(place, "POST", f"Content-Length: {BODY_BYTES}\r\n"))
        for _ in range(BODY_BYTES // len(PIECE) - 1):
            writer.write(PIECE)
            await writer.drain()
        writer.write(PIECE[:-1])
        await self._finish(reader, writer)

    async def huge_bodies(self, place: Place, index: int) -> None:
        """Send bodies far over the limit, of a declared length or in chunks."""
        reader, writer = await self._connect(place)
        if index % 2:
            writer.write(self._head(place, "POST", f"Content-Length: {HUGE_BODY_BYTES}\r\n"))
            piece = PIECE
        else:
            writer.write(self._head(place, "POST", CHUNKED))
            piece = b"10000\r\n" + PIECE + b"\r\n"
        for _ in range(2000):
            writer.write(piece)
            await writer.drain()
        await self._finish(reader, writer)

    async def many_fields(self, place: Place, index: int) -> None:
        """Send heads of very many short fields: some ahead, some that stop short of the end."""
        reader, writer = await self._connect(place)
        for _ in range(16 if index % 2 else 0):
            writer.write(self._head(place, "GET", TINY_FIELDS))
            await writer.drain()
        writer.write(self._head(place, "GET", TINY_FIELDS, end=""))
        await self._finish(reader, writer)

    async def requests_ahead(self, place: Place, _index: int) -> None:
        """Send short requests ahead without reading the answers."""
        sock = await self._connect_unbuffered(place)
        with sock:
            loop = asyncio.get_running_loop()
            while True:
                requests = [self._head(place, "GET") for _ in range(100)]
                await loop.sock_sendall(sock, b"".join(requests))

    async def slow_senders(self, place: Place, index: int) -> None:
        """Send a head, or a body after its head, byte by byte."""
        _, writer = await self._connect(place)
        data = self._head(place, "POST", "Content-Length: 1000\r\n")
        if index % 2:
            writer.write(data)
            data = bytes(1000)
        try:
            for begin in range(len(data)):
                writer.write(data[begin : begin + 1])
                await writer.drain()
                await asyncio.sleep(PAUSE_S)
        finally:
            writer.close()

    async def slow_readers(self, place: Place, _index: int) -> None:
        """Send requests ahead and read the answers at a few hundred bytes a second."""
        sock = await self._connect_unbuffered(place)
        with sock:
            loop = asyncio.get_running_loop()
            requests = [self._head(place, "GET") for _ in range(2000)]
            sending = asyncio.create_task(loop.sock_sendall(sock, b"".join(requests)))
            try:
                while await loop.sock_recv(sock, 100):
                    await asyncio.sleep(PAUSE_S)
            finally:
                sending.cancel()
                await asyncio.gather(sending, return_exceptions=True)

    async def half_requests(self, place: Place, index: int) -> None:
        """Stop within the head, or half-way through the body, and stay open."""
        reader, writer = await self._connect(place)
        data = self._head(place, "POST", "Content-Length: 100000\r\n") + bytes(50_000)
        writer.write(data if index % 2 else data[:60])
        await self._finish(reader, writer)

    async def idle_connections(self, place: Place, index: int) -> None:
        """Open a connection, and send nothing or the first bytes of a request."""
        reader, writer = await self._connect(place)
        if index % 2:
            writer.write(b"GET /")
        await self._finish(reader, writer)

    def _head(self, place: Place, method: str, fields: str = "", end: str = "\r\n") -> bytes:
        return place.head(next(self._numbers), method, fields, end)

    async def _upload(self, place: Place, piece: bytes, length: int) -> None:
        reader, writer = await self._connect(place)
        writer.write(self._head(place, "POST", f"Content-Length: {length}\r\n"))
        sent = 0
        while sent < length:
            writer.write(piece[: length - sent])
            sent += len(piece)
            await writer.drain()
            if len(piece) < len(PIECE):
                await asyncio.sleep(0)
        await self._finish(reader, writer)

    async def _finish(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read until the process closes the connection."""
        try:
            while await reader.read(65_536):
                pass
        finally:
            writer.close()

    async def _connect(self, place: Place) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            return await asyncio.open_connection(place.address.ip, place.address.port)

    async def _connect_unbuffered(self, place: Place) -> socket.socket:
        """Return a connection whose system holds little of what isn't read."""
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                address = (place.address.ip, place.address.port)
                await asyncio.get_running_loop().sock_connect(sock, address)
        except BaseException:
            sock.close()
            raise
        return sock


KINDS: Final = tuple(name for name in vars(Crowd) if not name.startswith("_"))


async def _run(kind: str, connections: int, places: list[Place]) -> None:
    visit: Callable[[Place, int], Awaitable[None]] = getattr(Crowd(), kind)
    gate = asyncio.Semaphore(OPENED_AT_ONCE)

    async def run(number: int) -> None:
        # `index` differs between the connections of one place.
        place, index = places[number % len(places)], number // len(places)
        while True:
            async with gate:
                await asyncio.sleep(0.01)
            try:
                await visit(place, index)
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.1)

    await asyncio.gather(*(run(number) for number in range(connections)))


def _parse_place(text: str) -> Place:
    address, path, *key = text.split(" ")
    return Place(HostPort.parse(address), path, key[0] if key else "")


def main() -> None:
    """Run the crowd that the arguments name."""
    kind, connections, *places = sys.argv[1:]
    asyncio.run(_run(kind, int(connections), [_parse_place(place) for place in places]))


if __name__ == "__main__":
    main()
