"""Keeps what was decided on the latest requests, for `toucanctl explain`."""

import threading
from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

from toucanspindle_node.exchange import Exchange

MAX_TRACES: Final = 2_000
MAX_PATH_CHARS: Final = 120


@dataclass(frozen=True)
class Trace:
    """What is kept of one request; bodies and headers aren't."""

    title: str
    steps: list[str]
    exception_by_setting: dict[str, str]


class TraceLog:
    """The steps of the latest requests by id; safe for use by several threads.

    Invariant: at most MAX_TRACES are kept, the oldest go first.
    """

    def __init__(self) -> None:
        """Create an empty log."""
        self._lock = threading.Lock()
        self._traces: OrderedDict[str, Trace] = OrderedDict()

    def add(self, exchange: Exchange) -> None:
        """Keep the steps of an exchange that has ended."""
        request = exchange.request
        title = f"{request.method} {request.path[:MAX_PATH_CHARS]} of account {exchange.account}"
        sources = exchange.policy.exception_by_setting if exchange.policy else {}
        trace = Trace(title, exchange.steps, sources)
        with self._lock:
            self._traces[exchange.request_id] = trace
            if len(self._traces) > MAX_TRACES:
                self._traces.popitem(last=False)

    def explain(self, request_id: str) -> list[str]:
        """Return what is known of a request, a line per step; empty when nothing is."""
        trace = self._traces.get(request_id)
        if trace is None:
            return []
        sources = trace.exception_by_setting.items()
        from_exceptions = [f"setting {name} comes from exception {id_}" for name, id_ in sources]
        return [trace.title, *trace.steps, *from_exceptions]
