"""Builds the host list of the stand-in platform from node settings and a configuration."""

from collections.abc import Iterable

from toucanspindle_core.fleetconfig import FleetConfig
from toucanspindle_core.platformclient import HostEntry, HostList
from toucanspindle_core.processsettings import ProcessSettings


def list_hosts(nodes: Iterable[ProcessSettings], config: FleetConfig) -> HostList:
    """Return a list of the given nodes and all targets of a configuration, all in state live."""
    node_entries = [
        HostEntry(
            name=settings.node,
            role="entry",
            address=settings.entry_address,
            failure_domain=settings.failure_domain,
            state="live",
            agent_address=settings.agent_address,
        )
        for settings in nodes
    ]
    target_entries = [
        HostEntry(
            name=target.name,
            role="target",
            address=target.address,
            failure_domain=target.failure_domain,
            state="live",
            service=service.name,
        )
        for service in config.services
        for target in service.targets
    ]
    return HostList(hosts=node_entries + target_entries)
