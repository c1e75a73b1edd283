"""Reads the log lines that entry hosts write to standard output, and finds what belongs together.

A line is `TIME LEVEL CHANNEL event=NAME key=value ...`, perhaps after what a collector put before
it, such as the host's name.  A request's life is found in two steps: its own lines by its id, then
the broker's lines by the ids of the asks that its lines name.  A target's life is every line that
names it, with the beliefs that brokers held.
"""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from toucanspindle_core import errorcodes
from toucanspindle_core.errors import SettingsError

_LINE: Final = re.compile(
    r"^(?P<prefix>.*?)(?P<at>\d{6,}\.\d+) (?P<level>[A-Z]+) (?P<channel>\w+) (?P<keys>event=.*)$"
)
_KEY: Final = re.compile(r"(?P<name>\w+)=(?P<value>'[^']*'|\"[^\"]*\"|\S*)")
# Lines of another host about the same target within this time may be the cause of a failure.
NEARBY_S: Final = 5.0
BELIEF_EVENTS: Final = frozenset({"target_distrusted", "target_trusted"})


@dataclass(frozen=True)
class LogLine:
    """One line; `at` is the writing host's time of day in Unix seconds, `source` its name."""

    at: float
    source: str
    event: str
    keys: dict[str, str]

    def text(self, begin_at: float) -> str:
        """Return the line for people, with its time in milliseconds after `begin_at`."""
        keys = " ".join(f"{key}={value}" for key, value in self.keys.items() if key != "event")
        return f"{(self.at - begin_at) * 1000:+9.0f} ms  {self.source:<20} {self.event}  {keys}"


def read_lines(files: Iterable[Path]) -> list[LogLine]:
    """Return the log lines of all files by time; raise SettingsError for an unreadable file."""
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
        lines += _parse(text.splitlines(), file.stem)
    return sorted(lines, key=lambda line: line.at)


def life_of_request(lines: list[LogLine], request_id: str) -> list[LogLine]:
    """Return the lines of a request: its hosts' own, and the brokers' about its asks."""
    asks = {line.keys.get("ask") for line in lines if line.keys.get("id") == request_id} - {
        None,
        "",
    }
    return [
        line for line in lines if line.keys.get("id") == request_id or line.keys.get("ask") in asks
    ]


def around_failures(lines: list[LogLine], life: list[LogLine]) -> list[LogLine]:
    """Return other hosts' failures and beliefs of the targets that failed a request."""
    failed = [line for line in life if line.event == "attempt_failed"]
    return [
        line
        for line in lines
        if line not in life
        and (line.event == "attempt_failed" or line.event in BELIEF_EVENTS)
        and any(
            line.keys.get("target") == bad.keys.get("target") and abs(line.at - bad.at) <= NEARBY_S
            for bad in failed
        )
    ]


def life_of_target(lines: list[LogLine], target: str) -> list[LogLine]:
    """Return every line that names a target."""
    return [line for line in lines if line.keys.get("target") == target]


def _parse(texts: Iterable[str], default_source: str) -> Iterator[LogLine]:
    for text in texts:
        found = _LINE.match(text)
        if found is None:
            continue
        keys = {key["name"]: key["value"].strip("'\"") for key in _KEY.finditer(found["keys"])}
        words = found["prefix"].split()
        yield LogLine(
            float(found["at"]), words[-1] if words else default_source, keys["event"], keys
        )
