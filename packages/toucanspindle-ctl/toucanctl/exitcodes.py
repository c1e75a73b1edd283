"""Exit codes of toucanctl, for scripts."""

from enum import IntEnum

from toucanspindle_core import errorcodes
from toucanspindle_core.errors import ConflictError, ControlError, ToucanError


class ExitCode(IntEnum):
    """Exit code of a command; scripts depend on the values, so they never change."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    OUTCOME_UNKNOWN = 3
    CONFLICT = 4
    UNREACHABLE = 5
    ROLLOUT_INCOMPLETE = 6
    INTERRUPTED = 130


EXIT_CODE_MEANINGS = {
    ExitCode.OK: "done",
    ExitCode.REFUSED: "refused or failed; nothing was changed",
    ExitCode.USAGE: "the command line is wrong",
    ExitCode.OUTCOME_UNKNOWN: "whether the change was accepted isn't known; ask with `config find`",
    ExitCode.CONFLICT: "another change was accepted first; nothing of yours was",
    ExitCode.UNREACHABLE: "the platform or the nodes can't be reached; nothing was changed",
    ExitCode.ROLLOUT_INCOMPLETE: "accepted, and not in force on every node when the wait ended",
    ExitCode.INTERRUPTED: "interrupted by Ctrl-C",
}

_EXIT_CODE_BY_ERROR_CODE = {
    errorcodes.CHANGE_UNCERTAIN: ExitCode.OUTCOME_UNKNOWN,
    errorcodes.PLATFORM_UNREACHABLE: ExitCode.UNREACHABLE,
    errorcodes.ROLLOUT_INCOMPLETE: ExitCode.ROLLOUT_INCOMPLETE,
}


def exit_code_of(error: ToucanError) -> ExitCode:
    """Return the exit code for an error.

    Every ConflictError has the code CONFLICT; the others are looked up by their error code.  An
    error code without an entry means UNREACHABLE for a ControlError and REFUSED otherwise.
    """
    if isinstance(error, ConflictError):
        return ExitCode.CONFLICT
    if isinstance(error, ControlError):
        return _EXIT_CODE_BY_ERROR_CODE.get(error.code, ExitCode.UNREACHABLE)
    return _EXIT_CODE_BY_ERROR_CODE.get(error.code, ExitCode.REFUSED)
