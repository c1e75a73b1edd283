"""Parses settings given on the command line as name and value."""

import tomllib
from typing import Any

from toucanspindle_core import errorcodes
from toucanspindle_core.errors import SettingsError
from toucanspindle_core.fleetconfig import ServiceSettingsPatch
from toucanspindle_core.processsettings import validate_model


def parse_setting(name: str, text: str) -> dict[str, Any]:
    """Return the checked value of one setting by its name; raise SettingsError."""
    return parse_settings([f"{name}={text}"])


def parse_settings(items: list[str]) -> dict[str, Any]:
    """Return the checked values of "name=value" items; raise SettingsError listing all faults."""
    values: dict[str, Any] = {}
    for item in items:
        name, separator, text = item.partition("=")
        if not separator:
            raise SettingsError(
                errorcodes.OPTION_INVALID,
                f"{item!r} isn't of the form SETTING=VALUE.",
                "write for example deadline_ms=5000",
            )
        values[name.strip()] = _scalar(text.strip())
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


def _scalar(text: str) -> Any:
    try:
        return tomllib.loads(f"value = {text}")["value"]
    except tomllib.TOMLDecodeError:
        return text
