"""Prints results as text or as one JSON object, and errors with their code and remedy."""

import json
import sys
from collections.abc import Iterable, Sequence
from typing import Any

from toucanspindle_core.errors import ToucanError


class Output:
    """Prints results to stdout, and warnings and errors to stderr.

    Invariant: with `as_json`, stdout gets one JSON object for each result and nothing else;
    progress lines go to stderr.
    """

    def __init__(self, as_json: bool) -> None:
        """Create an output that prints JSON if `as_json` is true, and text otherwise."""
        self._as_json = as_json

    def result(self, lines: Iterable[str], value: Any) -> None:
        """Print a result: the lines as text, or the value as JSON."""
        if self._as_json:
            print(json.dumps(value, indent=2, default=str))
            return
        for line in lines:
            print(line)

    def progress(self, line: str) -> None:
        """Print a progress line at once: to stdout for text, to stderr for JSON."""
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


def table(headings: Sequence[str], rows: Sequence[Sequence[Any]]) -> list[str]:
    """Return the heading line and the row lines of a table with left-aligned columns."""
    text_rows = [list(headings), *[[str(cell) for cell in row] for row in rows]]
    widths = [max(len(row[column]) for row in text_rows) for column in range(len(headings))]
    return [
        "  ".join(cell.ljust(w) for cell, w in zip(row, widths, strict=True)).rstrip()
        for row in text_rows
    ]


def indent(lines: Iterable[str]) -> list[str]:
    """Return the lines, each indented by two spaces."""
    return [f"  {line}" for line in lines]
