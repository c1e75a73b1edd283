"""Derives the state of services and targets from the configuration and the nodes' status."""

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
class HeldEjection:
    """An ejection and the node that holds its permit."""

    holder: str
    ejection: Ejection


@dataclass(frozen=True)
class TargetView:
    """A target with its state and the reason for it; `detail` is empty while it serves."""

    name: str
    address: HostPort
    failure_domain: str
    state: TargetState
    detail: str
    ejections: tuple[HeldEjection, ...]


@dataclass(frozen=True)
class ServiceView:
    """A service and the state of its targets, in the order of the configuration."""

    policy: ServicePolicy
    targets: tuple[TargetView, ...]

    def count(self, state: TargetState) -> int:
        """Return how many targets are in a state."""
        return sum(target.state == state for target in self.targets)


def require_service(policy: FleetPolicy, name: str) -> ServicePolicy:
    """Return the policy of a service; raise SettingsError when it isn't declared."""
    service = policy.services.get(name)
    if service is None:
        raise SettingsError(
            errorcodes.UNKNOWN_NAME,
            f"There is no service {name!r} in generation {policy.generation}.",
            f"choose one of: {', '.join(policy.services) or 'none is declared'}",
        )
    return service


def build_service_views(
    config: FleetConfig, generation: int, view: FleetView, only_service: str | None = None
) -> list[ServiceView]:
    """Return the views of all services, or of `only_service`.

    Raises SettingsError when `only_service` isn't declared.
    """
    policy = merge_policy(config, generation)
    chosen = (
        [require_service(policy, only_service)] if only_service else list(policy.services.values())
    )
    return [build_service_view(service, view) for service in chosen]


def build_service_view(service: ServicePolicy, view: FleetView) -> ServiceView:
    """Return the service with the state that `view` shows for each of its targets."""
    sets = [item for item in view.ejections() if item.service == service.name]
    leaving = view.leaving_targets()
    targets = [
        _build_target_view(
            target, tuple(_ejections_against(target.name, sets, view)), f"{service.name}/", leaving
        )
        for target in service.targets
    ]
    return ServiceView(service, tuple(targets))


def _ejections_against(
    target: str, sets: list[EjectionSet], view: FleetView
) -> Iterator[HeldEjection]:
    node_by_incarnation = {member.incarnation: member.node for member in view.members()}
    for ejection_set in sets:
        # The holder is "node/incarnation", or one of the two alone.
        holder = ejection_set.holder.partition("/")[0]
        for ejection in ejection_set.ejections:
            if ejection.target == target:
                yield HeldEjection(node_by_incarnation.get(holder, holder), ejection)


def _build_target_view(
    target: Target, ejections: tuple[HeldEjection, ...], name_prefix: str, leaving: list[str]
) -> TargetView:
    state, detail = _target_state(target, ejections, f"{name_prefix}{target.name}" in leaving)
    return TargetView(target.name, target.address, target.failure_domain, state, detail, ejections)


def _target_state(
    target: Target, ejections: tuple[HeldEjection, ...], leaving: bool
) -> tuple[TargetState, str]:
    if target.drained:
        return "drained", "by an operator"
    if leaving:
        return "leaving", "by its own signal or the platform's list of hosts"
    fleet_wide = [item.ejection for item in ejections if not item.ejection.from_domain]
    if fleet_wide:
        first = fleet_wide[0]
        trickle = f", trickle {first.trickle_percent}%" if first.trickle_percent else ""
        return "ejected", f"{first.reason}{trickle}"
    if ejections:
        domains = ", ".join(sorted({item.ejection.from_domain for item in ejections}))
        return "avoided", f"from {domains}: {ejections[0].ejection.reason}"
    return "serving", ""
