"""Detects when a target that signalled draining accepts requests again.

A thread polls the target's health endpoint.  Only the drain signal of the response is used, since
the target itself decides on draining; the health that the target reports is ignored.
"""

import threading
from typing import Final

from toucanspindle_node.targetclient import TargetClient
from toucanspindle_node.targetregistry import TargetRegistry

CHECK_INTERVAL_S: Final = 5.0


class DrainWatch:
    """A thread that polls the draining targets every CHECK_INTERVAL_S seconds."""

    def __init__(self, registry: TargetRegistry, client: TargetClient) -> None:
        """Create the thread for the draining targets of `registry`, not started yet."""
        self._registry = registry
        self._client = client
        self._closed = threading.Event()
        self._thread = threading.Thread(target=self._run, name="drain-watch", daemon=True)

    def start(self) -> None:
        """Start polling."""
        self._thread.start()

    def close(self) -> None:
        """Stop polling, and wait for the thread to end."""
        self._closed.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._closed.wait(CHECK_INTERVAL_S):
            for draining in self._registry.draining_targets():
                if self._client.is_draining(draining.target) is False:
                    self._registry.clear_draining(draining)
