"""The scheduler and its interface.

This package re-exports the settings, events and actions; `scheduling.scheduler.Scheduler` turns events
into actions.  The package does no I/O: the caller supplies the time and the random seed.
"""

from stalltiller.scheduling.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    Fail,
    FetchTargetList,
    LogMessage,
    ProbeTarget,
    Reject,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    WatchTargetList,
)
from stalltiller.scheduling.events import (
    AttemptFinished,
    AttemptStatus,
    ClientDisconnected,
    DeadlineShortened,
    Event,
    FirstByte,
    PeerMessage,
    ProbeFinished,
    Request,
    ResponseDue,
    SettingsChanged,
    TimerFired,
)
from stalltiller.scheduling.settings import (
    DeduplicationScope,
    Idempotency,
    Plan,
    RequestClass,
    Rules,
    Settings,
)
from stalltiller.scheduling.targets import Target, TargetId, TargetListKind, TargetListUpdate, TargetStatus

__all__ = [
    "Action",
    "AttemptFinished",
    "AttemptStatus",
    "CancelAttempt",
    "ClientDisconnected",
    "CloseIdleConnections",
    "DeadlineShortened",
    "DeduplicationScope",
    "Event",
    "Fail",
    "FetchTargetList",
    "FirstByte",
    "Idempotency",
    "LogMessage",
    "PeerMessage",
    "Plan",
    "ProbeFinished",
    "ProbeTarget",
    "Reject",
    "Request",
    "RequestClass",
    "ResponseDue",
    "Rules",
    "SendPeerMessage",
    "SetTimer",
    "Settings",
    "SettingsChanged",
    "StartAttempt",
    "Target",
    "TargetId",
    "TargetListKind",
    "TargetListUpdate",
    "TargetStatus",
    "TimerFired",
    "WatchTargetList",
]
