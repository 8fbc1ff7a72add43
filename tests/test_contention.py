"""Tests of the contention estimate for a shard, and of two hundred initiators at one warming target."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque

import pytest

from stalltiller.scheduling import (
    AttemptStatus,
    Event,
    StartAttempt,
    TargetListKind,
    TargetListUpdate,
    target_load,
)
from stalltiller.scheduling.contention import ContentionEstimator
from stalltiller.scheduling.scheduler import Scheduler
from tests.helpers import attempt_finished, make_target, request, request_class, rules, settings

INITIATORS, SHARDS = 200, 200
STARTED_AT, SLOW_START_SECONDS, INITIAL_FRACTION, UNITS = 3.0, 17.0, 0.15, 1.0


def estimator_with(*requests: tuple[int, int, int]) -> ContentionEstimator:
    """Return an estimator that recorded each (shard, volume, initiators) ten times within a second."""
    estimator = ContentionEstimator()
    for number in range(10):
        for shard, volume, initiators in requests:
            estimator.record(number / 10, shard, volume, initiators)
    return estimator


@pytest.mark.parametrize(
    ("requests", "lower", "upper"),
    [
        ([], 0.0, 0.0),
        # Only another shard: the mean shard is requested by one initiator in two hundred.
        ([(9, 1, 1)], 0.9, 1.1),
        ([(1, 1, 1)], 1.2, 1.8),  # this shard, which may be busier than the mean
        ([(1, 1, 3)], 2.8, 3.8),  # this shard, and two more initiators of a busy volume
        ([(1, v, 1) for v in range(20)], 8.0, 12.0),  # many volumes request this shard
        ([(c, 1, 1) for c in range(1, 201)], 199.0, 199.0),  # every shard is requested
        # The estimate never exceeds the number of other initiators.
        ([(1, v, 3) for v in range(500)], 199.0, 199.0),
    ],
)
def test_estimate_grows_with_volumes_and_their_initiators_up_to_all_other_initiators(requests, lower, upper):
    assert lower <= estimator_with(*requests).other_initiators(0.95, 1, INITIATORS, SHARDS, 1.0) <= upper


def test_unused_shards_and_unknown_volumes_are_removed():
    estimator = estimator_with((1, 1, 3), (1, 2, 3), (2, 1, 1))
    estimator.record(5.0, 1, 1, 3)
    estimator.prune(2.0, {1})
    assert set(estimator.requested_at) == {1} and set(estimator.volumes_by_shard[1]) == {1}


class WarmingFleet:
    """Two hundred initiators and a busy shard whose target is replaced by a warming one.

    The target serves requests in order and rejects requests that would wait for more than one second.
    """

    def __init__(self, seed: int, busy_fraction: float) -> None:
        self.rng = random.Random(seed)
        targets = tuple(
            make_target(n, started_at=STARTED_AT if n == 1 else None) for n in range(1, SHARDS + 1)
        )
        fleet_settings = settings(
            initiator_count=INITIATORS,
            slow_start_units=UNITS,
            classes=(request_class(latency_objective=0.2, deadline=1.2),),
            rules=rules(
                slow_start_duration=SLOW_START_SECONDS,
                slow_start_initial_fraction=INITIAL_FRACTION,
                overload_window=1.0,
            ),
        )
        self.schedulers = [Scheduler(fleet_settings, seed * 1000 + n, 0.0) for n in range(INITIATORS)]
        for scheduler in self.schedulers:
            scheduler.handle(0.0, [TargetListUpdate(TargetListKind.CACHED, targets)])
        self.target_free_at, self.request_count, self.attempt_ends, self.sent, self.completed_units = (
            STARTED_AT,
            0,
            [],
            [],
            0,
        )
        volumes = [
            (
                self.rng.sample(range(1, SHARDS + 1), self.rng.randint(1, 4)),
                self.rng.sample(range(INITIATORS), self.rng.randint(1, 3)),
                self.rng.choice([1, 1, 2, 3, 8]),
            )
            for _ in range(6 * SHARDS)
        ]
        for shards, _, _ in volumes:
            if self.rng.random() < busy_fraction:
                shards[0] = 1
        self.volumes = volumes

    def capacity(self, now: float) -> float:
        """Return the target's capacity in units per second."""
        return 12.0 * (
            INITIAL_FRACTION + (1 - INITIAL_FRACTION) * min(1.0, (now - STARTED_AT) / SLOW_START_SECONDS)
        )

    def handle(self, now: float, index: int, event: Event) -> None:
        for action in self.schedulers[index].handle(now, [event]):
            if isinstance(action, StartAttempt):
                units = float(action.request_id % 3 + 1)
                self.sent.append((now, units))
                begin, size = max(self.target_free_at, now), units / self.capacity(now)
                if begin - now > 1.0:
                    heapq.heappush(
                        self.attempt_ends,
                        (now + 0.002, index, action.request_id, 0.002, AttemptStatus.REJECTED),
                    )
                else:
                    self.target_free_at = begin + size
                    heapq.heappush(
                        self.attempt_ends,
                        (
                            self.target_free_at,
                            index,
                            action.request_id,
                            self.target_free_at - now,
                            AttemptStatus.OK,
                        ),
                    )

    def run(self, seconds: float) -> float:
        """Return the maximum units sent in a second, over the allowed units: twice the current capacity."""
        sums = list(itertools.accumulate(weight for _, _, weight in self.volumes))
        now = 0.0
        while now < seconds:
            now += self.rng.expovariate(6.0 * SHARDS)
            while self.attempt_ends and self.attempt_ends[0][0] <= now:
                at, index, number, latency, status = heapq.heappop(self.attempt_ends)
                self.completed_units += (number % 3 + 1) * (status is AttemptStatus.OK)
                if number in self.schedulers[index].pending:
                    self.handle(at, index, attempt_finished(number, status=status, latency=latency))
            volume = self.rng.choices(range(len(sums)), cum_weights=sums)[0]
            shards, initiators, _ = self.volumes[volume]
            shard, index = self.rng.choice(shards), self.rng.choice(initiators)
            if shard == 1 and now >= STARTED_AT:
                self.request_count += 1
                self.handle(
                    now,
                    index,
                    request(
                        self.request_count,
                        volume=volume,
                        units=float(self.request_count % 3 + 1),
                        volume_initiator_count=len(initiators),
                        time_remaining=1.2,
                    ),
                )
            else:
                self.schedulers[index].contention.record(now, shard, volume, len(initiators))
        worst, total, window = 0.0, 0.0, deque()
        for at, units in self.sent:
            window.append((at, units))
            total += units
            while window[0][0] <= at - 1.0:
                total -= window.popleft()[1]
            worst = max(worst, total / (2 * self.capacity(at)))
        return worst


