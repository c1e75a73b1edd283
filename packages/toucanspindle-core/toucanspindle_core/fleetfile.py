"""Reads the fleet's configuration from an operator's TOML file, and writes it.

A file holds the fields of FleetConfig and, optionally, `based_on_generation`: the generation
that it was made from.  All faults of a file are reported in one go.  So when single values are
wrong, what holds them (a list item, or else a key) is left out, and the rules between values are
checked on the rest, with paths that name the places in the file.
"""

import tomllib
from copy import deepcopy
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any, Final

import tomli_w
from pydantic import ValidationError

from toucanspindle_core import configrules, errorcodes
from toucanspindle_core.configrules import Fault, LeftOut, find_faults, raise_faults
from toucanspindle_core.errors import SettingsError
from toucanspindle_core.fleetconfig import FleetConfig
from toucanspindle_core.processsettings import read_toml

BASE_KEY: Final = "based_on_generation"
PLACEHOLDER: Final = "placeholder"
MAX_PRUNE_ROUNDS: Final = 4
# What is allowed and the remedy, for kinds of model faults whose own message says too little.
MODEL_FAULT_TEXTS: Final = {
    "extra_forbidden": ("unknown key", "remove it or correct its name"),
    "missing": ("missing", "add it"),
}


@dataclass(frozen=True)
class FleetFile:
    """The contents of a file; `based_on_generation` is None when the file names none."""

    config: FleetConfig
    based_on_generation: int | None


def load_fleet_file(path: Path) -> FleetFile:
    """Read and check a file; raise one SettingsError that lists every fault."""
    return parse_fleet(read_toml(path), str(path))


def parse_fleet(values: dict[str, Any], origin: str) -> FleetFile:
    """Check the values of a file; raise one SettingsError that lists every fault."""
    values = dict(values)
    base = values.pop(BASE_KEY, None)
    faults = _base_faults(base)
    try:
        config = FleetConfig.model_validate(values)
    except ValidationError as error:
        faults.extend(_model_fault(item) for item in error.errors())
        faults.extend(_rule_faults_of_rest(values, error))
        _raise_named(faults, values, origin)
        raise
    faults.extend(find_faults(config))
    _raise_named(faults, values, origin)
    return FleetFile(config, base)


def dump_fleet(config: FleetConfig, based_on_generation: int | None = None) -> str:
    """Return a configuration as the text of a TOML file."""
    values = config.model_dump(mode="json", exclude_none=True)
    if based_on_generation is not None:
        values = {BASE_KEY: based_on_generation, **values}
    return tomli_w.dumps(values)


def set_base(path: Path, generation: int) -> None:
    """Rewrite the line of a file that names its generation; raise SettingsError."""
    try:
        text = _with_base(path.read_text(encoding="utf-8"), generation)
        path.write_text(text, encoding="utf-8")
    except (OSError, ValueError) as error:
        raise SettingsError(
            errorcodes.OPTION_INVALID,
            f"{path}: {BASE_KEY} can't be written: {error}.",
            f"set {BASE_KEY} = {generation} at the top of the file",
        ) from error


def _with_base(text: str, generation: int) -> str:
    line = f"{BASE_KEY} = {generation}\n"
    lines = text.splitlines(keepends=True)
    places = [i for i, old in enumerate(lines) if old.split("=")[0].strip() == BASE_KEY]
    if places:
        lines[places[0]] = line
    else:
        lines.insert(0, line)
    changed = "".join(lines)
    if tomllib.loads(changed).get(BASE_KEY) != generation:
        raise ValueError("the line isn't a key of its own")
    return changed


def _raise_named(faults: list[Fault], values: dict[str, Any], origin: str) -> None:
    raise_faults([_with_names(fault, values) for fault in faults], origin)


def _base_faults(base: Any) -> list[Fault]:
    if base is None or (isinstance(base, int) and not isinstance(base, bool) and base >= 0):
        return []
    return [Fault((BASE_KEY,), base, "a generation, 0 or more", "correct or remove it")]


def _model_fault(error: Any) -> Fault:
    """Return the fault for one error of a model."""
    default = (error["msg"], "change it to what is allowed")
    allowed, remedy = MODEL_FAULT_TEXTS.get(error["type"], default)
    value = None if error["type"] == "missing" else error["input"]
    return Fault(tuple(error["loc"]), _shortened(value), allowed, remedy)


