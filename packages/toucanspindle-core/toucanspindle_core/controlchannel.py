"""A grpclib channel whose connection may be lost the moment it was made.

When a peer accepts and closes at once, as a host that is starting or leaving does, grpclib hands
out a connection that is closed already, and the call ends with AttributeError.  ControlChannel
reports it as what it is, a lost connection.
"""

from grpclib.client import Channel
from grpclib.exceptions import StreamTerminatedError
from grpclib.protocol import H2Protocol


class ControlChannel(Channel):
    """A channel between the system's own processes.

    Invariant: a call that can't be made ends with OSError, TimeoutError or one of grpclib's own
    exceptions.
    """

    async def __connect__(self) -> H2Protocol:
        """Return a connection that is open now; no other task runs before the call uses it."""
        protocol = await super().__connect__()
        if not self._connected:
            raise StreamTerminatedError("Connection lost")
        return protocol
