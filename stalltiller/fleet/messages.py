"""Messages between members and the actions of the membership protocol, as plain values.

`codec` encodes messages; `membership_agent` carries the actions out.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from stalltiller.fleet.budget_lending import BudgetGrant, BudgetRequest
from stalltiller.fleet.member_table import Address, Member


class PacketKind(enum.IntEnum):
    """What a datagram is for; the values are those on the wire."""

    PING = 1
    PING_REQUEST = 2  # SWIM's ping-req: an indirect probe through the receiver
    ACK = 3
    NACK = 4  # Lifeguard's: an indirect probe has had no answer yet
    GOSSIP = 5
    SHARED_BUDGETS = 6
    LEASES = 7
    RECOVERY = 8


@dataclass(slots=True, frozen=True)
class Packet:
    """One datagram.

    `number` is that of the probe.  `target` and `address` name the probed member.  `updates` are gossip and
    travel with any kind.  `budget_messages` and `peer_message` belong to kind SHARED_BUDGETS.
    """

    kind: PacketKind
    sender: Member
    number: int = 0
    target: str = ""
    address: Address = ("", 0)
    updates: tuple[Member, ...] = ()
    budget_messages: tuple[BudgetRequest | BudgetGrant, ...] = ()
    peer_message: bytes = b""
    body: bytes = b""  # of kinds LEASES and RECOVERY, each in its own encoding


@dataclass(slots=True, frozen=True)
class PushPullSync:
    """All that one member knows: sent and answered once on a TCP connection (push and pull)."""

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
    """What happened to a member; the log events are these values with the prefix `fleet_`."""

    JOINED = "joined"  # also a restarted process under a known name
    SUSPECT = "suspect"
    ALIVE = "alive"
    DEAD = "dead"
    LEFT = "left"
    REFUTED = "refuted"  # this member refuted an update on itself
    CONFLICT = "conflict"  # another process has this member's name
    STALLED = "stalled"  # this process did not run for some time


@dataclass(slots=True, frozen=True)
class MemberEvent:
    """Log an event of a member."""

    kind: MemberEventKind
    member: Member


Action = SendPacket | StartSync | MemberEvent
