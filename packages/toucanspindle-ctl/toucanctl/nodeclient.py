"""gRPC client for nodes: status and configuration from agents, explanations from proxies.

Each call has a timeout, and the number of concurrent calls to a fleet is limited.
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
MAX_CONCURRENT_CALLS: Final = 32

ALL_SERVICES: Final = ""
# Not a valid service name, so the answer holds the generations and nothing of any service.
GENERATIONS_ONLY: Final = "-"

T = TypeVar("T")


async def fetch_status(address: str, service_scope: str = ALL_SERVICES) -> NodeStatus:
    """Return the status of the node whose agent is at `address`.

    With a service name as `service_scope` the answer holds only the ejections of that service, and
    no members.  Raises ControlError when the address is malformed or the agent doesn't answer.
    """

    async def send_request(channel: Channel) -> NodeStatus:
        request = StatusRequest(service=service_scope)
        return await PeerLinkStub(channel).Status(request, timeout=CALL_TIMEOUT_S)

    return await _call(address, "agent", send_request)


async def fetch_bundle(address: str) -> ConfigBundle:
    """Return the configuration that the agent at `address` has.

    Raises ControlError when the address is malformed or the agent doesn't answer.
    """

    async def send_request(channel: Channel) -> ConfigBundle:
        return await PeerLinkStub(channel).FetchBundle(BundleRequest(), timeout=CALL_TIMEOUT_S)

    return await _call(address, "agent", send_request)


async def fetch_explanation(address: str, request_id: str) -> list[str]:
    """Return the steps of a request that the proxy with control address `address` recorded.

    The list is empty when the proxy doesn't know the request.  Raises ControlError when the
    address is malformed or the proxy doesn't answer.
    """

    async def send_request(channel: Channel) -> Explanation:
        request = ExplainRequest(request_id=request_id)
        return await IssuerLinkStub(channel).Explain(request, timeout=CALL_TIMEOUT_S)

    return list((await _call(address, "proxy", send_request)).lines)


async def call_all(
    addresses: Iterable[str], call: Callable[[str], Awaitable[T]]
) -> dict[str, T | ControlError]:
    """Call each distinct address once, and return its answer or its ControlError by address."""
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

    async def call_with_limit(address: str) -> T | ControlError:
        async with semaphore:
            try:
                return await call(address)
            except ControlError as error:
                return error

    unique_addresses = list(dict.fromkeys(addresses))
    answers = await asyncio.gather(*(call_with_limit(address) for address in unique_addresses))
    return dict(zip(unique_addresses, answers, strict=True))


async def _call(address: str, role: str, send_request: Callable[[Channel], Awaitable[T]]) -> T:
    host_port = _parse_address(address, role)
    channel = ControlChannel(host_port.ip, host_port.port)
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            return await send_request(channel)
    except (GRPCError, ProtocolError, StreamTerminatedError, OSError, TimeoutError) as error:
        reason = str(error) or type(error).__name__
        raise ControlError(
            errorcodes.AGENT_UNREACHABLE,
            f"The {role} at {address} didn't answer: {reason}.",
            "check that the node runs and can be reached from here",
        ) from error
    finally:
        channel.close()


def _parse_address(address: str, role: str) -> HostPort:
    try:
        return HostPort.parse(address)
    except ValueError as error:
        raise ControlError(
            errorcodes.AGENT_UNREACHABLE,
            f"The {role}'s address is malformed: {error}.",
            "correct the address in the settings of the node",
        ) from error
