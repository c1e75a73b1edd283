"""Faults of a stand-in target, and the random choice of the requests that they affect."""

import random
import time
import zlib
from collections.abc import Callable
from typing import Literal

from pydantic import Field
from toucanspindle_core.fleetconfig import StrictModel

Share = float


class TargetFaults(StrictModel):
    """Configured faults; a share is the fraction of requests that a fault affects."""

    slow_factor: float = Field(1.0, gt=0, description="Multiplies the service time.")
    slow_share: float = Field(1.0, ge=0, le=1, description="Share that slow_factor affects.")
    wrong_share: float = Field(0.0, ge=0, le=1, description="Share answered wrongly.")
    wrong_kind: Literal["error", "corrupt"] = Field(
        "error", description="A wrong answer is a 500, or a 200 with a corrupt body."
    )
    wrong_account_bucket: int | None = Field(
        None, ge=0, description="Accounts whose CRC-32 falls in the bucket are answered wrongly."
    )
    account_buckets: int = Field(16, ge=1, description="Number of account buckets.")
    answer_fault: Literal["none", "cut", "broken-chunk", "length-too-long", "length-too-short"] = (
        Field("none", description="How the bytes of an answer are damaged.")
    )
    answer_fault_share: float = Field(1.0, ge=0, le=1)
    crossed_share: float = Field(
        0.0, ge=0, le=1, description="Share answered with the previous request's answer."
    )
    answer_delay_ms: float = Field(0.0, ge=0, description="Delay of an answer after its run.")
    crash_marker: str = Field("", description="Text in path, header or body that causes a crash.")
    crash_restart_ms: int = Field(
        1000, ge=0, description="Time until a target in a shared process listens again."
    )
    shed_share: float = Field(0.0, ge=0, le=1, description="Share refused as not run.")
    draining: bool = Field(False, description="Answers announce that the target leaves.")
    reset_before_run_share: float = Field(0.0, ge=0, le=1)
    reset_after_run_share: float = Field(0.0, ge=0, le=1)
    health: Literal["ok", "sick", "honest"] = Field(
        "ok", description="Status of the health endpoint; honest: sick while a fault is active."
    )
    flap_period_ms: int = Field(
        0, ge=0, description="Faults except draining pause in every second period; 0: never."
    )


NO_FAULTS = TargetFaults.model_validate({})


class FaultState:
    """Holds the configured faults and draws, from a seeded source, which requests they affect."""

    def __init__(self, seed: int, clock: Callable[[], float] = time.monotonic) -> None:
        """Create a state without faults; `clock` returns seconds."""
        self._clock = clock
        self._random = random.Random(seed)
        self._configured = NO_FAULTS
        self._configured_at_s = clock()

    @property
    def configured(self) -> TargetFaults:
        """The faults last set, including those that flapping suspends at the moment."""
        return self._configured

    def replace(self, faults: TargetFaults) -> None:
        """Replace all faults and restart the flap period."""
        self._configured = faults
        self._configured_at_s = self._clock()

    def active(self) -> TargetFaults:
        """Return the faults that are active now; flapping suspends all but `draining`."""
        period_s = self._configured.flap_period_ms / 1000
        if period_s and int((self._clock() - self._configured_at_s) / period_s) % 2:
            return NO_FAULTS.model_copy(update={"draining": self._configured.draining})
        return self._configured

    def draw_fault(self, share: Share) -> bool:
        """Draw whether a fault with the given share affects a request."""
        if share <= 0:
            return False
        return share >= 1 or self._random.random() < share

    def draw_wrong_answer(self, faults: TargetFaults, account: str) -> bool:
        """Draw whether the answer to a request of this account is wrong.

        Every answer to an account of the configured bucket is wrong.
        """
        bucket = faults.wrong_account_bucket
        if bucket is not None and account_bucket(account, faults.account_buckets) == bucket:
            return True
        return self.draw_fault(faults.wrong_share)

    def has_active_fault(self) -> bool:
        """Whether any field of the active faults differs from its default."""
        return self.active() != NO_FAULTS


def account_bucket(account: str, buckets: int) -> int:
    """Return the bucket of an account: the CRC-32 of its name modulo the number of buckets."""
    return zlib.crc32(account.encode()) % buckets
