"""Server side of an HTTP/1.1 connection from a caller.

A request is read completely before it is handled.  Pipelined GET, HEAD and OPTIONS requests run
concurrently; a request with another method runs alone, after those before it.  Responses are sent
in the order of the requests, block by block as the caller reads them.  When the caller closes the
connection, its requests are cancelled.

Reading pauses at MAX_PIPELINED unanswered requests, and while there is no memory for a body.  A
request whose body gets no memory for MEMORY_WAIT_S is rejected; it has not run.

A head must be complete within the header timeout, and a body must go on within the idle timeout and
end within MAX_REQUEST_READ_S.  Time in which reading is paused doesn't count.

A caller that closes while reading is paused is noticed by a poll.  A caller that doesn't read is no
vanished one: only if it has taken nothing of what is to be sent for `caller_stall_s`, the
connection is ended.

The number of connections of a port is limited; see `connectiontable`.  The work for one connection
in a turn of the event loop is limited; see `workturns`.  While a caller doesn't read its responses,
no further requests of its connection are taken.
"""

import asyncio
import select
import socket
from collections import deque
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass
from typing import Final, Literal, Protocol

from logbook import Logger
from toucanspindle_core import errorcodes
from toucanspindle_core.clock import Clock

from toucanspindle_entry.bodybuffer import BLOCK_BYTES, BodyBuffer
from toucanspindle_entry.callers import answers
from toucanspindle_entry.callers.callermessages import CallerRequest, CallerResponse, encode_head
from toucanspindle_entry.callers.connectiontable import CallerPort, ConnectionPhase
from toucanspindle_entry.callers.requestreader import RequestReader
from toucanspindle_entry.callers.stallcheck import StallCheck
from toucanspindle_entry.memoryaccount import MemoryAccount
from toucanspindle_entry.model import CallerLimits
from toucanspindle_entry.targets.httpclient import tune_socket

MAX_PIPELINED: Final = 16  # Reading pauses at this many unanswered requests.
PARALLEL_METHODS: Final = frozenset({"GET", "HEAD", "OPTIONS"})
# After the last response, bytes from the caller are read and dropped for this long.  Closing at
# once could reset the connection before the caller has read the response.
CLOSE_LINGER_S: Final = 0.3
# A request that takes longer to arrive is past the timeout of its route by far.
MAX_REQUEST_READ_S: Final = 60.0
MEMORY_WAIT_S: Final = 1.0
MEMORY_RETRY_AFTER_S: Final = 1.0
# What may wait to be sent, in the process and besides in the system; writing pauses above.  The
# system takes megabytes otherwise: thousands of responses that nobody reads.
WRITE_BUFFER_BYTES: Final = 8192
UNSENT_BYTES: Final = 32_768
CLOSE_POLL_INTERVAL_S: Final = 0.2  # While reading is paused.

log = Logger("callers")

RequestCallback = Callable[[CallerRequest], Awaitable[CallerResponse]]


class ConnectionOwner(Protocol):
    """The process that accepted a connection, as the connection uses it."""

    @property
    def limits(self) -> CallerLimits:
        """Size limits and timeouts in force now."""
        ...

    @property
    def memory(self) -> MemoryAccount:
        """The memory that peers may hold."""
        ...

    @property
    def caller_stall_s(self) -> float:
        """How long a caller may take nothing of a response before its connection ends."""
        ...

    @property
    def is_stopping(self) -> bool:
        """Whether connections close after the response in progress."""
        ...

    def connection_opened(self, connection: "CallerConnection") -> None:
        """Register a new connection."""
        ...

    def connection_closed(self, connection: "CallerConnection") -> None:
        """Remove a closed connection."""
        ...

    def count_rejected(self, status: int) -> None:
        """Count a request that was rejected before it was complete."""
        ...

    def count_handler_failure(self) -> None:
        """Count a request whose handler ended with an exception."""
        ...

    def count_stalled(self) -> None:
        """Count a connection that was ended because its caller took nothing of a response."""
        ...


@dataclass
class _Exchange:
    """A request with its response, which is None until the handler returns.

    `request` is None for a response to a request that wasn't read completely.
    """

    request: CallerRequest | None
    keep_alive: bool
    response: CallerResponse | None = None
    task: asyncio.Task[None] | None = None

    @property
    def method(self) -> str:
        """The method of the request."""
        return self.request.method if self.request is not None else "GET"


@dataclass(frozen=True)
class _ReadingPhase:
    """What the connection waits for in a request that began at a time, and how far a body is."""

    began_at: float
    awaited: Literal["head", "body", "memory"]
    body_bytes: int = 0


