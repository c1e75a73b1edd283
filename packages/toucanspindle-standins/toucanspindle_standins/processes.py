"""Starts, stops, kills and pauses processes for tests and the demonstration.

Each process runs a Python module of this virtual environment.  Its output goes to files in a
given folder, so it can still be read after the process has ended.
"""

import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import BinaryIO, Final

from toucanspindle_core.hostport import HostPort

START_TIMEOUT_S: Final = 15.0
STOP_TIMEOUT_S: Final = 15.0
POLL_INTERVAL_S: Final = 0.02


class WaitTimeoutError(AssertionError):
    """A condition didn't become true before its timeout."""


def wait_until(
    condition: Callable[[], object], timeout_s: float = START_TIMEOUT_S, what: str = ""
) -> None:
    """Poll until `condition()` is true; raise WaitTimeoutError after `timeout_s` seconds.

    An OSError raised by the condition counts as false, because the process that the condition asks
    may still be starting.  `what` describes the condition in the error message.
    """
    deadline_s = time.monotonic() + timeout_s
    last_failure = ""
    while time.monotonic() < deadline_s:
        try:
            if condition():
                return
            last_failure = "the condition was false"
        except OSError as error:
            last_failure = repr(error)
        time.sleep(POLL_INTERVAL_S)
    raise WaitTimeoutError(f"timed out after {timeout_s} s: {what or condition} ({last_failure})")


class AddressPool:
    """Allocates free addresses on a loopback IP address that is specific to this process.

    Invariant: no address is allocated twice.
    """

    def __init__(self) -> None:
        """Create a pool; its IP address is derived from the process id."""
        pid = os.getpid()
        self._ip = f"127.{10 + pid // 64_000 % 200}.{pid // 250 % 256}.{2 + pid % 250}"
        self._used: set[int] = set()

    def allocate(self) -> HostPort:
        """Return an address at which no process listens."""
        while True:
            with socket.socket() as probe:
                probe.bind((self._ip, 0))
                port = int(probe.getsockname()[1])
            if port not in self._used:
                self._used.add(port)
                return HostPort(self._ip, port)


def listens(address: HostPort) -> bool:
    """Whether a process accepts connections at an address; a connect waits at most 1 s."""
    try:
        socket.create_connection((address.ip, address.port), timeout=1).close()
    except OSError:
        return False
    return True


class ManagedProcess:
    """One child process that runs a Python module.

    Invariant: the process doesn't run after `close`.
    """

    def __init__(
        self,
        name: str,
        argv: Sequence[str],
        folder: Path,
        variables: Mapping[str, str] | None = None,
    ) -> None:
        """Describe the process `python -m argv...` without starting it.

        Its output is appended to the files `name`.out and `name`.err in `folder`.  `variables` are
        added to the environment.
        """
        self.name = name
        self.argv = list(argv)
        self._folder = folder
        self._environment = dict(variables or {})
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """The process id; the process must have been started."""
        assert self._process is not None
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether the process was started and hasn't ended."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """The exit code, negative for a signal; None while the process runs or isn't started."""
        return self._process.poll() if self._process else None

    def start(self, ready_at: HostPort | None = None) -> None:
        """Start the process; with `ready_at`, wait until it listens at that address.

        Raise AssertionError if the process ends before it listens.
        """
        with self._open_output("out") as out, self._open_output("err") as err:
            self._process = subprocess.Popen(
                [sys.executable, "-m", *self.argv],
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=err,
                env=os.environ | self._environment,
            )
        if ready_at is not None:
            wait_until(
                lambda: self._is_listening(ready_at), what=f"{self.name} listens at {ready_at}"
            )

    def stdout(self) -> str:
        """Return what the process has written to stdout, over all its starts."""
        return self._output_path("out").read_text(encoding="utf-8", errors="replace")

    def stderr(self) -> str:
        """Return what the process has written to stderr, over all its starts."""
        return self._output_path("err").read_text(encoding="utf-8", errors="replace")

    def terminate(self) -> None:
        """Send SIGTERM without waiting for the end of the process."""
        self._send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Send SIGKILL and wait for the end of the process."""
        self._send_signal(signal.SIGKILL)
        self.wait()

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self._send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process with SIGCONT."""
        self._send_signal(signal.SIGCONT)

    def hang_up(self) -> None:
        """Send SIGHUP, as after a change of the settings file."""
        self._send_signal(signal.SIGHUP)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the end of the process and return its exit code.

        Raise WaitTimeoutError after `timeout_s` seconds.
        """
        assert self._process is not None
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired as error:
            raise WaitTimeoutError(f"{self.name} didn't end within {timeout_s} s") from error

    def close(self, grace_s: float = 0.0) -> None:
        """End the process if it runs; it is resumed first in case it is paused.

        With `grace_s`, send SIGTERM and wait that many seconds before SIGKILL.
        """
        if not self.running:
            return
        self.resume()
        if grace_s:
            self.terminate()
            try:
                self.wait(grace_s)
            except WaitTimeoutError:
                pass
        if self.running:
            self.kill()

    def _is_listening(self, address: HostPort) -> bool:
        if not self.running:
            raise AssertionError(f"{self.name} ended with {self.exit_code}: {self.stderr()}")
        return listens(address)

    def _send_signal(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def _output_path(self, stream: str) -> Path:
        return self._folder / f"{self.name}.{stream}"

    def _open_output(self, stream: str) -> BinaryIO:
        return self._output_path(stream).open("ab")
