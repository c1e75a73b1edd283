"""The agent process: wires its parts together and runs until it is told to stop.

The agent holds everything in memory and rebuilds it from its peers and the platform.  It serves
its host's proxy (`proxylink.py`) and other agents (`peerlink.py`), and runs the membership
protocol, the spread of configurations, the watches, and the routing of evidence.
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
from toucanspindle_core.memberrecord import GONE, with_state
from toucanspindle_core.membership import Membership, MembershipSettings
from toucanspindle_core.platformclient import HostEntry, PlatformClient
from toucanspindle_core.policy import FleetPolicy
from toucanspindle_core.processsettings import ProcessSettings

from toucanspindle_node.agent_counters import AgentCounters, AgentEvent
from toucanspindle_node.agent_evidence import EvidenceRouter
from toucanspindle_node.agent_feed import StateFeed
from toucanspindle_node.agent_heard import Hearing, hearing_window_s
from toucanspindle_node.agent_hooks import Judge
from toucanspindle_node.agent_join import ConfigJoin
from toucanspindle_node.agent_metrics import AgentMetrics, AgentSources
from toucanspindle_node.agent_parts import AgentParts
from toucanspindle_node.agent_platform import AgentPlatform
from toucanspindle_node.agent_tasks import TaskSet
from toucanspindle_node.configcache import ConfigCache
from toucanspindle_node.configspread import ConfigSpread
from toucanspindle_node.judge import EvidenceJudge
from toucanspindle_node.judgechoice import JudgeChoice
from toucanspindle_node.leavinghosts import LeavingHosts, agent_addresses, leaving_names
from toucanspindle_node.listening import explain_bind_error
from toucanspindle_node.memberloop import MemberLoop
from toucanspindle_node.peerclients import PeerClients
from toucanspindle_node.peerlink import PeerLink
from toucanspindle_node.proxylink import ProxyLink
from toucanspindle_node.watcher import ConfigWatcher

TOMBSTONE_MARGIN_S: Final = 600.0
LISTING_CHECK_S: Final = 0.25
LEAVE_NOTICE_S: Final = 1.0
LINGER_LIMIT_S: Final = 300.0

T = TypeVar("T")
_log = Logger("agent")


class Agent:
    """One agent: the parts, the view that the judge has of them, and the state for the proxy.

    Invariant: no configuration is given to the proxy before `ConfigJoin` says it is safe.
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
        self.cache = ConfigCache()
        self._membership = Membership(member_settings, clock)
        self._platform = AgentPlatform(settings.platform_url, self.counters)
        window_s = hearing_window_s(settings.probe_interval_s)
        self._clients = PeerClients(self.counters, window_s, clock)
        parts = AgentParts(
            settings,
            self._membership,
            self.cache,
            self._clients,
            self._platform,
            self.counters,
            clock,
        )
        self._feed = StateFeed()
        self.members = MemberLoop(parts)
        self.spread = ConfigSpread(parts)
        self.evidence = EvidenceRouter(parts, judge, self, self._feed.bump)
        self._watcher = ConfigWatcher(parts, self.spread)
        self._join = ConfigJoin(parts, self.spread, self.members)
        self._hosts = LeavingHosts(self._platform, lambda: self._watcher.watching, self._take_hosts)
        self._proxy = ProxyLink(parts, self._feed, self, self._take_report)
        self._metrics = AgentMetrics(
            AgentSources(parts, self.members, self._proxy, self.evidence, judge)
        )
        self._servers = [Server([PeerLink(self)]), Server([self._proxy])]
        self._tasks = TaskSet()
        self._judges = JudgeChoice(self._membership)
        self.members.generation = lambda: self.cache.generation
        self.members.on_generation = self.spread.hear_generation
        self.members.on_change = self._feed.bump
        self.spread.on_applied = self._feed.bump

    async def start(self) -> None:
        """Listen and begin all work; raise SettingsError if an address can't be used."""
        peers, proxy = self._servers
        settings = self._settings
        await _listen(peers, "agent_address", HostPort.parse(settings.agent_bind_address))
        await _listen(proxy, "proxy_link_address", HostPort.parse(settings.proxy_link_address))
        await self._metrics.start()
        await self._hosts.start()
        await self.members.start()
        await self.spread.start()
        await self._watcher.start()
        await self.evidence.start()
        await self._judge.start(self)
        self._tasks.spawn(self._run_join())
        self._tasks.spawn(self._check_listing())
        _log.info("agent of {} listens at {}", self._settings.node, self._settings.agent_address)

    async def close(self) -> None:
        """Stop all work; peers are told what is still queued for them."""
        self._proxy.close()
        await self._tasks.close()
        await self._judge.close()
        await self.evidence.close()
        await self._watcher.close()
        await self._hosts.close()
        await self.spread.close()
        await self.members.close()
        for server in self._servers:
            server.close()
        await asyncio.gather(*(server.wait_closed() for server in self._servers))
        await self._metrics.close()
        self._clients.close()
        self._platform.close()
        _log.info("agent of {} closed: {}", self._settings.node, self.counters.summary())

    async def wait_for_proxy_to_leave(self, stopping: asyncio.Event) -> None:
        """Serve on while the proxy leaves in an orderly way, until told to stop once more."""
        loop = asyncio.get_running_loop()
        limit = loop.time() + LEAVE_NOTICE_S
        while self._proxy.connected and loop.time() < limit and not stopping.is_set():
            own = self._membership.own
            if own is not None and own.state == LEAVING:
                limit = max(limit, loop.time() + LINGER_LIMIT_S)
            await asyncio.sleep(LISTING_CHECK_S)

    # What the proxy and operators are shown.

    def agent_state(self, sent_generation: int) -> AgentState:
        """Return the state for the proxy; see `StateSource`."""
        state = AgentState(
            members=self._shown_members(),
            ejections=self.evidence.ejections.all_sets(),
            quarantine=self.evidence.ejections.quarantine(),
            leaving_targets=sorted(self.evidence.leaving_targets()),
        )
        if self._join.ready and self.cache.generation > sent_generation:
            state.config.CopyFrom(self.cache.bundle())
        self.counters.count(AgentEvent.STATE_SENT)
        return state

    def node_status(self, request: StatusRequest) -> NodeStatus:
        """Return what operators see; members are left out when one service is asked for."""
        sets = self.evidence.ejections.all_sets()
        if request.service:
            sets = self.evidence.ejections.of_service(request.service)
        return NodeStatus(
            member=self._membership.own or self._proxy.last_member,
            agent_generation=self.cache.generation,
            proxy_generation=self._proxy.generation,
            platform_reachable=self._platform.reachable,
            watcher=self._watcher.watching,
            members=[] if request.service else self._shown_members(),
            ejections=sets,
            quarantine=self.evidence.ejections.quarantine(),
            leaving_targets=sorted(self.evidence.leaving_targets()),
        )

    def _shown_members(self) -> list[Member]:
        members = self._membership.all_members()
        if self.members.hearing is not Hearing.DETACHED:
            return members
        own_domain = self._settings.failure_domain
        present = [m for m in members if m.state not in GONE]
        far = [m for m in present if m.failure_domain != own_domain]
        unreached = far or [m for m in present if m.incarnation != self.incarnation()]
        hidden = {m.incarnation for m in unreached}
        return [
            with_state(m, SUSPECT, m.version) if m.incarnation in hidden else m for m in members
        ]

    # What the judge sees: AgentView.

    @property
    def settings(self) -> ProcessSettings:
        """The settings of this host."""
        return self._settings

    def incarnation(self) -> str:
        """Return the incarnation of this host's proxy, or ""."""
        own = self._membership.own
        return own.incarnation if own else ""

    def policy(self) -> FleetPolicy | None:
        """Return the configuration in force, or None."""
        return self.cache.policy if self._join.ready else None

    def live_members(self) -> list[Member]:
        """Return the members in state LIVE."""
        return [member for member in self._shown_members() if member.state == LIVE]

    def judge_candidates(self) -> list[Member]:
        """Return the members that may judge services; see `judgechoice`."""
        return self._judges.candidates()

    def judges_of(self, service: str) -> list[Member]:
        """Return the members that judge a service."""
        return self._judges.judges_of(service)

    def leaving_targets(self) -> frozenset[str]:
        """Return the targets known to be leaving, as "service/target"."""
        return self.evidence.leaving_targets()

    def pulled_ejections(self, service: str) -> list[EjectionSet]:
        """Return the sets of other judges that were pulled and haven't lapsed."""
        return self.evidence.ejections.of_others(service)

    async def call_platform(self, call: Callable[[PlatformClient], T]) -> T:
        """Run a blocking platform call off the event loop."""
        return await self._platform.call(call)

    def ejections_changed(self) -> None:
        """Tell the proxy of what the judge decided."""
        self.evidence.refresh_own()
        self._feed.bump()

    # Work.

    def _take_report(self, report: ProxyReport) -> None:
        self.evidence.accept_report(report)

    def _take_hosts(self, hosts: list[HostEntry]) -> None:
        self.members.exchange.add_candidates(agent_addresses(hosts))
        self.evidence.accept_host_list(leaving_names(hosts))

    async def _run_join(self) -> None:
        await self._join.run()
        self._feed.bump()

    async def _check_listing(self) -> None:
        """Take the own member off the directory while it can't be heard or its proxy is silent."""
        while True:
            await asyncio.sleep(LISTING_CHECK_S)
            own = self._membership.own
            if own is None or own.state not in {LIVE, SUSPECT}:
                continue
            unfit = self.members.hearing is Hearing.UNHEARD or self._proxy.is_silent()
            wanted = SUSPECT if unfit else LIVE
            if own.state != wanted:
                _log.notice("this node is {}", "off the directory" if unfit else "listed again")
                self._membership.set_own_state(wanted)
                self._feed.bump()


async def run_agent(settings: ProcessSettings, judge: Judge | None = None) -> None:
    """Run an agent until SIGTERM or SIGINT; raise SettingsError if it can't listen.

    While its proxy is leaving, the agent serves on until the proxy has left; a second signal
    ends that wait.
    """
    stopping = asyncio.Event()
    again = asyncio.Event()

    def stop() -> None:
        (again if stopping.is_set() else stopping).set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    agent = Agent(settings, judge or EvidenceJudge())
    await agent.start()
    await stopping.wait()
    await agent.wait_for_proxy_to_leave(again)
    await agent.close()


async def _listen(server: Server, setting: str, address: HostPort) -> None:
    try:
        await server.start(address.ip, address.port)
    except OSError as error:
        raise explain_bind_error(setting, address, error) from error
