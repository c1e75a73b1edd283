"""Converts bind errors of listening sockets into errors with a code and a remedy."""

import errno

from toucanspindle_core import errorcodes
from toucanspindle_core.errors import SettingsError
from toucanspindle_core.hostport import HostPort


def explain_bind_error(setting: str, address: HostPort, error: OSError) -> SettingsError:
    """Return the SettingsError for the OSError of binding `address`, the value of `setting`."""
    if error.errno == errno.EADDRNOTAVAIL:
        return SettingsError(
            errorcodes.ADDRESS_INVALID,
            f"{setting} = {address} isn't an address of this host.",
            f"set {setting} to an IP number of this host",
        )
    if error.errno == errno.EADDRINUSE or "in use" in str(error):
        return SettingsError(
            errorcodes.ADDRESS_IN_USE,
            f"{setting} = {address} is in use by another process.",
            f"end that process or set {setting} to a free port",
        )
    return SettingsError(
        errorcodes.ADDRESS_INVALID,
        f"{setting} = {address} can't be used: {error}.",
        f"set {setting} to an IP number of this host and a free port",
    )
