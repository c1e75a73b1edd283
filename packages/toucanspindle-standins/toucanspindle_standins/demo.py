"""The demonstration behind ./scripts/demo, which runs a whole fleet on this machine.

The exit code is 0 only if all checks of all steps passed.  With --keep, the fleet runs on after the
last step until Ctrl-C.
"""

import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Final, Literal

from cyclopts import App
from toucanspindle_core.errors import ToucanError

from toucanspindle_standins.demoaddresses import find_free_addresses
from toucanspindle_standins.demofleet import DemoFleet
from toucanspindle_standins.demosteps import SCENARIOS, Demo, DemoScenario, StepFailedError
from toucanspindle_standins.processes import WaitTimeoutError

NODE_COUNT: Final = 4
EXAMPLES: Final = Path("examples")
EXIT_FAILED: Final = 1

app = App(name="demo", help="Run a whole fleet on this machine with stand-ins and check it.")


@app.default
def demo(*, example: Literal["karoo", "addis"] = "karoo", keep: bool = False) -> int:
    """Run the demonstration, which takes about half a minute.

    Parameters
    ----------
    example
        Example whose fleet file is loaded.
    keep
        Keep the fleet running until Ctrl-C after the last step, and print commands to try.
    """
    signal.signal(signal.SIGTERM, _raise_keyboard_interrupt)
    with tempfile.TemporaryDirectory(prefix="toucanspindle-demo-") as name:
        folder = Path(name)
        demo_addresses = find_free_addresses(EXAMPLES / example / "fleet.toml", NODE_COUNT, folder)
        fleet = DemoFleet(demo_addresses, folder)
        try:
            return _run_steps(fleet, SCENARIOS[example], keep)
        except KeyboardInterrupt:
            print("\nStopping all processes of the demonstration.")
            return EXIT_FAILED
        finally:
            fleet.close()


def _raise_keyboard_interrupt(number: int, frame: object) -> None:  # noqa: ARG001
    raise KeyboardInterrupt


def _run_steps(fleet: DemoFleet, scenario: DemoScenario, keep: bool) -> int:
    started_at_s = time.monotonic()
    try:
        Demo(fleet, scenario).run()
    except (StepFailedError, WaitTimeoutError, ToucanError, AssertionError, OSError) as error:
        print(f"\nThe demonstration failed: {error}", file=sys.stderr)
        return EXIT_FAILED
    print(f"\nAll steps went as stated, in {time.monotonic() - started_at_s:.0f} s.", flush=True)
    if keep:
        _keep_running(fleet, scenario)
    return 0


def _keep_running(fleet: DemoFleet, scenario: DemoScenario) -> None:
    """Print the addresses and commands to try, and wait for Ctrl-C."""
    print("\nThe fleet is still running. Addresses:")
    print(f"  platform  http://{fleet.demo_addresses.platform}")
    for node in fleet.nodes:
        state = "" if node.proxy.running else "  (stopped in step 7)"
        print(f"  {node.name:12} callers {node.entry}  agent {node.settings.agent_address}{state}")
    for service in fleet.demo_addresses.config.services:
        addresses = ", ".join(target.address for target in service.targets)
        print(f"  {service.name:12} {addresses}")
    print("\nTo try, from another terminal in this folder:")
    for command in commands_to_try(fleet, scenario):
        print(f"  {command}")
    print("\nCtrl-C stops everything.", flush=True)
    try:
        while True:
            signal.pause()
    except KeyboardInterrupt:
        print("\nStopping all processes of the demonstration.", flush=True)


def commands_to_try(fleet: DemoFleet, scenario: DemoScenario) -> list[str]:
    """Return commands to try against the running fleet; the first one sets the environment."""
    entry = fleet.nodes[0].entry
    lookup, submit = scenario.lookup_service, scenario.submit_service
    target = fleet.service(lookup).targets[0]
    account = f"-H 'Toucan-Account: {scenario.accounts[0]}'"
    return [
        f"export TOUCANCTL_PLATFORM=http://{fleet.demo_addresses.platform} "
        "PATH=$PWD/.venv/bin:$PATH",
        "toucanctl status",
        f"toucanctl explain service {lookup}",
        f"toucanctl explain target {lookup}/{target.name}",
        "toucanctl config history",
        "toucanctl config show",
        "toucanctl exception list",
        f"toucanctl drain {lookup}/{target.name} --why 'new roof' --wait",
        f"toucanctl undrain {lookup}/{target.name} --why 'roof is done' --wait",
        "toucanctl config rollback --help",
        f"curl -s http://{entry}/.toucan/directory/{submit}",
        f"curl -si {account} http://{entry}{scenario.lookup_path}/1",
        f"curl -s -X PUT -d '{{\"slow_factor\": 20}}' http://{target.address}/admin/faults",
        f"curl -s http://{fleet.demo_addresses.platform}/admin/calls",
    ]


if __name__ == "__main__":
    sys.exit(app())
