"""Receives one gRPC message of bounded size from another process.

grpclib accepts messages of up to 4 GB.  This module checks a message's announced length before it
reads the bytes, and refuses a message that can't be decoded with an error code.
"""

from typing import Any, Final, TypeVar, cast

from google.protobuf.message import DecodeError
from grpclib.const import Status
from grpclib.encoding.proto import ProtoCodec
from grpclib.exceptions import GRPCError
from grpclib.protocol import Stream as DataStream
from grpclib.server import Stream
from grpclib.stream import recv_message
from toucanspindle_core.errorcodes import PEER_MALFORMED

# grpclib raises AssertionError for a truncated message, NotImplementedError for a compressed one.
DECODE_ERRORS: Final = (DecodeError, AssertionError, NotImplementedError)

Request = TypeVar("Request")


class _BoundedReader:
    """Reads the data of a call; raises GRPCError for a read that exceeds the limit."""

    def __init__(self, data: DataStream, limit_bytes: int) -> None:
        self._data = data
        self._limit_bytes = limit_bytes

    async def recv_data(self, size: int) -> bytes:
        """Return the next `size` bytes."""
        if size > self._limit_bytes:
            text = f"a message of {size} bytes exceeds the limit of {self._limit_bytes}"
            raise GRPCError(Status.RESOURCE_EXHAUSTED, f"{PEER_MALFORMED}: {text}")
        return await self._data.recv_data(size)


async def receive_message(
    stream: "Stream[Any, Any]", message_type: type[Request], limit_bytes: int
) -> Request:
    """Return the message of a call; raise GRPCError when it is missing, malformed or too large."""
    reader = cast(DataStream, _BoundedReader(stream._stream, limit_bytes))
    try:
        message = await recv_message(reader, ProtoCodec(), message_type)
    except DECODE_ERRORS as error:
        raise malformed_error(f"{error!r}") from error
    if message is None:
        raise malformed_error("the call ended before its message")
    return message


def malformed_error(text: str) -> GRPCError:
    """Return the error for a message that is missing, can't be decoded, or is invalid."""
    return GRPCError(Status.INVALID_ARGUMENT, f"{PEER_MALFORMED}: {text}")
