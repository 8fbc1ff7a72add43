"""A set of recently used request identifiers in two generations, bounded in time and number.

`HttpServer` owns one for all its client connections.
"""

from __future__ import annotations

MAX_IDS_PER_GENERATION = 8192  # bounds the memory: two generations are remembered at once


class RecentRequestIds:
    """The request identifiers of the last `retention_seconds`, and of up to twice that time.

    Guards against a client that copies the identifier of another client's request: to a target it would look
    like a second attempt of that request while the first may still be in flight.
    """

    def __init__(self, retention_seconds: float) -> None:
        self.retention_seconds = retention_seconds
        self._next_rotation_at = 0.0
        self._current: set[str] = set()
        self._previous: set[str] = set()

    def claim(self, now: float, request_id: str) -> bool:
        """Remember an identifier and return whether it was new."""
        if now >= self._next_rotation_at or len(self._current) >= MAX_IDS_PER_GENERATION:
            self._previous = self._current
            self._current = set()
            self._next_rotation_at = now + self.retention_seconds
        if request_id in self._current or request_id in self._previous:
            return False
        self._current.add(request_id)
        return True
