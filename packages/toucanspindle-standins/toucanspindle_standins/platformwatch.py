"""Long polls of the stand-in platform.

A long poll ends with a value, with status 204 after its wait, or when its connection closes.
"""

import asyncio
from collections.abc import Callable

from toucanspindle_standins.httpserver import Exchange, HttpAnswer
from toucanspindle_standins.platformstore import PlatformStore, StoredValue, Watch

SendValue = Callable[[Exchange, StoredValue], None]


class LongPoll:
    """A watch call with an open connection; it is a member of `waiting` from start to end."""

    def __init__(self, exchange: Exchange, deliver: SendValue, waiting: set["LongPoll"]) -> None:
        """Create a long poll; `deliver` sends the value that ends it."""
        self._exchange = exchange
        self._deliver = deliver
        self._waiting = waiting
        self._timer: asyncio.TimerHandle | None = None
        self._watch: Watch | None = None

    def start(self, store: PlatformStore, kind: str, name: str, after: int, wait_s: float) -> None:
        """Wait for a version above `after`, at most `wait_s` seconds."""
        self._waiting.add(self)
        self._exchange.on_disconnect = self._stop_waiting
        self._timer = asyncio.get_running_loop().call_later(wait_s, self._send_timeout)
        self._watch = store.watch(kind, name, after, self._send_value)

    def abort(self) -> None:
        """End the watch and reset the caller's connection."""
        self._stop_waiting()
        self._exchange.abort()

    def _send_value(self, value: StoredValue) -> None:
        if not self._exchange.done:
            self._stop_waiting()
            self._deliver(self._exchange, value)

    def _send_timeout(self) -> None:
        if not self._exchange.done:
            self._stop_waiting()
            self._exchange.answer(HttpAnswer(204))

    def _stop_waiting(self) -> None:
        self._waiting.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        if self._watch is not None:
            self._watch.cancel()
