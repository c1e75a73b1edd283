"""Follows a change from its acceptance until every node has it in force."""

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
class Spread:
    """How far a generation has come: the nodes awaited, and those that don't have it.

    Nodes that have left serve nobody and aren't awaited.
    """

    generation: int
    nodes: int
    missing: tuple[NodeView, ...]
    left: tuple[NodeView, ...]
    elapsed_s: float

    def as_json(self) -> dict[str, object]:
        """Return the JSON value that scripts get."""
        return {
            "generation": self.generation,
            "nodes": self.nodes,
            "in_force": self.nodes - len(self.missing),
            "missing": [{"node": m.name, "has": m.shortfall()} for m in self.missing],
            "left": [node.name for node in self.left],
            "elapsed_s": round(self.elapsed_s, 3),
        }

    def left_lines(self) -> list[str]:
        """Return the line that names the nodes that weren't awaited, if there are any."""
        names = ", ".join(node.name for node in self.left)
        return [f"not waited for, since they have left: {names}"] if names else []


@dataclass(frozen=True)
class Follower:
    """Asks the fleet again and again how far a generation has come."""

    ask_fleet: Callable[[], FleetView]
    output: Output
    clock: Clock
    pause: Callable[[float], None] = time.sleep

    def follow(self, generation: int, wait_s: float) -> Spread:
        """Return how far a generation has come once all nodes have it or the time is over.

        Prints a line whenever the number of nodes changes.  Raises ControlError when no node is
        known.
        """
        start = self.clock.now()
        last_line = ""
        while True:
            view = self.ask_fleet()
            missing = tuple(view.missing(generation))
            elapsed_s = self.clock.now() - start
            left = tuple(view.left())
            spread = Spread(generation, len(view.awaited()), missing, left, elapsed_s)
            line = f"in force on {spread.nodes - len(missing)} of {spread.nodes} nodes"
            if line != last_line:
                self.output.progress(f"generation {generation}: {line}")
                last_line = line
            if not missing or elapsed_s >= wait_s:
                return spread
            self.pause(POLL_INTERVAL_S)


def require_everywhere(spread: Spread) -> None:
    """Raise ControlError naming the nodes that don't have a generation."""
    if not spread.missing:
        return
    names = "".join(f"\n  {node.name}: {node.shortfall()}" for node in spread.missing)
    raise ControlError(
        errorcodes.NOT_EVERYWHERE,
        f"Generation {spread.generation} is accepted, and after {spread.elapsed_s:.1f} s"
        f" {len(spread.missing)} of {spread.nodes} nodes don't have it in force:{names}\n",
        f"nodes take it when they are heard again; look on with `toucanctl wait --generation"
        f" {spread.generation}`, and check the nodes named",
    )
