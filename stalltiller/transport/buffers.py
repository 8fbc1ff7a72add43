"""Receive buffers of one size, used again."""

from __future__ import annotations

SIZE = 16 * 1024  # bytes: also the longest message head that fits


class BufferPool:
    """Lends buffers; keeps at most `spare` of those that come back, the rest are freed."""

    def __init__(self, spare: int = 64, size: int = SIZE) -> None:
        self.size, self._spare, self._free = size, spare, []

    def acquire(self) -> bytearray:
        return self._free.pop() if self._free else bytearray(self.size)

    def release(self, buffer: bytearray) -> None:
        if len(self._free) < self._spare:
            self._free.append(buffer)


class MemoryBudget:
    """Bytes that may be held at once by all who share it."""

    def __init__(self, most: int) -> None:
        self._most, self.reserved = most, 0

    def adjust(self, by: int) -> bool:
        """Count bytes in, or out if negative; whether all are within the allowance."""
        self.reserved += by
        return self.reserved <= self._most
