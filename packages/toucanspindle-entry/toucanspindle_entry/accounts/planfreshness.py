"""Decides whether account keys may be used, by how long ago the plan was certainly the newest one.

A key that a plan takes away must not be used later than `revoke_s` after the store acknowledged
that plan.  A host that is suspended or cut off can't know of it, so it keeps a moment at which the
version that it has in force was the newest one in the store.  A revocation that it hasn't seen was
acknowledged after that moment, so a request that is checked within `revoke_s` of the moment was
sent within `revoke_s` of the acknowledgement.

Two things prove a moment.  An answer of the store shows what was newest at some time after the call
was sent, so the call's sending counts.  The answer to a probe tells how old the other host's moment
is; counted back from the sending of the probe, that is no later than the other host's moment, and
holds for this host if both have the same version.  The age in a message that a host didn't ask for
proves nothing, since the message may have been delayed for any time.

A moment that was proven for one version holds for a later one as well: versions only rise, so the
later one was written after that moment, and so was any version after it.  A change of the plan
therefore needs no new proof.

All times are in seconds of a clock that also counts the time for which the host was suspended.
"""

import math
from typing import Final

# For the time between the check and the reading of the clocks on both sides.
CHECK_MARGIN_S: Final = 0.25
# After the store was restored from a copy, its operator writes what the copy lacks within this
# time.  Until then it may show a plan that isn't the newest one.
RESTORED_STORE_WAIT_S: Final = 2.0


class PlanFreshness:
    """The last moment at which the plan in force was certainly the newest one in the store."""

    def __init__(self, revoke_s: float | None) -> None:
        """Create a state without any proof; without a bound, keys may always be used."""
        self._revoke_s = revoke_s
        self._confirmed_at = float("-inf")
        self._trusted_from = float("-inf")  # Answers to calls that were sent earlier don't count.
        self._newest_heard = 0
        self._could_run = False

    @property
    def is_bounded(self) -> bool:
        """Whether a bound applies to revoked keys."""
        return self._revoke_s is not None

    def record_store_answer(
        self, sent_at: float, shown_version: int | None, own_version: int
    ) -> None:
        """Record an answer of the store to a call that was sent at `sent_at`.

        `shown_version` is that of the newest plan that the store has shown, None without one, and
        `own_version` is the version in force.  A store that shows an earlier version proves
        nothing, nor does one that shows an earlier version than another host has.
        """
        is_newest = shown_version is not None and shown_version >= own_version
        if is_newest and own_version >= self._newest_heard and sent_at >= self._trusted_from:
            self._confirmed_at = max(self._confirmed_at, sent_at)

    def record_peer(
        self, asked_at: float, age_s: float, plan_version: int, own_version: int
    ) -> None:
        """Record what another host answered to a question that was sent at `asked_at`."""
        self._newest_heard = max(self._newest_heard, plan_version)
        if plan_version == own_version and age_s >= 0:
            self._confirmed_at = max(self._confirmed_at, asked_at - age_s)

    def era_changed(self, now: float) -> None:
        """Distrust the store for a while, since it was restored from a copy.

        To a process that starts, the first era that it sees is a new one, unless it is 0: the store
        may have been restored just before.
        """
        self._trusted_from = now + RESTORED_STORE_WAIT_S

    def age_s(self, now: float) -> float:
        """Return how long ago the last proven moment is; infinite without one."""
        return now - self._confirmed_at

    def may_run_keyed(self, now: float) -> bool:
        """Return whether a request with a key may run that is checked at `now`."""
        if self._revoke_s is None:
            return True
        return self.age_s(now) <= self._revoke_s - CHECK_MARGIN_S

    def take_state_change(self, now: float) -> bool | None:
        """Return whether keyed requests may run now, or None if that is as at the last call."""
        may_run = self.may_run_keyed(now)
        if may_run == self._could_run:
            return None
        self._could_run = may_run
        return may_run


def encode_age_ms(age_s: float) -> int | None:
    """Return an age in whole milliseconds, never less than it is; None if it is infinite."""
    return math.ceil(age_s * 1000) if age_s < math.inf else None
