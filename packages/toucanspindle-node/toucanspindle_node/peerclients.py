"""Calls to other agents over a bounded cache of grpclib channels.

A channel is closed when its connection breaks, and after `MAX_TIMEOUTS` calls in a row without an
answer that span `min_silence_s`: until then requests go on reaching a peer whose answers are lost,
so that the peer can learn that it isn't heard.  A count alone is used up early, since helpers ping
the peer too.  The channels used least recently are closed when more than
`MAX_CHANNELS` are open and idle.  A refusal by the peer carries the name of its error code at the
start of the status message.
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

from toucanspindle_node.agent_counters import AgentCounters, AgentEvent

MAX_CHANNELS: Final = 64
MAX_TIMEOUTS: Final = 4
CALL_TIMEOUT_S: Final = 2.0
BUNDLE_TIMEOUT_S: Final = 5.0
CODE_CHARS: Final = 5

Request = TypeVar("Request")
Answer = TypeVar("Answer")


@dataclass
class _Peer:
    channel: Channel
    stub: PeerLinkStub
    in_flight: int = 0
    timeouts: int = 0
    silent_since_s: float = 0.0


class PeerClients:
    """Calls other agents.

    Every call raises ControlError: PEER_AWAY when there was no answer in time, else the code
    that the peer refused with.  Invariant: a peer's channel is closed only while it is idle or
    after its calls failed.
    """

    def __init__(self, counters: AgentCounters, min_silence_s: float, clock: Clock) -> None:
        """Create clients that keep a silent peer's channel for `min_silence_s` at least."""
        self._counters = counters
        self._min_silence_s = min_silence_s
        self._clock = clock
        self._peers: OrderedDict[str, _Peer] = OrderedDict()

    def close(self) -> None:
        """Close all channels."""
        for peer in self._peers.values():
            peer.channel.close()
        self._peers.clear()

    async def ping(self, address: str, request: PingRequest, timeout_s: float) -> PingAnswer:
        """Ping the agent at `address`."""
        self._counters.count(AgentEvent.PING_SENT)
        return await self._call(address, lambda stub: stub.Ping, request, timeout_s)

    async def ping_indirect(
        self, address: str, request: IndirectPing, timeout_s: float
    ) -> IndirectAnswer:
        """Have the agent at `address` ping another one."""
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
        """Tell the agent at `address` of a generation."""
        self._counters.count(AgentEvent.NOTICE_SENT)
        await self._call(address, lambda stub: stub.NotifyGeneration, notice, CALL_TIMEOUT_S)

    async def fetch_bundle(self, address: str, above_generation: int) -> ConfigBundle:
        """Return a configuration above the generation, or an empty bundle."""
        request = BundleRequest(above_generation=above_generation)
        return await self._call(address, lambda stub: stub.FetchBundle, request, BUNDLE_TIMEOUT_S)

    async def send_evidence(self, address: str, batch: EvidenceBatch) -> None:
        """Send evidence to a judge."""
        await self._call(address, lambda stub: stub.SendEvidence, batch, CALL_TIMEOUT_S)

    async def fetch_ejections(self, address: str, services: list[str]) -> EjectionSets:
        """Return the ejections that the agent at `address` decided for the services."""
        self._counters.count(AgentEvent.EJECTIONS_PULLED)
        request = PullEjections(services=services)
        return await self._call(address, lambda stub: stub.FetchEjections, request, CALL_TIMEOUT_S)

    async def _call(
        self,
        address: str,
        choose: Callable[[PeerLinkStub], UnaryUnaryMethod[Any, Answer]],
        request: Any,
        timeout_s: float,
    ) -> Answer:
        peer = self._peer(address)
        peer.in_flight += 1
        try:
            answer = await choose(peer.stub)(request, timeout=timeout_s)
            peer.timeouts = 0
            return answer
        except GRPCError as error:
            raise _refusal(address, error) from error
        except (TimeoutError, OSError, ProtocolError, StreamTerminatedError) as error:
            self._counters.count(AgentEvent.CALL_FAILED)
            if not isinstance(error, TimeoutError) or self._is_silent_for_long(peer):
                self._discard(address, peer)
            text = f"The agent at {address} didn't answer: {type(error).__name__} {error}."
            remedy = "check that it runs and that the network lets us through"
            raise ControlError(errorcodes.PEER_AWAY, text, remedy) from error
        finally:
            peer.in_flight -= 1

    def _is_silent_for_long(self, peer: _Peer) -> bool:
        """Note a timeout; return whether the channel has outlived its use."""
        now = self._clock.now()
        if not peer.timeouts:
            peer.silent_since_s = now
        peer.timeouts += 1
        return peer.timeouts >= MAX_TIMEOUTS and now - peer.silent_since_s >= self._min_silence_s

    def _peer(self, address: str) -> _Peer:
        peer = self._peers.get(address)
        if peer is None:
            place = HostPort.parse(address)
            channel = ControlChannel(place.ip, place.port)
            peer = self._peers[address] = _Peer(channel, PeerLinkStub(channel))
            self._counters.count(AgentEvent.CONNECTED)
            self._close_idle()
        self._peers.move_to_end(address)
        return peer

    def _close_idle(self) -> None:
        excess = len(self._peers) - MAX_CHANNELS
        idle = [address for address, peer in self._peers.items() if not peer.in_flight]
        for address in idle[: max(0, excess)]:
            self._discard(address, self._peers[address])

    def _discard(self, address: str, peer: _Peer) -> None:
        if self._peers.get(address) is peer:
            del self._peers[address]
        peer.channel.close()


def _refusal(address: str, error: GRPCError) -> ControlError:
    message = error.message or ""
    code = errorcodes.lookup_code(message[:CODE_CHARS]) or errorcodes.PEER_AWAY
    text = f"The agent at {address} refused: {error.status.name} {message}"
    return ControlError(code, text, "see the refusing agent's log and counters")
