"""How recent work is spread over its values, to tell whether a piece of work is among the best."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable


class ValueDistribution:
    """The last pieces of work, each with its value per unit and its size in units.

    Pieces are ordered by value and, where the values are equal, the smaller first.
    """

    def __init__(self, max_pieces: int, mean_size: float, assumed_sizes: Iterable[float]) -> None:
        """Begin with pieces of assumed sizes (times the mean), which are forgotten like others.

        An assumed piece is worth as much as any that it is compared with.
        """
        assumed = ((None, -factor * mean_size) for factor in assumed_sizes)
        self._pieces: deque[tuple[float | None, float]] = deque(assumed, max_pieces)  # (value, negative size)

    def add(self, value: float, size: float) -> None:
        """Record a piece; the oldest one is forgotten when there are too many."""
        self._pieces.append((value, -size))

    def rank(self, value: float, size: float, tie: float) -> float:
        """Return the fraction of the recorded units, and those of this piece, that come before it.

        Units of pieces that are alike count by `tie`, between 0 (they come after it) and 1 (before it).
        """
        alike = size
        before = 0.0
        total = size
        for known_value, negative_size in self._pieces:
            total -= negative_size
            piece_value = value if known_value is None else known_value
            if (piece_value, negative_size) > (value, -size):
                before -= negative_size
            elif (piece_value, negative_size) == (value, -size):
                alike -= negative_size
        return (before + tie * alike) / total
