"""Reads the fleet configuration from an operator's TOML file, and writes it.

A file holds the fields of FleetConfig and, optionally, `based_on_generation`: the generation
that it was made from.  All faults of a file are reported together.  If single values are invalid,
the code removes the innermost list item or else the key that holds each of them, and checks the
rules between values on the rest.  The reported paths are those of the original file.
"""

import tomllib
from copy import deepcopy
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any, Final

import tomli_w
from pydantic import ValidationError

from toucanspindle_core import configrules, errorcodes
from toucanspindle_core.configrules import ExcludedValues, Fault, find_faults, raise_faults
from toucanspindle_core.errors import SettingsError
from toucanspindle_core.fleetconfig import FleetConfig
from toucanspindle_core.processsettings import read_toml

BASE_KEY: Final = "based_on_generation"
PLACEHOLDER: Final = "placeholder"
MAX_PRUNE_ROUNDS: Final = 4
# Allowed value and remedy for the pydantic errors whose own message is too vague.
MODEL_FAULT_TEXTS: Final = {
    "extra_forbidden": ("unknown key", "remove it or correct its name"),
    "missing": ("missing", "add it"),
}


@dataclass(frozen=True)
class FleetFile:
    """The contents of a file; `based_on_generation` is None if the file doesn't give it."""

    config: FleetConfig
    based_on_generation: int | None


def load_fleet_file(path: Path) -> FleetFile:
    """Read and check a file; raise one SettingsError that lists every fault."""
    return parse_fleet(read_toml(path), str(path))


def parse_fleet(values: dict[str, Any], origin: str) -> FleetFile:
    """Check the decoded TOML of a file; raise one SettingsError that lists every fault.

    `origin` names the file in the error.
    """
    values = dict(values)
    base = values.pop(BASE_KEY, None)
    faults = _base_faults(base)
    try:
        config = FleetConfig.model_validate(values)
    except ValidationError as error:
        faults.extend(_model_fault(item) for item in error.errors())
        faults.extend(_rule_faults_of_valid_values(values, error))
        _raise_with_names(faults, values, origin)
        raise
    faults.extend(find_faults(config))
    _raise_with_names(faults, values, origin)
    return FleetFile(config, base)


def dump_fleet(config: FleetConfig, based_on_generation: int | None = None) -> str:
    """Return a configuration as TOML text, with `based_on_generation` first unless it is None."""
    values = config.model_dump(mode="json", exclude_none=True)
    if based_on_generation is not None:
        values = {BASE_KEY: based_on_generation, **values}
    return tomli_w.dumps(values)


def write_base_generation(path: Path, generation: int) -> None:
    """Set `based_on_generation` in a file and keep its other lines.

    Raises SettingsError if the file can't be read, changed or written.
    """
    try:
        text = _set_base_line(path.read_text(encoding="utf-8"), generation)
        path.write_text(text, encoding="utf-8")
    except (OSError, ValueError) as error:
        raise SettingsError(
            errorcodes.OPTION_INVALID,
            f"{path}: {BASE_KEY} can't be written: {error}.",
            f"set {BASE_KEY} = {generation} at the top of the file",
        ) from error


def _set_base_line(text: str, generation: int) -> str:
    line = f"{BASE_KEY} = {generation}\n"
    lines = text.splitlines(keepends=True)
    indexes = [i for i, old in enumerate(lines) if old.split("=")[0].strip() == BASE_KEY]
    if indexes:
        lines[indexes[0]] = line
    else:
        lines.insert(0, line)
    changed = "".join(lines)
    if tomllib.loads(changed).get(BASE_KEY) != generation:
        raise ValueError("the line isn't a top-level key")
    return changed


def _raise_with_names(faults: list[Fault], values: dict[str, Any], origin: str) -> None:
    raise_faults([_name_list_items(fault, values) for fault in faults], origin)


def _base_faults(base: Any) -> list[Fault]:
    if base is None or (isinstance(base, int) and not isinstance(base, bool) and base >= 0):
        return []
    return [Fault((BASE_KEY,), base, "a generation, 0 or more", "correct or remove it")]


def _model_fault(error: Any) -> Fault:
    """Return the fault for one pydantic error."""
    default = (error["msg"], "change it to what is allowed")
    allowed, remedy = MODEL_FAULT_TEXTS.get(error["type"], default)
    value = None if error["type"] == "missing" else error["input"]
    return Fault(tuple(error["loc"]), _summarize(value), allowed, remedy)


def _summarize(value: Any) -> Any:
    """Return a scalar unchanged, and a short description of a table or list."""
    if isinstance(value, dict):
        return f"table of {len(value)} key(s)"
    if isinstance(value, list):
        return f"list of {len(value)}"
    return value


def _rule_faults_of_valid_values(values: dict[str, Any], error: ValidationError) -> list[Fault]:
    """Return the violated rules among the values that are valid by themselves.

    Removing a value can make another one invalid, so this repeats up to MAX_PRUNE_ROUNDS times,
    and returns no faults if the rest is still invalid then.
    """
    pruned = _PrunedValues(deepcopy(values))
    for _ in range(MAX_PRUNE_ROUNDS):
        pruned.remove_invalid(error)
        try:
            config = FleetConfig.model_validate(pruned.values)
        except ValidationError as next_error:
            error = next_error
            continue
        faults = find_faults(config, excluded=pruned.excluded_values(values))
        return [pruned.with_original_paths(fault) for fault in faults]
    return []


