"""Quarantines requests that crash the targets that run them (poison messages).

A connection reset or crash is attributed to the fingerprint of the request before it counts against
the target.  A fingerprint that has crashed POISON_TARGETS distinct targets is quarantined until its
entry expires.  Entries are propagated between nodes.  Clocks of different hosts are never compared,
so a propagated entry carries its remaining lifetime.  Two nodes that each saw one crash, at
different targets, quarantine the request when they receive each other's entry.

A crash is not attributed to a request that was answered within CRASH_MEMORY_S.  Otherwise unhealthy
targets that reset connections would cause a quarantine of a frequent lookup that crashes nothing.
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
    """Entry of a fingerprint that crashed targets, as propagated between nodes.

    `crashed_targets` is the number of distinct targets, `last_target` the latest of them.
    """

    service: str
    fingerprint: str
    crashed_targets: int
    expires_in_s: float
    last_target: str


@dataclass
class _Entry:
    """Crashes of one fingerprint.

    `reported_count` is the highest count received from other nodes, plus later crashes seen here.
    `targets` holds only the targets whose names are known to this node.
    """

    targets: set[str]
    reported_count: int
    last_target: str
    expires_at: float

    def count(self) -> int:
        return max(self.reported_count, len(self.targets))


class QuarantineTable:
    """Fingerprints that crashed targets; thread-safe.

    Invariants: there are at most MAX_FINGERPRINTS entries; expired entries are never reported.
    """

    def __init__(self, clock: Clock) -> None:
        """Create an empty table."""
        self._clock = clock
        self._lock = threading.Lock()
        self._entries: dict[tuple[str, str], _Entry] = {}
        self._answered_at: OrderedDict[tuple[str, str], float] = OrderedDict()

    def record_crash(self, service: str, fingerprint: str, target: str) -> bool:
        """Attribute a crash of a target to a request; return whether it is now quarantined."""
        with self._lock:
            if self._was_answered_recently(service, fingerprint):
                return False
            entry = self._get_or_create(service, fingerprint)
            is_new = target not in entry.targets and target != entry.last_target
            entry.targets.add(target)
            if is_new and entry.reported_count:
                entry.reported_count += 1
            entry.last_target = target
            return self._extend_expiry(entry)

    def record_answer(self, service: str, fingerprint: str) -> None:
        """Record an answer to a request; no crashes are attributed to it for CRASH_MEMORY_S."""
        key = (service, fingerprint)
        with self._lock:
            self._answered_at.pop(key, None)
            self._answered_at[key] = self._clock.now()
            if len(self._answered_at) > MAX_FINGERPRINTS:
                self._answered_at.popitem(last=False)

    def is_quarantined(self, service: str, fingerprint: str) -> bool:
        """Return whether the request is quarantined and must not be dispatched."""
        entry = self._entries.get((service, fingerprint))
        if entry is None or entry.expires_at <= self._clock.now():
            return False
        return entry.count() >= POISON_TARGETS

    def crashed_targets(self, service: str, fingerprint: str) -> frozenset[str]:
        """Return the targets that the request crashed, as far as this node knows their names."""
        entry = self._entries.get((service, fingerprint))
        return frozenset(entry.targets) if entry else frozenset()

    def merge(self, records: list[QuarantineRecord]) -> None:
        """Merge entries received from other nodes."""
        with self._lock:
            for record in records:
                self._merge_record(record)

    def entries(self, service: str | None = None) -> list[QuarantineRecord]:
        """Return the entries that haven't expired, of one service or, with None, of all."""
        now = self._clock.now()
        with self._lock:
            return [
                QuarantineRecord(name, fingerprint, e.count(), e.expires_at - now, e.last_target)
                for (name, fingerprint), e in self._entries.items()
                if e.expires_at > now and service in {None, name}
            ]

    def _was_answered_recently(self, service: str, fingerprint: str) -> bool:
        answered_at = self._answered_at.get((service, fingerprint))
        return answered_at is not None and self._clock.now() - answered_at < CRASH_MEMORY_S

    def _merge_record(self, record: QuarantineRecord) -> None:
        entry = self._get_or_create(record.service, record.fingerprint)
        neither_quarantines = max(entry.count(), record.crashed_targets) < POISON_TARGETS
        if record.last_target not in entry.targets:
            entry.targets.add(record.last_target)
            entry.last_target = record.last_target
        entry.reported_count = max(entry.reported_count, record.crashed_targets)
        if neither_quarantines and entry.count() >= POISON_TARGETS:
            self._extend_expiry(entry)
            return
        # The received lifetime is adopted without renewal.  Otherwise two nodes would renew each
        # other's entry forever.
        limit_s = QUARANTINE_S if entry.count() >= POISON_TARGETS else CRASH_MEMORY_S
        remaining_s = min(record.expires_in_s, limit_s)
        entry.expires_at = max(entry.expires_at, self._clock.now() + remaining_s)

    def _get_or_create(self, service: str, fingerprint: str) -> _Entry:
        key = (service, fingerprint)
        now = self._clock.now()
        entry = self._entries.get(key)
        if entry is not None and entry.expires_at > now:
            return entry
        if len(self._entries) >= MAX_FINGERPRINTS:
            self._evict(now)
        entry = self._entries[key] = _Entry(set(), 0, "", now)
        return entry

    def _extend_expiry(self, entry: _Entry) -> bool:
        """Extend the lifetime of an entry after a crash; return whether it is quarantined."""
        quarantined = entry.count() >= POISON_TARGETS
        lifetime_s = QUARANTINE_S if quarantined else CRASH_MEMORY_S
        entry.expires_at = max(entry.expires_at, self._clock.now() + lifetime_s)
        return quarantined

    def _evict(self, now: float) -> None:
        unexpired = {key: e for key, e in self._entries.items() if e.expires_at > now}
        if len(unexpired) >= MAX_FINGERPRINTS:
            del unexpired[min(unexpired, key=lambda key: unexpired[key].expires_at)]
        self._entries = unexpired
