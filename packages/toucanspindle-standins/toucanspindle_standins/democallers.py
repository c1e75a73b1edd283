"""Sends the continuous lookups of the demonstration from several threads."""

import threading
import time
from collections import Counter
from dataclasses import dataclass
from typing import Final

from toucanspindle_core.caller import Caller, CallerSettings
from toucanspindle_core.outcome import OutcomeKind

THREAD_COUNT: Final = 4
LOOKUP_INTERVAL_S: Final = 0.02


@dataclass(frozen=True)
class LookupCounts:
    """Numbers of lookups that succeeded and, by outcome, that failed."""

    answered: int
    failed: dict[str, int]


class LookupStream:
    """Sends lookups from several threads, each with its own caller and account.

    Invariant: each finished lookup is counted exactly once, by its outcome.
    """

    def __init__(self, service: str, path: str, accounts: list[str], entries: list[str]) -> None:
        """Create a stream; `entries` are the node addresses that callers ask for the directory."""
        self._service = service
        self._path = path
        self._callers = [
            Caller(CallerSettings(accounts[i % len(accounts)], tuple(entries)))
            for i in range(THREAD_COUNT)
        ]
        self._lock = threading.Lock()
        self._answered = 0
        self._failed: Counter[str] = Counter()
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._send_until_stopped, args=(caller,), daemon=True)
            for caller in self._callers
        ]

    @property
    def counts(self) -> LookupCounts:
        """The counts of all lookups that have finished."""
        with self._lock:
            return LookupCounts(self._answered, dict(self._failed))

    def start(self) -> None:
        """Start sending lookups."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stop sending, wait for pending answers and close the callers."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()
        for caller in self._callers:
            caller.close()

    def _send_until_stopped(self, caller: Caller) -> None:
        number = 0
        while not self._stopping.is_set():
            number += 1
            answer = caller.look_up(self._service, f"{self._path}/{number % 97}")
            succeeded = answer.kind is OutcomeKind.ANSWERED and answer.status == 200
            with self._lock:
                if succeeded:
                    self._answered += 1
                else:
                    self._failed[f"{answer.kind.value} {answer.code or answer.status}"] += 1
            time.sleep(LOOKUP_INTERVAL_S)
