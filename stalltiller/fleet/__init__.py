"""The fleet: who runs beside this instance.

`Swim` is the membership without I/O, `node.Node` runs it on sockets.  No request waits for either.
"""

from stalltiller.fleet.member_table import Member, MemberTable, State
from stalltiller.fleet.messages import MemberEvent, Packet, PacketKind, PushPullSync, Send, Sync
from stalltiller.fleet.swim import Settings, Swim

__all__ = [
    "Member",
    "MemberEvent",
    "MemberTable",
    "Packet",
    "PacketKind",
    "PushPullSync",
    "Send",
    "Settings",
    "State",
    "Swim",
    "Sync",
]
