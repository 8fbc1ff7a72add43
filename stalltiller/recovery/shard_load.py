"""Measures the load that clients request of each shard through this initiator.  No I/O; bounded memory."""

from __future__ import annotations

import math
from dataclasses import dataclass

HALF_LIFE_SECONDS = 10.0  # time in which the weight of requested units halves
MAX_SHARDS = 4096  # clients choose shards freely, so their number must be bounded
MIN_REPORTED_UNITS_PER_SECOND = 0.01  # lower rates are omitted
MIN_ELAPSED_SECONDS = 1e-3  # prevents a division by zero right after the start


@dataclass(slots=True, frozen=True)
class _DecayedSum:
    total: float
    updated_at: float

    def decayed_total(self, now: float) -> float:
        """Return the sum decayed until `now`, which must not precede the last update."""
        return self.total * 0.5 ** ((now - self.updated_at) / HALF_LIFE_SECONDS)


class ShardLoadMeter:
    """Units per second requested of each shard, as an exponentially decayed mean; times in seconds."""

    def __init__(self, now: float) -> None:
        self._started_at = now
        self._sums: dict[int | None, _DecayedSum] = {}

    def add(self, now: float, shard: int | None, units: float) -> None:
        """Count a request for a shard (None: new data, for any shard)."""
        previous = self._sums.get(shard)
        if previous is None and len(self._sums) >= MAX_SHARDS:
            return
        if previous is None:
            previous = _DecayedSum(0.0, now)
        self._sums[shard] = _DecayedSum(previous.decayed_total(now) + units, now)

    def rates(self, now: float) -> tuple[tuple[int | None, float], ...]:
        """Return the units per second by shard; a steady stream is exact after any measured time."""
        elapsed = max(MIN_ELAPSED_SECONDS, now - self._started_at)
        # The decayed sum of a stream of one unit per second during `elapsed`.
        unit_sum = HALF_LIFE_SECONDS / math.log(2) * (1.0 - 0.5 ** (elapsed / HALF_LIFE_SECONDS))
        rates = ((shard, decayed.decayed_total(now) / unit_sum) for shard, decayed in self._sums.items())
        return tuple((shard, rate) for shard, rate in rates if rate >= MIN_REPORTED_UNITS_PER_SECOND)
