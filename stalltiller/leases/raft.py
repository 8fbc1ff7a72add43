"""Consensus on a log of commands: one Raft voter without I/O and without a clock.

Each method takes the time and returns the actions that the voter must execute in order; an action after a
`PersistState` or a `PersistSnapshot` must wait until that one is durable.

Source: Ongaro, Ousterhout, "In Search of an Understandable Consensus Algorithm"; pre-vote, check-quorum,
snapshots and leadership transfer from Ongaro's thesis (9.6, 6.2, 5, 3.10).
"""

from __future__ import annotations

import random

from stalltiller.leases.actions import Action
from stalltiller.leases.elections import Elections
from stalltiller.leases.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
    LogEntry,
    RaftMessage,
    RequestVote,
    RequestVoteResponse,
    TimeoutNow,
)
from stalltiller.leases.raft_state import PersistentState, RaftState, RaftTimeouts, Role, Snapshot
from stalltiller.leases.replication import Replication
from stalltiller.leases.snapshots import DEFAULT_SNAPSHOT_CHUNK_BYTES, SnapshotTransfer


class Raft:
    """One voter, started from its persisted state.

    A voter that has lost its disk must not restart under its old name: it could vote twice in a term.
    """

    def __init__(
        self,
        name: str,
        voters: tuple[str, ...],
        rng: random.Random,
        now: float,
        persistent_state: PersistentState,
        snapshot: Snapshot | None = None,
        timeouts: RaftTimeouts | None = None,
        snapshot_chunk_bytes: int = DEFAULT_SNAPSHOT_CHUNK_BYTES,
    ) -> None:
        """`now` is in seconds on the clock of all later calls."""
        snapshot = snapshot or Snapshot()
        self._state = RaftState(
            name,
            voters,
            rng,
            now,
            timeouts or RaftTimeouts(),
            persistent_state.term,
            persistent_state.voted_for,
            list(persistent_state.entries),
            snapshot.last_index,
            snapshot.last_term,
            snapshot.state,
        )
        self._snapshots = SnapshotTransfer(self._state, snapshot_chunk_bytes)
        self._replication = Replication(self._state, self._snapshots)
        self._elections = Elections(self._state, self._replication.become_leader)

    # --- Status ---------------------------------------------------------------------------------------
    @property
    def role(self) -> Role:
        """This voter's role."""
        return self._state.role

    @property
    def term(self) -> int:
        """The current term."""
        return self._state.term

    @property
    def leader(self) -> str | None:
        """The current term's leader, if this voter knows it."""
        return self._state.leader

    @property
    def log(self) -> list[LogEntry]:
        """The entries after the snapshot."""
        return self._state.log

    @property
    def snapshot_index(self) -> int:
        """The index of the last entry that the snapshot includes."""
        return self._state.snapshot_index

    @property
    def commit_index(self) -> int:
        """The index of the last committed entry."""
        return self._state.commit_index

    @property
    def timer_at(self) -> float:
        """When `tick` must be called next."""
        return self._state.timer_at

    # --- Events ---------------------------------------------------------------------------------------
    def tick(self, now: float) -> list[Action]:
        """Handle a due timer: a leader sends heartbeats or steps down, another voter starts an election."""
        self._state.now = now
        if now >= self._state.timer_at:
            if self._state.role is not Role.LEADER:
                self._elections.start_pre_vote()
            elif self._replication.has_quorum_contact():
                self._replication.broadcast()
            else:  # partitioned: the other voters may have elected a new leader
                self._state.become_follower(self._state.term)
        return self._state.drain_actions()

    def propose(self, now: float, command: object) -> tuple[int | None, list[Action]]:
        """Append a command to the log.

        Returns the entry's index, or None if this voter does not lead, and the actions.
        """
        self._state.now = now
        if self._state.role is not Role.LEADER:
            return None, []
        self._state.append([LogEntry(self._state.term, command)], self._state.last_index)
        index = self._state.last_index
        self._replication.broadcast()
        return index, self._state.drain_actions()

    def compact(self, now: float, index: int, snapshot: bytes) -> list[Action]:
        """Replace the entries up to a committed index with the state machine's state after them."""
        self._state.now = now
        self._snapshots.compact(index, snapshot)
        return self._state.drain_actions()

    def step(self, now: float, sender: str, message: RaftMessage) -> list[Action]:
        """Handle a message from another voter."""
        self._state.now = now
        if sender not in self._state.voters:
            return []
        if isinstance(message, RequestVote):
            self._elections.handle_request(sender, message)
            return self._state.drain_actions()
        if message.term > self._state.term and not _is_granted_pre_vote(message):
            self._state.become_follower(message.term)
        if message.term >= self._state.term:
            self._handle_current_message(sender, message)
        elif isinstance(message, AppendEntries | InstallSnapshot):  # a former leader must learn the term
            self._state.send(sender, AppendEntriesResponse(self._state.term, False, 0))
        return self._state.drain_actions()

    def transfer_leadership(self, now: float) -> list[Action]:
        """Transfer the leadership, if this voter leads, as soon as another voter has the whole log."""
        self._state.now = now
        self._state.transferring_leadership = self._state.role is Role.LEADER
        self._replication.continue_leadership_transfer()
        return self._state.drain_actions()

    def _handle_current_message(self, sender: str, message: RaftMessage) -> None:
        """Handle a message whose term is not outdated."""
        if isinstance(message, RequestVoteResponse):
            self._elections.handle_response(sender, message)
        elif isinstance(message, AppendEntries):
            self._replication.handle_append_entries(sender, message)
        elif isinstance(message, InstallSnapshot):
            self._snapshots.handle_install_snapshot(sender, message)
        elif isinstance(message, TimeoutNow):
            self._elections.handle_timeout_now(sender)
        elif isinstance(message, AppendEntriesResponse | InstallSnapshotResponse):
            self._replication.handle_response(sender, message)


def _is_granted_pre_vote(message: RaftMessage) -> bool:
    """Whether a message grants a pre-vote; its term is that of an election that has not started."""
    return isinstance(message, RequestVoteResponse) and message.is_pre_vote and message.is_granted
