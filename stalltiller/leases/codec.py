"""The encoding of the messages between voters and clients of leases, and of a voter's stored state.

The messages are protocol buffers that each fit in one datagram; decoding checks bounds.  No I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import IntEnum

from google.protobuf.message import DecodeError

from stalltiller.leases import leases_pb2 as pb
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
from stalltiller.leases.state_machine import Command, CommandKind, Lease, LeaseStateMachine, SessionResult

MAX_MESSAGE_BYTES = 1200  # fits in one datagram together with the fleet's packet header
MAX_NAME_CHARACTERS = 64
MAX_TTL_SECONDS = 86400.0


@dataclass(slots=True, frozen=True)
class CommandRequest:
    """A client's command, sent to a voter."""

    command: Command


@dataclass(slots=True, frozen=True)
class CommandResponse:
    """The fencing token that the client holds after its command, 0 if it holds none."""

    session: str
    number: int
    token: int


@dataclass(slots=True, frozen=True)
class NotLeader:
    """The voter that received a command is not the leader; `leader` names the one it knows, or is empty."""

    session: str
    number: int
    leader: str


Message = RaftMessage | CommandRequest | CommandResponse | NotLeader


class MessageKind(IntEnum):
    """The kinds of messages; the values are sent."""

    REQUEST_VOTE = 1
    REQUEST_VOTE_RESPONSE = 2
    APPEND_ENTRIES = 3
    APPEND_ENTRIES_RESPONSE = 4
    COMMAND_REQUEST = 5
    COMMAND_RESPONSE = 6
    NOT_LEADER = 7
    INSTALL_SNAPSHOT = 8
    INSTALL_SNAPSHOT_RESPONSE = 9
    TIMEOUT_NOW = 10


class MalformedMessageError(ValueError):
    """Received or stored bytes are not a valid message; `reason` names the invalid part."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


# --- Log entries and the state machine --------------------------------------------------------------------
def encode_entry(entry: LogEntry) -> bytes:
    """Encode a log entry for a voter's store."""
    return _entry_to_pb(entry).SerializeToString()


def decode_entry(data: bytes) -> LogEntry:
    """Decode a stored log entry; raises MalformedMessageError if its command is out of bounds."""
    return _entry_from_pb(pb.LogEntry.FromString(data))


def encode_state_machine(state_machine: LeaseStateMachine) -> bytes:
    """Encode the whole state for a snapshot."""
    state = pb.State()
    for name, lease in state_machine.leases.items():
        state.leases.add(
            name=name,
            holder=lease.holder,
            token=lease.token,
            ttl=lease.ttl,
            renewal_index=lease.renewal_index,
        )
    for name, result in state_machine.sessions.items():
        state.sessions.add(name=name, number=result.number, token=result.token)
    return state.SerializeToString()


def decode_state_machine(data: bytes) -> LeaseStateMachine:
    """Decode the state in a snapshot; empty bytes give the empty state.  Raises MalformedMessageError."""
    state = pb.State()
    try:
        state.ParseFromString(data)
    except DecodeError as error:
        raise MalformedMessageError("state") from error
    return LeaseStateMachine(
        {
            lease.name: Lease(lease.holder, lease.token, lease.ttl, lease.renewal_index)
            for lease in state.leases
        },
        {session.name: SessionResult(session.number, session.token) for session in state.sessions},
    )


def _command_to_pb(command: Command) -> pb.Command:
    return pb.Command(
        kind=command.kind,
        lease=command.lease,
        holder=command.holder,
        ttl=command.ttl,
        token=command.token,
        renewal_index=command.renewal_index,
        session=command.session,
        number=command.number,
    )


def _command_from_pb(command: pb.Command) -> Command:
    _check_name_lengths("command", (command.kind, command.lease, command.holder, command.session))
    if not 0.0 <= command.ttl <= MAX_TTL_SECONDS:
        raise MalformedMessageError("command")
    return Command(
        _command_kind(command.kind),
        command.lease,
        command.holder,
        command.ttl,
        command.token,
        command.renewal_index,
        command.session,
        command.number,
    )


def _command_kind(kind: str) -> CommandKind | str:
    """A command's kind; an unknown kind stays a string, so that the log is the same on every voter."""
    return CommandKind(kind) if kind in _COMMAND_KINDS else kind


_COMMAND_KINDS = frozenset(kind.value for kind in CommandKind)


def _entry_to_pb(entry: LogEntry) -> pb.LogEntry:
    encoded = pb.LogEntry(term=entry.term)
    if entry.command is None:
        return encoded
    if not isinstance(entry.command, Command):
        raise TypeError(f"not a lease command: {entry.command!r}")
    encoded.command.CopyFrom(_command_to_pb(entry.command))
    return encoded


def _entry_from_pb(entry: pb.LogEntry) -> LogEntry:
    command = _command_from_pb(entry.command) if entry.HasField("command") else None
    return LogEntry(entry.term, command)


def _check_name_lengths(reason: str, names: Iterable[str]) -> None:
    if max(map(len, names)) > MAX_NAME_CHARACTERS:
        raise MalformedMessageError(reason)


# --- Messages ---------------------------------------------------------------------------------------------
def encode(message: Message) -> bytes:
    """Encode a message; `AppendEntries` gets only as many entries as fit into `MAX_MESSAGE_BYTES`."""
    encoder: Callable[[Message], pb.Message] = _ENCODERS[type(message)]
    return encoder(message).SerializeToString()


