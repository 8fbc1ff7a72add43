"""Shared budgets: whatever happens between members, what all may use never adds up past the whole."""

from __future__ import annotations

import heapq
import random

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from stalltiller.fleet import budget_lending
from stalltiller.fleet.budget_lending import BudgetGrant, BudgetLedger, BudgetRequest

SPAN, STEP, KEY = 1.0, 0.05, "s-1"


class Market:
    """Members with clocks of their own rates, and messages that are lost, late, doubled or cut."""

    def __init__(self, size: int, seed: int, loss: float, double: float, late: float) -> None:
        self.draw, self.loss, self.double, self.late = random.Random(seed), loss, double, late
        self.now, self.count, self.mail = 0.0, 0, []
        self.rate = [1 + budget_lending.RATE_ERROR * self.draw.choice((-1, 0, 1)) for _ in range(size)]
        self.lives = [0] * size
        self.abort_stream: set[int] = set()
        self.members = [
            BudgetLedger(size, SPAN, random.Random(n), -20.0) for n in range(size)
        ]  # long since whole
        self.needs = [0.0] * size
        self.recent: list[list[tuple[float, float]]] = [[] for _ in range(size)]  # when, what it might use
        self.used = [0.0] * size

    def clock(self, n: int) -> float:
        return self.now * self.rate[n]

    def restart(self, n: int) -> None:
        self.lives[n] += 1
        draw = random.Random(n + 100 * self.lives[n])
        self.members[n] = BudgetLedger(len(self.members), SPAN, draw, self.clock(n))

    def post(self, one: int, other: int, what: object) -> None:
        for _ in range(1 + (self.draw.random() < self.double)):
            if self.draw.random() >= self.loss and (one in self.abort_stream) == (other in self.abort_stream):
                self.count += 1
                arrives = self.now + 0.001 + self.late * self.draw.random()
                heapq.heappush(self.mail, (arrives, self.count, one, other, what))

    def step(self) -> float:
        """One step; the sum over members of the most that each might use in the last span."""
        self.now += STEP
        while self.mail and self.mail[0][0] <= self.now:
            _, _, one, other, what = heapq.heappop(self.mail)
            if isinstance(what, BudgetRequest):
                grant = self.members[other].asked(self.clock(other), str(one), what)
                if grant is not None:
                    self.post(other, one, grant)
            else:  # one for an earlier life too: it must not count
                self.members[other].granted(self.clock(other), str(one), what)
        total = 0.0
        for n, member in enumerate(self.members):
            member.set_need(KEY, self.needs[n])
            peers = [str(p) for p in range(len(self.members)) if p != n]
            for peer, ask in member.asks(self.clock(n), peers):
                self.post(n, int(peer), ask)
            part = member.part(self.clock(n), KEY)
            late = [each for each in self.recent[n] if each[0] > self.now - SPAN]
            self.recent[n] = [*late, (self.now, part)]
            total += max(p for _, p in self.recent[n])
            self.used[n] += min(part, self.needs[n]) * STEP
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


def most(script, seed: int, loss: float, double: float, late: float) -> float:
    """The largest sum in a run of a script."""
    market, largest = Market(5, seed, loss, double, late), 0.0
    for what, n, need, steps in script:
        if what == "need":
            market.needs[n] = need
        elif what == "restart":
            market.restart(n)
        elif what == "cut":
            market.abort_stream = set(range(n))
        elif what == "heal":
            market.abort_stream = set()
        largest = max([largest, *(market.step() for _ in range(steps))])
    return largest


@settings(max_examples=150, deadline=None, derandomize=True)
@given(events, st.integers(0, 10**6), st.floats(0, 0.5), st.floats(0, 0.5), st.sampled_from([0.01, 0.5, 3.0]))
@example([("need", 0, 0.5, 40), ("rest", 0, 0.0, 80)], 0, 0.0, 1.0, 0.01)  # asks that came twice
def test_the_parts_of_all_never_add_up_past_the_whole(script, seed, loss, double, late):
    assert most(script, seed, loss, double, late) <= 1 + 1e-9


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
    ("name", "broken"),
    [
        ("lent", lambda s: setattr(s, "asked", lambda now, who, ask: BudgetGrant(ask.key, ask.number, 0.1))),
        ("restart", lambda s: setattr(s, "_whole_from", 0.0) or setattr(s, "_rest_from", 0.0)),
        ("no rest", lambda s: setattr(s, "span", 0.0)),
    ],
)
def test_a_broken_rule_of_lending_would_be_seen(name, broken, monkeypatch):
    made = BudgetLedger.__init__

    def init(self, *arguments):
        made(self, *arguments)
        broken(self)

    assert max(most(SCRIPT, seed, 0.0, 0.3, 0.01) for seed in range(3)) <= 1 + 1e-9
    monkeypatch.setattr(BudgetLedger, "__init__", init)
    assert max(most(SCRIPT, seed, 0.0, 0.3, 0.01) for seed in range(3)) > 1.05


def test_one_that_needs_much_gets_more_than_twice_its_home_part_and_alone_keeps_that():
    market = Market(5, 1, 0.05, 0.0, 0.01)
    market.needs[0] = 1.0
    for _ in range(200):
        market.step()
    assert market.members[0].part(market.clock(0), KEY) > 0.45
    market.abort_stream = {0}
    for _ in range(120):
        market.step()
    assert market.members[0].part(market.clock(0), KEY) == pytest.approx(0.2)


def test_a_grant_counts_once_and_only_for_the_ask_it_answers():
    member = BudgetLedger(4, SPAN, random.Random(1), 0.0)
    member.set_need(KEY, 1.0)
    asks = member.asks(10.0, ["a", "b"])
    grant = BudgetGrant(KEY, asks[0][1].number, 0.1)
    assert [
        member.granted(10.1, lender, g)
        for lender, g in [
            ("a", grant),
            ("a", grant),
            ("b", BudgetGrant(KEY, grant.number ^ 1, 0.1)),
            ("b", BudgetGrant("other", 1, 0.1)),
            ("b", BudgetGrant(KEY, grant.number, 9.0)),
        ]
    ] == [True, False, False, False, False]
    assert [member.part(now, KEY) for now in (11.0, 11.2, 15.0)] == pytest.approx([0.25, 0.35, 0.25])
