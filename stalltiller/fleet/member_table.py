"""Members of a fleet and what may be said of them.  Pure."""

from __future__ import annotations

import enum
from dataclasses import dataclass, replace

Address = tuple[str, int]


class State(enum.IntEnum):
    """What is known of a member; of the same life and incarnation, the higher one holds."""

    ALIVE, SUSPECT, DEAD, LEFT = range(4)


@dataclass(slots=True, frozen=True)
class Member:
    """One member, as somebody knows it.

    `start` is the Unix time of its process's start in milliseconds: a restarted process is a new life of the
    same name.  `incarnation` is raised by the member alone, when it refutes what is said of it.
    """

    name: str
    address: Address
    zone: str = ""
    start_time_ms: int = 0
    incarnation: int = 0
    state: State = State.ALIVE
    protocol: int = 1
    load: int = 0  # requests open there, for information: no part of the order
    by: str = ""  # who suspects it or took it for dead
    initiator_index: int = -1  # its number among the decision modules; -1: not told

    @property
    def order(self) -> tuple[int, int, State]:
        """What is said of a name is ordered by this alone, so members that hear the same agree."""
        return self.start_time_ms, self.incarnation, self.state

    @property
    def running(self) -> bool:
        return self.state <= State.SUSPECT

    def now(self, state: State, by: str = "") -> Member:
        return replace(self, state=state, by=by)


class MemberTable:
    """What one member knows of all others and of itself; bounded.

    A join semilattice: `put` keeps the higher of two words on a name, so the order in which news come, and
    how often, makes no difference.
    """

    def __init__(self, me: Member, most: int) -> None:
        self.me, self._most = me, most
        self.known: dict[str, Member] = {me.name: me}
        self.since: dict[str, float] = {me.name: 0.0}  # when the state was learnt, on this member's clock
        self.refused = 0  # names not taken in because the table was full
        self._running: list[Member] | None = None  # the others that run, by name, as long as it holds

    def put(self, now: float, word: Member) -> bool:
        """Take a word on another member; whether it is news.

        A name not known is taken in only while it runs: what is dead or has left would only come back.
        """
        old = self.known.get(word.name)
        if old is not None and word.order <= old.order:
            return False
        if old is None:
            if not word.running:
                return False
            if len(self.known) >= self._most:
                self.refused += 1
                return False
        if old is None or old.state is not word.state or old.start_time_ms != word.start_time_ms:
            self.since[word.name] = now
        self.known[word.name], self._running = word, None
        return True

    def set_me(self, me: Member) -> None:
        self.me = self.known[me.name] = me

    def drop(self, name: str) -> None:
        del self.known[name], self.since[name]
        self._running = None

    def load(self, name: str, start: int, load: int) -> None:
        """A member's load, from itself."""
        known = self.known.get(name)
        if known is not None and known.start_time_ms == start and known.load != load:
            self.known[name], self._running = replace(known, load=load), None

    @property
    def others(self) -> list[Member]:
        """All others that run, suspects too, by name."""
        if self._running is None:
            self._running = [
                self.known[name]
                for name in sorted(self.known)
                if name != self.me.name and self.known[name].running
            ]
        return self._running

    @property
    def ended(self) -> list[Member]:
        """Those that are dead or have left and are still remembered, by name."""
        return [
            self.known[name]
            for name in sorted(self.known)
            if name != self.me.name and not self.known[name].running
        ]

    @property
    def size(self) -> int:
        """Members that run, this one too."""
        return len(self.others) + 1
