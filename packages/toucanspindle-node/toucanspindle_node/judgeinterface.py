"""Interfaces between the agent and the judge, which decides on ejections.

The agent transports messages; the judge decides.  The agent passes evidence from its host's proxy
and from other agents to `EvidenceSink`.  It reads ejections and quarantined requests from
`EjectionSource` when other agents pull them and when it updates its host's proxy.  The judge gets
all its knowledge of the fleet from `AgentView`.
"""

from collections.abc import Callable, Sequence
from typing import Protocol, TypeVar

from toucanspindle_core.control_pb2 import EjectionSet, EjectionSets, EvidenceBatch, Member
from toucanspindle_core.platformclient import PlatformClient
from toucanspindle_core.policy import FleetPolicy
from toucanspindle_core.processsettings import ProcessSettings

T = TypeVar("T")


class EvidenceSink(Protocol):
    """Receives request outcomes as counted by proxies."""

    def accept_evidence(self, batch: EvidenceBatch) -> None:
        """Process reports on services that this node judges; must not block."""
        ...


class EjectionSource(Protocol):
    """Provides the ejections that this node decided."""

    def ejection_sets(self, services: Sequence[str]) -> EjectionSets:
        """Return this node's sets and quarantined requests for the services; must not block."""
        ...


class AgentView(Protocol):
    """The part of the agent that a judge may use; all calls are made on the event loop."""

    @property
    def settings(self) -> ProcessSettings:
        """The process settings of this host."""
        ...

    def incarnation(self) -> str:
        """Return the incarnation of this host's proxy, or "" while it has none."""
        ...

    def policy(self) -> FleetPolicy | None:
        """Return the configuration in force at this agent, or None before the first one."""
        ...

    def live_members(self) -> list[Member]:
        """Return the members in state LIVE, this node's own included."""
        ...

    def judge_candidates(self) -> list[Member]:
        """Return the members that may judge services, this node's own included."""
        ...

    def judges_of(self, service: str) -> list[Member]:
        """Return the members that judge a service; the first is preferred as permit holder."""
        ...

    def leaving_targets(self) -> frozenset[str]:
        """Return the names ("service/target") of targets that are being taken out of service."""
        ...

    def pulled_ejections(self, service: str) -> list[EjectionSet]:
        """Return the unexpired ejection sets of other nodes' judges for a service."""
        ...

    async def call_platform(self, call: Callable[[PlatformClient], T]) -> T:
        """Run a blocking platform call on a worker thread; raises what the call raises."""
        ...

    def ejections_changed(self) -> None:
        """Schedule an update of this host's proxy with the result of `ejection_sets`."""
        ...


class Judge(EvidenceSink, EjectionSource, Protocol):
    """Decides on ejections from evidence; the agent starts and closes it."""

    async def start(self, view: AgentView) -> None:
        """Start to judge; `view` is valid until `close` returns."""
        ...

    async def close(self) -> None:
        """Stop all work; remaining ejections expire with their leases."""
        ...

    def permits_held(self) -> dict[str, int]:
        """Return how many ejection permits are held, by service."""
        ...


class NoOpJudge:
    """A judge that ejects nothing."""

    async def start(self, view: AgentView) -> None:
        """Do nothing."""

    async def close(self) -> None:
        """Do nothing."""

    def accept_evidence(self, batch: EvidenceBatch) -> None:
        """Ignore the evidence."""

    def ejection_sets(self, services: Sequence[str]) -> EjectionSets:
        """Return no ejections."""
        return EjectionSets()

    def permits_held(self) -> dict[str, int]:
        """Return an empty mapping, since no permit is held."""
        return {}
