"""The proxy's side of its link to the agent on the same host.

The agent sends the fleet's state over one stream whenever it changes.  The proxy sends a report at
a fixed interval, and immediately on urgent events (a new configuration, a drain signal, a change of
the member's state).  While the agent is unreachable the proxy keeps serving on its last state and
reconnects; ejections expire without the agent.
"""

import asyncio
from typing import Final, Protocol

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError
from logbook import Logger
from toucanspindle_core import control_pb2 as pb
from toucanspindle_core.control_grpc import ProxyLinkStub
from toucanspindle_core.controlchannel import ControlChannel
from toucanspindle_core.hostport import HostPort

RECONNECT_S: Final = 0.25
REPORT_TIMEOUT_S: Final = 2.0

log = Logger("agentlink")


class ProxyLinkHandler(Protocol):
    """The methods of the proxy that the link calls, on the event loop; they must not block."""

    def member(self) -> pb.Member:
        """Return the proxy as a member, with its current state and token."""
        ...

    def report(self) -> pb.ProxyReport:
        """Return a report of the events since the last report."""
        ...

    def apply(self, state: pb.AgentState) -> None:
        """Apply a fleet state from the agent."""
        ...


class AgentLink:
    """Keeps the link to the agent connected.

    Invariant: at most one stream and one report are open.
    """

    def __init__(self, address: HostPort, interval_s: float, handler: ProxyLinkHandler) -> None:
        """Create a link to the agent at `address` that reports every `interval_s` seconds."""
        self._address = address
        self._interval_s = interval_s
        self._handler = handler
        self._channel: Channel | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._report_requested = asyncio.Event()
        self._connected = False

    @property
    def connected(self) -> bool:
        """Whether the stream from the agent is open."""
        return self._connected

    async def start(self) -> None:
        """Start the tasks that receive states and send reports."""
        self._channel = ControlChannel(self._address.ip, self._address.port)
        self._tasks = [
            asyncio.create_task(self._follow_forever()),
            asyncio.create_task(self._report_forever()),
        ]

    async def close(self) -> None:
        """Cancel the tasks and close the channel."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._channel is not None:
            self._channel.close()

    def request_report(self) -> None:
        """Wake the report task to send a report immediately; must be called on the event loop."""
        self._report_requested.set()

    async def send_report(self) -> bool:
        """Send a report and return whether the agent accepted it."""
        assert self._channel is not None
        try:
            stub = ProxyLinkStub(self._channel)
            await stub.Report(self._handler.report(), timeout=REPORT_TIMEOUT_S)
        except (OSError, GRPCError, StreamTerminatedError, TimeoutError):
            return False
        return True

    async def _follow_forever(self) -> None:
        while True:
            try:
                await self._follow()
            except (OSError, GRPCError, StreamTerminatedError, TimeoutError) as error:
                self._set_connected(False, repr(error))
            await asyncio.sleep(RECONNECT_S)

    async def _follow(self) -> None:
        assert self._channel is not None
        stub = ProxyLinkStub(self._channel)
        async with stub.Follow.open() as stream:
            await stream.send_message(pb.ProxyHello(member=self._handler.member()), end=True)
            async for state in stream:
                self._set_connected(True, "")
                self._handler.apply(state)
                if state.config.generation:
                    self.request_report()  # shows operators the new generation without delay
        self._set_connected(False, "the agent ended the stream")

    async def _report_forever(self) -> None:
        while True:
            try:
                await asyncio.wait_for(self._report_requested.wait(), self._interval_s)
            except TimeoutError:
                pass
            self._report_requested.clear()
            await self.send_report()

    def _set_connected(self, connected: bool, cause: str) -> None:
        if connected == self._connected:
            return
        self._connected = connected
        if connected:
            log.info("agent at {} is connected", self._address)
        else:
            log.warning(
                "agent at {} is disconnected ({}); the proxy keeps serving", self._address, cause
            )
