"""Addresses of the demonstration: those of the example, or a copy of it moved aside.

The examples name targets at 127.A.<service>.<target>.  The demonstration's own processes take
127.A.0.x beside them.  When any of these addresses is in use, the whole example moves to another
second number, so that two demonstrations can run side by side.
"""

import socket
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from toucanspindle_core.fleetconfig import FleetConfig
from toucanspindle_core.fleetfile import load_fleet_file
from toucanspindle_core.hostport import HostPort

SPARE_NUMBERS: Final = range(60, 250)
PLATFORM_PORT: Final = 7000
NODE_PORTS: Final = {
    "entry_address": 8080,
    "proxy_control_address": 8081,
    "agent_address": 8082,
    "proxy_link_address": 8083,
    "metrics_address": 8084,
}


@dataclass(frozen=True)
class Places:
    """The fleet file to use, and where the demonstration's processes listen."""

    fleet_file: Path
    config: FleetConfig
    moved: bool
    platform: HostPort
    nodes: tuple[dict[str, HostPort], ...]


def find_places(example: Path, node_count: int, folder: Path) -> Places:
    """Return free places for an example; a moved copy of it is written to `folder`."""
    config = load_fleet_file(example).config
    number = _second_number(config)
    places = _places(example, config, False, number, node_count)
    if _all_free(places):
        return places
    for spare in SPARE_NUMBERS:
        copy = folder / example.name
        text = example.read_text(encoding="utf-8")
        copy.write_text(text.replace(f"127.{number}.", f"127.{spare}."), encoding="utf-8")
        moved_config = load_fleet_file(copy).config
        places = _places(copy, moved_config, True, spare, node_count)
        if _all_free(places):
            return places
    raise OSError("no loopback network from 127.60 to 127.249 is free")


def _places(
    fleet_file: Path, config: FleetConfig, moved: bool, number: int, node_count: int
) -> Places:
    platform = HostPort(f"127.{number}.0.1", PLATFORM_PORT)
    nodes = tuple(
        {
            setting: HostPort(f"127.{number}.0.{11 + index}", port)
            for setting, port in NODE_PORTS.items()
        }
        for index in range(node_count)
    )
    return Places(fleet_file, config, moved, platform, nodes)


def _second_number(config: FleetConfig) -> int:
    first = config.services[0].targets[0]
    return int(HostPort.parse(first.address).ip.split(".")[1])


def _all_free(places: Places) -> bool:
    targets = [
        HostPort.parse(target.address)
        for service in places.config.services
        for target in service.targets
    ]
    nodes = [address for node in places.nodes for address in node.values()]
    return all(_is_free(address) for address in [places.platform, *nodes, *targets])


def _is_free(address: HostPort) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((address.ip, address.port))
        except OSError:
            return False
    return True
