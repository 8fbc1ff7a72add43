"""Estimates the number of other initiators that request a shard, from this initiator's requests."""

import math
from collections.abc import Container

from stalltiller.common import DecayingMean

HALF_LIFE_SECONDS = 2.0  # averages of demand and of requests have this half-life
# Shape of the gamma prior of requests per shard: the standard deviation is 0.7 of the mean.
PRIOR_SHAPE = 2.0
MAX_SHARDS = 4096  # more than there are targets; requests may name any number of shards


class ContentionEstimator:
    """Request rates by shard and volume at this initiator, and each volume's initiator count."""

    def __init__(self) -> None:
        self.requested_at: dict[int, float] = {}  # time of the last request, by shard
        # By shard and volume: the request rate and the volume's initiator count.
        self.volumes_by_shard: dict[int, dict[int, tuple[DecayingMean, int]]] = {}

    def record(self, now: float, shard: int, volume: int, volume_initiator_count: int) -> None:
        """Count a request of a volume for a shard; beyond MAX_SHARDS further shards are not counted."""
        if shard not in self.requested_at and len(self.requested_at) >= MAX_SHARDS:
            return
        self.requested_at[shard] = now
        volumes = self.volumes_by_shard.setdefault(shard, {})
        mean = volumes[volume][0] if volume in volumes else DecayingMean(now, HALF_LIFE_SECONDS)
        mean.add(now, 1.0)
        volumes[volume] = mean, volume_initiator_count

    def prune(self, since: float, known_volumes: Container[int]) -> None:
        """Remove shards not requested after `since`, and volumes that are no longer known."""
        self.requested_at = {shard: at for shard, at in self.requested_at.items() if at > since}
        self.volumes_by_shard = {
            shard: {
                volume: rate_and_count
                for volume, rate_and_count in self.volumes_by_shard[shard].items()
                if volume in known_volumes
            }
            for shard in self.requested_at
        }

    def other_initiators(
        self, now: float, shard: int, initiator_count: int, shard_count: int, window: float
    ) -> float:
        """Return the estimated number of other initiators that request a shard within `window` seconds."""
        # Each other initiator requests a shard with the probability of this one, scaled by the volumes seen
        # at the shard over the mean.  The other initiators of those volumes are added, each with its
        # probability of a request.
        volumes = self.volumes_by_shard.get(shard, {})
        requested = sum(at > now - window for at in self.requested_at.values()) / max(1, shard_count)
        mean_volumes = sum(map(len, self.volumes_by_shard.values())) / max(1, shard_count)
        probability = min(1.0, requested * (PRIOR_SHAPE + len(volumes)) / (PRIOR_SHAPE + mean_volumes))
        volume_initiators = sum(
            (count - 1) * (1.0 - math.exp(-mean.rate(now) * window)) for mean, count in volumes.values()
        )
        return min(initiator_count - 1.0, (initiator_count - 1) * probability + volume_initiators)
