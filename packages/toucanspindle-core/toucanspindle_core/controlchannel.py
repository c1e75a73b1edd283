"""A grpclib channel that reports connections that the peer closes immediately.

If a peer accepts a connection and closes it at once, as a starting or leaving host does, grpclib
returns the closed connection and the call ends with AttributeError.  ControlChannel raises
StreamTerminatedError instead, grpclib's error for a lost connection.
"""

from grpclib.client import Channel
from grpclib.exceptions import StreamTerminatedError
from grpclib.protocol import H2Protocol


class ControlChannel(Channel):
    """A channel between processes of the fleet.

    Invariant: a call that fails to connect raises OSError, TimeoutError or one of grpclib's
    exceptions.
    """

    async def __connect__(self) -> H2Protocol:
        """Return an open connection; raise StreamTerminatedError if it is closed already.

        No other task runs between this check and the call's use of the connection.
        """
        protocol = await super().__connect__()
        if not self._connected:
            raise StreamTerminatedError("Connection lost")
        return protocol
