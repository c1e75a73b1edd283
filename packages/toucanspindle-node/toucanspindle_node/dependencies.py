"""The objects shared by the components of one agent: settings, state, clients and counters."""

from dataclasses import dataclass

from toucanspindle_core.clock import Clock
from toucanspindle_core.membership import Membership
from toucanspindle_core.processsettings import ProcessSettings

from toucanspindle_node.asyncplatform import AsyncPlatformClient
from toucanspindle_node.configcache import ConfigCache
from toucanspindle_node.eventcounters import AgentCounters
from toucanspindle_node.peerclients import PeerClients


@dataclass(frozen=True)
class AgentDependencies:
    """Shared objects of one agent; each is used on the event loop only."""

    settings: ProcessSettings
    membership: Membership
    config_cache: ConfigCache
    peer_clients: PeerClients
    platform: AsyncPlatformClient
    counters: AgentCounters
    clock: Clock
