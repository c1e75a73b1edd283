"""gRPC server for other agents: passes each call to the responsible component.

The largest message between agents is a member table, about 170 KB at the fleet size planned for in
two years.  Larger messages than `MAX_MESSAGE_BYTES` are refused before they are read.
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

from toucanspindle_node.boundedmessage import receive_message
from toucanspindle_node.configcache import ConfigCache
from toucanspindle_node.configdistributor import ConfigDistributor
from toucanspindle_node.eventcounters import AgentCounters, AgentEvent
from toucanspindle_node.evidencerouter import EvidenceRouter
from toucanspindle_node.membershipprober import MembershipProber
from toucanspindle_node.proxylink import to_grpc_error

MAX_MESSAGE_BYTES: Final = 4 << 20


class PeerHandlers(Protocol):
    """The components of an agent that answer its peers."""

    @property
    def prober(self) -> MembershipProber:
        """Answers pings and table exchanges."""
        ...

    @property
    def config_cache(self) -> ConfigCache:
        """The configuration held; provides it to peers."""
        ...

    @property
    def distributor(self) -> ConfigDistributor:
        """Receives generation notices."""
        ...

    @property
    def evidence_router(self) -> EvidenceRouter:
        """Receives evidence and provides ejections."""
        ...

    @property
    def counters(self) -> AgentCounters:
        """Counts refused calls."""
        ...

    def node_status(self, request: StatusRequest) -> NodeStatus:
        """Return this node's status for operators."""
        ...


class PeerLink(PeerLinkBase):
    """Serves other agents and operators' tools; a refused call fails with an error code."""

    def __init__(self, handlers: PeerHandlers) -> None:
        self._handlers = handlers

    async def Ping(self, stream: "Stream[PingRequest, PingAnswer]") -> None:  # noqa: N802
        """Answer a direct probe."""
        request = await receive_message(stream, PingRequest, MAX_MESSAGE_BYTES)
        try:
            answer = self._handlers.prober.handle_ping(request)
        except ControlError as error:
            self._handlers.counters.count(AgentEvent.PING_REFUSED)
            raise to_grpc_error(error) from error
        await stream.send_message(answer)

    async def PingIndirect(  # noqa: N802
        self, stream: "Stream[IndirectPing, IndirectAnswer]"
    ) -> None:
        """Probe another agent on behalf of a peer."""
        request = await receive_message(stream, IndirectPing, MAX_MESSAGE_BYTES)
        await stream.send_message(await self._handlers.prober.handle_indirect_ping(request))

    async def ExchangeMembers(  # noqa: N802
        self, stream: "Stream[MemberTable, MemberTable]"
    ) -> None:
        """Answer a peer's member table with the records that it lacks or must send."""
        request = await receive_message(stream, MemberTable, MAX_MESSAGE_BYTES)
        try:
            members = self._handlers.prober.exchange.handle_table(list(request.members))
        except ControlError as error:
            self._handlers.counters.count(AgentEvent.REFUSED_MALFORMED)
            raise to_grpc_error(error) from error
        await stream.send_message(MemberTable(members=members))

    async def NotifyGeneration(  # noqa: N802
        self, stream: "Stream[GenerationNotice, Empty]"
    ) -> None:
        """Record which generation a peer holds."""
        notice = await receive_message(stream, GenerationNotice, MAX_MESSAGE_BYTES)
        self._handlers.distributor.record_peer_generation(
            notice.generation, notice.from_agent_address
        )
        await stream.send_message(Empty())

    async def FetchBundle(  # noqa: N802
        self, stream: "Stream[BundleRequest, ConfigBundle]"
    ) -> None:
        """Send the configuration, or an empty bundle if the peer isn't behind."""
        request = await receive_message(stream, BundleRequest, MAX_MESSAGE_BYTES)
        bundle = self._handlers.config_cache.bundle_above(request.above_generation)
        await stream.send_message(bundle)

    async def SendEvidence(self, stream: "Stream[EvidenceBatch, Empty]") -> None:  # noqa: N802
        """Accept evidence for services that this node judges."""
        self._handlers.evidence_router.accept_batch(
            await receive_message(stream, EvidenceBatch, MAX_MESSAGE_BYTES)
        )
        await stream.send_message(Empty())

    async def FetchEjections(  # noqa: N802
        self, stream: "Stream[PullEjections, EjectionSets]"
    ) -> None:
        """Send the ejections that this node decided for the requested services."""
        request = await receive_message(stream, PullEjections, MAX_MESSAGE_BYTES)
        await stream.send_message(self._handlers.evidence_router.handle_pull(request))

    async def Status(self, stream: "Stream[StatusRequest, NodeStatus]") -> None:  # noqa: N802
        """Send this node's status."""
        request = await receive_message(stream, StatusRequest, MAX_MESSAGE_BYTES)
        await stream.send_message(self._handlers.node_status(request))
