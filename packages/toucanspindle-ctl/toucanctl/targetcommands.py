"""The commands `toucanctl drain` and `toucanctl undrain`."""

from dataclasses import dataclass

from toucanspindle_core import errorcodes
from toucanspindle_core.errors import SettingsError
from toucanspindle_core.fleetconfig import FleetConfig, ServiceModel
from toucanspindle_core.policy import merge_policy

from toucanctl.changes import DEFAULT_FOLLOW_OPTIONS, FollowOptions, Why, submit_change
from toucanctl.ctlsettings import DEFAULT_OPTIONS, CommonOptions
from toucanctl.session import Session


@dataclass(frozen=True)
class TargetLocation:
    """Position of a target in a configuration: its service and its index in `service.targets`."""

    service: ServiceModel
    index: int


def drain(
    target: str,
    *,
    why: Why,
    follow: FollowOptions = DEFAULT_FOLLOW_OPTIONS,
    options: CommonOptions = DEFAULT_OPTIONS,
) -> None:
    """Stop sending new requests to a target; requests in flight finish normally.

    Parameters
    ----------
    target
        Name of the target, or SERVICE/TARGET.
    """
    _DrainChange(target, True, why, follow).execute(options)


def undrain(
    target: str,
    *,
    why: Why,
    follow: FollowOptions = DEFAULT_FOLLOW_OPTIONS,
    options: CommonOptions = DEFAULT_OPTIONS,
) -> None:
    """Send requests to a drained target again.

    Parameters
    ----------
    target
        Name of the target, or SERVICE/TARGET.
    """
    _DrainChange(target, False, why, follow).execute(options)


def find_target(config: FleetConfig, name: str) -> TargetLocation:
    """Return the location of a target given as TARGET or SERVICE/TARGET.

    Raises SettingsError when there is no such target.
    """
    service_name, _, target_name = name.rpartition("/")
    for service in config.services:
        if service_name and service.name != service_name:
            continue
        for index, target in enumerate(service.targets):
            if target.name == target_name:
                return TargetLocation(service, index)
    raise SettingsError(
        errorcodes.UNKNOWN_NAME,
        f"There is no target {name!r}.",
        "choose one that `toucanctl status` lists, as TARGET or SERVICE/TARGET",
    )


@dataclass(frozen=True)
class _DrainChange:
    target: str
    drained: bool
    why: str
    follow: FollowOptions

    def execute(self, options: CommonOptions) -> None:
        with Session(options) as session:
            base = session.require_head()
            config = session.config_store.read_config(base.head)
            location = find_target(config, self.target)
            changed = with_drained(config, location, self.drained)
            _warn_below_floor(session, changed, location.service.name)
            submit_change(session, changed, base, self.why, self.follow)


def with_drained(config: FleetConfig, location: TargetLocation, drained: bool) -> FleetConfig:
    """Return a copy of the configuration with the `drained` flag of one target set."""
    targets = list(location.service.targets)
    targets[location.index] = targets[location.index].model_copy(update={"drained": drained})
    service = location.service.model_copy(update={"targets": targets})
    services = [service if item.name == service.name else item for item in config.services]
    return config.model_copy(update={"services": services})


def _warn_below_floor(session: Session, config: FleetConfig, service: str) -> None:
    policy = merge_policy(config, 0).services[service]
    undrained = sum(not target.drained for target in policy.targets)
    if undrained < policy.min_healthy_targets():
        session.output.warn(
            f"{service} has {undrained} target(s) that aren't drained, below its floor of"
            f" {policy.min_healthy_targets()}: none of them will be ejected"
        )
