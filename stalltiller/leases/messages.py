"""The log entries and the messages that Raft voters exchange: immutable values without behaviour.

The names are those of the Raft papers; `codec` encodes them.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class LogEntry:
    """One entry of the replicated log; the first entry of a leader's term has no command."""

    term: int
    command: object = None


@dataclass(slots=True, frozen=True)
class RequestVote:
    """Requests a vote in the election of `term`.

    With `is_pre_vote` it only checks whether the vote would be granted; no voter's term changes.  With
    `is_leadership_transfer` the leader itself has requested the election, so a voter grants its vote even if
    it has just received a message from that leader.
    """

    term: int
    is_pre_vote: bool
    last_log_index: int
    last_log_term: int
    is_leadership_transfer: bool = False


@dataclass(slots=True, frozen=True)
class RequestVoteResponse:
    """Whether the vote, or the pre-vote, is granted."""

    term: int
    is_pre_vote: bool
    is_granted: bool


@dataclass(slots=True, frozen=True)
class AppendEntries:
    """The leader's entries after `previous_index` and its commit index; without entries, a heartbeat."""

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int


@dataclass(slots=True, frozen=True)
class AppendEntriesResponse:
    """Whether the entries were appended.

    `match_index` is the last index at which the follower's log is known to agree with the leader's; after a
    failure it is the index after which the leader may retry.
    """

    term: int
    is_success: bool
    match_index: int


@dataclass(slots=True, frozen=True)
class InstallSnapshot:
    """A chunk of the snapshot that replaces all entries up to `snapshot_index`.

    A leader sends it if it has already compacted the follower's next entry.  `offset` is the position of
    `data` in the snapshot and `total_bytes` the snapshot's size, both in bytes.
    """

    term: int
    snapshot_index: int
    snapshot_term: int
    offset: int
    total_bytes: int
    data: bytes


@dataclass(slots=True, frozen=True)
class InstallSnapshotResponse:
    """How many bytes of the snapshot up to `snapshot_index` the follower has received."""

    term: int
    snapshot_index: int
    bytes_received: int


@dataclass(slots=True, frozen=True)
class TimeoutNow:
    """Transfers the leadership: the receiver has the whole log and immediately starts an election."""

    term: int


RaftMessage = (
    RequestVote
    | RequestVoteResponse
    | AppendEntries
    | AppendEntriesResponse
    | InstallSnapshot
    | InstallSnapshotResponse
    | TimeoutNow
)
