"""The commands `toucanctl exception add`, `remove` and `list`."""

from datetime import UTC, datetime, timedelta
from typing import Any

from cyclopts import App
from toucanspindle_core import errorcodes
from toucanspindle_core.errors import SettingsError
from toucanspindle_core.fleetconfig import ExceptionModel, FleetConfig
from toucanspindle_core.policy import assume_utc
from toucanspindle_core.processsettings import validate_model

from toucanctl.changes import DEFAULT_FOLLOW_OPTIONS, FollowOptions, Why, submit_change
from toucanctl.ctlsettings import DEFAULT_OPTIONS, CommonOptions
from toucanctl.output import table
from toucanctl.session import Session
from toucanctl.settingvalue import parse_settings

exception_app = App(
    name="exception",
    help="Add, list and remove exceptions: settings of one service that differ from the defaults.",
)


@exception_app.command
def add(
    service: str,
    changes: list[str],
    /,
    *,
    reason: str,
    id: str | None = None,
    expires: datetime | None = None,
    expires_in: timedelta | None = None,
    follow: FollowOptions = DEFAULT_FOLLOW_OPTIONS,
    options: CommonOptions = DEFAULT_OPTIONS,
) -> None:
    """Add an exception: settings of one service that differ from the defaults.

    Example: `toucanctl exception add lotbook deadline_ms=5000 --reason "the yard link is slow"
    --expires-in 2h`

    Parameters
    ----------
    service
        Service that the exception applies to.
    changes
        Settings that differ, as SETTING=VALUE; one or more.
    reason
        Why the exception is needed; at least 8 characters, shown by `explain` and kept in the
        history.
    id
        Id of the exception; by default built from the service and the settings.
    expires
        Time at which the exception stops applying, such as 2027-01-31T18:00:00+02:00; in UTC if it
        has no time zone.
    expires_in
        Duration for which the exception applies, such as 90m or 2h; use it instead of --expires.
    """
    with Session(options) as session:
        base = session.require_head()
        config = session.config_store.read_config(base.head)
        values: dict[str, Any] = {
            "id": id or _default_exception_id(service, changes),
            "service": service,
            "reason": reason,
            "expires": _resolve_expiry(expires, expires_in),
            "settings": parse_settings(changes),
        }
        exception = validate_model(ExceptionModel, values, "the command line")
        _validate_new_exception(config, exception)
        changed = config.model_copy(update={"exceptions": [*config.exceptions, exception]})
        submit_change(session, changed, base, reason, follow)


@exception_app.command
def remove(
    id: str,
    *,
    why: Why,
    follow: FollowOptions = DEFAULT_FOLLOW_OPTIONS,
    options: CommonOptions = DEFAULT_OPTIONS,
) -> None:
    """Remove an exception; the defaults apply to the service again.

    Parameters
    ----------
    id
        Id of the exception, as `exception list` shows it.
    """
    with Session(options) as session:
        base = session.require_head()
        config = session.config_store.read_config(base.head)
        rest = [item for item in config.exceptions if item.id != id]
        if len(rest) == len(config.exceptions):
            known = ", ".join(item.id for item in config.exceptions) or "there are none"
            raise SettingsError(
                errorcodes.UNKNOWN_NAME,
                f"There is no exception {id!r}.",
                f"choose one of: {known}",
            )
        submit_change(session, config.model_copy(update={"exceptions": rest}), base, why, follow)


@exception_app.command(name="list")
def list_exceptions(
    service: str | None = None, *, options: CommonOptions = DEFAULT_OPTIONS
) -> None:
    """List the exceptions with their settings, reason and expiry.

    Parameters
    ----------
    service
        List only the exceptions of this service.
    """
    with Session(options) as session:
        head = session.require_head().head
        config = session.config_store.read_config(head)
        chosen = [item for item in config.exceptions if service in {None, item.service}]
        rows = [_table_row(item) for item in chosen]
        lines = table(("id", "service", "settings", "expires", "reason"), rows)
        values = [item.model_dump(mode="json", exclude_none=True) for item in chosen]
        session.output.result(lines, {"generation": head.generation, "exceptions": values})


def _table_row(item: ExceptionModel) -> tuple[str, str, str, str, str]:
    changed = item.settings.model_dump(exclude_none=True)
    settings = ", ".join(f"{name}={value}" for name, value in changed.items())
    return (item.id, item.service, settings, _expiry_text(item), item.reason)


def _expiry_text(item: ExceptionModel) -> str:
    if item.expires is None:
        return "never"
    expires = assume_utc(item.expires)
    text = expires.astimezone(UTC).strftime("%Y-%m-%d %H:%MZ")
    return f"{text} (expired)" if expires <= datetime.now(UTC) else text


def _resolve_expiry(expires: datetime | None, expires_in: timedelta | None) -> datetime | None:
    """Return the time of expiry in whole seconds, or None if neither argument is given.

    Raises SettingsError when both are given or the time isn't in the future.
    """
    if expires is not None and expires_in is not None:
        raise SettingsError(
            errorcodes.OPTION_INVALID,
            "--expires and --expires-in are both given.",
            "give one of them",
        )
    now = datetime.now(UTC)
    expiry = now + expires_in if expires_in is not None else expires
    if expiry is None:
        return None
    if assume_utc(expiry) <= now:
        raise SettingsError(
            errorcodes.OPTION_INVALID,
            f"The expiry {expiry.isoformat()} isn't in the future.",
            "give a time in the future, or no expiry for a permanent exception",
        )
    return assume_utc(expiry).replace(microsecond=0)


def _default_exception_id(service: str, settings: list[str]) -> str:
    """Return an id of at most 63 characters from service and settings: lotbook-deadline-ms."""
    names = [item.partition("=")[0].strip() for item in settings]
    return f"{service}-{'-'.join(names)}".replace("_", "-")[:63].rstrip("-")


def _validate_new_exception(config: FleetConfig, exception: ExceptionModel) -> None:
    names = [service.name for service in config.services]
    if exception.service not in names:
        raise SettingsError(
            errorcodes.UNKNOWN_NAME,
            f"There is no service {exception.service!r}.",
            f"choose one of: {', '.join(names)}",
        )
    if exception.id in {item.id for item in config.exceptions}:
        raise SettingsError(
            errorcodes.OPTION_INVALID,
            f"There is already an exception {exception.id!r}.",
            f"choose another --id, or remove the old one with `toucanctl exception remove"
            f" {exception.id}`",
        )
