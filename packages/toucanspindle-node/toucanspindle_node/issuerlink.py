"""Calls between proxies: relayed requests, handed-over records, crash notices, `explain`.

`IssuerLinkServer` serves the calls to this incarnation; relayed requests run on a small thread
pool, since the filter chain blocks.  `IssuerLinkClient` calls other proxies, with one channel per
address.  A malformed or oversized message is refused with an error code before it is processed.
"""

import asyncio
from concurrent.futures import ThreadPoolExecutor
from typing import Final, Protocol

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server, Stream
from toucanspindle_core import control_pb2 as pb
from toucanspindle_core import errorcodes
from toucanspindle_core.control_grpc import IssuerLinkBase, IssuerLinkStub
from toucanspindle_core.controlchannel import ControlChannel
from toucanspindle_core.errors import ControlError, RequestError
from toucanspindle_core.hostport import HostPort
from toucanspindle_core.inheritedrecords import InheritedRecords
from toucanspindle_core.outcome import Outcome

from toucanspindle_node import messages
from toucanspindle_node.boundedmessage import DECODE_ERRORS, malformed_error, receive_message
from toucanspindle_node.eventloop import EventLoopThread
from toucanspindle_node.exchange import CallerRequest, Exchange
from toucanspindle_node.listening import explain_bind_error
from toucanspindle_node.outcomewire import (
    answer_message,
    check_crash_entry,
    parse_answer,
    parse_batch,
    parse_submit,
    submit_message,
)

SUBMIT_THREADS: Final = 8
HAND_OVER_TIMEOUT_S: Final = 5.0
ANSWER_MARGIN_S: Final = 0.25  # beyond the deadline, for the issuer's answer to arrive
CRASH_NOTICE_TIMEOUT_S: Final = 0.25
MAX_MESSAGE_BYTES: Final = 50_331_648  # fits the largest response of a target with its headers
CALL_ERRORS: Final = (OSError, GRPCError, StreamTerminatedError, TimeoutError)


class IssuerLinkHandler(Protocol):
    """The methods of the proxy that the server calls."""

    def answer_relayed(self, request: CallerRequest) -> Outcome:
        """Return the outcome of a request that another node sent here; blocks."""
        ...

    def explain(self, request_id: str) -> list[str]:
        """Return the trace of a request, a line per step; empty when it isn't known."""
        ...

    def receive_crash_notice(self, entry: pb.QuarantineEntry) -> list[pb.QuarantineEntry]:
        """Record a crash; return this node's earlier entries for the same request."""
        ...


class IssuerLinkServer(IssuerLinkBase):
    """Serves the calls of other proxies and of `toucanctl explain`."""

    def __init__(
        self, address: HostPort, handler: IssuerLinkHandler, inherited: InheritedRecords
    ) -> None:
        """Create a server for `address`, not listening yet."""
        self._address = address
        self._handler = handler
        self._inherited = inherited
        self._executor = ThreadPoolExecutor(SUBMIT_THREADS, thread_name_prefix="issuer")
        self._server: Server | None = None

    async def start(self) -> None:
        """Start listening; raise SettingsError when the address can't be used."""
        self._server = Server([self])
        try:
            await self._server.start(self._address.ip, self._address.port)
        except OSError as error:
            raise explain_bind_error("proxy_control_address", self._address, error) from error

    async def close(self) -> None:
        """Stop listening and end all streams."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
        self._executor.shutdown(wait=False)

    async def Submit(  # noqa: N802
        self, stream: "Stream[pb.SubmitRequest, pb.SubmitAnswer]"
    ) -> None:
        """Handle a relayed request whose token this incarnation issued or inherited."""
        message = await receive_message(stream, pb.SubmitRequest, MAX_MESSAGE_BYTES)
        try:
            request = parse_submit(message)
        except ValueError as error:
            raise malformed_error(str(error)) from error
        loop = asyncio.get_running_loop()
        outcome = await loop.run_in_executor(self._executor, self._handler.answer_relayed, request)
        await stream.send_message(answer_message(outcome))

    async def HandOver(self, stream: "Stream[pb.RecordBatch, pb.Empty]") -> None:  # noqa: N802
        """Accept the records of a proxy that shuts down (step HandOver)."""
        message = await receive_message(stream, pb.RecordBatch, MAX_MESSAGE_BYTES)
        try:
            records = parse_batch(message)
        except ValueError as error:
            raise malformed_error(str(error)) from error
        accepted = self._inherited.accept(
            message.from_incarnation, records, message.keep_ms / 1000, message.complete
        )
        if not accepted:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "the table of inherited records is full")
        await stream.send_message(pb.Empty())

    async def Explain(  # noqa: N802
        self, stream: "Stream[pb.ExplainRequest, pb.Explanation]"
    ) -> None:
        """Send the trace of a request; it has no lines when the id isn't known."""
        message = await receive_message(stream, pb.ExplainRequest, MAX_MESSAGE_BYTES)
        await stream.send_message(pb.Explanation(lines=self._handler.explain(message.request_id)))

    async def NoteCrash(  # noqa: N802
        self, stream: "Stream[pb.CrashNotice, pb.CrashEntries]"
    ) -> None:
        """Record a crash at another node, and send this node's entries for the same request."""
        message = await receive_message(stream, pb.CrashNotice, MAX_MESSAGE_BYTES)
        try:
            check_crash_entry(message.entry)
        except ValueError as error:
            raise malformed_error(str(error)) from error
        entries = self._handler.receive_crash_notice(message.entry)
        await stream.send_message(pb.CrashEntries(entries=entries))


