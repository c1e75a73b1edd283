"""Prints results as text or as one JSON object, and errors with code and remedy."""

import json
import sys
from collections.abc import Iterable, Sequence
from typing import Any

from toucanspindle_core.errors import ToucanError


class Output:
    """Where a command prints: results to stdout, progress and errors to stderr.

    Invariant: with `as_json`, stdout gets exactly one JSON object and nothing else.
    """

    def __init__(self, as_json: bool) -> None:
        """Create an output of text, or of JSON."""
        self._as_json = as_json

    def result(self, lines: Iterable[str], value: Any) -> None:
        """Print a result: the lines as text, or the value as JSON."""
        if self._as_json:
            print(json.dumps(value, indent=2, default=str))
            return
        for line in lines:
            print(line)

    def progress(self, line: str) -> None:
        """Print a line of progress; scripts get it on stderr."""
        print(line, file=sys.stderr if self._as_json else sys.stdout, flush=True)

    def warn(self, line: str) -> None:
        """Print a warning to stderr."""
        print(f"warning: {line}", file=sys.stderr)

    def error(self, error: ToucanError) -> None:
        """Print an error with its code and remedy to stderr."""
        if self._as_json:
            value = {"code": error.code.name, "text": error.text, "remedy": error.remedy}
            print(json.dumps({"error": value}), file=sys.stderr)
            return
        print(f"error {error.code}: {error.text.rstrip()}", file=sys.stderr)
        print(f"remedy: {error.remedy}", file=sys.stderr)


def table(titles: Sequence[str], rows: Sequence[Sequence[Any]]) -> list[str]:
    """Return the lines of a table with aligned columns."""
    texts = [list(titles), *[[str(cell) for cell in row] for row in rows]]
    widths = [max(len(line[column]) for line in texts) for column in range(len(titles))]
    return [
        "  ".join(cell.ljust(w) for cell, w in zip(line, widths, strict=True)).rstrip()
        for line in texts
    ]


def indent(lines: Iterable[str]) -> list[str]:
    """Return lines moved to the right."""
    return [f"  {line}" for line in lines]