def _shortened(value: Any) -> Any:
    """Return a scalar as it is, and of a table or list only its kind and length."""
    if isinstance(value, dict):
        return f"table of {len(value)} key(s)"
    if isinstance(value, list):
        return f"list of {len(value)}"
    return value


def _rule_faults_of_rest(values: dict[str, Any], error: ValidationError) -> list[Fault]:
    """Return the broken rules among the values that are right in themselves."""
    rest = _Rest(deepcopy(values))
    for _ in range(MAX_PRUNE_ROUNDS):
        rest.leave_out(error)
        try:
            config = FleetConfig.model_validate(rest.values)
        except ValidationError as next_error:
            error = next_error
            continue
        faults = find_faults(config, left_out=rest.left_out(values))
        return [rest.in_file(fault) for fault in faults]
    return []


@dataclass
class _Rest:
    """A file's values without what is wrong in itself.

    Invariant: `kept` maps the path of each shortened list, as it is in the file, to the indexes
    that its remaining items have in the file.
    """

    values: dict[str, Any]
    kept: dict[configrules.Path, list[int]] = field(default_factory=dict)
    removed: set[configrules.Path] = field(default_factory=set)

    def leave_out(self, error: ValidationError) -> None:
        """Remove what holds each wrong value: the innermost list item, or else the key."""
        places = {_holder(tuple(item["loc"])) for item in error.errors()}
        for place in sorted(places, key=_removal_order):
            self._remove(place)
        self.values.setdefault("fleet", PLACEHOLDER)
        if not self.values.get("failure_domains"):
            self.values["failure_domains"] = [PLACEHOLDER]

    def left_out(self, values: dict[str, Any]) -> LeftOut:
        """Return which names of the file are missing here, and which results are unreliable."""
        heads = {path[0] for path in self.removed}
        names = _names(values.get("services"))
        touched = {path[1] for path in self.removed if path[0] == "services" and len(path) > 1}
        return LeftOut(
            services=frozenset(names.values()),
            failure_domains=_domains_used(values) if "failure_domains" in heads else frozenset(),
            merged_of=frozenset(names[index] for index in touched if index in names),
            all_merged=bool(heads & {"defaults", "exceptions"}),
        )

    def in_file(self, fault: Fault) -> Fault:
        """Return a fault with paths that name the places in the file."""
        return replace(fault, path=self._place(fault.path), first=self._place(fault.first))

    def _place(self, path: configrules.Path) -> configrules.Path:
        place: configrules.Path = ()
        for step in path:
            place = self._step(place, step)
        return place

    def _step(self, place: configrules.Path, step: str | int) -> configrules.Path:
        """Append a step, as it is in these values, to a place in the file."""
        indexes = self.kept.get(place)
        if indexes is not None and isinstance(step, int):
            return (*place, indexes[step])
        return (*place, step)

    def _remove(self, path: configrules.Path) -> None:
        holder: Any = self.values
        place: configrules.Path = ()
        for step in path[:-1]:
            holder = holder[step]
            place = self._step(place, step)
        last = path[-1]
        self.removed.add(self._step(place, last))
        if isinstance(holder, list) and isinstance(last, int):
            indexes = self.kept.setdefault(place, list(range(len(holder))))
            del indexes[last]
            del holder[last]
        else:
            holder.pop(last, None)


def _with_names(fault: Fault, values: dict[str, Any]) -> Fault:
    """Return a fault whose paths name list items besides numbering them."""
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


def _holder(path: configrules.Path) -> configrules.Path:
    """Return the innermost list item on a path, or the path itself when there is none."""
    for length in range(len(path), 0, -1):
        if isinstance(path[length - 1], int):
            return path[:length]
    return path


def _removal_order(path: configrules.Path) -> tuple[int, list[int]]:
    """Order inner places before outer ones, and later list items before earlier ones."""
    return -len(path), [-step for step in path if isinstance(step, int)]


def _names(services: Any) -> dict[int, str]:
    items = services if isinstance(services, list) else []
    return {
        index: item["name"]
        for index, item in enumerate(items)
        if isinstance(item, dict) and isinstance(item.get("name"), str)
    }


def _domains_used(values: dict[str, Any]) -> frozenset[str]:
    services = values.get("services")
    return frozenset(
        target["failure_domain"]
        for service in (services if isinstance(services, list) else [])
        if isinstance(service, dict) and isinstance(service.get("targets"), list)
        for target in service["targets"]
        if isinstance(target, dict) and isinstance(target.get("failure_domain"), str)
    )
