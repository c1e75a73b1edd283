"""What targets say of themselves in their responses.

A target that leaves may say so in its responses before this host learns of it from the store, or
while the store can't be reached.  A target in need names a limit for the requests of all hosts,
which holds until a response of it names none.  A notice holds for one incarnation of a target.  The
host that gets it heeds the leaving at once, and passes the notice to the broker of the service with
its report of the attempt.

A target that turns a request away may also name a time for which it wants no more from this host.
Such a pause is between the two, so no other host hears of it.
"""

import dataclasses
import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Final

from logbook import Logger

from toucanspindle_entry.headernames import HeaderNames
from toucanspindle_entry.targets.httpclient import HttpResponse

LEAVING_VALUE: Final = b"1"
PAUSE_STATUS: Final = 503
RETRY_AFTER_HEADER: Final = b"retry-after"  # RFC 9110, 10.2.3; a date is ignored.
MAX_NOTICES: Final = 4096  # The oldest ones are forgotten.

log = Logger("targets")


@dataclass(frozen=True)
class TargetNotice:
    """What an incarnation of a target, by its name and start, said in its last response.

    `rate_limit` is the number of requests per second that it takes from all hosts together, or None
    if it named no limit.
    """

    target: str
    started_ms: int
    is_leaving: bool
    rate_limit: float | None = None


def read_notice(
    response: HttpResponse, names: HeaderNames, target: str, started_ms: int
) -> TargetNotice:
    """Return the notice in a response of a target; values that can't be read count as not sent."""
    is_leaving = (response.header(names.leaving) or b"").strip() == LEAVING_VALUE
    return TargetNotice(target, started_ms, is_leaving, _read_number(response, names.rate_limit))


def read_pause_s(response: HttpResponse) -> float:
    """Return for how many seconds a target wants no request from this host; 0 if it names none."""
    if response.status != PAUSE_STATUS:
        return 0.0
    return _read_number(response, RETRY_AFTER_HEADER) or 0.0


def _read_number(response: HttpResponse, name: bytes) -> float | None:
    """Return a header's value, or None if it isn't a decimal number of 0 or more."""
    value = response.header(name)
    try:
        number = float(value) if value is not None else -1.0
    except ValueError:
        return None
    return number if 0 <= number < math.inf else None


def encode_notice(notice: TargetNotice) -> list[Any]:
    """Return a notice as a part of a message between hosts."""
    return [notice.target, notice.started_ms, int(notice.is_leaving), notice.rate_limit]


def decode_notice(encoded: list[Any]) -> TargetNotice:
    """Return the notice in a message of another host; raise ValueError if it is malformed."""
    target, started_ms, is_leaving, *options = encoded
    rate_limit = float(options[0]) if options and options[0] is not None else None
    if rate_limit is not None and not 0 <= rate_limit < math.inf:
        raise ValueError(f"the limit {rate_limit} of {target!r} is out of range")
    return TargetNotice(str(target), int(started_ms), bool(is_leaving), rate_limit)


class TargetNotices:
    """The notices that still hold, by target incarnation, as this host received them."""

    def __init__(self) -> None:
        """Create a table without notices."""
        self._notices: dict[tuple[str, int], TargetNotice] = {}
        self._paused_until: dict[tuple[str, int], float] = {}

    def __bool__(self) -> bool:
        """Return whether any notice or pause is known."""
        return bool(self._notices or self._paused_until)

    def record(self, notice: TargetNotice) -> None:
        """Record a notice; a target that is leaving stays so until it restarts."""
        key = (notice.target, notice.started_ms)
        previous = self._notices.get(key, TargetNotice(*key, is_leaving=False))
        if notice.is_leaving and not previous.is_leaving:
            log.info("event=target_says_leaving target={} started_ms={}", *key)
        if notice.rate_limit != previous.rate_limit:
            log.info(
                "event=target_limits_rate target={} started_ms={} limit={}", *key, notice.rate_limit
            )
        is_leaving = notice.is_leaving or previous.is_leaving
        if not is_leaving and notice.rate_limit is None:
            self._notices.pop(key, None)
            return
        self._notices[key] = dataclasses.replace(notice, is_leaving=is_leaving)
        if len(self._notices) > MAX_NOTICES:
            del self._notices[next(iter(self._notices))]

    def is_leaving(self, target: str, started_ms: int) -> bool:
        """Return whether an incarnation of a target has said that it is leaving."""
        notice = self._notices.get((target, started_ms))
        return notice is not None and notice.is_leaving

    def pause(self, target: str, started_ms: int, until: float) -> None:
        """Record that a target wants no request from this host until a time of the host's clock."""
        key = (target, started_ms)
        log.info("event=target_pauses_host target={} started_ms={} until={:.1f}", *key, until)
        self._paused_until[key] = max(until, self._paused_until.get(key, until))
        if len(self._paused_until) > MAX_NOTICES:
            del self._paused_until[next(iter(self._paused_until))]

    def is_paused(self, target: str, started_ms: int, now: float) -> bool:
        """Return whether a target wants no request from this host now."""
        until = self._paused_until.get((target, started_ms))
        if until is None:
            return False
        if now >= until:
            del self._paused_until[target, started_ms]
        return now < until

    def of_targets(self, incarnations: Iterable[tuple[str, int]]) -> list[TargetNotice]:
        """Return the notices of some incarnations, each given by name and start."""
        if not self._notices:
            return []
        return [self._notices[key] for key in incarnations if key in self._notices]
