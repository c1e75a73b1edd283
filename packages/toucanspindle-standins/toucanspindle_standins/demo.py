"""The demonstration behind ./scripts/demo: a whole fleet on this machine, step by step.

Ends with 0 only if each step's outcome was as stated.  With --keep the fleet is left running
afterwards, until Ctrl-C.
"""

import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Final, Literal

from cyclopts import App
from toucanspindle_core.errors import ToucanError

from toucanspindle_standins.demofleet import DemoFleet
from toucanspindle_standins.demoplaces import find_places
from toucanspindle_standins.demosteps import STORIES, Demo, StepFailedError, Story
from toucanspindle_standins.processes import WaitTimeoutError

NODE_COUNT: Final = 4
EXAMPLES: Final = Path("examples")
EXIT_FAILED: Final = 1

app = App(name="demo", help="Show a whole fleet at work on this machine, with stand-ins.")


@app.default
def demo(*, example: Literal["karoo", "addis"] = "karoo", keep: bool = False) -> int:
    """Run the demonstration; takes about half a minute.

    Parameters
    ----------
    example
        Which of the examples to load.
    keep
        Leave the fleet running afterwards, until Ctrl-C, and print commands to try.
    """
    signal.signal(signal.SIGTERM, _interrupt)
    with tempfile.TemporaryDirectory(prefix="toucanspindle-demo-") as name:
        folder = Path(name)
        places = find_places(EXAMPLES / example / "fleet.toml", NODE_COUNT, folder)
        fleet = DemoFleet(places, folder)
        try:
            return _run(fleet, STORIES[example], keep)
        except KeyboardInterrupt:
            print("\nStopping everything that was started.")
            return EXIT_FAILED
        finally:
            fleet.close()


def _interrupt(number: int, frame: object) -> None:  # noqa: ARG001
    raise KeyboardInterrupt


def _run(fleet: DemoFleet, story: Story, keep: bool) -> int:
    began = time.monotonic()
    try:
        Demo(fleet, story).run()
    except (StepFailedError, WaitTimeoutError, ToucanError, AssertionError, OSError) as error:
        print(f"\nThe demonstration failed: {error}", file=sys.stderr)
        return EXIT_FAILED
    print(f"\nAll steps went as stated, in {time.monotonic() - began:.0f} s.", flush=True)
    if keep:
        _keep_running(fleet, story)
    return 0


def _keep_running(fleet: DemoFleet, story: Story) -> None:
    """Print addresses and commands to try, and wait for Ctrl-C."""
    print("\nThe fleet goes on running. Addresses:")
    print(f"  platform  http://{fleet.places.platform}")
    for node in fleet.nodes:
        state = "" if node.proxy.running else "  (stopped in step 7)"
        print(f"  {node.name:12} callers {node.entry}  agent {node.settings.agent_address}{state}")
    for service in fleet.places.config.services:
        shown = ", ".join(target.address for target in service.targets)
        print(f"  {service.name:12} {shown}")
    print("\nTo try, from another terminal in this folder:")
    for command in commands_to_try(fleet, story):
        print(f"  {command}")
    print("\nCtrl-C stops everything.", flush=True)
    try:
        while True:
            signal.pause()
    except KeyboardInterrupt:
        print("\nStopping everything that was started.", flush=True)


def commands_to_try(fleet: DemoFleet, story: Story) -> list[str]:
    """Return a dozen commands that work against the running fleet."""
    entry = fleet.nodes[0].entry
    lookup, submit = story.lookup_service, story.submit_service
    target = fleet.service(lookup).targets[0]
    account = f"-H 'Toucan-Account: {story.accounts[0]}'"
    return [
        f"export TOUCANCTL_PLATFORM=http://{fleet.places.platform} PATH=$PWD/.venv/bin:$PATH",
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
        f"curl -si {account} http://{entry}{story.lookup_path}/1",
        f"curl -s -X PUT -d '{{\"slow_factor\": 20}}' http://{target.address}/admin/faults",
        f"curl -s http://{fleet.places.platform}/admin/calls",
    ]


if __name__ == "__main__":
    sys.exit(app())
