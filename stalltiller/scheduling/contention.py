"""Estimates from this initiator's own requests how many others request a shard."""

import math
from collections.abc import Container

from stalltiller.common import DecayingMean

HALF_LIFE_SECONDS = 2.0  # over which demand and the parts of other initiators are averaged
PRIOR_SHAPE = 2.0  # of a gamma prior: the spread of how much shards are requested is 0.7 of the mean


class ContentionEstimator:
    """Which volumes requested which shards here, how often, and through how many other initiators."""

    def __init__(self) -> None:
        self.requested_at: dict[int, float] = {}  # by shard: the last request
        self.volumes_by_shard: dict[int, dict[int, tuple[DecayingMean, int]]] = {}  # and initiators of each

    def record(self, now: float, shard: int, volume: int, volume_initiator_count: int) -> None:
        """Count a request."""
        self.requested_at[shard] = now
        volumes = self.volumes_by_shard.setdefault(shard, {})
        mean = volumes[volume][0] if volume in volumes else DecayingMean(now, HALF_LIFE_SECONDS)
        mean.add(now, 1.0)
        volumes[volume] = mean, volume_initiator_count

    def forget(self, since: float, known: Container[int]) -> None:
        """Forget shards not requested since then, and volumes that are not known any more."""
        self.requested_at = {shard: at for shard, at in self.requested_at.items() if at > since}
        self.volumes_by_shard = {
            shard: {volume: seen for volume, seen in self.volumes_by_shard[shard].items() if volume in known}
            for shard in self.requested_at
        }

    def other_initiators(self, now: float, shard: int, initiators: int, shards: int, span: float) -> float:
        """Return how many other initiators are taken to request a shard within `span` seconds."""
        # As many as for a mean shard if others request as this one does, times how much busier it is by the
        # volumes seen there, plus the other initiators of those volumes, each with its chance of a request.
        volumes = self.volumes_by_shard.get(shard, {})
        requested = sum(at > now - span for at in self.requested_at.values()) / max(1, shards)
        mean_volumes = sum(map(len, self.volumes_by_shard.values())) / max(1, shards)
        chance = min(1.0, requested * (PRIOR_SHAPE + len(volumes)) / (PRIOR_SHAPE + mean_volumes))
        own = sum((count - 1) * (1.0 - math.exp(-mean.rate(now) * span)) for mean, count in volumes.values())
        return min(initiators - 1.0, (initiators - 1) * chance + own)
