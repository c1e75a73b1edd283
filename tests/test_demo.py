"""Tests of ./scripts/demo for both examples, run from the command line."""

import os
import signal
import subprocess
from pathlib import Path
from typing import Final

import pytest
from testtools import TestCase
from toucanspindle_core.hostport import HostPort

from tests.harness import listens, wait_until

ROOT: Final = Path(__file__).parent.parent
DEMO: Final = ROOT / "scripts" / "demo"
RUN_TIMEOUT_S: Final = 120.0
COMMAND_TIMEOUT_S: Final = 60.0
STEPS: Final = 7

# Both demonstrations use the same addresses, so one worker runs them sequentially.
pytestmark = pytest.mark.xdist_group("demo")


class DemoTests(TestCase):
    """Runs of the whole demonstration."""

    def test_addis_goes_as_stated(self) -> None:
        done = subprocess.run(
            [DEMO, "--example", "addis"],
            capture_output=True,
            text=True,
            timeout=RUN_TIMEOUT_S,
            check=False,
        )
        self.assertEqual(0, done.returncode, done.stdout + done.stderr)
        self.assertIn("All steps went as stated", done.stdout)
        for step in range(1, STEPS + 1):
            self.assertIn(f"] {step}. ", done.stdout)

    def test_karoo_kept_takes_commands_and_stops_on_interrupt(self) -> None:
        process = subprocess.Popen(
            [DEMO, "--keep"], stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
        )
        self.addCleanup(stop_demo, process)
        output = read_until(process, "Ctrl-C stops everything.")
        commands = commands_of(output)
        self.assertGreaterEqual(len(commands), 12)
        for command in commands[1:]:
            done = run_command(commands[0], command)
            self.assertEqual(0, done.returncode, f"{command}: {done.stdout}{done.stderr}")
        platform = HostPort.parse(commands[0].split("http://")[1].split()[0])
        self.assertTrue(listens(platform))
        process.send_signal(signal.SIGINT)
        self.assertEqual(0, process.wait(COMMAND_TIMEOUT_S))
        wait_until(lambda: not listens(platform))


def read_until(process: "subprocess.Popen[str]", last_line: str) -> str:
    """Return the output up to and including a line; raise AssertionError if it ends before."""
    assert process.stdout is not None
    lines = []
    for line in process.stdout:
        lines.append(line)
        if line.strip() == last_line:
            return "".join(lines)
    raise AssertionError(f"the demonstration ended early:\n{''.join(lines)}")


def commands_of(output: str) -> list[str]:
    """Return the printed commands to try; the first one sets the environment."""
    section = output.split("To try, from another terminal in this folder:\n")[1]
    return [line.strip() for line in section.splitlines() if line.startswith("  ")]


def run_command(environment: str, command: str) -> "subprocess.CompletedProcess[str]":
    """Run a printed command in a shell with the printed environment."""
    return subprocess.run(
        ["bash", "-c", f"{environment}; {command}"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
        check=False,
    )


def stop_demo(process: "subprocess.Popen[str]") -> None:
    """Stop the demonstration if it still runs; on SIGTERM it ends its child processes."""
    if process.poll() is None:
        os.kill(process.pid, signal.SIGTERM)
        process.wait(COMMAND_TIMEOUT_S)
    if process.stdout is not None:
        process.stdout.close()
