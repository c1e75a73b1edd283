"""What the agent and the judge of evidence expect of each other.

The agent carries messages; the judge decides.  Evidence reaches a judge from this host's proxy
and from other agents, through `EvidenceSink`.  Ejections and quarantined requests leave it
through `EjectionSource`, when other agents pull them and when this host's proxy is told.  A
judge learns of the fleet through `AgentView` alone.
"""

from collections.abc import Callable, Sequence
from typing import Protocol, TypeVar

from toucanspindle_core.control_pb2 import EjectionSet, EjectionSets, EvidenceBatch, Member
from toucanspindle_core.platformclient import PlatformClient
from toucanspindle_core.policy import FleetPolicy
from toucanspindle_core.processsettings import ProcessSettings

T = TypeVar("T")


class EvidenceSink(Protocol):
    """Takes in outcomes of requests, as proxies counted them."""

    def accept_evidence(self, batch: EvidenceBatch) -> None:
        """Take in reports on services that this node judges; must not block."""
        ...


class EjectionSource(Protocol):
    """Gives out the ejections that this node decided."""

    def ejection_sets(self, services: Sequence[str]) -> EjectionSets:
        """Return this node's sets and quarantined requests for the services; must not block."""
        ...


class AgentView(Protocol):
    """What a judge may see and use of its agent; all calls are made on the event loop."""

    @property
    def settings(self) -> ProcessSettings:
        """The settings of this host."""
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
        """Return the names of targets that the platform's host list shows as leaving."""
        ...

    def pulled_ejections(self, service: str) -> list[EjectionSet]:
        """Return the sets of other judges that this agent pulled and that haven't lapsed."""
        ...

    async def call_platform(self, call: Callable[[PlatformClient], T]) -> T:
        """Run a blocking platform call off the event loop; raises what the call raises."""
        ...

    def ejections_changed(self) -> None:
        """Tell this host's proxy soon of what `ejection_sets` now returns."""
        ...


class Judge(EvidenceSink, EjectionSource, Protocol):
    """A judge of evidence with its life cycle."""

    async def start(self, view: AgentView) -> None:
        """Begin to judge; `view` is valid until `close` returns."""
        ...

    async def close(self) -> None:
        """Stop all work; ejections lapse by their leases."""
        ...

    def permits_held(self) -> dict[str, int]:
        """Return how many ejection permits are held, by service."""
        ...


class IdleJudge:
    """A judge that ejects nothing."""

    async def start(self, view: AgentView) -> None:
        """Do nothing."""

    async def close(self) -> None:
        """Do nothing."""

    def accept_evidence(self, batch: EvidenceBatch) -> None:
        """Drop the evidence."""

    def ejection_sets(self, services: Sequence[str]) -> EjectionSets:
        """Return no ejections."""
        return EjectionSets()

    def permits_held(self) -> dict[str, int]:
        """Return that none is held."""
        return {}
