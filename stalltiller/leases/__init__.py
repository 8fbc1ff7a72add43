"""Leases: roles that at most one initiator of a fleet holds at a time.

Some members of the fleet, the voters, replicate a log of lease commands by Raft and apply it to a state
machine.  `Raft`, `LeaseStateMachine`, `LeaseExpiryTracker`, `LeaseHolder` and `FencingTokenGuard` do no I/O;
`voter`, `store` and `client` connect them to the event loop and the disk.
"""

from stalltiller.leases.actions import (
    Action,
    ApplyEntry,
    PersistSnapshot,
    PersistState,
    RestoreSnapshot,
    SendMessage,
)
from stalltiller.leases.clock_rate import CLOCK_RATE_ERROR_FRACTION
from stalltiller.leases.expiry import LeaseExpiryTracker
from stalltiller.leases.fencing import FencingTokenGuard
from stalltiller.leases.holder import LeaseHolder
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
from stalltiller.leases.raft import Raft
from stalltiller.leases.raft_state import PersistentState, RaftTimeouts, Role, Snapshot
from stalltiller.leases.state_machine import Command, CommandKind, Lease, LeaseStateMachine, SessionResult

__all__ = [
    "CLOCK_RATE_ERROR_FRACTION",
    "Action",
    "AppendEntries",
    "AppendEntriesResponse",
    "ApplyEntry",
    "Command",
    "CommandKind",
    "FencingTokenGuard",
    "InstallSnapshot",
    "InstallSnapshotResponse",
    "Lease",
    "LeaseExpiryTracker",
    "LeaseHolder",
    "LeaseStateMachine",
    "LogEntry",
    "PersistSnapshot",
    "PersistState",
    "PersistentState",
    "Raft",
    "RaftMessage",
    "RaftTimeouts",
    "RequestVote",
    "RequestVoteResponse",
    "RestoreSnapshot",
    "Role",
    "SendMessage",
    "SessionResult",
    "Snapshot",
    "TimeoutNow",
]
