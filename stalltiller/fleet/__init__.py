"""Fleet membership: tracks which initiators are running.

`Swim` is the membership protocol without I/O, `membership_agent.MembershipAgent` runs it on sockets, and
`shared_budgets.SharedBudgets` lends budgets between members.  The request path never waits for any of them.
"""

from stalltiller.fleet.member_table import Member, MemberState, MemberTable
from stalltiller.fleet.messages import (
    MemberEvent,
    MemberEventKind,
    Packet,
    PacketKind,
    PushPullSync,
    SendPacket,
    StartSync,
)
from stalltiller.fleet.swim import Swim
from stalltiller.fleet.swim_settings import SwimSettings

__all__ = [
    "Member",
    "MemberEvent",
    "MemberEventKind",
    "MemberState",
    "MemberTable",
    "Packet",
    "PacketKind",
    "PushPullSync",
    "SendPacket",
    "StartSync",
    "Swim",
    "SwimSettings",
]
