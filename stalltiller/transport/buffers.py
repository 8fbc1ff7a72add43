"""Receive buffers of one size that are reused, and a byte budget that several connections share.

Both are owned by the event loop's thread and take no locks.
"""

from __future__ import annotations

BUFFER_BYTES = 16 * 1024  # a connection sees one buffer at a time, so this is also the longest message head
MAX_FREE_BUFFERS = 64  # 1 MiB in reserve; only connections with unread bytes need a buffer


class BufferPool:
    """Lends buffers of `size` bytes and reuses those that come back.

    At most `max_free` returned buffers are retained; the others are left to the garbage collector.
    """

    def __init__(self, max_free: int = MAX_FREE_BUFFERS, size: int = BUFFER_BYTES) -> None:
        self.size = size
        self._max_free = max_free
        self._free: list[bytearray] = []

    def acquire(self) -> bytearray:
        """Return a buffer, whose old contents are undefined."""
        return self._free.pop() if self._free else bytearray(self.size)

    def release(self, buffer: bytearray) -> None:
        """Take back a buffer that `acquire` returned and nobody uses any more."""
        if len(self._free) < self._max_free:
            self._free.append(buffer)


class MemoryBudget:
    """Counts the bytes that all who share it have reserved, against a limit of `max_bytes`."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self.reserved = 0

    def adjust(self, byte_delta: int) -> bool:
        """Reserve bytes, or return them if negative; return whether the total is within the limit.

        The bytes are counted even if the total exceeds the limit: the caller decides what to give up.
        """
        self.reserved += byte_delta
        return self.reserved <= self._max_bytes
