"""The `toucanctl config` commands that show or change the configuration.

They are show, dry-run, apply, set and rollback.
"""

from pathlib import Path
from typing import Annotated

from cyclopts import Parameter
from toucanspindle_core import errorcodes
from toucanspindle_core.configchain import StoredHead
from toucanspindle_core.errors import SettingsError
from toucanspindle_core.fleetconfig import FleetConfig
from toucanspindle_core.fleetdiff import compare_configs
from toucanspindle_core.fleetfile import (
    FleetFile,
    dump_fleet,
    load_fleet_file,
    write_base_generation,
)
from toucanspindle_core.objects import ConfigHead

from toucanctl.changes import (
    DEFAULT_FOLLOW_OPTIONS,
    FollowOptions,
    Why,
    diff_json,
    diff_lines,
    head_json,
    submit_change,
)
from toucanctl.ctlsettings import DEFAULT_OPTIONS, CommonOptions
from toucanctl.session import Session
from toucanctl.settingvalue import parse_setting

# A flag without the --no-... form that cyclopts adds by default.
Flag = Annotated[bool, Parameter(negative=())]


def show(
    *,
    generation: int | None = None,
    output: Path | None = None,
    from_nodes: Flag = False,
    options: CommonOptions = DEFAULT_OPTIONS,
) -> None:
    """Print the configuration as a TOML file that you can edit and apply.

    The first line, based_on_generation, lets `config apply` reject the file if another change was
    accepted in the meantime.

    Parameters
    ----------
    generation
        Show this generation instead of the current one.
    output
        Write to this file instead of standard output.
    from_nodes
        Show the newest configuration that the nodes have; works while the platform is unreachable.
    """
    with Session(options) as session:
        head, config = _select_config(session, generation, from_nodes)
        text = dump_fleet(config, head.generation)
        value = {"head": head_json(head), "config": config.model_dump(mode="json")}
        if output is None:
            session.output.result([text.rstrip()], value)
            return
        _write_file(output, text)
        line = f"generation {head.generation} written to {output}"
        session.output.result([line], {"head": head_json(head), "file": str(output)})


def dry_run(file: Path, *, options: CommonOptions = DEFAULT_OPTIONS) -> None:
    """Show what applying a file would change, and which services are affected.

    Writes nothing.

    Parameters
    ----------
    file
        Fleet file (TOML).
    """
    with Session(options) as session:
        loaded = load_fleet_file(file)
        base = session.config_store.read_head()
        before = session.config_store.read_config(base.head) if base else None
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
    follow: FollowOptions = DEFAULT_FOLLOW_OPTIONS,
    based_on: int | None = None,
    overwrite: Flag = False,
    update_file: Flag = False,
    options: CommonOptions = DEFAULT_OPTIONS,
) -> None:
    """Replace the fleet's configuration with the content of a file.

    The whole file is accepted as one new generation, or nothing is. The generation that the
    file was made from must be named, so that the file doesn't silently undo another operator's
    change: by based_on_generation in the file (as `config show` writes it) or by --based-on.
    --overwrite skips this check.

    Parameters
    ----------
    file
        Fleet file (TOML).
    based_on
        Generation that the file was made from.
    overwrite
        Replace the current configuration without checking for other changes.
    update_file
        Set based_on_generation in the file to the accepted generation, ready for the next edit.
    """
    with Session(options) as session:
        loaded = load_fleet_file(file)
        current = session.config_store.read_head()
        base = _resolve_base(session, loaded, current, based_on, overwrite)
        accepted = submit_change(session, loaded.config, base, why, follow)
        if accepted is None:
            return
        if update_file:
            write_base_generation(file, accepted.head.generation)
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
    follow: FollowOptions = DEFAULT_FOLLOW_OPTIONS,
    options: CommonOptions = DEFAULT_OPTIONS,
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
        config = session.config_store.read_config(base.head)
        changed = parse_setting(setting, value)
        defaults = config.defaults.model_copy(update=changed)
        submit_change(session, config.model_copy(update={"defaults": defaults}), base, why, follow)


def rollback(
    *,
    why: Why,
    to: int | None = None,
    follow: FollowOptions = DEFAULT_FOLLOW_OPTIONS,
    options: CommonOptions = DEFAULT_OPTIONS,
) -> None:
    """Accept the content of an earlier generation as a new generation.

    Parameters
    ----------
    to
        Generation to restore; by default the one before the current.
    """
    with Session(options) as session:
        base = session.require_head()
        target_generation = to if to is not None else _previous_generation(session)
        old = session.config_store.read_config(_require_generation(session, target_generation))
        submit_change(session, old, base, why, follow)


def _select_config(
    session: Session, generation: int | None, from_nodes: bool
) -> tuple[ConfigHead, FleetConfig]:
    """Return the nodes' newest configuration, the given generation, or else the current one."""
    if from_nodes:
        return session.newest_node_config(session.query_fleet())
    if generation is not None:
        head = _require_generation(session, generation)
    else:
        head = session.require_head().head
    return head, session.config_store.read_config(head)


def _resolve_base(
    session: Session,
    loaded: FleetFile,
    current: StoredHead | None,
    based_on: int | None,
    overwrite: bool,
) -> StoredHead | None:
    """Return the current head, None if there is none, as the base of the change.

    Raises ConflictError when the file was made from another generation, and SettingsError when
    neither the file nor `based_on` names a generation.  `overwrite` skips these checks.
    """
    generation = current.head.generation if current else 0
    base_generation = based_on if based_on is not None else loaded.based_on_generation
    if overwrite or base_generation == generation:
        return current
    if base_generation is not None:
        raise session.config_store.conflict_error(base_generation)
    if current is None:
        return None
    raise SettingsError(
        errorcodes.BASE_GENERATION_MISSING,
        f"The file doesn't say which generation it was made from. The platform holds generation"
        f" {generation} by {current.head.who}: {current.head.why}.",
        f"run `toucanctl config dry-run FILE`; if it shows only your own changes, repeat with"
        f" --based-on {generation}",
    )


def _require_generation(session: Session, generation: int) -> ConfigHead:
    head = session.config_store.find_generation(generation)
    if head is None:
        raise SettingsError(
            errorcodes.UNKNOWN_NAME,
            f"There is no generation {generation}.",
            "choose a generation that `toucanctl config history` lists",
        )
    return head


def _previous_generation(session: Session) -> int:
    heads = list(session.config_store.history(2))
    if len(heads) < 2:
        raise SettingsError(
            errorcodes.UNKNOWN_NAME,
            "There is no generation before the current one.",
            "apply a file instead of rolling back",
        )
    return heads[1].generation


def _write_file(path: Path, text: str) -> None:
    try:
        path.write_text(text, encoding="utf-8")
    except OSError as error:
        raise SettingsError(
            errorcodes.OPTION_INVALID,
            f"{path} can't be written: {error.strerror}.",
            "name a file in a directory that you can write to",
        ) from error