class IssuerLinkClient:
    """Calls other proxies; the methods block and are called from worker threads."""

    def __init__(self, loop: EventLoopThread) -> None:
        """Create a client whose channels run on `loop`."""
        self._loop = loop
        self._channels: dict[str, Channel] = {}

    def close(self) -> None:
        """Close all channels."""
        self._loop.call(self._close(), HAND_OVER_TIMEOUT_S)

    def submit(self, address: str, exchange: Exchange) -> Outcome:
        """Send a request to its issuer and return the outcome (step AskIssuer).

        If the issuer can't be reached the outcome is *unknown*, even when it refused the
        connection, because an earlier copy of the request may have run there.
        """
        timeout_s = max(exchange.remaining_s(), 0.0) + ANSWER_MARGIN_S
        try:
            answer = self._loop.call(self._submit(address, exchange, timeout_s), timeout_s)
            return parse_answer(answer)
        except (*CALL_ERRORS, *DECODE_ERRORS, ValueError) as error:
            exchange.add_trace_step(f"the issuer at {address} can't be reached: {error!r}")
            text = "The node that issued the token can't be reached."
            unreachable_error = RequestError(
                errorcodes.UNKNOWN_ISSUER, text, messages.REMEDY_UNKNOWN
            )
            return Outcome.from_error(unreachable_error)

    def hand_over(self, address: str, batch: pb.RecordBatch) -> None:
        """Hand over a batch of records; raise ControlError unless the successor accepted it."""
        try:
            self._loop.call(self._hand_over(address, batch), HAND_OVER_TIMEOUT_S)
        except CALL_ERRORS as error:
            raise ControlError(
                errorcodes.AGENT_UNREACHABLE,
                f"The proxy at {address} didn't accept the records: {error!r}.",
                "none needed: another successor is tried; otherwise outcomes become unknown",
            ) from error

    def notify_crash(
        self, addresses: list[str], entry: pb.QuarantineEntry
    ) -> list[pb.QuarantineEntry]:
        """Notify proxies of a crash; return the entries of those that answered in time."""
        try:
            return self._loop.call(self._notify_all(addresses, entry), 2 * CRASH_NOTICE_TIMEOUT_S)
        except TimeoutError:
            return []

    async def _notify_all(
        self, addresses: list[str], entry: pb.QuarantineEntry
    ) -> list[pb.QuarantineEntry]:
        answers = await asyncio.gather(
            *(self._notify_one(address, entry) for address in addresses), return_exceptions=True
        )
        received = [a for a in answers if isinstance(a, pb.CrashEntries)]
        return [item for answer in received for item in answer.entries]

    async def _notify_one(self, address: str, entry: pb.QuarantineEntry) -> pb.CrashEntries:
        stub = IssuerLinkStub(self._channel(address))
        return await stub.NoteCrash(pb.CrashNotice(entry=entry), timeout=CRASH_NOTICE_TIMEOUT_S)

    async def _submit(self, address: str, exchange: Exchange, timeout_s: float) -> pb.SubmitAnswer:
        stub = IssuerLinkStub(self._channel(address))
        return await stub.Submit(submit_message(exchange), timeout=timeout_s)

    async def _hand_over(self, address: str, batch: pb.RecordBatch) -> None:
        stub = IssuerLinkStub(self._channel(address))
        await stub.HandOver(batch, timeout=HAND_OVER_TIMEOUT_S)

    async def _close(self) -> None:
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    def _channel(self, address: str) -> Channel:
        channel = self._channels.get(address)
        if channel is None:
            host_port = HostPort.parse(address)
            channel = ControlChannel(host_port.ip, host_port.port)
            self._channels[address] = channel
        return channel
