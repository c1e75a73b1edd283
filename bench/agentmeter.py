"""Runs one agent and measures what it costs: processor time, memory, and bytes on its links.

    python -m bench.agentmeter SETTINGS.toml SNAPSHOT.json

On SIGUSR1 it writes a snapshot of its counters.  Bytes are counted where grpclib hands them to
and takes them from the sockets, apart for the links to peers and to the own proxy, and where the
platform's client reads answers.  The patches live here, so that the product carries none.
"""

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path
from typing import Any

import h2.connection
from grpclib.protocol import H2Protocol
from toucanspindle_core.hostport import HostPort
from toucanspindle_core.platformclient import PlatformClient
from toucanspindle_core.processsettings import ProcessSettings, load_process_settings
from toucanspindle_node.agent import run_agent

HTTP_HEADER_BYTES = 250


class Meter:
    """Counts bytes by link."""

    def __init__(self, proxy_port: int) -> None:
        """Create a meter; connections at `proxy_port` are the proxy's."""
        self._proxy_port = proxy_port
        self._proxy_links: set[int] = set()
        self.counts = {"peer_sent": 0, "peer_received": 0, "proxy_sent": 0, "proxy_received": 0}
        self.counts |= {"platform_received": 0, "platform_calls": 0, "connections": 0}

    def install(self) -> None:
        """Put the counters into the libraries' classes."""
        self._patch_connections()
        self._patch_receiving()
        self._patch_sending()
        self._patch_platform()

    def snapshot(self) -> dict[str, float]:
        """Return the counters with processor seconds, resident bytes and the time."""
        pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
        return self.counts | {
            "cpu_s": time.process_time(),
            "rss_bytes": pages * os.sysconf("SC_PAGE_SIZE"),
            "at_s": time.monotonic(),
        }

    def _name(self, connection: object, direction: str) -> str:
        return f"{'proxy' if id(connection) in self._proxy_links else 'peer'}_{direction}"

    def _patch_connections(self) -> None:
        original: Any = H2Protocol.connection_made

        def connection_made(protocol: Any, transport: Any) -> None:
            self.counts["connections"] += 1
            local = transport.get_extra_info("sockname")
            original(protocol, transport)
            if local and local[1] == self._proxy_port:
                self._proxy_links.add(id(protocol.connection._connection))

        H2Protocol.connection_made = connection_made  # type: ignore[assignment, method-assign]

    def _patch_receiving(self) -> None:
        original: Any = H2Protocol.data_received

        def data_received(protocol: Any, data: bytes) -> None:
            self.counts[self._name(protocol.connection._connection, "received")] += len(data)
            original(protocol, data)

        H2Protocol.data_received = data_received  # type: ignore[assignment, method-assign]

    def _patch_sending(self) -> None:
        original: Any = h2.connection.H2Connection.data_to_send

        def data_to_send(connection: Any, amount: int | None = None) -> bytes:
            data: bytes = original(connection, amount)
            self.counts[self._name(connection, "sent")] += len(data)
            return data

        h2.connection.H2Connection.data_to_send = data_to_send  # type: ignore[assignment, method-assign]

    def _patch_platform(self) -> None:
        original: Any = PlatformClient._call

        def call(client: Any, *args: Any, **options: Any) -> Any:
            self.counts["platform_calls"] += 1
            response = original(client, *args, **options)
            self.counts["platform_received"] += len(response.data) + HTTP_HEADER_BYTES
            return response

        PlatformClient._call = call  # type: ignore[assignment, method-assign]


async def _run(settings: ProcessSettings, meter: Meter, path: Path) -> None:
    def write() -> None:
        partial = path.with_suffix(".partial")
        partial.write_text(json.dumps(meter.snapshot()), encoding="ascii")
        partial.rename(path)

    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, write)
    await run_agent(settings)


def main() -> None:
    """Run the agent of the settings file named on the command line."""
    settings = load_process_settings(Path(sys.argv[1]))
    meter = Meter(HostPort.parse(settings.proxy_link_address).port)
    meter.install()
    asyncio.run(_run(settings, meter, Path(sys.argv[2])))


if __name__ == "__main__":
    main()
