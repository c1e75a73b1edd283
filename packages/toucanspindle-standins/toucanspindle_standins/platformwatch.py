"""One long poll of the stand-in platform: ends with a value, with 204, or with its connection."""

import asyncio
from collections.abc import Callable

from toucanspindle_standins.httpserver import Exchange, HttpAnswer
from toucanspindle_standins.platformstore import PlatformStore, StoredValue, Watch

Deliver = Callable[[Exchange, StoredValue], None]


class WaitingWatch:
    """A watch whose caller waits; it leaves `waiting` exactly once, when it ends."""

    def __init__(self, exchange: Exchange, deliver: Deliver, waiting: set["WaitingWatch"]) -> None:
        """Create a watch; `deliver` sends the value that ends it."""
        self._exchange = exchange
        self._deliver = deliver
        self._waiting = waiting
        self._timer: asyncio.TimerHandle | None = None
        self._watch: Watch | None = None

    def start(self, store: PlatformStore, kind: str, name: str, after: int, wait_s: float) -> None:
        """Begin to wait for a version above `after`."""
        self._waiting.add(self)
        self._exchange.on_disconnect = self._end
        self._timer = asyncio.get_running_loop().call_later(wait_s, self._expire)
        self._watch = store.watch(kind, name, after, self._changed)

    def drop(self) -> None:
        """Reset the caller's connection."""
        self._end()
        self._exchange.abort()

    def _changed(self, value: StoredValue) -> None:
        if not self._exchange.done:
            self._end()
            self._deliver(self._exchange, value)

    def _expire(self) -> None:
        if not self._exchange.done:
            self._end()
            self._exchange.answer(HttpAnswer(204))

    def _end(self) -> None:
        self._waiting.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        if self._watch is not None:
            self._watch.cancel()
