"""Commands on the whole configuration: show, dry-run, apply, set and rollback."""

from pathlib import Path
from typing import Annotated

from cyclopts import Parameter
from toucanspindle_core import errorcodes
from toucanspindle_core.configchain import StoredHead
from toucanspindle_core.errors import SettingsError
from toucanspindle_core.fleetconfig import FleetConfig
from toucanspindle_core.fleetdiff import compare_configs
from toucanspindle_core.fleetfile import FleetFile, dump_fleet, load_fleet_file, set_base
from toucanspindle_core.objects import ConfigHead

from toucanctl.changes import (
    NO_FOLLOW,
    FollowOptions,
    Why,
    diff_json,
    diff_lines,
    head_json,
    make_change,
)
from toucanctl.ctlsettings import NO_OPTIONS, CommonOptions
from toucanctl.session import Session
from toucanctl.settingvalue import parse_setting

Flag = Annotated[bool, Parameter(negative=())]


def show(
    *,
    generation: int | None = None,
    output: Path | None = None,
    from_nodes: Flag = False,
    options: CommonOptions = NO_OPTIONS,
) -> None:
    """Print the configuration as a TOML file that you can edit and apply.

    Its first line, based_on_generation, lets `config apply` refuse the file when somebody else's
    change was accepted in between.

    Parameters
    ----------
    generation
        Show this earlier generation in place of the current one.
    output
        Write to this file in place of the standard output.
    from_nodes
        Show what the nodes have, also while the platform is away.
    """
    with Session(options) as session:
        head, config = _configuration(session, generation, from_nodes)
        text = dump_fleet(config, head.generation)
        value = {"head": head_json(head), "config": config.model_dump(mode="json")}
        if output is None:
            session.output.result([text.rstrip()], value)
            return
        _write(output, text)
        line = f"generation {head.generation} written to {output}"
        session.output.result([line], {"head": head_json(head), "file": str(output)})


def dry_run(file: Path, *, options: CommonOptions = NO_OPTIONS) -> None:
    """Show what applying a file would change, and which services that touches.

    Nothing is written.

    Parameters
    ----------
    file
        Fleet file (TOML).
    """
    with Session(options) as session:
        loaded = load_fleet_file(file)
        base = session.store.read_head()
        before = session.store.read_config(base.head) if base else None
        diff = compare_configs(before, loaded.config)
        generation = base.head.generation if base else 0
        lines = [f"against generation {generation}: {len(diff.changes)} change(s)"]
        if loaded.based_on_generation not in {None, generation}:
            lines.append(
                f"note: the file is based on generation {loaded.based_on_generation}; applying it"
                " would be refused as a conflict"
            )
        lines.extend(diff_lines(diff))
        value = {"base_generation": generation, **diff_json(diff)}
        value["file_based_on_generation"] = loaded.based_on_generation
        session.output.result(lines, value)


def apply(
    file: Path,
    *,
    why: Why,
    follow: FollowOptions = NO_FOLLOW,
    based_on: int | None = None,
    overwrite: Flag = False,
    update_file: Flag = False,
    options: CommonOptions = NO_OPTIONS,
) -> None:
    """Make a file the fleet's configuration.

    The change is accepted as one new generation or not at all. It must say which generation it
    was made from, so that it can't undo a colleague's change unseen: by based_on_generation in
    the file (as `config show` writes it), by --based-on, or by --overwrite.

    Parameters
    ----------
    file
        Fleet file (TOML).
    based_on
        Generation that the file was made from.
    overwrite
        Replace whatever is in force, without a check for others' changes.
    update_file
        After acceptance set based_on_generation in the file, ready for the next edit.
    """
    with Session(options) as session:
        loaded = load_fleet_file(file)
        current = session.store.read_head()
        base = _base_of(session, loaded, current, based_on, overwrite)
        accepted = make_change(session, loaded.config, base, why, follow)
        if accepted is None:
            return
        if update_file:
            set_base(file, accepted.head.generation)
        elif loaded.based_on_generation is not None:
            session.output.progress(
                f"before the next edit set based_on_generation = {accepted.head.generation} in"
                f" {file} (or apply with --update-file)"
            )


def set_default(
    setting: str,
    value: str,
    *,
    why: Why,
    follow: FollowOptions = NO_FOLLOW,
    options: CommonOptions = NO_OPTIONS,
) -> None:
    """Change one default for the whole fleet.

    Parameters
    ----------
    setting
        Name of the setting, such as deadline_ms; docs/settings.md lists them.
    value
        The new value.
    """
    with Session(options) as session:
        base = session.require_head()
        config = session.store.read_config(base.head)
        changed = parse_setting(setting, value)
        defaults = config.defaults.model_copy(update=changed)
        make_change(session, config.model_copy(update={"defaults": defaults}), base, why, follow)


def rollback(
    *,
    why: Why,
    to: int | None = None,
    follow: FollowOptions = NO_FOLLOW,
    options: CommonOptions = NO_OPTIONS,
) -> None:
    """Bring back an earlier generation's content, as a new generation.

    Parameters
    ----------
    to
        Generation whose content comes back; by default the one before the current.
    """
    with Session(options) as session:
        base = session.require_head()
        target = to if to is not None else _generation_before(session)
        old = session.store.read_config(_find_generation(session, target))
        make_change(session, old, base, why, follow)


def _configuration(
    session: Session, generation: int | None, from_nodes: bool
) -> tuple[ConfigHead, FleetConfig]:
    if from_nodes:
        return session.config_in_force(session.fleet())
    if generation is not None:
        head = _find_generation(session, generation)
    else:
        head = session.require_head().head
    return head, session.store.read_config(head)


def _base_of(
    session: Session,
    loaded: FleetFile,
    current: StoredHead | None,
    based_on: int | None,
    overwrite: bool,
) -> StoredHead | None:
    """Return the head that a file was made from; raise ConflictError when it isn't current."""
    generation = current.head.generation if current else 0
    named = based_on if based_on is not None else loaded.based_on_generation
    if overwrite or named == generation:
        return current
    if named is not None:
        raise session.store.conflict(named)
    if current is None:
        return None
    raise SettingsError(
        errorcodes.BASE_NOT_NAMED,
        f"The file doesn't say which generation it was made from. In force is generation"
        f" {generation} by {current.head.who}: {current.head.why}.",
        f"look at `toucanctl config dry-run FILE`; if the difference is yours alone, repeat with"
        f" --based-on {generation}",
    )


def _find_generation(session: Session, generation: int) -> ConfigHead:
    head = session.store.find_generation(generation)
    if head is None:
        raise SettingsError(
            errorcodes.UNKNOWN_NAME,
            f"There is no generation {generation}.",
            "choose one that `toucanctl config history` lists",
        )
    return head


def _generation_before(session: Session) -> int:
    heads = list(session.store.history(2))
    if len(heads) < 2:
        raise SettingsError(
            errorcodes.UNKNOWN_NAME,
            "There is no generation before the current one.",
            "apply a file in place of rolling back",
        )
    return heads[1].generation


def _write(path: Path, text: str) -> None:
    try:
        path.write_text(text, encoding="utf-8")
    except OSError as error:
        raise SettingsError(
            errorcodes.OPTION_INVALID,
            f"{path} can't be written: {error.strerror}.",
            "name a file in a directory that you may write to",
        ) from error
