"""Submits a configuration change: compares, accepts, waits for the rollout and prints the result.

Every command that changes the configuration calls `submit_change`, so all of them handle lost
answers, conflicts and a platform that lost its newest head in the same way.
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
from toucanctl.progress import RolloutStatus, require_complete_rollout
from toucanctl.session import Session

MIN_REASON_CHARS: Final = 8
CHANGE_OPTIONS_GROUP: Final = Group("Options of every change", sort_key=50)


Why = Annotated[str, Parameter(help="Why the change is made; kept in the history.")]


@Parameter(name="*", group=CHANGE_OPTIONS_GROUP)
@dataclass(frozen=True)
class FollowOptions:
    """Options of every command that changes the configuration."""

    wait: Annotated[bool, Parameter(negative=())] = False
    """Wait until every node has the change in force, and name the nodes that don't."""

    wait_s: float | None = None
    """Longest time to wait, in seconds; by default wait_s of the settings (30)."""

    above_generation: int = 0
    """Number the new generation above this one; for a platform that lost its newest head."""


DEFAULT_FOLLOW_OPTIONS: Final = FollowOptions()


@dataclass(frozen=True)
class AcceptedChange:
    """An accepted change: its head, the generation that it replaced, and the difference."""

    head: ConfigHead
    base_generation: int
    diff: FleetDiff


def submit_change(
    session: Session,
    config: FleetConfig,
    base: StoredHead | None,
    why: str,
    follow: FollowOptions,
) -> AcceptedChange | None:
    """Submit `config`, which was made from `base`, and print the result.

    Returns the accepted change, or None when `config` equals `base`.  With `follow.wait`, waits
    for the rollout.  Raises what ConfigStore.accept raises; SettingsError when the reason is too
    short or the platform's generation is below that of the nodes; and ControlError when the change
    isn't in force on every node in time.
    """
    if len(why.strip()) < MIN_REASON_CHARS:
        raise SettingsError(
            errorcodes.OPTION_INVALID,
            f"--why = {why!r} is shorter than {MIN_REASON_CHARS} characters.",
            "give a reason that other operators understand in the history",
        )
    store = session.config_store
    before = store.read_config(base.head) if base else None
    diff = compare_configs(before, config)
    generation = base.head.generation if base else 0
    if not diff.changes:
        lines = [f"nothing to change: generation {generation} already has this content"]
        session.output.result(lines, {"accepted": False, "generation": generation, "changes": []})
        return None
    _require_platform_up_to_date(session, generation, follow.above_generation)
    min_generation = follow.above_generation + 1
    head = store.accept(config, session.settings.who, why, generation, min_generation)
    accepted = AcceptedChange(head, generation, diff)
    rollout = _wait_for_rollout(session, head, follow) if follow.wait else None
    _print_result(session, accepted, rollout)
    if rollout is not None:
        require_complete_rollout(rollout)
    return accepted


def diff_lines(diff: FleetDiff) -> list[str]:
    """Return one line for each change, and a last line that lists the affected services."""
    affected = ", ".join(diff.services) or "none"
    return [*indent(str(change) for change in diff.changes), f"services touched: {affected}"]


def diff_json(diff: FleetDiff) -> dict[str, object]:
    """Return the difference as a JSON value: the changes and the affected services."""
    changes = [{"path": c.path, "before": c.before, "after": c.after} for c in diff.changes]
    return {"changes": changes, "services": list(diff.services)}


def head_json(head: ConfigHead) -> dict[str, object]:
    """Return the JSON value of a head, without its parts and other storage fields."""
    return head.model_dump(mode="json", include={"generation", "change_id", "who", "why", "when"})


def _require_platform_up_to_date(session: Session, generation: int, above_generation: int) -> None:
    """Raise SettingsError when nodes would ignore the change because their generation is higher."""
    sampled_generation = session.highest_sampled_generation()
    if max(generation, above_generation) >= sampled_generation:
        return
    raise SettingsError(
        errorcodes.PLATFORM_GENERATION_OUTDATED,
        f"Nodes have generation {sampled_generation} and the platform holds {generation}: it was"
        " restored from an older state, and nodes would ignore a generation that isn't above"
        " theirs.",
        f"compare `toucanctl config show --from-nodes` with your file, then repeat the command"
        f" with --above-generation {sampled_generation}",
    )


def _wait_for_rollout(session: Session, head: ConfigHead, follow: FollowOptions) -> RolloutStatus:
    text = f"accepted as generation {head.generation} (change {head.change_id})"
    session.output.progress(text)
    wait_s = follow.wait_s or session.settings.wait_s
    return session.rollout_monitor.wait_for(head.generation, wait_s)


def _print_result(
    session: Session, accepted: AcceptedChange, rollout: RolloutStatus | None
) -> None:
    head = accepted.head
    value = {"accepted": True, **head_json(head), **diff_json(accepted.diff)}
    lines = []
    if rollout is None:
        lines.append(f"accepted as generation {head.generation} (change {head.change_id})")
    lines.extend(diff_lines(accepted.diff))
    if rollout is not None:
        value["spread"] = rollout.as_json()
        if not rollout.missing:
            duration = f"after {rollout.elapsed_s:.1f} s"
            lines.append(f"in force on all {rollout.nodes} nodes {duration}")
        lines.extend(rollout.excluded_lines())
    session.output.result(lines, value)
