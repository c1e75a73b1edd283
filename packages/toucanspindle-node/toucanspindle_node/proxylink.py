"""Server of the link that this host's proxy holds to its agent.

The proxy follows with its member record; the stream carries the agent's state, at once and on
each change.  The configuration is sent only when the stream hasn't carried it yet.  When the
stream breaks, the proxy is gone: its member is declared DEAD at once, unless it said LEAVING or
LEFT.  A proxy whose stream stands but which stopped reporting is taken off the directory.
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

from toucanspindle_node.agent_feed import StateFeed, push_interval_s
from toucanspindle_node.agent_parts import AgentParts

SILENT_REPORTS: Final = 6
MIN_SILENT_S: Final = 3.0
LEAVING_HOLD_S: Final = 60.0

_log = Logger("agent.proxy")


class StateSource(Protocol):
    """Builds what is sent to the proxy."""

    def agent_state(self, sent_generation: int) -> AgentState:
        """Return the state; without configuration if `sent_generation` is the one held."""
        ...


class ProxyLink(ProxyLinkBase):
    """Serves one proxy.

    Invariant: at most one stream is current; only its member is the agent's own.
    """

    def __init__(
        self,
        parts: AgentParts,
        feed: StateFeed,
        source: StateSource,
        on_report: Callable[[ProxyReport], None],
    ) -> None:
        self._parts = parts
        self._feed = feed
        self._source = source
        self._on_report = on_report
        self._session = 0
        self._incarnation = ""
        self._last_incarnation = ""
        self._last_member: Member | None = None
        self._reported_at: float | None = None
        self._closing = False
        self._loop_timers: list[asyncio.TimerHandle] = []
        self.generation = 0

    @property
    def connected(self) -> bool:
        """Whether a proxy follows."""
        return bool(self._incarnation)

    @property
    def last_member(self) -> Member | None:
        """The record of the proxy that follows or followed last, also once it is forgotten."""
        self._last_member = self._parts.membership.find(self._last_incarnation) or self._last_member
        return self._last_member

    def is_silent(self) -> bool:
        """Say whether the proxy follows but stopped reporting."""
        if not self._incarnation or self._reported_at is None:
            return False
        allowed = max(MIN_SILENT_S, SILENT_REPORTS * self._parts.settings.report_interval_s)
        return self._parts.clock.now() - self._reported_at > allowed

    def close(self) -> None:
        """Keep the member as it is when the streams end, since it's the agent that stops."""
        self._closing = True
        for timer in self._loop_timers:
            timer.cancel()

    async def Follow(self, stream: "Stream[ProxyHello, AgentState]") -> None:  # noqa: N802
        """Serve a proxy's stream until it ends."""
        hello = await stream.recv_message()
        if hello is None:
            return
        member = hello.member
        self._check(member)
        self._session += 1
        session = self._session
        self._incarnation = self._last_incarnation = member.incarnation
        self._reported_at = None
        self._parts.membership.set_own(member)
        self._feed.bump()
        _log.info("proxy {} follows", member.incarnation)
        try:
            await self._push(stream, session)
        finally:
            if session == self._session and not self._closing:
                self._lose_proxy()

    async def Report(self, stream: "Stream[ProxyReport, Empty]") -> None:  # noqa: N802
        """Take in a report of the proxy that follows."""
        report = await stream.recv_message()
        if report is None:
            return
        if report.HasField("member"):
            self._take_member(report.member)
        self._reported_at = self._parts.clock.now()
        self.generation = report.generation
        self._on_report(report)
        await stream.send_message(Empty())

    async def _push(self, stream: "Stream[ProxyHello, AgentState]", session: int) -> None:
        sent_generation = 0
        seen = -1
        while session == self._session and not self._closing:
            await self._feed.wait_beyond(seen)
            seen = self._feed.version
            state = self._source.agent_state(sent_generation)
            sent_generation = state.config.generation or sent_generation
            await stream.send_message(state)
            await asyncio.sleep(push_interval_s(len(state.members)))

    def _take_member(self, member: Member) -> None:
        if member.incarnation != self._incarnation:
            raise refusal(
                ControlError(
                    errorcodes.INCARNATION_OUTDATED,
                    f"Proxy {member.incarnation} reports, but {self._incarnation!r} follows.",
                    "follow before reporting",
                )
            )
        self._check(member)
        before = self._parts.membership.changes
        self._parts.membership.set_own(member)
        if self._parts.membership.changes != before:
            self._feed.bump()

    def _check(self, member: Member) -> None:
        try:
            check_member(member)
        except ControlError as error:
            raise refusal(error) from error

    def _lose_proxy(self) -> None:
        incarnation, self._incarnation = self._incarnation, ""
        _log.notice("proxy {} is gone", incarnation)
        membership = self._parts.membership
        membership.retire_own()
        self._last_member = membership.find(incarnation)
        self._feed.bump()
        loop = asyncio.get_running_loop()
        timer = loop.call_later(LEAVING_HOLD_S, membership.finish_leaving, incarnation)
        self._loop_timers.append(timer)


def refusal(error: ControlError) -> GRPCError:
    """Return what carries an error to the other process; its code comes first."""
    return GRPCError(Status.FAILED_PRECONDITION, f"{error.code}: {error.text}")
