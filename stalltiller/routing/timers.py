"""A heap of timers that shares one timer of the event loop.

The queue calls `on_due` when the first timer is due; its owner then runs the due timers at the start of a
batch.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections.abc import Callable
from typing import NamedTuple


class _Timer(NamedTuple):
    """A pending call; timers with the same due time run in the order in which they were set."""

    due_at: float
    sequence: int  # unique, so that a comparison never reaches the callback
    callback: Callable[..., None]
    arguments: tuple[object, ...]


class TimerQueue:
    """Pending timers, ordered by due time; times are on the loop's clock, in seconds."""

    def __init__(self, loop: asyncio.AbstractEventLoop, on_due: Callable[[], None]) -> None:
        self._loop = loop
        self._on_due = on_due
        self._heap: list[_Timer] = []
        self._sequence = itertools.count()
        self._wakeup: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._heap)

    def call_at(self, due_at: float, callback: Callable[..., None], *arguments: object) -> None:
        """Have `run_due` call `callback` at `due_at` or later."""
        heapq.heappush(self._heap, _Timer(due_at, next(self._sequence), callback, arguments))
        if self._heap[0].due_at == due_at:
            self.arm()

    def run_due(self, now: float) -> None:
        """Run every timer that is due at `now`, including those set by other timers meanwhile."""
        while self._heap and self._heap[0].due_at <= now:
            timer = heapq.heappop(self._heap)
            timer.callback(*timer.arguments)

    def arm(self) -> None:
        """Make sure that `on_due` is called when the first timer is due."""
        if not self._heap:
            return
        due_at = self._heap[0].due_at
        if self._wakeup is not None:
            if not self._wakeup.cancelled() and self._wakeup.when() <= due_at:
                return
            self._wakeup.cancel()
        self._wakeup = self._loop.call_at(due_at, self._on_wakeup)

    def _on_wakeup(self) -> None:
        self._wakeup = None
        self._on_due()