def decode(data: bytes) -> Message:
    """Decode a message; raises MalformedMessageError."""
    encoded = pb.Message()
    try:
        encoded.ParseFromString(data)
    except DecodeError as error:
        raise MalformedMessageError("malformed") from error
    _check_name_lengths("text", (encoded.session, encoded.leader))
    entries = tuple(_entry_from_pb(entry) for entry in encoded.entries)
    match encoded.kind:
        case MessageKind.APPEND_ENTRIES:
            return AppendEntries(
                encoded.term, encoded.index, encoded.index_term, entries, encoded.commit_index
            )
        case MessageKind.COMMAND_REQUEST:
            return CommandRequest(_command_from_pb(encoded.command))
        case MessageKind.COMMAND_RESPONSE:
            return CommandResponse(encoded.session, encoded.number, encoded.token)
        case MessageKind.NOT_LEADER:
            return NotLeader(encoded.session, encoded.number, encoded.leader)
    return _decode_raft_message(encoded)


def _decode_raft_message(encoded: pb.Message) -> RaftMessage:
    """Decode a Raft message that carries no entries."""
    term = encoded.term
    match encoded.kind:
        case MessageKind.REQUEST_VOTE:
            return RequestVote(term, encoded.is_pre_vote, encoded.index, encoded.index_term, encoded.flag)
        case MessageKind.REQUEST_VOTE_RESPONSE:
            return RequestVoteResponse(term, encoded.is_pre_vote, encoded.flag)
        case MessageKind.APPEND_ENTRIES_RESPONSE:
            return AppendEntriesResponse(term, encoded.flag, encoded.index)
        case MessageKind.INSTALL_SNAPSHOT:
            return InstallSnapshot(
                term,
                encoded.index,
                encoded.index_term,
                encoded.offset,
                encoded.total_bytes,
                encoded.data,
            )
        case MessageKind.INSTALL_SNAPSHOT_RESPONSE:
            return InstallSnapshotResponse(term, encoded.index, encoded.offset)
        case MessageKind.TIMEOUT_NOW:
            return TimeoutNow(term)
    raise MalformedMessageError("kind")


def _encode_request_vote(message: RequestVote) -> pb.Message:
    return pb.Message(
        kind=MessageKind.REQUEST_VOTE,
        term=message.term,
        is_pre_vote=message.is_pre_vote,
        index=message.last_log_index,
        index_term=message.last_log_term,
        flag=message.is_leadership_transfer,
    )


def _encode_request_vote_response(message: RequestVoteResponse) -> pb.Message:
    return pb.Message(
        kind=MessageKind.REQUEST_VOTE_RESPONSE,
        term=message.term,
        is_pre_vote=message.is_pre_vote,
        flag=message.is_granted,
    )


def _encode_append_entries(message: AppendEntries) -> pb.Message:
    encoded = pb.Message(
        kind=MessageKind.APPEND_ENTRIES,
        term=message.term,
        index=message.previous_index,
        index_term=message.previous_term,
        commit_index=message.commit_index,
    )
    for entry in message.entries:
        encoded.entries.append(_entry_to_pb(entry))
        if encoded.ByteSize() > MAX_MESSAGE_BYTES:
            del encoded.entries[-1]
            break
    return encoded


def _encode_append_entries_response(message: AppendEntriesResponse) -> pb.Message:
    return pb.Message(
        kind=MessageKind.APPEND_ENTRIES_RESPONSE,
        term=message.term,
        flag=message.is_success,
        index=message.match_index,
    )


def _encode_install_snapshot(message: InstallSnapshot) -> pb.Message:
    return pb.Message(
        kind=MessageKind.INSTALL_SNAPSHOT,
        term=message.term,
        index=message.snapshot_index,
        index_term=message.snapshot_term,
        offset=message.offset,
        total_bytes=message.total_bytes,
        data=message.data,
    )


def _encode_install_snapshot_response(message: InstallSnapshotResponse) -> pb.Message:
    return pb.Message(
        kind=MessageKind.INSTALL_SNAPSHOT_RESPONSE,
        term=message.term,
        index=message.snapshot_index,
        offset=message.bytes_received,
    )


def _encode_timeout_now(message: TimeoutNow) -> pb.Message:
    return pb.Message(kind=MessageKind.TIMEOUT_NOW, term=message.term)


def _encode_command_request(message: CommandRequest) -> pb.Message:
    return pb.Message(kind=MessageKind.COMMAND_REQUEST, command=_command_to_pb(message.command))


def _encode_command_response(message: CommandResponse) -> pb.Message:
    return pb.Message(
        kind=MessageKind.COMMAND_RESPONSE,
        session=message.session,
        number=message.number,
        token=message.token,
    )


def _encode_not_leader(message: NotLeader) -> pb.Message:
    return pb.Message(
        kind=MessageKind.NOT_LEADER,
        session=message.session,
        number=message.number,
        leader=message.leader,
    )


_ENCODERS: dict[type, Callable] = {
    RequestVote: _encode_request_vote,
    RequestVoteResponse: _encode_request_vote_response,
    AppendEntries: _encode_append_entries,
    AppendEntriesResponse: _encode_append_entries_response,
    InstallSnapshot: _encode_install_snapshot,
    InstallSnapshotResponse: _encode_install_snapshot_response,
    TimeoutNow: _encode_timeout_now,
    CommandRequest: _encode_command_request,
    CommandResponse: _encode_command_response,
    NotLeader: _encode_not_leader,
}
