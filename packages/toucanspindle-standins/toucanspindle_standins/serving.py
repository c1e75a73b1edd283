"""Runs stand-in servers in one process until SIGINT or SIGTERM."""

import asyncio
import errno
import signal
import sys
from collections.abc import Sequence
from typing import Final, Protocol, runtime_checkable

from toucanspindle_core import errorcodes
from toucanspindle_core.errors import SettingsError, ToucanError


class Server(Protocol):
    """A server with an explicit start and close."""

    async def start(self) -> None:
        """Start to listen."""
        ...

    async def close(self) -> None:
        """Stop."""
        ...


@runtime_checkable
class Drainable(Protocol):
    """A server that finishes what it runs before it closes."""

    async def drain(self, limit_s: float) -> None:
        """Wait until nothing runs, at most `limit_s` seconds."""
        ...


DRAIN_LIMIT_S: Final = 5.0


def serve_until_signal(servers: Sequence[Server], ready_line: str) -> None:
    """Start the servers, print `ready_line`, serve until a signal, drain and close."""
    try:
        asyncio.run(_serve(servers, ready_line))
    except ToucanError as error:
        print(error, file=sys.stderr)
        sys.exit(1)


async def _serve(servers: Sequence[Server], ready_line: str) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    try:
        for server in servers:
            await _start(server)
        print(ready_line, flush=True)
        await stop.wait()
        await asyncio.gather(*(_drain(server) for server in servers))
    finally:
        for server in servers:
            await server.close()


async def _start(server: Server) -> None:
    try:
        await server.start()
    except OSError as error:
        absent = error.errno == errno.EADDRNOTAVAIL
        raise SettingsError(
            errorcodes.ADDRESS_INVALID if absent else errorcodes.ADDRESS_IN_USE,
            f"A stand-in can't listen: {error.strerror or error}.",
            "name an address of this host" if absent else "name a free address",
        ) from error


async def _drain(server: Server) -> None:
    if isinstance(server, Drainable):
        await server.drain(DRAIN_LIMIT_S)
