"""Merges defaults and exceptions into what the request path uses.

For each service the settings are the defaults, overridden field by field by the service's
exceptions in the order they are listed.  Expired exceptions are left out.  The result is plain
frozen data, indexed for look-ups by service, by target and by route.
"""

from dataclasses import dataclass, field
from datetime import UTC, datetime

from toucanspindle_core.balancedassignment import ServiceDemand, scaled_fan_in
from toucanspindle_core.fleetconfig import (
    CONNECTIONS_OF_TARGET,
    FleetConfig,
    ServiceModel,
    ServiceSettings,
)
from toucanspindle_core.hostport import HostPort


@dataclass(frozen=True)
class Target:
    """A back end of a service."""

    name: str
    address: HostPort
    failure_domain: str
    drained: bool


@dataclass(frozen=True)
class Route:
    """The routing result of one request."""

    service: str
    operation: str
    method: str
    path_prefix: str
    idempotent: bool


@dataclass(frozen=True)
class ServicePolicy:
    """A service with its merged settings.

    `exception_by_setting` names, per setting that an exception changed, that exception's id.
    """

    name: str
    targets: tuple[Target, ...]
    routes: tuple[Route, ...]
    settings: ServiceSettings
    exception_by_setting: dict[str, str]

    def demand(self) -> ServiceDemand:
        """Return the slots of the service, and the number of nodes that it is assigned to."""
        slots = len(self.targets) * self.settings.slots_per_target
        most = CONNECTIONS_OF_TARGET // self.settings.connections_per_target
        nodes = scaled_fan_in(slots, self.settings.fan_in, most)
        return ServiceDemand(self.name, slots, nodes)

    def floor_count(self) -> int:
        """Return how many healthy targets ejections must leave (rounded up)."""
        percent = self.settings.capacity_floor_percent
        return -(-len(self.targets) * percent // 100)


@dataclass(frozen=True)
class AccountClass:
    """A class of accounts and its weight."""

    name: str
    weight: int


DEFAULT_ACCOUNT_CLASS = AccountClass("default", 1)


@dataclass(frozen=True)
class FleetPolicy:
    """The merged configuration of one generation.

    It holds until `valid_until` (UTC), when the next exception expires; `at` then merges `config`
    anew.  None: no exception expires.
    """

    generation: int
    fleet: str
    services: dict[str, ServicePolicy]
    account_class_by_account: dict[str, AccountClass]
    valid_until: datetime | None = None
    config: FleetConfig | None = field(default=None, repr=False, compare=False)

    def is_current(self, now: datetime) -> bool:
        """Return whether no exception has expired since the merge."""
        return self.valid_until is None or now < self.valid_until

    def at(self, now: datetime) -> "FleetPolicy":
        """Return the policy at a moment: this one until an exception expires."""
        if self.config is None or self.is_current(now):
            return self
        return merge_policy(self.config, self.generation, now)

    def demands(self) -> list[ServiceDemand]:
        """Return what each service needs of the nodes."""
        return [service.demand() for service in self.services.values()]

    def account_class(self, account: str) -> AccountClass:
        """Return the class of an account; accounts that aren't listed share one class."""
        return self.account_class_by_account.get(account, DEFAULT_ACCOUNT_CLASS)


def merge_policy(config: FleetConfig, generation: int, now: datetime | None = None) -> FleetPolicy:
    """Merge a configuration; exceptions that expired before `now` (UTC) don't apply."""
    moment = now or datetime.now(UTC)
    services = {
        service.name: _merge_service(config, service, moment) for service in config.services
    }
    classes = {
        account: AccountClass(group.name, group.weight)
        for group in config.account_classes
        for account in group.accounts
    }
    valid_until = min(expiries_after(config, moment), default=None)
    return FleetPolicy(generation, config.fleet, services, classes, valid_until, config)


def expiries_after(config: FleetConfig, now: datetime) -> list[datetime]:
    """Return the moments (UTC) after `now` at which an exception expires, earliest first."""
    expiries = {utc(item.expires) for item in config.exceptions if item.expires is not None}
    return sorted(expiry for expiry in expiries if expiry > now)


def utc(moment: datetime) -> datetime:
    """Return a moment with its zone; one without a zone is taken as UTC."""
    return moment if moment.tzinfo else moment.replace(tzinfo=UTC)


def _merge_service(config: FleetConfig, service: ServiceModel, now: datetime) -> ServicePolicy:
    values = config.defaults.model_dump()
    sources: dict[str, str] = {}
    for exception in config.exceptions:
        if exception.service != service.name or _expired(exception.expires, now):
            continue
        changed = exception.settings.model_dump(exclude_none=True)
        values.update(changed)
        sources.update(dict.fromkeys(changed, exception.id))
    targets = tuple(
        Target(t.name, HostPort.parse(t.address), t.failure_domain, t.drained)
        for t in service.targets
    )
    routes = tuple(
        Route(service.name, r.operation, r.method, r.path_prefix, r.idempotent)
        for r in service.routes
    )
    settings = ServiceSettings.model_validate(values)
    return ServicePolicy(service.name, targets, routes, settings, sources)


def _expired(expires: datetime | None, now: datetime) -> bool:
    return expires is not None and utc(expires) <= now
