"""Codec of the messages with which initiators request and grant tokens of a volume's limit.

A message is 15 bytes, little-endian: kind (1), volume (8), number of the request (4), parts of units (2).
Units are encoded in whole sixteenths, rounded down.  `VolumeAdmission` handles the messages.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

MESSAGE_LAYOUT = struct.Struct("<BQIH")
PARTS_PER_UNIT = 16
MAX_PARTS = 65535  # largest value of the 2-byte field


class Kind(IntEnum):
    """Kind of a token message; the values are those on the wire."""

    REQUEST = 1
    GRANT = 2


@dataclass(slots=True, frozen=True)
class TokenMessage:
    """A request for tokens, or the grant for the request with the same number."""

    kind: Kind
    volume_id: int
    request_number: int
    units: float


def encode_request(volume_id: int, request_number: int, units: float) -> bytes:
    """Return a message that requests `units` of a volume's limit."""
    return MESSAGE_LAYOUT.pack(Kind.REQUEST, volume_id, request_number, _to_parts(units))


def encode_grant(request: TokenMessage, units: float) -> tuple[bytes, float]:
    """Return a message that grants `units` to a request, and the units granted after rounding."""
    parts = _to_parts(units)
    message = MESSAGE_LAYOUT.pack(Kind.GRANT, request.volume_id, request.request_number, parts)
    return message, parts / PARTS_PER_UNIT


def decode(data: bytes) -> TokenMessage | None:
    """Return the message, or None if the length is wrong or the kind is unknown."""
    if len(data) != MESSAGE_LAYOUT.size:
        return None
    kind, volume_id, request_number, parts = MESSAGE_LAYOUT.unpack(data)
    if kind not in (Kind.REQUEST, Kind.GRANT):
        return None
    return TokenMessage(Kind(kind), volume_id, request_number, parts / PARTS_PER_UNIT)


def _to_parts(units: float) -> int:
    return min(MAX_PARTS, int(units * PARTS_PER_UNIT))
