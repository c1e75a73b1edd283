"""Server of the link between agents: hands each call to the part of the agent it concerns."""

from typing import Protocol, TypeVar

from grpclib.server import Stream
from toucanspindle_core.control_grpc import PeerLinkBase
from toucanspindle_core.control_pb2 import (
    BundleRequest,
    ConfigBundle,
    EjectionSets,
    Empty,
    EvidenceBatch,
    GenerationNotice,
    IndirectAnswer,
    IndirectPing,
    MemberTable,
    NodeStatus,
    PingAnswer,
    PingRequest,
    PullEjections,
    StatusRequest,
)
from toucanspindle_core.errors import ControlError

from toucanspindle_node.agent_counters import AgentCounters, AgentEvent
from toucanspindle_node.agent_evidence import EvidenceRouter
from toucanspindle_node.configcache import ConfigCache
from toucanspindle_node.configspread import ConfigSpread
from toucanspindle_node.memberloop import MemberLoop
from toucanspindle_node.proxylink import refusal

Request = TypeVar("Request")
Answer = TypeVar("Answer")


class PeerHandlers(Protocol):
    """The parts of an agent that answer its peers."""

    @property
    def members(self) -> MemberLoop:
        """Answers pings and exchanges."""
        ...

    @property
    def cache(self) -> ConfigCache:
        """Gives out configurations."""
        ...

    @property
    def spread(self) -> ConfigSpread:
        """Hears of generations."""
        ...

    @property
    def evidence(self) -> EvidenceRouter:
        """Takes evidence and gives out ejections."""
        ...

    @property
    def counters(self) -> AgentCounters:
        """Counts refusals."""
        ...

    def node_status(self, request: StatusRequest) -> NodeStatus:
        """Return what operators see of this node."""
        ...


class PeerLink(PeerLinkBase):
    """Serves other agents and operators' tools; a refusal carries its code."""

    def __init__(self, handlers: PeerHandlers) -> None:
        self._handlers = handlers

    async def Ping(self, stream: "Stream[PingRequest, PingAnswer]") -> None:  # noqa: N802
        """Answer a probe."""
        request = await _receive(stream)
        try:
            answer = self._handlers.members.answer_ping(request)
        except ControlError as error:
            self._handlers.counters.count(AgentEvent.PING_REFUSED)
            raise refusal(error) from error
        await stream.send_message(answer)

    async def PingIndirect(  # noqa: N802
        self, stream: "Stream[IndirectPing, IndirectAnswer]"
    ) -> None:
        """Probe another agent for a peer."""
        request = await _receive(stream)
        await stream.send_message(await self._handlers.members.answer_indirect(request))

    async def ExchangeMembers(  # noqa: N802
        self, stream: "Stream[MemberTable, MemberTable]"
    ) -> None:
        """Compare member tables."""
        request = await _receive(stream)
        try:
            members = self._handlers.members.exchange.answer(list(request.members))
        except ControlError as error:
            self._handlers.counters.count(AgentEvent.REFUSED_MALFORMED)
            raise refusal(error) from error
        await stream.send_message(MemberTable(members=members))

    async def NotifyGeneration(  # noqa: N802
        self, stream: "Stream[GenerationNotice, Empty]"
    ) -> None:
        """Hear of a generation."""
        notice = await _receive(stream)
        self._handlers.spread.hear_generation(notice.generation, notice.from_agent_address)
        await stream.send_message(Empty())

    async def FetchBundle(  # noqa: N802
        self, stream: "Stream[BundleRequest, ConfigBundle]"
    ) -> None:
        """Give out the configuration."""
        request = await _receive(stream)
        bundle = self._handlers.cache.bundle_above(request.above_generation)
        await stream.send_message(bundle)

    async def SendEvidence(self, stream: "Stream[EvidenceBatch, Empty]") -> None:  # noqa: N802
        """Take in evidence."""
        self._handlers.evidence.accept_batch(await _receive(stream))
        await stream.send_message(Empty())

    async def FetchEjections(  # noqa: N802
        self, stream: "Stream[PullEjections, EjectionSets]"
    ) -> None:
        """Give out this node's ejections."""
        request = await _receive(stream)
        await stream.send_message(self._handlers.evidence.answer_pull(request))

    async def Status(self, stream: "Stream[StatusRequest, NodeStatus]") -> None:  # noqa: N802
        """Show this node to operators."""
        request = await _receive(stream)
        await stream.send_message(self._handlers.node_status(request))


async def _receive(stream: "Stream[Request, Answer]") -> Request:
    request = await stream.recv_message()
    if request is None:
        raise ConnectionError("the peer ended the call before its request")
    return request
