"""Limits what an initiator admits after a mass restart, while the fleet ramps up.  No I/O.

Waiting clients retry simultaneously, and each target would receive the backlog of the whole fleet in one
moment.  Each shard therefore has a token bucket of units whose rate grows exponentially (slow start).  The
initial rate is the one that clients requested of the shard through this initiator before the restart, so that
all members together send as much as in normal operation.  If it is unknown, the initial rate is this
initiator's share of the load that a newly started target can sustain.

A request without enough tokens is rejected without waiting.  If the bucket accrues the units within the
longest Retry-After, they are reserved and the client receives that time; a retry at that time is always
admitted.  Other clients receive random times, so that they do not retry in lockstep.  Requests of lower
priority leave a part of the bucket to those of higher priority.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from stalltiller.common.token_bucket import TokenBucket
from stalltiller.recovery.retry_reservations import RetryReservations

# Minimum duration of a ramp if the rate before the restart is known for any shard, and if it is for none.
RAMP_SECONDS = 2.0
DEFAULT_RATE_RAMP_SECONDS = 4.0
# Time in which a rate doubles; a rate that starts at the safe default has further to grow.
DOUBLING_SECONDS = 1.0
DEFAULT_RATE_DOUBLING_SECONDS = 0.5
# Time without rejections before a ramp ends; otherwise all waiting clients would be admitted simultaneously.
NO_REJECTION_SECONDS = 0.5
MAX_RAMP_SECONDS = 6.0  # a ramp ends after this time even if requests are still rejected
# The depth of a bucket is this many mean requests, or the units that accrue in this time if they are more.
MIN_DEPTH_MEAN_REQUESTS = 2.0
DEPTH_SECONDS = 0.5
PRIORITY_RESERVE_FRACTION = 0.5  # fraction of the depth that the lowest priority leaves to higher ones
MIN_RETRY_AFTER_FRACTION = 0.5  # a random Retry-After is at least this fraction of its upper bound
MIN_RETRY_AFTER_SECONDS = 0.02  # a shorter delay does not justify a round trip
MAX_SHARDS = 4096  # limit on buckets, since clients choose shards freely

Shard = int | None  # None: new data, which may go to any shard


class RampOutcome(StrEnum):
    """Outcomes of requests and reservations during a ramp."""

    ADMITTED = "admitted"
    RESERVED = "booked"  # rejected, with units reserved for the retry
    CLAIMED = "returned"  # admitted as a retry that claimed its reservation
    EXPIRED = "lapsed"  # a reservation that was not claimed in time
    REJECTED = "spread"  # rejected without a reservation, with a random Retry-After


class _InitialRate(NamedTuple):
    """The rate at the start of the ramp and the time in which it doubles."""

    units_per_second: float
    doubling_seconds: float


@dataclass(slots=True)
class _ShardState:
    """A shard's bucket with its current rate and depth."""

    bucket: TokenBucket
    rate: float
    depth: float


