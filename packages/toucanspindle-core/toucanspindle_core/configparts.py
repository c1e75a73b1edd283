"""Splits a fleet configuration into immutable parts and joins them back.

Every node stores and exchanges a configuration as parts named by the digest of their canonical
JSON, so that a change moves only what it touched.  Services and account members are cut into
chunks by content-defined chunking: a chunk ends after an item whose name hashes to a boundary,
or when it reaches a size limit.  Inserting, changing or removing an item therefore changes the
chunk it is in and at most its neighbours, wherever in the list it stands.

Roles of parts: "fleet" (name, failure domains, defaults), "exceptions", "account-classes" (names
and weights), "accounts-N" (members, in order) and "services-N".
"""

import json
import zlib
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Final, TypeVar

from pydantic import ValidationError

from toucanspindle_core import errorcodes
from toucanspindle_core.errors import ToucanError
from toucanspindle_core.fleetconfig import FleetConfig
from toucanspindle_core.objects import MAX_VALUE_BYTES, ConfigHead, canonical_json, digest_of

FLEET_ROLE: Final = "fleet"
EXCEPTIONS_ROLE: Final = "exceptions"
ACCOUNT_CLASSES_ROLE: Final = "account-classes"
ACCOUNTS_ROLE: Final = "accounts"
SERVICES_ROLE: Final = "services"

MEAN_ACCOUNTS_PER_CHUNK: Final = 512
MEAN_SERVICES_PER_CHUNK: Final = 8
MAX_CHUNK_BYTES: Final = 250_000

T = TypeVar("T")


class ConfigPartError(ToucanError):
    """A part is absent, doesn't match its digest, or doesn't fit with the other parts."""


@dataclass(frozen=True)
class ConfigPart:
    """An immutable part: its role in one configuration, its digest and its JSON.

    Invariant: `digest` is the digest of `data`, and `data` is canonical JSON below 1 MB.
    """

    role: str
    digest: str
    data: bytes

    @property
    def value(self) -> Any:
        """Return the JSON value that the platform stores."""
        return json.loads(self.data)


def split_config(config: FleetConfig) -> list[ConfigPart]:
    """Split a configuration; raise ConfigPartError when one part would exceed 1 MB."""
    values = config.model_dump(mode="json", exclude_none=True)
    fleet = {key: values[key] for key in ("fleet", "failure_domains", "defaults")}
    classes = [{"name": c["name"], "weight": c["weight"]} for c in values["account_classes"]]
    members = [
        _Member(group["name"], account)
        for group in values["account_classes"]
        for account in group["accounts"]
    ]
    parts = [
        _make_part(FLEET_ROLE, fleet),
        _make_part(EXCEPTIONS_ROLE, values["exceptions"]),
        _make_part(ACCOUNT_CLASSES_ROLE, classes),
    ]
    member_chunks = _chunks(members, _member_name, _member_size, MEAN_ACCOUNTS_PER_CHUNK)
    for index, chunk in enumerate(member_chunks):
        parts.append(_make_part(f"{ACCOUNTS_ROLE}-{index}", _group_members(chunk)))
    service_chunks = _chunks(values["services"], _service_name, _json_size, MEAN_SERVICES_PER_CHUNK)
    for index, chunk in enumerate(service_chunks):
        parts.append(_make_part(f"{SERVICES_ROLE}-{index}", chunk))
    return parts


def join_parts(values: Mapping[str, Any]) -> FleetConfig:
    """Join JSON values by role; raise ConfigPartError when they don't form a configuration."""
    try:
        return FleetConfig.model_validate(_joined_values(values))
    except (KeyError, TypeError, ValidationError) as error:
        raise ConfigPartError(
            errorcodes.CONFIG_PART_CORRUPT,
            f"The parts don't form a configuration: {error}.",
            "keep the configuration in force and roll back to the generation before",
        ) from error


def join_encoded(head: ConfigHead, data_by_digest: Mapping[str, bytes]) -> FleetConfig:
    """Verify and join the parts that a head names.

    `data_by_digest` may hold more parts than needed.  Raises ConfigPartError when one is missing
    or doesn't match its digest.
    """
    values: dict[str, Any] = {}
    for role, digest in head.parts.items():
        data = data_by_digest.get(digest)
        if data is None:
            raise missing_part(head, role, digest)
        values[role] = verified_value(role, digest, data)
    return join_parts(values)


