"""Fixtures for the tests of toucanctl: a stand-in platform and fake nodes in one event loop."""

import asyncio
import contextlib
import io
import json
import os
import threading
from collections.abc import Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

from grpclib.server import Server, Stream
from toucanctl.exitcodes import ExitCode
from toucanctl.main import execute
from toucanspindle_core.configchain import HeadChain
from toucanspindle_core.control_grpc import IssuerLinkBase, PeerLinkBase
from toucanspindle_core.control_pb2 import (
    BundleRequest,
    ConfigBundle,
    ExplainRequest,
    Explanation,
    Member,
    MemberState,
    NodeStatus,
    StatusRequest,
)
from toucanspindle_core.hostport import HostPort
from toucanspindle_core.objects import PART_KIND, canonical_json
from toucanspindle_core.platformclient import HostEntry, HostList, PlatformClient
from toucanspindle_standins.platformserver import PlatformServer

from tests.harness import ADDRESSES, ProcessTestCase

T = TypeVar("T")


class FakeNode:
    """A node whose agent and proxy send the answers that the test has set.

    Until the test overrides them, its generations and its bundle are those that `fetch_config` last
    read from the platform.
    """

    def __init__(self, name: str, failure_domain: str) -> None:
        self.agent_address = ADDRESSES.allocate()
        self.control_address = ADDRESSES.allocate()
        self.bundle = ConfigBundle()
        self.requested_scopes: list[str] = []
        self.explanations: dict[str, list[str]] = {}
        member = Member(
            node=name,
            incarnation=f"{name}-incarnation",
            failure_domain=failure_domain,
            entry_address=str(ADDRESSES.allocate()),
            agent_address=str(self.agent_address),
            proxy_control_address=str(self.control_address),
            state=MemberState.LIVE,
            version=1,
        )
        self.status = NodeStatus(member=member, platform_reachable=True)
        self._servers: list[Server] = []

    def fetch_config(self, client: PlatformClient) -> None:
        """Copy the current configuration and generation from the platform."""
        stored = HeadChain(client).read_head()
        assert stored is not None
        generation = stored.head.generation
        self.bundle = ConfigBundle(
            generation=generation, head=stored.head.model_dump_json().encode()
        )
        for digest in stored.head.parts.values():
            part = client.read(PART_KIND, digest)
            assert part is not None
            self.bundle.parts[digest] = canonical_json(part.value)
        self.status.agent_generation = generation
        self.status.proxy_generation = generation

    def status_for(self, service: str) -> NodeStatus:
        """Return the status that a real agent sends: with a service named, without members."""
        if not service:
            return self.status
        status = NodeStatus()
        status.CopyFrom(self.status)
        status.ClearField("members")
        status.ClearField("ejections")
        status.ejections.extend(e for e in self.status.ejections if e.service == service)
        return status

    def host_entry(self) -> HostEntry:
        """Return the node's entry for the platform's list of hosts."""
        member = self.status.member
        return HostEntry(
            name=member.node,
            role="entry",
            address=member.entry_address,
            failure_domain=member.failure_domain,
            state="live",
            agent_address=member.agent_address,
        )

    async def start(self) -> None:
        for handler, address in (
            (_FakeAgent(self), self.agent_address),
            (_FakeProxy(self), self.control_address),
        ):
            server = Server([handler])
            await server.start(address.ip, address.port)
            self._servers.append(server)

    async def close(self) -> None:
        for server in self._servers:
            server.close()
            await server.wait_closed()
        self._servers.clear()


class _FakeAgent(PeerLinkBase):
    def __init__(self, node: FakeNode) -> None:
        self._node = node

    async def Status(self, stream: "Stream[StatusRequest, NodeStatus]") -> None:  # noqa: N802
        request = await stream.recv_message()
        assert request is not None
        self._node.requested_scopes.append(request.service)
        await stream.send_message(self._node.status_for(request.service))

    async def FetchBundle(  # noqa: N802
        self, stream: "Stream[BundleRequest, ConfigBundle]"
    ) -> None:
        await stream.recv_message()
        await stream.send_message(self._node.bundle)

    async def Ping(self, stream: Any) -> None:  # noqa: N802
        raise NotImplementedError

    PingIndirect = ExchangeMembers = NotifyGeneration = Ping
    SendEvidence = FetchEjections = Ping


class _FakeProxy(IssuerLinkBase):
    def __init__(self, node: FakeNode) -> None:
        self._node = node

    async def Explain(self, stream: "Stream[ExplainRequest, Explanation]") -> None:  # noqa: N802
        request = await stream.recv_message()
        assert request is not None
        lines = self._node.explanations.get(request.request_id, [])
        await stream.send_message(Explanation(lines=lines))

    async def Submit(self, stream: Any) -> None:  # noqa: N802
        raise NotImplementedError

    HandOver = NoteCrash = Submit


@dataclass(frozen=True)
class CommandResult:
    """Exit code and printed output of a command line."""

    code: ExitCode
    out: str
    err: str

    def json(self) -> Any:
        """Return the JSON object on stdout."""
        return json.loads(self.out)


class CtlTestCase(ProcessTestCase):
    """A test case with a stand-in platform and fake nodes, which share one background thread."""

    def setUp(self) -> None:
        super().setUp()
        self._loop = asyncio.new_event_loop()
        thread = threading.Thread(target=self._loop.run_forever)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self._loop.call_soon_threadsafe, self._loop.stop)
        self.address = ADDRESSES.allocate()
        self.server = PlatformServer(self.address, HostList(hosts=[]))
        self.run_in_loop(self.server.start())
        self.addCleanup(self.close_platform)
        self.client = PlatformClient(f"http://{self.address}")
        self.addCleanup(self.client.close)
        self._set_environment("HOME", str(self.folder))
        self._set_environment("TOUCANCTL_PLATFORM", f"http://{self.address}")

    def run_in_loop(self, work: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine in the event loop of the fakes and return its result; 10 s at most."""
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(10)

    def close_platform(self) -> None:
        """Stop the stand-in platform."""
        self.run_in_loop(self.server.close())

    def start_nodes(self, *domains: str) -> list[FakeNode]:
        """Start one fake node per failure domain, and make the platform list just these nodes."""
        nodes = []
        for domain in domains:
            node = FakeNode(f"{domain}-1", domain)
            self.run_in_loop(node.start())
            self.addCleanup(lambda started=node: self.run_in_loop(started.close()))
            nodes.append(node)
        self.server.set_hosts(HostList(hosts=[node.host_entry() for node in nodes]))
        return nodes

    def run_ctl(self, *arguments: str) -> CommandResult:
        """Run a command line in this process and return its exit code and output."""
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = execute(arguments)
        return CommandResult(code, out.getvalue(), err.getvalue())

    def write_file(self, text: str, name: str = "fleet.toml") -> Path:
        """Write a file into the test's folder and return its path."""
        path = self.folder / name
        path.write_text(text, encoding="utf-8")
        return path

    def unused_address(self) -> HostPort:
        """Return an address at which nothing listens."""
        return ADDRESSES.allocate()

    def _set_environment(self, name: str, value: str) -> None:
        old = os.environ.get(name)
        os.environ[name] = value
        if old is None:
            self.addCleanup(os.environ.pop, name, None)
        else:
            self.addCleanup(os.environ.__setitem__, name, old)
