"""Two hundred instances at one cold target, in one process: `python -m bench.slow_start [--seeds 8]`.

The real decision modules on a virtual clock, at a target of real capacity whose warm forerunner has left,
under the uneven load of `tests/test_contention.py`: once with the fleet's shared budgets (messages of
5 ms, looked for every 0.1 s), once with each one's guess of the crowd.  One JSON line a way: units served and
sent, and the most sent in a second over what the rule allows (twice the capacity of the moment), mean and
worst of the seeds.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import json
import random
import statistics

from stalltiller.fleet.budget_lending import BudgetLedger, BudgetRequest
from tests.test_contention import GATEWAYS, Herd

LOOK, DELAY = 0.1, 0.005  # s
NEED_FOR = 3.0  # s for which a need counts after it was told, as in `fleet.shared_budgets`


class Sharing(Herd):
    """A herd whose gateways share the cold target's budget by need."""

    def __init__(self, seed: int, busier: float) -> None:
        super().__init__(seed, busier)
        self.now, self.looked, self.mail, self.letters = 0.0, 0.0, [], itertools.count()
        self.shares = [
            BudgetLedger(GATEWAYS, 1.0, random.Random(seed * 1000 + n), -60.0) for n in range(GATEWAYS)
        ]
        self.told: list[dict[str, float]] = [{} for _ in range(GATEWAYS)]
        for n, gateway in enumerate(self.made):
            gateway.budget_fraction = lambda key, need, n=n: self.part(n, key, need)

    def part(self, n: int, key: str, need: float) -> float:
        self.told[n][key] = self.now
        self.shares[n].set_need(key, need)
        return self.shares[n].usable_fraction(self.now, key)

    def act(self, now, index, event) -> None:
        self.advance(now)
        super().act(now, index, event)

    def advance(self, now: float) -> None:
        """Look and pass messages on up to a time."""
        while self.looked + LOOK <= now:
            self.looked += LOOK
            self.deliver(self.looked)
            for n, shares in enumerate(self.shares):
                for key in list(self.told[n]):
                    if self.told[n][key] < self.looked - NEED_FOR:
                        del self.told[n][key]
                        shares.set_need(key, 0.0)
                if self.told[n]:
                    peers = [str(p) for p in self.draw.sample(range(GATEWAYS), 9) if p != n]
                    for peer, ask in shares.due_requests(self.looked, peers):
                        self.post(n, int(peer), ask)
        self.deliver(now)
        self.now = now

    def post(self, one: int, other: int, what: object) -> None:
        heapq.heappush(self.mail, (self.looked + DELAY, next(self.letters), one, other, what))

    def deliver(self, now: float) -> None:
        while self.mail and self.mail[0][0] <= now:
            at, _, one, other, what = heapq.heappop(self.mail)
            if isinstance(what, BudgetRequest):
                grant = self.shares[other].handle_request(at, str(one), what)
                if grant is not None:
                    heapq.heappush(self.mail, (at + DELAY, next(self.letters), other, one, grant))
            else:
                self.shares[other].handle_grant(at, str(one), what)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--busier", type=float, default=0.02)
    options = parser.parse_args()
    for kind in (Sharing, Herd):
        herds = [kind(seed, options.busier) for seed in range(options.seeds)]
        worst = [herd.run(18.0) for herd in herds]
        sent = [sum(units for _, units in herd.sent) for herd in herds]
        served = statistics.mean(herd.complete for herd in herds)
        print(
            json.dumps(
                {
                    "kind": "shared" if kind is Sharing else "guessed",
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
