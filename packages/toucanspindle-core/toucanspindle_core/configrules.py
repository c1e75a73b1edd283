"""Validation rules between the values of a fleet configuration.

The models of `fleetconfig.py` validate each value alone.  The rules here check names against each
other (duplicates, unknown references) and the merged settings of each service, because values that
are valid alone may conflict.  The merged settings are checked as of now and after each expiry of an
exception.  The rules return every fault instead of raising the first, so all faults of a file are
reported together.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Any, Final

from toucanspindle_core import errorcodes
from toucanspindle_core.errors import SettingsError
from toucanspindle_core.fleetconfig import MAX_CONNECTIONS_PER_TARGET, FleetConfig
from toucanspindle_core.policy import (
    DEFAULT_ACCOUNT_CLASS,
    ServicePolicy,
    expiries_after,
    merge_policy,
)

MAX_ACCOUNT_CLASSES: Final = 32  # Each class is a label value of the latency histograms.

Path = tuple[str | int, ...]


@dataclass(frozen=True)
class Fault:
    """One invalid value: its path, the value, what is allowed, and the remedy.

    `first` is the path of the first use if the fault is a repeated value, else empty.
    """

    path: Path
    value: Any
    allowed: str
    remedy: str
    first: Path = ()

    def __str__(self) -> str:
        """Return the line that an error message shows for this fault."""
        allowed = (
            f"{self.allowed}, first at {format_path(self.first)}" if self.first else self.allowed
        )
        return f"{format_path(self.path)} = {self.value!r}: {allowed}; {self.remedy}"


@dataclass(frozen=True)
class ExcludedValues:
    """What was removed from a configuration before the rules run, as it is invalid by itself.

    `services` and `failure_domains` are names that may be referenced although they are missing.
    The merged settings of the services in `unreliable_services`, or of all services if
    `all_unreliable` is set, depend on removed values and aren't checked.
    """

    services: frozenset[str] = frozenset()
    failure_domains: frozenset[str] = frozenset()
    unreliable_services: frozenset[str] = frozenset()
    all_unreliable: bool = False


NOTHING_EXCLUDED: Final = ExcludedValues()


def format_path(path: Path) -> str:
    """Return a path in dotted form, or "(top)" for the empty path."""
    return ".".join(str(step) for step in path) or "(top)"


def check_config(config: FleetConfig, origin: str, now: datetime | None = None) -> None:
    """Raise one SettingsError that lists every violated rule; `origin` names the file.

    Exceptions are merged as of `now`, by default the current time.
    """
    raise_faults(find_faults(config, now), origin)


def raise_faults(faults: list[Fault], origin: str) -> None:
    """Raise one SettingsError that lists the faults; do nothing if there are none."""
    if not faults:
        return
    lines = "".join(f"\n  {fault}" for fault in faults)
    text = f"{origin} has {len(faults)} wrong value(s):{lines}\n"
    raise SettingsError(errorcodes.CONFIG_INVALID, text, "correct each value named above")


def find_faults(
    config: FleetConfig, now: datetime | None = None, excluded: ExcludedValues = NOTHING_EXCLUDED
) -> list[Fault]:
    """Return a fault for every violated rule, with exceptions merged as of `now` and later."""
    faults = list(_name_faults(config, excluded))
    faults.extend(_account_faults(config))
    faults.extend(_exception_faults(config, excluded))
    faults.extend(_merged_faults(config, now or datetime.now(UTC), excluded))
    return faults


def _name_faults(config: FleetConfig, excluded: ExcludedValues) -> Iterator[Fault]:
    domains = _UniqueValues("a failure domain is declared once", "remove one of them")
    for index, domain in enumerate(config.failure_domains):
        yield from domains.add(domain, ("failure_domains", index))
    services = _UniqueValues("the name of a service is used once", "rename one of them")
    targets = _UniqueValues("the name of a target is used once in the fleet", "rename one of them")
    addresses = _UniqueValues("an address belongs to one target", "correct one of them")
    routes = _UniqueValues("a method and path prefix belong to one route", "remove one of them")
    for index, service in enumerate(config.services):
        path: Path = ("services", index)
        yield from services.add(service.name, (*path, "name"))
        for position, target in enumerate(service.targets):
            target_path = (*path, "targets", position)
            yield from targets.add(target.name, (*target_path, "name"))
            yield from addresses.add(target.address, (*target_path, "address"))
            yield from _domain_faults(config, excluded, target_path, target.failure_domain)
        for position, route in enumerate(service.routes):
            key = f"{route.method} {route.path_prefix}"
            yield from routes.add(key, (*path, "routes", position))


def _domain_faults(
    config: FleetConfig, excluded: ExcludedValues, target_path: Path, domain: str
) -> Iterator[Fault]:
    if domain in config.failure_domains or domain in excluded.failure_domains:
        return
    declared = f"one of {', '.join(config.failure_domains)}"
    remedy = "correct it or declare it in failure_domains"
    yield Fault((*target_path, "failure_domain"), domain, declared, remedy)


def _account_faults(config: FleetConfig) -> Iterator[Fault]:
    names = _UniqueValues("the name of an account class is used once", "rename one of them")
    accounts = _UniqueValues("an account is listed once, in one class", "remove it from one class")
    for index, group in enumerate(config.account_classes):
        path: Path = ("account_classes", index)
        yield from names.add(group.name, (*path, "name"))
        if group.name == DEFAULT_ACCOUNT_CLASS.name:
            allowed = "this name is reserved for accounts that aren't listed"
            yield Fault((*path, "name"), group.name, allowed, "choose another name")
        for position, account in enumerate(group.accounts):
            yield from accounts.add(account, (*path, "accounts", position))
    count = len(config.account_classes)
    if count > MAX_ACCOUNT_CLASSES:
        allowed = f"at most {MAX_ACCOUNT_CLASSES} classes"
        yield Fault(("account_classes",), count, allowed, "merge classes of the same weight")


def _exception_faults(config: FleetConfig, excluded: ExcludedValues) -> Iterator[Fault]:
    ids = _UniqueValues("the id of an exception is used once", "rename one of them")
    declared = {service.name for service in config.services}
    for index, exception in enumerate(config.exceptions):
        path: Path = ("exceptions", index)
        yield from ids.add(exception.id, (*path, "id"))
        if exception.service not in declared | excluded.services:
            names = ", ".join(sorted(declared)) or "none is declared"
            allowed = f"a declared service ({names})"
            yield Fault((*path, "service"), exception.service, allowed, "correct the name")
        if not exception.settings.model_dump(exclude_none=True):
            remedy = "add a setting or remove the exception"
            yield Fault((*path, "settings"), {}, "at least one setting", remedy)


def _merged_faults(config: FleetConfig, now: datetime, excluded: ExcludedValues) -> Iterator[Fault]:
    if excluded.all_unreliable:
        return
    seen: set[Fault] = set()
    for time in [now, *expiries_after(config, now)]:
        for service in merge_policy(config, 0, time).services.values():
            if service.name in excluded.unreliable_services:
                continue
            faults = [fault for fault in _service_faults(service) if fault not in seen]
            seen.update(faults)
            yield from faults


def _service_faults(service: ServicePolicy) -> Iterator[Fault]:
    settings = service.settings
    min_healthy = service.min_healthy_targets()
    target_count = len(service.targets)
    if min_healthy == target_count and settings.capacity_floor_percent < 100:
        yield _merged_fault(
            service,
            "capacity_floor_percent",
            f"with {target_count} target(s) this floor allows no ejection",
            "lower it, add targets, or set 100 to disable ejections on purpose",
        )
    if settings.hedge_after_ms >= settings.deadline_ms:
        yield _merged_fault(
            service,
            "hedge_after_ms",
            f"below deadline_ms = {settings.deadline_ms}",
            "lower it or raise deadline_ms",
        )
    if settings.hedge_after_ms > 0 and settings.max_attempts == 1:
        yield _merged_fault(
            service,
            "hedge_after_ms",
            "0 if max_attempts = 1, as a hedge is a second attempt",
            "set it to 0 or raise max_attempts",
        )
    connections = settings.fan_in * settings.connections_per_target
    if connections > MAX_CONNECTIONS_PER_TARGET:
        yield _merged_fault(
            service,
            "connections_per_target",
            f"at most {MAX_CONNECTIONS_PER_TARGET} over fan_in = {settings.fan_in} nodes, not"
            f" {connections}",
            "lower it or fan_in",
        )
    if connections < settings.slots_per_target:
        yield _merged_fault(
            service,
            "connections_per_target",
            f"at least slots_per_target = {settings.slots_per_target} over fan_in ="
            f" {settings.fan_in} nodes, not {connections}",
            "raise it or fan_in",
        )


def _merged_fault(service: ServicePolicy, setting: str, allowed: str, remedy: str) -> Fault:
    source = service.exception_by_setting.get(setting)
    origin = f"exception {source}" if source else "the defaults"
    path = ("merged settings", service.name, setting)
    return Fault(path, getattr(service.settings, setting), f"{allowed} (from {origin})", remedy)


class _UniqueValues:
    """Checks that each value is used at most once; remembers the path of the first use."""

    def __init__(self, allowed: str, remedy: str) -> None:
        self._allowed = allowed
        self._remedy = remedy
        self._first_path: dict[str, Path] = {}

    def add(self, value: str, path: Path) -> Iterable[Fault]:
        """Record a use at `path`; return a fault if the value was used at another path before."""
        first = self._first_path.setdefault(value, path)
        if first != path:
            yield Fault(path, value, self._allowed, self._remedy, first)
