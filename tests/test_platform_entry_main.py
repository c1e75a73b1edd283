"""Tests of the entry point of the process on the platform."""

import subprocess
import sys
from pathlib import Path
from typing import Final

from testtools import TestCase

PLATFORM_FOLDER: Final = Path(__file__).parent.parent / "platform"
# Stops the import of the entry point at its first library.
LOAD_HALF: Final = """
import signal, sys
sys.path.insert(0, sys.argv[1])
sys.modules["logbook"] = None
try:
    import entry_main
except ImportError:
    print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)
"""


class StartTests(TestCase):
    # Guards against a process that ends when its settings change while it starts.
    def test_hang_up_is_ignored_before_the_libraries_are_loaded(self) -> None:
        result = subprocess.run(
            [sys.executable, "-c", LOAD_HALF, str(PLATFORM_FOLDER)],
            capture_output=True,
            text=True,
            timeout=30,
            check=True,
        )
        self.assertEqual("True", result.stdout.strip())
