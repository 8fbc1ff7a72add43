"""A sum over a sliding window of time."""

from __future__ import annotations

from collections import deque


class SlidingWindowSum:
    """Amounts with timestamps; those that have left the window are subtracted when the sum is read."""

    def __init__(self) -> None:
        self._amounts: deque[tuple[float, float]] = deque()  # (time, amount), oldest first
        self._total = 0.0

    def add(self, now: float, amount: float) -> None:
        """Add an amount; `now` must not be earlier than in the call before."""
        self._amounts.append((now, amount))
        self._total += amount

    def total_since(self, start: float) -> float:
        """Remove the amounts of `start` and earlier, and return the sum of the rest."""
        while self._amounts and self._amounts[0][0] <= start:
            self._total -= self._amounts.popleft()[1]
        return self._total
