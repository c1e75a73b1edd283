"""In-memory fake of the platform's object API, and small valid configurations."""

from collections import deque
from collections.abc import Callable
from copy import deepcopy
from dataclasses import dataclass
from typing import Any

from toucanspindle_core import errorcodes
from toucanspindle_core.errors import ConflictError, PlatformError, PlatformUncertainError
from toucanspindle_core.fleetconfig import FleetConfig
from toucanspindle_core.platformclient import StoredObject


@dataclass(frozen=True)
class LostAnswer:
    """A write whose answer is lost; `after_write` runs before the writer gets the error."""

    took_effect: bool
    after_write: Callable[[], None] | None = None


@dataclass(frozen=True)
class Outage:
    """The platform is unreachable from this write on; the write has no effect."""


class FakeObjectStore:
    """Objects in memory with versions, conditional writes and injected faults."""

    def __init__(self) -> None:
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._faults: dict[str, deque[LostAnswer | Outage]] = {}
        self._unreachable = False
        self.created: list[str] = []

    def add_fault(self, kind: str, fault: LostAnswer | Outage) -> None:
        """Queue a fault for the next write to a kind; faults apply in order, one per write."""
        self._faults.setdefault(kind, deque()).append(fault)

    def start_outage(self) -> None:
        """Make every call fail with PlatformUncertainError."""
        self._unreachable = True

    def end_outage(self) -> None:
        """Make calls succeed again."""
        self._unreachable = False

    def overwrite(self, kind: str, name: str, value: Any) -> None:
        """Store another value without any check, as corruption would."""
        version = self._version(kind, name) + 1
        self._objects[kind, name] = StoredObject(name, version, value)

    def remove(self, kind: str, name: str) -> None:
        """Delete an object, as data loss would."""
        del self._objects[kind, name]

    def value(self, kind: str, name: str) -> Any:
        """Return the stored value of an object."""
        return self._objects[kind, name].value

    def read(self, kind: str, name: str) -> StoredObject | None:
        self._check_reachable()
        return deepcopy(self._objects.get((kind, name)))

    def create(self, kind: str, name: str, value: Any) -> int:
        return self._write(kind, name, value, 0)

    def replace(self, kind: str, name: str, value: Any, version: int) -> int:
        return self._write(kind, name, value, version)

    def _version(self, kind: str, name: str) -> int:
        stored = self._objects.get((kind, name))
        return stored.version if stored else 0

    def _check_reachable(self) -> None:
        if self._unreachable:
            raise PlatformUncertainError(errorcodes.PLATFORM_UNREACHABLE, "Unreachable.", "wait")

    def _write(self, kind: str, name: str, value: Any, version: int) -> int:
        self._check_reachable()
        faults = self._faults.get(kind)
        fault = faults.popleft() if faults else None
        if isinstance(fault, Outage):
            self.start_outage()
            self._check_reachable()
        if isinstance(fault, LostAnswer):
            self._lose_answer(fault, kind, name, value, version)
        return self._store(kind, name, value, version)

    def _lose_answer(
        self, fault: LostAnswer, kind: str, name: str, value: Any, version: int
    ) -> None:
        if fault.took_effect:
            self._store(kind, name, value, version)
        if fault.after_write is not None:
            fault.after_write()
        raise PlatformUncertainError(errorcodes.PLATFORM_UNREACHABLE, "Answer lost.", "look")

    def _store(self, kind: str, name: str, value: Any, version: int) -> int:
        if self._version(kind, name) != version:
            raise ConflictError(errorcodes.PLATFORM_CONFLICT, "Another version.", "read again")
        if version == 0:
            self.created.append(name)
        self._objects[kind, name] = StoredObject(name, version + 1, deepcopy(value))
        return version + 1


class RefusingObjectStore(FakeObjectStore):
    """A platform that refuses every connection, so certainly nothing is written."""

    def _check_reachable(self) -> None:
        raise PlatformError(errorcodes.PLATFORM_UNREACHABLE, "Refused.", "start it")


def service_values(name: str, number: int, targets: int = 4) -> dict[str, Any]:
    """Return the values of a service with one route; `number` makes its addresses distinct."""
    return {
        "name": name,
        "targets": [
            {
                "name": f"{name}-{index}",
                "address": f"127.9.{number}.{index + 1}:8041",
                "failure_domain": "beaufort",
            }
            for index in range(targets)
        ],
        "routes": [
            {
                "method": "GET",
                "path_prefix": f"/{name}",
                "operation": "lookup",
                "idempotent": True,
            }
        ],
    }


def fleet_values(**defaults: Any) -> dict[str, Any]:
    """Return the values of a valid configuration with the given defaults."""
    return {
        "fleet": "karoo",
        "failure_domains": ["beaufort"],
        "defaults": defaults,
        "services": [service_values("lotbook", 1), service_values("yardslots", 2)],
    }


def fleet_config(**defaults: Any) -> FleetConfig:
    """Return a valid configuration with the given defaults."""
    return FleetConfig.model_validate(fleet_values(**defaults))
