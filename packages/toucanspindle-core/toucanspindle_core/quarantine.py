"""Quarantines requests that crash the targets which run them.

A reset or crash is charged to the request's fingerprint before the target.  Once a fingerprint
has crashed POISON_TARGETS distinct targets it is quarantined until its entry expires.  Entries
spread between nodes; since clocks of two hosts are never compared, an entry carries the time
it has left.  Two nodes that each saw one crash at different targets quarantine the request when
they learn of each other's entry.

A request that was answered lately isn't charged: sick targets that reset connections would
otherwise quarantine a popular lookup, which crashes nothing.
"""

import threading
from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

from toucanspindle_core.clock import Clock

POISON_TARGETS: Final = 2
CRASH_MEMORY_S: Final = 60.0
QUARANTINE_S: Final = 600.0
MAX_FINGERPRINTS: Final = 4096


@dataclass(frozen=True)
class QuarantineRecord:
    """A fingerprint that crashed targets, as it spreads between nodes."""

    service: str
    fingerprint: str
    crashed_targets: int
    expires_in_s: float
    last_target: str


@dataclass
class _Entry:
    targets: set[str]
    known_count: int
    last_target: str
    expires_at: float

    def count(self) -> int:
        return max(self.known_count, len(self.targets))


class QuarantineTable:
    """Fingerprints that crashed targets; safe for use by several threads.

    Invariants: at most MAX_FINGERPRINTS entries, and none past its expiry is reported.
    """

    def __init__(self, clock: Clock) -> None:
        """Create an empty table."""
        self._clock = clock
        self._lock = threading.Lock()
        self._entries: dict[tuple[str, str], _Entry] = {}
        self._answered: OrderedDict[tuple[str, str], float] = OrderedDict()

    def record_crash(self, service: str, fingerprint: str, target: str) -> bool:
        """Charge a crash to a request; return whether the request is quarantined now."""
        with self._lock:
            if self._answered_lately(service, fingerprint):
                return False
            entry = self._obtain(service, fingerprint)
            is_new = target not in entry.targets and target != entry.last_target
            entry.targets.add(target)
            if is_new and entry.known_count:
                entry.known_count += 1
            entry.last_target = target
            return self._refresh(entry)

    def record_answer(self, service: str, fingerprint: str) -> None:
        """Note that a target answered the request, so that it isn't what crashes targets."""
        key = (service, fingerprint)
        with self._lock:
            self._answered.pop(key, None)
            self._answered[key] = self._clock.now()
            if len(self._answered) > MAX_FINGERPRINTS:
                self._answered.popitem(last=False)

    def is_quarantined(self, service: str, fingerprint: str) -> bool:
        """Return whether the request must not be dispatched."""
        entry = self._entries.get((service, fingerprint))
        if entry is None or entry.expires_at <= self._clock.now():
            return False
        return entry.count() >= POISON_TARGETS

    def crashed_targets(self, service: str, fingerprint: str) -> frozenset[str]:
        """Return the targets that a request is known to have crashed."""
        entry = self._entries.get((service, fingerprint))
        return frozenset(entry.targets) if entry else frozenset()

    def merge(self, records: list[QuarantineRecord]) -> None:
        """Take over what other nodes saw."""
        with self._lock:
            for record in records:
                self._merge_one(record)

    def entries(self, service: str | None = None) -> list[QuarantineRecord]:
        """Return all entries that haven't expired, of one service or of all."""
        now = self._clock.now()
        with self._lock:
            return [
                QuarantineRecord(name, print_, e.count(), e.expires_at - now, e.last_target)
                for (name, print_), e in self._entries.items()
                if e.expires_at > now and service in {None, name}
            ]

    def _answered_lately(self, service: str, fingerprint: str) -> bool:
        answered_at = self._answered.get((service, fingerprint))
        return answered_at is not None and self._clock.now() - answered_at < CRASH_MEMORY_S

    def _merge_one(self, record: QuarantineRecord) -> None:
        entry = self._obtain(record.service, record.fingerprint)
        both_partial = max(entry.count(), record.crashed_targets) < POISON_TARGETS
        if record.last_target not in entry.targets:
            entry.targets.add(record.last_target)
            entry.last_target = record.last_target
        entry.known_count = max(entry.known_count, record.crashed_targets)
        if both_partial and entry.count() >= POISON_TARGETS:
            self._refresh(entry)
            return
        # Time left is taken over and never renewed: two nodes would otherwise renew each other's
        # entry for ever.
        limit_s = QUARANTINE_S if entry.count() >= POISON_TARGETS else CRASH_MEMORY_S
        offered_s = min(record.expires_in_s, limit_s)
        entry.expires_at = max(entry.expires_at, self._clock.now() + offered_s)

    def _obtain(self, service: str, fingerprint: str) -> _Entry:
        key = (service, fingerprint)
        now = self._clock.now()
        entry = self._entries.get(key)
        if entry is not None and entry.expires_at > now:
            return entry
        if len(self._entries) >= MAX_FINGERPRINTS:
            self._make_room(now)
        entry = self._entries[key] = _Entry(set(), 0, "", now)
        return entry

    def _refresh(self, entry: _Entry) -> bool:
        quarantined = entry.count() >= POISON_TARGETS
        lifetime = QUARANTINE_S if quarantined else CRASH_MEMORY_S
        entry.expires_at = max(entry.expires_at, self._clock.now() + lifetime)
        return quarantined

    def _make_room(self, now: float) -> None:
        live = {key: e for key, e in self._entries.items() if e.expires_at > now}
        if len(live) >= MAX_FINGERPRINTS:
            del live[min(live, key=lambda key: live[key].expires_at)]
        self._entries = live
