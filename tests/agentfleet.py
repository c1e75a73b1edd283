"""Agent processes with fake proxies, for integration tests.

A `FakeProxy` implements the proxy's side of ProxyLink: it opens the stream, sends reports, and
records every state that its agent sends.  All gRPC calls of a test run on one event loop in a
separate thread.
"""

import asyncio
import threading
import time
import uuid
from collections.abc import Coroutine
from dataclasses import dataclass, field
from functools import partial
from typing import Any, Final, TypeVar

import tomli_w
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError
from toucanspindle_core.configstore import ConfigStore
from toucanspindle_core.control_grpc import PeerLinkStub, ProxyLinkStub
from toucanspindle_core.control_pb2 import (
    LIVE,
    AgentState,
    Member,
    MemberState,
    NodeStatus,
    ProxyHello,
    ProxyReport,
    StatusRequest,
)
from toucanspindle_core.hostport import HostPort
from toucanspindle_core.platformclient import PlatformClient
from toucanspindle_core.processsettings import ProcessSettings

from tests.configfakes import fleet_config
from tests.harness import ADDRESSES, ManagedProcess, ProcessTestCase, WaitTimeoutError, wait_until

DOMAINS: Final = ("beaufort", "laingsburg", "graaff", "deaar")
PROBE_INTERVAL_S: Final = 0.2
REPORT_INTERVAL_S: Final = 0.2
CALL_TIMEOUT_S: Final = 10.0

T = TypeVar("T")


class LoopThread:
    """An event loop that runs in a daemon thread."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def call(self, work: Coroutine[Any, Any, T], timeout_s: float = CALL_TIMEOUT_S) -> T:
        """Run a coroutine and return its result; raise TimeoutError after `timeout_s` seconds."""
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(timeout_s)

    def close(self) -> None:
        """Stop the loop and wait for its thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(CALL_TIMEOUT_S)


