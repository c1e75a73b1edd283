"""Compares two configurations: the values that differ, and the services that they affect.

Lists of named items are compared by name, so moving an item is no difference.  The order of
exceptions is compared too, as a later exception overrides an earlier one.
"""

from dataclasses import dataclass
from datetime import datetime
from typing import Any, Final

from toucanspindle_core.fleetconfig import FleetConfig
from toucanspindle_core.policy import merge_policy

NAMED_LISTS: Final = ("failure_domains", "exceptions", "account_classes", "services")
LISTED: Final = "listed"  # Marker value of each name when a list of names becomes a dict.
COUNTED_LISTS: Final = frozenset({"targets", "routes", "accounts"})  # Printed as their length.


@dataclass(frozen=True)
class Change:
    """A value that differs; `before` or `after` is None if it is absent on that side."""

    path: str
    before: Any
    after: Any

    def __str__(self) -> str:
        """Return the line that `toucanctl` prints: "+" for added, "-" removed, "~" changed."""
        if self.before is None:
            return f"+ {self.path}{_format_suffix(' = ', self.after)}"
        if self.after is None:
            return f"- {self.path}{_format_suffix(', was ', self.before)}"
        return f"~ {self.path}: {_format_value(self.before)} -> {_format_value(self.after)}"


@dataclass(frozen=True)
class FleetDiff:
    """The changes from one configuration to another, and the services that they affect."""

    changes: tuple[Change, ...]
    services: tuple[str, ...]


def compare_configs(
    before: FleetConfig | None, after: FleetConfig, now: datetime | None = None
) -> FleetDiff:
    """Return the changes from `before` to `after`; None stands for no configuration.

    Exceptions are merged as of `now`, by default the current time.
    """
    old = _named_values(before) if before else {key: {} for key in NAMED_LISTS}
    changes = list(_compare("", old, _named_values(after)))
    if before is not None:
        changes.extend(_compare_order(before, after))
    return FleetDiff(tuple(changes), tuple(_affected_services(before, after, now)))


def _compare(path: str, before: dict[str, Any], after: dict[str, Any]) -> list[Change]:
    changes: list[Change] = []
    for key in [*before, *(key for key in after if key not in before)]:
        child_path = f"{path}.{key}" if path else key
        old, new = before.get(key), after.get(key)
        if isinstance(old, dict) and isinstance(new, dict):
            changes.extend(_compare(child_path, old, new))
        elif old != new:
            changes.append(Change(child_path, old, new))
    return changes


def _compare_order(before: FleetConfig, after: FleetConfig) -> list[Change]:
    old = [item.id for item in before.exceptions]
    new = [item.id for item in after.exceptions]
    common_before = [name for name in old if name in new]
    common_after = [name for name in new if name in old]
    if common_before == common_after:
        return []
    return [Change("exceptions (order)", common_before, common_after)]


def _affected_services(
    before: FleetConfig | None, after: FleetConfig, now: datetime | None
) -> list[str]:
    new = merge_policy(after, 0, now)
    if before is None:
        return sorted(new.services)
    old = merge_policy(before, 0, now)
    names = sorted(old.services.keys() | new.services.keys())
    if old.account_class_by_account != new.account_class_by_account:
        return names
    return [name for name in names if old.services.get(name) != new.services.get(name)]


def _named_values(config: FleetConfig) -> dict[str, Any]:
    values = config.model_dump(mode="json", exclude_none=True)
    services = _by_key(values["services"], "name")
    for service in services.values():
        service["targets"] = _by_key(service["targets"], "name")
        service["routes"] = {
            f"{route['method']} {route['path_prefix']}": route for route in service["routes"]
        }
    classes = _by_key(values["account_classes"], "name")
    for group in classes.values():
        group["accounts"] = dict.fromkeys(group["accounts"], LISTED)
    return {
        **values,
        "failure_domains": dict.fromkeys(values["failure_domains"], LISTED),
        "exceptions": _by_key(values["exceptions"], "id"),
        "account_classes": classes,
        "services": services,
    }


def _by_key(items: list[dict[str, Any]], key: str) -> dict[str, Any]:
    return {item[key]: {k: v for k, v in item.items() if k != key} for item in items}


def _format_suffix(separator: str, value: Any) -> str:
    return "" if value is LISTED else f"{separator}{_format_value(value)}"


def _format_value(value: Any) -> str:
    if not isinstance(value, dict):
        return repr(value)
    parts = []
    for key, item in value.items():
        show_count_only = isinstance(item, dict) and key in COUNTED_LISTS
        parts.append(f"{len(item)} {key}" if show_count_only else f"{key} {_format_value(item)}")
    return "{" + ", ".join(parts) + "}"
