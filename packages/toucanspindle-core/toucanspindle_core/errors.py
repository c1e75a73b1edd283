"""Typed errors.

Every error that may reach an operator or a caller is a ToucanError: a registered code, what
went wrong, and a remedy.  One subclass exists per kind that callers of the code tell apart.
"""

from toucanspindle_core.errorcodes import ErrorCode


class ToucanError(Exception):
    """An error with a code and a remedy.

    Invariant: neither the text nor the remedy is empty.
    """

    def __init__(self, code: ErrorCode, text: str, remedy: str) -> None:
        """Create an error: `text` says what is wrong, `remedy` what to do about it."""
        super().__init__(f"{code}: {text} Remedy: {remedy}")
        self.code = code
        self.text = text
        self.remedy = remedy


class SettingsError(ToucanError):
    """Process settings or the fleet configuration are wrong."""


class PlatformError(ToucanError):
    """The platform couldn't be used; the call certainly had no effect."""


class PlatformUncertainError(PlatformError):
    """The platform's answer was lost: a write may or may not have taken effect."""


class ConflictError(PlatformError):
    """A conditional update found another version than the one named."""


class RequestError(ToucanError):
    """A caller's request ends with an error outcome."""


class ControlError(ToucanError):
    """Control traffic between processes failed."""
