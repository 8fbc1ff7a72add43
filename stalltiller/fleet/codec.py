"""The form of messages on the wire: protobuf, held to bounds.  No I/O."""

from __future__ import annotations

from google.protobuf.message import DecodeError

from stalltiller.fleet import fleet_pb2 as pb
from stalltiller.fleet.budget_lending import BudgetGrant, BudgetRequest
from stalltiller.fleet.member_table import Member, State
from stalltiller.fleet.messages import Packet, PacketKind, PushPullSync

MOST_DATAGRAM = 1400  # bytes: one frame of Ethernet with its headers
MOST_EXCHANGE = 512 * 1024  # bytes
MOST_NAME, MOST_ZONE, MOST_HOST, MOST_KEY = 48, 24, 45, 64  # characters
MOST_PARTS = 10  # in a datagram: what goes in with the longest keys
MOST_LETTER = 64  # bytes


class Malformed(ValueError):
    """What came is no message of this fleet; the text is a short word for the count."""


def _to_pb(member: Member) -> pb.Member:
    return pb.Member(
        name=member.name,
        host=member.address[0],
        port=member.address[1],
        zone=member.zone,
        start_ms=member.start_time_ms,
        incarnation=member.incarnation,
        state=member.state,
        protocol=member.protocol,
        load=member.load,
        by=member.by,
        position=member.initiator_index + 1,
    )


def _from_pb(found: pb.Member) -> Member:
    if not 0 < len(found.name) <= MOST_NAME or len(found.by) > MOST_NAME or len(found.zone) > MOST_ZONE:
        raise Malformed("name")
    if not 0 < len(found.host) <= MOST_HOST or not 0 < found.port < 65536 or found.state > State.LEFT:
        raise Malformed("member")
    return Member(
        found.name,
        (found.host, found.port),
        found.zone,
        found.start_ms,
        found.incarnation,
        State(found.state),
        found.protocol,
        found.load,
        found.by,
        found.position - 1,
    )


def _part_to_pb(part: BudgetRequest | BudgetGrant) -> pb.Part:
    if isinstance(part, BudgetRequest):
        return pb.Part(key=part.key, number=part.number, part=part.want, loan=part.loan)
    return pb.Part(key=part.key, number=part.number, part=part.part, granted=True)


def _part_from_pb(found: pb.Part) -> BudgetRequest | BudgetGrant:
    if not 0 < len(found.key) <= MOST_KEY or not 0.0 <= found.part <= 1.0:  # NaN neither
        raise Malformed("part")
    if found.granted:
        return BudgetGrant(found.key, found.number, found.part)
    return BudgetRequest(found.key, found.number, found.part, found.loan)


def _parse(message: pb.Packet | pb.Exchange, data: bytes, fleet: str) -> None:
    try:
        message.ParseFromString(data)
    except DecodeError as error:
        raise Malformed("malformed") from error
    if message.fleet != fleet:
        raise Malformed("foreign")


def encode_packet(fleet: str, packet: Packet) -> bytes:
    """One datagram; of the news as many as go in."""
    message = pb.Packet(
        fleet=fleet,
        sender=_to_pb(packet.sender),
        kind=packet.kind,
        number=packet.number,
        target=packet.target,
        host=packet.address[0],
        port=packet.address[1],
        parts=map(_part_to_pb, packet.parts[:MOST_PARTS]),
        letter=packet.peer_message[:MOST_LETTER],
        body=packet.body,
    )
    for word in packet.updates:
        message.news.append(_to_pb(word))
        if message.ByteSize() > MOST_DATAGRAM:
            del message.news[-1]
            break
    return message.SerializeToString()


def decode_packet(fleet: str, data: bytes) -> Packet:
    """Read a datagram; raises Malformed."""
    if len(data) > MOST_DATAGRAM:
        raise Malformed("oversized")
    message = pb.Packet()
    _parse(message, data, fleet)
    try:
        kind = PacketKind(message.kind)
    except ValueError as error:
        raise Malformed("kind") from error
    if len(message.target) > MOST_NAME or len(message.host) > MOST_HOST or message.port > 65535:
        raise Malformed("target")
    if len(message.parts) > MOST_PARTS or len(message.letter) > MOST_LETTER:
        raise Malformed("part")
    return Packet(
        kind,
        _from_pb(message.sender),
        message.number,
        message.target,
        (message.host, message.port),
        tuple(map(_from_pb, message.news)),
        tuple(map(_part_from_pb, message.parts)),
        message.letter,
        message.body,
    )


def encode_exchange(fleet: str, exchange: PushPullSync) -> bytes:
    return pb.Exchange(
        fleet=fleet, sender=_to_pb(exchange.sender), members=map(_to_pb, exchange.members)
    ).SerializeToString()


def decode_exchange(fleet: str, data: bytes) -> PushPullSync:
    """Read an exchange; raises Malformed."""
    message = pb.Exchange()
    _parse(message, data, fleet)
    return PushPullSync(_from_pb(message.sender), tuple(map(_from_pb, message.members)))
