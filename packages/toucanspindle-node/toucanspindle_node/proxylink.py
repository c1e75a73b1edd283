"""gRPC server for this host's proxy.

The proxy opens a stream with its member record.  The agent sends its state on the stream at once
and after each change.  It sends the configuration only if the stream hasn't carried that generation
yet.  When the stream breaks, the proxy is considered gone: its member becomes DEAD at once, unless
its state is LEAVING or LEFT.  A proxy that keeps its stream open but stops reporting is removed
from the directory.
"""

import asyncio
from collections.abc import Callable
from typing import Final, Protocol

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream
from logbook import Logger
from toucanspindle_core import errorcodes
from toucanspindle_core.control_grpc import ProxyLinkBase
from toucanspindle_core.control_pb2 import AgentState, Empty, Member, ProxyHello, ProxyReport
from toucanspindle_core.errors import ControlError
from toucanspindle_core.memberrecord import check_member

from toucanspindle_node.changenotifier import ChangeNotifier, push_interval_s
from toucanspindle_node.dependencies import AgentDependencies

SILENT_REPORT_INTERVALS: Final = 6
MIN_SILENT_S: Final = 3.0
LEAVING_TIMEOUT_S: Final = 60.0

_log = Logger("agent.proxy")


class StateSource(Protocol):
    """Builds the state that is sent to the proxy."""

    def agent_state(self, sent_generation: int) -> AgentState:
        """Return the state; without configuration if `sent_generation` is current."""
        ...


class ProxyLink(ProxyLinkBase):
    """Serves the proxy of this host.

    Invariant: at most one stream is current, and the agent's own member is the one of this stream.
    """

    def __init__(
        self,
        dependencies: AgentDependencies,
        state_changes: ChangeNotifier,
        state_source: StateSource,
        on_report: Callable[[ProxyReport], None],
    ) -> None:
        self._dependencies = dependencies
        self._state_changes = state_changes
        self._state_source = state_source
        self._on_report = on_report
        self._current_stream_id = 0
        self._incarnation = ""
        self._last_incarnation = ""
        self._last_member: Member | None = None
        self._reported_at: float | None = None
        self._is_closing = False
        self._leaving_timers: list[asyncio.TimerHandle] = []
        self.proxy_generation = 0  # the generation in force at the proxy, from its last report

    @property
    def connected(self) -> bool:
        """Whether a proxy has an open stream."""
        return bool(self._incarnation)

    @property
    def last_member(self) -> Member | None:
        """The record of the current or last proxy, even after the member table removed it."""
        self._last_member = (
            self._dependencies.membership.find(self._last_incarnation) or self._last_member
        )
        return self._last_member

    def has_stopped_reporting(self) -> bool:
        """Return whether the proxy has an open stream but stopped reporting."""
        if not self._incarnation or self._reported_at is None:
            return False
        allowed = max(
            MIN_SILENT_S, SILENT_REPORT_INTERVALS * self._dependencies.settings.report_interval_s
        )
        return self._dependencies.clock.now() - self._reported_at > allowed

    def close(self) -> None:
        """Prepare for the agent's stop: streams that end now don't change the member's state."""
        self._is_closing = True
        for timer in self._leaving_timers:
            timer.cancel()

    async def Follow(self, stream: "Stream[ProxyHello, AgentState]") -> None:  # noqa: N802
        """Send the agent's state to a proxy until the stream ends."""
        hello = await stream.recv_message()
        if hello is None:
            return
        member = hello.member
        self._check_member(member)
        self._current_stream_id += 1
        stream_id = self._current_stream_id
        self._incarnation = self._last_incarnation = member.incarnation
        self._reported_at = None
        self._dependencies.membership.set_own_member(member)
        self._state_changes.notify()
        _log.info("proxy {} connected", member.incarnation)
        try:
            await self._send_states(stream, stream_id)
        finally:
            if stream_id == self._current_stream_id and not self._is_closing:
                self._handle_disconnect()

    async def Report(self, stream: "Stream[ProxyReport, Empty]") -> None:  # noqa: N802
        """Process a report of the proxy with the current stream."""
        report = await stream.recv_message()
        if report is None:
            return
        if report.HasField("member"):
            self._update_member(report.member)
        self._reported_at = self._dependencies.clock.now()
        self.proxy_generation = report.generation
        self._on_report(report)
        await stream.send_message(Empty())

    async def _send_states(self, stream: "Stream[ProxyHello, AgentState]", stream_id: int) -> None:
        sent_generation = 0
        sent_change_count = -1
        while stream_id == self._current_stream_id and not self._is_closing:
            await self._state_changes.wait_for_change_after(sent_change_count)
            sent_change_count = self._state_changes.change_count
            state = self._state_source.agent_state(sent_generation)
            sent_generation = state.config.generation or sent_generation
            await stream.send_message(state)
            await asyncio.sleep(push_interval_s(len(state.members)))

    def _update_member(self, member: Member) -> None:
        if member.incarnation != self._incarnation:
            raise to_grpc_error(
                ControlError(
                    errorcodes.INCARNATION_OUTDATED,
                    f"Proxy {member.incarnation} reports, but {self._incarnation!r} is connected.",
                    "open the Follow stream before sending reports",
                )
            )
        self._check_member(member)
        previous_change_count = self._dependencies.membership.change_count
        self._dependencies.membership.set_own_member(member)
        if self._dependencies.membership.change_count != previous_change_count:
            self._state_changes.notify()

    def _check_member(self, member: Member) -> None:
        try:
            check_member(member)
        except ControlError as error:
            raise to_grpc_error(error) from error

    def _handle_disconnect(self) -> None:
        incarnation, self._incarnation = self._incarnation, ""
        _log.notice("proxy {} disconnected", incarnation)
        membership = self._dependencies.membership
        membership.retire_own_member()
        self._last_member = membership.find(incarnation)
        self._state_changes.notify()
        loop = asyncio.get_running_loop()
        timer = loop.call_later(LEAVING_TIMEOUT_S, membership.declare_dead_if_leaving, incarnation)
        self._leaving_timers.append(timer)


def to_grpc_error(error: ControlError) -> GRPCError:
    """Convert an error to a gRPC error whose message starts with the error code."""
    return GRPCError(Status.FAILED_PRECONDITION, f"{error.code}: {error.text}")
