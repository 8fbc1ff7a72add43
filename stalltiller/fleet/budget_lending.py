"""Lends shared budgets between the members of a fleet according to their need.  No I/O.

Each member owns an equal fraction of every budget, its allotment, given by the fleet size that the operator
configured.  A member that needs more requests loans from others, which lend what they do not need.  Under any
loss, delay, duplication, partition and restart, the fractions that all members may use at one time, or within
one accounting window of the budget's rule, never add up to more than the budget:

- A lender stops using what it lends before it sends the grant.  The borrower starts to use the loan one
  window after it received the grant, and the lender reclaims it one window after it has expired, so the same
  fraction is never used twice within one window.
- Clocks of different members are not compared.  For the borrower, a loan lasts LOAN_SECONDS from sending the
  request (on its clock, less the clock's rate error); for the lender, from receiving the request, which is
  later (on its clock, plus that error).
- A grant counts only for its own request, and once for each lender: duplicated and late grants add nothing.
- At most MAX_LENT_FRACTION of an allotment is ever lent.  A restarted member has forgotten its loans.  So
  that a restart never creates budget, it uses nothing for one window, and then only the part that is never
  lent, until all loans of the earlier process have expired.

A member that cannot reach any other member keeps its allotment.
"""

from __future__ import annotations

import random
from collections.abc import KeysView
from dataclasses import dataclass, field

LOAN_SECONDS = 5.0  # long enough that renewals are rare, short enough that lenders soon get their budget back
CLOCK_RATE_ERROR_FRACTION = 0.01  # maximum rate error of a member's clock, in either direction
# At most this fraction of an allotment is lent; the rest is all that its owner has just after a restart.
MAX_LENT_FRACTION = 0.9
REQUEST_INTERVAL_SECONDS = 0.1  # minimum interval between requests for the same budget
MAX_LENDERS_PER_REQUEST = 8  # few members suffice for a short need; more would each lend too little
RENEWAL_FRACTION = 0.5  # the borrower requests a renewal when this fraction of the loan's duration is left
MIN_LOAN_FRACTION = 0.02  # fraction of an allotment; a smaller loan is not worth a message
LENDER_RESERVE_FACTOR = 1.25  # a lender reserves this multiple of its own need, as the need may grow
REQUEST_NUMBER_BITS = 32  # random, so that a restarted member does not reuse its earlier numbers
FRACTION_TOLERANCE = 1e-12  # allows for floating-point rounding between lender and borrower
NEVER_REQUESTED_AT = -1e9  # in seconds; earlier than any reading of a member's clock


@dataclass(slots=True, frozen=True)
class BudgetRequest:
    """A borrower's request for a fraction (0 to 1) of a budget."""

    key: str
    number: int
    fraction: float
    renewed_loan: int = 0  # the number of the loan to renew; 0: a new loan


@dataclass(slots=True, frozen=True)
class BudgetGrant:
    """A lender's response to a request: the fraction (0 to 1) of the budget that it lends."""

    key: str
    number: int
    fraction: float


@dataclass(slots=True, frozen=True)
class _LentLoan:
    """A loan on the lender's side: the lender does not use the fraction until `reclaimed_at`."""

    fraction: float
    reclaimed_at: float


@dataclass(slots=True, frozen=True)
class _BorrowedLoan:
    """A loan on the borrower's side, which may use the fraction between the two times."""

    fraction: float
    begins_at: float
    expires_at: float


@dataclass(slots=True)
class _PendingRequest:
    """A request for which lenders may still send grants."""

    sent_at: float
    renewed_loan: int
    granted_by: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _Budget:
    """A member's state for one budget; loans are keyed by the other member and the loan's number."""

    need: float = 0.0  # fraction of the budget that this member could use
    requested_at: float = NEVER_REQUESTED_AT
    pending: dict[int, _PendingRequest] = field(default_factory=dict)
    lent: dict[tuple[str, int], _LentLoan] = field(default_factory=dict)
    borrowed: dict[tuple[str, int], _BorrowedLoan] = field(default_factory=dict)

    def lent_fraction(self, now: float) -> float:
        """Return the fraction of the budget that is lent to others."""
        return sum(loan.fraction for loan in self.lent.values() if now < loan.reclaimed_at)

    def remove_expired(self, now: float) -> None:
        """Remove loans and requests that have expired."""
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
    """One member's loans of all budgets.  Times are in seconds on this member's clock.

    Each of `member_count` members owns an allotment; `window` is the longest accounting window of a budget's
    rule, in seconds.
    """

    def __init__(self, member_count: int, window: float, rng: random.Random, now: float) -> None:
        self.allotment = 1.0 / max(1, member_count)
        self.window = window
        self._rng = rng
        # From this time, all use by an earlier process is out of the window.
        self._may_use_from = now + window
        # From this time, all loans granted by an earlier process have expired at their borrowers.
        self._may_lend_from = now + LOAN_SECONDS * (1 + CLOCK_RATE_ERROR_FRACTION) + window
        self._budgets: dict[str, _Budget] = {}

    def usable_fraction(self, now: float, key: str) -> float:
        """Return the fraction of the budget that this member may use now."""
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
        """The budgets that this member needs, lends, borrows or has requested."""
        return self._budgets.keys()

    def may_lend(self, now: float) -> bool:
        """Return whether this member may lend, and may use its whole allotment."""
        return now >= self._may_lend_from

    def set_need(self, key: str, need: float) -> None:
        """Set the fraction that this member could use; at 0, the budget is removed after its loans expire."""
        self._budgets.setdefault(key, _Budget()).need = max(0.0, min(1.0, need))

    def due_requests(self, now: float, peers: list[str]) -> list[tuple[str, BudgetRequest]]:
        """Return the requests to send now, each with its lender; the ledger limits the rate of requests."""
        requests: list[tuple[str, BudgetRequest]] = []
        lenders: list[str] = []  # the same lenders for all budgets, so that requests share datagrams
        for key, budget in list(self._budgets.items()):
            self._remove_expired(now, key, budget)
            borrowed = sum(loan.fraction for loan in budget.borrowed.values())
            shortfall = budget.need - self.allotment - borrowed
            if now >= budget.requested_at + REQUEST_INTERVAL_SECONDS and shortfall > -MIN_LOAN_FRACTION:
                requests += self._renewals(now, key, budget)
            is_rate_limited = now < budget.requested_at + REQUEST_INTERVAL_SECONDS  # renewals count as well
            if shortfall < MIN_LOAN_FRACTION * self.allotment or is_rate_limited or not peers:
                continue
            lenders = lenders or self._rng.sample(peers, min(MAX_LENDERS_PER_REQUEST, len(peers)))
            request = self._new_request(now, key, budget, shortfall / len(lenders))
            requests += [(lender, request) for lender in lenders]
        return requests

    def _renewals(self, now: float, key: str, budget: _Budget) -> list[tuple[str, BudgetRequest]]:
        """Return requests to renew the loans that expire soon."""
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
        """Lend what this member does not need, or renew a loan; return None if that is too little to lend."""
        if request.key in self._budgets:
            self._remove_expired(now, request.key, self._budgets[request.key])
        budget = self._budgets.setdefault(request.key, _Budget())
        duplicate = budget.lent.get((borrower, request.number))
        if duplicate is not None:  # a duplicated request: the borrower accepts only one grant
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
        if budget is None or request is None or lender in request.granted_by:
            return False
        if not 0.0 < grant.fraction <= MAX_LENT_FRACTION * self.allotment + FRACTION_TOLERANCE:
            return False
        request.granted_by.add(lender)
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
