"""The state of services and targets, from the configuration and from what the nodes say."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Literal

from toucanspindle_core import errorcodes
from toucanspindle_core.control_pb2 import Ejection, EjectionSet
from toucanspindle_core.errors import SettingsError
from toucanspindle_core.fleetconfig import FleetConfig
from toucanspindle_core.hostport import HostPort
from toucanspindle_core.policy import FleetPolicy, ServicePolicy, Target, merge_policy

from toucanctl.fleetview import FleetView

TargetState = Literal["serving", "ejected", "avoided", "drained", "leaving"]


@dataclass(frozen=True)
class EjectedTarget:
    """An ejection, with the node that holds the permit for it."""

    holder: str
    ejection: Ejection


@dataclass(frozen=True)
class TargetView:
    """A target, its state and why it is in that state."""

    name: str
    address: HostPort
    failure_domain: str
    state: TargetState
    detail: str
    ejections: tuple[EjectedTarget, ...]


@dataclass(frozen=True)
class ServiceView:
    """A service with the state of its targets."""

    policy: ServicePolicy
    targets: tuple[TargetView, ...]

    def count(self, state: TargetState) -> int:
        """Return how many targets are in a state."""
        return sum(target.state == state for target in self.targets)


def require_service(policy: FleetPolicy, name: str) -> ServicePolicy:
    """Return a service by its name; raise SettingsError when it isn't declared."""
    service = policy.services.get(name)
    if service is None:
        raise SettingsError(
            errorcodes.UNKNOWN_NAME,
            f"There is no service {name!r} in generation {policy.generation}.",
            f"choose one of: {', '.join(policy.services) or 'none is declared'}",
        )
    return service


def view_services(
    config: FleetConfig, generation: int, view: FleetView, only: str | None = None
) -> list[ServiceView]:
    """Return all services, or only one; raise SettingsError when that isn't declared."""
    policy = merge_policy(config, generation)
    chosen = [require_service(policy, only)] if only else list(policy.services.values())
    return [view_service(service, view) for service in chosen]


def view_service(service: ServicePolicy, view: FleetView) -> ServiceView:
    """Return the state of a service's targets."""
    sets = [item for item in view.ejections() if item.service == service.name]
    leaving = view.leaving_targets()
    targets = [
        _view_target(
            target, tuple(_ejections_of(target.name, sets, view)), f"{service.name}/", leaving
        )
        for target in service.targets
    ]
    return ServiceView(service, tuple(targets))


def _ejections_of(target: str, sets: list[EjectionSet], view: FleetView) -> Iterator[EjectedTarget]:
    names = {member.incarnation: member.node for member in view.members()}
    for item in sets:
        holder = item.holder.partition("/")[0]  # Node and incarnation, or one of them alone.
        for ejection in item.ejections:
            if ejection.target == target:
                yield EjectedTarget(names.get(holder, holder), ejection)


def _view_target(
    target: Target, ejections: tuple[EjectedTarget, ...], prefix: str, leaving: list[str]
) -> TargetView:
    state, detail = _state_of(target, ejections, f"{prefix}{target.name}" in leaving)
    return TargetView(target.name, target.address, target.failure_domain, state, detail, ejections)


def _state_of(
    target: Target, ejections: tuple[EjectedTarget, ...], leaving: bool
) -> tuple[TargetState, str]:
    if target.drained:
        return "drained", "by an operator"
    if leaving:
        return "leaving", "by its own signal or the platform's list of hosts"
    everywhere = [item.ejection for item in ejections if not item.ejection.from_domain]
    if everywhere:
        first = everywhere[0]
        trickle = f", trickle {first.trickle_percent}%" if first.trickle_percent else ""
        return "ejected", f"{first.reason}{trickle}"
    if ejections:
        domains = ", ".join(sorted({item.ejection.from_domain for item in ejections}))
        return "avoided", f"from {domains}: {ejections[0].ejection.reason}"
    return "serving", ""
