"""Exception classes.

Every error that may reach an operator or a caller is a ToucanError, with a registered code, a text
and a remedy.  There is one subclass for each kind that the code handles differently.
"""

from toucanspindle_core.errorcodes import ErrorCode


class ToucanError(Exception):
    """An error with a code, a text and a remedy.

    Invariant: the text and the remedy aren't empty.
    """

    def __init__(self, code: ErrorCode, text: str, remedy: str) -> None:
        """Create an error; `text` describes the fault as sentences, `remedy` says how to fix it."""
        super().__init__(f"{code}: {text} Remedy: {remedy}")
        self.code = code
        self.text = text
        self.remedy = remedy


class SettingsError(ToucanError):
    """Process settings, the fleet configuration or a command's options are invalid."""


class PlatformError(ToucanError):
    """The call to the platform failed and certainly had no effect."""


class PlatformUncertainError(PlatformError):
    """The platform's answer was lost or unusable; a write may have taken effect."""


class ConflictError(PlatformError):
    """A conditional update failed, as the stored version isn't the expected one."""


class RequestError(ToucanError):
    """A caller's request ends with outcome NOT_RUN or UNKNOWN; see Outcome.from_error."""


class ControlError(ToucanError):
    """A control message between processes failed or was malformed."""
