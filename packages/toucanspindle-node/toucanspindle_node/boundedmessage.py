"""Receives one message of bounded size from another process.

grpclib takes messages of up to 4 GB.  Here the length that a message announces is checked before
its bytes are read, and whatever can't be decoded is refused with a code.
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

UNDECODABLE: Final = (DecodeError, AssertionError, NotImplementedError)

Request = TypeVar("Request")


class _BoundedReader:
    """Reads the data of a call; refuses a piece that exceeds the limit."""

    def __init__(self, data: DataStream, limit_bytes: int) -> None:
        self._data = data
        self._limit_bytes = limit_bytes

    async def recv_data(self, size: int) -> bytes:
        """Return the next `size` bytes."""
        if size > self._limit_bytes:
            text = f"a message of {size} bytes exceeds {self._limit_bytes}"
            raise GRPCError(Status.RESOURCE_EXHAUSTED, f"{PEER_MALFORMED}: {text}")
        return await self._data.recv_data(size)


async def receive_message(
    stream: "Stream[Any, Any]", message_type: type[Request], limit_bytes: int
) -> Request:
    """Return the message of a call; raise GRPCError when it is missing, malformed or too large."""
    reader = cast(DataStream, _BoundedReader(stream._stream, limit_bytes))
    try:
        message = await recv_message(reader, ProtoCodec(), message_type)
    except UNDECODABLE as error:
        raise malformed(f"{error!r}") from error
    if message is None:
        raise malformed("the call ended before its message")
    return message


def malformed(text: str) -> GRPCError:
    """Return the refusal of a message that can't be understood."""
    return GRPCError(Status.INVALID_ARGUMENT, f"{PEER_MALFORMED}: {text}")
