"""Process harness of the integration tests.

The helpers that the demonstration also needs are in the stand-ins package and re-exported here.
This module adds a test case that owns processes and ends them even when the test fails.
"""

import tempfile
from pathlib import Path
from typing import Any, Final

from testtools import TestCase
from toucanspindle_core.fleetconfig import FleetConfig
from toucanspindle_core.hostport import HostPort
from toucanspindle_standins.fleet import Fleet, FleetOptions
from toucanspindle_standins.httpcall import (
    BrokenAnswerError,
    HttpResult,
    get_json,
    http_call,
    put_json,
)
from toucanspindle_standins.processes import (
    AddressPool,
    ManagedProcess,
    WaitTimeoutError,
    listens,
    wait_until,
)
from toucanspindle_standins.smallfleet import small_fleet

__all__ = [
    "ADDRESSES",
    "BrokenAnswerError",
    "Fleet",
    "FleetOptions",
    "HttpResult",
    "ManagedProcess",
    "ProcessTestCase",
    "WaitTimeoutError",
    "get_json",
    "http_call",
    "listens",
    "put_json",
    "small_fleet",
    "wait_until",
]

ADDRESSES: Final = AddressPool()
STANDINS: Final = "toucanspindle_standins.main"


class ProcessTestCase(TestCase):
    """A test case with a temporary folder, and processes that are ended with the test."""

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory(prefix="toucanspindle-test-")
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def start_process(
        self, name: str, *argv: str, ready_at: HostPort | None = None
    ) -> ManagedProcess:
        """Start `python -m argv...`; it is killed at the end of the test."""
        process = ManagedProcess(name, argv, self.folder)
        self.addCleanup(process.close)
        process.start(ready_at)
        return process

    def start_platform(self) -> HostPort:
        """Start a stand-in platform and return its address."""
        address = ADDRESSES.allocate()
        argv = (STANDINS, "platform", "--address", str(address))
        self.start_process("platform", *argv, ready_at=address)
        return address

    def start_target(self, name: str, **options: Any) -> tuple[ManagedProcess, HostPort]:
        """Start a stand-in target with a run log at `folder/name.log`.

        `options` are those of `toucan-standins target`, such as `slots=2`.
        """
        address = ADDRESSES.allocate()
        argv = [STANDINS, "target", "--address", str(address), "--name", name]
        options = {"service": "lotbook", "log": self.folder / f"{name}.log"} | options
        for option, value in options.items():
            argv += [f"--{option.replace('_', '-')}", str(value)]
        return self.start_process(name, *argv, ready_at=address), address

    def start_fleet(self, config: FleetConfig, options: FleetOptions | None = None) -> Fleet:
        """Start a fleet and wait until it serves; it ends with the test."""
        fleet = Fleet(config, self.folder, ADDRESSES, options or FleetOptions())
        self.addCleanup(fleet.close)
        fleet.start()
        return fleet
