"""Finds out when a target that signalled draining takes work again.

Its health endpoint is asked now and then, which is no work; the drain signal on that answer is
the target's own word, unlike the health it reports.
"""

import threading
from typing import Final

from toucanspindle_node.targetclient import TargetClient
from toucanspindle_node.targetregistry import TargetRegistry

CHECK_INTERVAL_S: Final = 5.0


class DrainWatch:
    """A thread that checks on draining targets."""

    def __init__(self, registry: TargetRegistry, client: TargetClient) -> None:
        """Create a watch over the draining targets of a registry."""
        self._registry = registry
        self._client = client
        self._closed = threading.Event()
        self._thread = threading.Thread(target=self._run, name="drain-watch", daemon=True)

    def start(self) -> None:
        """Start checking."""
        self._thread.start()

    def close(self) -> None:
        """Stop checking."""
        self._closed.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._closed.wait(CHECK_INTERVAL_S):
            for draining in self._registry.draining():
                if self._client.is_draining(draining.target) is False:
                    self._registry.forget_draining(draining)
