"""Reads the log lines that entry hosts write to standard output, and finds related lines.

A line has the form `TIME LEVEL CHANNEL event=NAME key=value ...`.  A log collector may have put a
prefix before it, such as the host's name.  The lines of a request are found in two steps: first
those with its id, then the brokers' lines with the ids of the slot requests (key `ask`) that the
first lines name.  The lines of a target are all lines that name it, including the changes of the
brokers' trust in it.
"""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from toucanspindle_core import errorcodes
from toucanspindle_core.errors import SettingsError

_LINE_PATTERN: Final = re.compile(
    r"^(?P<prefix>.*?)(?P<at>\d{6,}\.\d+) (?P<level>[A-Z]+) (?P<channel>\w+) (?P<keys>event=.*)$"
)
_FIELD_PATTERN: Final = re.compile(r"(?P<name>\w+)=(?P<value>'[^']*'|\"[^\"]*\"|\S*)")
# Lines of other hosts about the same target within this time may show the cause of a failure.
RELATED_FAILURE_WINDOW_S: Final = 5.0
TRUST_EVENTS: Final = frozenset({"target_distrusted", "target_trusted"})


@dataclass(frozen=True)
class LogLine:
    """One parsed line: `unix_time_s` by the clock of the host that wrote it.

    `source` is the host's name from the line's prefix, or else the name of the file without suffix.
    """

    unix_time_s: float
    source: str
    event: str
    fields: dict[str, str]

    def format(self, origin_s: float) -> str:
        """Return the line as readable text, with its time in milliseconds after `origin_s`."""
        pairs = " ".join(f"{key}={value}" for key, value in self.fields.items() if key != "event")
        return (
            f"{(self.unix_time_s - origin_s) * 1000:+9.0f} ms"
            f"  {self.source:<20} {self.event}  {pairs}"
        )


def read_lines(files: Iterable[Path]) -> list[LogLine]:
    """Return the log lines of all files, sorted by time; other lines are skipped.

    Raises SettingsError when a file can't be read.
    """
    lines: list[LogLine] = []
    for file in files:
        try:
            text = file.read_text(errors="replace")
        except OSError as error:
            raise SettingsError(
                errorcodes.OPTION_INVALID,
                f"The log file {file} can't be read: {error.strerror}.",
                "name files that hold the hosts' standard output",
            ) from error
        lines += _parse_lines(text.splitlines(), file.stem)
    return sorted(lines, key=lambda line: line.unix_time_s)


def lines_of_request(lines: list[LogLine], request_id: str) -> list[LogLine]:
    """Return the lines with the request's id, and the brokers' lines about its slot requests."""
    slot_request_ids = {
        line.fields.get("ask") for line in lines if line.fields.get("id") == request_id
    } - {None, ""}
    return [
        line
        for line in lines
        if line.fields.get("id") == request_id or line.fields.get("ask") in slot_request_ids
    ]


def related_failures(lines: list[LogLine], request_lines: list[LogLine]) -> list[LogLine]:
    """Return failures and trust changes, in other lines, of the targets that failed a request.

    Only lines within RELATED_FAILURE_WINDOW_S of a failed attempt of the request are returned.
    """
    failed = [line for line in request_lines if line.event == "attempt_failed"]
    return [
        line
        for line in lines
        if line not in request_lines
        and (line.event == "attempt_failed" or line.event in TRUST_EVENTS)
        and any(
            line.fields.get("target") == failure.fields.get("target")
            and abs(line.unix_time_s - failure.unix_time_s) <= RELATED_FAILURE_WINDOW_S
            for failure in failed
        )
    ]


def lines_of_target(lines: list[LogLine], target: str) -> list[LogLine]:
    """Return every line whose field `target` is the given id."""
    return [line for line in lines if line.fields.get("target") == target]


def _parse_lines(raw_lines: Iterable[str], default_source: str) -> Iterator[LogLine]:
    for raw_line in raw_lines:
        match = _LINE_PATTERN.match(raw_line)
        if match is None:
            continue
        fields = {
            pair["name"]: pair["value"].strip("'\"")
            for pair in _FIELD_PATTERN.finditer(match["keys"])
        }
        prefix_words = match["prefix"].split()
        yield LogLine(
            float(match["at"]),
            prefix_words[-1] if prefix_words else default_source,
            fields["event"],
            fields,
        )
