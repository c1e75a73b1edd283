"""Runs stand-in servers in one process until SIGINT or SIGTERM, then drains and closes them."""

import asyncio
import errno
import signal
import sys
from collections.abc import Sequence
from typing import Final, Protocol, runtime_checkable

from toucanspindle_core import errorcodes
from toucanspindle_core.errors import SettingsError, ToucanError


class Server(Protocol):
    """A server that is started and closed explicitly."""

    async def start(self) -> None:
        """Listen; raise OSError if the address can't be bound."""
        ...

    async def close(self) -> None:
        """Stop listening and close all connections."""
        ...


@runtime_checkable
class Drainable(Protocol):
    """A server that can finish its pending requests before it is closed."""

    async def drain(self, limit_s: float) -> None:
        """Wait until no request is pending, at most `limit_s` seconds."""
        ...


DRAIN_LIMIT_S: Final = 5.0


def serve_until_signal(servers: Sequence[Server], ready_line: str) -> None:
    """Start the servers, print `ready_line`, serve until a signal, then drain and close them.

    If a server can't start, print the error to stderr and exit with code 1.
    """
    try:
        asyncio.run(_serve(servers, ready_line))
    except ToucanError as error:
        print(error, file=sys.stderr)
        sys.exit(1)


async def _serve(servers: Sequence[Server], ready_line: str) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, stop.set)
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
        not_local = error.errno == errno.EADDRNOTAVAIL
        raise SettingsError(
            errorcodes.ADDRESS_INVALID if not_local else errorcodes.ADDRESS_IN_USE,
            f"A stand-in can't listen: {error.strerror or error}.",
            "give an address of this host" if not_local else "give a free address",
        ) from error


async def _drain(server: Server) -> None:
    if isinstance(server, Drainable):
        await server.drain(DRAIN_LIMIT_S)
