"""The body of a message, kept once, in blocks.

Small pieces are joined into blocks, so that a body that arrives byte by byte takes about as much
memory as any other.  The blocks are sent one by one, and a body that is sent to its end can release
each block as it goes.
"""

from collections.abc import Iterator
from typing import Final

from toucanspindle_entry.memoryaccount import MemoryLease

BLOCK_BYTES: Final = 16_384
BLOCK_OVERHEAD_BYTES: Final = 128  # Of the objects around a block.
GROWTH_SHARE: Final = 8  # A growing block has up to 1/8 more memory than it needs.


class BodyBuffer:
    """A body that is charged to a lease."""

    def __init__(self, lease: MemoryLease) -> None:
        """Create an empty body."""
        self._lease = lease
        self._blocks: list[bytearray] = []
        self._length = 0
        self._charged_bytes = 0

    def __len__(self) -> int:
        return self._length

    def __bytes__(self) -> bytes:
        return b"".join(self._blocks)

    @property
    def lease(self) -> MemoryLease:
        """The lease to which the body is charged."""
        return self._lease

    def record_charge(self, amount: int) -> None:
        """Record that the lease has grown by an amount for this body."""
        self._charged_bytes += amount

    def append(self, piece: bytes) -> bool:
        """Add the next piece and charge it; return whether there was memory for it.

        A piece is kept and charged even without memory, since it has been received.
        """
        self._length += len(piece)
        begin = 0
        while begin < len(piece):
            if not self._blocks or len(self._blocks[-1]) >= BLOCK_BYTES:
                self._blocks.append(bytearray())
            block = self._blocks[-1]
            end = begin + BLOCK_BYTES - len(block)
            block += piece[begin:end]
            begin = end
        uncharged = body_cost(self._length) - self._charged_bytes
        if uncharged <= 0:
            return True
        has_memory = self._lease.try_grow(uncharged)
        if not has_memory:
            self._lease.charge(uncharged)
        self._charged_bytes += uncharged
        return has_memory

    def blocks(self) -> Iterator[bytearray]:
        """Return the blocks and keep them."""
        return iter(self._blocks)

    def take_blocks(self) -> Iterator[bytearray]:
        """Return the blocks once; each is released when the next one is taken."""
        blocks, self._blocks, self._length = self._blocks, [], 0
        blocks.reverse()
        while blocks:
            yield blocks.pop()
            released = min(body_cost(BLOCK_BYTES), self._charged_bytes)
            self._charged_bytes -= released
            self._lease.release(released)


Body = bytes | BodyBuffer


def body_cost(length: int) -> int:
    """Return the memory that a body of a length takes, in bytes."""
    blocks = -(-length // BLOCK_BYTES)
    return length + length // GROWTH_SHARE + blocks * BLOCK_OVERHEAD_BYTES


def body_blocks(body: Body) -> Iterator[bytes | bytearray]:
    """Return the parts of a body in order."""
    if isinstance(body, BodyBuffer):
        return body.blocks()
    return iter((body,) if body else ())
