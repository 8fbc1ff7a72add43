"""What members say to each other.  Plain values; `codec` has their form on the wire."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from stalltiller.fleet.budget_lending import BudgetGrant, BudgetRequest
from stalltiller.fleet.member_table import Address, Member


class PacketKind(enum.IntEnum):
    PING, REQUEST, ACK, NACK, GOSSIP, SHARED_BUDGETS, LEASES, RECOVERY = range(1, 9)


@dataclass(slots=True, frozen=True)
class Packet:
    """One datagram.  `number` is the probe's; `target` and `address` name whom it is for.

    `parts` and `letter` are for what members share beside their membership (kind COMMONS).
    """

    kind: PacketKind
    sender: Member
    number: int = 0
    target: str = ""
    address: Address = ("", 0)
    updates: tuple[Member, ...] = ()
    parts: tuple[BudgetRequest | BudgetGrant, ...] = ()
    peer_message: bytes = b""
    body: bytes = b""  # of kinds LEASES and RECOVERY, each in its own form


@dataclass(slots=True, frozen=True)
class PushPullSync:
    """All that one member knows, for another: sent and answered once on a connection (push and pull)."""

    sender: Member
    members: tuple[Member, ...]


# --- What the core asks for ---------------------------------------------------------------------------
@dataclass(slots=True, frozen=True)
class Send:
    """Send a datagram."""

    address: Address
    packet: Packet


@dataclass(slots=True, frozen=True)
class Sync:
    """Exchange all that is known with the member at an address, over TCP."""

    address: Address


@dataclass(slots=True, frozen=True)
class MemberEvent:
    """What operators may want to know: joined, suspect, alive, dead, left, refuted, conflict or stalled."""

    event: str
    member: Member


Action = Send | Sync | MemberEvent
