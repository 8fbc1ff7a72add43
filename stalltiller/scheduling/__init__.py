"""The scheduler and its interface.

This package re-exports the settings, events and actions; `scheduling.scheduler.Scheduler` turns events
into actions.  Nothing in it does I/O: the caller hands in the time and the random seed.
"""

from stalltiller.scheduling.actions import (
    Action,
    Cancel,
    CloseIdle,
    Fail,
    FetchList,
    Log,
    Probe,
    Refuse,
    Send,
    SetTimer,
    Tell,
    Watch,
)
from stalltiller.scheduling.events import (
    ClientGone,
    Event,
    FirstByte,
    Message,
    Outcome,
    Probed,
    Request,
    Retuned,
    Status,
    TimerFired,
)
from stalltiller.scheduling.settings import Effect, Plan, RequestClass, Rules, Scope, Settings
from stalltiller.scheduling.targets import ListKind, NodeEntry, NodeId, NodeList, NodeState

__all__ = [
    "Action",
    "Cancel",
    "ClientGone",
    "CloseIdle",
    "Effect",
    "Event",
    "Fail",
    "FetchList",
    "FirstByte",
    "ListKind",
    "Log",
    "Message",
    "NodeEntry",
    "NodeId",
    "NodeList",
    "NodeState",
    "Outcome",
    "Plan",
    "Probe",
    "Probed",
    "Refuse",
    "Request",
    "RequestClass",
    "Retuned",
    "Rules",
    "Scope",
    "Send",
    "SetTimer",
    "Settings",
    "Status",
    "Tell",
    "TimerFired",
    "Watch",
]
