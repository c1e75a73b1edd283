"""Exit codes of toucanctl, for scripts."""

from enum import IntEnum

from toucanspindle_core import errorcodes
from toucanspindle_core.errors import ConflictError, ControlError, ToucanError


class ExitCode(IntEnum):
    """What a command ended with; the values never change."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNCERTAIN = 3
    CONFLICT = 4
    AWAY = 5
    NOT_EVERYWHERE = 6
    INTERRUPTED = 130


MEANINGS = {
    ExitCode.OK: "done",
    ExitCode.REFUSED: "refused or failed; nothing was changed",
    ExitCode.USAGE: "the command line is wrong",
    ExitCode.UNCERTAIN: "whether the change was accepted isn't known; ask with `config find`",
    ExitCode.CONFLICT: "another change was accepted first; nothing of yours was",
    ExitCode.AWAY: "the platform or the nodes can't be reached; nothing was changed",
    ExitCode.NOT_EVERYWHERE: "accepted, and not in force on every node when the wait ended",
    ExitCode.INTERRUPTED: "interrupted by Ctrl-C",
}

_BY_CODE = {
    errorcodes.CHANGE_UNCERTAIN: ExitCode.UNCERTAIN,
    errorcodes.PLATFORM_AWAY: ExitCode.AWAY,
    errorcodes.NOT_EVERYWHERE: ExitCode.NOT_EVERYWHERE,
}


def exit_code_of(error: ToucanError) -> ExitCode:
    """Return the exit code that reports an error."""
    if isinstance(error, ConflictError):
        return ExitCode.CONFLICT
    if isinstance(error, ControlError):
        return _BY_CODE.get(error.code, ExitCode.AWAY)
    return _BY_CODE.get(error.code, ExitCode.REFUSED)
