"""Messages between members, and the actions that the membership protocol returns, as plain values.

`codec` encodes messages; `membership_agent` executes actions.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from stalltiller.fleet.budget_lending import BudgetGrant, BudgetRequest
from stalltiller.fleet.member_table import Address, Member


class PacketKind(enum.IntEnum):
    """Purpose of a datagram; the values are part of the wire format."""

    PING = 1
    PING_REQUEST = 2  # SWIM's ping-req: requests an indirect probe through the receiver
    ACK = 3
    NACK = 4  # Lifeguard's nack: an indirect probe has received no ack yet
    GOSSIP = 5
    SHARED_BUDGETS = 6
    LEASES = 7
    RECOVERY = 8


@dataclass(slots=True, frozen=True)
class Packet:
    """One datagram.

    `number` identifies a probe.  `target` and `address` name the probed member.  `updates` are gossip,
    which is piggybacked on any kind.  `budget_messages` and `peer_message` belong to kind SHARED_BUDGETS.
    """

    kind: PacketKind
    sender: Member
    number: int = 0
    target: str = ""
    address: Address = ("", 0)
    updates: tuple[Member, ...] = ()
    budget_messages: tuple[BudgetRequest | BudgetGrant, ...] = ()
    peer_message: bytes = b""
    body: bytes = b""  # payload of kinds LEASES and RECOVERY, which have their own encodings


@dataclass(slots=True, frozen=True)
class PushPullSync:
    """A member's full state; both ends of a TCP connection send theirs once (push and pull)."""

    sender: Member
    members: tuple[Member, ...]


# --- Actions of the membership protocol ---------------------------------------------------------------
@dataclass(slots=True, frozen=True)
class SendPacket:
    """Send a datagram to an address."""

    address: Address
    packet: Packet


@dataclass(slots=True, frozen=True)
class StartSync:
    """Start a push-pull synchronisation with the member at an address, over TCP."""

    address: Address


class MemberEventKind(enum.StrEnum):
    """Kind of a member event; the log event is the value with the prefix `fleet_`."""

    JOINED = "joined"  # also for a restarted process with a known name
    SUSPECT = "suspect"
    ALIVE = "alive"
    DEAD = "dead"
    LEFT = "left"
    REFUTED = "refuted"  # this member refuted an update about itself
    CONFLICT = "conflict"  # another process uses this member's name
    STALLED = "stalled"  # this process was suspended or had no processor time


@dataclass(slots=True, frozen=True)
class MemberEvent:
    """Log an event that concerns a member."""

    kind: MemberEventKind
    member: Member


Action = SendPacket | StartSync | MemberEvent
