"""Commands that explain decisions: `toucanctl explain service | target | request`."""

import asyncio

from cyclopts import App
from toucanspindle_core import errorcodes
from toucanspindle_core.balancedassignment import BalancedAssignment
from toucanspindle_core.control_pb2 import Member, MemberState
from toucanspindle_core.errors import ControlError, SettingsError
from toucanspindle_core.fleetconfig import ExceptionModel, FleetConfig
from toucanspindle_core.policy import FleetPolicy, ServicePolicy, merge_policy

from toucanctl.ctlsettings import NO_OPTIONS, CommonOptions
from toucanctl.fleetview import FleetView
from toucanctl.nodeclient import NO_SERVICE, ask_all, fetch_explanation
from toucanctl.output import indent, table
from toucanctl.serviceview import ServiceView, TargetView, require_service, view_service
from toucanctl.session import Session
from toucanctl.targetcommands import find_target

# Settings that decide when a target is ejected.
EJECTION_SETTINGS = ("false_ejections_per_target_day", "capacity_floor_percent")

explain_app = App(
    name="explain",
    help="Explain what the fleet decided, from which evidence, by which setting.",
)


@explain_app.command(name="service")
def explain_service(service: str, *, options: CommonOptions = NO_OPTIONS) -> None:
    """Explain a service: each setting with its origin, its nodes, its targets and ejections.

    Parameters
    ----------
    service
        Name of the service.
    """
    with Session(options) as session:
        view = session.fleet(service)
        head, config = session.config_in_force(view)
        fleet_policy = merge_policy(config, head.generation)
        policy = require_service(fleet_policy, service)
        found = view_service(policy, view)
        nodes = _assigned_nodes(fleet_policy, service, view)
        lines = [
            f"service {service} in generation {head.generation}",
            "settings:",
            *indent(_setting_lines(policy, config)),
            f"floor: ejections leave at least {policy.floor_count()} of"
            f" {len(policy.targets)} targets",
            f"callers are sent to: {', '.join(nodes) or 'no node is live'}",
            "targets:",
            *indent(_target_lines(found)),
        ]
        value = {
            "service": service,
            "generation": head.generation,
            "settings": _settings_json(policy),
            "floor": policy.floor_count(),
            "nodes": nodes,
            "targets": [_target_json(target) for target in found.targets],
        }
        session.output.result(lines, value)


@explain_app.command(name="target")
def explain_target(target: str, *, options: CommonOptions = NO_OPTIONS) -> None:
    """Explain a target: its state, the evidence, and the settings that decided.

    Parameters
    ----------
    target
        Name of the target, or SERVICE/TARGET.
    """
    with Session(options) as session:
        view = session.fleet()
        head, config = session.config_in_force(view)
        service = find_target(config, target).service.name
        policy = merge_policy(config, head.generation).services[service]
        name = target.rpartition("/")[2]
        found = next(t for t in view_service(policy, view).targets if t.name == name)
        lines = [
            f"target {name} of service {service} ({found.address}, {found.failure_domain}):"
            f" {found.state}",
            *indent(_evidence_lines(found)),
            "settings that decide on ejections:",
            *indent(_setting_lines(policy, config, EJECTION_SETTINGS)),
        ]
        value = {
            "service": service,
            "generation": head.generation,
            **_target_json(found),
            "settings": _settings_json(policy),
        }
        session.output.result(lines, value)


@explain_app.command(name="request")
def explain_request(request_id: str, *, options: CommonOptions = NO_OPTIONS) -> None:
    """Explain a request by the Toucan-Request-Id of its answer.

    Each node keeps its latest 2,000 requests; every node is asked.

    Parameters
    ----------
    request_id
        The Toucan-Request-Id.
    """
    with Session(options) as session:
        view = session.fleet(NO_SERVICE)
        found = asyncio.run(_ask_proxies(view, request_id))
        if not found:
            raise SettingsError(
                errorcodes.UNKNOWN_NAME,
                f"None of the {len(view.heard())} nodes that were heard knows request"
                f" {request_id!r}.",
                "check the id; a node forgets all but its latest 2,000 requests, and all when it"
                " is restarted",
            )
        lines: list[str] = []
        for node, steps in found.items():
            lines.extend([f"node {node}:", *indent(steps)])
        session.output.result(lines, {"request_id": request_id, "nodes": found})


async def _ask_proxies(view: FleetView, request_id: str) -> dict[str, list[str]]:
    """Return the steps of a request by the name of the node that knows it."""
    names = {
        status.member.proxy_control_address: status.member.node
        for status in view.heard()
        if status.member.proxy_control_address
    }

    async def ask(address: str) -> list[str]:
        return await fetch_explanation(address, request_id)

    answers = await ask_all(names, ask)
    return {
        names[address]: answer
        for address, answer in answers.items()
        if not isinstance(answer, ControlError) and answer
    }


def _assigned_nodes(policy: FleetPolicy, service: str, view: FleetView) -> list[str]:
    live = [member for member in view.members() if member.state == MemberState.LIVE]
    assignment: BalancedAssignment[Member] = BalancedAssignment()
    return [member.node for member in assignment.assign(policy.demands(), live)[service]]


def _setting_lines(
    policy: ServicePolicy, config: FleetConfig, only: tuple[str, ...] | None = None
) -> list[str]:
    exceptions = {item.id: item for item in config.exceptions}
    rows = []
    for name, value in policy.settings.model_dump().items():
        if only is not None and name not in only:
            continue
        source = policy.exception_by_setting.get(name)
        rows.append((name, value, _origin(exceptions.get(source or ""))))
    return table(("setting", "value", "from"), rows)


def _origin(exception: ExceptionModel | None) -> str:
    if exception is None:
        return "the defaults"
    expiry = f", until {exception.expires.isoformat()}" if exception.expires else ""
    return f"exception {exception.id} ({exception.reason}{expiry})"


def _settings_json(policy: ServicePolicy) -> dict[str, object]:
    return {
        name: {"value": value, "exception": policy.exception_by_setting.get(name)}
        for name, value in policy.settings.model_dump().items()
    }


def _target_lines(found: ServiceView) -> list[str]:
    lines: list[str] = []
    for target in found.targets:
        lines.append(f"{target.name}: {target.state}")
        lines.extend(indent(_evidence_lines(target)) if target.state != "serving" else [])
    return lines


def _evidence_lines(target: TargetView) -> list[str]:
    if not target.ejections:
        return [target.detail or "no node has evidence against it that reaches the threshold"]
    lines = [] if target.state in {"ejected", "avoided"} else [target.detail]
    for item in target.ejections:
        ejection = item.ejection
        scope = f"from {ejection.from_domain}" if ejection.from_domain else "for all nodes"
        lines.append(f"ejected {scope} by {item.holder}: {ejection.reason}")
        lines.append(f"evidence: {ejection.evidence}")
        if ejection.trickle_percent:
            lines.append(f"being re-admitted: {ejection.trickle_percent}% of its share")
    return lines


def _target_json(target: TargetView) -> dict[str, object]:
    return {
        "target": target.name,
        "state": target.state,
        "detail": target.detail,
        "ejections": [
            {
                "holder": item.holder,
                "from_domain": item.ejection.from_domain,
                "reason": item.ejection.reason,
                "evidence": item.ejection.evidence,
                "trickle_percent": item.ejection.trickle_percent,
            }
            for item in target.ejections
        ],
    }
