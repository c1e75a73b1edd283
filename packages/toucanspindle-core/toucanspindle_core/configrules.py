"""Rules that hold between the values of a fleet configuration.

The models of `fleetconfig.py` check each value alone.  The rules here check names against each
other (duplicates, unknown references) and the merged settings of each service, now and after
each expiry of an exception: values that are valid alone may not be so together.  Every fault is
returned, none raised, so that all faults of a file are reported in one go.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Any, Final

from toucanspindle_core import errorcodes
from toucanspindle_core.errors import SettingsError
from toucanspindle_core.fleetconfig import CONNECTIONS_OF_TARGET, FleetConfig
from toucanspindle_core.policy import (
    DEFAULT_ACCOUNT_CLASS,
    ServicePolicy,
    expiries_after,
    merge_policy,
)

MAX_ACCOUNT_CLASSES: Final = 32  # Each class is a label of the latency histograms.

Path = tuple[str | int, ...]


@dataclass(frozen=True)
class Fault:
    """One wrong value: where it is, what it is, what is allowed, and what to do.

    `first` is the path of an earlier use of the same value, for values that may be used once.
    """

    path: Path
    value: Any
    allowed: str
    remedy: str
    first: Path = ()

    def __str__(self) -> str:
        """Return the line that is shown to operators."""
        allowed = (
            f"{self.allowed}, first at {path_text(self.first)}" if self.first else self.allowed
        )
        return f"{path_text(self.path)} = {self.value!r}: {allowed}; {self.remedy}"


@dataclass(frozen=True)
class LeftOut:
    """What was left out of a configuration because it is wrong in itself.

    References to the names are no faults, and merged settings that depend on what was left out
    aren't judged.
    """

    services: frozenset[str] = frozenset()
    failure_domains: frozenset[str] = frozenset()
    merged_of: frozenset[str] = frozenset()
    all_merged: bool = False


NOTHING_LEFT_OUT: Final = LeftOut()


def path_text(path: Path) -> str:
    """Return a path as it is shown to operators."""
    return ".".join(str(step) for step in path) or "(top)"


def check_config(config: FleetConfig, origin: str, now: datetime | None = None) -> None:
    """Raise one SettingsError that lists every broken rule; `origin` names the file."""
    raise_faults(find_faults(config, now), origin)


def raise_faults(faults: list[Fault], origin: str) -> None:
    """Raise one SettingsError that lists the faults, if there are any."""
    if not faults:
        return
    lines = "".join(f"\n  {fault}" for fault in faults)
    text = f"{origin} has {len(faults)} wrong value(s):{lines}\n"
    raise SettingsError(errorcodes.CONFIG_INVALID, text, "correct each value named above")


def find_faults(
    config: FleetConfig, now: datetime | None = None, left_out: LeftOut = NOTHING_LEFT_OUT
) -> list[Fault]:
    """Return every broken rule of a configuration."""
    faults = list(_name_faults(config, left_out))
    faults.extend(_account_faults(config))
    faults.extend(_exception_faults(config, left_out))
    faults.extend(_merged_faults(config, now or datetime.now(UTC), left_out))
    return faults


def _name_faults(config: FleetConfig, left_out: LeftOut) -> Iterator[Fault]:
    domains = _Unique("a failure domain is declared once", "remove one of them")
    for index, domain in enumerate(config.failure_domains):
        yield from domains.add(domain, ("failure_domains", index))
    services = _Unique("the name of a service is used once", "rename one of them")
    targets = _Unique("the name of a target is used once in the fleet", "rename one of them")
    addresses = _Unique("an address belongs to one target", "correct one of them")
    routes = _Unique("a method and path prefix belong to one route", "remove one of them")
    for index, service in enumerate(config.services):
        path: Path = ("services", index)
        yield from services.add(service.name, (*path, "name"))
        for number, target in enumerate(service.targets):
            place = (*path, "targets", number)
            yield from targets.add(target.name, (*place, "name"))
            yield from addresses.add(target.address, (*place, "address"))
            yield from _domain_faults(config, left_out, place, target.failure_domain)
        for number, route in enumerate(service.routes):
            key = f"{route.method} {route.path_prefix}"
            yield from routes.add(key, (*path, "routes", number))


def _domain_faults(
    config: FleetConfig, left_out: LeftOut, place: Path, domain: str
) -> Iterator[Fault]:
    if domain in config.failure_domains or domain in left_out.failure_domains:
        return
    declared = f"one of {', '.join(config.failure_domains)}"
    remedy = "correct it or declare it in failure_domains"
    yield Fault((*place, "failure_domain"), domain, declared, remedy)


def _account_faults(config: FleetConfig) -> Iterator[Fault]:
    names = _Unique("the name of an account class is used once", "rename one of them")
    accounts = _Unique("an account is listed once, in one class", "remove it from one class")
    for index, group in enumerate(config.account_classes):
        path: Path = ("account_classes", index)
        yield from names.add(group.name, (*path, "name"))
        if group.name == DEFAULT_ACCOUNT_CLASS.name:
            allowed = "this name is kept for accounts that aren't listed"
            yield Fault((*path, "name"), group.name, allowed, "choose another name")
        for number, account in enumerate(group.accounts):
            yield from accounts.add(account, (*path, "accounts", number))
    count = len(config.account_classes)
    if count > MAX_ACCOUNT_CLASSES:
        allowed = f"at most {MAX_ACCOUNT_CLASSES} classes"
        yield Fault(("account_classes",), count, allowed, "join classes of the same weight")


def _exception_faults(config: FleetConfig, left_out: LeftOut) -> Iterator[Fault]:
    ids = _Unique("the id of an exception is used once", "rename one of them")
    declared = {service.name for service in config.services}
    for index, exception in enumerate(config.exceptions):
        path: Path = ("exceptions", index)
        yield from ids.add(exception.id, (*path, "id"))
        if exception.service not in declared | left_out.services:
            names = ", ".join(sorted(declared)) or "none is declared"
            allowed = f"a declared service ({names})"
            yield Fault((*path, "service"), exception.service, allowed, "correct the name")
        if not exception.settings.model_dump(exclude_none=True):
            remedy = "name a setting or remove the exception"
            yield Fault((*path, "settings"), {}, "at least one setting", remedy)


def _merged_faults(config: FleetConfig, now: datetime, left_out: LeftOut) -> Iterator[Fault]:
    if left_out.all_merged:
        return
    seen: set[Fault] = set()
    for moment in [now, *expiries_after(config, now)]:
        for service in merge_policy(config, 0, moment).services.values():
            if service.name in left_out.merged_of:
                continue
            faults = [fault for fault in _service_faults(service) if fault not in seen]
            seen.update(faults)
            yield from faults


def _service_faults(service: ServicePolicy) -> Iterator[Fault]:
    settings = service.settings
    floor = service.floor_count()
    total = len(service.targets)
    if floor == total and settings.capacity_floor_percent < 100:
        yield _merged_fault(
            service,
            "capacity_floor_percent",
            f"with {total} target(s) this floor lets none be ejected",
            "lower it, add targets, or set 100 to say that none may be ejected",
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
            "0 with max_attempts = 1, as a hedge is a second attempt",
            "set it to 0 or raise max_attempts",
        )
    connections = settings.fan_in * settings.connections_per_target
    if connections > CONNECTIONS_OF_TARGET:
        yield _merged_fault(
            service,
            "connections_per_target",
            f"at most {CONNECTIONS_OF_TARGET} over fan_in = {settings.fan_in} nodes, not"
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


class _Unique:
    """Values that may be used once, with the path of the first use."""

    def __init__(self, allowed: str, remedy: str) -> None:
        self._allowed = allowed
        self._remedy = remedy
        self._first_path: dict[str, Path] = {}

    def add(self, value: str, path: Path) -> Iterable[Fault]:
        """Note a use; return a fault when the value was used before."""
        first = self._first_path.setdefault(value, path)
        if first != path:
            yield Fault(path, value, self._allowed, self._remedy, first)
