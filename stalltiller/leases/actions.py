"""The actions that `Raft` returns, which its voter executes in order: immutable values without behaviour.

An action that follows a `PersistState` or a `PersistSnapshot` must wait until that one is durable.
"""

from __future__ import annotations

from dataclasses import dataclass

from stalltiller.leases.messages import LogEntry, RaftMessage


@dataclass(slots=True, frozen=True)
class PersistState:
    """Persist the term, the vote and the log.

    Entries after `last_retained_index` are deleted, then `entries` are appended.
    """

    term: int
    voted_for: str | None
    last_retained_index: int
    entries: tuple[LogEntry, ...]


@dataclass(slots=True, frozen=True)
class PersistSnapshot:
    """Persist a snapshot, which replaces all entries up to `index`.

    `term` is the term of the entry at `index`.  If `discard_log` is set, later entries are deleted, too.
    """

    index: int
    term: int
    state: bytes
    discard_log: bool = False


@dataclass(slots=True, frozen=True)
class RestoreSnapshot:
    """Replace the state machine's state with a snapshot's, which includes all entries up to `index`."""

    index: int
    state: bytes


@dataclass(slots=True, frozen=True)
class SendMessage:
    """Send a message to another voter."""

    to: str
    message: RaftMessage


@dataclass(slots=True, frozen=True)
class ApplyEntry:
    """Apply the committed entry at `index` to the state machine."""

    index: int
    entry: LogEntry


Action = PersistState | PersistSnapshot | RestoreSnapshot | SendMessage | ApplyEntry
