"""Raft's log compaction and the transfer of snapshots to followers that lack compacted entries.

Each voter compacts its own log.  Source: Ongaro's thesis, section 5.
"""

from __future__ import annotations

from stalltiller.leases.actions import PersistSnapshot, RestoreSnapshot
from stalltiller.leases.messages import (
    AppendEntriesResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
    LogEntry,
)
from stalltiller.leases.raft_state import RaftState, Snapshot

DEFAULT_SNAPSHOT_CHUNK_BYTES = 900  # a chunk with its message and packet headers fits in one datagram


class SnapshotTransfer:
    """Compacts a voter's log to snapshots, sends them in chunks and installs those that a leader sends."""

    def __init__(self, state: RaftState, chunk_bytes: int) -> None:
        self._state = state
        self._chunk_bytes = chunk_bytes
        self._incoming_index = 0  # last index of the snapshot that a leader is sending
        self._incoming_data = b""

    def compact(self, index: int, snapshot: bytes) -> None:
        """Replace the entries up to a committed index with the state machine's state after them."""
        state = self._state
        if not state.snapshot_index < index <= state.commit_index:
            return
        term = state.term_at(index)
        self._replace_log(Snapshot(index, term, snapshot), state.log[index - state.snapshot_index :])
        state.add_actions(PersistSnapshot(index, term, snapshot))

    def send_chunk(self, follower: str) -> None:
        """Send a follower the next chunk of the snapshot after the bytes that it has confirmed."""
        state = self._state
        progress = state.followers[follower].snapshot
        offset = progress.bytes_received if progress.snapshot_index == state.snapshot_index else 0
        chunk = InstallSnapshot(
            state.term,
            state.snapshot_index,
            state.snapshot_term,
            offset,
            len(state.snapshot),
            state.snapshot[offset : offset + self._chunk_bytes],
        )
        state.send(follower, chunk)

    def handle_install_snapshot(self, sender: str, message: InstallSnapshot) -> None:
        """Receive a chunk; install the snapshot once all of it has been received."""
        state = self._state
        state.observe_leader(sender)
        if message.snapshot_index <= state.commit_index:
            state.send(sender, AppendEntriesResponse(state.term, True, message.snapshot_index))
            return
        self._receive_chunk(message)
        bytes_received = len(self._incoming_data)
        if bytes_received < message.total_bytes:
            state.send(sender, InstallSnapshotResponse(state.term, message.snapshot_index, bytes_received))
            return
        self._install_snapshot(Snapshot(message.snapshot_index, message.snapshot_term, self._incoming_data))
        state.send(sender, AppendEntriesResponse(state.term, True, message.snapshot_index))

    def _receive_chunk(self, message: InstallSnapshot) -> None:
        if self._incoming_index != message.snapshot_index:
            self._incoming_data = b""
        self._incoming_index = message.snapshot_index
        if message.offset == len(self._incoming_data):
            self._incoming_data += message.data

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        """Install a snapshot; later entries stay if the log contains the snapshot's last entry."""
        self._incoming_index = 0
        self._incoming_data = b""
        state = self._state
        is_consistent = (
            snapshot.last_index <= state.last_index
            and state.term_at(snapshot.last_index) == snapshot.last_term
        )
        self._replace_log(
            snapshot, state.log[snapshot.last_index - state.snapshot_index :] if is_consistent else []
        )
        state.commit_index = snapshot.last_index
        state.add_actions(
            PersistSnapshot(
                snapshot.last_index, snapshot.last_term, snapshot.state, discard_log=not is_consistent
            ),
            RestoreSnapshot(snapshot.last_index, snapshot.state),
        )

    def _replace_log(self, snapshot: Snapshot, log: list[LogEntry]) -> None:
        self._state.log = log
        self._state.snapshot_index = snapshot.last_index
        self._state.snapshot_term = snapshot.last_term
        self._state.snapshot = snapshot.state
