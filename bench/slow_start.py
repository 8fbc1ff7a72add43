"""Simulates two hundred initiators at one warming target: `python -m bench.slow_start [--seeds 8]`.

The real schedulers run in one process on a virtual clock.  A warming target of limited capacity replaces a
warm one under the uneven load of `tests/test_contention.py`, once with the fleet's shared budgets (messages
take 5 ms and are exchanged every 0.1 s), once with each initiator's estimate of the contention.  One JSON
line is printed for each: the units served and sent, and the most units sent in a second relative to what the
rule allows (twice the current capacity), as mean and maximum over the seeds.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import json
import random
import statistics

from stalltiller.fleet.budget_lending import BudgetLedger, BudgetRequest
from tests.test_contention import INITIATORS, WarmingFleet

EXCHANGE_INTERVAL_SECONDS = 0.1
MESSAGE_DELAY_SECONDS = 0.005
NEED_LIFETIME_SECONDS = 3.0  # the same as in `fleet.shared_budgets`


class SharingFleet(WarmingFleet):
    """A fleet whose initiators lend each other the warming target's budget by need."""

    def __init__(self, seed: int, busy_fraction: float) -> None:
        super().__init__(seed, busy_fraction)
        self.now = 0.0
        self.exchanged_at = 0.0
        self.in_transit = []
        self.message_numbers = itertools.count()
        self.ledgers = [
            BudgetLedger(INITIATORS, 1.0, random.Random(seed * 1000 + index), -60.0)
            for index in range(INITIATORS)
        ]
        self.need_reported_at: list[dict[str, float]] = [{} for _ in range(INITIATORS)]
        for index, scheduler in enumerate(self.schedulers):
            scheduler.budget_fraction = lambda key, need, index=index: self.usable_fraction(index, key, need)

    def usable_fraction(self, index: int, key: str, need: float) -> float:
        self.need_reported_at[index][key] = self.now
        self.ledgers[index].set_need(key, need)
        return self.ledgers[index].usable_fraction(self.now, key)

    def handle(self, now, index, event) -> None:
        self.advance(now)
        super().handle(now, index, event)

    def advance(self, now: float) -> None:
        """Send budget requests and deliver messages until `now`."""
        while self.exchanged_at + EXCHANGE_INTERVAL_SECONDS <= now:
            self.exchanged_at += EXCHANGE_INTERVAL_SECONDS
            self.deliver(self.exchanged_at)
            for index, ledger in enumerate(self.ledgers):
                for key in list(self.need_reported_at[index]):
                    if self.need_reported_at[index][key] < self.exchanged_at - NEED_LIFETIME_SECONDS:
                        del self.need_reported_at[index][key]
                        ledger.set_need(key, 0.0)
                if self.need_reported_at[index]:
                    peers = [str(peer) for peer in self.rng.sample(range(INITIATORS), 9) if peer != index]
                    for peer, request in ledger.due_requests(self.exchanged_at, peers):
                        self.send(index, int(peer), request)
        self.deliver(now)
        self.now = now

    def send(self, sender: int, receiver: int, message: object) -> None:
        heapq.heappush(
            self.in_transit,
            (
                self.exchanged_at + MESSAGE_DELAY_SECONDS,
                next(self.message_numbers),
                sender,
                receiver,
                message,
            ),
        )

    def deliver(self, now: float) -> None:
        while self.in_transit and self.in_transit[0][0] <= now:
            at, _, sender, receiver, message = heapq.heappop(self.in_transit)
            if isinstance(message, BudgetRequest):
                grant = self.ledgers[receiver].handle_request(at, str(sender), message)
                if grant is not None:
                    heapq.heappush(
                        self.in_transit,
                        (at + MESSAGE_DELAY_SECONDS, next(self.message_numbers), receiver, sender, grant),
                    )
            else:
                self.ledgers[receiver].handle_grant(at, str(sender), message)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--busier", type=float, default=0.02)
    options = parser.parse_args()
    for fleet_class in (SharingFleet, WarmingFleet):
        fleets = [fleet_class(seed, options.busier) for seed in range(options.seeds)]
        worst_seconds = [fleet.run(18.0) for fleet in fleets]
        sent_units = [sum(units for _, units in fleet.sent) for fleet in fleets]
        served_units = statistics.mean(fleet.completed_units for fleet in fleets)
        print(
            json.dumps(
                {
                    "kind": "shared" if fleet_class is SharingFleet else "guessed",
                    "busier": options.busier,
                    "seeds": options.seeds,
                    "sent": round(statistics.mean(sent_units), 1),
                    "served": round(served_units, 1),
                    "worst_second": round(statistics.mean(worst_seconds), 2),
                    "worst_of_all": round(max(worst_seconds), 2),
                }
            ),
            flush=True,
        )


if __name__ == "__main__":
    main()
