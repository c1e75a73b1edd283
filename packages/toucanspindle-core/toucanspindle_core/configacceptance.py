"""Replaces the configuration head conditionally, exactly once even if answers are lost.

After a lost answer the code searches the head and its predecessors for the id of the change before
it tries the same replace again.  The replace can't take effect twice: every attempt names the same
version, and the first attempt that takes effect changes that version.

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

UNCERTAIN_RETRY_S: Final = 10.0
RETRY_PAUSE_S: Final = 0.25


@dataclass(frozen=True)
class RetryPolicy:
    """Retries after a lost answer: total time in seconds, clock, and sleep function."""

    total_s: float = UNCERTAIN_RETRY_S
    clock: Clock = field(default_factory=MonotonicClock)
    pause: Callable[[float], None] = time.sleep

    def wait(self) -> None:
        """Sleep RETRY_PAUSE_S before the next attempt."""
        self.pause(RETRY_PAUSE_S)


class HeadReplacement:
    """One conditional replace of the head, repeated until its outcome is known.

    Invariant: every attempt names the same version and writes the same head, so at most one
    attempt takes effect.
    """

    def __init__(
        self,
        objects: ObjectStore,
        head: ConfigHead,
        base: StoredHead | None,
        retry_policy: RetryPolicy,
    ) -> None:
        """Prepare to replace `base` by `head`; `base` is None if there is no head yet."""
        self._objects = objects
        self._chain = HeadChain(objects)
        self._head = head
        self._base = base
        self._retry_policy = retry_policy
        self._uncertain = False

    def run(self) -> bool:
        """Return True if the head was accepted, False if another change was accepted first.

        Raises PlatformUncertainError with the change id if the outcome is still unknown after the
        total retry time, and PlatformError or ConfigPartError if certainly nothing was written.
        """
        clock = self._retry_policy.clock
        deadline = clock.now() + self._retry_policy.total_s
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
                raise self._outcome_unknown_error(failure) from failure
            self._retry_policy.wait()

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
        """Return whether the head or one of its predecessors has the id of this change."""
        base_generation = self._base.head.generation if self._base else 0
        found = self._chain.find_change(self._head.change_id, base_generation)
        return found is not None

    def _outcome_unknown_error(self, error: ToucanError) -> PlatformUncertainError:
        change_id = self._head.change_id
        return PlatformUncertainError(
            errorcodes.CHANGE_UNCERTAIN,
            f"It isn't known whether change {change_id} was accepted: {error.text}",
            f"run `toucanctl config find {change_id}` once the platform answers; apply the"
            " change again only if that reports that it wasn't accepted",
        )
