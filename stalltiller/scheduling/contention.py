"""What this gateway's own requests tell of how many others ask for a cell.  Part of the decisions."""

from __future__ import annotations

import math
from collections.abc import Container

from stalltiller.common.decaying_mean import DecayingMean

DEMAND_SPAN = 2.0  # s over which demand and the parts of other gateways are averaged
ALIKE = 2.0  # how alike cells are before any news: the spread of their crowds is 0.7 of the mean


class Crowd:
    """Which volumes asked for which cells through this gateway, how often, and through how many others."""

    def __init__(self) -> None:
        self.asked: dict[int, float] = {}  # when a request last named the cell
        self.seen: dict[int, dict[int, tuple[DecayingMean, int]]] = {}  # by cell and volume: requests, hosts

    def note(self, now: float, cell: int, volume: int, hosts: int) -> None:
        """Count a request."""
        self.asked[cell] = now
        mean, _ = self.seen.setdefault(cell, {}).get(volume) or (DecayingMean(now, DEMAND_SPAN), 0)
        mean.add(now, 1.0)
        self.seen[cell][volume] = mean, hosts

    def forget(self, since: float, known: Container[int]) -> None:
        """Forget cells not asked for since then, and volumes that are not known any more."""
        self.asked = {cell: at for cell, at in self.asked.items() if at > since}
        self.seen = {cell: {name: seen for name, seen in self.seen[cell].items() if name in known}
                     for cell in self.asked}

    def others(self, now: float, cell: int, gateways: int, cells: int, span: float) -> float:
        """How many other gateways ask for a cell in a span of that many seconds: as many as for a usual cell
        if others ask as this one does, times how much busier it is by the volumes seen there (a gamma prior
        of shape ALIKE), and the other hosts of those, by their own chance."""
        here = self.seen.get(cell, {})
        asked = sum(at > now - span for at in self.asked.values()) / max(1, cells)
        usual = sum(map(len, self.seen.values())) / max(1, cells)
        plain = min(1.0, asked * (ALIKE + len(here)) / (ALIKE + usual))
        own = sum((hosts - 1) * (1.0 - math.exp(-mean.rate(now) * span)) for mean, hosts in here.values())
        return min(gateways - 1.0, (gateways - 1) * plain + own)
