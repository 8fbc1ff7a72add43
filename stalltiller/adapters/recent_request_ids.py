"""Duplicate detection for request identifiers, bounded in time and number.

`HttpServer` owns one instance for all its client connections.
"""

from __future__ import annotations

MAX_IDS_PER_GENERATION = 8192  # bounds the memory: two generations are held


class RecentRequestIds:
    """Remembers request identifiers, usually for `retention_seconds` to twice that time.

    A claim starts a new generation if the current one is older than `retention_seconds` or full.

    Guards against a client that reuses the identifier of another client's request: a target would take its
    request for a second attempt of the first one, which may still be in flight.
    """

    def __init__(self, retention_seconds: float) -> None:
        self.retention_seconds = retention_seconds
        self._next_rotation_at = 0.0
        self._current: set[str] = set()
        self._previous: set[str] = set()

    def claim(self, now: float, request_id: str) -> bool:
        """Add an identifier and return whether it was new."""
        if now >= self._next_rotation_at or len(self._current) >= MAX_IDS_PER_GENERATION:
            self._previous = self._current
            self._current = set()
            self._next_rotation_at = now + self.retention_seconds
        if request_id in self._current or request_id in self._previous:
            return False
        self._current.add(request_id)
        return True
