"""Server of the link between agents: hands each call to the part of the agent it concerns.

The largest message that an agent sends on is a table of members, about 170 KB at the two-year size;
what exceeds `MAX_MESSAGE_BYTES` is refused before it is read.
"""

from typing import Final, Protocol

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
from toucanspindle_node.boundedmessage import receive_message
from toucanspindle_node.configcache import ConfigCache
from toucanspindle_node.configspread import ConfigSpread
from toucanspindle_node.memberloop import MemberLoop
from toucanspindle_node.proxylink import refusal

MAX_MESSAGE_BYTES: Final = 4 << 20


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
        request = await receive_message(stream, PingRequest, MAX_MESSAGE_BYTES)
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
        request = await receive_message(stream, IndirectPing, MAX_MESSAGE_BYTES)
        await stream.send_message(await self._handlers.members.answer_indirect(request))

    async def ExchangeMembers(  # noqa: N802
        self, stream: "Stream[MemberTable, MemberTable]"
    ) -> None:
        """Compare member tables."""
        request = await receive_message(stream, MemberTable, MAX_MESSAGE_BYTES)
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
        notice = await receive_message(stream, GenerationNotice, MAX_MESSAGE_BYTES)
        self._handlers.spread.hear_generation(notice.generation, notice.from_agent_address)
        await stream.send_message(Empty())

    async def FetchBundle(  # noqa: N802
        self, stream: "Stream[BundleRequest, ConfigBundle]"
    ) -> None:
        """Give out the configuration."""
        request = await receive_message(stream, BundleRequest, MAX_MESSAGE_BYTES)
        bundle = self._handlers.cache.bundle_above(request.above_generation)
        await stream.send_message(bundle)

    async def SendEvidence(self, stream: "Stream[EvidenceBatch, Empty]") -> None:  # noqa: N802
        """Take in evidence."""
        self._handlers.evidence.accept_batch(
            await receive_message(stream, EvidenceBatch, MAX_MESSAGE_BYTES)
        )
        await stream.send_message(Empty())

    async def FetchEjections(  # noqa: N802
        self, stream: "Stream[PullEjections, EjectionSets]"
    ) -> None:
        """Give out this node's ejections."""
        request = await receive_message(stream, PullEjections, MAX_MESSAGE_BYTES)
        await stream.send_message(self._handlers.evidence.answer_pull(request))

    async def Status(self, stream: "Stream[StatusRequest, NodeStatus]") -> None:  # noqa: N802
        """Show this node to operators."""
        request = await receive_message(stream, StatusRequest, MAX_MESSAGE_BYTES)
        await stream.send_message(self._handlers.node_status(request))
