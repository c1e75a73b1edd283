"""Commands that take a target out of use and back: `toucanctl drain` and `undrain`."""

from dataclasses import dataclass

from toucanspindle_core import errorcodes
from toucanspindle_core.errors import SettingsError
from toucanspindle_core.fleetconfig import FleetConfig, ServiceModel
from toucanspindle_core.policy import merge_policy

from toucanctl.changes import NO_FOLLOW, FollowOptions, Why, make_change
from toucanctl.ctlsettings import NO_OPTIONS, CommonOptions
from toucanctl.session import Session


@dataclass(frozen=True)
class FoundTarget:
    """Where a target is in a configuration."""

    service: ServiceModel
    index: int


def drain(
    target: str,
    *,
    why: Why,
    follow: FollowOptions = NO_FOLLOW,
    options: CommonOptions = NO_OPTIONS,
) -> None:
    """Give a target no new work; requests in flight end as usual.

    Parameters
    ----------
    target
        Name of the target, or SERVICE/TARGET.
    """
    _DrainChange(target, True, why, follow).make(options)


def undrain(
    target: str,
    *,
    why: Why,
    follow: FollowOptions = NO_FOLLOW,
    options: CommonOptions = NO_OPTIONS,
) -> None:
    """Give a drained target work again.

    Parameters
    ----------
    target
        Name of the target, or SERVICE/TARGET.
    """
    _DrainChange(target, False, why, follow).make(options)


def find_target(config: FleetConfig, name: str) -> FoundTarget:
    """Return a target by its name or SERVICE/TARGET; raise SettingsError."""
    service_name, _, target_name = name.rpartition("/")
    for service in config.services:
        if service_name and service.name != service_name:
            continue
        for index, target in enumerate(service.targets):
            if target.name == target_name:
                return FoundTarget(service, index)
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

    def make(self, options: CommonOptions) -> None:
        with Session(options) as session:
            base = session.require_head()
            config = session.store.read_config(base.head)
            found = find_target(config, self.target)
            changed = with_drained(config, found, self.drained)
            _warn_below_floor(session, changed, found.service.name)
            make_change(session, changed, base, self.why, self.follow)


def with_drained(config: FleetConfig, found: FoundTarget, drained: bool) -> FleetConfig:
    """Return the configuration with one target drained or not."""
    targets = list(found.service.targets)
    targets[found.index] = targets[found.index].model_copy(update={"drained": drained})
    service = found.service.model_copy(update={"targets": targets})
    services = [service if item.name == service.name else item for item in config.services]
    return config.model_copy(update={"services": services})


def _warn_below_floor(session: Session, config: FleetConfig, service: str) -> None:
    policy = merge_policy(config, 0).services[service]
    in_use = sum(not target.drained for target in policy.targets)
    if in_use < policy.floor_count():
        session.output.warn(
            f"{service} has {in_use} target(s) that aren't drained, below its floor of"
            f" {policy.floor_count()}: none of them will be ejected"
        )
