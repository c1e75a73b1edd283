"""Peers that make a process hold as much as they can; each runs as a process of its own.

    python -m tests.memorypeers answer SCENARIO IP:PORT
    python -m tests.memorypeers call SCENARIO IP:PORT CONNECTIONS

The first form listens and answers each request with bytes without end.  The second one opens many
connections and keeps them busy.  Both run until they are killed.
"""

import asyncio
import itertools
import socket
import sys
from collections.abc import Awaitable, Callable
from typing import Final

import orjson
from toucanspindle_core.hostport import HostPort

from deployedfleet import HOST_NAME

UPLOAD_BYTES: Final = 12 * 2**20
LARGE_ANSWER_BYTES: Final = 24 * 2**20
PIECE: Final = b"x" * 65_536
CONNECT_TIMEOUT_S: Final = 10.0
OPENED_AT_ONCE: Final = 50
CHUNKED: Final = "Transfer-Encoding: chunked\r\n"
OK: Final = b"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Attempt-Id: {attempt}\r\n"
OK_CHUNKED: Final = OK + b"Transfer-Encoding: chunked\r\n\r\n"
TINY_HEADERS: Final = b"".join(b"a%d:\r\n" % (n % 10) for n in range(12_000))

# By scenario: what is sent first, and what is sent again and again.
ENDLESS_ANSWERS: Final[dict[str, tuple[bytes, bytes]]] = {
    "head": (OK, TINY_HEADERS),
    "one-header": (OK + b"X-More: ", PIECE),
    "body": (OK + b"\r\n", PIECE),
    "tiny-chunks": (OK_CHUNKED, b"1\r\nx\r\n" * 9000),
    "chunk-extension": (OK_CHUNKED + b"1;x=", PIECE),
    "trailers": (OK_CHUNKED + b"100000\r\n" + b"x" * 2**20 + b"\r\n0\r\n", TINY_HEADERS),
    "interim": (b"", b"HTTP/1.1 103 Early Hints\r\nX-More: y\r\n\r\n" * 1000),
    # Just under what was exempt from the limit over all responses.
    "megabytes": (OK_CHUNKED + b"fff00\r\n" + b"x" * 0xFFF00 + b"\r\n", b""),
    "nothing": (b"", b""),
    "large": (OK + b"Content-Length: %d\r\n\r\n" % LARGE_ANSWER_BYTES, PIECE),
}


class EndlessAnswers:
    """A server that answers each request with bytes without end."""

    def __init__(self, start: bytes, repeated: bytes) -> None:
        self._start = start
        self._repeated = repeated

    async def run(self, address: HostPort) -> None:
        server = await asyncio.start_server(self._serve, address.ip, address.port, backlog=512)
        await server.serve_forever()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            fields = [line.split(b": ", 1) for line in head.lower().split(b"\r\n") if b": " in line]
            attempt = next((value for name, value in fields if name == b"x-attempt-id"), b"")
            writer.write(self._start.replace(b"{attempt}", attempt))
            while self._repeated:
                writer.write(self._repeated)
                await writer.drain()
            await reader.read()
        except (OSError, asyncio.IncompleteReadError):
            pass
        writer.close()


