"""Parses and validates service settings given on the command line."""

import tomllib
from typing import Any

from toucanspindle_core import errorcodes
from toucanspindle_core.errors import SettingsError
from toucanspindle_core.fleetconfig import ServiceSettingsPatch
from toucanspindle_core.processsettings import validate_model


def parse_setting(name: str, text: str) -> dict[str, Any]:
    """Return {name: value} for one setting; raise SettingsError when it is unknown or invalid."""
    return parse_settings([f"{name}={text}"])


def parse_settings(items: list[str]) -> dict[str, Any]:
    """Return the validated values of "name=value" items by name.

    Raises SettingsError for a malformed item, for unknown names, or with all invalid values.
    """
    values: dict[str, Any] = {}
    for assignment in items:
        name, separator, text = assignment.partition("=")
        if not separator:
            raise SettingsError(
                errorcodes.OPTION_INVALID,
                f"{assignment!r} isn't of the form SETTING=VALUE.",
                "write for example deadline_ms=5000",
            )
        values[name.strip()] = _parse_scalar(text.strip())
    unknown = sorted(set(values) - set(ServiceSettingsPatch.model_fields))
    if unknown:
        known = ", ".join(ServiceSettingsPatch.model_fields)
        raise SettingsError(
            errorcodes.UNKNOWN_NAME,
            f"There is no setting {', '.join(unknown)}.",
            f"choose from {known}",
        )
    patch = validate_model(ServiceSettingsPatch, values, "the command line")
    return patch.model_dump(exclude_none=True)


def _parse_scalar(text: str) -> Any:
    """Return the TOML value that `text` stands for, or `text` itself when it isn't valid TOML."""
    try:
        return tomllib.loads(f"value = {text}")["value"]
    except tomllib.TOMLDecodeError:
        return text
