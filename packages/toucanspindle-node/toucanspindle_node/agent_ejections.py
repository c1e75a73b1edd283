"""Ejection sets and quarantined requests that an agent pulled, with the times they lapse."""

from typing import Final

from toucanspindle_core.clock import Clock
from toucanspindle_core.control_pb2 import EjectionSet, EjectionSets, QuarantineEntry

MAX_QUARANTINED: Final = 1024
MS_PER_S: Final = 1000


class EjectionTable:
    """The latest set of each holder and service.

    Invariant: a set's epoch never decreases while the set hasn't lapsed.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._sets: dict[tuple[str, str], EjectionSet] = {}
        self._own_holders: set[str] = set()
        self._quarantine: dict[tuple[str, str], QuarantineEntry] = {}
        self._quarantine_until: dict[tuple[str, str], float] = {}

    def take(self, sets: EjectionSets, began_at: float) -> bool:
        """Take in the answer to a pull begun at `began_at`; return whether the proxy needs it."""
        changed = [self._take_set(item, began_at) for item in sets.sets]
        changed += [self._take_quarantine(entry) for entry in sets.quarantine]
        return any(changed)

    def take_own(self, sets: EjectionSets) -> bool:
        """Take in what the judge of this node decided; return whether the proxy needs it."""
        self._own_holders.update(item.holder for item in sets.sets)
        return self.take(sets, self._clock.now())

    def of_others(self, service: str) -> list[EjectionSet]:
        """Return the sets of a service that other nodes' judges decided."""
        return [s for s in self.of_service(service) if s.holder not in self._own_holders]

    def own_sets(self) -> list[EjectionSet]:
        """Return the sets that the judge of this node decided and that haven't lapsed."""
        return [item for item in self.all_sets() if item.holder in self._own_holders]

    def of_service(self, service: str) -> list[EjectionSet]:
        """Return the sets of a service that haven't lapsed."""
        return [item for item in self.all_sets() if item.service == service]

    def all_sets(self) -> list[EjectionSet]:
        """Return the sets that haven't lapsed, with `lapses_at_ms` set."""
        now_ms = self._clock.now() * MS_PER_S
        return [item for item in self._sets.values() if item.lapses_at_ms > now_ms]

    def quarantine(self) -> list[QuarantineEntry]:
        """Return the quarantined requests with the time each has left."""
        now = self._clock.now()
        entries = []
        for key, entry in self._quarantine.items():
            left = QuarantineEntry()
            left.CopyFrom(entry)
            left.expires_in_ms = max(0, int((self._quarantine_until[key] - now) * MS_PER_S))
            if left.expires_in_ms:
                entries.append(left)
        return entries

    def expire(self) -> bool:
        """Forget what has lapsed; return whether there was any."""
        now = self._clock.now()
        sets = [key for key, item in self._sets.items() if item.lapses_at_ms <= now * MS_PER_S]
        for key in sets:
            del self._sets[key]
        requests = [key for key, until in self._quarantine_until.items() if until <= now]
        for key in requests:
            del self._quarantine[key]
            del self._quarantine_until[key]
        return bool(sets or requests)

    def _take_set(self, item: EjectionSet, began_at: float) -> bool:
        key = (item.service, item.holder)
        known = self._sets.get(key)
        if known is not None and known.epoch > item.epoch:
            return False
        taken = EjectionSet()
        taken.CopyFrom(item)
        taken.lapses_at_ms = int(began_at * MS_PER_S) + item.lease_ms
        if known is not None and known.epoch == item.epoch:
            taken.lapses_at_ms = max(taken.lapses_at_ms, known.lapses_at_ms)
        self._sets[key] = taken
        return bool(taken.ejections) or (known is not None and bool(known.ejections))

    def _take_quarantine(self, entry: QuarantineEntry) -> bool:
        key = (entry.service, entry.fingerprint)
        is_new = key not in self._quarantine
        if is_new and len(self._quarantine) >= MAX_QUARANTINED:
            return False
        self._quarantine[key] = entry
        self._quarantine_until[key] = self._clock.now() + entry.expires_in_ms / MS_PER_S
        return is_new
