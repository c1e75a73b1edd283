"""The agent process: the control plane of one host.

The agent keeps all state in memory and rebuilds it from its peers and the platform after a
restart.  It serves its host's proxy (`proxylink.py`) and other agents (`peerlink.py`).  It runs the
membership protocol, distributes configurations, watches the platform, and routes evidence to the
judges.
"""

import asyncio
import signal
from collections.abc import Callable
from typing import Final, TypeVar

from grpclib.server import Server
from logbook import Logger
from toucanspindle_core.clock import MonotonicClock
from toucanspindle_core.control_pb2 import (
    LEAVING,
    LIVE,
    SUSPECT,
    AgentState,
    EjectionSet,
    Member,
    NodeStatus,
    ProxyReport,
    StatusRequest,
)
from toucanspindle_core.hostport import HostPort
from toucanspindle_core.memberrecord import GONE_STATES, with_state
from toucanspindle_core.membership import Membership, MembershipSettings
from toucanspindle_core.platformclient import HostEntry, PlatformClient
from toucanspindle_core.policy import FleetPolicy
from toucanspindle_core.processsettings import ProcessSettings

from toucanspindle_node.asyncplatform import AsyncPlatformClient
from toucanspindle_node.changenotifier import ChangeNotifier
from toucanspindle_node.configbootstrap import ConfigBootstrap
from toucanspindle_node.configcache import ConfigCache
from toucanspindle_node.configdistributor import ConfigDistributor
from toucanspindle_node.configwatcher import ConfigWatcher
from toucanspindle_node.dependencies import AgentDependencies
from toucanspindle_node.eventcounters import AgentCounters, AgentEvent
from toucanspindle_node.evidencerouter import EvidenceRouter
from toucanspindle_node.hostlistpoller import HostListPoller, agent_addresses, leaving_target_names
from toucanspindle_node.judge import EvidenceJudge
from toucanspindle_node.judgeassignment import JudgeAssignment
from toucanspindle_node.judgeinterface import Judge
from toucanspindle_node.listening import explain_bind_error
from toucanspindle_node.membershipprober import MembershipProber
from toucanspindle_node.metricsexporter import AgentMetrics, MetricsSources
from toucanspindle_node.peerclients import PeerClients
from toucanspindle_node.peerlink import PeerLink
from toucanspindle_node.proxylink import ProxyLink
from toucanspindle_node.reachability import Reachability, reachability_window_s
from toucanspindle_node.taskset import TaskSet

TOMBSTONE_MARGIN_S: Final = 600.0
LISTING_CHECK_INTERVAL_S: Final = 0.25
LEAVING_REPORT_WAIT_S: Final = 1.0
MAX_PROXY_LEAVE_WAIT_S: Final = 300.0

T = TypeVar("T")
_log = Logger("agent")


