"""A heap of timers that shares one timer of the event loop.

The queue calls `on_due` when the first timer is due; its owner then runs the due timers at the start of a
batch.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections.abc import Callable, Iterable
from typing import NamedTuple

MIN_CANCELLED_TO_COMPACT = 64  # below that, cancelled timers cost less than a rebuild of the heap


class Timer:
    """A call that is due at some time; cancelling it releases what it refers to at once."""

    __slots__ = ("arguments", "callback")

    def __init__(self, callback: Callable[..., None], arguments: tuple[object, ...]) -> None:
        self.callback: Callable[..., None] | None = callback  # None: cancelled or run
        self.arguments = arguments

    def release(self) -> None:
        """Drop the call and the references to its arguments."""
        self.callback = None
        self.arguments = ()


class _HeapEntry(NamedTuple):
    """A timer in the heap; timers with the same due time run in the order in which they were set."""

    due_at: float
    sequence: int  # unique, so that a comparison never reaches the timer
    timer: Timer


class TimerQueue:
    """Pending timers, ordered by due time; times are on the loop's clock, in seconds."""

    def __init__(self, loop: asyncio.AbstractEventLoop, on_due: Callable[[], None]) -> None:
        self._loop = loop
        self._on_due = on_due
        self._heap: list[_HeapEntry] = []  # cancelled timers are removed later
        self._cancelled_count = 0
        self._sequence = itertools.count()
        self._wakeup: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._heap) - self._cancelled_count

    def call_at(self, due_at: float, callback: Callable[..., None], *arguments: object) -> Timer:
        """Have `run_due` call `callback` at `due_at` or later, unless the returned timer is cancelled."""
        timer = Timer(callback, arguments)
        heapq.heappush(self._heap, _HeapEntry(due_at, next(self._sequence), timer))
        if self._heap[0].due_at == due_at:
            self.arm()
        return timer

    def cancel(self, timers: Iterable[Timer]) -> None:
        """Cancel timers; those that have run or were cancelled before are ignored."""
        for timer in timers:
            if timer.callback is not None:
                timer.release()
                self._cancelled_count += 1
        if self._cancelled_count >= max(MIN_CANCELLED_TO_COMPACT, len(self._heap) / 2):
            self._heap = [entry for entry in self._heap if entry.timer.callback is not None]
            heapq.heapify(self._heap)
            self._cancelled_count = 0

    def run_due(self, now: float) -> None:
        """Run every timer that is due at `now`, including those set by other timers meanwhile."""
        while self._heap and self._heap[0].due_at <= now:
            timer = heapq.heappop(self._heap).timer
            if timer.callback is None:
                self._cancelled_count -= 1
                continue
            callback = timer.callback
            arguments = timer.arguments
            timer.release()
            callback(*arguments)

    def arm(self) -> None:
        """Make sure that `on_due` is called when the first timer is due."""
        while self._heap and self._heap[0].timer.callback is None:
            heapq.heappop(self._heap)
            self._cancelled_count -= 1
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
