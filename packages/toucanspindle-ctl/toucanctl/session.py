"""State shared by the steps of a command: settings, platform client, node queries and output."""

import asyncio
import json
from contextlib import AbstractContextManager
from types import TracebackType
from typing import Any

from toucanspindle_core import errorcodes
from toucanspindle_core.clock import Clock, MonotonicClock
from toucanspindle_core.configacceptance import RetryPolicy
from toucanspindle_core.configchain import StoredHead, parse_head
from toucanspindle_core.configparts import join_encoded
from toucanspindle_core.configstore import ConfigStore
from toucanspindle_core.control_pb2 import ConfigBundle
from toucanspindle_core.errors import ControlError, PlatformError, SettingsError
from toucanspindle_core.fleetconfig import FleetConfig
from toucanspindle_core.objects import ConfigHead
from toucanspindle_core.platformclient import HostEntry, PlatformClient

from toucanctl.ctlsettings import (
    CommonOptions,
    CtlSettings,
    load_ctl_settings,
    require_platform,
)
from toucanctl.fleetview import FleetView, query_all_nodes, query_node_sample
from toucanctl.nodeclient import ALL_SERVICES, GENERATIONS_ONLY, fetch_bundle
from toucanctl.output import Output
from toucanctl.progress import RolloutMonitor


class Session(AbstractContextManager["Session"]):
    """The context of one command run.

    Invariant: the platform client is created on first use, so commands that need no platform run
    without one.
    """

    def __init__(self, options: CommonOptions) -> None:
        """Load and check the settings; raise SettingsError when one of them is invalid."""
        self.settings: CtlSettings = load_ctl_settings(options)
        self.output = Output(options.json)
        self.clock: Clock = MonotonicClock()
        self._platform: PlatformClient | None = None

    def __exit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the platform client if one was created."""
        if self._platform is not None:
            self._platform.close()

    @property
    def platform(self) -> PlatformClient:
        """Return the platform client; raise SettingsError when no platform URL is set."""
        if self._platform is None:
            self._platform = PlatformClient(require_platform(self.settings))
        return self._platform

    @property
    def config_store(self) -> ConfigStore:
        """Return access to the configuration stored in the platform."""
        return ConfigStore(self.platform, RetryPolicy())

    def require_head(self) -> StoredHead:
        """Return the stored head; raise SettingsError when no configuration has been applied."""
        head = self.config_store.read_head()
        if head is None:
            raise SettingsError(
                errorcodes.CONFIG_ABSENT,
                f"The platform at {self.settings.platform_url} holds no fleet configuration.",
                "check that the address is your platform's; apply a first file with"
                " `toucanctl config apply FILE --why WHY`",
            )
        return head

    def listed_hosts(self) -> list[HostEntry]:
        """Return the hosts that the platform lists.

        With agents named in the settings, the list is empty when no platform is named or the
        platform can't be reached.  Without them, raises SettingsError or PlatformError.
        """
        if self.settings.platform_url is None and self.settings.agents:
            return []
        try:
            return self.platform.hosts()
        except PlatformError as error:
            if not self.settings.agents:
                raise
            self.output.warn(f"the platform's list of hosts is missing: {error.text}")
            return []

    def query_fleet(self, service_scope: str = ALL_SERVICES) -> FleetView:
        """Query the status of every known node; raise ControlError when no node is known.

        `service_scope` is ALL_SERVICES, the name of one service, or GENERATIONS_ONLY.
        """
        view = asyncio.run(
            query_all_nodes(self.settings.agents, self.listed_hosts(), service_scope)
        )
        if not view.nodes:
            raise ControlError(
                errorcodes.AGENT_UNREACHABLE,
                "No node is known: the platform lists no live entry host.",
                "name an agent with --agent IP:port, or wait for the platform's list",
            )
        return view

    def highest_sampled_generation(self) -> int:
        """Return the highest generation in a random sample of nodes, 0 when none answers."""
        view = asyncio.run(query_node_sample(self.settings.agents, self.listed_hosts()))
        return view.highest_generation()

    @property
    def rollout_monitor(self) -> RolloutMonitor:
        """Return the monitor that waits until the nodes have a generation in force."""
        return RolloutMonitor(lambda: self.query_fleet(GENERATIONS_ONLY), self.output, self.clock)

    def newest_node_config(self, view: FleetView) -> tuple[ConfigHead, FleetConfig]:
        """Return the head and content of the newest configuration that a node in `view` has.

        Raises ControlError when no node that answered has one or the node can't be reached now,
        and ConfigPartError when the node's copy is malformed or incomplete.
        """
        generation = view.highest_generation()
        for node in view.nodes:
            if node.status is None or node.status.agent_generation < generation:
                continue
            bundle = asyncio.run(fetch_bundle(node.agent_address))
            if bundle.head:
                return _parse_bundle(bundle)
        raise ControlError(
            errorcodes.AGENT_UNREACHABLE,
            "No node that answered has a configuration.",
            "apply one with `toucanctl config apply FILE --why WHY`, or check the nodes with"
            " `toucanctl status`",
        )


def _parse_bundle(bundle: ConfigBundle) -> tuple[ConfigHead, FleetConfig]:
    head = parse_head(_parse_json(bundle.head))
    return head, join_encoded(head, dict(bundle.parts))


def _parse_json(data: bytes) -> Any:
    """Return the decoded JSON value, or None when `data` isn't JSON."""
    try:
        return json.loads(data)
    except ValueError:
        return None
