"""Parses addresses and JSON files given on the command line."""

from pathlib import Path

from pydantic import ValidationError
from toucanspindle_core import errorcodes
from toucanspindle_core.errors import SettingsError
from toucanspindle_core.hostport import HostPort
from toucanspindle_core.platformclient import HostList


def parse_address(text: str) -> HostPort:
    """Parse an IP:port address; raise SettingsError if it isn't valid."""
    try:
        return HostPort.parse(text)
    except ValueError as error:
        raise SettingsError(
            errorcodes.ADDRESS_INVALID, f"{error}.", "give an address as IP:port"
        ) from error


def read_host_list(path: Path | None) -> HostList:
    """Return the host list of a JSON file, or an empty list without a path.

    Raise SettingsError if the file can't be read or isn't valid.
    """
    if path is None:
        return HostList(hosts=[])
    try:
        return HostList.model_validate_json(path.read_text(encoding="utf-8"))
    except (OSError, ValidationError) as error:
        raise SettingsError(
            errorcodes.SETTINGS_UNREADABLE,
            f"{path} isn't a valid host list: {error}.",
            'give a JSON file {"hosts": [...]}',
        ) from error