def mean_results(busy_fraction: float = 0.02) -> tuple[float, float]:
    """Return the means over four seeds of the result of `run` and of the units sent."""
    fleets = [WarmingFleet(seed, busy_fraction) for seed in range(4)]
    worst = [fleet.run(18.0) for fleet in fleets]
    return sum(worst) / 4, sum(units for fleet in fleets for _, units in fleet.sent) / 4


def test_two_hundred_initiators_use_the_warming_target_of_a_busy_shard_without_overload():
    """In the herd+mass scenario (journal c557bf07), a warming target got 4.1 times its capacity."""
    worst, sent = mean_results()
    assert worst < 1.0 and sent > 40.0


def test_an_estimate_from_the_number_of_requested_shards_alone_overloads_a_warming_target(monkeypatch):
    def other_initiators(self, now, shard, initiator_count, shard_count, window):
        probability = sum(at > now - window for at in self.requested_at.values()) / shard_count
        others = (initiator_count - 1) * probability
        return others + (others * (1 - probability)) ** 0.5

    monkeypatch.setattr(ContentionEstimator, "other_initiators", other_initiators)
    monkeypatch.setattr(target_load, "MIN_OVERLOAD_BACKOFF", 1.0)
    assert mean_results()[0] > 1.1


def test_a_rejecting_or_slow_warming_target_gets_a_smaller_share_until_it_responds_in_time():
    scheduler = Scheduler(settings(initiator_count=1, rules=rules(slow_start_duration=100.0)), 1, 0.0)
    scheduler.handle(0.0, [TargetListUpdate(TargetListKind.FULL, (make_target(1, started_at=0.0),))])
    backoffs = []
    results = [
        (AttemptStatus.OK, 0.9),
        (AttemptStatus.OK, 0.05),
        (AttemptStatus.OK, 0.05),
        (AttemptStatus.REJECTED, 0.001),
    ]
    for number, (status, latency) in enumerate(results):
        now = 10.0 + number
        scheduler.handle(now, [request(number)])
        scheduler.handle(now + latency, [attempt_finished(number, status=status, latency=latency)])
        backoffs.append(scheduler.targets[1].overload_backoff)
    assert backoffs == [0.5, 0.75, 1.0, 0.5]
