"""Budgets that a fleet shares by need: parts of a whole are lent, never minted.  Pure.

Each member owns an even part of every budget, its home part, by the size that the operator gave the fleet.
Who needs more asks others, who lend what they do not need.  For any loss, delay, doubling, partition and
restart, what all members may use at one time, or within one span of the budget's rule, never adds up past the
whole:

- A lender stops using what it lends before the grant goes out.  The borrower begins one span after it came,
  and the lender takes it back one span after it has run out, so no span sees the same part used twice.
- No clocks are compared.  A loan lasts LOAN seconds from when the borrower asked (by its clock, less its
  possible rate error) and, for the lender, from when the ask came (by its clock, more that error): later.
- A grant counts for the ask it answers alone, and once for each lender: a doubled or late one adds nothing.
- At most LENT_MOST of a home part is ever lent.  A new life uses nothing for one span, then the rest until
  all loans of the life before have run out: a restart forgets loans and mints nothing.

A member that hears nobody is left with its home part: the even split.
"""

from __future__ import annotations

import random
from collections.abc import KeysView
from dataclasses import dataclass, field

LOAN = 5.0  # s
RATE_ERROR = 0.01  # by which a second of a member's clock may be longer or shorter
LENT_MOST = 0.9  # of a home part: more for others, less for its owner just after a restart
ASK_EVERY = 0.1  # s between asks for one budget
ASKED = 8  # members asked at once
RENEW = 0.5  # of a loan's time that is left when its borrower asks to keep it
LEAST = 0.02  # of a home part: less is not worth a message
KEEP = 1.25  # times its own need that a lender keeps


@dataclass(slots=True, frozen=True)
class BudgetRequest:
    """A member asks for a part of a budget (both in parts of the whole, 0 to 1)."""

    key: str
    number: int
    want: float
    loan: int = 0  # the number of a loan to be kept for longer; 0: a new one


@dataclass(slots=True, frozen=True)
class BudgetGrant:
    """The answer to an ask: how large a part is lent."""

    key: str
    number: int
    part: float


@dataclass(slots=True)
class _Budget:
    """One budget as a member sees it."""

    need: float = 0.0  # part of the whole that it could use
    asked_at: float = -1e9
    asks: dict[int, tuple[float, set[str], int]] = field(default_factory=dict)  # when, who answered, loan
    lent: dict[tuple[str, int], tuple[float, float]] = field(default_factory=dict)  # part, until
    borrowed: dict[tuple[str, int], tuple[float, float, float]] = field(  # part, from, until
        default_factory=dict
    )


