"""What this gateway's own requests tell of how many others ask for a cell.  Part of the decisions."""

from __future__ import annotations

import math
from collections.abc import Container

from stalltiller.common.decaying_mean import DecayingMean

DEMAND_SPAN = 2.0  # s over which demand and the parts of other gateways are averaged
ALIKE = 2.0  # how alike cells are before any news: the spread of their crowds is 0.7 of the mean


class ContentionEstimator:
    """Which volumes asked for which cells through this gateway, how often, and through how many others."""

    def __init__(self) -> None:
        self.requested_at: dict[int, float] = {}  # when a request last named the cell
        self.volumes_by_shard: dict[
            int, dict[int, tuple[DecayingMean, int]]
        ] = {}  # by cell and volume: requests, hosts

    def record(self, now: float, shard: int, volume: int, volume_initiator_count: int) -> None:
        """Count a request."""
        self.requested_at[shard] = now
        mean, _ = self.volumes_by_shard.setdefault(shard, {}).get(volume) or (
            DecayingMean(now, DEMAND_SPAN),
            0,
        )
        mean.add(now, 1.0)
        self.volumes_by_shard[shard][volume] = mean, volume_initiator_count

    def forget(self, since: float, known: Container[int]) -> None:
        """Forget cells not asked for since then, and volumes that are not known any more."""
        self.requested_at = {shard: at for shard, at in self.requested_at.items() if at > since}
        self.volumes_by_shard = {
            shard: {name: seen for name, seen in self.volumes_by_shard[shard].items() if name in known}
            for shard in self.requested_at
        }

    def other_initiators(
        self, now: float, shard: int, initiator_count: int, shard_count: int, span: float
    ) -> float:
        """How many other gateways ask for a cell in a span of that many seconds: as many as for a usual cell
        if others ask as this one does, times how much busier it is by the volumes seen there (a gamma prior
        of shape ALIKE), and the other hosts of those, by their own chance."""
        here = self.volumes_by_shard.get(shard, {})
        asked = sum(at > now - span for at in self.requested_at.values()) / max(1, shard_count)
        usual = sum(map(len, self.volumes_by_shard.values())) / max(1, shard_count)
        plain = min(1.0, asked * (ALIKE + len(here)) / (ALIKE + usual))
        own = sum(
            (volume_initiator_count - 1) * (1.0 - math.exp(-mean.rate(now) * span))
            for mean, volume_initiator_count in here.values()
        )
        return min(initiator_count - 1.0, (initiator_count - 1) * plain + own)
