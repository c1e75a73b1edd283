"""gRPC calls with malformed or oversized messages, for tests of their refusal."""

import struct
from typing import Any, Final

from google.protobuf.message import Message
from grpclib.client import Channel
from grpclib.const import Cardinality
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError
from toucanspindle_core.hostport import HostPort

CALL_TIMEOUT_S: Final = 10.0
CODE_CHARS: Final = 5
ACCEPTED: Final = "accepted"


class RawCodec(CodecBase):
    """A codec that sends and returns raw bytes without encoding."""

    __content_subtype__ = "proto"

    def encode(self, message: Any, message_type: Any) -> bytes:  # noqa: ARG002
        """Return the bytes."""
        return bytes(message)

    def decode(self, data: bytes, message_type: Any) -> Any:  # noqa: ARG002
        """Return the bytes."""
        return data


async def call_error_code(
    address: HostPort, stub: Any, method: str, message: Message | bytes
) -> str:
    """Call a method of a stub class with a message or raw bytes.

    Returns the error code of the refusal, or ACCEPTED.
    """
    channel = Channel(
        address.ip, address.port, codec=RawCodec() if isinstance(message, bytes) else None
    )
    try:
        await getattr(stub(channel), method)(message, timeout=CALL_TIMEOUT_S)
    except GRPCError as error:
        return (error.message or "")[:CODE_CHARS]
    finally:
        channel.close()
    return ACCEPTED


async def oversized_call_error_code(address: HostPort, path: str, size_bytes: int) -> str:
    """Announce a message of `size_bytes` to the method at `path`, and send only its start.

    Returns the error code of the refusal, or ACCEPTED.
    """
    channel = Channel(address.ip, address.port, codec=RawCodec())
    try:
        async with channel.request(
            path, Cardinality.UNARY_UNARY, bytes, bytes, timeout=CALL_TIMEOUT_S
        ) as stream:
            await stream.send_request()
            await stream._stream.send_data(struct.pack(">?I", False, size_bytes) + b"x" * 1000)
            await stream.recv_message()
    except GRPCError as error:
        return (error.message or "")[:CODE_CHARS]
    finally:
        channel.close()
    return ACCEPTED
