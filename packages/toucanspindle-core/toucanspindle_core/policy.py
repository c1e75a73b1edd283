"""Merges defaults and exceptions into the policy that the request path uses.

The settings of a service are the defaults, overridden field by field by the service's exceptions
in the order in which they are listed.  Expired exceptions are ignored.  The result is a set of
frozen data classes, with services indexed by name and account classes by account.
"""

from dataclasses import dataclass, field
from datetime import UTC, datetime

from toucanspindle_core.balancedassignment import ServiceDemand, scaled_fan_in
from toucanspindle_core.fleetconfig import (
    MAX_CONNECTIONS_PER_TARGET,
    FleetConfig,
    ServiceModel,
    ServiceSettings,
)
from toucanspindle_core.hostport import HostPort


@dataclass(frozen=True)
class Target:
    """A target (back end) of a service, with its parsed address."""

    name: str
    address: HostPort
    failure_domain: str
    drained: bool


@dataclass(frozen=True)
class Route:
    """A route: requests of `method` and `path_prefix` go to `service` as `operation`."""

    service: str
    operation: str
    method: str
    path_prefix: str
    idempotent: bool


@dataclass(frozen=True)
class ServicePolicy:
    """A service with its merged settings.

    `exception_by_setting` maps each setting that an exception changed to the exception's id.
    """

    name: str
    targets: tuple[Target, ...]
    routes: tuple[Route, ...]
    settings: ServiceSettings
    exception_by_setting: dict[str, str]

    def demand(self) -> ServiceDemand:
        """Return the total slots of the service and the number of nodes it is assigned to."""
        slots = len(self.targets) * self.settings.slots_per_target
        max_nodes = MAX_CONNECTIONS_PER_TARGET // self.settings.connections_per_target
        nodes = scaled_fan_in(slots, self.settings.fan_in, max_nodes)
        return ServiceDemand(self.name, slots, nodes)

    def min_healthy_targets(self) -> int:
        """Return the minimum number of targets that ejections must leave healthy, rounded up."""
        percent = self.settings.capacity_floor_percent
        return -(-len(self.targets) * percent // 100)


@dataclass(frozen=True)
class AccountClass:
    """A class of accounts and its weight when capacity is scarce."""

    name: str
    weight: int


DEFAULT_ACCOUNT_CLASS = AccountClass("default", 1)


@dataclass(frozen=True)
class FleetPolicy:
    """The merged configuration of one generation.

    It is valid until `valid_until` (UTC), when the next exception expires; from then on `at` merges
    `config` again.  None means that no exception expires.
    """

    generation: int
    fleet: str
    services: dict[str, ServicePolicy]
    account_class_by_account: dict[str, AccountClass]
    valid_until: datetime | None = None
    config: FleetConfig | None = field(default=None, repr=False, compare=False)

    def is_current(self, now: datetime) -> bool:
        """Return whether no exception expired between the merge and `now`."""
        return self.valid_until is None or now < self.valid_until

    def at(self, now: datetime) -> "FleetPolicy":
        """Return the policy as of `now`: this one, or a new merge if an exception has expired."""
        if self.config is None or self.is_current(now):
            return self
        return merge_policy(self.config, self.generation, now)

    def demands(self) -> list[ServiceDemand]:
        """Return the demand of each service: its slots and its number of nodes."""
        return [service.demand() for service in self.services.values()]

    def account_class(self, account: str) -> AccountClass:
        """Return the class of an account; unlisted accounts are in DEFAULT_ACCOUNT_CLASS."""
        return self.account_class_by_account.get(account, DEFAULT_ACCOUNT_CLASS)


def merge_policy(config: FleetConfig, generation: int, now: datetime | None = None) -> FleetPolicy:
    """Return the merged policy of a configuration as of `now`, by default the current time.

    Exceptions that expire at or before `now` don't apply.
    """
    time = now or datetime.now(UTC)
    services = {service.name: _merge_service(config, service, time) for service in config.services}
    classes = {
        account: AccountClass(group.name, group.weight)
        for group in config.account_classes
        for account in group.accounts
    }
    valid_until = min(expiries_after(config, time), default=None)
    return FleetPolicy(generation, config.fleet, services, classes, valid_until, config)


def expiries_after(config: FleetConfig, now: datetime) -> list[datetime]:
    """Return the distinct times (UTC) after `now` at which exceptions expire, earliest first."""
    expiries = {assume_utc(item.expires) for item in config.exceptions if item.expires is not None}
    return sorted(expiry for expiry in expiries if expiry > now)


def assume_utc(time: datetime) -> datetime:
    """Return a time-zone-aware datetime; one without a time zone is taken as UTC."""
    return time if time.tzinfo else time.replace(tzinfo=UTC)


def _merge_service(config: FleetConfig, service: ServiceModel, now: datetime) -> ServicePolicy:
    values = config.defaults.model_dump()
    exception_by_setting: dict[str, str] = {}
    for exception in config.exceptions:
        if exception.service != service.name or _is_expired(exception.expires, now):
            continue
        changed = exception.settings.model_dump(exclude_none=True)
        values.update(changed)
        exception_by_setting.update(dict.fromkeys(changed, exception.id))
    targets = tuple(
        Target(t.name, HostPort.parse(t.address), t.failure_domain, t.drained)
        for t in service.targets
    )
    routes = tuple(
        Route(service.name, r.operation, r.method, r.path_prefix, r.idempotent)
        for r in service.routes
    )
    settings = ServiceSettings.model_validate(values)
    return ServicePolicy(service.name, targets, routes, settings, exception_by_setting)


def _is_expired(expires: datetime | None, now: datetime) -> bool:
    return expires is not None and assume_utc(expires) <= now
