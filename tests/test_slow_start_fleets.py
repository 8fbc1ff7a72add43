"""What whole fleets send to a cold target, counted there, with uneven cells and restarts among them."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass, replace

import pytest

from stalltiller.scheduling import TargetListKind, TargetListUpdate, scheduler
from tests.helpers import entry, outcome, request, request_class, rules, settings
from tests.test_contention import Herd

COLD_FROM, COLD_TIME, SHARE, MEAN = 3.0, 17.0, 0.15, 2.0
CELL = 1  # the busy one, whose warm target leaves at COLD_FROM


@dataclass(frozen=True)
class Case:
    """A fleet and its surroundings: `units` a just-started target bears in a span, `power` over the least
    that lets it bear them, `busier` the share of the volumes that also ask for the cold cell."""

    gateways: int
    cells: int
    units: float
    power: float
    busier: float
    restarts: str = "none"


class Fleet(Herd):
    """Schedulers, the volumes that come through them, and one cold target that serves in turn."""

    def __init__(self, case: Case, seed: int) -> None:
        self.case, self.draw = case, random.Random(seed)
        self.nodes = tuple(
            entry(n, started_at=COLD_FROM if n == CELL else None) for n in range(1, case.cells + 1)
        )
        self.made = [self.fresh(0.0) for _ in range(case.gateways)]
        self.free, self.number, self.ends, self.sent = COLD_FROM, 0, [], []
        self.volumes = [
            (
                self.draw.sample(range(1, case.cells + 1), self.draw.randint(1, 4)),
                self.draw.sample(range(case.gateways), self.draw.randint(1, 3)),
                self.draw.choice([1, 1, 2, 3, 8]),
            )
            for _ in range(6 * case.cells)
        ]
        for cells, _, _ in self.volumes:
            if self.draw.random() < case.busier:
                cells[0] = CELL
        self.begins = self.restarts()

    def fresh(self, now: float) -> scheduler.Scheduler:
        """A process that has just come up with the list as it is."""
        site = settings(
            initiator_count=self.case.gateways,
            slow_start_units=self.case.units,
            mean_units=MEAN,
            classes=(request_class(latency_objective=0.2, deadline=1.2),),
            rules=rules(
                slow_start_duration=COLD_TIME,
                slow_start_initial_fraction=SHARE,
                overload_window=1.0,
                overload_factor=2.0,
            ),
        )
        made = scheduler.Scheduler(site, self.draw.getrandbits(32), now)
        made.handle(now, [TargetListUpdate(TargetListKind.CACHED, self.nodes)])
        return made

    def restarts(self) -> list[tuple[float, int]]:
        """When which process comes up anew."""
        everyone = range(self.case.gateways)
        if self.case.restarts == "together":  # seven in ten come back in the moment that the target starts
            return sorted(
                (COLD_FROM + self.draw.uniform(0.0, 0.3), index)
                for index in self.draw.sample(everyone, self.case.gateways * 7 // 10)
            )
        if self.case.restarts == "rolling":  # one after another, a tenth of them in each second
            return [(COLD_FROM - 2.0 + index * 10.0 / self.case.gateways, index) for index in everyone]
        return []

    def share(self, now: float) -> float:
        return SHARE + (1 - SHARE) * min(1.0, max(0.0, now - COLD_FROM) / COLD_TIME)

    def capacity(self, now: float) -> float:
        """Units per second."""
        return self.case.power * self.case.units / (2.0 * SHARE) * self.share(now)

    def run(self, seconds: float = 15.0) -> float:
        """The most requests of mean work in a span, over what the settings allow and chance explains."""
        sums = list(itertools.accumulate(weight for _, _, weight in self.volumes))
        now = 0.0
        while now < seconds:
            now += self.draw.expovariate(6.0 * self.case.cells)
            while self.begins and self.begins[0][0] <= now:
                at, index = self.begins.pop(0)
                self.made[index] = self.fresh(at)
            while self.ends and self.ends[0][0] <= now:
                at, index, number, took, status = heapq.heappop(self.ends)
                if number in self.made[index].pending:
                    self.act(at, index, outcome(number, target_id=CELL, status=status, latency=took))
            place = self.draw.choices(range(len(sums)), cum_weights=sums)[0]
            cells, hosts, _ = self.volumes[place]
            cell, index = self.draw.choice(cells), self.draw.choice(hosts)
            if cell == CELL and now >= COLD_FROM:
                self.number += 1
                self.act(
                    now,
                    index,
                    request(
                        self.number,
                        volume=place,
                        units=float(self.number % 3 + 1),
                        volume_initiator_count=len(hosts),
                        time_remaining=1.2,
                    ),
                )
            else:
                self.made[index].contention.record(now, cell, place, len(hosts))
        return self.worst()

    def worst(self) -> float:
        worst, total, span = 0.0, 0.0, deque()
        for at, units in self.sent:
            span.append((at, units / MEAN))
            total += units / MEAN
            while span[0][0] <= at - 1.0:
                total -= span.popleft()[1]
            allowed = self.case.units * self.share(at) / SHARE / MEAN
            worst = max(worst, total / (allowed + 2 * allowed**0.5 + 2))
        return worst


SIZES = {20: (30, (2.0, 8.0)), 30: (45, (2.0, 8.0)), 200: (200, (1.0, 3.0))}  # cells, and what a target bears
FLEETS = [
    Case(gateways, cells, units, 1.0, 0.0, restarts)
    for gateways, (cells, bears) in SIZES.items()
    for units in bears
    for restarts in ("none", "together", "rolling")
]


def worst_of(cases: list[Case], seeds: int) -> float:
    """Over so many seeds; a tenth of them where two hundred schedulers take their time."""
    return max(
        Fleet(case, seed).run()
        for case in cases
        for seed in range(seeds if case.gateways < 200 else seeds // 10)
    )


@pytest.mark.parametrize("case", FLEETS, ids=lambda case: f"{case.gateways}-{case.units:g}-{case.restarts}")
def test_a_whole_fleet_stays_within_what_a_cold_target_bears(case):
    """At a target as weak as the settings allow, in cells as busy as volumes drawn at random make them."""
    assert worst_of([case], 30) <= 1.0


def test_a_fleet_uses_what_a_cold_target_bears():
    """So that the test above can't be passed by sending next to nothing: units in twelve seconds, a mean."""
    case = Case(30, 45, 8.0, 1.0, 0.1)
    sent = 0.0
    for seed in range(10):
        fleet = Fleet(case, seed)
        fleet.run()
        sent += sum(units for _, units in fleet.sent)
    assert sent / 10 > 120.0


def test_a_whole_fleet_stays_within_it_at_a_cell_two_to_three_times_as_busy():
    """Each process sees too little of the others to know: more ask than it takes to."""
    busy = [replace(case, busier=0.1 if case.gateways < 200 else 0.02) for case in FLEETS]
    assert worst_of(busy, 20) <= 1.0


def test_a_whole_fleet_stays_within_it_at_a_target_far_stronger_than_the_settings_tell():
    """What a target serves is allowed again: the fleet follows what it can do, not what the settings say."""
    strong = [replace(case, power=100.0, busier=0.3) for case in FLEETS if case.gateways < 200]
    assert worst_of(strong, 5) <= 1.0
