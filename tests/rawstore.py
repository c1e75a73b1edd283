"""A stand-in of the store that answers each call with bytes that the test chooses."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from toucanspindle_core.hostport import HostPort

LOOPBACK: Final = "127.0.0.1"

# Returns the body for a path with its query.
BodySource = Callable[[str], Awaitable[bytes]]


class RawStore:
    """Answers GET requests with status 200; `paths` lists the calls."""

    def __init__(self, body_of: BodySource) -> None:
        self._body_of = body_of
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []
        self.paths: list[str] = []

    async def start(self) -> HostPort:
        """Open a free port and return the address."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        return HostPort(LOOPBACK, self._server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Close the port and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ")[1].decode()
                self.paths.append(path)
                body = await self._body_of(path)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
