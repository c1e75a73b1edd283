"""Entry point of `toucanctl`, the command line for operators and callers.

An expected error (ToucanError, or a wrong command line) is printed to stderr with its code and
remedy, without a traceback.  Each kind of error has its own exit code, see `exitcodes.py`.
"""

import sys
from collections.abc import Sequence

from cyclopts import App, CycloptsError
from toucanspindle_core import errorcodes
from toucanspindle_core.errors import SettingsError, ToucanError

from toucanctl.askcommand import ask
from toucanctl.configapp import config_app
from toucanctl.exceptioncommands import exception_app
from toucanctl.exitcodes import EXIT_CODE_MEANINGS, ExitCode, exit_code_of
from toucanctl.explaincommands import explain_app
from toucanctl.logcommands import beliefs, trace
from toucanctl.output import Output
from toucanctl.statuscommand import status, wait
from toucanctl.targetcommands import drain, undrain
from toucanctl.validatecommand import validate

HELP = """Configure and inspect a toucanspindle fleet.

First steps: `toucanctl validate fleet.toml` checks a file offline. Set the platform's URL once
(`export TOUCANCTL_PLATFORM=http://10.0.0.1:7000`), then `toucanctl status` shows the fleet,
`toucanctl config show` its configuration, and `toucanctl explain service NAME` which settings a
service has and why. Every change needs a reason and is recorded in `toucanctl config history`; with
`--wait` the command waits until every node has the change in force.
"""


def _exit_code_help() -> str:
    codes = "\n".join(f"- {int(code)}: {text}" for code, text in EXIT_CODE_MEANINGS.items())
    return f"Exit codes:\n\n{codes}\n"


app = App(
    name="toucanctl",
    help=HELP,
    help_epilogue=_exit_code_help(),
    help_format="markdown",
    version="0.1.0",
    result_action="return_value",
    suppress_keyboard_interrupt=False,
)
app.command(validate)
app.command(config_app)
app.command(exception_app)
app.command(drain)
app.command(undrain)
app.command(status)
app.command(wait)
app.command(explain_app)
app.command(ask)
app.command(trace)
app.command(beliefs)


def execute(arguments: Sequence[str]) -> ExitCode:
    """Run one command line, without the program name, and return its exit code.

    Prints expected errors; any other exception is raised to the caller.
    """
    output = Output("--json" in arguments)
    try:
        result = app(arguments, exit_on_error=False, print_error=False)
    except CycloptsError as error:
        output.error(_usage_error(error))
        return ExitCode.USAGE
    except ToucanError as error:
        output.error(error)
        return exit_code_of(error)
    except KeyboardInterrupt:
        return ExitCode.INTERRUPTED
    except BrokenPipeError:
        return ExitCode.OK
    return result if isinstance(result, ExitCode) else ExitCode.OK


def _usage_error(error: CycloptsError) -> SettingsError:
    chain = " ".join(error.command_chain or ("toucanctl",))
    remedy = f"see `{chain} --help`"
    return SettingsError(errorcodes.OPTION_INVALID, str(error).strip(), remedy)


def run() -> None:
    """Run the command line in sys.argv and exit the process with its exit code."""
    sys.exit(execute(sys.argv[1:]))


if __name__ == "__main__":
    run()
