"""Timer queue for a protocol whose caller passes in the time.  No I/O."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import NamedTuple

Callback = Callable[[], None]


class _Timer(NamedTuple):
    """A scheduled callback; the sequence number orders timers that are due at the same time."""

    due_at: float
    sequence: int
    callback: Callback


class TimerQueue:
    """Callbacks ordered by due time, then by the order in which they were added."""

    def __init__(self) -> None:
        self._heap: list[_Timer] = []
        self._sequence = 0

    @property
    def next_due_at(self) -> float:
        """The due time of the earliest timer; raises IndexError if there is none."""
        return self._heap[0].due_at

    def call_at(self, due_at: float, callback: Callback) -> None:
        """Schedule a callback."""
        self._sequence += 1
        heapq.heappush(self._heap, _Timer(due_at, self._sequence, callback))

    def pop_due(self, now: float) -> Callback | None:
        """Remove the earliest timer if it is due and return its callback; None if none is due."""
        if not self._heap or self._heap[0].due_at > now:
            return None
        return heapq.heappop(self._heap).callback

    def postpone_all(self, seconds: float) -> None:
        """Postpone all timers by the same time, which keeps their order."""
        self._heap = [timer._replace(due_at=timer.due_at + seconds) for timer in self._heap]
