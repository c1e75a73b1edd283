"""Faults of a stand-in target, and the decision which of them strike one request."""

import random
import time
import zlib
from collections.abc import Callable
from typing import Literal

from pydantic import Field
from toucanspindle_core.fleetconfig import StrictModel

Share = float


class TargetFaults(StrictModel):
    """Faults that are in force; a share is the part of requests that a fault strikes."""

    slow_factor: float = Field(1.0, gt=0, description="Multiplies the service time.")
    slow_share: float = Field(1.0, ge=0, le=1, description="Share that slow_factor strikes.")
    wrong_share: float = Field(0.0, ge=0, le=1, description="Share answered wrongly.")
    wrong_kind: Literal["error", "corrupt"] = Field(
        "error", description="A wrong answer is a 500, or a 200 with a damaged body."
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
    answer_delay_ms: float = Field(0.0, ge=0, description="Time a finished run's answer is held.")
    crash_marker: str = Field("", description="Text in path, header or body that crashes.")
    crash_restart_ms: int = Field(
        1000, ge=0, description="Time until a target that shares a process is up again."
    )
    shed_share: float = Field(0.0, ge=0, le=1, description="Share refused as not run.")
    draining: bool = Field(False, description="Answers say that the target is leaving.")
    reset_before_run_share: float = Field(0.0, ge=0, le=1)
    reset_after_run_share: float = Field(0.0, ge=0, le=1)
    health: Literal["ok", "sick", "honest"] = Field(
        "ok", description="What the health endpoint says; honest: sick under a fault."
    )
    flap_period_ms: int = Field(
        0, ge=0, description="Faults but draining act in every second period; 0: always."
    )


NO_FAULTS = TargetFaults.model_validate({})


class FaultState:
    """Decides, with a seeded random source, which faults strike."""

    def __init__(self, seed: int, clock: Callable[[], float] = time.monotonic) -> None:
        """Create a state without faults."""
        self._clock = clock
        self._random = random.Random(seed)
        self._set = NO_FAULTS
        self._since = clock()

    @property
    def configured(self) -> TargetFaults:
        """The faults last set, whether or not they act now."""
        return self._set

    def replace(self, faults: TargetFaults) -> None:
        """Put other faults in force."""
        self._set = faults
        self._since = self._clock()

    def active(self) -> TargetFaults:
        """Return the faults that act now, with flapping taken into account."""
        period_s = self._set.flap_period_ms / 1000
        if period_s and int((self._clock() - self._since) / period_s) % 2:
            return NO_FAULTS.model_copy(update={"draining": self._set.draining})
        return self._set

    def strikes(self, share: Share) -> bool:
        """Draw whether a fault of the given share strikes."""
        if share <= 0:
            return False
        return share >= 1 or self._random.random() < share

    def is_wrong(self, faults: TargetFaults, account: str) -> bool:
        """Draw whether the answer to a request of this account is wrong."""
        bucket = faults.wrong_account_bucket
        if bucket is not None and account_bucket(account, faults.account_buckets) == bucket:
            return True
        return self.strikes(faults.wrong_share)

    def is_sick(self) -> bool:
        """Whether any fault acts now."""
        return self.active() != NO_FAULTS


def account_bucket(account: str, buckets: int) -> int:
    """Return the bucket of an account: CRC-32 of its name, modulo the number of buckets."""
    return zlib.crc32(account.encode()) % buckets
