"""Consensus on a log of commands: Raft without I/O.

Source: Ongaro, Ousterhout, "In Search of an Understandable Consensus Algorithm"; pre-vote, check-quorum and
snapshots from Ongaro's thesis (9.6, 6.2, 5).  Each method takes the time and returns actions in order; what
stands behind a `Keep` or `Cut` may be done only once that is on the disk.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from stalltiller.leases.messages import (
    Action,
    Append,
    Appended,
    Apply,
    Cut,
    Entry,
    Hand,
    Install,
    Installed,
    Keep,
    Message,
    Restore,
    Send,
    Vote,
    Voted,
)

MOST_ENTRIES = 64  # in one message
PIECE = 900  # bytes of a state in one message


@dataclass(slots=True, frozen=True)
class Times:
    """In seconds.  An election begins after a time drawn between `election` and twice that."""

    heartbeat: float = 0.1
    election: float = 0.5


@dataclass(slots=True)
class _Peer:
    """A follower as its leader sees it."""

    next: int
    match: int = 0
    heard_at: float = 0.0
    have: tuple[int, int] = (0, 0)  # of the state up to an index, so many bytes


@dataclass(slots=True)
class Raft:
    """One voter.  `term`, `vote`, `log` and what is before it are what its disk held when it started.

    `log` begins after index `base`, whose entry was of `base_term`; `state` stands for all up to there.

    A voter that has lost its disk must not come back under its old name: it would vote twice in a term.
    """

    me: str
    voters: tuple[str, ...]
    draw: random.Random
    now: float
    times: Times = field(default_factory=Times)
    term: int = 0
    vote: str | None = None
    log: list[Entry] = field(default_factory=list)
    base: int = 0
    base_term: int = 0
    state: bytes = b""
    piece: int = PIECE
    role: str = "follower"  # follower, asking (pre-vote), candidate or leader
    leader: str | None = None
    commit: int = 0
    heard_at: float = float("-inf")  # of a leader
    going: bool = False  # a leader that hands the lead on as soon as another has its whole log
    _votes: set[str] = field(default_factory=set)
    _peers: dict[str, _Peer] = field(default_factory=dict)
    _due: float = 0.0
    _coming: tuple[int, bytes] = (0, b"")  # of a state that is sent: its index, and what has come
    _actions: list[Action] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.commit = self.base
        self._rest()

    @property
    def last(self) -> int:
        """The index of the last entry."""
        return self.base + len(self.log)

    def term_at(self, index: int) -> int:
        """The term of an entry from `base` to the last."""
        return self.log[index - self.base - 1].term if index > self.base else self.base_term

    @property
    def others(self) -> tuple[str, ...]:
        return tuple(voter for voter in self.voters if voter != self.me)

    @property
    def wake_at(self) -> float:
        """When `tick` wants to be called next."""
        return self._due

    # --- What comes in ----------------------------------------------------------------------------
    def tick(self, now: float) -> list[Action]:
        """Do what is due: heartbeats of a leader, an election where no leader is heard."""
        self.now = now
        if now >= self._due:
            if self.role == "leader":
                heard = sum(now - peer.heard_at < 2 * self.times.election for peer in self._peers.values())
                if not self._many(heard + 1):
                    self._follow(self.term)  # cut off: another may lead by now
                else:
                    self._spread()
            else:
                self._campaign(pre=True)
        return self._end()

    def propose(self, now: float, command: object) -> tuple[int | None, list[Action]]:
        """Put a command on the log; its index, None if this one does not lead."""
        self.now = now
        if self.role != "leader":
            return None, []
        self._add([Entry(self.term, command)], self.last)
        index = self.last
        self._spread()
        return index, self._end()

    def compact(self, now: float, index: int, state: bytes) -> list[Action]:
        """Let a state stand for all entries up to a committed index, and cut these off."""
        self.now = now
        if self.base < index <= self.commit:
            term = self.term_at(index)
            del self.log[: index - self.base]
            self.base, self.base_term, self.state = index, term, state
            self._actions.append(Cut(index, term, state))
        return self._end()

    def step(self, now: float, sender: str, message: Message) -> list[Action]:
        """A message of another voter has come."""
        self.now = now
        if sender not in self.voters:
            return []
        if isinstance(message, Vote):
            self._asked(sender, message)
        else:
            pre = isinstance(message, Voted) and message.pre
            if message.term > self.term and not (pre and message.granted):
                self._follow(message.term)
            if message.term >= self.term:
                if isinstance(message, Voted):
                    self._voted(sender, message)
                elif isinstance(message, Append):
                    self._append(sender, message)
                elif isinstance(message, Install):
                    self._install(sender, message)
                elif isinstance(message, Hand):
                    if sender == self.leader and self.role == "follower":
                        self._campaign(pre=False, handed=True)
                else:
                    self._appended(sender, message)
            elif isinstance(message, Append | Install):
                self._send(sender, Appended(self.term, False, 0))
        return self._end()

    def hand_over(self, now: float) -> list[Action]:
        """Hand the lead on, if this one leads: it ends, or leaves."""
        self.now, self.going = now, self.role == "leader"
        self._hand()
        return self._end()

    # --- Elections ----------------------------------------------------------------------------------
    def _campaign(self, pre: bool, handed: bool = False) -> None:
        if not pre:
            self.term, self.vote = self.term + 1, self.me
            self._keep(self.last)
        self.role, self.leader, self._votes = "asking" if pre else "candidate", None, {self.me}
        self._rest()
        if self._many(1):
            self._won(pre)
            return
        for other in self.others:
            self._send(other, Vote(self.term + pre, pre, self.last, self.term_at(self.last), handed))

    def _asked(self, sender: str, ask: Vote) -> None:
        """Give a vote to whose log is as far as this one's, unless a leader was heard just now: one that
        comes back from a cut must not unseat it."""
        heard = self.now - self.heard_at < self.times.election or self.role == "leader"
        if heard and not ask.handed:
            if ask.term <= self.term or not ask.pre:
                self._send(sender, Voted(self.term, ask.pre, False))
            return
        if ask.term > self.term and not ask.pre:
            self._follow(ask.term)
        mine = self.term_at(self.last), self.last
        good = ask.term >= self.term and (ask.last_term, ask.last_index) >= mine
        if ask.pre:
            self._send(sender, Voted(ask.term if good else self.term, True, good))
            return
        good = good and ask.term == self.term and self.vote in (None, sender)
        if good and self.vote is None:
            self.vote = sender
            self._keep(self.last)
        if good:
            self._rest()
        self._send(sender, Voted(self.term, False, good))

    def _voted(self, sender: str, voted: Voted) -> None:
        wanted = ("asking", self.term + 1) if voted.pre else ("candidate", self.term)
        if voted.granted and (self.role, voted.term) == wanted:
            self._votes.add(sender)
            if self._many(len(self._votes)):
                self._won(voted.pre)

    def _won(self, pre: bool) -> None:
        if pre:
            self._campaign(pre=False)
            return
        self.role, self.leader, self.going = "leader", self.me, False
        self._peers = {other: _Peer(self.last + 1, heard_at=self.now) for other in self.others}
        self._add([Entry(self.term)], self.last)  # commits what earlier terms have left
        self._spread()

    def _follow(self, term: int) -> None:
        if term > self.term:
            self.term, self.vote = term, None
            self._keep(self.last)
        self.role, self.leader = "follower", None
        self._rest()

    # --- The log ------------------------------------------------------------------------------------
    def _spread(self) -> None:
        """Send each follower what it lacks, or a heartbeat."""
        for other in self.others:
            self._feed(other)
        self._due = self.now + self.times.heartbeat
        self._advance()

    def _feed(self, other: str) -> None:
        peer = self._peers[other]
        index = peer.next - 1
        if index < self.base:  # what it lacks is cut off
            offset = peer.have[1] if peer.have[0] == self.base else 0
            self._send(
                other,
                Install(
                    self.term,
                    self.base,
                    self.base_term,
                    offset,
                    len(self.state),
                    self.state[offset : offset + self.piece],
                ),
            )
            return
        entries = tuple(self.log[index - self.base : index - self.base + MOST_ENTRIES])
        self._send(other, Append(self.term, index, self.term_at(index), entries, self.commit))

    def _led(self, sender: str) -> None:
        """This term's leader has spoken."""
        if self.role != "follower":
            self._follow(self.term)
        self.leader, self.heard_at = sender, self.now
        self._rest()

    def _append(self, sender: str, message: Append) -> None:
        """Take a leader's entries where they join what is here."""
        self._led(sender)
        index, match = message.index, message.index + len(message.entries)
        if index > self.last or (index >= self.base and self.term_at(index) != message.index_term):
            self._send(sender, Appended(self.term, False, min(index - 1, self.last)))
            return
        fresh = min(max(0, self.base - index), len(message.entries))  # what is cut off is the same: committed
        while (
            fresh < len(message.entries)
            and index + fresh < self.last
            and self.term_at(index + fresh + 1) == message.entries[fresh].term
        ):
            fresh += 1
        if fresh < len(message.entries):
            self._add(message.entries[fresh:], index + fresh)
        self._committed(min(message.commit, match))
        self._send(sender, Appended(self.term, True, match))

    def _install(self, sender: str, message: Install) -> None:
        """Take a piece of a state; once it is whole it stands for all entries up to its index."""
        self._led(sender)
        if message.index <= self.commit:
            self._send(sender, Appended(self.term, True, message.index))
            return
        index, had = self._coming
        if index != message.index:
            had = b""
        if message.offset == len(had):
            had += message.data
        self._coming = message.index, had
        if len(had) < message.total:
            self._send(sender, Installed(self.term, message.index, len(had)))
            return
        self._coming = 0, b""
        agrees = message.index <= self.last and self.term_at(message.index) == message.index_term
        self.log = self.log[message.index - self.base :] if agrees else []
        self.base, self.base_term, self.state = message.index, message.index_term, had
        self.commit = message.index
        self._actions += [
            Cut(message.index, message.index_term, had, not agrees),
            Restore(message.index, had),
        ]
        self._send(sender, Appended(self.term, True, message.index))

    def _appended(self, sender: str, message: Appended | Installed) -> None:
        peer = self._peers.get(sender)
        if self.role != "leader" or peer is None:
            return
        peer.heard_at = self.now
        if isinstance(message, Installed):
            peer.have = message.index, min(message.have, len(self.state))
        elif message.good:
            peer.match = max(peer.match, message.match)
            peer.next = max(peer.next, message.match + 1)
            self._advance()
        else:
            peer.next = max(peer.match + 1, min(peer.next - 1, message.match + 1))
        if peer.next <= self.last:
            self._feed(sender)
        self._hand()

    def _hand(self) -> None:
        """Hand the lead to one that has the whole log: whoever has less could not win."""
        ready = [other for other, peer in self._peers.items() if peer.match == self.last]
        if self.going and self.role == "leader" and ready:
            self.going = False
            self._send(self.draw.choice(ready), Hand(self.term))

    def _advance(self) -> None:
        """Commit what most voters hold, if it is of this term: earlier terms' entries may still be cut."""
        if self.role != "leader":
            return
        matches = sorted([self.last, *(peer.match for peer in self._peers.values())], reverse=True)
        index = matches[len(self.voters) // 2]
        if index > self.commit and self.term_at(index) == self.term:
            self._committed(index)

    def _committed(self, index: int) -> None:
        while self.commit < index:
            self.commit += 1
            self._actions.append(Apply(self.commit, self.log[self.commit - self.base - 1]))

    def _add(self, entries: Iterable[Entry], length: int) -> None:
        del self.log[length - self.base :]
        entries = tuple(entries)
        self.log += entries
        self._keep(length, entries)

    # --- Small things -------------------------------------------------------------------------------
    def _many(self, count: int) -> bool:
        return count > len(self.voters) // 2

    def _rest(self) -> None:
        self._due = self.now + self.times.election * (1 + self.draw.random())

    def _keep(self, length: int, entries: tuple[Entry, ...] = ()) -> None:
        self._actions.append(Keep(self.term, self.vote, length, entries))

    def _send(self, to: str, message: Message) -> None:
        self._actions.append(Send(to, message))

    def _end(self) -> list[Action]:
        actions, self._actions = self._actions, []
        return actions
