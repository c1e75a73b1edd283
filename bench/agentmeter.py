"""Runs one agent and measures its CPU time, its memory, and the bytes on its connections.

    python -m bench.agentmeter SETTINGS.toml SNAPSHOT.json

On SIGUSR1 it writes a snapshot of its counters.  It counts bytes where grpclib writes to and reads
from sockets, separately for peers and the own proxy, and where the platform client reads answers.
The counters are patched into the libraries here, so that the product needs no code for them.
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
    """Counts bytes by kind of connection."""

    def __init__(self, proxy_port: int) -> None:
        """Create a meter; connections to the local port `proxy_port` are the proxy's."""
        self._proxy_port = proxy_port
        self._proxy_links: set[int] = set()
        self.counts = {"peer_sent": 0, "peer_received": 0, "proxy_sent": 0, "proxy_received": 0}
        self.counts |= {"platform_received": 0, "platform_calls": 0, "connections": 0}

    def install(self) -> None:
        """Patch the counters into the classes of the libraries."""
        self._patch_connections()
        self._patch_receiving()
        self._patch_sending()
        self._patch_platform()

    def snapshot(self) -> dict[str, float]:
        """Return the counters with CPU seconds, resident bytes and monotonic time."""
        pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
        return self.counts | {
            "cpu_s": time.process_time(),
            "rss_bytes": pages * os.sysconf("SC_PAGE_SIZE"),
            "at_s": time.monotonic(),
        }

    def _counter_name(self, connection: object, direction: str) -> str:
        return f"{'proxy' if id(connection) in self._proxy_links else 'peer'}_{direction}"

    def _patch_connections(self) -> None:
        original: Any = H2Protocol.connection_made

        def connection_made(protocol: Any, transport: Any) -> None:
            self.counts["connections"] += 1
            local_address = transport.get_extra_info("sockname")
            original(protocol, transport)
            if local_address and local_address[1] == self._proxy_port:
                self._proxy_links.add(id(protocol.connection._connection))

        H2Protocol.connection_made = connection_made  # type: ignore[assignment, method-assign]

    def _patch_receiving(self) -> None:
        original: Any = H2Protocol.data_received

        def data_received(protocol: Any, data: bytes) -> None:
            self.counts[self._counter_name(protocol.connection._connection, "received")] += len(
                data
            )
            original(protocol, data)

        H2Protocol.data_received = data_received  # type: ignore[assignment, method-assign]

    def _patch_sending(self) -> None:
        original: Any = h2.connection.H2Connection.data_to_send

        def data_to_send(connection: Any, amount: int | None = None) -> bytes:
            data: bytes = original(connection, amount)
            self.counts[self._counter_name(connection, "sent")] += len(data)
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


async def _run_metered_agent(settings: ProcessSettings, meter: Meter, snapshot_path: Path) -> None:
    def write_snapshot() -> None:
        partial_path = snapshot_path.with_suffix(".partial")
        partial_path.write_text(json.dumps(meter.snapshot()), encoding="ascii")
        partial_path.rename(snapshot_path)

    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, write_snapshot)
    await run_agent(settings)


def main() -> None:
    """Run the agent of the settings file named on the command line."""
    settings = load_process_settings(Path(sys.argv[1]))
    meter = Meter(HostPort.parse(settings.proxy_link_address).port)
    meter.install()
    asyncio.run(_run_metered_agent(settings, meter, Path(sys.argv[2])))


if __name__ == "__main__":
    main()
