"""Reads addresses and JSON files named on the command line."""

from pathlib import Path

from pydantic import ValidationError
from toucanspindle_core import errorcodes
from toucanspindle_core.errors import SettingsError
from toucanspindle_core.hostport import HostPort
from toucanspindle_core.platformclient import HostList


def parse_address(text: str) -> HostPort:
    """Parse an address; raise SettingsError."""
    try:
        return HostPort.parse(text)
    except ValueError as error:
        raise SettingsError(
            errorcodes.ADDRESS_INVALID, f"{error}.", "name an address as IP:port"
        ) from error


def read_host_list(path: Path | None) -> HostList:
    """Read a host list from a JSON file, or return an empty one; raise SettingsError."""
    if path is None:
        return HostList(hosts=[])
    try:
        return HostList.model_validate_json(path.read_text(encoding="utf-8"))
    except (OSError, ValidationError) as error:
        raise SettingsError(
            errorcodes.SETTINGS_UNREADABLE,
            f"{path} isn't a host list: {error}.",
            'name a JSON file {"hosts": [...]}',
        ) from error
