"""Tests the load of whole fleets on a warming target, with uneven shards and restarting initiators."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass, replace

import pytest

from stalltiller.scheduling import TargetListKind, TargetListUpdate
from stalltiller.scheduling.scheduler import Scheduler
from tests.helpers import attempt_finished, make_target, request, request_class, rules, settings
from tests.test_contention import WarmingFleet

STARTED_AT = 3.0
SLOW_START_SECONDS = 17.0
INITIAL_FRACTION = 0.15
MEAN_UNITS = 2.0
BUSY_SHARD = 1  # a warming target replaces the target of this shard at STARTED_AT


@dataclass(frozen=True)
class Case:
    """A fleet and its load.

    A target that has just started may be sent `slow_start_units` in a window, and its capacity is
    `capacity_factor` times what this requires.  `busy_fraction` of the volumes also request the busy shard.
    """

    initiators: int
    shards: int
    slow_start_units: float
    capacity_factor: float
    busy_fraction: float
    restarts: str = "none"


class Fleet(WarmingFleet):
    """Schedulers, the volumes whose requests they receive, and a warming target that serves in order."""

    def __init__(self, case: Case, seed: int) -> None:
        self.case = case
        self.rng = random.Random(seed)
        self.targets = tuple(
            make_target(shard, started_at=STARTED_AT if shard == BUSY_SHARD else None)
            for shard in range(1, case.shards + 1)
        )
        self.schedulers = [self.start_scheduler(0.0) for _ in range(case.initiators)]
        self.target_free_at = STARTED_AT
        self.request_count = 0
        self.attempt_ends, self.sent = [], []
        self.volumes = [
            (
                self.rng.sample(range(1, case.shards + 1), self.rng.randint(1, 4)),
                self.rng.sample(range(case.initiators), self.rng.randint(1, 3)),
                self.rng.choice([1, 1, 2, 3, 8]),
            )
            for _ in range(6 * case.shards)
        ]
        for shards, _, _ in self.volumes:
            if self.rng.random() < case.busy_fraction:
                shards[0] = BUSY_SHARD
        self.restarts_due = self.planned_restarts()

    def start_scheduler(self, now: float) -> Scheduler:
        """Return the scheduler of a process that has just started with the current target list."""
        fleet_settings = settings(
            initiator_count=self.case.initiators,
            slow_start_units=self.case.slow_start_units,
            mean_units=MEAN_UNITS,
            classes=(request_class(latency_objective=0.2, deadline=1.2),),
            rules=rules(
                slow_start_duration=SLOW_START_SECONDS,
                slow_start_initial_fraction=INITIAL_FRACTION,
                overload_window=1.0,
                overload_factor=2.0,
            ),
        )
        scheduler = Scheduler(fleet_settings, self.rng.getrandbits(32), now)
        scheduler.handle(now, [TargetListUpdate(TargetListKind.CACHED, self.targets)])
        return scheduler

    def planned_restarts(self) -> list[tuple[float, int]]:
        """Return the time of each process restart and the index of its process."""
        indices = range(self.case.initiators)
        if self.case.restarts == "together":  # seven in ten processes, just after the start of the target
            return sorted(
                (STARTED_AT + self.rng.uniform(0.0, 0.3), index)
                for index in self.rng.sample(indices, self.case.initiators * 7 // 10)
            )
        if self.case.restarts == "rolling":  # all processes in order, a tenth of them per second
            return [(STARTED_AT - 2.0 + index * 10.0 / self.case.initiators, index) for index in indices]
        return []

    def capacity_fraction(self, now: float) -> float:
        return INITIAL_FRACTION + (1 - INITIAL_FRACTION) * min(
            1.0, max(0.0, now - STARTED_AT) / SLOW_START_SECONDS
        )

    def capacity(self, now: float) -> float:
        """Return the capacity of the warming target in units per second."""
        return (
            self.case.capacity_factor
            * self.case.slow_start_units
            / (2.0 * INITIAL_FRACTION)
            * self.capacity_fraction(now)
        )

    def run(self, seconds: float = 15.0) -> float:
        """Return the most load sent in any window, relative to what the settings and chance allow."""
        cumulative_weights = list(itertools.accumulate(weight for _, _, weight in self.volumes))
        now = 0.0
        while now < seconds:
            now += self.rng.expovariate(6.0 * self.case.shards)
            while self.restarts_due and self.restarts_due[0][0] <= now:
                at, index = self.restarts_due.pop(0)
                self.schedulers[index] = self.start_scheduler(at)
            while self.attempt_ends and self.attempt_ends[0][0] <= now:
                at, index, number, latency, status = heapq.heappop(self.attempt_ends)
                if number in self.schedulers[index].pending:
                    self.handle(
                        at,
                        index,
                        attempt_finished(number, target_id=BUSY_SHARD, status=status, latency=latency),
                    )
            volume = self.rng.choices(range(len(cumulative_weights)), cum_weights=cumulative_weights)[0]
            shards, volume_initiators, _ = self.volumes[volume]
            shard, index = self.rng.choice(shards), self.rng.choice(volume_initiators)
            if shard == BUSY_SHARD and now >= STARTED_AT:
                self.request_count += 1
                self.handle(
                    now,
                    index,
                    request(
                        self.request_count,
                        volume=volume,
                        units=float(self.request_count % 3 + 1),
                        volume_initiator_count=len(volume_initiators),
                        time_remaining=1.2,
                    ),
                )
            else:
                self.schedulers[index].contention.record(now, shard, volume, len(volume_initiators))
        return self.worst_window()

    def worst_window(self) -> float:
        worst, total, window = 0.0, 0.0, deque()
        for at, units in self.sent:
            window.append((at, units / MEAN_UNITS))
            total += units / MEAN_UNITS
            while window[0][0] <= at - 1.0:
                total -= window.popleft()[1]
            allowed = self.case.slow_start_units * self.capacity_fraction(at) / INITIAL_FRACTION / MEAN_UNITS
            worst = max(worst, total / (allowed + 2 * allowed**0.5 + 2))
        return worst


# Number of shards and values of `slow_start_units`, by number of initiators.
SIZES = {20: (30, (2.0, 8.0)), 30: (45, (2.0, 8.0)), 200: (200, (1.0, 3.0))}
FLEETS = [
    Case(initiators, shards, slow_start_units, 1.0, 0.0, restarts)
    for initiators, (shards, unit_choices) in SIZES.items()
    for slow_start_units in unit_choices
    for restarts in ("none", "together", "rolling")
]


def worst_result(cases: list[Case], seeds: int) -> float:
    """Return the worst result over `seeds` seeds; 200 schedulers run a tenth of them, as they take long."""
    return max(
        Fleet(case, seed).run()
        for case in cases
        for seed in range(seeds if case.initiators < 200 else seeds // 10)
    )


@pytest.mark.parametrize(
    "case", FLEETS, ids=lambda case: f"{case.initiators}-{case.slow_start_units:g}-{case.restarts}"
)
def test_a_fleet_does_not_overload_a_warming_target(case):
    """The target is as weak as the settings allow, and random volumes determine how busy the shards are."""
    assert worst_result([case], 30) <= 1.0


def test_a_fleet_uses_the_budget_of_a_warming_target():
    """Guards against passing the test above by sending almost nothing: mean units in twelve seconds."""
    case = Case(30, 45, 8.0, 1.0, 0.1)
    sent = 0.0
    for seed in range(10):
        fleet = Fleet(case, seed)
        fleet.run()
        sent += sum(units for _, units in fleet.sent)
    assert sent / 10 > 120.0


def test_a_fleet_does_not_overload_a_warming_target_of_a_shard_two_to_three_times_as_busy():
    """Each process underestimates how many other initiators request the shard."""
    busy_cases = [replace(case, busy_fraction=0.1 if case.initiators < 200 else 0.02) for case in FLEETS]
    assert worst_result(busy_cases, 20) <= 1.0


def test_a_fleet_stays_within_the_budget_of_a_target_far_stronger_than_the_settings_state():
    """Units that the target served may be sent again: the fleet follows its capacity, not the settings."""
    strong_cases = [
        replace(case, capacity_factor=100.0, busy_fraction=0.3) for case in FLEETS if case.initiators < 200
    ]
    assert worst_result(strong_cases, 5) <= 1.0
