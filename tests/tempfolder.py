"""A temporary folder for one test."""

import tempfile
from pathlib import Path

from testtools import TestCase


def temporary_folder(case: TestCase) -> Path:
    """Return a new folder that is removed after the test."""
    folder = tempfile.TemporaryDirectory()
    case.addCleanup(folder.cleanup)
    return Path(folder.name)