class CallerConnection(asyncio.BufferedProtocol):
    """Reads requests from one caller and writes their responses."""

    def __init__(
        self,
        owner: ConnectionOwner,
        handle_request: RequestCallback,
        clock: Clock,
        port: CallerPort | None = None,
    ) -> None:
        """Create a connection; `handle_request` returns the response to each request.

        Without a port, the number of connections isn't limited.
        """
        self._owner = owner
        self._port = port or CallerPort()
        self._handle_request = handle_request
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._reader = RequestReader(self, owner.memory, clock)
        self._exchanges: deque[_Exchange] = deque()
        self._unsent: Iterator[bytearray] | None = None
        self._closes_after_unsent = False
        self._owes_continue = False
        self._is_write_paused = False
        self._timer: asyncio.TimerHandle | None = None
        self._close_poll: asyncio.TimerHandle | None = None
        self._stall_check: StallCheck | None = None
        self._reading_phase: _ReadingPhase | None = None
        self._is_closing = False
        self._has_taken_request = False
        self._is_working = False

    # RequestSink.

    @property
    def limits(self) -> CallerLimits:
        """Size limits and timeouts in force now."""
        return self._port.limits or self._owner.limits

    @property
    def can_take_request(self) -> bool:
        """Whether another request may be read now: few are unanswered, and answers are read."""
        reads_answers = not self._is_write_paused or self._reader.is_reading_body
        return len(self._exchanges) < MAX_PIPELINED and reads_answers

    def take_request(self, request: CallerRequest, keep_alive: bool) -> None:
        """Queue a complete request and start those that may run now."""
        self._owes_continue = False
        self._has_taken_request = True
        self._exchanges.append(_Exchange(request, keep_alive))

    def reject(self, status: int) -> None:
        """Queue an error response after the pending ones; the connection closes after it."""
        self._owner.count_rejected(status)
        log.info(
            "event=request_rejected status={} {} unanswered={} held_bytes={}",
            status,
            self._reader.progress,
            len(self._exchanges),
            self._owner.memory.held_bytes,
        )
        self._reader.stop()
        self._cancel_timer()
        response = CallerResponse(status)
        if status == 503:
            response = answers.error_response(
                errorcodes.OVERLOADED,
                "The host has no memory for the request; it has not run.",
                "send it again after the time in Retry-After",
                status,
                MEMORY_RETRY_AFTER_S,
            )
        self._exchanges.append(_Exchange(None, keep_alive=False, response=response))
        self._write_responses()

    def fail_reading(self, error: BaseException) -> None:
        """Log a fault of the program, and reject the request, which has not run."""
        log.exception("event=handler_failed method='' error={!r}", error)
        self._owner.count_handler_failure()
        self.reject(500)

    def resume(self) -> None:
        """Read on: there is memory for the body now."""
        self._go_on()

    def send_continue(self) -> None:
        """Tell the caller to send the body of its request, behind the responses before it."""
        self._owes_continue = True
        self._send_owed_continue()

    # For the owner.

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or handled, and no response is being sent."""
        is_reading = self._reader.began_at is not None or self._reader.has_unparsed
        return not self._exchanges and not is_reading and self._unsent is None

    def close_if_idle(self) -> None:
        """Close the connection if no request is in progress."""
        if self.is_idle:
            self._close_gracefully()

    def stop_reading(self) -> None:
        """Take no more requests, and close after the responses to those in progress.

        Requests that haven't started are dropped: to the caller they are unread, as they follow a
        response that closes the connection.
        """
        self._reader.stop()
        self._cancel_timer()
        while self._exchanges and self._is_unstarted(self._exchanges[-1]):
            self._exchanges.pop()
        self.close_if_idle()

    def abort(self) -> None:
        """Close at once and drop unsent data."""
        if self._transport is not None:
            self._transport.abort()

    # asyncio.BufferedProtocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start the idle timeout."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._stall_check = StallCheck(transport, self._end_stalled)
        transport.set_write_buffer_limits(WRITE_BUFFER_BYTES)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_BYTES)
        # No limit for unacknowledged data: Linux applies it to callers that read nothing, too.
        tune_socket(sock, unacked_timeout_ms=0)
        self._owner.connection_opened(self)
        self._port.table.add(self)
        self._restart_timer(self.limits.idle_timeout_s)

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002
        """Return the buffer for the next read."""
        return self._owner.memory.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse bytes from the caller when it is the turn of this connection."""
        if self._is_closing or self._reader.is_stopped:
            return
        self._reader.receive(self._owner.memory.read_buffer[:nbytes])
        self._go_on()

    def eof_received(self) -> bool:
        """Close the connection: a caller that ends its stream is taken to be gone."""
        return False

    def pause_writing(self) -> None:
        """Write no more until the caller has read some."""
        self._is_write_paused = True
        self._update_phase()

    def resume_writing(self) -> None:
        """Write on."""
        self._is_write_paused = False
        self._write_responses()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Cancel the requests in progress."""
        self._is_closing = True
        self._cancel_timer()
        if self._close_poll is not None:
            self._close_poll.cancel()
        if self._stall_check is not None:
            self._stall_check.close()
        self._reader.stop()
        for exchange in self._exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self._exchanges.clear()
        self._unsent = None
        self._owner.connection_closed(self)
        self._port.table.remove(self)
        if self._port.turns is not None:
            self._port.turns.forget(self)

    @property
    def _runs_request(self) -> bool:
        """Whether a request has been started and its handler hasn't returned."""
        return any(
            exchange.task is not None and exchange.response is None for exchange in self._exchanges
        )

    def _update_phase(self) -> None:
        """Tell the table of connections what this one does now."""
        if self._is_closing:
            phase = ConnectionPhase.CLOSING
        elif self._is_write_paused and not self._runs_request:
            phase = ConnectionPhase.BLOCKED
        elif self._exchanges or self._unsent is not None:
            phase = ConnectionPhase.BUSY
        elif self._reader.began_at is not None or not self._has_taken_request:
            phase = ConnectionPhase.READING
        else:
            phase = ConnectionPhase.IDLE
        self._port.table.set_phase(self, phase)

    # Reading.

    @property
    def has_work(self) -> bool:
        """Whether a request can be started, or bytes can be parsed now."""
        if self._is_closing:
            return False
        return self._next_unstarted() is not None or self._reader.can_parse

    def work(self, max_steps: int) -> int:
        """Start requests and parse slices in some steps; return how many were done."""
        steps = 0
        self._is_working = True
        try:
            while steps < max_steps and self.has_work:
                steps += 1
                exchange = self._next_unstarted()
                if exchange is not None:
                    self._start_exchange(exchange)
                else:
                    self._reader.parse_slice()
        finally:
            self._is_working = False
        self._update_reading()
        self._update_phase()
        return steps

    def _go_on(self) -> None:
        """Work, now or in a later turn; read from the socket only what can be taken."""
        if self._is_working:
            return
        if self._port.turns is None:
            while self.has_work:
                self.work(1)
        elif self.has_work and self._port.turns.request(self):
            return  # `work` has updated both.
        self._update_reading()
        self._update_phase()

    def _update_reading(self) -> None:
        """Read from the socket only what can be taken, and limit the time of the request."""
        transport = self._transport
        if transport is None or self._is_closing or transport.is_closing():
            return
        self._reader.charge_unparsed()
        lacks_memory = self._reader.lacks_memory
        is_paused = lacks_memory or self._reader.has_unparsed or not self.can_take_request
        if is_paused:
            transport.pause_reading()
            self._poll_for_close()
        else:
            transport.resume_reading()
        if not self._reader.can_parse:  # Else this is called again after the next turn.
            self._limit_reading_time(is_paused)

    def _limit_reading_time(self, is_paused: bool) -> None:
        """Restart the timer if the request being read is in another phase or has made progress."""
        limits = self.limits
        began_at = self._reader.began_at
        phase: _ReadingPhase | None = None
        if began_at is None:
            limit_s = 0.0
        elif self._reader.lacks_memory:
            phase, limit_s = _ReadingPhase(began_at, "memory"), MEMORY_WAIT_S
        elif is_paused:
            limit_s = 0.0
        elif self._reader.is_reading_head:
            phase, limit_s = _ReadingPhase(began_at, "head"), limits.header_timeout_s
        else:
            phase = _ReadingPhase(began_at, "body", self._reader.body_bytes)
            left_s = began_at + MAX_REQUEST_READ_S - self._clock.now()
            limit_s = max(0.0, min(limits.idle_timeout_s, left_s))
        if phase == self._reading_phase:
            return
        self._reading_phase = phase
        if phase is not None:
            self._restart_timer(limit_s)
        elif not self.is_idle:
            self._cancel_timer()

    def _poll_for_close(self) -> None:
        """Begin to poll whether the caller closes while reading is paused."""
        if self._close_poll is None:
            self._close_poll = asyncio.get_running_loop().call_later(
                CLOSE_POLL_INTERVAL_S, self._check_closed_by_caller
            )

    def _check_closed_by_caller(self) -> None:
        self._close_poll = None
        transport = self._transport
        if transport is None or transport.is_closing() or transport.is_reading():
            return
        if _has_peer_closed(transport.get_extra_info("socket")):
            transport.abort()
        else:
            self._poll_for_close()

    # Responses.

    def _next_unstarted(self) -> _Exchange | None:
        """Return the request to start next; one that must run alone waits for those before it."""
        for index, exchange in enumerate(self._exchanges):
            is_parallel = exchange.method in PARALLEL_METHODS
            if index >= MAX_PIPELINED or (not is_parallel and index > 0):
                return None
            if exchange.request is not None and exchange.task is None:
                return exchange
            if not is_parallel:
                return None
        return None

    def _start_exchange(self, exchange: _Exchange) -> None:
        assert exchange.request is not None
        exchange.task = asyncio.get_running_loop().create_task(
            self._run_exchange(exchange, exchange.request)
        )

    async def _run_exchange(self, exchange: _Exchange, request: CallerRequest) -> None:
        try:
            exchange.response = await self._handle_request(request)
        except Exception as error:
            # A request without a response would hold up those behind it for ever.
            log.exception("event=handler_failed method={} error={!r}", request.method, error)
            self._owner.count_handler_failure()
            exchange.response = answers.error_response(
                errorcodes.UNKNOWN_PROXY_FAILED,
                "The host failed while serving the request, which may have run.",
                "look whether it took effect before sending it again; report the host's log",
                504,
            )
        self._write_responses()

    def _write_responses(self) -> None:
        """Write responses in order as the caller reads them; then read or run more."""
        transport = self._transport
        if transport is None or transport.is_closing() or self._is_closing:
            return
        while (
            not self._is_write_paused and not transport.is_closing() and self._write_next(transport)
        ):
            if self._closes_after_unsent and self._unsent is None:
                # The transport closes only once the caller has taken its buffer.
                if self._stall_check is not None:
                    self._stall_check.start(self._owner.caller_stall_s)
                self._close_gracefully()
                return
        if transport.is_closing():
            return  # The caller has reset the connection; `connection_lost` follows.
        self._send_owed_continue()
        if self._stall_check is not None:
            self._stall_check.start(self._owner.caller_stall_s)
        self._go_on()
        if self.is_idle:
            self._restart_timer(self.limits.idle_timeout_s)

    def _write_next(self, transport: asyncio.Transport) -> bool:
        """Write a block, or the next response; return False if there is none."""
        if self._unsent is not None:
            block = next(self._unsent, None)
            if block is None:
                self._unsent = None
            else:
                self._write(transport, block)
            return True
        if not self._exchanges or self._exchanges[0].response is None:
            return False
        exchange = self._exchanges.popleft()
        response = exchange.response
        assert response is not None
        nothing_pending = not self._exchanges and self._reader.began_at is None
        self._closes_after_unsent = not exchange.keep_alive or (
            nothing_pending and self._owner.is_stopping
        )
        head = encode_head(response, exchange.method, self._closes_after_unsent)
        if exchange.method == "HEAD":
            self._write(transport, head)
        elif isinstance(response.body, BodyBuffer) and len(response.body) > BLOCK_BYTES:
            self._write(transport, head)
            self._unsent = response.body.take_blocks()
        else:
            self._write(transport, head + bytes(response.body))
        return True

    def _send_owed_continue(self) -> None:
        if self._owes_continue and not self._exchanges and self._unsent is None:
            self._owes_continue = False
            if self._transport is not None:
                self._write(self._transport, b"HTTP/1.1 100 Continue\r\n\r\n")

    def _write(self, transport: asyncio.Transport, data: bytes | bytearray) -> None:
        if self._stall_check is not None:
            self._stall_check.record_written(len(data))
        transport.write(data)

    def _end_stalled(self, taken_bytes: int) -> None:
        """End the connection of a caller that has taken nothing for `caller_stall_s`."""
        log.info("event=caller_stalled taken_bytes={}", taken_bytes)
        self._owner.count_stalled()
        self.abort()

    def _is_unstarted(self, exchange: _Exchange) -> bool:
        return exchange.task is None and exchange.response is None

    def _close_gracefully(self) -> None:
        """Send what was written, end the stream, and close after CLOSE_LINGER_S."""
        self._is_closing = True
        self._update_phase()
        self._cancel_timer()
        self._reader.stop()
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        transport.resume_reading()
        try:
            transport.write_eof()
        except OSError:
            # The caller has reset the connection, which the event loop hasn't read yet.
            transport.abort()
            return
        asyncio.get_running_loop().call_later(CLOSE_LINGER_S, transport.close)

    def _restart_timer(self, seconds: float) -> None:
        self._cancel_timer()
        self._timer = asyncio.get_running_loop().call_later(seconds, self._on_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        """Reject an incomplete request, or close an idle connection."""
        self._timer = None
        if self._reader.lacks_memory:
            self.reject(503)
        elif self._reader.began_at is not None:
            self.reject(408)
        elif self.is_idle:
            self._close_gracefully()
        elif self._reader.has_unparsed:
            # Bytes wait for their turn, or for a caller that doesn't read its responses.
            self._restart_timer(self.limits.idle_timeout_s)


def _has_peer_closed(sock: socket.socket) -> bool:
    """Return whether the peer has ended its stream or reset it, whatever is still to be read."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))
