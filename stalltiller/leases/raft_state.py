"""The state of one Raft voter, shared by its elections, its replication and its snapshots.

`Raft` owns the only instance.  The operations here are those that more than one of these concerns needs;
they collect the actions that the voter must execute, in order.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from stalltiller.leases.actions import Action, ApplyEntry, PersistState, SendMessage
from stalltiller.leases.messages import LogEntry, RaftMessage


class Role(StrEnum):
    """A voter's role; the values are shown to operators."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"
    CANDIDATE = "candidate"
    LEADER = "leader"


class PersistentState(NamedTuple):
    """A voter's persisted state besides the snapshot: its term, its vote and the later entries."""

    term: int = 0
    voted_for: str | None = None
    entries: Sequence[LogEntry] = ()


class Snapshot(NamedTuple):
    """The state after all entries up to `last_index`; `last_term` is the term of the entry at that index."""

    last_index: int = 0
    last_term: int = 0
    state: bytes = b""


@dataclass(slots=True, frozen=True)
class RaftTimeouts:
    """Durations in seconds.

    A voter that receives no message from a leader for a random time between `election` and twice that
    duration starts an election.
    """

    heartbeat: float = 0.1
    election: float = 0.5


class SnapshotProgress(NamedTuple):
    """How many bytes of the snapshot up to `snapshot_index` a follower has confirmed."""

    snapshot_index: int = 0
    bytes_received: int = 0


@dataclass(slots=True)
class FollowerProgress:
    """A leader's knowledge of one follower's log and snapshot."""

    next_index: int
    match_index: int = 0
    last_response_at: float = 0.0
    snapshot: SnapshotProgress = field(default_factory=SnapshotProgress)


@dataclass(slots=True)
class RaftState:
    """Persistent and volatile state of one voter; times are in seconds on the caller's clock.

    `log` holds the entries after `snapshot_index`; `snapshot` includes all entries up to it.
    """

    name: str
    voters: tuple[str, ...]
    rng: random.Random
    now: float
    timeouts: RaftTimeouts
    term: int
    voted_for: str | None
    log: list[LogEntry]
    snapshot_index: int
    snapshot_term: int
    snapshot: bytes
    role: Role = Role.FOLLOWER
    leader: str | None = None
    last_leader_contact_at: float = float("-inf")
    commit_index: int = 0
    timer_at: float = 0.0
    followers: dict[str, FollowerProgress] = field(default_factory=dict)
    transferring_leadership: bool = False
    _actions: list[Action] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.commit_index = self.snapshot_index
        self.reset_election_timer()

    # --- Queries --------------------------------------------------------------------------------------
    @property
    def last_index(self) -> int:
        """The index of the last entry of the log."""
        return self.snapshot_index + len(self.log)

    @property
    def last_term(self) -> int:
        """The term of the last entry of the log."""
        return self.term_at(self.last_index)

    @property
    def other_voters(self) -> tuple[str, ...]:
        """The names of all voters but this one."""
        return tuple(voter for voter in self.voters if voter != self.name)

    def term_at(self, index: int) -> int:
        """The term of an entry; `index` lies between `snapshot_index` and `last_index`."""
        if index <= self.snapshot_index:
            return self.snapshot_term
        return self.log[index - self.snapshot_index - 1].term

    def is_quorum(self, count: int) -> bool:
        """Whether `count` voters are a majority."""
        return count > len(self.voters) // 2

    # --- Roles and timers -----------------------------------------------------------------------------
    def become_follower(self, term: int) -> None:
        """Step down, or enter a newer term whose leader isn't known yet."""
        if term > self.term:
            self.term = term
            self.voted_for = None
            self.persist_vote()
        self.role = Role.FOLLOWER
        self.leader = None
        self.reset_election_timer()

    def observe_leader(self, leader: str) -> None:
        """Record contact with the leader of the current term."""
        if self.role is not Role.FOLLOWER:
            self.become_follower(self.term)
        self.leader = leader
        self.last_leader_contact_at = self.now
        self.reset_election_timer()

    def reset_election_timer(self) -> None:
        """Restart the election timer with a new random timeout."""
        self.timer_at = self.now + self.timeouts.election * (1 + self.rng.random())

    # --- The log --------------------------------------------------------------------------------------
    def append(self, entries: Iterable[LogEntry], last_retained_index: int) -> None:
        """Append entries after `last_retained_index`; existing entries after it are replaced."""
        del self.log[last_retained_index - self.snapshot_index :]
        entries = tuple(entries)
        self.log += entries
        self._actions.append(PersistState(self.term, self.voted_for, last_retained_index, entries))

    def persist_vote(self) -> None:
        """Persist the term and the vote; the log does not change."""
        self._actions.append(PersistState(self.term, self.voted_for, self.last_index, ()))

    def commit_through(self, index: int) -> None:
        """Commit and apply all entries up to an index."""
        while self.commit_index < index:
            self.commit_index += 1
            entry = self.log[self.commit_index - self.snapshot_index - 1]
            self._actions.append(ApplyEntry(self.commit_index, entry))

    # --- Actions --------------------------------------------------------------------------------------
    def send(self, receiver: str, message: RaftMessage) -> None:
        """Add the action that sends a message to another voter."""
        self._actions.append(SendMessage(receiver, message))

    def add_actions(self, *actions: Action) -> None:
        """Add actions for the voter to execute."""
        self._actions += actions

    def drain_actions(self) -> list[Action]:
        """Return and clear the collected actions, in order."""
        actions = self._actions
        self._actions = []
        return actions
