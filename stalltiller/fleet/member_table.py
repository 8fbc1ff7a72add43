"""Members of a fleet, and the table of one member's view of all of them.  No I/O.

`Swim` owns the table; other components only read it.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, replace
from typing import NamedTuple

Address = tuple[str, int]  # host and port, in the form that socket functions take

UNKNOWN_INITIATOR_INDEX = -1


class MemberState(enum.IntEnum):
    """State of a member; with equal start time and incarnation, the higher value takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Precedence(NamedTuple):
    """Sort key of updates about one member: the update with the greater key takes precedence."""

    start_time_ms: int
    incarnation: int
    state: MemberState


@dataclass(slots=True, frozen=True)
class Member:
    """The state of one member as some member knows it.

    `start_time_ms` is the Unix time at which its process started: after a restart, the same name has a later
    one.  `incarnation` is SWIM's counter, which only the member itself raises, to refute a suspicion.
    """

    name: str
    address: Address
    zone: str = ""
    start_time_ms: int = 0
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
    protocol: int = 1
    load: int = 0  # open requests; informational, not part of the precedence
    reported_by: str = ""  # name of the member that reported the suspicion or declared the death
    initiator_index: int = UNKNOWN_INITIATOR_INDEX

    @property
    def precedence(self) -> Precedence:
        """The only criterion that orders updates, so members that receive the same updates agree."""
        return Precedence(self.start_time_ms, self.incarnation, self.state)

    @property
    def is_running(self) -> bool:
        """Whether the member is alive or suspect."""
        return self.state <= MemberState.SUSPECT

    def with_state(self, state: MemberState, reported_by: str = "") -> Member:
        """Return a copy of this member in another state, as reported by member `reported_by`."""
        return replace(self, state=state, reported_by=reported_by)


class MemberTable:
    """One member's view of all members including itself; holds at most `max_members` names.

    The table is a join semilattice: `merge` keeps the update of higher precedence, so reordered and repeated
    updates give the same result.
    """

    def __init__(self, local_member: Member, max_members: int) -> None:
        self.local_member = local_member
        self.known: dict[str, Member] = {local_member.name: local_member}
        self.state_changed_at: dict[str, float] = {local_member.name: 0.0}  # on this member's clock
        self.rejected_count = 0  # updates with an unknown name, rejected because the table was full
        self._max_members = max_members
        # The cache of `other_running_members`; None: invalidated.
        self._other_running_members: list[Member] | None = None

    def merge(self, now: float, update: Member) -> bool:
        """Merge an update about another member; return whether it changed the table.

        An unknown name is added only if it is running: otherwise late updates would bring back members that
        are dead or have left and were already forgotten.
        """
        known = self.known.get(update.name)
        if known is not None and update.precedence <= known.precedence:
            return False
        if known is None and not self._may_add(update):
            return False
        if known is None or known.state is not update.state or known.start_time_ms != update.start_time_ms:
            self.state_changed_at[update.name] = now
        self.known[update.name] = update
        self._other_running_members = None
        return True

    def _may_add(self, update: Member) -> bool:
        if not update.is_running:
            return False
        if len(self.known) >= self._max_members:
            self.rejected_count += 1
            return False
        return True

    def set_local_member(self, local_member: Member) -> None:
        """Replace this member's own entry."""
        self.local_member = local_member
        self.known[local_member.name] = local_member

    def remove(self, name: str) -> None:
        """Forget a member; raises KeyError if it is not known."""
        del self.known[name]
        del self.state_changed_at[name]
        self._other_running_members = None

    def update_load(self, name: str, start_time_ms: int, load: int) -> None:
        """Set the load that a member reported of itself; ignored if another process of that name sent it."""
        known = self.known.get(name)
        if known is not None and known.start_time_ms == start_time_ms and known.load != load:
            self.known[name] = replace(known, load=load)
            self._other_running_members = None

    @property
    def other_running_members(self) -> list[Member]:
        """All other running members, including suspects, sorted by name."""
        if self._other_running_members is None:
            self._other_running_members = [
                self.known[name]
                for name in sorted(self.known)
                if name != self.local_member.name and self.known[name].is_running
            ]
        return self._other_running_members

    @property
    def stopped_members(self) -> list[Member]:
        """The known members that are dead or have left, sorted by name."""
        return [
            self.known[name]
            for name in sorted(self.known)
            if name != self.local_member.name and not self.known[name].is_running
        ]

    @property
    def running_count(self) -> int:
        """The number of running members, including this one."""
        return len(self.other_running_members) + 1
