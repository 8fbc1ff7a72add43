"""Estimates from this initiator's own requests how many others request a shard."""

import math
from collections.abc import Container

from stalltiller.common import DecayingMean

HALF_LIFE_SECONDS = 2.0  # over which demand and the parts of other initiators are averaged
PRIOR_SHAPE = 2.0  # of a gamma prior: the spread of how much shards are requested is 0.7 of the mean
MAX_BUSYNESS = 10.0  # times the mean: the busiest shard that a few volumes are taken to show


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
        seen, self.volumes_by_shard = self.volumes_by_shard, {}
        for shard in self.requested_at:
            self.volumes_by_shard[shard] = {key: item for key, item in seen[shard].items() if key in known}

    def requests(self, now: float, shard: int, span: float, since: float) -> float:
        """Return how many requests for a shard come here in `span` seconds, as counted since then."""
        rate = sum(mean.rate(now) for mean, _ in self.volumes_by_shard.get(shard, {}).values())
        return rate * span / max(1e-9, 1.0 - 0.5 ** (max(span, now - since) / HALF_LIFE_SECONDS))

    def other_initiators(self, now: float, shard: int, initiators: int, shards: int, span: float) -> float:
        """Return how many other initiators are taken to request a shard within `span` seconds."""
        # As many as for a mean shard if others request as this one does, times how much busier it is by the
        # volumes seen there, plus the other initiators of those volumes, each with its chance of a request.
        volumes = self.volumes_by_shard.get(shard, {})
        requested = sum(at > now - span for at in self.requested_at.values()) / max(1, shards)
        mean_volumes = sum(map(len, self.volumes_by_shard.values())) / max(1, shards)
        by_prior = (PRIOR_SHAPE + len(volumes)) / (PRIOR_SHAPE + mean_volumes)
        by_evidence = (len(volumes) - len(volumes) ** 0.5) / max(mean_volumes, 1e-9)  # less one deviation
        chance = min(1.0, requested * max(by_prior, min(by_evidence, MAX_BUSYNESS)))
        own = sum((count - 1) * (1.0 - math.exp(-mean.rate(now) * span)) for mean, count in volumes.values())
        return min(initiators - 1.0, (initiators - 1) * chance + own)
