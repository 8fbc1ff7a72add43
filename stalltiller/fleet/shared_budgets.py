"""Sends and receives budget loans and scheduler messages in the fleet's datagrams.

This is the request path's only interface to the fleet, and it never waits: `budget_fraction` returns what the
current loans allow, and a peer message that cannot be sent is lost, which the scheduler allows for.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from operator import itemgetter

from stalltiller.fleet.budget_lending import BudgetGrant, BudgetLedger, BudgetRequest
from stalltiller.fleet.codec import MAX_BUDGET_MESSAGES
from stalltiller.fleet.member_table import Member
from stalltiller.fleet.membership_agent import MembershipAgent
from stalltiller.fleet.messages import Packet, PacketKind
from stalltiller.fleet.rate_limiter import PerSecondLimiter
from stalltiller.fleet.status import SharedBudgetsStatus

LOAN_REQUEST_INTERVAL_SECONDS = 0.1  # between checks for budgets that need loans
NEED_LIFETIME_SECONDS = 3.0  # a reported need stays valid this long, as sparse requests report it rarely
MAX_BUDGETS = 256  # tracked in the ledger; each member uses its allotment of any other budget
MAX_PEER_MESSAGES_PER_SECOND = 500  # messages above this rate are not sent


@dataclass(slots=True, frozen=True)
class _ReportedNeed:
    """The fraction of a budget that the request path could use, and when it reported this."""

    fraction: float
    reported_at: float


class SharedBudgets:
    """Exchanges budget loans and scheduler messages with the other members.

    Each of `member_count` members owns an equal fraction of each budget; `window` is the longest accounting
    window of a budget's rule, in seconds; `on_peer_message` receives the initiator index of each sender and
    the message of its scheduler.
    """

    def __init__(
        self,
        agent: MembershipAgent,
        member_count: int,
        window: float,
        on_peer_message: Callable[[int, bytes], None],
    ) -> None:
        self._agent = agent
        self._on_peer_message = on_peer_message
        self._loop = asyncio.get_running_loop()
        self._ledger = BudgetLedger(member_count, window, random.Random(), self._loop.time())
        self._needs: dict[str, _ReportedNeed] = {}
        self._peer_message_limiter = PerSecondLimiter(MAX_PEER_MESSAGES_PER_SECOND)
        self.counts: Counter[str] = Counter()
        agent.handlers[PacketKind.SHARED_BUDGETS] = self._handle_packet
        agent.shared_budgets_status = self.status
        self._timer = self._loop.call_later(LOAN_REQUEST_INTERVAL_SECONDS, self._request_loans)

    def budget_fraction(self, key: str, need: float) -> float:
        """Return the fraction of a budget that may be used now; the caller could use the fraction `need`."""
        now = self._loop.time()
        if key in self._needs or len(self._needs) < MAX_BUDGETS:
            self._needs[key] = _ReportedNeed(need, now)
        return self._ledger.usable_fraction(now, key)

    def send_peer_message(self, initiator_index: int | None, data: bytes) -> None:
        """Send a message to the scheduler of one initiator, or of all (None); it may be lost."""
        now = self._loop.time()
        for member in self._agent.swim.table.other_running_members:
            if initiator_index is None or member.initiator_index == initiator_index:
                if not self._peer_message_limiter.allow(now):
                    self.counts["letters_lost"] += 1
                    return
                self._send(member, peer_message=data)

    def status(self) -> SharedBudgetsStatus:
        """Return the state of this member's loans."""
        may_lend = self._ledger.may_lend(self._loop.time())
        return SharedBudgetsStatus(may_lend, len(self._ledger.keys), dict(self.counts))

    def close(self) -> None:
        """Stop requesting loans; loans already granted expire."""
        self._timer.cancel()

    def _request_loans(self) -> None:
        """Update the needs in the ledger and send the loan requests that are due."""
        self._timer = self._loop.call_later(LOAN_REQUEST_INTERVAL_SECONDS, self._request_loans)
        now = self._loop.time()
        self._update_needs(now)
        others = {member.name: member for member in self._agent.swim.table.other_running_members}
        requests = sorted(self._ledger.due_requests(now, list(others)), key=itemgetter(0))
        for lender, group in itertools.groupby(requests, key=itemgetter(0)):
            if lender in others:  # the lender of a loan to renew may have stopped
                self._send_budget_messages(others[lender], [request for _, request in group])

    def _update_needs(self, now: float) -> None:
        oldest = now - NEED_LIFETIME_SECONDS
        self._needs = {key: need for key, need in self._needs.items() if need.reported_at > oldest}
        for key in self._ledger.keys - self._needs.keys():
            self._ledger.set_need(key, 0.0)  # its loans are no longer renewed
        for key, need in self._needs.items():
            self._ledger.set_need(key, need.fraction)

    def _handle_packet(self, packet: Packet) -> None:
        """Handle a datagram of kind SHARED_BUDGETS."""
        now = self._loop.time()
        sender = packet.sender
        if packet.peer_message and sender.initiator_index >= 0:
            self._on_peer_message(sender.initiator_index, packet.peer_message)
        # Includes the start time, since a restarted borrower has forgotten its loans.
        borrower = f"{sender.name}/{sender.start_time_ms}"
        grants = []
        for message in packet.budget_messages:
            if isinstance(message, BudgetGrant):
                self.counts["borrowed"] += self._ledger.handle_grant(now, sender.name, message)
            elif message.key in self._ledger.keys or len(self._ledger.keys) < MAX_BUDGETS:
                grant = self._ledger.handle_request(now, borrower, message)
                if grant is not None:
                    grants.append(grant)
        self.counts["lent"] += len(grants)
        if grants:
            self._send_budget_messages(sender, grants)

    def _send_budget_messages(self, to: Member, messages: Iterable[BudgetRequest | BudgetGrant]) -> None:
        """Send messages, split into as many datagrams as needed."""
        remaining = iter(messages)
        while batch := tuple(itertools.islice(remaining, MAX_BUDGET_MESSAGES)):
            self._send(to, budget_messages=batch)

    def _send(
        self,
        to: Member,
        budget_messages: tuple[BudgetRequest | BudgetGrant, ...] = (),
        peer_message: bytes = b"",
    ) -> None:
        packet = Packet(
            PacketKind.SHARED_BUDGETS,
            self._agent.swim.local_member,
            budget_messages=budget_messages,
            peer_message=peer_message,
        )
        self._agent.send(to.address, packet)
