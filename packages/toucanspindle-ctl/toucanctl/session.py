"""What a command works with: checked settings, the platform, the nodes and the output."""

import asyncio
import json
from contextlib import AbstractContextManager
from types import TracebackType
from typing import Any

from toucanspindle_core import errorcodes
from toucanspindle_core.clock import Clock, MonotonicClock
from toucanspindle_core.configacceptance import Patience
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
from toucanctl.fleetview import FleetView, collect_fleet, sample_fleet
from toucanctl.nodeclient import ALL_SERVICES, NO_SERVICE, fetch_bundle
from toucanctl.output import Output
from toucanctl.progress import Follower


class Session(AbstractContextManager["Session"]):
    """One run of a command.

    Invariant: the platform's client exists only after it was asked for, so that commands which
    need no platform run without one.
    """

    def __init__(self, options: CommonOptions) -> None:
        """Create a session; raise SettingsError when the options are wrong."""
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
        """Close the platform's client."""
        if self._platform is not None:
            self._platform.close()

    @property
    def platform(self) -> PlatformClient:
        """Return the platform's client; raise SettingsError when no platform is named."""
        if self._platform is None:
            self._platform = PlatformClient(require_platform(self.settings))
        return self._platform

    @property
    def store(self) -> ConfigStore:
        """Return the configuration that the platform holds."""
        return ConfigStore(self.platform, Patience())

    def require_head(self) -> StoredHead:
        """Return the head in the platform; raise SettingsError when nothing was applied yet."""
        head = self.store.read_head()
        if head is None:
            raise SettingsError(
                errorcodes.CONFIG_ABSENT,
                f"The platform at {self.settings.platform_url} holds no fleet configuration.",
                "check that the address is your platform's; apply a first file with"
                " `toucanctl config apply FILE --why WHY`",
            )
        return head

    def hosts(self) -> list[HostEntry]:
        """Return the platform's list of hosts, empty while the platform is away."""
        if self.settings.platform_url is None and self.settings.agents:
            return []
        try:
            return self.platform.hosts()
        except PlatformError as error:
            if not self.settings.agents:
                raise
            self.output.warn(f"the platform's list of hosts is missing: {error.text}")
            return []

    def fleet(self, scope: str = ALL_SERVICES) -> FleetView:
        """Ask every node that can be found; raise ControlError when there is none to ask.

        `scope` is a service to ask about, or NO_SERVICE for generations only.
        """
        view = asyncio.run(collect_fleet(self.settings.agents, self.hosts(), scope))
        if not view.nodes:
            raise ControlError(
                errorcodes.AGENT_AWAY,
                "No node is known: the platform lists no live entry host.",
                "name an agent with --agent IP:port, or wait for the platform's list",
            )
        return view

    def highest_sampled_generation(self) -> int:
        """Return the highest generation that a few nodes have, 0 when none of them is heard."""
        view = asyncio.run(sample_fleet(self.settings.agents, self.hosts()))
        return view.highest_generation()

    @property
    def follower(self) -> Follower:
        """Return what follows a generation to the nodes."""
        return Follower(lambda: self.fleet(NO_SERVICE), self.output, self.clock)

    def config_in_force(self, view: FleetView) -> tuple[ConfigHead, FleetConfig]:
        """Return the newest configuration that the nodes have; raise ControlError for none."""
        generation = view.highest_generation()
        for node in view.nodes:
            if node.status is None or node.status.agent_generation < generation:
                continue
            bundle = asyncio.run(fetch_bundle(node.agent_address))
            if bundle.head:
                return _unpack(bundle)
        raise ControlError(
            errorcodes.AGENT_AWAY,
            "No node that was heard has a configuration.",
            "apply one with `toucanctl config apply FILE --why WHY`, or check the nodes with"
            " `toucanctl status`",
        )


def _unpack(bundle: ConfigBundle) -> tuple[ConfigHead, FleetConfig]:
    head = parse_head(_json_of(bundle.head))
    return head, join_encoded(head, dict(bundle.parts))


def _json_of(data: bytes) -> Any:
    """Return a JSON value, or None for what isn't JSON."""
    try:
        return json.loads(data)
    except ValueError:
        return None