class BudgetLedger:
    """One member's parts of all budgets.  Every method takes the time of this member's clock.

    `size` members own a home part each; `span` is the longest time over which a rule sums up use, in seconds.
    """

    def __init__(self, size: int, span: float, draw: random.Random, now: float) -> None:
        self.home, self.span, self._draw = 1.0 / max(1, size), span, draw
        self._rest_from = now + span  # what the life before has used is out of the span
        self._whole_from = now + LOAN * (1 + RATE_ERROR) + span  # what the life before has lent is back
        self._budgets: dict[str, _Budget] = {}

    def part(self, now: float, key: str) -> float:
        """The part of the whole that this member may use now."""
        budget = self._budgets.get(key)
        rest, whole = now >= self._rest_from, now >= self._whole_from
        own = self.home * (rest * (1.0 - LENT_MOST) + whole * LENT_MOST)
        if budget is None:
            return own
        borrowed = sum(part for part, begin, end in budget.borrowed.values() if begin <= now < end)
        return max(0.0, own - self._lent(now, budget)) + borrowed

    @property
    def keys(self) -> KeysView[str]:
        """The budgets of which something is needed, lent or borrowed."""
        return self._budgets.keys()

    def whole(self, now: float) -> bool:
        """Whether this member may use, and lend, all of its home part."""
        return now >= self._whole_from

    def set_need(self, key: str, need: float) -> None:
        """How large a part this member could use; 0 forgets the budget once nothing of it is out."""
        self._budgets.setdefault(key, _Budget()).need = max(0.0, min(1.0, need))

    def asks(self, now: float, peers: list[str]) -> list[tuple[str, BudgetRequest]]:
        """Whom to ask for what, if anything is short.  Called often; paces itself."""
        found: list[tuple[str, BudgetRequest]] = []
        chosen: list[str] = []  # the same for all budgets: their asks share datagrams
        for key, budget in list(self._budgets.items()):
            self._tidy(now, key, budget)
            short = budget.need - self.home - sum(part for part, _, _ in budget.borrowed.values())
            if now >= budget.asked_at + ASK_EVERY and short > -LEAST:
                ending = [loan for loan, (_, _, end) in budget.borrowed.items() if end < now + RENEW * LOAN]
                found += [
                    (lender, self._ask(now, key, budget, budget.borrowed[lender, number][0], number))
                    for lender, number in ending
                ]
            if short < LEAST * self.home or now < budget.asked_at + ASK_EVERY or not peers:
                continue
            chosen = chosen or self._draw.sample(peers, min(ASKED, len(peers)))
            ask = self._ask(now, key, budget, short / len(chosen))
            found += [(peer, ask) for peer in chosen]
        return found

    def _ask(self, now: float, key: str, budget: _Budget, want: float, loan: int = 0) -> BudgetRequest:
        budget.asked_at = now
        number = 1 + self._draw.getrandbits(32)
        budget.asks[number] = now, set(), loan
        return BudgetRequest(key, number, want, loan)

    def asked(self, now: float, borrower: str, ask: BudgetRequest) -> BudgetGrant | None:
        """Lend what is not needed here, or for longer; None if that is too little."""
        if ask.key in self._budgets:
            self._tidy(now, ask.key, self._budgets[ask.key])
        budget = self._budgets.setdefault(ask.key, _Budget())
        same = budget.lent.get((borrower, ask.number))
        if same is not None:  # the ask came twice: the borrower takes one answer only
            return BudgetGrant(ask.key, ask.number, same[0])
        spare = min(LENT_MOST * self.home, self.home - KEEP * budget.need) - self._lent(now, budget)
        old = budget.lent.get((borrower, ask.loan), (0.0, 0.0))[0]
        part = old if old and spare >= 0 else min(ask.want, spare)
        if now < self._whole_from or part < LEAST * self.home:
            return None
        until = now + LOAN * (1 + RATE_ERROR) + self.span
        budget.lent[borrower, ask.loan if old else ask.number] = part, until
        return BudgetGrant(ask.key, ask.number, part)

    def granted(self, now: float, lender: str, grant: BudgetGrant) -> bool:
        """Take a loan; whether it counts."""
        budget = self._budgets.get(grant.key)
        when, answered, loan = (budget and budget.asks.get(grant.number)) or (0.0, {lender}, 0)
        if lender in answered or not 0.0 < grant.part <= LENT_MOST * self.home + 1e-12:
            return False
        answered.add(lender)
        end = when + LOAN * (1 - RATE_ERROR)
        old = budget.borrowed.get((lender, loan))
        if old is not None and old[0] == grant.part:
            budget.borrowed[lender, loan] = grant.part, old[1], end
        elif now + self.span < end:
            budget.borrowed[lender, loan or grant.number] = grant.part, now + self.span, end
        return True

    @staticmethod
    def _lent(now: float, budget: _Budget) -> float:
        return sum(part for part, until in budget.lent.values() if now < until)

    def _tidy(self, now: float, key: str, budget: _Budget) -> None:
        """Forget what has run out."""
        budget.lent = {loan: lent for loan, lent in budget.lent.items() if now < lent[1]}
        budget.borrowed = {loan: lent for loan, lent in budget.borrowed.items() if now < lent[2]}
        budget.asks = {number: ask for number, ask in budget.asks.items() if now < ask[0] + LOAN}
        if not (budget.need or budget.lent or budget.borrowed or budget.asks):
            self._budgets.pop(key, None)
