"""Raft's log replication: the leader's messages to its followers, their appends, and the commit index.

Source: Ongaro's thesis, sections 3.5, 3.6 and, for leadership transfer, 3.10.
"""

from __future__ import annotations

from stalltiller.leases.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshotResponse,
    LogEntry,
    TimeoutNow,
)
from stalltiller.leases.raft_state import FollowerProgress, RaftState, Role, SnapshotProgress
from stalltiller.leases.snapshots import SnapshotTransfer

MAX_ENTRIES_PER_MESSAGE = 64
QUORUM_CHECK_ELECTION_TIMEOUTS = 2  # a leader without responses from a quorum for this long steps down


class Replication:
    """Replicates the log as the leader and accepts a leader's entries as a follower."""

    def __init__(self, state: RaftState, snapshots: SnapshotTransfer) -> None:
        self._state = state
        self._snapshots = snapshots

    # --- The leader's side ----------------------------------------------------------------------------
    def become_leader(self) -> None:
        """Become the leader; the commit of the term's first entry also commits those of earlier terms."""
        state = self._state
        state.role = Role.LEADER
        state.leader = state.name
        state.transferring_leadership = False
        state.followers = {
            voter: FollowerProgress(state.last_index + 1, last_response_at=state.now)
            for voter in state.other_voters
        }
        state.append([LogEntry(state.term)], state.last_index)
        self.broadcast()

    def has_quorum_contact(self) -> bool:
        """Whether a majority, this leader included, has responded recently."""
        state = self._state
        max_silence = QUORUM_CHECK_ELECTION_TIMEOUTS * state.timeouts.election
        responding = sum(
            state.now - progress.last_response_at < max_silence for progress in state.followers.values()
        )
        return state.is_quorum(responding + 1)

    def broadcast(self) -> None:
        """Send each follower the entries that it lacks, or a heartbeat."""
        state = self._state
        for voter in state.other_voters:
            self._send_entries(voter)
        state.timer_at = state.now + state.timeouts.heartbeat
        self._advance_commit_index()

    def handle_response(self, sender: str, response: AppendEntriesResponse | InstallSnapshotResponse) -> None:
        """Record a follower's progress and send it the entries that it lacks."""
        state = self._state
        progress = state.followers.get(sender)
        if state.role is not Role.LEADER or progress is None:
            return
        progress.last_response_at = state.now
        if isinstance(response, InstallSnapshotResponse):
            bytes_received = min(response.bytes_received, len(state.snapshot))
            progress.snapshot = SnapshotProgress(response.snapshot_index, bytes_received)
        elif response.is_success:
            progress.match_index = max(progress.match_index, response.match_index)
            progress.next_index = max(progress.next_index, response.match_index + 1)
            self._advance_commit_index()
        else:
            retry_index = min(progress.next_index - 1, response.match_index + 1)
            progress.next_index = max(progress.match_index + 1, retry_index)
        if progress.next_index <= state.last_index:
            self._send_entries(sender)
        self.continue_leadership_transfer()

    def continue_leadership_transfer(self) -> None:
        """Perform a requested leadership transfer once a follower has the whole log.

        A follower with a shorter log might not be elected.
        """
        state = self._state
        up_to_date = [
            voter for voter, progress in state.followers.items() if progress.match_index == state.last_index
        ]
        if state.transferring_leadership and state.role is Role.LEADER and up_to_date:
            state.transferring_leadership = False
            state.send(state.rng.choice(up_to_date), TimeoutNow(state.term))

    def _send_entries(self, follower: str) -> None:
        state = self._state
        previous_index = state.followers[follower].next_index - 1
        if previous_index < state.snapshot_index:  # the entries that the follower lacks are compacted
            self._snapshots.send_chunk(follower)
            return
        start = previous_index - state.snapshot_index
        entries = tuple(state.log[start : start + MAX_ENTRIES_PER_MESSAGE])
        message = AppendEntries(
            state.term, previous_index, state.term_at(previous_index), entries, state.commit_index
        )
        state.send(follower, message)

    def _advance_commit_index(self) -> None:
        """Commit the entries that a majority has, if the last of them is of this term.

        Entries of earlier terms alone may still be replaced.
        """
        state = self._state
        if state.role is not Role.LEADER:
            return
        follower_match_indices = (progress.match_index for progress in state.followers.values())
        match_indices = sorted([state.last_index, *follower_match_indices], reverse=True)
        majority_index = match_indices[len(state.voters) // 2]
        if majority_index > state.commit_index and state.term_at(majority_index) == state.term:
            state.commit_through(majority_index)

    # --- The follower's side --------------------------------------------------------------------------
    def handle_append_entries(self, sender: str, message: AppendEntries) -> None:
        """Append a leader's entries if the log before them matches the leader's."""
        state = self._state
        state.observe_leader(sender)
        previous_index = message.previous_index
        if not self._is_consistent(message):
            retry_from = min(previous_index - 1, state.last_index)
            state.send(sender, AppendEntriesResponse(state.term, False, retry_from))
            return
        known = self._count_known_entries(message)
        if known < len(message.entries):
            state.append(message.entries[known:], previous_index + known)
        match_index = previous_index + len(message.entries)
        state.commit_through(min(message.commit_index, match_index))
        state.send(sender, AppendEntriesResponse(state.term, True, match_index))

    def _is_consistent(self, message: AppendEntries) -> bool:
        state = self._state
        if message.previous_index > state.last_index:
            return False
        if message.previous_index < state.snapshot_index:
            return True  # compacted entries are committed, so the leader has them, too
        return state.term_at(message.previous_index) == message.previous_term

    def _count_known_entries(self, message: AppendEntries) -> int:
        """How many of a message's entries the log already contains."""
        state = self._state
        previous_index = message.previous_index
        known = min(max(0, state.snapshot_index - previous_index), len(message.entries))
        while (
            known < len(message.entries)
            and previous_index + known < state.last_index
            and state.term_at(previous_index + known + 1) == message.entries[known].term
        ):
            known += 1
        return known
