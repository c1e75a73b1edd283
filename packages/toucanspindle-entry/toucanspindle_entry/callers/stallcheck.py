"""Finds a peer that takes nothing of what is to be sent to it.

What the transport still holds is compared a few times within the bound.  A peer that takes anything
in between, however little, isn't stalled.
"""

import asyncio
from collections.abc import Callable
from typing import Final

CHECKS: Final = 4  # Within the bound.


class StallCheck:
    """Watches the write buffer of a transport; it runs only while there is something in it."""

    def __init__(self, transport: asyncio.Transport, on_stalled: Callable[[int], None]) -> None:
        """Create a check; `on_stalled` gets the bytes that the peer has taken in all."""
        self._transport = transport
        self._on_stalled = on_stalled
        self._written_bytes = 0
        self._taken_bytes = 0
        self._checks_without_progress = 0
        self._timer: asyncio.TimerHandle | None = None

    def record_written(self, count: int) -> None:
        """Record that `count` bytes are to be sent, before they are given to the transport."""
        self._written_bytes += count

    def start(self, stall_s: float) -> None:
        """Begin to check, unless nothing is to be sent or a check runs already."""
        if self._timer is None and self._transport.get_write_buffer_size():
            self._checks_without_progress = 0
            self._taken_bytes = self._count_taken_bytes()
            self._schedule(stall_s)

    def close(self) -> None:
        """Check no more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self, stall_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(stall_s / CHECKS, self._check, stall_s)

    def _check(self, stall_s: float) -> None:
        self._timer = None
        if not self._transport.get_write_buffer_size():
            return
        taken_bytes = self._count_taken_bytes()
        if taken_bytes > self._taken_bytes:
            self._checks_without_progress = 0
        else:
            self._checks_without_progress += 1
        self._taken_bytes = taken_bytes
        if self._checks_without_progress >= CHECKS:
            self._on_stalled(taken_bytes)
        else:
            self._schedule(stall_s)

    def _count_taken_bytes(self) -> int:
        return self._written_bytes - self._transport.get_write_buffer_size()