class Agent:
    """Creates and connects the components of one agent.

    It implements `AgentView` for the judge, `StateSource` for the proxy link and `PeerHandlers`
    for the peer link.

    Invariant: the proxy receives no configuration before `ConfigBootstrap.ready` is true.
    """

    def __init__(self, settings: ProcessSettings, judge: Judge) -> None:
        clock = MonotonicClock()
        tombstone_s = settings.record_lifetime_s + TOMBSTONE_MARGIN_S
        member_settings = MembershipSettings(
            settings.agent_address, settings.probe_interval_s, tombstone_s
        )
        self._settings = settings
        self._judge = judge
        self.counters = AgentCounters()
        self.config_cache = ConfigCache()
        self._membership = Membership(member_settings, clock)
        self._platform = AsyncPlatformClient(settings.platform_url, self.counters)
        window_s = reachability_window_s(settings.probe_interval_s)
        self._clients = PeerClients(self.counters, window_s, clock)
        dependencies = AgentDependencies(
            settings,
            self._membership,
            self.config_cache,
            self._clients,
            self._platform,
            self.counters,
            clock,
        )
        self._state_changes = ChangeNotifier()
        self.prober = MembershipProber(dependencies)
        self.distributor = ConfigDistributor(dependencies)
        self.evidence_router = EvidenceRouter(dependencies, judge, self, self._state_changes.notify)
        self._config_watcher = ConfigWatcher(dependencies, self.distributor)
        self._bootstrap = ConfigBootstrap(dependencies, self.distributor, self.prober)
        self._host_list_poller = HostListPoller(
            self._platform, lambda: self._config_watcher.watching, self._handle_host_list
        )
        self._proxy_link = ProxyLink(dependencies, self._state_changes, self, self._handle_report)
        self._metrics = AgentMetrics(
            MetricsSources(dependencies, self.prober, self._proxy_link, self.evidence_router, judge)
        )
        self._servers = [Server([PeerLink(self)]), Server([self._proxy_link])]
        self._tasks = TaskSet()
        self._judge_assignment = JudgeAssignment(self._membership)
        self.prober.get_generation = lambda: self.config_cache.generation
        self.prober.on_generation = self.distributor.record_peer_generation
        self.prober.on_change = self._state_changes.notify
        self.distributor.on_applied = self._state_changes.notify

    async def start(self) -> None:
        """Open the listening sockets and start all components.

        Raises SettingsError if an address can't be used.
        """
        peer_server, proxy_server = self._servers
        settings = self._settings
        await _listen(peer_server, "agent_address", HostPort.parse(settings.agent_bind_address))
        await _listen(
            proxy_server, "proxy_link_address", HostPort.parse(settings.proxy_link_address)
        )
        await self._metrics.start()
        await self._host_list_poller.start()
        await self.prober.start()
        await self.distributor.start()
        await self._config_watcher.start()
        await self.evidence_router.start()
        await self._judge.start(self)
        self._tasks.spawn(self._run_bootstrap())
        self._tasks.spawn(self._update_listing_forever())
        _log.info("agent of {} listens on {}", self._settings.node, self._settings.agent_address)

    async def close(self) -> None:
        """Stop all components; queued membership updates are sent to a few peers first."""
        self._proxy_link.close()
        await self._tasks.close()
        await self._judge.close()
        await self.evidence_router.close()
        await self._config_watcher.close()
        await self._host_list_poller.close()
        await self.distributor.close()
        await self.prober.close()
        for server in self._servers:
            server.close()
        await asyncio.gather(*(server.wait_closed() for server in self._servers))
        await self._metrics.close()
        self._clients.close()
        self._platform.close()
        _log.info(
            "agent of {} stopped; event counts: {}", self._settings.node, self.counters.summary()
        )

    async def wait_for_proxy_to_leave(self, stopping: asyncio.Event) -> None:
        """Return when the proxy has disconnected, a time limit passes, or `stopping` is set.

        The proxy has `LEAVING_REPORT_WAIT_S` to report that it is LEAVING.  After such a report the
        agent waits up to `MAX_PROXY_LEAVE_WAIT_S` for the disconnect.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + LEAVING_REPORT_WAIT_S
        while self._proxy_link.connected and loop.time() < deadline and not stopping.is_set():
            own = self._membership.own_member
            if own is not None and own.state == LEAVING:
                deadline = max(deadline, loop.time() + MAX_PROXY_LEAVE_WAIT_S)
            await asyncio.sleep(LISTING_CHECK_INTERVAL_S)

    # State for the proxy and for operators.

    def agent_state(self, sent_generation: int) -> AgentState:
        """Return the state to send to the proxy; see `StateSource`."""
        state = AgentState(
            members=self._reported_members(),
            ejections=self.evidence_router.ejections.active_sets(),
            quarantine=self.evidence_router.ejections.quarantine(),
            leaving_targets=sorted(self.evidence_router.leaving_targets()),
        )
        if self._bootstrap.ready and self.config_cache.generation > sent_generation:
            state.config.CopyFrom(self.config_cache.bundle())
        self.counters.count(AgentEvent.STATE_SENT)
        return state

    def node_status(self, request: StatusRequest) -> NodeStatus:
        """Return this node's status for operators.

        If the request names a service, the status has no members and only that service's ejections.
        """
        sets = self.evidence_router.ejections.active_sets()
        if request.service:
            sets = self.evidence_router.ejections.active_sets_of_service(request.service)
        return NodeStatus(
            member=self._membership.own_member or self._proxy_link.last_member,
            agent_generation=self.config_cache.generation,
            proxy_generation=self._proxy_link.proxy_generation,
            platform_reachable=self._platform.reachable,
            watcher=self._config_watcher.watching,
            members=[] if request.service else self._reported_members(),
            ejections=sets,
            quarantine=self.evidence_router.ejections.quarantine(),
            leaving_targets=sorted(self.evidence_router.leaving_targets()),
        )

    def _reported_members(self) -> list[Member]:
        """Return all known members as the proxy and operators should see them.

        While this node is isolated, the members that it can't reach are reported as SUSPECT: those
        of other failure domains, or all others if there are no other domains.
        """
        members = self._membership.all_members()
        if self.prober.reachability is not Reachability.ISOLATED:
            return members
        own_domain = self._settings.failure_domain
        present = [m for m in members if m.state not in GONE_STATES]
        in_other_domains = [m for m in present if m.failure_domain != own_domain]
        suspected = in_other_domains or [m for m in present if m.incarnation != self.incarnation()]
        suspected_incarnations = {m.incarnation for m in suspected}
        return [
            with_state(m, SUSPECT, m.version) if m.incarnation in suspected_incarnations else m
            for m in members
        ]

    # AgentView, for the judge.

    @property
    def settings(self) -> ProcessSettings:
        """The process settings of this host."""
        return self._settings

    def incarnation(self) -> str:
        """Return the incarnation of this host's proxy, or "" if there is no proxy."""
        own = self._membership.own_member
        return own.incarnation if own else ""

    def policy(self) -> FleetPolicy | None:
        """Return the configuration in force, or None until one is safe to serve."""
        return self.config_cache.policy if self._bootstrap.ready else None

    def live_members(self) -> list[Member]:
        """Return the members reported as LIVE."""
        return [member for member in self._reported_members() if member.state == LIVE]

    def judge_candidates(self) -> list[Member]:
        """Return the members that may judge services; see `judgeassignment.py`."""
        return self._judge_assignment.candidates()

    def judges_of(self, service: str) -> list[Member]:
        """Return the members that judge a service, most preferred first."""
        return self._judge_assignment.judges_of(service)

    def leaving_targets(self) -> frozenset[str]:
        """Return the names ("service/target") of targets that are being taken out of service."""
        return self.evidence_router.leaving_targets()

    def pulled_ejections(self, service: str) -> list[EjectionSet]:
        """Return the unexpired ejection sets of other nodes' judges for a service."""
        return self.evidence_router.ejections.active_sets_of_others(service)

    async def call_platform(self, call: Callable[[PlatformClient], T]) -> T:
        """Run a blocking platform call on a worker thread and return its result."""
        return await self._platform.call(call)

    def ejections_changed(self) -> None:
        """Send the local judge's current ejections to the proxy."""
        self.evidence_router.refresh_own_ejections()
        self._state_changes.notify()

    # Background work and callbacks.

    def _handle_report(self, report: ProxyReport) -> None:
        self.evidence_router.accept_report(report)

    def _handle_host_list(self, hosts: list[HostEntry]) -> None:
        self.prober.exchange.add_candidates(agent_addresses(hosts))
        self.evidence_router.accept_host_list(leaving_target_names(hosts))

    async def _run_bootstrap(self) -> None:
        await self._bootstrap.run()
        self._state_changes.notify()

    async def _update_listing_forever(self) -> None:
        """Mark this node's member SUSPECT while it is unreachable, and LIVE again afterwards.

        It is unreachable while its messages don't arrive at peers, or while its proxy has stopped
        reporting.  Callers are directed to LIVE members only.
        """
        while True:
            await asyncio.sleep(LISTING_CHECK_INTERVAL_S)
            own = self._membership.own_member
            if own is None or own.state not in {LIVE, SUSPECT}:
                continue
            is_unreachable = (
                self.prober.reachability is Reachability.OUTBOUND_CUT
                or self._proxy_link.has_stopped_reporting()
            )
            wanted_state = SUSPECT if is_unreachable else LIVE
            if own.state != wanted_state:
                _log.notice(
                    "this node is {} the directory",
                    "removed from" if is_unreachable else "listed again in",
                )
                self._membership.set_own_state(wanted_state)
                self._state_changes.notify()


async def run_agent(settings: ProcessSettings, judge: Judge | None = None) -> None:
    """Run an agent until SIGTERM or SIGINT.

    While its proxy is leaving, the agent continues to serve until the proxy has left; a second
    signal ends that wait.  Raises SettingsError if the agent can't listen.
    """
    stopping = asyncio.Event()
    second_signal = asyncio.Event()

    def stop() -> None:
        (second_signal if stopping.is_set() else stopping).set()

    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop)
    agent = Agent(settings, judge or EvidenceJudge())
    await agent.start()
    await stopping.wait()
    await agent.wait_for_proxy_to_leave(second_signal)
    await agent.close()


async def _listen(server: Server, setting: str, address: HostPort) -> None:
    try:
        await server.start(address.ip, address.port)
    except OSError as error:
        raise explain_bind_error(setting, address, error) from error
