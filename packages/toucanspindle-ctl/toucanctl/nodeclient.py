"""Asks nodes over grpclib: the status of agents, explanations of proxies, their configuration.

Each call is bounded in time, and a fleet is asked with bounded concurrency.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Final, TypeVar

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from toucanspindle_core import errorcodes
from toucanspindle_core.control_grpc import IssuerLinkStub, PeerLinkStub
from toucanspindle_core.control_pb2 import (
    BundleRequest,
    ConfigBundle,
    ExplainRequest,
    Explanation,
    NodeStatus,
    StatusRequest,
)
from toucanspindle_core.controlchannel import ControlChannel
from toucanspindle_core.errors import ControlError
from toucanspindle_core.hostport import HostPort

CALL_TIMEOUT_S: Final = 2.0
MAX_CALLS_AT_A_TIME: Final = 32

ALL_SERVICES: Final = ""
NO_SERVICE: Final = "-"  # No service has this name: generations only.

T = TypeVar("T")


async def fetch_status(address: str, scope: str = ALL_SERVICES) -> NodeStatus:
    """Return the status of the node whose agent is at `address`; raise ControlError.

    With a service as `scope` the answer has the ejections of that service alone and no members.
    """

    async def ask(channel: Channel) -> NodeStatus:
        request = StatusRequest(service=scope)
        return await PeerLinkStub(channel).Status(request, timeout=CALL_TIMEOUT_S)

    return await _call(address, "agent", ask)


async def fetch_bundle(address: str) -> ConfigBundle:
    """Return the configuration that the agent at `address` has; raise ControlError."""

    async def ask(channel: Channel) -> ConfigBundle:
        return await PeerLinkStub(channel).FetchBundle(BundleRequest(), timeout=CALL_TIMEOUT_S)

    return await _call(address, "agent", ask)


async def fetch_explanation(address: str, request_id: str) -> list[str]:
    """Return what the proxy with the control address knows of a request; raise ControlError."""

    async def ask(channel: Channel) -> Explanation:
        request = ExplainRequest(request_id=request_id)
        return await IssuerLinkStub(channel).Explain(request, timeout=CALL_TIMEOUT_S)

    return list((await _call(address, "proxy", ask)).lines)


async def ask_all(
    addresses: Iterable[str], ask: Callable[[str], Awaitable[T]]
) -> dict[str, T | ControlError]:
    """Ask every address; an entry holds the answer, or the error of a node that wasn't heard."""
    gate = asyncio.Semaphore(MAX_CALLS_AT_A_TIME)

    async def guarded(address: str) -> T | ControlError:
        async with gate:
            try:
                return await ask(address)
            except ControlError as error:
                return error

    targets = list(dict.fromkeys(addresses))
    answers = await asyncio.gather(*(guarded(address) for address in targets))
    return dict(zip(targets, answers, strict=True))


async def _call(address: str, role: str, ask: Callable[[Channel], Awaitable[T]]) -> T:
    place = _parse(address, role)
    channel = ControlChannel(place.ip, place.port)
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            return await ask(channel)
    except (GRPCError, ProtocolError, StreamTerminatedError, OSError, TimeoutError) as error:
        reason = str(error) or type(error).__name__
        raise ControlError(
            errorcodes.AGENT_AWAY,
            f"The {role} at {address} wasn't heard: {reason}.",
            "check that the node runs and can be reached from here",
        ) from error
    finally:
        channel.close()


def _parse(address: str, role: str) -> HostPort:
    try:
        return HostPort.parse(address)
    except ValueError as error:
        raise ControlError(
            errorcodes.AGENT_AWAY,
            f"The {role}'s address is malformed: {error}.",
            "correct the address in the settings of the node",
        ) from error
