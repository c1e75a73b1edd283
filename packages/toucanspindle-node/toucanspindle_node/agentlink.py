"""The proxy's side of its link to the agent on the same host.

One stream brings the fleet's state down, whenever it changes; a report goes up at a fixed
interval, and at once when something can't wait (a crash, a drain signal, a change of the
member's state).  While the agent is away the proxy serves on its last state and tries again;
ejections lapse by themselves.
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


class ProxyEnd(Protocol):
    """What the link asks of the proxy; called on the event loop, so it must not block."""

    def member(self) -> pb.Member:
        """Return the proxy as a member, with its current state and token."""
        ...

    def report(self) -> pb.ProxyReport:
        """Return the report of what happened since the last one."""
        ...

    def apply(self, state: pb.AgentState) -> None:
        """Apply a state that the agent sent."""
        ...


class AgentLink:
    """Keeps the link up.

    Invariant: at most one stream and one report are open.
    """

    def __init__(self, address: HostPort, interval_s: float, proxy: ProxyEnd) -> None:
        """Create a link to the agent at `address` that reports each `interval_s` seconds."""
        self._address = address
        self._interval_s = interval_s
        self._proxy = proxy
        self._channel: Channel | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._wake = asyncio.Event()
        self._connected = False

    @property
    def connected(self) -> bool:
        """Whether the stream from the agent is open."""
        return self._connected

    async def start(self) -> None:
        """Start following and reporting."""
        self._channel = ControlChannel(self._address.ip, self._address.port)
        self._tasks = [
            asyncio.create_task(self._follow_forever()),
            asyncio.create_task(self._report_forever()),
        ]

    async def close(self) -> None:
        """End the link."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._channel is not None:
            self._channel.close()

    def report_soon(self) -> None:
        """Send a report at once instead of at the next interval; call on the event loop."""
        self._wake.set()

    async def report_now(self) -> bool:
        """Send a report and return whether the agent took it."""
        assert self._channel is not None
        try:
            stub = ProxyLinkStub(self._channel)
            await stub.Report(self._proxy.report(), timeout=REPORT_TIMEOUT_S)
        except (OSError, GRPCError, StreamTerminatedError, TimeoutError):
            return False
        return True

    async def _follow_forever(self) -> None:
        while True:
            try:
                await self._follow()
            except (OSError, GRPCError, StreamTerminatedError, TimeoutError) as error:
                self._note_connected(False, repr(error))
            await asyncio.sleep(RECONNECT_S)

    async def _follow(self) -> None:
        assert self._channel is not None
        stub = ProxyLinkStub(self._channel)
        async with stub.Follow.open() as stream:
            await stream.send_message(pb.ProxyHello(member=self._proxy.member()), end=True)
            async for state in stream:
                self._note_connected(True, "")
                self._proxy.apply(state)
                if state.config.generation:
                    self.report_soon()  # so that operators see soon what is in force
        self._note_connected(False, "the agent ended the stream")

    async def _report_forever(self) -> None:
        while True:
            try:
                await asyncio.wait_for(self._wake.wait(), self._interval_s)
            except TimeoutError:
                pass
            self._wake.clear()
            await self.report_now()

    def _note_connected(self, connected: bool, cause: str) -> None:
        if connected == self._connected:
            return
        self._connected = connected
        if connected:
            log.info("agent at {} is connected", self._address)
        else:
            log.warning("agent at {} is away ({}); serving on", self._address, cause)
