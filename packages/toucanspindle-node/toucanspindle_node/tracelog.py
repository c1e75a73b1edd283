"""Keeps the traces of the latest requests for `toucanctl explain`."""

import threading
from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

from toucanspindle_node.exchange import Exchange

MAX_TRACES: Final = 2_000
MAX_PATH_CHARS: Final = 120


@dataclass(frozen=True)
class Trace:
    """The trace of one request, without its body and headers.

    `exception_by_setting` holds the id of the exception that each overridden setting comes from.
    """

    title: str
    steps: list[str]
    exception_by_setting: dict[str, str]


class TraceLog:
    """The traces of the latest requests by id; safe for use by several threads.

    Invariant: at most MAX_TRACES traces are kept; the oldest are removed first.
    """

    def __init__(self) -> None:
        """Create an empty log."""
        self._lock = threading.Lock()
        self._traces: OrderedDict[str, Trace] = OrderedDict()

    def add(self, exchange: Exchange) -> None:
        """Keep the trace of an exchange that has ended."""
        request = exchange.request
        title = f"{request.method} {request.path[:MAX_PATH_CHARS]} of account {exchange.account}"
        exception_by_setting = (
            exchange.service_policy.exception_by_setting if exchange.service_policy else {}
        )
        trace = Trace(title, exchange.trace_steps, exception_by_setting)
        with self._lock:
            self._traces[exchange.request_id] = trace
            if len(self._traces) > MAX_TRACES:
                self._traces.popitem(last=False)

    def explain(self, request_id: str) -> list[str]:
        """Return the trace of a request, a line per step; empty when it isn't known."""
        trace = self._traces.get(request_id)
        if trace is None:
            return []
        exception_by_setting = trace.exception_by_setting.items()
        from_exceptions = [
            f"setting {name} comes from exception {id_}" for name, id_ in exception_by_setting
        ]
        return [trace.title, *trace.steps, *from_exceptions]
