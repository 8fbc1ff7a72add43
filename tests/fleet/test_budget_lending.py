"""Lending: whatever happens between members, the fractions that all may use never exceed the budget."""

from __future__ import annotations

import heapq
import random

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from stalltiller.fleet import budget_lending
from stalltiller.fleet.budget_lending import BudgetGrant, BudgetLedger, BudgetRequest

WINDOW = 1.0  # seconds, of the budget's rule
STEP = 0.05  # seconds of the simulation
KEY = "s-1"


class Market:
    """Members with clocks of different rates, and messages that are lost, delayed, duplicated or cut."""

    def __init__(self, size: int, seed: int, loss: float, duplication: float, delay: float) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.duplication = duplication
        self.delay = delay
        self.now = 0.0
        self.message_count = 0
        self.in_transit: list[tuple[float, int, int, int, object]] = []
        self.rate = [
            1 + budget_lending.CLOCK_RATE_ERROR_FRACTION * self.rng.choice((-1, 0, 1)) for _ in range(size)
        ]
        self.restarts = [0] * size
        self.isolated: set[int] = set()
        long_ago = -20.0  # so that all may lend
        self.members = [BudgetLedger(size, WINDOW, random.Random(n), long_ago) for n in range(size)]
        self.needs = [0.0] * size
        self.recent: list[list[tuple[float, float]]] = [[] for _ in range(size)]  # when, what it might use
        self.used = [0.0] * size

    def clock(self, n: int) -> float:
        return self.now * self.rate[n]

    def restart(self, n: int) -> None:
        self.restarts[n] += 1
        rng = random.Random(n + 100 * self.restarts[n])
        self.members[n] = BudgetLedger(len(self.members), WINDOW, rng, self.clock(n))

    def post(self, sender: int, receiver: int, message: object) -> None:
        for _ in range(1 + (self.rng.random() < self.duplication)):
            if self.rng.random() >= self.loss and (sender in self.isolated) == (receiver in self.isolated):
                self.message_count += 1
                arrives = self.now + 0.001 + self.delay * self.rng.random()
                heapq.heappush(self.in_transit, (arrives, self.message_count, sender, receiver, message))

    def step(self) -> float:
        """One step; returns the sum over members of the most that each might have used in the last window."""
        self.now += STEP
        while self.in_transit and self.in_transit[0][0] <= self.now:
            _, _, sender, receiver, message = heapq.heappop(self.in_transit)
            if isinstance(message, BudgetRequest):
                grant = self.members[receiver].handle_request(self.clock(receiver), str(sender), message)
                if grant is not None:
                    self.post(receiver, sender, grant)
            else:  # also one for an earlier process, which must not count
                self.members[receiver].handle_grant(self.clock(receiver), str(sender), message)
        total = 0.0
        for n, member in enumerate(self.members):
            member.set_need(KEY, self.needs[n])
            peers = [str(p) for p in range(len(self.members)) if p != n]
            for peer, request in member.due_requests(self.clock(n), peers):
                self.post(n, int(peer), request)
            fraction = member.usable_fraction(self.clock(n), KEY)
            in_window = [each for each in self.recent[n] if each[0] > self.now - WINDOW]
            self.recent[n] = [*in_window, (self.now, fraction)]
            total += max(used for _, used in self.recent[n])
            self.used[n] += min(fraction, self.needs[n]) * STEP
        return total


events = st.lists(
    st.tuples(
        st.sampled_from(["need", "restart", "cut", "heal", "rest"]),
        st.integers(0, 4),
        st.sampled_from([0.0, 0.1, 0.5, 1.0]),
        st.integers(1, 40),
    ),
    max_size=14,
)


def largest_sum(script, seed: int, loss: float, duplication: float, delay: float) -> float:
    """The largest sum of the usable fractions in a run of a script."""
    market = Market(5, seed, loss, duplication, delay)
    largest = 0.0
    for what, n, need, steps in script:
        if what == "need":
            market.needs[n] = need
        elif what == "restart":
            market.restart(n)
        elif what == "cut":
            market.isolated = set(range(n))
        elif what == "heal":
            market.isolated = set()
        largest = max([largest, *(market.step() for _ in range(steps))])
    return largest


@settings(max_examples=150, deadline=None, derandomize=True)
@given(events, st.integers(0, 10**6), st.floats(0, 0.5), st.floats(0, 0.5), st.sampled_from([0.01, 0.5, 3.0]))
@example([("need", 0, 0.5, 40), ("rest", 0, 0.0, 80)], 0, 0.0, 1.0, 0.01)  # requests that were received twice
def test_the_usable_fractions_never_add_up_to_more_than_the_budget(script, seed, loss, duplication, delay):
    assert largest_sum(script, seed, loss, duplication, delay) <= 1 + 1e-9


SCRIPT = [
    ("rest", 0, 0.0, 80),
    *(("need", n, 0.0, 1) for n in range(1, 5)),
    ("need", 0, 1.0, 60),
    ("restart", 1, 0.0, 40),
    ("restart", 2, 0.0, 40),
    ("need", 3, 1.0, 60),
    ("need", 0, 0.0, 60),
]


@pytest.mark.parametrize(
    ("name", "break_rule"),
    [
        (
            "lent",
            lambda ledger: setattr(
                ledger,
                "handle_request",
                lambda now, borrower, request: BudgetGrant(request.key, request.number, 0.1),
            ),
        ),
        (
            "restart",
            lambda ledger: setattr(ledger, "_may_lend_from", 0.0) or setattr(ledger, "_may_use_from", 0.0),
        ),
        ("no rest", lambda ledger: setattr(ledger, "window", 0.0)),
    ],
)
def test_a_broken_lending_rule_is_detected(name, break_rule, monkeypatch):
    original_init = BudgetLedger.__init__

    def init(self, *arguments):
        original_init(self, *arguments)
        break_rule(self)

    assert max(largest_sum(SCRIPT, seed, 0.0, 0.3, 0.01) for seed in range(3)) <= 1 + 1e-9
    monkeypatch.setattr(BudgetLedger, "__init__", init)
    assert max(largest_sum(SCRIPT, seed, 0.0, 0.3, 0.01) for seed in range(3)) > 1.05


def test_a_member_in_need_borrows_more_than_its_allotment_and_keeps_the_allotment_when_isolated():
    market = Market(5, 1, 0.05, 0.0, 0.01)
    market.needs[0] = 1.0
    for _ in range(200):
        market.step()
    assert market.members[0].usable_fraction(market.clock(0), KEY) > 0.45
    market.isolated = {0}
    for _ in range(120):
        market.step()
    assert market.members[0].usable_fraction(market.clock(0), KEY) == pytest.approx(0.2)


def test_a_grant_counts_once_and_only_for_the_request_it_answers():
    member = BudgetLedger(4, WINDOW, random.Random(1), 0.0)
    member.set_need(KEY, 1.0)
    requests = member.due_requests(10.0, ["a", "b"])
    grant = BudgetGrant(KEY, requests[0][1].number, 0.1)
    assert [
        member.handle_grant(10.1, lender, g)
        for lender, g in [
            ("a", grant),
            ("a", grant),
            ("b", BudgetGrant(KEY, grant.number ^ 1, 0.1)),
            ("b", BudgetGrant("other", 1, 0.1)),
            ("b", BudgetGrant(KEY, grant.number, 9.0)),
        ]
    ] == [True, False, False, False, False]
    assert [member.usable_fraction(now, KEY) for now in (11.0, 11.2, 15.0)] == pytest.approx(
        [0.25, 0.35, 0.25]
    )
