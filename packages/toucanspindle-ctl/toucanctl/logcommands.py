"""Commands that read the hosts' logs offline: `toucanctl trace` and `toucanctl beliefs`."""

from pathlib import Path

from toucanspindle_core import errorcodes
from toucanspindle_core.errors import SettingsError

from toucanctl.ctlsettings import NO_OPTIONS, CommonOptions
from toucanctl.hostlog import (
    LogLine,
    around_failures,
    life_of_request,
    life_of_target,
    read_lines,
)
from toucanctl.session import Session

SAMPLED = "only one in 20 of the served requests is logged; name all hosts' files"


def trace(request_id: str, *files: Path, options: CommonOptions = NO_OPTIONS) -> None:
    """Show the life of a request over several hosts' logs: attempts, beliefs, refusals, end.

    Below it stand the failures of the same targets that other hosts saw within 5 s.  Needs neither
    the platform nor a node.

    Parameters
    ----------
    request_id
        Id that the caller gave the request.
    files
        Files with the standard output of entry hosts.
    """
    with Session(options) as session:
        lines = read_lines(files)
        life = life_of_request(lines, request_id)
        if not life:
            raise _nothing(f"No line of {len(lines)} names request {request_id}.", SAMPLED)
        begin_at = life[0].at
        around = around_failures(lines, life)
        text = [f"request {request_id}, times after its first line:"]
        text += [line.text(begin_at) for line in life]
        if around:
            text.append("the same targets, as others saw them:")
            text += [line.text(begin_at) for line in around]
        value = {
            "request": request_id,
            "lines": [_json(line) for line in life],
            "around": [_json(line) for line in around],
        }
        session.output.result(text, value)


def beliefs(target: str, *files: Path, options: CommonOptions = NO_OPTIONS) -> None:
    """Show what hosts logged of a target: registration, failures, and when brokers lost trust.

    Parameters
    ----------
    target
        Id of the target.
    files
        Files with the standard output of entry hosts.
    """
    with Session(options) as session:
        lines = read_lines(files)
        life = life_of_target(lines, target)
        if not life:
            raise _nothing(
                f"No line of {len(lines)} names target {target}.",
                "check the id, as it stands in target= of other lines",
            )
        text = [f"target {target}, times after its first line:"]
        text += [line.text(life[0].at) for line in life]
        session.output.result(text, {"target": target, "lines": [_json(line) for line in life]})


def _json(line: LogLine) -> dict[str, object]:
    return {"at": line.at, "source": line.source, **line.keys}


def _nothing(text: str, remedy: str) -> SettingsError:
    return SettingsError(errorcodes.OPTION_INVALID, text, remedy)
