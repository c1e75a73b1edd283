"""Callers of the demonstration: a steady stream of lookups, and single reservations."""

import threading
import time
from collections import Counter
from dataclasses import dataclass
from typing import Final

from toucanspindle_core.caller import Caller, CallerSettings
from toucanspindle_core.outcome import OutcomeKind

THREADS: Final = 4
PAUSE_S: Final = 0.02


@dataclass(frozen=True)
class Tally:
    """Outcomes of a stream of lookups so far."""

    answered: int
    failed: dict[str, int]


class LookupStream:
    """Sends lookups from several threads, each as another account.

    Invariant: each lookup counts exactly once, by its outcome.
    """

    def __init__(self, service: str, path: str, accounts: list[str], entries: list[str]) -> None:
        """Create a stream; `entries` are addresses at which callers ask the directory."""
        self._service = service
        self._path = path
        self._callers = [
            Caller(CallerSettings(accounts[i % len(accounts)], tuple(entries)))
            for i in range(THREADS)
        ]
        self._lock = threading.Lock()
        self._answered = 0
        self._failed: Counter[str] = Counter()
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(caller,), daemon=True)
            for caller in self._callers
        ]

    @property
    def tally(self) -> Tally:
        """The outcomes so far."""
        with self._lock:
            return Tally(self._answered, dict(self._failed))

    def start(self) -> None:
        """Begin to send."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stop sending and wait for the last answers."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()
        for caller in self._callers:
            caller.close()

    def _run(self, caller: Caller) -> None:
        number = 0
        while not self._stopping.is_set():
            number += 1
            answer = caller.send_get(self._service, f"{self._path}/{number % 97}")
            fine = answer.kind is OutcomeKind.ANSWERED and answer.status == 200
            with self._lock:
                if fine:
                    self._answered += 1
                else:
                    self._failed[f"{answer.kind.value} {answer.code or answer.status}"] += 1
            time.sleep(PAUSE_S)