class RecoveryRamp:
    """One ramp that begins at `now`; times are seconds on one monotonic clock.

    `shard_rates` are the units per second requested of each shard before the restart, and `default_rate` is
    the initial rate for other shards.  `mean_units` is the size of a mean request, and `max_retry_after` the
    longest Retry-After in seconds.
    """

    def __init__(
        self,
        now: float,
        shard_rates: Mapping[Shard, float],
        default_rate: float,
        mean_units: float,
        max_retry_after: float,
        rng: random.Random,
    ) -> None:
        self._started_at = now
        self._shard_rates = dict(shard_rates)
        self._default_rate = default_rate
        self._mean_units = mean_units
        self._max_retry_after = max_retry_after
        self._rng = rng
        self._buckets: dict[Shard, TokenBucket] = {}
        self._reservations = RetryReservations()
        self._last_rejection_at = now
        self.counts: Counter[RampOutcome] = Counter()

    def counts_by_name(self) -> dict[str, int]:
        """Return the counts of the outcomes so far by the names that operators see."""
        return {outcome.value: count for outcome, count in self.counts.items()}

    def is_complete(self, now: float) -> bool:
        """Return whether the ramp may end.

        After its minimum duration it ends once no request was rejected for NO_REJECTION_SECONDS, since all
        waiting clients would otherwise be admitted simultaneously; it ends after MAX_RAMP_SECONDS regardless.
        """
        if now < self._last_rejection_at + NO_REJECTION_SECONDS:
            return now >= self._started_at + MAX_RAMP_SECONDS
        if self._shard_rates:
            return now >= self._started_at + RAMP_SECONDS
        return now >= self._started_at + DEFAULT_RATE_RAMP_SECONDS

    def rate(self, now: float, shard: Shard) -> float:
        """Return the units per second that may be sent to a shard."""
        initial = self._initial_rate(shard)
        age = min(max(0.0, now - self._started_at), MAX_RAMP_SECONDS)
        return initial.units_per_second * 2.0 ** (age / initial.doubling_seconds)

    def add_peer_rates(self, shard_rates: Mapping[Shard, float]) -> None:
        """Use a peer's rates for shards without a known rate, since members have about the same load."""
        for shard, rate in list(shard_rates.items())[:MAX_SHARDS]:
            self._shard_rates.setdefault(shard, rate)

    def admit(
        self, now: float, shard: Shard, units: float, relative_priority: float, client: object
    ) -> float:
        """Return 0 if a request is admitted, else the seconds after which its client should retry.

        `relative_priority` is between 0 and 1 (highest).  `client` identifies the client's request and is the
        same for the retry.
        """
        self._return_expired_reservations(now)
        state = self._refill(now, shard)
        reservation = self._reservations.claim(now, client, shard)
        if reservation is not None:  # its units were taken from the bucket when they were reserved
            state.bucket.level -= max(0.0, units - reservation.units)
            self.counts[RampOutcome.CLAIMED] += 1
            return 0.0
        reserve_for_higher_priority = PRIORITY_RESERVE_FRACTION * state.depth * (1.0 - relative_priority)
        required_level = min(units, self._mean_units) + reserve_for_higher_priority
        if state.bucket.level >= required_level:  # a large request may overdraw it; refills repay that
            state.bucket.level -= units
            self.counts[RampOutcome.ADMITTED] += 1
            return 0.0
        self._last_rejection_at = now
        return self._reserve(now, shard, units, required_level, state, client)

    def reject(self, now: float) -> float:
        """Count a rejection without a reservation and return the seconds after which to retry."""
        self._last_rejection_at = now
        self.counts[RampOutcome.REJECTED] += 1
        return max(MIN_RETRY_AFTER_SECONDS, self.add_jitter(self._max_retry_after))

    def restart(self, now: float) -> None:
        """Restart the ramp, because the first target list to serve from has only now arrived."""
        self._started_at = now
        self._last_rejection_at = now
        self._buckets.clear()

    def add_jitter(self, retry_after: float) -> float:
        """Return a random time up to `retry_after`; clients with equal times would retry in lockstep."""
        fraction = MIN_RETRY_AFTER_FRACTION + (1.0 - MIN_RETRY_AFTER_FRACTION) * self._rng.random()
        return retry_after * fraction

    def _initial_rate(self, shard: Shard) -> _InitialRate:
        known_rate = self._shard_rates.get(shard)
        if known_rate is None:
            return _InitialRate(self._default_rate, DEFAULT_RATE_DOUBLING_SECONDS)
        return _InitialRate(known_rate, DOUBLING_SECONDS)

    def _accrued_units(self, shard: Shard, start_time: float, end_time: float) -> float:
        """Return the integral of the shard's rate between two times."""
        initial = self._initial_rate(shard)
        start_integral = self._growth_integral(start_time, initial.doubling_seconds)
        end_integral = self._growth_integral(end_time, initial.doubling_seconds)
        return initial.units_per_second * (end_integral - start_integral)

    def _growth_integral(self, time: float, doubling_seconds: float) -> float:
        """Return the integral up to a time of the growth factor, constant after MAX_RAMP_SECONDS."""
        age = max(0.0, time - self._started_at)
        growing_part = 2.0 ** (min(age, MAX_RAMP_SECONDS) / doubling_seconds) * doubling_seconds / math.log(2)
        constant_part = max(0.0, age - MAX_RAMP_SECONDS) * 2.0 ** (MAX_RAMP_SECONDS / doubling_seconds)
        return growing_part + constant_part

    def _refill(self, now: float, shard: Shard) -> _ShardState:
        """Refill a shard's bucket; once there are MAX_SHARDS buckets, further shards share one."""
        rate = self.rate(now, shard)
        depth = max(MIN_DEPTH_MEAN_REQUESTS * self._mean_units, DEPTH_SECONDS * rate)
        bucket = self._buckets.get(shard)
        if bucket is None and len(self._buckets) >= MAX_SHARDS:
            shard = None
            bucket = self._buckets.get(None)
        if bucket is None:
            # The random initial level, up to a mean request, staggers the first sends of the fleet's members.
            bucket = TokenBucket(self._rng.random() * self._mean_units, now)
            self._buckets[shard] = bucket
        accrued = self._accrued_units(shard, bucket.updated_at, now)  # not linear, since the rate grows
        bucket.level = min(depth, bucket.level + accrued)
        bucket.updated_at = now
        return _ShardState(bucket, rate, depth)

    def _return_expired_reservations(self, now: float) -> None:
        for reservation in self._reservations.pop_expired(now):
            self._refill(now, reservation.shard).bucket.level += reservation.units
            self.counts[RampOutcome.EXPIRED] += 1

    def _reserve(
        self,
        now: float,
        shard: Shard,
        units: float,
        required_level: float,
        state: _ShardState,
        client: object,
    ) -> float:
        """Reserve a rejected request's units if they accrue in time; return its Retry-After in seconds."""
        wait = self._max_retry_after
        if state.rate > 0:
            wait = (required_level - state.bucket.level) / state.rate
        wait = max(MIN_RETRY_AFTER_SECONDS, wait)
        if wait >= self._max_retry_after:
            return self.reject(now)
        wait = min(self._max_retry_after, wait + self._rng.random() * self._mean_units / state.rate)
        if not self._reservations.reserve(client, now + wait, shard, units):
            return self.reject(now)
        state.bucket.level -= units
        self.counts[RampOutcome.RESERVED] += 1
        return wait
