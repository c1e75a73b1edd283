"""gRPC clients for other agents, with a bounded LRU cache of channels.

A channel is closed when its connection breaks.  It is also closed after
`MAX_CONSECUTIVE_TIMEOUTS` timeouts in a row that span at least `min_silence_s` seconds.  Until then
requests continue to reach a peer whose answers are lost, so that the peer can detect that its
messages don't arrive.  The count alone isn't enough: indirect probes for other agents use the same
channel and reach the count early.

If more than `MAX_CHANNELS` channels are open, the least recently used idle ones are closed.  When a
peer refuses a call, the status message starts with the error code.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final, TypeVar

from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from toucanspindle_core import errorcodes
from toucanspindle_core.clock import Clock
from toucanspindle_core.control_grpc import PeerLinkStub
from toucanspindle_core.control_pb2 import (
    BundleRequest,
    ConfigBundle,
    EjectionSets,
    EvidenceBatch,
    GenerationNotice,
    IndirectAnswer,
    IndirectPing,
    Member,
    MemberTable,
    PingAnswer,
    PingRequest,
    PullEjections,
)
from toucanspindle_core.controlchannel import ControlChannel
from toucanspindle_core.errors import ControlError
from toucanspindle_core.hostport import HostPort

from toucanspindle_node.eventcounters import AgentCounters, AgentEvent

MAX_CHANNELS: Final = 64
MAX_CONSECUTIVE_TIMEOUTS: Final = 4
CALL_TIMEOUT_S: Final = 2.0
BUNDLE_TIMEOUT_S: Final = 5.0
ERROR_CODE_LENGTH: Final = 5

Request = TypeVar("Request")
Answer = TypeVar("Answer")


@dataclass
class _Connection:
    channel: Channel
    stub: PeerLinkStub
    in_flight: int = 0
    consecutive_timeouts: int = 0
    first_timeout_at_s: float = 0.0


class PeerClients:
    """Calls other agents.

    Every call raises ControlError: with code PEER_UNREACHABLE if there was no answer in time, else
    with the code of the peer's refusal.

    Invariant: a peer's channel is closed only while it is idle or after a call on it failed.
    """

    def __init__(self, counters: AgentCounters, min_silence_s: float, clock: Clock) -> None:
        """Create clients without connections.

        The channel of a peer that doesn't answer is kept for at least `min_silence_s` seconds.
        """
        self._counters = counters
        self._min_silence_s = min_silence_s
        self._clock = clock
        self._connections: OrderedDict[str, _Connection] = OrderedDict()

    def close(self) -> None:
        """Close all channels."""
        for connection in self._connections.values():
            connection.channel.close()
        self._connections.clear()

    async def ping(self, address: str, request: PingRequest, timeout_s: float) -> PingAnswer:
        """Ping the agent at `address` and return its answer."""
        self._counters.count(AgentEvent.PING_SENT)
        return await self._call(address, lambda stub: stub.Ping, request, timeout_s)

    async def ping_indirect(
        self, address: str, request: IndirectPing, timeout_s: float
    ) -> IndirectAnswer:
        """Ask the agent at `address` to ping another agent, and return its answer."""
        self._counters.count(AgentEvent.PING_INDIRECT)
        return await self._call(address, lambda stub: stub.PingIndirect, request, timeout_s)

    async def exchange_members(self, address: str, members: list[Member]) -> list[Member]:
        """Send member records and return the peer's answer."""
        self._counters.count(AgentEvent.EXCHANGE)
        request = MemberTable(members=members)
        answer = await self._call(
            address, lambda stub: stub.ExchangeMembers, request, CALL_TIMEOUT_S
        )
        return list(answer.members)

    async def notify_generation(self, address: str, notice: GenerationNotice) -> None:
        """Notify the agent at `address` of a configuration generation."""
        self._counters.count(AgentEvent.NOTICE_SENT)
        await self._call(address, lambda stub: stub.NotifyGeneration, notice, CALL_TIMEOUT_S)

    async def fetch_bundle(self, address: str, above_generation: int) -> ConfigBundle:
        """Return the peer's configuration if its generation is higher, else an empty bundle."""
        request = BundleRequest(above_generation=above_generation)
        return await self._call(address, lambda stub: stub.FetchBundle, request, BUNDLE_TIMEOUT_S)

    async def send_evidence(self, address: str, batch: EvidenceBatch) -> None:
        """Send evidence to the judge at `address`."""
        await self._call(address, lambda stub: stub.SendEvidence, batch, CALL_TIMEOUT_S)

    async def fetch_ejections(self, address: str, services: list[str]) -> EjectionSets:
        """Return the ejections that the agent at `address` decided for the services."""
        self._counters.count(AgentEvent.EJECTIONS_PULLED)
        request = PullEjections(services=services)
        return await self._call(address, lambda stub: stub.FetchEjections, request, CALL_TIMEOUT_S)

    async def _call(
        self,
        address: str,
        select_method: Callable[[PeerLinkStub], UnaryUnaryMethod[Any, Answer]],
        request: Any,
        timeout_s: float,
    ) -> Answer:
        connection = self._connection_to(address)
        connection.in_flight += 1
        try:
            answer = await select_method(connection.stub)(request, timeout=timeout_s)
            connection.consecutive_timeouts = 0
            return answer
        except GRPCError as error:
            raise _control_error(address, error) from error
        except (TimeoutError, OSError, ProtocolError, StreamTerminatedError) as error:
            self._counters.count(AgentEvent.CALL_FAILED)
            if not isinstance(error, TimeoutError) or self._record_timeout(connection):
                self._discard(address, connection)
            text = f"The agent at {address} didn't answer: {type(error).__name__} {error}."
            remedy = "check that the agent runs and that the network allows connections to it"
            raise ControlError(errorcodes.PEER_UNREACHABLE, text, remedy) from error
        finally:
            connection.in_flight -= 1

    def _record_timeout(self, connection: _Connection) -> bool:
        """Record a timeout; return whether the channel must be closed."""
        now = self._clock.now()
        if not connection.consecutive_timeouts:
            connection.first_timeout_at_s = now
        connection.consecutive_timeouts += 1
        return (
            connection.consecutive_timeouts >= MAX_CONSECUTIVE_TIMEOUTS
            and now - connection.first_timeout_at_s >= self._min_silence_s
        )

    def _connection_to(self, address: str) -> _Connection:
        connection = self._connections.get(address)
        if connection is None:
            host_port = HostPort.parse(address)
            channel = ControlChannel(host_port.ip, host_port.port)
            connection = self._connections[address] = _Connection(channel, PeerLinkStub(channel))
            self._counters.count(AgentEvent.CONNECTED)
            self._close_excess_idle()
        self._connections.move_to_end(address)
        return connection

    def _close_excess_idle(self) -> None:
        excess = len(self._connections) - MAX_CHANNELS
        idle = [
            address for address, connection in self._connections.items() if not connection.in_flight
        ]
        for address in idle[: max(0, excess)]:
            self._discard(address, self._connections[address])

    def _discard(self, address: str, connection: _Connection) -> None:
        if self._connections.get(address) is connection:
            del self._connections[address]
        connection.channel.close()


def _control_error(address: str, error: GRPCError) -> ControlError:
    message = error.message or ""
    code = errorcodes.lookup_code(message[:ERROR_CODE_LENGTH]) or errorcodes.PEER_UNREACHABLE
    text = f"The agent at {address} refused the call: {error.status.name} {message}"
    return ControlError(code, text, "check the log and the event counters of that agent")
