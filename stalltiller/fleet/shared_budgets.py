"""What members share beside their membership: parts of budgets, and letters of their decision modules.

The only way from the request path to the fleet.  It never waits: `part` answers from what is lent already,
and a letter that can't be sent is lost, as the decision module takes for granted.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable

from stalltiller.fleet.budget_lending import BudgetGrant, BudgetLedger, BudgetRequest
from stalltiller.fleet.codec import MOST_PARTS
from stalltiller.fleet.member_table import Member
from stalltiller.fleet.membership_agent import MembershipAgent
from stalltiller.fleet.messages import Packet, PacketKind

LOOK_EVERY = 0.1  # s between looks at what is short
NEED_FOR = 3.0  # s for which a need counts after it was told: a thin stream tells of it now and then only
MOST_BUDGETS = 256  # kept at once; others get the home part
LETTERS_PER_S = 500  # sent; more are lost


class SharedBudgets:
    """One member's part in what the fleet shares.

    `size` members own an even part of each budget; `span` is the longest time over which a budget's rule sums
    up use, in seconds; `heard` is given the letters of other decision modules, with their positions.
    """

    def __init__(
        self, node: MembershipAgent, size: int, span: float, heard: Callable[[int, bytes], None]
    ) -> None:
        self._node, self._heard = node, heard
        self._loop = asyncio.get_running_loop()
        self._shares = BudgetLedger(size, span, random.Random(), self._loop.time())
        self._needs: dict[str, tuple[float, float]] = {}  # by budget: the part needed, and when it was told
        self._second, self._letters = 0, 0
        self.counts: Counter[str] = Counter()
        node.shared_budgets = self
        self._timer = self._loop.call_later(LOOK_EVERY, self._look)

    def budget_fraction(self, key: str, need: float) -> float:
        """The part of a budget that may be used now, for who could use that part of it."""
        now = self._loop.time()
        if key in self._needs or len(self._needs) < MOST_BUDGETS:
            self._needs[key] = need, now
        return self._shares.part(now, key)

    def send_peer_message(self, initiator_index: int | None, data: bytes) -> None:
        """Send a letter to the decision module of a position, or to all."""
        if int(self._loop.time()) != self._second:
            self._second, self._letters = int(self._loop.time()), 0
        for member in self._node.swim.table.others:
            if initiator_index is None or member.initiator_index == initiator_index:
                self._letters += 1
                if self._letters > LETTERS_PER_S:
                    self.counts["letters_lost"] += 1
                    return
                self._send(member, letter=data)

    def status(self) -> dict[str, object]:
        """What an operator may want to know: `whole` means that nothing may be lent from an earlier life."""
        whole = self._shares.whole(self._loop.time())
        return {"whole": whole, "budgets": len(self._shares.keys), **self.counts}

    def close(self) -> None:
        self._timer.cancel()

    def _look(self) -> None:
        self._timer = self._loop.call_later(LOOK_EVERY, self._look)
        now = self._loop.time()
        self._needs = {key: told for key, told in self._needs.items() if told[1] > now - NEED_FOR}
        for key in self._shares.keys - self._needs.keys():
            self._shares.set_need(key, 0.0)  # what is lent to this one runs out
        for key, (need, _) in self._needs.items():
            self._shares.set_need(key, need)
        others = {member.name: member for member in self._node.swim.table.others}
        asks = sorted(self._shares.asks(now, list(others)), key=lambda ask: ask[0])
        for name, group in itertools.groupby(asks, key=lambda ask: ask[0]):
            if name in others:  # who lent it may have gone
                self._parts(others[name], [ask for _, ask in group])

    def on_data(self, packet: Packet) -> None:
        """A datagram of kind COMMONS has come."""
        now, sender = self._loop.time(), packet.sender
        if packet.peer_message and sender.initiator_index >= 0:
            self._heard(sender.initiator_index, packet.peer_message)
        grants = []
        for part in packet.parts:
            if isinstance(part, BudgetGrant):
                self.counts["borrowed"] += self._shares.granted(now, sender.name, part)
            elif part.key in self._shares.keys or len(self._shares.keys) < MOST_BUDGETS:
                grants.append(self._shares.asked(now, f"{sender.name}/{sender.start_time_ms}", part))
        given = [grant for grant in grants if grant is not None]
        self.counts["lent"] += len(given)
        if given:
            self._parts(sender, given)

    def _parts(self, to: Member, parts: Iterable[BudgetRequest | BudgetGrant]) -> None:
        rest = iter(parts)
        while some := tuple(itertools.islice(rest, MOST_PARTS)):
            self._send(to, parts=some)

    def _send(
        self, to: Member, parts: tuple[BudgetRequest | BudgetGrant, ...] = (), letter: bytes = b""
    ) -> None:
        self._node.send(
            to.address,
            Packet(PacketKind.SHARED_BUDGETS, self._node.swim.me, parts=parts, peer_message=letter),
        )
