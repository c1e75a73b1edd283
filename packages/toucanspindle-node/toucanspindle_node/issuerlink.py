"""Traffic between proxies: requests sent to their issuer, records handed over, crash notices.

`IssuerServer` answers for this incarnation; the work itself runs on a small pool of threads,
since the request path blocks.  `IssuerCaller` is the other side.  Channels are kept per address.
A message that is malformed or too large is refused with a code before anything is done with it.
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
from toucanspindle_node.boundedmessage import UNDECODABLE, malformed, receive_message
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
ANSWER_MARGIN_S: Final = 0.25
CRASH_NOTICE_S: Final = 0.25
MAX_MESSAGE_BYTES: Final = 50_331_648  # a target's largest answer, with its headers, fits
CALL_ERRORS: Final = (OSError, GRPCError, StreamTerminatedError, TimeoutError)


class IssuerEnd(Protocol):
    """What the server asks of the proxy."""

    def answer_relayed(self, request: CallerRequest) -> Outcome:
        """Run or answer a request that another node sent here; blocks."""
        ...

    def explain(self, request_id: str) -> list[str]:
        """Return what is known of a request, a line per step."""
        ...

    def take_crash_notice(self, entry: pb.QuarantineEntry) -> list[pb.QuarantineEntry]:
        """Take note of a crash; return what this node knows of the same request."""
        ...


class IssuerServer(IssuerLinkBase):
    """Answers other proxies and `toucanctl explain`."""

    def __init__(self, address: HostPort, proxy: IssuerEnd, inherited: InheritedRecords) -> None:
        """Create a server at `address`."""
        self._address = address
        self._proxy = proxy
        self._inherited = inherited
        self._executor = ThreadPoolExecutor(SUBMIT_THREADS, thread_name_prefix="issuer")
        self._server: Server | None = None

    async def start(self) -> None:
        """Listen; raise SettingsError when the address can't be used."""
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
        """Run or answer a request whose token this incarnation issued or inherited."""
        message = await receive_message(stream, pb.SubmitRequest, MAX_MESSAGE_BYTES)
        try:
            request = parse_submit(message)
        except ValueError as error:
            raise malformed(str(error)) from error
        loop = asyncio.get_running_loop()
        outcome = await loop.run_in_executor(self._executor, self._proxy.answer_relayed, request)
        await stream.send_message(answer_message(outcome))

    async def HandOver(self, stream: "Stream[pb.RecordBatch, pb.Empty]") -> None:  # noqa: N802
        """Take over records of a proxy that closes (step HandOver)."""
        message = await receive_message(stream, pb.RecordBatch, MAX_MESSAGE_BYTES)
        try:
            records = parse_batch(message)
        except ValueError as error:
            raise malformed(str(error)) from error
        accepted = self._inherited.accept(
            message.from_incarnation, records, message.keep_ms / 1000, message.complete
        )
        if not accepted:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "no room for the records")
        await stream.send_message(pb.Empty())

    async def Explain(  # noqa: N802
        self, stream: "Stream[pb.ExplainRequest, pb.Explanation]"
    ) -> None:
        """Tell what is known of a request id."""
        message = await receive_message(stream, pb.ExplainRequest, MAX_MESSAGE_BYTES)
        await stream.send_message(pb.Explanation(lines=self._proxy.explain(message.request_id)))

    async def NoteCrash(  # noqa: N802
        self, stream: "Stream[pb.CrashNotice, pb.CrashEntries]"
    ) -> None:
        """Take note of a request that crashed a target elsewhere."""
        message = await receive_message(stream, pb.CrashNotice, MAX_MESSAGE_BYTES)
        try:
            check_crash_entry(message.entry)
        except ValueError as error:
            raise malformed(str(error)) from error
        entries = self._proxy.take_crash_notice(message.entry)
        await stream.send_message(pb.CrashEntries(entries=entries))


class IssuerCaller:
    """Calls other proxies; used by worker threads."""

    def __init__(self, loop: EventLoopThread) -> None:
        """Create a caller whose channels live on `loop`."""
        self._loop = loop
        self._channels: dict[str, Channel] = {}

    def close(self) -> None:
        """Close all channels."""
        self._loop.call(self._close(), HAND_OVER_TIMEOUT_S)

    def submit(self, address: str, exchange: Exchange) -> Outcome:
        """Send a request to its issuer and return the outcome (step AskIssuer).

        When the issuer can't be heard the outcome is *unknown*, even if the connection was
        refused: an earlier copy of the request may have run there.
        """
        timeout_s = max(exchange.remaining_s(), 0.0) + ANSWER_MARGIN_S
        try:
            answer = self._loop.call(self._submit(address, exchange, timeout_s), timeout_s)
            return parse_answer(answer)
        except (*CALL_ERRORS, *UNDECODABLE, ValueError) as error:
            exchange.add_trace_step(f"the issuer at {address} can't be heard: {error!r}")
            text = "The node that issued the token can't be heard."
            unheard = RequestError(errorcodes.UNKNOWN_ISSUER, text, messages.REMEDY_UNKNOWN)
            return Outcome.from_error(unheard)

    def hand_over(self, address: str, batch: pb.RecordBatch) -> None:
        """Hand records over; raise ControlError unless the successor took them all."""
        try:
            self._loop.call(self._hand_over(address, batch), HAND_OVER_TIMEOUT_S)
        except CALL_ERRORS as error:
            raise ControlError(
                errorcodes.AGENT_AWAY,
                f"The proxy at {address} didn't take the records: {error!r}.",
                "none needed: another successor is tried; otherwise outcomes become unknown",
            ) from error

    def tell_crash(
        self, addresses: list[str], entry: pb.QuarantineEntry
    ) -> list[pb.QuarantineEntry]:
        """Tell proxies of a crash; return what those that answered in time know of it."""
        try:
            return self._loop.call(self._tell_crash(addresses, entry), 2 * CRASH_NOTICE_S)
        except TimeoutError:
            return []

    async def _tell_crash(
        self, addresses: list[str], entry: pb.QuarantineEntry
    ) -> list[pb.QuarantineEntry]:
        answers = await asyncio.gather(
            *(self._tell_one(address, entry) for address in addresses), return_exceptions=True
        )
        known = [a for a in answers if isinstance(a, pb.CrashEntries)]
        return [item for answer in known for item in answer.entries]

    async def _tell_one(self, address: str, entry: pb.QuarantineEntry) -> pb.CrashEntries:
        stub = IssuerLinkStub(self._channel(address))
        return await stub.NoteCrash(pb.CrashNotice(entry=entry), timeout=CRASH_NOTICE_S)

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
            parsed = HostPort.parse(address)
            channel = ControlChannel(parsed.ip, parsed.port)
            self._channels[address] = channel
        return channel
