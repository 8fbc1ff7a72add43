"""What an instance sends in the calm, by cell.  Pure, bounded."""

from __future__ import annotations

import math

SPAN = 10.0  # s: half of what was sent so long ago counts
MOST_CELLS = 4096
LEAST = 0.01  # units a second: less is not told


class Load:
    """Units a second asked of each cell through this instance."""

    def __init__(self, now: float) -> None:
        self._began, self._sums = now, {}  # by cell: decayed sum of units, and when

    def add(self, now: float, cell: int | None, units: float) -> None:
        """Count a request."""
        found = self._sums.get(cell)
        if found is None and len(self._sums) >= MOST_CELLS:
            return
        total, at = found or (0.0, now)
        self._sums[cell] = total * 0.5 ** ((now - at) / SPAN) + units, now

    def rates(self, now: float) -> tuple[tuple[int | None, float], ...]:
        """Units a second by cell; exact for a steady stream however short the time counted."""
        lived = max(1e-3, now - self._began)
        whole = SPAN / math.log(2) * (1.0 - 0.5 ** (lived / SPAN))  # the sum of a stream of one unit a second
        found = (
            (cell, total * 0.5 ** ((now - at) / SPAN) / whole) for cell, (total, at) in self._sums.items()
        )
        return tuple((cell, rate) for cell, rate in found if rate >= LEAST)
