"""Budget lending: under any faults, the fractions that all members may use never exceed the budget."""

from __future__ import annotations

import heapq
import random

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from stalltiller.fleet import budget_lending
from stalltiller.fleet.budget_lending import BudgetGrant, BudgetLedger, BudgetRequest

WINDOW_SECONDS = 1.0  # accounting window of the budget's rule
STEP_SECONDS = 0.05  # time step of the simulation
KEY = "s-1"


class LendingSimulation:
    """Simulated members with different clock rates; messages are lost, delayed, duplicated or cut."""

    def __init__(self, size: int, seed: int, loss: float, duplication: float, delay: float) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.duplication = duplication
        self.delay = delay
        self.now = 0.0
        self.message_count = 0
        self.in_transit: list[tuple[float, int, int, int, object]] = []
        self.clock_rates = [
            1 + budget_lending.CLOCK_RATE_ERROR_FRACTION * self.rng.choice((-1, 0, 1)) for _ in range(size)
        ]
        self.restarts = [0] * size
        self.isolated: set[int] = set()
        started_at = -20.0  # early enough that all members may lend
        self.members = [BudgetLedger(size, WINDOW_SECONDS, random.Random(n), started_at) for n in range(size)]
        self.needs = [0.0] * size
        # (time, usable fraction) of each member within the last window
        self.recent_fractions: list[list[tuple[float, float]]] = [[] for _ in range(size)]
        self.used = [0.0] * size

    def clock_time(self, n: int) -> float:
        return self.now * self.clock_rates[n]

    def restart(self, n: int) -> None:
        self.restarts[n] += 1
        rng = random.Random(n + 100 * self.restarts[n])
        self.members[n] = BudgetLedger(len(self.members), WINDOW_SECONDS, rng, self.clock_time(n))

    def send(self, sender: int, receiver: int, message: object) -> None:
        for _ in range(1 + (self.rng.random() < self.duplication)):
            if self.rng.random() >= self.loss and (sender in self.isolated) == (receiver in self.isolated):
                self.message_count += 1
                arrives_at = self.now + 0.001 + self.delay * self.rng.random()
                heapq.heappush(self.in_transit, (arrives_at, self.message_count, sender, receiver, message))

    def step(self) -> float:
        """Run one step; return the sum over members of the largest fraction usable within the last window."""
        self.now += STEP_SECONDS
        while self.in_transit and self.in_transit[0][0] <= self.now:
            _, _, sender, receiver, message = heapq.heappop(self.in_transit)
            if isinstance(message, BudgetRequest):
                grant = self.members[receiver].handle_request(self.clock_time(receiver), str(sender), message)
                if grant is not None:
                    self.send(receiver, sender, grant)
            else:  # a grant; one for a request of an earlier process must not count
                self.members[receiver].handle_grant(self.clock_time(receiver), str(sender), message)
        total = 0.0
        for n, member in enumerate(self.members):
            member.set_need(KEY, self.needs[n])
            peers = [str(peer) for peer in range(len(self.members)) if peer != n]
            for peer, request in member.due_requests(self.clock_time(n), peers):
                self.send(n, int(peer), request)
            fraction = member.usable_fraction(self.clock_time(n), KEY)
            in_window = [
                sample for sample in self.recent_fractions[n] if sample[0] > self.now - WINDOW_SECONDS
            ]
            self.recent_fractions[n] = [*in_window, (self.now, fraction)]
            total += max(usable for _, usable in self.recent_fractions[n])
            self.used[n] += min(fraction, self.needs[n]) * STEP_SECONDS
        return total


scripts = st.lists(
    st.tuples(
        st.sampled_from(["need", "restart", "cut", "heal", "wait"]),
        st.integers(0, 4),
        st.sampled_from([0.0, 0.1, 0.5, 1.0]),
        st.integers(1, 40),
    ),
    max_size=14,
)


def max_total_fraction(script, seed: int, loss: float, duplication: float, delay: float) -> float:
    """Run a script; return the largest sum of the fractions that all members could use in one window."""
    simulation = LendingSimulation(5, seed, loss, duplication, delay)
    max_total = 0.0
    for event, n, need, steps in script:
        if event == "need":
            simulation.needs[n] = need
        elif event == "restart":
            simulation.restart(n)
        elif event == "cut":
            simulation.isolated = set(range(n))
        elif event == "heal":
            simulation.isolated = set()
        max_total = max([max_total, *(simulation.step() for _ in range(steps))])
    return max_total


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    scripts, st.integers(0, 10**6), st.floats(0, 0.5), st.floats(0, 0.5), st.sampled_from([0.01, 0.5, 3.0])
)
@example([("need", 0, 0.5, 40), ("wait", 0, 0.0, 80)], 0, 0.0, 1.0, 0.01)  # every request is duplicated
def test_the_usable_fractions_never_add_up_to_more_than_the_budget(script, seed, loss, duplication, delay):
    assert max_total_fraction(script, seed, loss, duplication, delay) <= 1 + 1e-9


SCRIPT = [
    ("wait", 0, 0.0, 80),
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
            "grants without limit",
            lambda ledger: setattr(
                ledger,
                "handle_request",
                lambda now, borrower, request: BudgetGrant(request.key, request.number, 0.1),
            ),
        ),
        (
            "no wait after a restart",
            lambda ledger: setattr(ledger, "_may_lend_from", 0.0) or setattr(ledger, "_may_use_from", 0.0),
        ),
        ("no accounting window", lambda ledger: setattr(ledger, "window", 0.0)),
    ],
)
def test_a_broken_lending_rule_is_detected(name, break_rule, monkeypatch):
    original_init = BudgetLedger.__init__

    def init(self, *arguments):
        original_init(self, *arguments)
        break_rule(self)

    assert max(max_total_fraction(SCRIPT, seed, 0.0, 0.3, 0.01) for seed in range(3)) <= 1 + 1e-9
    monkeypatch.setattr(BudgetLedger, "__init__", init)
    assert max(max_total_fraction(SCRIPT, seed, 0.0, 0.3, 0.01) for seed in range(3)) > 1.05


def test_a_member_in_need_borrows_more_than_its_allotment_and_keeps_the_allotment_when_isolated():
    simulation = LendingSimulation(5, 1, 0.05, 0.0, 0.01)
    simulation.needs[0] = 1.0
    for _ in range(200):
        simulation.step()
    assert simulation.members[0].usable_fraction(simulation.clock_time(0), KEY) > 0.45
    simulation.isolated = {0}
    for _ in range(120):
        simulation.step()
    assert simulation.members[0].usable_fraction(simulation.clock_time(0), KEY) == pytest.approx(0.2)


def test_a_grant_counts_once_and_only_for_its_own_request():
    member = BudgetLedger(4, WINDOW_SECONDS, random.Random(1), 0.0)
    member.set_need(KEY, 1.0)
    requests = member.due_requests(10.0, ["a", "b"])
    grant = BudgetGrant(KEY, requests[0][1].number, 0.1)
    assert [
        member.handle_grant(10.1, lender, received)
        for lender, received in [
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
