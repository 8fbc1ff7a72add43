"""What whole fleets send to a warming target, counted there, with uneven shards and restarts among them."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass, replace

import pytest

from stalltiller.scheduling import TargetListKind, TargetListUpdate
from stalltiller.scheduling.scheduler import Scheduler
from tests.helpers import entry, outcome, request, request_class, rules, settings
from tests.test_contention import WarmingFleet

STARTED_AT, SLOW_START_SECONDS, INITIAL_FRACTION, MEAN_UNITS = 3.0, 17.0, 0.15, 2.0
BUSY_SHARD = 1  # its warm target is replaced at STARTED_AT


@dataclass(frozen=True)
class Case:
    """A fleet and its load: a target that has just started bears `units` in a window and has `power` times
    the capacity that this takes; `busy_fraction` of the volumes also request the busy shard."""

    initiators: int
    shards: int
    units: float
    power: float
    busy_fraction: float
    restarts: str = "none"


class Fleet(WarmingFleet):
    """Schedulers, the volumes whose requests they get, and one warming target that serves in order."""

    def __init__(self, case: Case, seed: int) -> None:
        self.case, self.draw = case, random.Random(seed)
        self.targets = tuple(
            entry(n, started_at=STARTED_AT if n == BUSY_SHARD else None) for n in range(1, case.shards + 1)
        )
        self.schedulers = [self.start_scheduler(0.0) for _ in range(case.initiators)]
        self.free, self.number, self.ends, self.sent = STARTED_AT, 0, [], []
        self.volumes = [
            (
                self.draw.sample(range(1, case.shards + 1), self.draw.randint(1, 4)),
                self.draw.sample(range(case.initiators), self.draw.randint(1, 3)),
                self.draw.choice([1, 1, 2, 3, 8]),
            )
            for _ in range(6 * case.shards)
        ]
        for shards, _, _ in self.volumes:
            if self.draw.random() < case.busy_fraction:
                shards[0] = BUSY_SHARD
        self.restarts_due = self.restarts()

    def start_scheduler(self, now: float) -> Scheduler:
        """A scheduler of a process that has just started with the present list."""
        fleet_settings = settings(
            initiator_count=self.case.initiators,
            slow_start_units=self.case.units,
            mean_units=MEAN_UNITS,
            classes=(request_class(latency_objective=0.2, deadline=1.2),),
            rules=rules(
                slow_start_duration=SLOW_START_SECONDS,
                slow_start_initial_fraction=INITIAL_FRACTION,
                overload_window=1.0,
                overload_factor=2.0,
            ),
        )
        started = Scheduler(fleet_settings, self.draw.getrandbits(32), now)
        started.handle(now, [TargetListUpdate(TargetListKind.CACHED, self.targets)])
        return started

    def restarts(self) -> list[tuple[float, int]]:
        """The time and index of each process that restarts."""
        indices = range(self.case.initiators)
        if self.case.restarts == "together":  # seven in ten restart in the moment that the target starts
            return sorted(
                (STARTED_AT + self.draw.uniform(0.0, 0.3), index)
                for index in self.draw.sample(indices, self.case.initiators * 7 // 10)
            )
        if self.case.restarts == "rolling":  # one after another, a tenth of them in each second
            return [(STARTED_AT - 2.0 + index * 10.0 / self.case.initiators, index) for index in indices]
        return []

    def capacity_fraction(self, now: float) -> float:
        return INITIAL_FRACTION + (1 - INITIAL_FRACTION) * min(
            1.0, max(0.0, now - STARTED_AT) / SLOW_START_SECONDS
        )

    def capacity(self, now: float) -> float:
        """Units per second."""
        return self.case.power * self.case.units / (2.0 * INITIAL_FRACTION) * self.capacity_fraction(now)

    def run(self, seconds: float = 15.0) -> float:
        """The most requests of mean size in a window, over what the settings allow and chance explains."""
        sums = list(itertools.accumulate(weight for _, _, weight in self.volumes))
        now = 0.0
        while now < seconds:
            now += self.draw.expovariate(6.0 * self.case.shards)
            while self.restarts_due and self.restarts_due[0][0] <= now:
                at, index = self.restarts_due.pop(0)
                self.schedulers[index] = self.start_scheduler(at)
            while self.ends and self.ends[0][0] <= now:
                at, index, number, latency, status = heapq.heappop(self.ends)
                if number in self.schedulers[index].pending:
                    self.handle(
                        at, index, outcome(number, target_id=BUSY_SHARD, status=status, latency=latency)
                    )
            volume = self.draw.choices(range(len(sums)), cum_weights=sums)[0]
            shards, volume_initiators, _ = self.volumes[volume]
            shard, index = self.draw.choice(shards), self.draw.choice(volume_initiators)
            if shard == BUSY_SHARD and now >= STARTED_AT:
                self.number += 1
                self.handle(
                    now,
                    index,
                    request(
                        self.number,
                        volume=volume,
                        units=float(self.number % 3 + 1),
                        volume_initiator_count=len(volume_initiators),
                        time_remaining=1.2,
                    ),
                )
            else:
                self.schedulers[index].contention.record(now, shard, volume, len(volume_initiators))
        return self.worst_window()

    def worst_window(self) -> float:
        worst, total, span = 0.0, 0.0, deque()
        for at, units in self.sent:
            span.append((at, units / MEAN_UNITS))
            total += units / MEAN_UNITS
            while span[0][0] <= at - 1.0:
                total -= span.popleft()[1]
            allowed = self.case.units * self.capacity_fraction(at) / INITIAL_FRACTION / MEAN_UNITS
            worst = max(worst, total / (allowed + 2 * allowed**0.5 + 2))
        return worst


SIZES = {20: (30, (2.0, 8.0)), 30: (45, (2.0, 8.0)), 200: (200, (1.0, 3.0))}  # shards, and units borne
FLEETS = [
    Case(initiators, shards, units, 1.0, 0.0, restarts)
    for initiators, (shards, bears) in SIZES.items()
    for units in bears
    for restarts in ("none", "together", "rolling")
]


def worst_of(cases: list[Case], seeds: int) -> float:
    """The worst over so many seeds, a tenth of them for two hundred schedulers, which take long."""
    return max(
        Fleet(case, seed).run()
        for case in cases
        for seed in range(seeds if case.initiators < 200 else seeds // 10)
    )


@pytest.mark.parametrize("case", FLEETS, ids=lambda case: f"{case.initiators}-{case.units:g}-{case.restarts}")
def test_a_fleet_does_not_overload_a_warming_target(case):
    """At a target as weak as the settings allow, in shards as busy as random volumes make them."""
    assert worst_of([case], 30) <= 1.0


def test_a_fleet_uses_the_budget_of_a_warming_target():
    """So that the test above can't be passed by sending next to nothing: mean units in twelve seconds."""
    case = Case(30, 45, 8.0, 1.0, 0.1)
    sent = 0.0
    for seed in range(10):
        fleet = Fleet(case, seed)
        fleet.run()
        sent += sum(units for _, units in fleet.sent)
    assert sent / 10 > 120.0


def test_a_fleet_does_not_overload_a_warming_target_of_a_shard_two_to_three_times_as_busy():
    """Each process sees too little of the others: more request the shard than it estimates."""
    busy = [replace(case, busy_fraction=0.1 if case.initiators < 200 else 0.02) for case in FLEETS]
    assert worst_of(busy, 20) <= 1.0


def test_a_fleet_stays_within_the_budget_of_a_target_far_stronger_than_the_settings_state():
    """What a target serves is allowed again: the fleet follows its capacity, not the settings."""
    strong = [replace(case, power=100.0, busy_fraction=0.3) for case in FLEETS if case.initiators < 200]
    assert worst_of(strong, 5) <= 1.0
