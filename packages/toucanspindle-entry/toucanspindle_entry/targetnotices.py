"""What targets say of themselves in their responses.

A target that leaves may say so in its responses before this host learns of it from the store, or
while the store can't be reached.  A notice holds for one incarnation of a target.  The host that
gets it heeds it at once, and passes it to the broker of the service with its report of the attempt.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Final

from logbook import Logger

from toucanspindle_entry.headernames import HeaderNames
from toucanspindle_entry.httpclient import HttpResponse

LEAVING_VALUE: Final = b"1"
MAX_NOTICES: Final = 4096  # The oldest ones are forgotten.

log = Logger("targets")


@dataclass(frozen=True)
class TargetNotice:
    """What an incarnation of a target, by its name and start, said in its last response."""

    target: str
    started_ms: int
    is_leaving: bool


def read_notice(
    response: HttpResponse, names: HeaderNames, target: str, started_ms: int
) -> TargetNotice:
    """Return the notice in a response of a target; values that can't be read count as not sent."""
    is_leaving = (response.header(names.leaving) or b"").strip() == LEAVING_VALUE
    return TargetNotice(target, started_ms, is_leaving)


def encode_notice(notice: TargetNotice) -> list[Any]:
    """Return a notice as a part of a message between hosts."""
    return [notice.target, notice.started_ms, int(notice.is_leaving)]


def decode_notice(encoded: list[Any]) -> TargetNotice:
    """Return the notice in a message of another host; raise ValueError if it is malformed."""
    target, started_ms, is_leaving, *_ = encoded
    return TargetNotice(str(target), int(started_ms), bool(is_leaving))


class TargetNotices:
    """The notices that still hold, by target incarnation, as this host received them."""

    def __init__(self) -> None:
        """Create a table without notices."""
        self._leaving: dict[tuple[str, int], TargetNotice] = {}

    def record(self, notice: TargetNotice) -> None:
        """Record a notice; a target that is leaving stays so until it restarts."""
        key = (notice.target, notice.started_ms)
        if not notice.is_leaving or key in self._leaving:
            return
        log.info("event=target_says_leaving target={} started_ms={}", *key)
        self._leaving[key] = notice
        if len(self._leaving) > MAX_NOTICES:
            del self._leaving[next(iter(self._leaving))]

    def is_leaving(self, target: str, started_ms: int) -> bool:
        """Return whether an incarnation of a target has said that it is leaving."""
        return (target, started_ms) in self._leaving

    def of_targets(self, incarnations: Iterable[tuple[str, int]]) -> list[TargetNotice]:
        """Return the notices of some incarnations, each given by name and start."""
        if not self._leaving:
            return []
        return [self._leaving[key] for key in incarnations if key in self._leaving]
