"""Settings of toucanctl, merged from options, an environment variable and a TOML file.

An option overrides an environment variable, which overrides the file.  The file is the one named
by `--settings`, or else `~/.toucanctl.toml` when it exists.  The merged values are validated as a
whole.
"""

import getpass
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Final

from cyclopts import Group, Parameter
from pydantic import AfterValidator, Field
from toucanspindle_core import errorcodes
from toucanspindle_core.errors import SettingsError
from toucanspindle_core.fleetconfig import Address, StrictModel
from toucanspindle_core.hostport import HostPort
from toucanspindle_core.processsettings import read_toml, validate_model
from urllib3.exceptions import LocationParseError
from urllib3.util import parse_url

PLATFORM_VARIABLE: Final = "TOUCANCTL_PLATFORM"
DEFAULT_SETTINGS_FILE: Final = ".toucanctl.toml"
COMMON_OPTIONS_GROUP: Final = Group("Options of every command", sort_key=100)


def _check_url(text: str) -> str:
    try:
        url = parse_url(text)
    except LocationParseError as error:
        raise ValueError(f"{text!r} isn't a URL such as http://10.0.0.1:7000") from error
    if url.scheme != "http" or not url.host:
        raise ValueError(f"{text!r} isn't of the form http://IP:port")
    return text


class CtlSettings(StrictModel):
    """Validated settings of toucanctl."""

    platform_url: Annotated[str, AfterValidator(_check_url)] | None = Field(
        None, description="Base URL of the platform, such as http://10.0.0.1:7000."
    )
    agents: list[Address] = Field(
        default_factory=list,
        description="Agents to ask besides those that the platform lists, as IP:port.",
    )
    who: str = Field(
        default_factory=getpass.getuser,
        min_length=1,
        max_length=100,
        description="Name under which changes are recorded; by default the user's login.",
    )
    wait_s: float = Field(
        30.0, gt=0, le=3600, description="Time for which a change is followed to the nodes."
    )


@Parameter(name="*", group=COMMON_OPTIONS_GROUP)
@dataclass(frozen=True)
class CommonOptions:
    """Options that every command takes."""

    platform: Annotated[str | None, Parameter(env_var=PLATFORM_VARIABLE)] = None
    """Base URL of the platform, such as http://10.0.0.1:7000."""

    agent: Annotated[list[str] | None, Parameter(negative=())] = None
    """Agent to ask, as IP:port, besides those that the platform lists; may be repeated."""

    settings: Path | None = None
    """Settings file (TOML); by default ~/.toucanctl.toml when it exists."""

    who: str | None = None
    """Name under which a change is recorded; by default your login."""

    json: Annotated[bool, Parameter(negative=())] = False
    """Print one JSON object for scripts instead of text."""


DEFAULT_OPTIONS: Final = CommonOptions()


def load_ctl_settings(options: CommonOptions) -> CtlSettings:
    """Return the validated settings; raise one SettingsError that lists every fault.

    Also raises SettingsError when the settings file can't be read or isn't TOML.
    """
    path = options.settings or _default_file()
    values: dict[str, Any] = dict(read_toml(path)) if path else {}
    if options.platform is not None:
        values["platform_url"] = options.platform
    if options.agent:
        values["agents"] = options.agent
    if options.who is not None:
        values["who"] = options.who
    origin = f"the options and {path}" if path else "the options"
    return validate_model(CtlSettings, values, origin)


def require_platform(settings: CtlSettings) -> str:
    """Return the platform's URL; raise SettingsError when none is set."""
    if settings.platform_url is None:
        raise SettingsError(
            errorcodes.OPTION_INVALID,
            "No platform is named.",
            f"give --platform http://IP:port, set {PLATFORM_VARIABLE}, or put platform_url into"
            f" ~/{DEFAULT_SETTINGS_FILE}",
        )
    return settings.platform_url


def parse_address(text: str, option: str) -> HostPort:
    """Parse an IP:port address; raise SettingsError that names `option` when it is malformed."""
    try:
        return HostPort.parse(text)
    except ValueError as error:
        raise SettingsError(
            errorcodes.OPTION_INVALID, f"{option} {error}.", "give an address as IP:port"
        ) from error


def _default_file() -> Path | None:
    path = Path(os.environ.get("HOME", "/")) / DEFAULT_SETTINGS_FILE
    return path if path.exists() else None
