"""Two hundred initiators at one warming target, in one process: `python -m bench.slow_start [--seeds 8]`.

The real decision modules on a virtual clock, at a target of real capacity that replaces a warm one,
under the uneven load of `tests/test_contention.py`: once with the fleet's shared budgets (messages of
5 ms, exchanged every 0.1 s), once with each one's estimate of the contention.  One JSON line each: units
served and sent, and the most sent in a second over what the rule allows (twice the present capacity), mean
and worst of the seeds.
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

EXCHANGE_SECONDS, DELAY_SECONDS = 0.1, 0.005
NEED_SECONDS = 3.0  # for which a need counts after it was stated, as in `fleet.shared_budgets`


class SharingFleet(WarmingFleet):
    """A fleet whose initiators share the warming target's budget by need."""

    def __init__(self, seed: int, busy_fraction: float) -> None:
        super().__init__(seed, busy_fraction)
        self.now, self.exchanged_at = 0.0, 0.0
        self.in_transit, self.message_numbers = [], itertools.count()
        self.ledgers = [
            BudgetLedger(INITIATORS, 1.0, random.Random(seed * 1000 + n), -60.0) for n in range(INITIATORS)
        ]
        self.stated_at: list[dict[str, float]] = [{} for _ in range(INITIATORS)]
        for n, scheduler in enumerate(self.schedulers):
            scheduler.budget_fraction = lambda key, need, n=n: self.part(n, key, need)

    def part(self, n: int, key: str, need: float) -> float:
        self.stated_at[n][key] = self.now
        self.ledgers[n].set_need(key, need)
        return self.ledgers[n].usable_fraction(self.now, key)

    def handle(self, now, index, event) -> None:
        self.advance(now)
        super().handle(now, index, event)

    def advance(self, now: float) -> None:
        """Exchange needs and deliver messages up to a time."""
        while self.exchanged_at + EXCHANGE_SECONDS <= now:
            self.exchanged_at += EXCHANGE_SECONDS
            self.deliver(self.exchanged_at)
            for n, ledger in enumerate(self.ledgers):
                for key in list(self.stated_at[n]):
                    if self.stated_at[n][key] < self.exchanged_at - NEED_SECONDS:
                        del self.stated_at[n][key]
                        ledger.set_need(key, 0.0)
                if self.stated_at[n]:
                    peers = [str(p) for p in self.draw.sample(range(INITIATORS), 9) if p != n]
                    for peer, request in ledger.due_requests(self.exchanged_at, peers):
                        self.send(n, int(peer), request)
        self.deliver(now)
        self.now = now

    def send(self, sender: int, receiver: int, message: object) -> None:
        heapq.heappush(
            self.in_transit,
            (self.exchanged_at + DELAY_SECONDS, next(self.message_numbers), sender, receiver, message),
        )

    def deliver(self, now: float) -> None:
        while self.in_transit and self.in_transit[0][0] <= now:
            at, _, sender, receiver, message = heapq.heappop(self.in_transit)
            if isinstance(message, BudgetRequest):
                grant = self.ledgers[receiver].handle_request(at, str(sender), message)
                if grant is not None:
                    heapq.heappush(
                        self.in_transit,
                        (at + DELAY_SECONDS, next(self.message_numbers), receiver, sender, grant),
                    )
            else:
                self.ledgers[receiver].handle_grant(at, str(sender), message)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--busier", type=float, default=0.02)
    options = parser.parse_args()
    for kind in (SharingFleet, WarmingFleet):
        fleets = [kind(seed, options.busier) for seed in range(options.seeds)]
        worst = [fleet.run(18.0) for fleet in fleets]
        sent = [sum(units for _, units in fleet.sent) for fleet in fleets]
        served = statistics.mean(fleet.complete for fleet in fleets)
        print(
            json.dumps(
                {
                    "kind": "shared" if kind is SharingFleet else "guessed",
                    "busier": options.busier,
                    "seeds": options.seeds,
                    "sent": round(statistics.mean(sent), 1),
                    "served": round(served, 1),
                    "worst_second": round(statistics.mean(worst), 2),
                    "worst_of_all": round(max(worst), 2),
                }
            ),
            flush=True,
        )


if __name__ == "__main__":
    main()
