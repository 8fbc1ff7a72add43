"""Limits events per second by counting them in fixed windows of one second.  No I/O."""

from __future__ import annotations


class PerSecondLimiter:
    """Allows `limit` events in each whole second of the caller's clock."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._second = 0
        self._count = 0

    def allow(self, now: float) -> bool:
        """Count one event at `now` (seconds) and return whether it is within the limit."""
        if int(now) != self._second:
            self._second = int(now)
            self._count = 0
        self._count += 1
        return self._count <= self._limit
