"""Bounds the memory that peers make a process hold: requests, responses, and what is read of them.

All that is kept of what a peer sent is charged to one account.  Each exchange has a lease, which
grows with it, and ends when the last object that refers to it is gone.  A lease of up to
SMALL_LEASE_BYTES may grow until the account reaches its limit.  Larger leases share LARGE_SHARE of
the limit, so that a few large bodies leave room for the small requests of other callers.  A lease
that can't grow at once can wait for its turn.  Only the first one waiting is considered, so that
small needs don't overtake a large one for ever.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from typing import Final

SMALL_LEASE_BYTES: Final = 65_536
LARGE_SHARE: Final = 0.75
READ_BUFFER_BYTES: Final = 16_384
# A body in tiny chunks takes a lot of time to parse; other connections get their turn sooner.
MAX_PIECES_PER_READ: Final = 32
SMALL_READ_BYTES: Final = 256


class MemoryAccount:
    """The memory that peers hold in a process, in bytes.

    `read_buffer` is shared by all connections: what is read is parsed before the next read.
    """

    def __init__(self, limit_bytes: int) -> None:
        """Create an account in which nothing is held."""
        self._limit_bytes = limit_bytes
        self._large_limit_bytes = int(limit_bytes * LARGE_SHARE)
        self._held_bytes = 0
        # By lease, in the order in which they wait; a lease waits for one amount at a time.
        self._waiting: OrderedDict[MemoryLease, tuple[int, Callable[[], None]]] = OrderedDict()
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))

    @property
    def limit_bytes(self) -> int:
        """The limit for all leases together."""
        return self._limit_bytes

    @property
    def large_limit_bytes(self) -> int:
        """The held bytes up to which leases above SMALL_LEASE_BYTES may grow."""
        return self._large_limit_bytes

    @property
    def held_bytes(self) -> int:
        """What all leases hold together."""
        return self._held_bytes

    def lease(self) -> "MemoryLease":
        """Return a lease that holds nothing."""
        return MemoryLease(self)

    def buffer_for(self, pieces_read: int) -> memoryview:
        """Return a buffer for a read, after one that had some number of parts of bodies."""
        if pieces_read > MAX_PIECES_PER_READ:
            return self.read_buffer[:SMALL_READ_BYTES]
        return self.read_buffer

    # For leases.

    def add(self, amount: int) -> None:
        """Charge an amount, or release a negative one; leases that wait may grow then."""
        self._held_bytes += amount
        if amount < 0 and self._waiting:
            self._grant_waiting()

    def has_room(self, held_bytes: int, amount: int) -> bool:
        """Return whether a lease that holds some bytes may grow by an amount."""
        is_small = held_bytes + amount <= SMALL_LEASE_BYTES
        limit = self._limit_bytes if is_small else self._large_limit_bytes
        return self._held_bytes + amount <= limit

    def is_first_in_line(self, held_bytes: int, amount: int) -> bool:
        """Return whether no other lease waits that a growing lease would overtake."""
        return held_bytes + amount <= SMALL_LEASE_BYTES or not self._waiting

    def wait(self, lease: "MemoryLease", amount: int, on_granted: Callable[[], None]) -> None:
        """Let a lease wait for its turn."""
        self._waiting[lease] = (amount, on_granted)

    def stop_waiting(self, lease: "MemoryLease") -> None:
        """Remove a lease from those that wait."""
        if self._waiting.pop(lease, None) is not None:
            self._grant_waiting()

    def _grant_waiting(self) -> None:
        """Let leases grow in the order in which they wait, as far as there is room."""
        while self._waiting:
            lease, (wanted, on_granted) = next(iter(self._waiting.items()))
            if not self.has_room(lease.held_bytes, wanted):
                return
            del self._waiting[lease]
            lease.charge(wanted)
            # Memory may be released anywhere, even within the parser of another connection.
            asyncio.get_running_loop().call_soon(on_granted)


class MemoryLease:
    """What one exchange holds; it is returned when the lease is closed or no longer referred to."""

    def __init__(self, account: MemoryAccount) -> None:
        """Create a lease that holds nothing; see `MemoryAccount.lease`."""
        self._account = account
        self._held_bytes = 0

    def __del__(self) -> None:
        self._account.add(-self._held_bytes)

    @property
    def held_bytes(self) -> int:
        """What the lease holds."""
        return self._held_bytes

    def charge(self, amount: int) -> None:
        """Hold more, even beyond the limit: for what has been received already."""
        self._held_bytes += amount
        self._account.add(amount)

    def release(self, amount: int) -> None:
        """Hold less."""
        self._held_bytes -= amount
        self._account.add(-amount)

    def try_grow(self, amount: int) -> bool:
        """Hold more if there is room now, and return whether there is."""
        account, held_bytes = self._account, self._held_bytes
        has_room = account.has_room(held_bytes, amount)
        if not has_room or not account.is_first_in_line(held_bytes, amount):
            return False
        self.charge(amount)
        return True

    def can_ever_grow(self, amount: int) -> bool:
        """Return whether there would be room if no other lease held anything."""
        return self._held_bytes + amount <= self._account.large_limit_bytes

    def grow_later(self, amount: int, on_granted: Callable[[], None]) -> None:
        """Wait for room; `on_granted` is called once the lease holds the amount."""
        self._account.wait(self, amount, on_granted)

    def stop_waiting(self) -> None:
        """Give up the wait for room, if there is one."""
        self._account.stop_waiting(self)
