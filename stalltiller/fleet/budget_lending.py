"""Lending of shared budgets between the members of a fleet, by need.  No I/O.

Each member owns an equal fraction of every budget, its allotment, by the fleet size that the operator set.  A
member that needs more sends requests to others, which lend what they do not need.  For any loss, delay,
duplication, partition and restart, the fractions that all members may use at one time, or within one
accounting window of the budget's rule, never add up to more than the budget:

- A lender stops using what it lends before the grant is sent.  The borrower begins one window after it
  received the grant, and the lender reclaims the loan one window after it has expired, so that no window sees
  the same fraction used twice.
- No clocks are compared.  A loan lasts LOAN_SECONDS from when the borrower sent its request (by its clock,
  less its possible rate error) and, for the lender, from when it received the request (by its clock, plus
  that error), which is later.
- A grant counts only for the request it answers, and once a lender: a duplicated or late one adds nothing.
- At most MAX_LENT_FRACTION of an allotment is ever lent.  A restarted member uses nothing for one window,
  then what is never lent, until all loans of the process before have expired: a restart forgets loans, and
  budget is never created by it.

A member that cannot reach any other is left with its allotment.
"""

from __future__ import annotations

import random
from collections.abc import KeysView
from dataclasses import dataclass, field

LOAN_SECONDS = 5.0  # long enough that renewals are rare, short enough that a lender's own need is met soon
CLOCK_RATE_ERROR_FRACTION = 0.01  # by which a second of a member's clock may be longer or shorter
MAX_LENT_FRACTION = 0.9  # of an allotment; what is never lent is all its owner has just after a restart
REQUEST_INTERVAL_SECONDS = 0.1  # between the requests for one budget
MAX_LENDERS_PER_REQUEST = 8  # a short need is met by few members; more would each lend too little
RENEWAL_FRACTION = 0.5  # of a loan's time that is left when the borrower requests its renewal
MIN_LOAN_FRACTION = 0.02  # of an allotment: a smaller loan is not worth a message
LENDER_RESERVE_FACTOR = 1.25  # times its own need that a lender reserves, as the need may grow
REQUEST_NUMBER_BITS = 32  # random, so that a restarted member does not repeat the numbers of before
FRACTION_TOLERANCE = 1e-12  # rounding of a float between lender and borrower
NEVER = -1e9  # seconds: long before any time of a clock


@dataclass(slots=True, frozen=True)
class BudgetRequest:
    """A borrower's request for a fraction (0 to 1) of a budget."""

    key: str
    number: int
    fraction: float
    renewed_loan: int = 0  # the number of the loan to be renewed; 0: a new loan


@dataclass(slots=True, frozen=True)
class BudgetGrant:
    """A lender's answer to a request: the fraction (0 to 1) of the budget that is lent."""

    key: str
    number: int
    fraction: float


@dataclass(slots=True, frozen=True)
class _LentLoan:
    """A loan as its lender sees it: the fraction is not used here until it is reclaimed."""

    fraction: float
    reclaimed_at: float


@dataclass(slots=True, frozen=True)
class _BorrowedLoan:
    """A loan as its borrower sees it: the fraction may be used between the two times."""

    fraction: float
    begins_at: float
    expires_at: float


@dataclass(slots=True)
class _PendingRequest:
    """A request that lenders may still answer."""

    sent_at: float
    renewed_loan: int
    answered_by: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _Budget:
    """One budget as a member sees it; loans are keyed by the other member and the loan's number."""

    need: float = 0.0  # fraction of the budget that this member could use
    requested_at: float = NEVER
    pending: dict[int, _PendingRequest] = field(default_factory=dict)
    lent: dict[tuple[str, int], _LentLoan] = field(default_factory=dict)
    borrowed: dict[tuple[str, int], _BorrowedLoan] = field(default_factory=dict)

    def lent_fraction(self, now: float) -> float:
        """The fraction of the budget that is lent to others."""
        return sum(loan.fraction for loan in self.lent.values() if now < loan.reclaimed_at)

    def remove_expired(self, now: float) -> None:
        """Forget loans and requests that have expired."""
        self.lent = {key: loan for key, loan in self.lent.items() if now < loan.reclaimed_at}
        self.borrowed = {key: loan for key, loan in self.borrowed.items() if now < loan.expires_at}
        self.pending = {
            number: request
            for number, request in self.pending.items()
            if now < request.sent_at + LOAN_SECONDS
        }

    def is_unused(self) -> bool:
        """Whether nothing of the budget is needed, lent, borrowed or requested."""
        return not (self.need or self.lent or self.borrowed or self.pending)


