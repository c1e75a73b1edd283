"""The commands `toucanctl trace` and `toucanctl beliefs`, which read log files offline."""

from pathlib import Path

from toucanspindle_core import errorcodes
from toucanspindle_core.errors import SettingsError

from toucanctl.ctlsettings import DEFAULT_OPTIONS, CommonOptions
from toucanctl.hostlog import (
    LogLine,
    lines_of_request,
    lines_of_target,
    read_lines,
    related_failures,
)
from toucanctl.session import Session

SAMPLING_REMEDY = "only one in 20 of the served requests is logged; name the files of all hosts"


def trace(request_id: str, *files: Path, options: CommonOptions = DEFAULT_OPTIONS) -> None:
    """Show the log lines of one request from several hosts: attempts, trust changes, refusals, end.

    Then shows failures and trust changes of the same targets that other hosts logged within 5 s.
    Contacts neither the platform nor a node.

    Parameters
    ----------
    request_id
        Id that the caller set for the request.
    files
        Files with the standard output of entry hosts.
    """
    with Session(options) as session:
        lines = read_lines(files)
        matching = lines_of_request(lines, request_id)
        if not matching:
            raise _not_found_error(
                f"No line of {len(lines)} names request {request_id}.", SAMPLING_REMEDY
            )
        origin_s = matching[0].unix_time_s
        related = related_failures(lines, matching)
        text = [f"request {request_id}, times after its first line:"]
        text += [line.format(origin_s) for line in matching]
        if related:
            text.append("failures and trust changes of the same targets in other lines:")
            text += [line.format(origin_s) for line in related]
        value = {
            "request": request_id,
            "lines": [_line_json(line) for line in matching],
            "around": [_line_json(line) for line in related],
        }
        session.output.result(text, value)


def beliefs(target: str, *files: Path, options: CommonOptions = DEFAULT_OPTIONS) -> None:
    """Show all log lines of a target: registration, failures, and changes of brokers' trust.

    Parameters
    ----------
    target
        Id of the target.
    files
        Files with the standard output of entry hosts.
    """
    with Session(options) as session:
        lines = read_lines(files)
        matching = lines_of_target(lines, target)
        if not matching:
            raise _not_found_error(
                f"No line of {len(lines)} names target {target}.",
                "check the id; log lines show it as target=ID",
            )
        text = [f"target {target}, times after its first line:"]
        text += [line.format(matching[0].unix_time_s) for line in matching]
        session.output.result(
            text, {"target": target, "lines": [_line_json(line) for line in matching]}
        )


def _line_json(line: LogLine) -> dict[str, object]:
    return {"at": line.unix_time_s, "source": line.source, **line.fields}


def _not_found_error(text: str, remedy: str) -> SettingsError:
    return SettingsError(errorcodes.OPTION_INVALID, text, remedy)
