"""The form of what voters and clients of leases say to each other: protobuf, held to bounds.  No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from google.protobuf.message import DecodeError

from stalltiller.leases import leases_pb2 as pb
from stalltiller.leases.messages import (
    Append,
    Appended,
    Entry,
    Hand,
    Install,
    Installed,
    Message,
    Vote,
    Voted,
)
from stalltiller.leases.state_machine import Command, Lease, Table

MOST_BYTES = 1200  # with the sender they go in one datagram
MOST_TEXT = 64  # characters of a name


@dataclass(slots=True, frozen=True)
class Ask:
    """A client's command, to a voter."""

    command: Command


@dataclass(slots=True, frozen=True)
class Answer:
    """The token that the client holds now, 0 for none."""

    session: str
    number: int
    token: int


@dataclass(slots=True, frozen=True)
class NotLeader:
    """The voter that was asked does not lead; who does, as far as it knows."""

    session: str
    number: int
    leader: str


Said = Message | Ask | Answer | NotLeader


class Malformed(ValueError):
    """What came is none of these."""


def command_to_pb(command: Command) -> pb.Command:
    return pb.Command(
        what=command.what,
        lease=command.lease,
        holder=command.holder,
        ttl=command.ttl,
        token=command.token,
        renewed=command.renewed,
        session=command.session,
        number=command.number,
    )


def command_from_pb(found: pb.Command) -> Command:
    texts = found.what, found.lease, found.holder, found.session
    if max(map(len, texts)) > MOST_TEXT or not 0.0 <= found.ttl <= 86400.0:
        raise Malformed("command")
    return Command(
        found.what,
        found.lease,
        found.holder,
        found.ttl,
        found.token,
        found.renewed,
        found.session,
        found.number,
    )


def _entry(entry: Entry) -> pb.Entry:
    made = pb.Entry(term=entry.term)
    if entry.command is not None:
        made.command.CopyFrom(command_to_pb(entry.command))
    return made


def encode_table(table: Table) -> bytes:
    """A lease table whole, as the state that stands for the entries that made it."""
    made = pb.State()
    for name, lease in table.leases.items():
        made.leases.add(
            name=name, holder=lease.holder, token=lease.token, ttl=lease.ttl, renewed=lease.renewed
        )
    for name, (number, answer) in table.answers.items():
        made.sessions.add(name=name, number=number, answer=answer)
    return made.SerializeToString()


def decode_table(state: bytes) -> Table:
    """The table of a state; empty before any.  Raises Malformed."""
    found = pb.State()
    try:
        found.ParseFromString(state)
    except DecodeError as error:
        raise Malformed("state") from error
    return Table(
        {each.name: Lease(each.holder, each.token, each.ttl, each.renewed) for each in found.leases},
        {each.name: (each.number, each.answer) for each in found.sessions},
    )


def encode(said: Said) -> bytes:
    """One message; of the entries of an append as many as go in."""
    if isinstance(said, Vote):
        made = pb.Said(
            kind=1,
            term=said.term,
            pre=said.pre,
            index=said.last_index,
            index_term=said.last_term,
            good=said.handed,
        )
    elif isinstance(said, Voted):
        made = pb.Said(kind=2, term=said.term, pre=said.pre, good=said.granted)
    elif isinstance(said, Append):
        made = pb.Said(
            kind=3, term=said.term, index=said.index, index_term=said.index_term, commit=said.commit
        )
        for entry in said.entries:
            made.entries.append(_entry(entry))
            if made.ByteSize() > MOST_BYTES:
                del made.entries[-1]
                break
    elif isinstance(said, Appended):
        made = pb.Said(kind=4, term=said.term, good=said.good, index=said.match)
    elif isinstance(said, Install):
        made = pb.Said(
            kind=8,
            term=said.term,
            index=said.index,
            index_term=said.index_term,
            offset=said.offset,
            total=said.total,
            data=said.data,
        )
    elif isinstance(said, Installed):
        made = pb.Said(kind=9, term=said.term, index=said.index, offset=said.have)
    elif isinstance(said, Hand):
        made = pb.Said(kind=10, term=said.term)
    elif isinstance(said, Ask):
        made = pb.Said(kind=5, command=command_to_pb(said.command))
    elif isinstance(said, Answer):
        made = pb.Said(kind=6, session=said.session, number=said.number, token=said.token)
    else:
        made = pb.Said(kind=7, session=said.session, number=said.number, leader=said.leader)
    return made.SerializeToString()


def decode(data: bytes) -> Said:
    """Read a message; raises Malformed."""
    found = pb.Said()
    try:
        found.ParseFromString(data)
    except DecodeError as error:
        raise Malformed("malformed") from error
    if max(len(found.session), len(found.leader)) > MOST_TEXT:
        raise Malformed("text")
    entries = tuple(
        Entry(entry.term, command_from_pb(entry.command) if entry.HasField("command") else None)
        for entry in found.entries
    )
    made = {
        1: lambda: Vote(found.term, found.pre, found.index, found.index_term, found.good),
        2: lambda: Voted(found.term, found.pre, found.good),
        3: lambda: Append(found.term, found.index, found.index_term, entries, found.commit),
        4: lambda: Appended(found.term, found.good, found.index),
        5: lambda: Ask(command_from_pb(found.command)),
        6: lambda: Answer(found.session, found.number, found.token),
        7: lambda: NotLeader(found.session, found.number, found.leader),
        8: lambda: Install(found.term, found.index, found.index_term, found.offset, found.total, found.data),
        10: lambda: Hand(found.term),
        9: lambda: Installed(found.term, found.index, found.offset),
    }.get(found.kind)
    if made is None:
        raise Malformed("kind")
    return made()
