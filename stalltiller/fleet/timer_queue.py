"""Timers of a protocol that is given its time.  No I/O."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import NamedTuple

Callback = Callable[[], None]


class _Timer(NamedTuple):
    """A callback that is due at a time; the sequence number keeps the order of equal times."""

    due_at: float
    sequence: int
    callback: Callback


class TimerQueue:
    """Callbacks in the order of their times, then in the order in which they were added."""

    def __init__(self) -> None:
        self._heap: list[_Timer] = []
        self._sequence = 0

    @property
    def next_due_at(self) -> float:
        """The earliest time of a timer; raises IndexError if there is none."""
        return self._heap[0].due_at

    def call_at(self, due_at: float, callback: Callback) -> None:
        """Add a timer."""
        self._sequence += 1
        heapq.heappush(self._heap, _Timer(due_at, self._sequence, callback))

    def pop_due(self, now: float) -> Callback | None:
        """Remove the earliest timer if it is due and return its callback; None if none is due."""
        if not self._heap or self._heap[0].due_at > now:
            return None
        return heapq.heappop(self._heap).callback

    def postpone_all(self, seconds: float) -> None:
        """Move all timers by as much, which leaves their order as it is."""
        self._heap = [timer._replace(due_at=timer.due_at + seconds) for timer in self._heap]
