"""Settings of the whole suite: fixed seeds, and the known failing tests.

Each entry of KNOWN-RED.txt starts with a line "test: <node id>".  Those tests still run, and
their failure doesn't fail the suite; an entry that names no collected test does.
"""

from pathlib import Path

import hypothesis
import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"

hypothesis.settings.register_profile("ci", derandomize=True, deadline=None, database=None)
hypothesis.settings.load_profile("ci")


def known_red_ids() -> set[str]:
    """Return the node ids listed in KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.removeprefix("test:").strip() for line in lines if line.startswith("test:")}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the known failing tests."""
    red = known_red_ids()
    for item in items:
        if item.nodeid in red:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt"))
