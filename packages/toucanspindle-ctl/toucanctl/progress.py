"""Waits for the rollout of an accepted change: polls the nodes until all have it in force."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from toucanspindle_core import errorcodes
from toucanspindle_core.clock import Clock
from toucanspindle_core.errors import ControlError

from toucanctl.fleetview import FleetView, NodeView
from toucanctl.output import Output

POLL_INTERVAL_S: Final = 0.5


@dataclass(frozen=True)
class RolloutStatus:
    """Rollout state of a generation: how many nodes are awaited, and which of them lack it.

    `nodes` counts the awaited nodes and `missing` lists those without the generation in force.
    `left` lists the nodes that have left the fleet; they serve no requests and aren't awaited.
    """

    generation: int
    nodes: int
    missing: tuple[NodeView, ...]
    left: tuple[NodeView, ...]
    elapsed_s: float

    def as_json(self) -> dict[str, object]:
        """Return the JSON value that `--json` prints."""
        return {
            "generation": self.generation,
            "nodes": self.nodes,
            "in_force": self.nodes - len(self.missing),
            "missing": [
                {"node": node.name, "has": node.describe_generations()} for node in self.missing
            ],
            "left": [node.name for node in self.left],
            "elapsed_s": round(self.elapsed_s, 3),
        }

    def excluded_lines(self) -> list[str]:
        """Return one line that names the nodes that have left, or no line when there are none."""
        names = ", ".join(node.name for node in self.left)
        return [f"not waited for, since they have left: {names}"] if names else []


@dataclass(frozen=True)
class RolloutMonitor:
    """Polls the fleet until a generation is in force on every awaited node."""

    query_fleet: Callable[[], FleetView]
    output: Output
    clock: Clock
    sleep: Callable[[float], None] = time.sleep

    def wait_for(self, generation: int, wait_s: float) -> RolloutStatus:
        """Wait up to `wait_s` seconds for all nodes to have a generation in force.

        Returns the rollout state at the end of the wait.  Prints a progress line whenever a count
        of nodes changes.  Raises ControlError when no node is known.
        """
        start = self.clock.now()
        last_line = ""
        while True:
            view = self.query_fleet()
            missing = tuple(view.nodes_without(generation))
            elapsed_s = self.clock.now() - start
            left = tuple(view.departed_nodes())
            rollout = RolloutStatus(generation, len(view.awaited_nodes()), missing, left, elapsed_s)
            line = f"in force on {rollout.nodes - len(missing)} of {rollout.nodes} nodes"
            if line != last_line:
                self.output.progress(f"generation {generation}: {line}")
                last_line = line
            if not missing or elapsed_s >= wait_s:
                return rollout
            self.sleep(POLL_INTERVAL_S)


def require_complete_rollout(rollout: RolloutStatus) -> None:
    """Raise ControlError that names the nodes without the generation, if there are any."""
    if not rollout.missing:
        return
    names = "".join(f"\n  {node.name}: {node.describe_generations()}" for node in rollout.missing)
    raise ControlError(
        errorcodes.ROLLOUT_INCOMPLETE,
        f"Generation {rollout.generation} is accepted, and after {rollout.elapsed_s:.1f} s"
        f" {len(rollout.missing)} of {rollout.nodes} nodes don't have it in force:{names}\n",
        f"nodes apply it when they are reachable again; continue with `toucanctl wait --generation"
        f" {rollout.generation}`, and check the nodes named",
    )
