"""Stores pulled ejection sets and quarantined requests until their leases expire."""

from typing import Final

from toucanspindle_core.clock import Clock
from toucanspindle_core.control_pb2 import EjectionSet, EjectionSets, QuarantineEntry

MAX_QUARANTINE_ENTRIES: Final = 1024
MS_PER_S: Final = 1000


class EjectionTable:
    """The latest ejection set of each service and holder, and the quarantined requests.

    Invariant: the epoch of a stored set never decreases before the set expires.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._sets: dict[tuple[str, str], EjectionSet] = {}
        self._own_holders: set[str] = set()
        self._quarantine: dict[tuple[str, str], QuarantineEntry] = {}
        self._quarantine_expires_at: dict[tuple[str, str], float] = {}

    def merge(self, sets: EjectionSets, pull_started_at: float) -> bool:
        """Store the answer to a pull; return whether the proxy must be updated.

        `pull_started_at` is the time on this table's clock when the pull started.
        """
        changed = [self._merge_set(ejection_set, pull_started_at) for ejection_set in sets.sets]
        changed += [self._merge_quarantine_entry(entry) for entry in sets.quarantine]
        return any(changed)

    def merge_own(self, sets: EjectionSets) -> bool:
        """Store this node's own ejection sets; return whether the proxy must be updated."""
        self._own_holders.update(ejection_set.holder for ejection_set in sets.sets)
        return self.merge(sets, self._clock.now())

    def active_sets_of_others(self, service: str) -> list[EjectionSet]:
        """Return the unexpired sets of a service from other nodes' judges."""
        return [
            s for s in self.active_sets_of_service(service) if s.holder not in self._own_holders
        ]

    def active_own_sets(self) -> list[EjectionSet]:
        """Return the unexpired sets from this node's judge."""
        return [
            ejection_set
            for ejection_set in self.active_sets()
            if ejection_set.holder in self._own_holders
        ]

    def active_sets_of_service(self, service: str) -> list[EjectionSet]:
        """Return the unexpired sets of a service."""
        return [
            ejection_set for ejection_set in self.active_sets() if ejection_set.service == service
        ]

    def active_sets(self) -> list[EjectionSet]:
        """Return all unexpired sets; `lapses_at_ms` holds the expiry on this table's clock."""
        now_ms = self._clock.now() * MS_PER_S
        return [
            ejection_set
            for ejection_set in self._sets.values()
            if ejection_set.lapses_at_ms > now_ms
        ]

    def quarantine(self) -> list[QuarantineEntry]:
        """Return the quarantined requests; `expires_in_ms` holds the remaining time."""
        now = self._clock.now()
        entries = []
        for key, entry in self._quarantine.items():
            current = QuarantineEntry()
            current.CopyFrom(entry)
            current.expires_in_ms = max(0, int((self._quarantine_expires_at[key] - now) * MS_PER_S))
            if current.expires_in_ms:
                entries.append(current)
        return entries

    def expire(self) -> bool:
        """Remove expired sets and entries; return whether there were any."""
        now = self._clock.now()
        sets = [
            key
            for key, ejection_set in self._sets.items()
            if ejection_set.lapses_at_ms <= now * MS_PER_S
        ]
        for key in sets:
            del self._sets[key]
        requests = [
            key for key, expires_at in self._quarantine_expires_at.items() if expires_at <= now
        ]
        for key in requests:
            del self._quarantine[key]
            del self._quarantine_expires_at[key]
        return bool(sets or requests)

    def _merge_set(self, ejection_set: EjectionSet, pull_started_at: float) -> bool:
        key = (ejection_set.service, ejection_set.holder)
        stored = self._sets.get(key)
        if stored is not None and stored.epoch > ejection_set.epoch:
            return False
        merged = EjectionSet()
        merged.CopyFrom(ejection_set)
        merged.lapses_at_ms = int(pull_started_at * MS_PER_S) + ejection_set.lease_ms
        if stored is not None and stored.epoch == ejection_set.epoch:
            merged.lapses_at_ms = max(merged.lapses_at_ms, stored.lapses_at_ms)
        self._sets[key] = merged
        return bool(merged.ejections) or (stored is not None and bool(stored.ejections))

    def _merge_quarantine_entry(self, entry: QuarantineEntry) -> bool:
        key = (entry.service, entry.fingerprint)
        is_new = key not in self._quarantine
        if is_new and len(self._quarantine) >= MAX_QUARANTINE_ENTRIES:
            return False
        self._quarantine[key] = entry
        self._quarantine_expires_at[key] = self._clock.now() + entry.expires_in_ms / MS_PER_S
        return is_new
