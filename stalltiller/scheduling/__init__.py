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
    Event,
    FirstByte,
    PeerMessage,
    ProbeFinished,
    Request,
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
