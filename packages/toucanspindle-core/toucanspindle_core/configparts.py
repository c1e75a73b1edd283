"""Splits a fleet configuration into immutable parts and joins them back.

Nodes store and exchange a configuration as parts that are named by the digest of their canonical
JSON, so a change transfers only the parts that it affects.  Services and account members are split
by content-defined chunking: a chunk ends after an item whose name hashes to a boundary, or before
an item that would exceed the size limit.  An item that is inserted, changed or removed therefore
changes its own chunk and at most the neighbouring ones, at any position in the list.

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
    """A part is missing, too large, differs from its digest or doesn't fit the other parts."""


@dataclass(frozen=True)
class ConfigPart:
    """An immutable part: its role in one configuration, its digest and its JSON.

    Invariants: `digest` is the digest of `data`; `data` is canonical JSON of less than 1 MB.
    """

    role: str
    digest: str
    data: bytes

    @property
    def value(self) -> Any:
        """Return the decoded JSON, which is the value that the platform stores."""
        return json.loads(self.data)


def split_config(config: FleetConfig) -> list[ConfigPart]:
    """Return the parts of a configuration; raise ConfigPartError if one would reach 1 MB."""
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
    member_chunks = _split_into_chunks(members, _member_name, _member_size, MEAN_ACCOUNTS_PER_CHUNK)
    for index, chunk in enumerate(member_chunks):
        parts.append(_make_part(f"{ACCOUNTS_ROLE}-{index}", _group_by_class(chunk)))
    service_chunks = _split_into_chunks(
        values["services"], _service_name, _json_size, MEAN_SERVICES_PER_CHUNK
    )
    for index, chunk in enumerate(service_chunks):
        parts.append(_make_part(f"{SERVICES_ROLE}-{index}", chunk))
    return parts


def join_parts(values: Mapping[str, Any]) -> FleetConfig:
    """Return the configuration that the decoded parts, keyed by role, form together.

    Raises ConfigPartError if they don't form a valid configuration.
    """
    try:
        return FleetConfig.model_validate(_merge_values(values))
    except (KeyError, TypeError, ValidationError) as error:
        raise ConfigPartError(
            errorcodes.CONFIG_PART_CORRUPT,
            f"The parts don't form a configuration: {error}.",
            "keep the configuration in force and roll back to the previous generation",
        ) from error


def join_encoded(head: ConfigHead, data_by_digest: Mapping[str, bytes]) -> FleetConfig:
    """Verify the parts that a head names, and return the configuration that they form.

    `data_by_digest` may hold more parts than needed.  Raises ConfigPartError if a part is missing,
    doesn't match its digest or doesn't fit the other parts.
    """
    values: dict[str, Any] = {}
    for role, digest in head.parts.items():
        data = data_by_digest.get(digest)
        if data is None:
            raise missing_part_error(head, role, digest)
        values[role] = verified_value(role, digest, data)
    return join_parts(values)


def verified_value(role: str, digest: str, data: bytes) -> Any:
    """Return the decoded JSON of a part; raise ConfigPartError if its digest doesn't match."""
    try:
        value = json.loads(data)
    except ValueError as error:
        raise _corrupt_part_error(role, digest) from error
    if digest_of(canonical_json(value)) != digest:
        raise _corrupt_part_error(role, digest)
    return value


def missing_part_error(head: ConfigHead, role: str, digest: str) -> ConfigPartError:
    """Return the error for a part that a head names but that isn't stored."""
    return ConfigPartError(
        errorcodes.CONFIG_PART_MISSING,
        f"Part {role} ({digest}) of generation {head.generation} is missing.",
        "read again later; if it is still missing, apply the configuration file again",
    )


def _corrupt_part_error(role: str, digest: str) -> ConfigPartError:
    return ConfigPartError(
        errorcodes.CONFIG_PART_CORRUPT,
        f"Part {role} doesn't match its digest {digest}.",
        "apply the configuration file again, which rewrites the part",
    )


@dataclass(frozen=True)
class _Member:
    class_name: str
    account: str


def _merge_values(values: Mapping[str, Any]) -> dict[str, Any]:
    accounts_by_class: dict[str, list[str]] = {}
    for group in _iter_chunk_items(values, ACCOUNTS_ROLE):
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
        "services": list(_iter_chunk_items(values, SERVICES_ROLE)),
    }


def _iter_chunk_items(values: Mapping[str, Any], role: str) -> Iterable[Any]:
    index = 0
    while f"{role}-{index}" in values:
        yield from values[f"{role}-{index}"]
        index += 1


def _make_part(role: str, value: Any) -> ConfigPart:
    data = canonical_json(_integral_floats_to_int(value))
    if len(data) >= MAX_VALUE_BYTES:
        raise ConfigPartError(
            errorcodes.CONFIG_TOO_LARGE,
            f"Part {role} has {len(data)} bytes; a value in the platform must be smaller than"
            f" {MAX_VALUE_BYTES} bytes.",
            "split the largest service in two, or shorten the list of exceptions",
        )
    return ConfigPart(role, digest_of(data), data)


def _integral_floats_to_int(value: Any) -> Any:
    """Convert floats such as 200.0 to int, as a JSON store may return them without the ".0".

    Otherwise the digest of the value would change.
    """
    if isinstance(value, float) and value.is_integer():
        return int(value)
    if isinstance(value, dict):
        return {key: _integral_floats_to_int(item) for key, item in value.items()}
    if isinstance(value, list):
        return [_integral_floats_to_int(item) for item in value]
    return value


def _split_into_chunks(
    items: list[T], name_of: Callable[[T], str], size_of: Callable[[T], int], mean_chunk_items: int
) -> Iterable[list[T]]:
    chunk: list[T] = []
    size = 0
    for item in items:
        if chunk and size + size_of(item) > MAX_CHUNK_BYTES:
            yield chunk
            chunk, size = [], 0
        chunk.append(item)
        size += size_of(item)
        if zlib.crc32(name_of(item).encode()) % mean_chunk_items == 0:
            yield chunk
            chunk, size = [], 0
    if chunk:
        yield chunk


def _group_by_class(members: list[_Member]) -> list[dict[str, Any]]:
    groups: list[dict[str, Any]] = []
    for member in members:
        if not groups or groups[-1]["class"] != member.class_name:
            groups.append({"class": member.class_name, "accounts": []})
        groups[-1]["accounts"].append(member.account)
    return groups


def _member_name(member: _Member) -> str:
    return member.account


def _member_size(member: _Member) -> int:
    """Return the size in JSON in bytes: the name, two quotes and a comma."""
    return len(member.account) + 3


def _service_name(service: dict[str, Any]) -> str:
    return str(service["name"])


def _json_size(value: Any) -> int:
    return len(canonical_json(value))
