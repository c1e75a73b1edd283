"""Commands on exceptions: `toucanctl exception ...`."""

from datetime import UTC, datetime, timedelta
from typing import Any

from cyclopts import App
from toucanspindle_core import errorcodes
from toucanspindle_core.errors import SettingsError
from toucanspindle_core.fleetconfig import ExceptionModel, FleetConfig
from toucanspindle_core.policy import utc
from toucanspindle_core.processsettings import validate_model

from toucanctl.changes import NO_FOLLOW, FollowOptions, Why, make_change
from toucanctl.ctlsettings import NO_OPTIONS, CommonOptions
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
    follow: FollowOptions = NO_FOLLOW,
    options: CommonOptions = NO_OPTIONS,
) -> None:
    """Let one service differ from the defaults, for a written reason.

    Example: `toucanctl exception add lotbook deadline_ms=5000 --reason "the yard link is slow"
    --expires-in 2h`

    Parameters
    ----------
    service
        Service that the exception is for.
    changes
        What differs, as SETTING=VALUE; several may follow each other.
    reason
        Why; at least 8 characters, shown by `explain` and kept in the history.
    id
        Name of the exception; by default made from the service and the settings.
    expires
        When it stops to apply, such as 2027-01-31T18:00:00+02:00; UTC if no zone is named.
    expires_in
        For how long it applies, such as 90m or 2h, in place of --expires.
    """
    with Session(options) as session:
        base = session.require_head()
        config = session.store.read_config(base.head)
        values: dict[str, Any] = {
            "id": id or _make_id(service, changes),
            "service": service,
            "reason": reason,
            "expires": _expiry(expires, expires_in),
            "settings": parse_settings(changes),
        }
        exception = validate_model(ExceptionModel, values, "the command line")
        _check_new(config, exception)
        changed = config.model_copy(update={"exceptions": [*config.exceptions, exception]})
        make_change(session, changed, base, reason, follow)


@exception_app.command
def remove(
    id: str, *, why: Why, follow: FollowOptions = NO_FOLLOW, options: CommonOptions = NO_OPTIONS
) -> None:
    """Remove an exception, so that the defaults apply again.

    Parameters
    ----------
    id
        Name of the exception, as `exception list` shows it.
    """
    with Session(options) as session:
        base = session.require_head()
        config = session.store.read_config(base.head)
        rest = [item for item in config.exceptions if item.id != id]
        if len(rest) == len(config.exceptions):
            known = ", ".join(item.id for item in config.exceptions) or "there are none"
            raise SettingsError(
                errorcodes.UNKNOWN_NAME,
                f"There is no exception {id!r}.",
                f"choose one of: {known}",
            )
        make_change(session, config.model_copy(update={"exceptions": rest}), base, why, follow)


@exception_app.command(name="list")
def list_exceptions(service: str | None = None, *, options: CommonOptions = NO_OPTIONS) -> None:
    """List the exceptions with their settings, reason and expiry.

    Parameters
    ----------
    service
        List only those of this service.
    """
    with Session(options) as session:
        head = session.require_head().head
        config = session.store.read_config(head)
        chosen = [item for item in config.exceptions if service in {None, item.service}]
        rows = [_row(item) for item in chosen]
        lines = table(("id", "service", "settings", "expires", "reason"), rows)
        values = [item.model_dump(mode="json", exclude_none=True) for item in chosen]
        session.output.result(lines, {"generation": head.generation, "exceptions": values})


def _row(item: ExceptionModel) -> tuple[str, str, str, str, str]:
    changed = item.settings.model_dump(exclude_none=True)
    settings = ", ".join(f"{name}={value}" for name, value in changed.items())
    return (item.id, item.service, settings, _expiry_text(item), item.reason)


def _expiry_text(item: ExceptionModel) -> str:
    if item.expires is None:
        return "never"
    expires = utc(item.expires)
    text = expires.astimezone(UTC).strftime("%Y-%m-%d %H:%MZ")
    return f"{text} (expired)" if expires <= datetime.now(UTC) else text


def _expiry(expires: datetime | None, expires_in: timedelta | None) -> datetime | None:
    if expires is not None and expires_in is not None:
        raise SettingsError(
            errorcodes.OPTION_INVALID,
            "--expires and --expires-in are both given.",
            "give one of them",
        )
    now = datetime.now(UTC)
    moment = now + expires_in if expires_in is not None else expires
    if moment is None:
        return None
    if utc(moment) <= now:
        raise SettingsError(
            errorcodes.OPTION_INVALID,
            f"The expiry {moment.isoformat()} isn't ahead.",
            "give a moment after now, or none for an exception that stays",
        )
    return utc(moment).replace(microsecond=0)


def _make_id(service: str, settings: list[str]) -> str:
    """Return an id that says what the exception is about, such as lotbook-deadline-ms."""
    names = [item.partition("=")[0].strip() for item in settings]
    return f"{service}-{'-'.join(names)}".replace("_", "-")[:63].rstrip("-")


def _check_new(config: FleetConfig, exception: ExceptionModel) -> None:
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
            f"There is an exception {exception.id!r} already.",
            f"choose another --id, or remove the old one with `toucanctl exception remove"
            f" {exception.id}`",
        )