class FakeProxy:
    """A fake proxy connected to one agent; records the states that it receives."""

    def __init__(self, settings: ProcessSettings, loop: LoopThread) -> None:
        self._settings = settings
        self._loop = loop
        self._channel: Channel | None = None
        self._task: asyncio.Task[None] | None = None
        self.states: list[AgentState] = []
        self.generations: list[int] = []
        self.generation_received_at_s: dict[int, float] = {}
        self.is_reporting = True
        self.report = ProxyReport()
        self.member = Member(
            node=settings.node,
            incarnation=uuid.uuid4().hex,
            failure_domain=settings.failure_domain,
            region=settings.region,
            entry_address=settings.entry_address,
            proxy_control_address=settings.proxy_control_address,
            agent_address=settings.agent_address,
            state=LIVE,
            token="token-" + uuid.uuid4().hex * 2,
        )

    def start(self) -> None:
        """Connect to the agent, and reconnect whenever the stream breaks."""
        self._loop.call(self._start())

    def close(self) -> None:
        """Close the stream without a further report."""
        self._loop.call(self._close())

    def set_state(self, state: MemberState.ValueType, successor: str = "") -> None:
        """Change the member's state and report it at once."""
        self.member.state = state
        self.member.successor = successor
        self._loop.call(self._report_once())

    def member_states(self) -> dict[str, MemberState.ValueType]:
        """Return the member states by incarnation, from the last state that the agent sent."""
        members = self.states[-1].members if self.states else []
        return {member.incarnation: member.state for member in members}

    def generation(self) -> int:
        """Return the last generation that the agent sent, or 0."""
        return self.generations[-1] if self.generations else 0

    async def _start(self) -> None:
        self._task = asyncio.create_task(self._follow_forever())

    async def _close(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._channel is not None:
            self._channel.close()

    async def _follow_forever(self) -> None:
        while True:
            address = HostPort.parse(self._settings.proxy_link_address)
            self._channel = Channel(address.ip, address.port)
            reports = asyncio.create_task(self._report_forever())
            try:
                await self._follow()
            except (OSError, GRPCError, StreamTerminatedError):
                await asyncio.sleep(0.1)
            finally:
                reports.cancel()
                await asyncio.gather(reports, return_exceptions=True)
                self._channel.close()

    async def _follow(self) -> None:
        assert self._channel is not None
        async with ProxyLinkStub(self._channel).Follow.open() as stream:
            await stream.send_message(ProxyHello(member=self.member), end=True)
            async for state in stream:
                self.states.append(state)
                if state.config.generation:
                    self.generations.append(state.config.generation)
                    self.generation_received_at_s[state.config.generation] = time.monotonic()

    async def _report_forever(self) -> None:
        while True:
            await asyncio.sleep(self._settings.report_interval_s)
            if self.is_reporting:
                try:
                    await self._report_once()
                except (OSError, GRPCError, StreamTerminatedError):
                    pass

    async def _report_once(self) -> None:
        assert self._channel is not None
        report = ProxyReport()
        report.CopyFrom(self.report)
        report.member.CopyFrom(self.member)
        report.generation = self.generation()
        await ProxyLinkStub(self._channel).Report(report, timeout=CALL_TIMEOUT_S)


@dataclass
class AgentNode:
    """One agent process and its fake proxy."""

    settings: ProcessSettings
    process: ManagedProcess
    proxy: FakeProxy
    loop_thread: LoopThread
    restarts: int = field(default=0)

    @property
    def incarnation(self) -> str:
        """The incarnation of the fake proxy."""
        return self.proxy.member.incarnation

    def status(self) -> NodeStatus:
        """Return the status that the agent reports."""
        address = listen_address(self.settings)
        return self.loop_thread.call(_status(address))

    def generation(self) -> int:
        """Return the generation that the agent holds, or 0 if it doesn't answer."""
        try:
            return self.status().agent_generation
        except (OSError, GRPCError, StreamTerminatedError):
            return 0


def listen_address(settings: ProcessSettings) -> HostPort:
    """Return the address on which an agent listens."""
    return HostPort.parse(settings.agent_listen_address or settings.agent_address)


async def _status(address: HostPort) -> NodeStatus:
    channel = Channel(address.ip, address.port)
    try:
        return await PeerLinkStub(channel).Status(StatusRequest(), timeout=CALL_TIMEOUT_S)
    finally:
        channel.close()


class AgentFleetCase(ProcessTestCase):
    """Base of tests that start a platform, agents and fake proxies."""

    def setUp(self) -> None:
        super().setUp()
        self.loop = LoopThread()
        self.addCleanup(self.loop.close)
        self.platform = self.start_platform()
        self.client = PlatformClient(f"http://{self.platform}")
        self.addCleanup(self.client.close)
        self.nodes: list[AgentNode] = []

    def accept_generation(self, generation: int) -> None:
        """Store a configuration with this generation, the next one, at the platform."""
        config = fleet_config(deadline_ms=2000 + generation)
        ConfigStore(self.client).accept(config, "tester", "a change for the test", generation - 1)

    def make_settings(self, index: int, **overrides: Any) -> ProcessSettings:
        """Return settings for a new node; the first three nodes are its seeds."""
        seeds = [node.settings.agent_address for node in self.nodes[:3]]
        values: dict[str, Any] = {
            "node": f"entry-{index}",
            "failure_domain": DOMAINS[index % len(DOMAINS)],
            "entry_address": str(ADDRESSES.allocate()),
            "proxy_control_address": str(ADDRESSES.allocate()),
            "agent_address": str(ADDRESSES.allocate()),
            "proxy_link_address": str(ADDRESSES.allocate()),
            "metrics_address": str(ADDRESSES.allocate()),
            "platform_url": f"http://{self.platform}",
            "seed_agents": seeds,
            "probe_interval_s": PROBE_INTERVAL_S,
            "report_interval_s": REPORT_INTERVAL_S,
        }
        return ProcessSettings.model_validate(values | overrides)

    def start_node(self, *, with_proxy: bool = True, **overrides: Any) -> AgentNode:
        """Start an agent and, if `with_proxy`, its fake proxy."""
        settings = self.make_settings(len(self.nodes), **overrides)
        process = self.start_agent(settings, settings.node)
        node = AgentNode(settings, process, FakeProxy(settings, self.loop), self.loop)
        self.nodes.append(node)
        self.addCleanup(node.proxy.close)
        if with_proxy:
            node.proxy.start()
        return node

    def start_nodes(self, count: int) -> list[AgentNode]:
        """Start nodes, distributed round-robin over the failure domains."""
        return [self.start_node() for _ in range(count)]

    def start_agent(self, settings: ProcessSettings, name: str) -> ManagedProcess:
        """Start an agent process and wait until it listens."""
        path = self.folder / f"{name}.toml"
        values = settings.model_dump(exclude_none=True)
        path.write_text(tomli_w.dumps(values), encoding="utf-8")
        argv = ("toucanspindle_node.main", "agent", "--settings", str(path))
        return self.start_process(name, *argv, ready_at=listen_address(settings))

    def restart_agent(self, node: AgentNode, **overrides: Any) -> None:
        """Kill an agent and start it again; its proxy reconnects automatically."""
        node.process.kill()
        node.process.wait()
        node.restarts += 1
        node.settings = node.settings.model_copy(update=overrides)
        node.process = self.start_agent(node.settings, f"{node.settings.node}-{node.restarts}")

    def wait_for_members(self, nodes: list[AgentNode]) -> None:
        """Wait until every node's proxy has received every node as LIVE."""
        expected = {node.incarnation for node in nodes}
        for node in nodes:
            try:
                wait_until(partial(self._lists_all_live, node, expected))
            except WaitTimeoutError as error:
                raise AssertionError(self.describe_failure(node, expected)) from error

    def wait_for_state(
        self, nodes: list[AgentNode], incarnation: str, *states: MemberState.ValueType
    ) -> None:
        """Wait until every proxy has received one of the states for an incarnation."""
        for node in nodes:
            wait_until(partial(_is_in_state, node, incarnation, states), what=f"state {states}")

    def describe_failure(self, node: AgentNode, expected: set[str]) -> str:
        """Return the members known to each node, for an assertion message about `node`."""
        missing = expected - self.live_incarnations(node)
        lines = [f"{node.settings.node} doesn't list {sorted(missing)}"]
        for other in self.nodes:
            states = {i: MemberState.Name(s) for i, s in other.proxy.member_states().items()}
            lines.append(f"{other.settings.node} ({other.incarnation}): {states}")
            lines.append(other.process.stderr()[-1500:])
        return "\n".join(lines)

    def _lists_all_live(self, node: AgentNode, incarnations: set[str]) -> bool:
        return self.live_incarnations(node) >= incarnations

    def live_incarnations(self, node: AgentNode) -> set[str]:
        """Return the incarnations that a node's proxy has received as LIVE."""
        states = node.proxy.member_states()
        return {incarnation for incarnation, state in states.items() if state == LIVE}

    def wait_for_generation(
        self, nodes: list[AgentNode], generation: int, timeout_s: float = 20.0
    ) -> None:
        """Wait until every proxy has received this generation or a higher one."""
        for node in nodes:
            wait_until(
                partial(_has_generation, node, generation),
                timeout_s,
                f"generation {generation} at {node.settings.node}",
            )


def _has_generation(node: AgentNode, generation: int) -> bool:
    return node.proxy.generation() >= generation


def _is_in_state(
    node: AgentNode, incarnation: str, states: tuple[MemberState.ValueType, ...]
) -> bool:
    return node.proxy.member_states().get(incarnation) in states
