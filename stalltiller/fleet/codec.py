"""Encodes messages as protobuf; decoding checks every field against its bounds.  No I/O."""

from __future__ import annotations

import enum

from google.protobuf.message import DecodeError

from stalltiller.fleet import fleet_pb2 as pb
from stalltiller.fleet.budget_lending import BudgetGrant, BudgetRequest
from stalltiller.fleet.member_table import Member, MemberState
from stalltiller.fleet.messages import Packet, PacketKind, PushPullSync

MAX_DATAGRAM_BYTES = 1400  # fits one Ethernet frame including its headers
MAX_SYNC_BYTES = 512 * 1024  # holds a full member table of the default size
MAX_NAME_CHARACTERS = 48
MAX_ZONE_CHARACTERS = 24
MAX_HOST_CHARACTERS = 45  # the longest textual IPv6 address
MAX_KEY_CHARACTERS = 64
MAX_BUDGET_MESSAGES = 10  # with the longest keys, this many fit into one datagram
MAX_PEER_MESSAGE_BYTES = 64
MAX_PORT = 65535


class RejectionReason(enum.StrEnum):
    """Why a message was dropped; the values are names of counters that operators read."""

    MALFORMED = "malformed"
    FOREIGN = "foreign"
    OVERSIZED = "oversized"
    NAME = "name"
    MEMBER = "member"
    TARGET = "target"
    KIND = "kind"
    BUDGET_MESSAGE = "part"


class MalformedMessageError(ValueError):
    """Received bytes that are not a valid message of this fleet; `reason` says why."""

    def __init__(self, reason: RejectionReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


def _encode_member(member: Member) -> pb.Member:
    return pb.Member(
        name=member.name,
        host=member.address[0],
        port=member.address[1],
        zone=member.zone,
        start_time_ms=member.start_time_ms,
        incarnation=member.incarnation,
        state=member.state,
        protocol=member.protocol,
        load=member.load,
        reported_by=member.reported_by,
        initiator_index_plus_one=member.initiator_index + 1,
    )


def _decode_member(message: pb.Member) -> Member:
    if (
        not 0 < len(message.name) <= MAX_NAME_CHARACTERS
        or len(message.reported_by) > MAX_NAME_CHARACTERS
        or len(message.zone) > MAX_ZONE_CHARACTERS
    ):
        raise MalformedMessageError(RejectionReason.NAME)
    if (
        not 0 < len(message.host) <= MAX_HOST_CHARACTERS
        or not 0 < message.port <= MAX_PORT
        or message.state > MemberState.LEFT
    ):
        raise MalformedMessageError(RejectionReason.MEMBER)
    return Member(
        name=message.name,
        address=(message.host, message.port),
        zone=message.zone,
        start_time_ms=message.start_time_ms,
        incarnation=message.incarnation,
        state=MemberState(message.state),
        protocol=message.protocol,
        load=message.load,
        reported_by=message.reported_by,
        initiator_index=message.initiator_index_plus_one - 1,
    )


def _encode_budget_message(message: BudgetRequest | BudgetGrant) -> pb.BudgetMessage:
    if isinstance(message, BudgetRequest):
        return pb.BudgetMessage(
            key=message.key,
            number=message.number,
            fraction=message.fraction,
            renewed_loan=message.renewed_loan,
        )
    return pb.BudgetMessage(key=message.key, number=message.number, fraction=message.fraction, is_grant=True)


def _decode_budget_message(message: pb.BudgetMessage) -> BudgetRequest | BudgetGrant:
    # The range comparison also rejects a NaN fraction.
    if not 0 < len(message.key) <= MAX_KEY_CHARACTERS or not 0.0 <= message.fraction <= 1.0:
        raise MalformedMessageError(RejectionReason.BUDGET_MESSAGE)
    if message.is_grant:
        return BudgetGrant(message.key, message.number, message.fraction)
    return BudgetRequest(message.key, message.number, message.fraction, message.renewed_loan)


def _parse(message: pb.Packet | pb.PushPullSync, data: bytes, fleet: str) -> None:
    try:
        message.ParseFromString(data)
    except DecodeError as error:
        raise MalformedMessageError(RejectionReason.MALFORMED) from error
    if message.fleet != fleet:
        raise MalformedMessageError(RejectionReason.FOREIGN)


def encode_packet(fleet: str, packet: Packet) -> bytes:
    """Encode a datagram with as many of the packet's updates as fit."""
    message = pb.Packet(
        fleet=fleet,
        sender=_encode_member(packet.sender),
        kind=packet.kind,
        number=packet.number,
        target=packet.target,
        host=packet.address[0],
        port=packet.address[1],
        budget_messages=map(_encode_budget_message, packet.budget_messages[:MAX_BUDGET_MESSAGES]),
        peer_message=packet.peer_message[:MAX_PEER_MESSAGE_BYTES],
        body=packet.body,
    )
    for update in packet.updates:
        message.updates.append(_encode_member(update))
        if message.ByteSize() > MAX_DATAGRAM_BYTES:
            del message.updates[-1]
            break
    return message.SerializeToString()


def decode_packet(fleet: str, data: bytes) -> Packet:
    """Decode a datagram; raises MalformedMessageError."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise MalformedMessageError(RejectionReason.OVERSIZED)
    message = pb.Packet()
    _parse(message, data, fleet)
    try:
        kind = PacketKind(message.kind)
    except ValueError as error:
        raise MalformedMessageError(RejectionReason.KIND) from error
    if (
        len(message.target) > MAX_NAME_CHARACTERS
        or len(message.host) > MAX_HOST_CHARACTERS
        or message.port > MAX_PORT
    ):
        raise MalformedMessageError(RejectionReason.TARGET)
    if (
        len(message.budget_messages) > MAX_BUDGET_MESSAGES
        or len(message.peer_message) > MAX_PEER_MESSAGE_BYTES
    ):
        raise MalformedMessageError(RejectionReason.BUDGET_MESSAGE)
    return Packet(
        kind=kind,
        sender=_decode_member(message.sender),
        number=message.number,
        target=message.target,
        address=(message.host, message.port),
        updates=tuple(map(_decode_member, message.updates)),
        budget_messages=tuple(map(_decode_budget_message, message.budget_messages)),
        peer_message=message.peer_message,
        body=message.body,
    )


def encode_sync(fleet: str, sync: PushPullSync) -> bytes:
    """Encode a push-pull synchronisation, without its length prefix."""
    message = pb.PushPullSync(
        fleet=fleet,
        sender=_encode_member(sync.sender),
        members=map(_encode_member, sync.members),
    )
    return message.SerializeToString()


def decode_sync(fleet: str, data: bytes) -> PushPullSync:
    """Decode a push-pull synchronisation; raises MalformedMessageError."""
    message = pb.PushPullSync()
    _parse(message, data, fleet)
    return PushPullSync(_decode_member(message.sender), tuple(map(_decode_member, message.members)))
