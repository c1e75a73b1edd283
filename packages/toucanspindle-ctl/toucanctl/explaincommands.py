"""The commands `toucanctl explain service`, `target` and `request`."""

import asyncio

from cyclopts import App
from toucanspindle_core import errorcodes
from toucanspindle_core.balancedassignment import BalancedAssignment
from toucanspindle_core.control_pb2 import Member, MemberState
from toucanspindle_core.errors import ControlError, SettingsError
from toucanspindle_core.fleetconfig import ExceptionModel, FleetConfig
from toucanspindle_core.policy import FleetPolicy, ServicePolicy, merge_policy

from toucanctl.ctlsettings import DEFAULT_OPTIONS, CommonOptions
from toucanctl.fleetview import FleetView
from toucanctl.nodeclient import GENERATIONS_ONLY, call_all, fetch_explanation
from toucanctl.output import indent, table
from toucanctl.serviceview import ServiceView, TargetView, build_service_view, require_service
from toucanctl.session import Session
from toucanctl.targetcommands import find_target

# Settings that control when a target is ejected.
EJECTION_SETTINGS = ("false_ejections_per_target_day", "capacity_floor_percent")

explain_app = App(
    name="explain",
    help="Explain decisions of the fleet, with the evidence and settings behind them.",
)


@explain_app.command(name="service")
def explain_service(service: str, *, options: CommonOptions = DEFAULT_OPTIONS) -> None:
    """Explain a service: its settings with their origin, its nodes, targets and ejections.

    Parameters
    ----------
    service
        Name of the service.
    """
    with Session(options) as session:
        view = session.query_fleet(service)
        head, config = session.newest_node_config(view)
        fleet_policy = merge_policy(config, head.generation)
        policy = require_service(fleet_policy, service)
        service_view = build_service_view(policy, view)
        nodes = _assigned_nodes(fleet_policy, service, view)
        lines = [
            f"service {service} in generation {head.generation}",
            "settings:",
            *indent(_setting_lines(policy, config)),
            f"floor: ejections leave at least {policy.min_healthy_targets()} of"
            f" {len(policy.targets)} targets",
            f"callers are sent to: {', '.join(nodes) or 'no node is live'}",
            "targets:",
            *indent(_target_lines(service_view)),
        ]
        value = {
            "service": service,
            "generation": head.generation,
            "settings": _settings_json(policy),
            "floor": policy.min_healthy_targets(),
            "nodes": nodes,
            "targets": [_target_json(target) for target in service_view.targets],
        }
        session.output.result(lines, value)


@explain_app.command(name="target")
def explain_target(target: str, *, options: CommonOptions = DEFAULT_OPTIONS) -> None:
    """Explain a target: its state, the evidence, and the settings that control ejections.

    Parameters
    ----------
    target
        Name of the target, or SERVICE/TARGET.
    """
    with Session(options) as session:
        view = session.query_fleet()
        head, config = session.newest_node_config(view)
        service = find_target(config, target).service.name
        policy = merge_policy(config, head.generation).services[service]
        name = target.rpartition("/")[2]
        target_view = next(t for t in build_service_view(policy, view).targets if t.name == name)
        lines = [
            f"target {name} of service {service}"
            f" ({target_view.address}, {target_view.failure_domain}):"
            f" {target_view.state}",
            *indent(_evidence_lines(target_view)),
            "settings that decide on ejections:",
            *indent(_setting_lines(policy, config, EJECTION_SETTINGS)),
        ]
        value = {
            "service": service,
            "generation": head.generation,
            **_target_json(target_view),
            "settings": _settings_json(policy),
        }
        session.output.result(lines, value)


@explain_app.command(name="request")
def explain_request(request_id: str, *, options: CommonOptions = DEFAULT_OPTIONS) -> None:
    """Explain a request by the Toucan-Request-Id of its answer.

    Asks every node; each node keeps its latest 2,000 requests.

    Parameters
    ----------
    request_id
        Value of the header Toucan-Request-Id.
    """
    with Session(options) as session:
        view = session.query_fleet(GENERATIONS_ONLY)
        steps_by_node = asyncio.run(_fetch_explanations(view, request_id))
        if not steps_by_node:
            raise SettingsError(
                errorcodes.UNKNOWN_NAME,
                f"None of the {len(view.statuses())} nodes that answered knows request"
                f" {request_id!r}.",
                "check the id; a node keeps only its latest 2,000 requests and loses them when it"
                " restarts",
            )
        lines: list[str] = []
        for node, steps in steps_by_node.items():
            lines.extend([f"node {node}:", *indent(steps)])
        session.output.result(lines, {"request_id": request_id, "nodes": steps_by_node})


async def _fetch_explanations(view: FleetView, request_id: str) -> dict[str, list[str]]:
    """Return the steps of a request from each node that knows it, by node name."""
    node_by_address = {
        status.member.proxy_control_address: status.member.node
        for status in view.statuses()
        if status.member.proxy_control_address
    }

    async def fetch_steps(address: str) -> list[str]:
        return await fetch_explanation(address, request_id)

    answers = await call_all(node_by_address, fetch_steps)
    return {
        node_by_address[address]: answer
        for address, answer in answers.items()
        if not isinstance(answer, ControlError) and answer
    }


def _assigned_nodes(policy: FleetPolicy, service: str, view: FleetView) -> list[str]:
    """Return the names of the live nodes to which a service is assigned."""
    live = [member for member in view.members() if member.state == MemberState.LIVE]
    assignment: BalancedAssignment[Member] = BalancedAssignment()
    return [member.node for member in assignment.assign(policy.demands(), live)[service]]


def _setting_lines(
    policy: ServicePolicy, config: FleetConfig, only_settings: tuple[str, ...] | None = None
) -> list[str]:
    exceptions = {item.id: item for item in config.exceptions}
    rows = []
    for name, value in policy.settings.model_dump().items():
        if only_settings is not None and name not in only_settings:
            continue
        exception_id = policy.exception_by_setting.get(name)
        rows.append((name, value, _setting_origin(exceptions.get(exception_id or ""))))
    return table(("setting", "value", "from"), rows)


def _setting_origin(exception: ExceptionModel | None) -> str:
    if exception is None:
        return "the defaults"
    expiry = f", until {exception.expires.isoformat()}" if exception.expires else ""
    return f"exception {exception.id} ({exception.reason}{expiry})"


def _settings_json(policy: ServicePolicy) -> dict[str, object]:
    return {
        name: {"value": value, "exception": policy.exception_by_setting.get(name)}
        for name, value in policy.settings.model_dump().items()
    }


def _target_lines(service_view: ServiceView) -> list[str]:
    lines: list[str] = []
    for target in service_view.targets:
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
