"""The fleet: who runs beside this instance.

`Swim` is the membership without I/O, `node.Node` runs it on sockets.  No request waits for either.
"""

from stalltiller.fleet.member_table import Member, State, Table
from stalltiller.fleet.messages import Exchange, Kind, Notice, Packet, Send, Sync
from stalltiller.fleet.swim import Settings, Swim

__all__ = [
    "Exchange",
    "Kind",
    "Member",
    "Notice",
    "Packet",
    "Send",
    "Settings",
    "State",
    "Swim",
    "Sync",
    "Table",
]
