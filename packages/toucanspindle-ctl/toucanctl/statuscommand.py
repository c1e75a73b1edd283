"""The commands `toucanctl status` and `toucanctl wait`: the fleet, and the spread of a change."""

from dataclasses import dataclass

from toucanspindle_core.configparts import ConfigPartError
from toucanspindle_core.control_pb2 import Member, MemberState
from toucanspindle_core.errors import PlatformError

from toucanctl.ctlsettings import NO_OPTIONS, CommonOptions
from toucanctl.fleetview import FleetView, NodeView
from toucanctl.nodeclient import ALL_SERVICES
from toucanctl.output import indent, table
from toucanctl.progress import require_everywhere
from toucanctl.serviceview import ServiceView, TargetView, view_services
from toucanctl.session import Session


def status(service: str | None = None, *, options: CommonOptions = NO_OPTIONS) -> None:
    """Show nodes, generations, services, targets, ejections and quarantined requests.

    Of all services together it lists the targets that aren't serving; name a service to see all of
    its targets. Also works while the platform is away, if an agent is named with --agent.

    Parameters
    ----------
    service
        Show this service only, with all of its targets.
    """
    with Session(options) as session:
        platform = _view_platform(session)
        view = session.fleet(service or ALL_SERVICES)
        services, lines = _services_in_force(session, view, service)
        quarantine = _quarantine_lines(view, service)
        text = [f"platform: {platform.text()}", "", *_node_lines(view), ""]
        value = _status_json(platform, view, services)
        session.output.result([*text, *lines, "", *quarantine], value)


def _services_in_force(
    session: Session, view: FleetView, only: str | None
) -> tuple[list[ServiceView], list[str]]:
    """Return the services with the lines that show them; none before a first configuration."""
    if only is None and view.highest_generation() == 0:
        return [], ["no configuration yet: apply one with `toucanctl config apply FILE --why WHY`"]
    head, config = session.config_in_force(view)
    services = view_services(config, head.generation, view, only)
    lines = [f"fleet {config.fleet}: generation {head.generation} by {head.who}: {head.why}"]
    for item in services:
        lines.extend(_service_lines(item, all_targets=only is not None))
    return services, lines


def wait(
    *,
    generation: int | None = None,
    wait_s: float | None = None,
    options: CommonOptions = NO_OPTIONS,
) -> None:
    """Follow a generation until every node has it in force, or name the nodes that don't.

    Parameters
    ----------
    generation
        Generation to wait for; by default the platform's current one.
    wait_s
        Time to wait, in seconds; by default wait_s of the settings (30).
    """
    with Session(options) as session:
        if generation is None:
            generation = session.require_head().head.generation
        limit_s = wait_s or session.settings.wait_s
        spread = session.follower.follow(generation, limit_s)
        lines = [f"in force on all {spread.nodes} nodes"] if not spread.missing else []
        lines.extend(spread.left_lines())
        session.output.result(lines, spread.as_json())
        require_everywhere(spread)


@dataclass(frozen=True)
class PlatformView:
    """What the platform holds: a generation, 0 for none, or None and the trouble."""

    generation: int | None
    trouble: str = ""

    def text(self) -> str:
        """Return the state in words."""
        if self.generation is not None:
            return f"holds generation {self.generation}"
        return f"{self.trouble} The fleet keeps its state."


def _view_platform(session: Session) -> PlatformView:
    if session.settings.platform_url is None:
        return PlatformView(None, "Not named.")
    try:
        stored = session.store.read_head()
    except (PlatformError, ConfigPartError) as error:
        return PlatformView(None, f"{error.code}: {error.text}")
    return PlatformView(stored.head.generation if stored else 0)


def _node_lines(view: FleetView) -> list[str]:
    rows = [_node_row(node) for node in view.nodes]
    titles = ("node", "domain", "state", "agent gen", "proxy gen", "platform", "entry address")
    return [f"nodes: {len(view.heard())} of {len(view.nodes)} heard", *indent(table(titles, rows))]


def _node_row(node: NodeView) -> tuple[str, ...]:
    found = node.status
    if found is None:
        return (node.name, "?", "not heard", "?", "?", "?", node.trouble)
    platform = "reached" if found.platform_reachable else "away"
    return (
        node.name,
        found.member.failure_domain,
        member_state(found.member),
        str(found.agent_generation),
        str(found.proxy_generation),
        f"{platform}, watches" if found.watcher else platform,
        found.member.entry_address,
    )


def member_state(member: Member) -> str:
    """Return the state of a member in words."""
    if member.state == MemberState.MEMBER_STATE_UNSPECIFIED:
        return "no proxy"
    return MemberState.Name(member.state).lower()


def _service_lines(item: ServiceView, all_targets: bool) -> list[str]:
    policy = item.policy
    line = (
        f"service {policy.name}: {item.count('serving')} of {len(policy.targets)} targets serving,"
        f" floor {policy.floor_count()}"
    )
    shown = [target for target in item.targets if all_targets or target.state != "serving"]
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
        "platform_trouble": platform.trouble,
        "generation": view.highest_generation() or None,
        "nodes": [_node_json(node) for node in view.nodes],
        "services": [_service_json(item) for item in services],
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
        return {**value, "heard": False, "trouble": node.trouble}
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


def _service_json(item: ServiceView) -> dict[str, object]:
    return {
        "service": item.policy.name,
        "floor": item.policy.floor_count(),
        "targets": [_target_json(target) for target in item.targets],
    }


def _target_json(target: TargetView) -> dict[str, object]:
    return {
        "target": target.name,
        "address": str(target.address),
        "failure_domain": target.failure_domain,
        "state": target.state,
        "detail": target.detail,
    }
