"""Processes for tests and the demonstration: start, stop, kill, pause, and wait on conditions.

Each process runs a module of this virtual environment.  Its output goes to files in a folder
of the caller's, so that a failure can be explained after the process has gone.
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
    """A condition didn't become true in time."""


def wait_until(
    condition: Callable[[], object], timeout_s: float = START_TIMEOUT_S, what: str = ""
) -> None:
    """Wait until `condition()` is true; raise WaitTimeoutError after `timeout_s`.

    An OSError of the condition counts as "not yet": what it asks may not be up.
    """
    end = time.monotonic() + timeout_s
    last = ""
    while time.monotonic() < end:
        try:
            if condition():
                return
            last = "the condition was false"
        except OSError as error:
            last = repr(error)
        time.sleep(POLL_INTERVAL_S)
    raise WaitTimeoutError(f"not within {timeout_s} s: {what or condition} ({last})")


class AddressPool:
    """Hands out free addresses on one loopback IP number that is this process's own.

    Invariant: no address is handed out twice.
    """

    def __init__(self) -> None:
        """Create a pool; its IP number follows from the process id."""
        pid = os.getpid()
        self._ip = f"127.{10 + pid // 64_000 % 200}.{pid // 250 % 256}.{2 + pid % 250}"
        self._used: set[int] = set()

    def take(self) -> HostPort:
        """Return an address on which nothing listens."""
        while True:
            with socket.socket() as probe:
                probe.bind((self._ip, 0))
                port = int(probe.getsockname()[1])
            if port not in self._used:
                self._used.add(port)
                return HostPort(self._ip, port)


def listens(address: HostPort) -> bool:
    """Whether something accepts connections at an address."""
    try:
        socket.create_connection((address.ip, address.port), timeout=1).close()
    except OSError:
        return False
    return True


class ManagedProcess:
    """One process that this one started.

    Invariant: after `close` the process is gone.
    """

    def __init__(
        self,
        name: str,
        argv: Sequence[str],
        folder: Path,
        variables: Mapping[str, str] | None = None,
    ) -> None:
        """Describe `python -m argv...`; output goes to files named after `name` in `folder`.

        `variables` are added to the environment.
        """
        self.name = name
        self.argv = list(argv)
        self._folder = folder
        self._variables = dict(variables or {})
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """The process id."""
        assert self._process is not None
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether the process is alive."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """The exit code, negative for a signal; None while it runs."""
        return self._process.poll() if self._process else None

    def start(self, ready_at: HostPort | None = None) -> None:
        """Start the process; with `ready_at`, wait until it listens there."""
        with self._output("out") as out, self._output("err") as err:
            self._process = subprocess.Popen(
                [sys.executable, "-m", *self.argv],
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=err,
                env=os.environ | self._variables,
            )
        if ready_at is not None:
            wait_until(lambda: self._ready(ready_at), what=f"{self.name} listens at {ready_at}")

    def stdout(self) -> str:
        """Return what it wrote to stdout so far."""
        return self._path("out").read_text(encoding="utf-8", errors="replace")

    def stderr(self) -> str:
        """Return what it wrote to stderr so far."""
        return self._path("err").read_text(encoding="utf-8", errors="replace")

    def terminate(self) -> None:
        """Send SIGTERM and return at once."""
        self._signal(signal.SIGTERM)

    def kill(self) -> None:
        """Send SIGKILL and wait until it is gone."""
        self._signal(signal.SIGKILL)
        self.wait()

    def pause(self) -> None:
        """Send SIGSTOP."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Send SIGCONT."""
        self._signal(signal.SIGCONT)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the end and return the exit code; raise WaitTimeoutError."""
        assert self._process is not None
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired as error:
            raise WaitTimeoutError(f"{self.name} didn't end within {timeout_s} s") from error

    def close(self, grace_s: float = 0.0) -> None:
        """End the process: SIGTERM and `grace_s` seconds first, then SIGKILL."""
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

    def _ready(self, address: HostPort) -> bool:
        if not self.running:
            raise AssertionError(f"{self.name} ended with {self.exit_code}: {self.stderr()}")
        return listens(address)

    def _signal(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def _path(self, stream: str) -> Path:
        return self._folder / f"{self.name}.{stream}"

    def _output(self, stream: str) -> BinaryIO:
        return self._path(stream).open("ab")
