"""Encodes and decodes what hosts tell each other of the store's objects.

A state is [kind, base revision, revision, age ms, grace ms, changes, era].  A change is [name, is
removed, revision, value]; the value of a target is a list of its fields, that of a plan an object.
`changes` is null if the sender doesn't tell them, and `grace ms` is 0 without a grace.  The era is
left out if it is 0.
"""

import dataclasses
from typing import Any, Final

import orjson
from toucanspindle_core.hostport import HostPort

from toucanspindle_entry.model import (
    CallerLimits,
    ClientAccount,
    FleetPlan,
    Route,
    TargetEntry,
    TargetState,
    WeightedService,
)
from toucanspindle_entry.store.objectstore import ObjectKind, StoreChange
from toucanspindle_entry.store.storewatch import StoreProgress

MS_PER_S: Final = 1000

State = list[Any]


def encode_progress(kind: ObjectKind, progress: StoreProgress) -> State:
    """Return the state of one kind."""
    changes = None
    if progress.changes is not None:
        changes = [
            [change.name, int(change.removed), change.revision, encode_value(change.value)]
            for change in progress.changes
        ]
    return [
        kind.value,
        progress.base_revision,
        progress.revision,
        int(progress.age_s * MS_PER_S),
        int(progress.grace_s * MS_PER_S),
        changes,
        *([progress.era] if progress.era else []),
    ]


def decode_progress(state: State) -> tuple[ObjectKind, StoreProgress]:
    """Return the kind and what another host knows of it; raise ValueError or TypeError."""
    kind_name, base_revision, revision, age_ms, grace_ms, encoded, *eras = state
    era = int(eras[0]) if eras else 0
    kind = ObjectKind(kind_name)
    changes = None
    if encoded is not None:
        changes = tuple(
            StoreChange(
                str(name), decode_value(kind, value, era), bool(removed), int(change_revision)
            )
            for name, removed, change_revision, value in encoded
        )
    return kind, StoreProgress(
        int(base_revision),
        int(revision),
        max(0.0, age_ms / MS_PER_S),
        max(0.0, grace_ms / MS_PER_S),
        changes,
        era,
    )


def size(state: State) -> int:
    """Return the size of a state in bytes."""
    return len(orjson.dumps(state))


def encode_value(value: Any) -> Any:
    """Return the encoded value of an object, or null if it isn't one that hosts use."""
    if isinstance(value, TargetEntry):
        return [
            value.name,
            value.service,
            str(value.address),
            value.failure_domain,
            value.slots,
            value.state.value,
            value.started_ms,
            value.warmup_s,
            value.revision,
        ]
    if isinstance(value, FleetPlan):
        return {
            "version": value.version,
            "routes": [dataclasses.astuple(route) for route in value.routes],
            "services": sorted(value.services),
            "limits": dataclasses.astuple(value.limits),
            "accounts": _encode_accounts(value.accounts),
        }
    return None


def decode_value(kind: ObjectKind, value: Any, era: int) -> TargetEntry | FleetPlan | None:
    """Return the value of an object, whose revision is of an era of the store.

    Raises ValueError, TypeError, KeyError or IndexError for a malformed one.
    """
    if value is None:
        return None
    if kind is ObjectKind.TARGETS:
        name, service, address, domain, slots, state, started_ms, warmup_s, revision = value
        return TargetEntry(
            str(name),
            str(service),
            HostPort.parse(address),
            str(domain),
            int(slots),
            TargetState(state),
            int(started_ms),
            float(warmup_s),
            int(revision),
            era,
        )
    return FleetPlan(
        int(value["version"]),
        tuple(_decode_route(*fields) for fields in value["routes"]),
        frozenset(value["services"]),
        CallerLimits(*value["limits"]),
        _decode_accounts(value.get("accounts")),
    )


def _encode_accounts(accounts: tuple[ClientAccount, ...] | None) -> list[Any] | None:
    if accounts is None:
        return None
    return [
        [account.name, account.key_digests, account.priority, account.rate_per_s, account.burst]
        for account in accounts
    ]


def _decode_accounts(encoded: list[Any] | None) -> tuple[ClientAccount, ...] | None:
    if encoded is None:
        return None
    return tuple(
        ClientAccount(
            str(name), tuple(map(str, digests)), int(priority), float(rate_per_s), float(burst)
        )
        for name, digests, priority, rate_per_s, burst in encoded
    )


def _decode_route(name: str, host: str, path_prefix: str, *options: Any) -> Route:
    """Return a route from its fields, in the order of the data class."""
    *handling, services, is_public = options
    idempotent, timeout_s, latency_goal_s, max_attempts, priority = handling
    return Route(
        name,
        host,
        path_prefix,
        bool(idempotent),
        float(timeout_s),
        float(latency_goal_s),
        int(max_attempts),
        int(priority),
        tuple(WeightedService(str(service), float(weight)) for service, weight in services),
        bool(is_public),
    )
