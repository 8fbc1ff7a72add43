"""Limits what an initiator admits after a mass restart, while the fleet ramps up.  Pure.

Clients that waited return all at once, and each target would meet the backlog of the whole fleet in one
moment.  So there is a token bucket of units for each shard, whose rate grows exponentially (slow start).  It
begins with the rate that this initiator sent to the shard before the restart, so that all members together
send what they did in normal operation.  Where that is unknown, it begins with this initiator's part of what a
target that has just started can bear.

A request for which there are no tokens is rejected at once.  If the bucket earns the units within the longest
Retry-After, they are reserved and the client is told that time; a retry at that time is admitted before all
others.  Other clients are told random times, so that they do not retry in step.  Requests of lower priority
leave a part of the bucket to the others.
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

# The shortest ramp, where the rate of before the restart is known for some shard, and where it is not.
RAMP_SECONDS = 2.0
DEFAULT_RATE_RAMP_SECONDS = 4.0
# The time in which a rate doubles: one that starts from a safe default has further to go.
DOUBLING_SECONDS = 1.0
DEFAULT_RATE_DOUBLING_SECONDS = 0.5
NO_REJECTION_SECONDS = 0.5  # a ramp ends after so long without a rejection, or who waits would enter at once
MAX_RAMP_SECONDS = 6.0  # after which a ramp ends in any case
# The depth of a bucket: so many mean requests, or what accrues in so many seconds if that is more.
DEPTH_MEAN_REQUESTS = 2.0
DEPTH_SECONDS = 0.5
PRIORITY_RESERVE_FRACTION = 0.5  # of the depth, which a request of no priority leaves to the highest
MIN_RETRY_AFTER_FRACTION = 0.5  # of the longest Retry-After: the least told to a client without reservation
MIN_RETRY_AFTER_SECONDS = 0.02  # a shorter one is not worth a round trip
MAX_SHARDS = 4096  # with a bucket of their own: clients name shards freely

Shard = int | None  # None: new data, which may go to any shard


class RampOutcome(StrEnum):
    """What became of a request during a ramp."""

    ADMITTED = "admitted"
    RESERVED = "booked"  # rejected, with units reserved for the retry
    RETURNED = "returned"  # admitted as a retry that claimed its reservation
    EXPIRED = "lapsed"  # a reservation that was not claimed in time
    REJECTED = "spread"  # rejected without a reservation, with a random time


class _InitialRate(NamedTuple):
    """Units per second at the start of the ramp, and the time in which they double."""

    units_per_second: float
    doubling_seconds: float


@dataclass(slots=True)
class _ShardState:
    """A shard's bucket with its present rate and depth."""

    bucket: TokenBucket
    rate: float
    depth: float


class RecoveryRamp:
    """One ramp that begins at `now`; times are seconds on one monotonic clock.

    `shard_rates` are the units per second that this initiator sent to each shard before the restart, and
    `default_rate` is the initial rate for other shards.  `mean_units` is the size of a mean request, and
    `max_retry_after` the longest Retry-After in seconds.
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
        """Return the counts of the outcomes so far under the names that operators see."""
        return {outcome.value: count for outcome, count in self.counts.items()}

    def is_complete(self, now: float) -> bool:
        """Return whether the ramp may end.

        It ends after its shortest time only once it has rejected nobody for a while, since all clients that
        wait would otherwise enter in that moment.
        """
        if now < self._last_rejection_at + NO_REJECTION_SECONDS:
            return now >= self._started_at + MAX_RAMP_SECONDS
        if self._shard_rates:
            return now >= self._started_at + RAMP_SECONDS
        return now >= self._started_at + DEFAULT_RATE_RAMP_SECONDS

    def rate(self, now: float, shard: Shard) -> float:
        """Return the units per second that may go to a shard."""
        initial = self._initial_rate(shard)
        age = min(max(0.0, now - self._started_at), MAX_RAMP_SECONDS)
        return initial.units_per_second * 2.0 ** (age / initial.doubling_seconds)

    def add_peer_rates(self, shard_rates: Mapping[Shard, float]) -> None:
        """Use a peer's rates for shards of which nothing is known, as members see about the same load."""
        for shard, rate in list(shard_rates.items())[:MAX_SHARDS]:
            self._shard_rates.setdefault(shard, rate)

    def admit(
        self, now: float, shard: Shard, units: float, relative_priority: float, client: object
    ) -> float:
        """Return 0 if a request is admitted, else the seconds after which its client should retry.

        `relative_priority` lies between 0 and 1, the highest.  `client` identifies who asks for what and is
        the same for the retry.
        """
        self._return_expired_reservations(now)
        state = self._refill(now, shard)
        reservation = self._reservations.claim(now, client, shard)
        if reservation is not None:  # its units left the bucket when they were reserved
            state.bucket.level -= max(0.0, units - reservation.units)
            self.counts[RampOutcome.RETURNED] += 1
            return 0.0
        reserve_for_higher_priority = PRIORITY_RESERVE_FRACTION * state.depth * (1.0 - relative_priority)
        required_level = min(units, self._mean_units) + reserve_for_higher_priority
        if state.bucket.level >= required_level:  # a large request may leave a debt, paid by later refills
            state.bucket.level -= units
            self.counts[RampOutcome.ADMITTED] += 1
            return 0.0
        self._last_rejection_at = now
        return self._reserve(now, shard, units, required_level, state, client)

    def reject(self, now: float) -> float:
        """Count a rejection without reservation and return the seconds after which to retry."""
        self._last_rejection_at = now
        self.counts[RampOutcome.REJECTED] += 1
        return max(MIN_RETRY_AFTER_SECONDS, self.add_jitter(self._max_retry_after))

    def restart(self, now: float) -> None:
        """Begin the ramp anew, because only now is there a target list to serve from."""
        self._started_at = now
        self._last_rejection_at = now
        self._buckets.clear()

    def add_jitter(self, retry_after: float) -> float:
        """Return a random time up to `retry_after`, as clients told the same time would retry in step."""
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
        """Return the integral of the growth factor up to a time; it stays constant after MAX_RAMP_SECONDS."""
        age = max(0.0, time - self._started_at)
        growing = 2.0 ** (min(age, MAX_RAMP_SECONDS) / doubling_seconds) * doubling_seconds / math.log(2)
        constant = max(0.0, age - MAX_RAMP_SECONDS) * 2.0 ** (MAX_RAMP_SECONDS / doubling_seconds)
        return growing + constant

    def _refill(self, now: float, shard: Shard) -> _ShardState:
        """Refill a shard's bucket, which it shares with others once there are MAX_SHARDS buckets."""
        rate = self.rate(now, shard)
        depth = max(DEPTH_MEAN_REQUESTS * self._mean_units, DEPTH_SECONDS * rate)
        bucket = self._buckets.get(shard)
        if bucket is None and len(self._buckets) >= MAX_SHARDS:
            shard = None
            bucket = self._buckets.get(None)
        if bucket is None:
            # A random part of a mean request, so that the first sends of a fleet do not coincide.
            bucket = TokenBucket(self._rng.random() * self._mean_units, now)
            self._buckets[shard] = bucket
        accrued = self._accrued_units(shard, bucket.updated_at, now)  # not linear: the rate grows
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
        """Reserve a rejected request's units if they accrue in time; return the seconds until its retry."""
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
