"""The commands `toucanctl status` and `toucanctl wait`."""

from dataclasses import dataclass

from toucanspindle_core.configparts import ConfigPartError
from toucanspindle_core.control_pb2 import Member, MemberState
from toucanspindle_core.errors import PlatformError

from toucanctl.ctlsettings import DEFAULT_OPTIONS, CommonOptions
from toucanctl.fleetview import FleetView, NodeView
from toucanctl.nodeclient import ALL_SERVICES
from toucanctl.output import indent, table
from toucanctl.progress import require_complete_rollout
from toucanctl.serviceview import ServiceView, TargetView, build_service_views
from toucanctl.session import Session


def status(service: str | None = None, *, options: CommonOptions = DEFAULT_OPTIONS) -> None:
    """Show nodes, generations, services, targets, ejections and quarantined requests.

    Lists only the targets that aren't serving, of all services; name a service to list all of its
    targets. Works without the platform if an agent is named with --agent.

    Parameters
    ----------
    service
        Show only this service, with all of its targets.
    """
    with Session(options) as session:
        platform = _query_platform(session)
        view = session.query_fleet(service or ALL_SERVICES)
        services, lines = _configured_services(session, view, service)
        quarantine = _quarantine_lines(view, service)
        text = [f"platform: {platform.text()}", "", *_node_lines(view), ""]
        value = _status_json(platform, view, services)
        session.output.result([*text, *lines, "", *quarantine], value)


def _configured_services(
    session: Session, view: FleetView, only_service: str | None
) -> tuple[list[ServiceView], list[str]]:
    """Return the services of the newest node configuration, and the lines that show them.

    Without a configuration on any node there are no services and one line that says so; with
    `only_service` that is a ControlError.
    """
    if only_service is None and view.highest_generation() == 0:
        return [], ["no configuration yet: apply one with `toucanctl config apply FILE --why WHY`"]
    head, config = session.newest_node_config(view)
    services = build_service_views(config, head.generation, view, only_service)
    lines = [f"fleet {config.fleet}: generation {head.generation} by {head.who}: {head.why}"]
    for service_view in services:
        lines.extend(_service_lines(service_view, all_targets=only_service is not None))
    return services, lines


def wait(
    *,
    generation: int | None = None,
    wait_s: float | None = None,
    options: CommonOptions = DEFAULT_OPTIONS,
) -> None:
    """Wait until every node has a generation in force, or name the nodes that don't.

    Parameters
    ----------
    generation
        Generation to wait for; by default the platform's current one.
    wait_s
        Longest time to wait, in seconds; by default wait_s of the settings (30).
    """
    with Session(options) as session:
        if generation is None:
            generation = session.require_head().head.generation
        limit_s = wait_s or session.settings.wait_s
        rollout = session.rollout_monitor.wait_for(generation, limit_s)
        lines = [f"in force on all {rollout.nodes} nodes"] if not rollout.missing else []
        lines.extend(rollout.excluded_lines())
        session.output.result(lines, rollout.as_json())
        require_complete_rollout(rollout)


@dataclass(frozen=True)
class PlatformView:
    """The platform's generation, 0 without a configuration.

    The generation is None when it couldn't be read; `error_text` then says why.
    """

    generation: int | None
    error_text: str = ""

    def text(self) -> str:
        """Return the platform's state for the text output."""
        if self.generation is not None:
            return f"holds generation {self.generation}"
        return f"{self.error_text} The fleet keeps its state."


def _query_platform(session: Session) -> PlatformView:
    if session.settings.platform_url is None:
        return PlatformView(None, "No platform URL is set.")
    try:
        stored = session.config_store.read_head()
    except (PlatformError, ConfigPartError) as error:
        return PlatformView(None, f"{error.code}: {error.text}")
    return PlatformView(stored.head.generation if stored else 0)


