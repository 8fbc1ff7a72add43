"""Leases: duties that one instance holds at a time.  Decisions only: a log by consensus, leases on it."""

from stalltiller.leases.messages import Append, Apply, Cut, Entry, Install, Keep, Message, Restore, Send, Vote
from stalltiller.leases.raft import Raft, Times
from stalltiller.leases.state_machine import RATE_ERROR, Command, Gate, Holder, Keeper, Lease, Table

__all__ = [
    "RATE_ERROR",
    "Append",
    "Apply",
    "Command",
    "Cut",
    "Entry",
    "Gate",
    "Holder",
    "Install",
    "Keep",
    "Keeper",
    "Lease",
    "Message",
    "Raft",
    "Restore",
    "Send",
    "Table",
    "Times",
    "Vote",
]
