"""Queue of membership updates to gossip, with a transmission count for each.  No I/O."""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass

from stalltiller.fleet.member_table import Member


@dataclass(slots=True)
class _QueuedUpdate:
    """A member's newest state and the number of packets that have carried it."""

    member: Member
    transmissions: int = 0


class GossipQueue:
    """Holds the newest update about each member until it has been sent a bounded number of times.

    An update is sent `retransmit_multiplier * ceil(log10(members + 1))` times: enough to reach all members
    with high probability, and no more, so that the gossip load of a member does not grow with the fleet
    (SWIM, section 4.1).
    """

    def __init__(self, retransmit_multiplier: int) -> None:
        self._retransmit_multiplier = retransmit_multiplier
        self._updates: dict[str, _QueuedUpdate] = {}

    def __len__(self) -> int:
        return len(self._updates)

    def add(self, member: Member) -> None:
        """Queue an update; it replaces a queued update about the same member."""
        self._updates[member.name] = _QueuedUpdate(member)

    def next_updates(self, max_updates: int, member_count: int) -> tuple[Member, ...]:
        """Return at most `max_updates` updates for one packet, the least transmitted first."""
        limit = self._retransmit_multiplier * math.ceil(math.log10(member_count + 1))
        queued = ((update.transmissions, name) for name, update in self._updates.items())
        selected = []
        for _, name in heapq.nsmallest(max_updates, queued):
            update = self._updates[name]
            selected.append(update.member)
            update.transmissions += 1
            if update.transmissions >= limit:
                del self._updates[name]
        return tuple(selected)