class BudgetLedger:
    """One member's loans of all budgets.  Every method takes the time of this member's clock, in seconds.

    `member_count` members own an allotment each; `window` is the longest time over which a budget's rule
    sums up use, in seconds.
    """

    def __init__(self, member_count: int, window: float, rng: random.Random, now: float) -> None:
        self.allotment = 1.0 / max(1, member_count)
        self.window = window
        self._rng = rng
        # What the process before this one has used is out of the window then, ...
        self._may_use_from = now + window
        # ... and what it has lent has expired at all borrowers then.
        self._may_lend_from = now + LOAN_SECONDS * (1 + CLOCK_RATE_ERROR_FRACTION) + window
        self._budgets: dict[str, _Budget] = {}

    def usable_fraction(self, now: float, key: str) -> float:
        """The fraction of the budget that this member may use now."""
        may_use = now >= self._may_use_from
        may_lend = now >= self._may_lend_from
        owned = self.allotment * (may_use * (1.0 - MAX_LENT_FRACTION) + may_lend * MAX_LENT_FRACTION)
        budget = self._budgets.get(key)
        if budget is None:
            return owned
        borrowed = sum(
            loan.fraction for loan in budget.borrowed.values() if loan.begins_at <= now < loan.expires_at
        )
        return max(0.0, owned - budget.lent_fraction(now)) + borrowed

    @property
    def keys(self) -> KeysView[str]:
        """The budgets of which something is needed, lent or borrowed."""
        return self._budgets.keys()

    def may_lend(self, now: float) -> bool:
        """Whether this member may use, and lend, all of its allotment."""
        return now >= self._may_lend_from

    def set_need(self, key: str, need: float) -> None:
        """Set the fraction that this member could use; 0 forgets the budget once its loans have expired."""
        self._budgets.setdefault(key, _Budget()).need = max(0.0, min(1.0, need))

    def due_requests(self, now: float, peers: list[str]) -> list[tuple[str, BudgetRequest]]:
        """The requests to send now, each with its lender.  It may be called often and limits its own rate."""
        requests: list[tuple[str, BudgetRequest]] = []
        lenders: list[str] = []  # the same for all budgets, so that their requests share datagrams
        for key, budget in list(self._budgets.items()):
            self._remove_expired(now, key, budget)
            borrowed = sum(loan.fraction for loan in budget.borrowed.values())
            missing = budget.need - self.allotment - borrowed
            if now >= budget.requested_at + REQUEST_INTERVAL_SECONDS and missing > -MIN_LOAN_FRACTION:
                requests += self._renewals(now, key, budget)
            too_early = now < budget.requested_at + REQUEST_INTERVAL_SECONDS  # also just after renewals
            if missing < MIN_LOAN_FRACTION * self.allotment or too_early or not peers:
                continue
            lenders = lenders or self._rng.sample(peers, min(MAX_LENDERS_PER_REQUEST, len(peers)))
            request = self._new_request(now, key, budget, missing / len(lenders))
            requests += [(lender, request) for lender in lenders]
        return requests

    def _renewals(self, now: float, key: str, budget: _Budget) -> list[tuple[str, BudgetRequest]]:
        """Requests to renew the loans that expire soon."""
        renew_before = now + RENEWAL_FRACTION * LOAN_SECONDS
        expiring = [
            (lender, number, loan.fraction)
            for (lender, number), loan in budget.borrowed.items()
            if loan.expires_at < renew_before
        ]
        return [
            (lender, self._new_request(now, key, budget, fraction, renewed_loan=number))
            for lender, number, fraction in expiring
        ]

    def _new_request(
        self, now: float, key: str, budget: _Budget, fraction: float, renewed_loan: int = 0
    ) -> BudgetRequest:
        budget.requested_at = now
        number = 1 + self._rng.getrandbits(REQUEST_NUMBER_BITS)
        budget.pending[number] = _PendingRequest(now, renewed_loan)
        return BudgetRequest(key, number, fraction, renewed_loan)

    def handle_request(self, now: float, borrower: str, request: BudgetRequest) -> BudgetGrant | None:
        """Lend what is not needed here, or renew a loan; None if that is too little to be lent."""
        if request.key in self._budgets:
            self._remove_expired(now, request.key, self._budgets[request.key])
        budget = self._budgets.setdefault(request.key, _Budget())
        duplicate = budget.lent.get((borrower, request.number))
        if duplicate is not None:  # the request was received twice: the borrower accepts one grant only
            return BudgetGrant(request.key, request.number, duplicate.fraction)
        lendable = min(
            MAX_LENT_FRACTION * self.allotment, self.allotment - LENDER_RESERVE_FACTOR * budget.need
        ) - budget.lent_fraction(now)
        renewed = budget.lent.get((borrower, request.renewed_loan))
        if renewed is not None and lendable >= 0:
            fraction = renewed.fraction
        else:
            fraction = min(request.fraction, lendable)
        if now < self._may_lend_from or fraction < MIN_LOAN_FRACTION * self.allotment:
            return None
        reclaimed_at = now + LOAN_SECONDS * (1 + CLOCK_RATE_ERROR_FRACTION) + self.window
        number = request.number if renewed is None else request.renewed_loan
        budget.lent[borrower, number] = _LentLoan(fraction, reclaimed_at)
        return BudgetGrant(request.key, request.number, fraction)

    def handle_grant(self, now: float, lender: str, grant: BudgetGrant) -> bool:
        """Accept a loan; return whether the grant counts."""
        budget = self._budgets.get(grant.key)
        request = budget.pending.get(grant.number) if budget is not None else None
        if budget is None or request is None or lender in request.answered_by:
            return False
        if not 0.0 < grant.fraction <= MAX_LENT_FRACTION * self.allotment + FRACTION_TOLERANCE:
            return False
        request.answered_by.add(lender)
        expires_at = request.sent_at + LOAN_SECONDS * (1 - CLOCK_RATE_ERROR_FRACTION)
        renewed = budget.borrowed.get((lender, request.renewed_loan))
        if renewed is not None and renewed.fraction == grant.fraction:
            loan = _BorrowedLoan(grant.fraction, renewed.begins_at, expires_at)
            budget.borrowed[lender, request.renewed_loan] = loan
        elif now + self.window < expires_at:
            number = request.renewed_loan or grant.number
            budget.borrowed[lender, number] = _BorrowedLoan(grant.fraction, now + self.window, expires_at)
        return True

    def _remove_expired(self, now: float, key: str, budget: _Budget) -> None:
        budget.remove_expired(now)
        if budget.is_unused():
            self._budgets.pop(key, None)
