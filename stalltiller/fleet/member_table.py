"""Members of a fleet and the table of what one member knows of all.  No I/O.

`Swim` owns the table; other parts only read it.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, replace
from typing import NamedTuple

Address = tuple[str, int]  # host and port, as the socket functions take them

UNKNOWN_INITIATOR_INDEX = -1


class MemberState(enum.IntEnum):
    """State of a member; of the same start time and incarnation, the higher value takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Precedence(NamedTuple):
    """What orders the updates on one member: the higher one takes precedence."""

    start_time_ms: int
    incarnation: int
    state: MemberState


@dataclass(slots=True, frozen=True)
class Member:
    """One member, as some member knows it.

    `start_time_ms` is the Unix time of its process's start: a restarted process has a later one under the
    same name.  `incarnation` is SWIM's counter: the member alone raises it, when it refutes a suspicion.
    """

    name: str
    address: Address
    zone: str = ""
    start_time_ms: int = 0
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
    protocol: int = 1
    load: int = 0  # open requests, for information: no part of the precedence
    reported_by: str = ""  # the member that suspects it or declared it dead
    initiator_index: int = UNKNOWN_INITIATOR_INDEX

    @property
    def precedence(self) -> Precedence:
        """What orders updates; it alone decides, so members that receive the same updates agree."""
        return Precedence(self.start_time_ms, self.incarnation, self.state)

    @property
    def is_running(self) -> bool:
        """Whether the member is alive or only suspected."""
        return self.state <= MemberState.SUSPECT

    def with_state(self, state: MemberState, reported_by: str = "") -> Member:
        """Return this member in another state, as reported by a member."""
        return replace(self, state=state, reported_by=reported_by)


class MemberTable:
    """What one member knows of all members, itself included; at most `max_members` names.

    A join semilattice: `merge` keeps the update of higher precedence, so the order of updates and their
    repetition make no difference.
    """

    def __init__(self, me: Member, max_members: int) -> None:
        self.me = me
        self.known: dict[str, Member] = {me.name: me}
        self.state_changed_at: dict[str, float] = {me.name: 0.0}  # on this member's clock
        self.rejected_count = 0  # names rejected as the table was full
        self._max_members = max_members
        self._running_others: list[Member] | None = None  # cache of `others`; None: to be computed

    def merge(self, now: float, update: Member) -> bool:
        """Merge an update on another member; return whether it changed the table.

        An unknown name is added only while it runs: dead and departed members would only come back.
        """
        known = self.known.get(update.name)
        if known is not None and update.precedence <= known.precedence:
            return False
        if known is None and not self._may_add(update):
            return False
        if known is None or known.state is not update.state or known.start_time_ms != update.start_time_ms:
            self.state_changed_at[update.name] = now
        self.known[update.name] = update
        self._running_others = None
        return True

    def _may_add(self, update: Member) -> bool:
        if not update.is_running:
            return False
        if len(self.known) >= self._max_members:
            self.rejected_count += 1
            return False
        return True

    def set_me(self, me: Member) -> None:
        """Replace the entry of this member itself."""
        self.me = me
        self.known[me.name] = me

    def remove(self, name: str) -> None:
        """Forget a member; raises KeyError if it is not known."""
        del self.known[name]
        del self.state_changed_at[name]
        self._running_others = None

    def update_load(self, name: str, start_time_ms: int, load: int) -> None:
        """Set a member's load as it reported it itself, unless the report is of another process."""
        known = self.known.get(name)
        if known is not None and known.start_time_ms == start_time_ms and known.load != load:
            self.known[name] = replace(known, load=load)
            self._running_others = None

    @property
    def others(self) -> list[Member]:
        """All other running members, suspected ones too, by name."""
        if self._running_others is None:
            self._running_others = [
                self.known[name]
                for name in sorted(self.known)
                if name != self.me.name and self.known[name].is_running
            ]
        return self._running_others

    @property
    def stopped_members(self) -> list[Member]:
        """The remembered members that are dead or have left, by name."""
        return [
            self.known[name]
            for name in sorted(self.known)
            if name != self.me.name and not self.known[name].is_running
        ]

    @property
    def running_count(self) -> int:
        """The number of running members, this one included."""
        return len(self.others) + 1
