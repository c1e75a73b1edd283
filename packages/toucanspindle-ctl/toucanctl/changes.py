"""Makes a change of the configuration: check, accept, report, follow.

Every command that changes something goes through `make_change`, so that all of them treat lost
answers, conflicts and a platform that lost its newest head alike.
"""

from dataclasses import dataclass
from typing import Annotated, Final

from cyclopts import Group, Parameter
from toucanspindle_core import errorcodes
from toucanspindle_core.configchain import StoredHead
from toucanspindle_core.errors import SettingsError
from toucanspindle_core.fleetconfig import FleetConfig
from toucanspindle_core.fleetdiff import FleetDiff, compare_configs
from toucanspindle_core.objects import ConfigHead

from toucanctl.output import indent
from toucanctl.progress import Spread, require_everywhere
from toucanctl.session import Session

MIN_WHY_CHARS: Final = 8
FOLLOW_GROUP: Final = Group("Options of every change", sort_key=50)


Why = Annotated[str, Parameter(help="Why the change is made; kept in the history.")]


@Parameter(name="*", group=FOLLOW_GROUP)
@dataclass(frozen=True)
class FollowOptions:
    """Options of every command that changes the configuration."""

    wait: Annotated[bool, Parameter(negative=())] = False
    """Follow the change until every node has it, and name the nodes that don't."""

    wait_s: float | None = None
    """Time to follow it for, in seconds; by default wait_s of the settings (30)."""

    above_generation: int = 0
    """Accept as a generation above this one, for a platform that lost its newest head."""


NO_FOLLOW: Final = FollowOptions()


@dataclass(frozen=True)
class Accepted:
    """An accepted change: its head, the generation before, and the difference."""

    head: ConfigHead
    base_generation: int
    diff: FleetDiff


def make_change(
    session: Session,
    config: FleetConfig,
    base: StoredHead | None,
    why: str,
    follow: FollowOptions,
) -> Accepted | None:
    """Accept a configuration made from `base` and follow it; None when nothing differs.

    Raises as ConfigStore.accept does, SettingsError for a short reason or a platform that is
    behind the nodes, and ControlError when the change isn't in force everywhere in time.
    """
    if len(why.strip()) < MIN_WHY_CHARS:
        raise SettingsError(
            errorcodes.OPTION_INVALID,
            f"--why = {why!r} is shorter than {MIN_WHY_CHARS} characters.",
            "write down why; colleagues read it in the history",
        )
    store = session.store
    before = store.read_config(base.head) if base else None
    diff = compare_configs(before, config)
    generation = base.head.generation if base else 0
    if not diff.changes:
        lines = [f"nothing to change: generation {generation} holds this already"]
        session.output.result(lines, {"accepted": False, "generation": generation, "changes": []})
        return None
    _check_behind(session, generation, follow.above_generation)
    minimum = follow.above_generation + 1
    head = store.accept(config, session.settings.who, why, generation, minimum)
    accepted = Accepted(head, generation, diff)
    spread = _follow(session, head, follow) if follow.wait else None
    _report(session, accepted, spread)
    if spread is not None:
        require_everywhere(spread)
    return accepted


def diff_lines(diff: FleetDiff) -> list[str]:
    """Return the lines that show a difference and the services that it touches."""
    touched = ", ".join(diff.services) or "none"
    return [*indent(str(change) for change in diff.changes), f"services touched: {touched}"]


def diff_json(diff: FleetDiff) -> dict[str, object]:
    """Return a difference as a JSON value."""
    changes = [{"path": c.path, "before": c.before, "after": c.after} for c in diff.changes]
    return {"changes": changes, "services": list(diff.services)}


def head_json(head: ConfigHead) -> dict[str, object]:
    """Return what scripts get of a head."""
    return head.model_dump(mode="json", include={"generation", "change_id", "who", "why", "when"})


def _check_behind(session: Session, generation: int, above_generation: int) -> None:
    """Refuse a generation that the nodes would ignore because theirs is higher."""
    known = session.highest_sampled_generation()
    if max(generation, above_generation) >= known:
        return
    raise SettingsError(
        errorcodes.PLATFORM_BEHIND,
        f"Nodes have generation {known} and the platform holds {generation}: it was restored from"
        " an older state, and nodes would ignore a generation that isn't above theirs.",
        f"compare `toucanctl config show --from-nodes` with your file, then repeat the command"
        f" with --above-generation {known}",
    )


def _follow(session: Session, head: ConfigHead, follow: FollowOptions) -> Spread:
    text = f"accepted as generation {head.generation} (change {head.change_id})"
    session.output.progress(text)
    wait_s = follow.wait_s or session.settings.wait_s
    return session.follower.follow(head.generation, wait_s)


def _report(session: Session, accepted: Accepted, spread: Spread | None) -> None:
    head = accepted.head
    value = {"accepted": True, **head_json(head), **diff_json(accepted.diff)}
    lines = []
    if spread is None:
        lines.append(f"accepted as generation {head.generation} (change {head.change_id})")
    lines.extend(diff_lines(accepted.diff))
    if spread is not None:
        value["spread"] = spread.as_json()
        if not spread.missing:
            took = f"after {spread.elapsed_s:.1f} s"
            lines.append(f"in force on all {spread.nodes} nodes {took}")
        lines.extend(spread.left_lines())
    session.output.result(lines, value)