def verified_value(role: str, digest: str, data: bytes) -> Any:
    """Return the JSON value of a part; raise ConfigPartError when its digest doesn't match."""
    try:
        value = json.loads(data)
    except ValueError as error:
        raise _corrupt_part(role, digest) from error
    if digest_of(canonical_json(value)) != digest:
        raise _corrupt_part(role, digest)
    return value


def missing_part(head: ConfigHead, role: str, digest: str) -> ConfigPartError:
    """Return the error for a part that a head names and that isn't there."""
    return ConfigPartError(
        errorcodes.CONFIG_PART_MISSING,
        f"Part {role} ({digest}) of generation {head.generation} is missing.",
        "read again later; if it stays away, apply the configuration file again",
    )


def _corrupt_part(role: str, digest: str) -> ConfigPartError:
    return ConfigPartError(
        errorcodes.CONFIG_PART_CORRUPT,
        f"Part {role} doesn't match its digest {digest}.",
        "apply the configuration file again; that writes the part anew",
    )


@dataclass(frozen=True)
class _Member:
    class_name: str
    account: str


def _joined_values(values: Mapping[str, Any]) -> dict[str, Any]:
    accounts_by_class: dict[str, list[str]] = {}
    for group in _chunked(values, ACCOUNTS_ROLE):
        accounts_by_class.setdefault(group["class"], []).extend(group["accounts"])
    classes = [
        {**group, "accounts": accounts_by_class.pop(group["name"], [])}
        for group in values[ACCOUNT_CLASSES_ROLE]
    ]
    if accounts_by_class:
        raise KeyError(f"account class {sorted(accounts_by_class)[0]}")
    return {
        **values[FLEET_ROLE],
        "exceptions": values[EXCEPTIONS_ROLE],
        "account_classes": classes,
        "services": list(_chunked(values, SERVICES_ROLE)),
    }


def _chunked(values: Mapping[str, Any], role: str) -> Iterable[Any]:
    index = 0
    while f"{role}-{index}" in values:
        yield from values[f"{role}-{index}"]
        index += 1


def _make_part(role: str, value: Any) -> ConfigPart:
    data = canonical_json(_whole_numbers(value))
    if len(data) >= MAX_VALUE_BYTES:
        raise ConfigPartError(
            errorcodes.CONFIG_TOO_LARGE,
            f"Part {role} has {len(data)} bytes; a value of the platform holds"
            f" {MAX_VALUE_BYTES}.",
            "split the largest service in two, or shorten the list of exceptions",
        )
    return ConfigPart(role, digest_of(data), data)


def _whole_numbers(value: Any) -> Any:
    """Write 200.0 as 200: a store that parses JSON may not keep the difference."""
    if isinstance(value, float) and value.is_integer():
        return int(value)
    if isinstance(value, dict):
        return {key: _whole_numbers(item) for key, item in value.items()}
    if isinstance(value, list):
        return [_whole_numbers(item) for item in value]
    return value


def _chunks(
    items: list[T], name_of: Callable[[T], str], size_of: Callable[[T], int], mean: int
) -> Iterable[list[T]]:
    chunk: list[T] = []
    size = 0
    for item in items:
        if chunk and size + size_of(item) > MAX_CHUNK_BYTES:
            yield chunk
            chunk, size = [], 0
        chunk.append(item)
        size += size_of(item)
        if zlib.crc32(name_of(item).encode()) % mean == 0:
            yield chunk
            chunk, size = [], 0
    if chunk:
        yield chunk


def _group_members(members: list[_Member]) -> list[dict[str, Any]]:
    groups: list[dict[str, Any]] = []
    for member in members:
        if not groups or groups[-1]["class"] != member.class_name:
            groups.append({"class": member.class_name, "accounts": []})
        groups[-1]["accounts"].append(member.account)
    return groups


def _member_name(member: _Member) -> str:
    return member.account


def _member_size(member: _Member) -> int:
    return len(member.account) + 3


def _service_name(service: dict[str, Any]) -> str:
    return str(service["name"])


def _json_size(value: Any) -> int:
    return len(canonical_json(value))
