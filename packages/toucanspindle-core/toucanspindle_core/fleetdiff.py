"""Compares two configurations: the values that differ, and the services that they touch.

Lists whose items have names are compared by name, so that moving an item is no difference.  The
order of exceptions matters, as a later one overrides an earlier one, and is compared too.
"""

from dataclasses import dataclass
from datetime import datetime
from typing import Any, Final

from toucanspindle_core.fleetconfig import FleetConfig
from toucanspindle_core.policy import merge_policy

NAMED_LISTS: Final = ("failure_domains", "exceptions", "account_classes", "services")
LISTED: Final = "listed"  # Value of a name in a list of names.
COUNTED_LISTS: Final = frozenset({"targets", "routes", "accounts"})


@dataclass(frozen=True)
class Change:
    """A value that differs; `before` or `after` is None when it is absent there."""

    path: str
    before: Any
    after: Any

    def __str__(self) -> str:
        """Return the line that is shown to operators."""
        if self.before is None:
            return f"+ {self.path}{_with(' = ', self.after)}"
        if self.after is None:
            return f"- {self.path}{_with(', was ', self.before)}"
        return f"~ {self.path}: {_shown(self.before)} -> {_shown(self.after)}"


@dataclass(frozen=True)
class FleetDiff:
    """The changes from one configuration to another, and the services that they touch."""

    changes: tuple[Change, ...]
    services: tuple[str, ...]


def compare_configs(
    before: FleetConfig | None, after: FleetConfig, now: datetime | None = None
) -> FleetDiff:
    """Compare two configurations; None stands for no configuration."""
    old = _named_values(before) if before else {key: {} for key in NAMED_LISTS}
    changes = list(_compare("", old, _named_values(after)))
    if before is not None:
        changes.extend(_compare_order(before, after))
    return FleetDiff(tuple(changes), tuple(_touched(before, after, now)))


def _compare(path: str, before: dict[str, Any], after: dict[str, Any]) -> list[Change]:
    changes: list[Change] = []
    for key in [*before, *(key for key in after if key not in before)]:
        place = f"{path}.{key}" if path else key
        old, new = before.get(key), after.get(key)
        if isinstance(old, dict) and isinstance(new, dict):
            changes.extend(_compare(place, old, new))
        elif old != new:
            changes.append(Change(place, old, new))
    return changes


def _compare_order(before: FleetConfig, after: FleetConfig) -> list[Change]:
    old = [item.id for item in before.exceptions]
    new = [item.id for item in after.exceptions]
    stayed_old = [name for name in old if name in new]
    stayed_new = [name for name in new if name in old]
    if stayed_old == stayed_new:
        return []
    return [Change("exceptions (order)", stayed_old, stayed_new)]


def _touched(before: FleetConfig | None, after: FleetConfig, now: datetime | None) -> list[str]:
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


def _with(separator: str, value: Any) -> str:
    return "" if value is LISTED else f"{separator}{_shown(value)}"


def _shown(value: Any) -> str:
    if not isinstance(value, dict):
        return repr(value)
    parts = []
    for key, item in value.items():
        counted = isinstance(item, dict) and key in COUNTED_LISTS
        parts.append(f"{len(item)} {key}" if counted else f"{key} {_shown(item)}")
    return "{" + ", ".join(parts) + "}"
