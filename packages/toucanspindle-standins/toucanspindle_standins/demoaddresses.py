"""Chooses free loopback addresses for the demonstration.

The examples declare targets at 127.A.<service>.<target>; the platform and the entry nodes use
127.A.0.x.  If any of these addresses is in use, the demonstration uses a copy of the example with
another second octet A, so two demonstrations can run at the same time.
"""

import socket
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from toucanspindle_core.fleetconfig import FleetConfig
from toucanspindle_core.fleetfile import load_fleet_file
from toucanspindle_core.hostport import HostPort

SPARE_SECOND_OCTETS: Final = range(60, 250)
PLATFORM_PORT: Final = 7000
NODE_PORTS: Final = {
    "entry_address": 8080,
    "proxy_control_address": 8081,
    "agent_address": 8082,
    "proxy_link_address": 8083,
    "metrics_address": 8084,
}


@dataclass(frozen=True)
class DemoAddresses:
    """The fleet file of the demonstration and the addresses of its platform and nodes.

    `relocated` is true if the fleet file is a copy of the example with other addresses.  `nodes`
    maps address settings to addresses, one mapping per node.
    """

    fleet_file: Path
    config: FleetConfig
    relocated: bool
    platform: HostPort
    nodes: tuple[dict[str, HostPort], ...]


def find_free_addresses(example: Path, node_count: int, folder: Path) -> DemoAddresses:
    """Return free addresses for an example; raise OSError if there are none.

    If an address of the example is in use, a copy with other addresses is written to `folder`.
    """
    config = load_fleet_file(example).config
    octet = _second_octet(config)
    addresses = _plan_addresses(example, config, False, octet, node_count)
    if _all_free(addresses):
        return addresses
    for spare_octet in SPARE_SECOND_OCTETS:
        copy = folder / example.name
        text = example.read_text(encoding="utf-8")
        copy.write_text(text.replace(f"127.{octet}.", f"127.{spare_octet}."), encoding="utf-8")
        relocated_config = load_fleet_file(copy).config
        addresses = _plan_addresses(copy, relocated_config, True, spare_octet, node_count)
        if _all_free(addresses):
            return addresses
    raise OSError("no loopback network from 127.60 to 127.249 is free")


def _plan_addresses(
    fleet_file: Path, config: FleetConfig, relocated: bool, octet: int, node_count: int
) -> DemoAddresses:
    platform = HostPort(f"127.{octet}.0.1", PLATFORM_PORT)
    nodes = tuple(
        {
            setting: HostPort(f"127.{octet}.0.{11 + index}", port)
            for setting, port in NODE_PORTS.items()
        }
        for index in range(node_count)
    )
    return DemoAddresses(fleet_file, config, relocated, platform, nodes)


def _second_octet(config: FleetConfig) -> int:
    first = config.services[0].targets[0]
    return int(HostPort.parse(first.address).ip.split(".")[1])


def _all_free(addresses: DemoAddresses) -> bool:
    targets = [
        HostPort.parse(target.address)
        for service in addresses.config.services
        for target in service.targets
    ]
    nodes = [address for node in addresses.nodes for address in node.values()]
    return all(_is_free(address) for address in [addresses.platform, *nodes, *targets])


def _is_free(address: HostPort) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((address.ip, address.port))
        except OSError:
            return False
    return True