class HungryCallers:
    """Callers of one entry process; the methods without an underscore are scenarios."""

    def __init__(self, address: HostPort) -> None:
        self._address = address
        self._ids = itertools.count(1)

    async def upload(self, _number: int) -> None:
        """Send bodies of a declared length."""
        while True:
            reader, writer = await self._connect()
            writer.write(self._head("POST", "/reserve/1", f"Content-Length: {UPLOAD_BYTES}\r\n"))
            try:
                for _ in range(UPLOAD_BYTES // len(PIECE)):
                    writer.write(PIECE)
                    await writer.drain()
                await reader.readuntil(b"\r\n\r\n")
            finally:
                writer.close()

    async def chunks(self, _number: int) -> None:
        """Send a body in chunks of one byte without end."""
        await self._send_without_end(
            self._head("POST", "/reserve/1", CHUNKED), b"1\r\nx\r\n" * 9000
        )

    async def trailers(self, _number: int) -> None:
        """Send the trailers of a body without end."""
        start = self._head("POST", "/reserve/1", CHUNKED) + b"1\r\nx\r\n0\r\n"
        await self._send_without_end(start, TINY_HEADERS)

    async def extension(self, _number: int) -> None:
        """Send the extension of a chunk without end."""
        start = self._head("POST", "/reserve/1", CHUNKED) + b"1;x="
        await self._send_without_end(start, PIECE)

    async def heads(self, _number: int) -> None:
        """Send heads of many tiny headers ahead, whose requests take long."""
        fields = TINY_HEADERS[:12_000].decode()
        await self._send_without_end(b"", self._head("GET", "/faulty/1", fields))

    async def tiny_requests(self, _number: int) -> None:
        """Send short requests ahead without reading their answers."""
        await self._send_without_end(b"", b"GET / HTTP/1.1\r\n\r\n" * 3000)

    async def slow_readers(self, _number: int) -> None:
        """Ask for a large answer and read it at 64 KB/s."""
        loop = asyncio.get_running_loop()
        with socket.socket() as sock:
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
            await loop.sock_connect(sock, (self._address.ip, self._address.port))
            await loop.sock_sendall(sock, self._head("GET", "/faulty/1"))
            while await loop.sock_recv(sock, 16_384):
                await asyncio.sleep(0.25)

    async def ask_faulty(self, _number: int) -> None:
        """Ask the faulty target again and again."""
        while True:
            reader, writer = await self._connect()
            writer.write(self._head("GET", "/faulty/1"))
            try:
                await reader.readuntil(b"\r\n\r\n")
            finally:
                writer.close()

    async def datagrams(self, number: int) -> None:
        """Send large messages of all kinds from the addresses of other hosts."""
        first, second, third, _ = self._address.ip.split(".")
        names = [f"{first}.{second}.{n // 250}.{n % 250 + 1}" for n in range(2000)]
        kinds = ("dead", "hello", "welcome", "hosts", "probe", "store", "ask", "granted")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind((f"{first}.{second}.{third}.{number % 200 + 20}", 0))
            for n in itertools.count():
                message = [kinds[n % len(kinds)], n, *names, f"{n}" * 500]
                sock.sendto(orjson.dumps(message)[:60_000], (self._address.ip, self._address.port))
                await asyncio.sleep(0.02)

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            return await asyncio.open_connection(self._address.ip, self._address.port)

    def _head(self, method: str, path: str, fields: str = "") -> bytes:
        return (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
            f"X-Attempt-Id: f{next(self._ids):015x}\r\nX-Deadline-Ms: 15000\r\n{fields}\r\n"
        ).encode()

    async def _send_without_end(self, start: bytes, repeated: bytes) -> None:
        _, writer = await self._connect()
        try:
            writer.write(start)
            while True:
                writer.write(repeated)
                await writer.drain()
        finally:
            writer.close()


async def _run_callers(scenario: str, address: HostPort, connections: int) -> None:
    attack: Callable[[int], Awaitable[None]] = getattr(HungryCallers(address), scenario)
    gate = asyncio.Semaphore(OPENED_AT_ONCE)

    async def run(number: int) -> None:
        while True:
            async with gate:
                await asyncio.sleep(0.01)
            try:
                await attack(number)
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                await asyncio.sleep(0.1)

    await asyncio.gather(*(run(number) for number in range(connections)))


def main() -> None:
    """Run the peers that the arguments name."""
    kind, scenario, address, *rest = sys.argv[1:]
    if kind == "answer":
        asyncio.run(EndlessAnswers(*ENDLESS_ANSWERS[scenario]).run(HostPort.parse(address)))
    else:
        asyncio.run(_run_callers(scenario, HostPort.parse(address), int(rest[0])))


if __name__ == "__main__":
    main()
