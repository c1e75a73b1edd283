"""What the parts of one agent share: its settings, state, clients and counters."""

from dataclasses import dataclass

from toucanspindle_core.clock import Clock
from toucanspindle_core.membership import Membership
from toucanspindle_core.processsettings import ProcessSettings

from toucanspindle_node.agent_counters import AgentCounters
from toucanspindle_node.agent_platform import AgentPlatform
from toucanspindle_node.configcache import ConfigCache
from toucanspindle_node.peerclients import PeerClients


@dataclass(frozen=True)
class AgentParts:
    """The shared objects; each is used on the event loop only."""

    settings: ProcessSettings
    membership: Membership
    cache: ConfigCache
    clients: PeerClients
    platform: AgentPlatform
    counters: AgentCounters
    clock: Clock