def _node_lines(view: FleetView) -> list[str]:
    rows = [_node_row(node) for node in view.nodes]
    titles = ("node", "domain", "state", "agent gen", "proxy gen", "platform", "entry address")
    return [
        f"nodes: {len(view.statuses())} of {len(view.nodes)} answered",
        *indent(table(titles, rows)),
    ]


def _node_row(node: NodeView) -> tuple[str, ...]:
    node_status = node.status
    if node_status is None:
        return (node.name, "?", "no answer", "?", "?", "?", node.error_text)
    platform = "reached" if node_status.platform_reachable else "away"
    return (
        node.name,
        node_status.member.failure_domain,
        member_state(node_status.member),
        str(node_status.agent_generation),
        str(node_status.proxy_generation),
        f"{platform}, watches" if node_status.watcher else platform,
        node_status.member.entry_address,
    )


def member_state(member: Member) -> str:
    """Return the lower-case name of a member's state, or "no proxy" when it has none."""
    if member.state == MemberState.MEMBER_STATE_UNSPECIFIED:
        return "no proxy"
    return MemberState.Name(member.state).lower()


def _service_lines(service_view: ServiceView, all_targets: bool) -> list[str]:
    policy = service_view.policy
    line = (
        f"service {policy.name}: {service_view.count('serving')} of {len(policy.targets)}"
        " targets serving,"
        f" floor {policy.min_healthy_targets()}"
    )
    shown = [target for target in service_view.targets if all_targets or target.state != "serving"]
    if not shown:
        return [line]
    rows = [(t.name, t.failure_domain, str(t.address), t.state, t.detail) for t in shown]
    return [line, *indent(table(("target", "domain", "address", "state", "why"), rows))]


def _quarantine_lines(view: FleetView, service: str | None) -> list[str]:
    entries = [entry for entry in view.quarantine() if service in {None, entry.service}]
    if not entries:
        return ["quarantined requests: none"]
    rows = [
        (
            e.service,
            e.fingerprint,
            e.crashed_targets,
            e.last_target,
            f"{e.expires_in_ms / 1000:g} s",
        )
        for e in entries
    ]
    titles = ("service", "fingerprint", "crashed", "last target", "expires in")
    return [f"quarantined requests: {len(entries)}", *indent(table(titles, rows))]


def _status_json(
    platform: PlatformView, view: FleetView, services: list[ServiceView]
) -> dict[str, object]:
    return {
        "platform_generation": platform.generation,
        "platform_trouble": platform.error_text,
        "generation": view.highest_generation() or None,
        "nodes": [_node_json(node) for node in view.nodes],
        "services": [_service_json(service_view) for service_view in services],
        "quarantine": [
            {
                "service": entry.service,
                "fingerprint": entry.fingerprint,
                "crashed_targets": entry.crashed_targets,
                "last_target": entry.last_target,
                "expires_in_s": entry.expires_in_ms / 1000,
            }
            for entry in view.quarantine()
        ],
    }


def _node_json(node: NodeView) -> dict[str, object]:
    value: dict[str, object] = {"node": node.name, "agent_address": node.agent_address}
    if node.status is None:
        return {**value, "heard": False, "trouble": node.error_text}
    return {
        **value,
        "heard": True,
        "failure_domain": node.status.member.failure_domain,
        "state": member_state(node.status.member),
        "entry_address": node.status.member.entry_address,
        "agent_generation": node.status.agent_generation,
        "proxy_generation": node.status.proxy_generation,
        "platform_reachable": node.status.platform_reachable,
        "watcher": node.status.watcher,
    }


def _service_json(service_view: ServiceView) -> dict[str, object]:
    return {
        "service": service_view.policy.name,
        "floor": service_view.policy.min_healthy_targets(),
        "targets": [_target_json(target) for target in service_view.targets],
    }


def _target_json(target: TargetView) -> dict[str, object]:
    return {
        "target": target.name,
        "address": str(target.address),
        "failure_domain": target.failure_domain,
        "state": target.state,
        "detail": target.detail,
    }
