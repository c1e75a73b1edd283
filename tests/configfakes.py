"""A fake of the platform's object API at the interface, and small configurations."""

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
    """A write whose answer is lost, before or after it took effect; `then` runs last."""

    took_effect: bool
    then: Callable[[], None] | None = None


@dataclass(frozen=True)
class Outage:
    """From the write on the platform is away."""


class FakeObjectStore:
    """Objects in memory with versions, conditional writes and faults on the next writes."""

    def __init__(self) -> None:
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._faults: dict[str, deque[LostAnswer | Outage]] = {}
        self._away = False
        self.created: list[str] = []

    def fault(self, kind: str, fault: LostAnswer | Outage) -> None:
        """Let the next write to a kind fail."""
        self._faults.setdefault(kind, deque()).append(fault)

    def go_away(self) -> None:
        """Refuse every call."""
        self._away = True

    def come_back(self) -> None:
        """Answer again."""
        self._away = False

    def overwrite(self, kind: str, name: str, value: Any) -> None:
        """Damage an object."""
        version = self._version(kind, name) + 1
        self._objects[kind, name] = StoredObject(name, version, value)

    def remove(self, kind: str, name: str) -> None:
        """Lose an object."""
        del self._objects[kind, name]

    def value(self, kind: str, name: str) -> Any:
        """Return what is stored."""
        return self._objects[kind, name].value

    def read(self, kind: str, name: str) -> StoredObject | None:
        self._check_away()
        return deepcopy(self._objects.get((kind, name)))

    def create(self, kind: str, name: str, value: Any) -> int:
        return self._write(kind, name, value, 0)

    def replace(self, kind: str, name: str, value: Any, version: int) -> int:
        return self._write(kind, name, value, version)

    def _version(self, kind: str, name: str) -> int:
        stored = self._objects.get((kind, name))
        return stored.version if stored else 0

    def _check_away(self) -> None:
        if self._away:
            raise PlatformUncertainError(errorcodes.PLATFORM_AWAY, "Away.", "wait")

    def _write(self, kind: str, name: str, value: Any, version: int) -> int:
        self._check_away()
        faults = self._faults.get(kind)
        fault = faults.popleft() if faults else None
        if isinstance(fault, Outage):
            self.go_away()
            self._check_away()
        if isinstance(fault, LostAnswer):
            self._lose_answer(fault, kind, name, value, version)
        return self._store(kind, name, value, version)

    def _lose_answer(
        self, fault: LostAnswer, kind: str, name: str, value: Any, version: int
    ) -> None:
        if fault.took_effect:
            self._store(kind, name, value, version)
        if fault.then is not None:
            fault.then()
        raise PlatformUncertainError(errorcodes.PLATFORM_AWAY, "Answer lost.", "look")

    def _store(self, kind: str, name: str, value: Any, version: int) -> int:
        if self._version(kind, name) != version:
            raise ConflictError(errorcodes.PLATFORM_CONFLICT, "Another version.", "read again")
        if version == 0:
            self.created.append(name)
        self._objects[kind, name] = StoredObject(name, version + 1, deepcopy(value))
        return version + 1


class RefusingObjectStore(FakeObjectStore):
    """A platform that refuses connections: nothing is ever written."""

    def _check_away(self) -> None:
        raise PlatformError(errorcodes.PLATFORM_AWAY, "Refused.", "start it")


def service_values(name: str, number: int, targets: int = 4) -> dict[str, Any]:
    """Return a service with its own addresses and one route."""
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