@dataclass
class _PrunedValues:
    """The values of a file without those that are invalid by themselves.

    Invariant: `original_indexes` maps the original path of each shortened list to the original
    indexes of its remaining items; `removed_paths` holds the original paths of removed values.
    """

    values: dict[str, Any]
    original_indexes: dict[configrules.Path, list[int]] = field(default_factory=dict)
    removed_paths: set[configrules.Path] = field(default_factory=set)

    def remove_invalid(self, error: ValidationError) -> None:
        """Remove the innermost list item, or else the key, that holds each invalid value.

        Required top-level values that are then missing get a placeholder.
        """
        paths = {_removable_path(tuple(item["loc"])) for item in error.errors()}
        for path in sorted(paths, key=_removal_order):
            self._remove(path)
        self.values.setdefault("fleet", PLACEHOLDER)
        if not self.values.get("failure_domains"):
            self.values["failure_domains"] = [PLACEHOLDER]

    def excluded_values(self, values: dict[str, Any]) -> ExcludedValues:
        """Return the names in the file's `values` that may be missing here.

        The result also tells which services' merged settings depend on removed values.
        """
        removed_keys = {path[0] for path in self.removed_paths}
        names = _service_names_by_index(values.get("services"))
        changed_services = {
            path[1] for path in self.removed_paths if path[0] == "services" and len(path) > 1
        }
        return ExcludedValues(
            services=frozenset(names.values()),
            failure_domains=(
                _used_failure_domains(values) if "failure_domains" in removed_keys else frozenset()
            ),
            unreliable_services=frozenset(
                names[index] for index in changed_services if index in names
            ),
            all_unreliable=bool(removed_keys & {"defaults", "exceptions"}),
        )

    def with_original_paths(self, fault: Fault) -> Fault:
        """Return a fault with its paths converted to paths in the original file."""
        return replace(
            fault,
            path=self._to_original_path(fault.path),
            first=self._to_original_path(fault.first),
        )

    def _to_original_path(self, path: configrules.Path) -> configrules.Path:
        original_path: configrules.Path = ()
        for step in path:
            original_path = self._append_original_step(original_path, step)
        return original_path

    def _append_original_step(
        self, original_path: configrules.Path, step: str | int
    ) -> configrules.Path:
        """Append a step of a path in these values to a path in the original file."""
        indexes = self.original_indexes.get(original_path)
        if indexes is not None and isinstance(step, int):
            return (*original_path, indexes[step])
        return (*original_path, step)

    def _remove(self, path: configrules.Path) -> None:
        holder: Any = self.values
        original_path: configrules.Path = ()
        for step in path[:-1]:
            holder = holder[step]
            original_path = self._append_original_step(original_path, step)
        last = path[-1]
        self.removed_paths.add(self._append_original_step(original_path, last))
        if isinstance(holder, list) and isinstance(last, int):
            indexes = self.original_indexes.setdefault(original_path, list(range(len(holder))))
            del indexes[last]
            del holder[last]
        else:
            holder.pop(last, None)


def _name_list_items(fault: Fault, values: dict[str, Any]) -> Fault:
    """Return a fault whose paths give the name of each list item besides its index."""
    return replace(
        fault, path=_named_path(fault.path, values), first=_named_path(fault.first, values)
    )


def _named_path(path: configrules.Path, values: Any) -> configrules.Path:
    named: configrules.Path = ()
    for step in path:
        try:
            values = values[step]
        except (KeyError, IndexError, TypeError):
            values = None
        label = _label(values) if isinstance(step, int) else None
        named = (*named, f"{step}({label})" if label else step)
    return named


def _label(item: Any) -> str | None:
    if not isinstance(item, dict):
        return None
    label = item.get("name") or item.get("id")
    return label if isinstance(label, str) else None


def _removable_path(path: configrules.Path) -> configrules.Path:
    """Return the path of the innermost list item on a path, or the path itself if none."""
    for length in range(len(path), 0, -1):
        if isinstance(path[length - 1], int):
            return path[:length]
    return path


def _removal_order(path: configrules.Path) -> tuple[int, list[int]]:
    """Return a sort key: inner paths before outer ones, later list items before earlier ones."""
    return -len(path), [-step for step in path if isinstance(step, int)]


def _service_names_by_index(services: Any) -> dict[int, str]:
    items = services if isinstance(services, list) else []
    return {
        index: item["name"]
        for index, item in enumerate(items)
        if isinstance(item, dict) and isinstance(item.get("name"), str)
    }


def _used_failure_domains(values: dict[str, Any]) -> frozenset[str]:
    services = values.get("services")
    return frozenset(
        target["failure_domain"]
        for service in (services if isinstance(services, list) else [])
        if isinstance(service, dict) and isinstance(service.get("targets"), list)
        for target in service["targets"]
        if isinstance(target, dict) and isinstance(target.get("failure_domain"), str)
    )
