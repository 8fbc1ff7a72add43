"""A pool of fixed-size receive buffers, and a memory budget shared by several connections.

Both are used from the event loop's thread only and take no locks.
"""

from __future__ import annotations

# A connection holds one buffer at a time, so the buffer size also limits the size of a message head.
BUFFER_BYTES = 16 * 1024
MAX_FREE_BUFFERS = 64  # retains at most 1 MiB; only connections with unread bytes hold a buffer


class BufferPool:
    """Provides buffers of `size` bytes and reuses released ones.

    At most `max_free` released buffers are retained; the others are left to the garbage collector.
    """

    def __init__(self, max_free: int = MAX_FREE_BUFFERS, size: int = BUFFER_BYTES) -> None:
        self.size = size
        self._max_free = max_free
        self._free: list[bytearray] = []

    def acquire(self) -> bytearray:
        """Return a buffer with undefined contents."""
        return self._free.pop() if self._free else bytearray(self.size)

    def release(self, buffer: bytearray) -> None:
        """Return a buffer obtained from `acquire` to the pool; the caller must not use it afterwards."""
        if len(self._free) < self._max_free:
            self._free.append(buffer)


class MemoryBudget:
    """Counts the bytes reserved by all its users against a limit of `max_bytes`."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self.reserved_bytes = 0

    def can_reserve(self, size: int) -> bool:
        """Return whether `size` more bytes could be reserved within the limit."""
        return self.reserved_bytes + size <= self._max_bytes

    def adjust_reservation(self, byte_delta: int) -> bool:
        """Reserve `byte_delta` bytes (release if negative) and return whether the total is within the limit.

        The bytes are counted even if the total exceeds the limit; the caller decides what to drop.
        """
        self.reserved_bytes += byte_delta
        return self.reserved_bytes <= self._max_bytes
