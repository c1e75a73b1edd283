"""Replaces the configuration head conditionally, once, although answers can be lost.

After a lost answer the head and its chain are searched for the change's own id before the same
replace is tried again.  A second replace of the same version can't take effect twice, because it
names the version that the first would have replaced.

Steps of spec/configuration.py: SendReplace, ReceiveReply, StopWaiting, FindChange.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from toucanspindle_core import errorcodes
from toucanspindle_core.clock import Clock, MonotonicClock
from toucanspindle_core.configchain import HeadChain, ObjectStore, StoredHead
from toucanspindle_core.configparts import ConfigPartError
from toucanspindle_core.errors import (
    ConflictError,
    PlatformError,
    PlatformUncertainError,
    ToucanError,
)
from toucanspindle_core.objects import CONFIG_KIND, HEAD_NAME, ConfigHead

UNCERTAIN_PATIENCE_S: Final = 10.0
RETRY_PAUSE_S: Final = 0.25


@dataclass(frozen=True)
class Patience:
    """How long a lost answer is asked after, and how to wait in between."""

    total_s: float = UNCERTAIN_PATIENCE_S
    clock: Clock = field(default_factory=MonotonicClock)
    pause: Callable[[float], None] = time.sleep

    def wait(self) -> None:
        """Wait before the next try."""
        self.pause(RETRY_PAUSE_S)


class Acceptance:
    """One conditional replace of the head, until its outcome is known.

    Invariant: every attempt names the same version and writes the same head, so that at most one
    takes effect.
    """

    def __init__(
        self,
        objects: ObjectStore,
        head: ConfigHead,
        base: StoredHead | None,
        patience: Patience,
    ) -> None:
        """Create the replace of `base`, None for the first head, by `head`."""
        self._objects = objects
        self._chain = HeadChain(objects)
        self._head = head
        self._base = base
        self._patience = patience
        self._uncertain = False

    def run(self) -> bool:
        """Return whether the head was accepted; False when another one came first.

        Raises PlatformUncertainError with the change id when the outcome isn't known, and
        PlatformError when certainly nothing was written.
        """
        clock = self._patience.clock
        deadline = clock.now() + self._patience.total_s
        while True:
            try:
                return self._attempt()
            except PlatformUncertainError as error:
                failure: ToucanError = error
                self._uncertain = True
            except (PlatformError, ConfigPartError) as error:
                if not self._uncertain:
                    raise
                failure = error
            if clock.now() >= deadline:
                raise self._outcome_open(failure) from failure
            self._patience.wait()

    def _attempt(self) -> bool:
        if self._uncertain and self._took_effect():
            return True
        try:
            self._write()
        except ConflictError:
            return self._took_effect()
        return True

    def _write(self) -> None:
        value = self._head.model_dump(mode="json")
        if self._base is None:
            self._objects.create(CONFIG_KIND, HEAD_NAME, value)
        else:
            self._objects.replace(CONFIG_KIND, HEAD_NAME, value, self._base.version)

    def _took_effect(self) -> bool:
        """Look for the own change id in the head and the heads before it."""
        base_generation = self._base.head.generation if self._base else 0
        found = self._chain.find_change(self._head.change_id, base_generation)
        return found is not None

    def _outcome_open(self, error: ToucanError) -> PlatformUncertainError:
        change_id = self._head.change_id
        return PlatformUncertainError(
            errorcodes.CHANGE_UNCERTAIN,
            f"Whether change {change_id} was accepted isn't known: {error.text}",
            f"ask with `toucanctl config find {change_id}` once the platform answers; apply"
            " again only if that says it wasn't accepted",
        )
