"""Actions that the scheduler asks its caller to carry out, in the order in which it returns them."""

from __future__ import annotations

from dataclasses import dataclass

from stalltiller.scheduling.targets import TargetId


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Pass a request to a node; `expires` is the clock time to give the attempt up (None: the client's)."""

    request_id: int
    target_id: TargetId
    expires_at: float | None


@dataclass(slots=True, frozen=True)
class Reject:
    """Final answer: turned away, trying again is harmless, best after `retry_after` seconds (0: any time)."""

    request_id: int
    retry_after: float


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed, with no promise about the effect."""

    request_id: int


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Stop waiting for one attempt."""

    request_id: int
    attempt_number: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a TimerFired after `delay` seconds."""

    token: int
    delay: float


@dataclass(slots=True, frozen=True)
class ProbeTarget:
    """Send a health check to a node."""

    target_id: TargetId


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close this gateway's idle connections to a node."""

    target_id: TargetId


@dataclass(slots=True, frozen=True)
class SendPeerMessage:
    """Send bytes to one gateway, or to all (None)."""

    initiator_index: int | None
    data: bytes


@dataclass(slots=True, frozen=True)
class LogMessage:
    """A line for the operators."""

    text: str


@dataclass(slots=True, frozen=True)
class WatchTargetList:
    """Open or close the standing subscription to the node list."""

    enabled: bool


@dataclass(slots=True, frozen=True)
class FetchTargetList:
    """Ask once for the whole node list."""


Action = (
    StartAttempt
    | Reject
    | Fail
    | CancelAttempt
    | SetTimer
    | ProbeTarget
    | CloseIdleConnections
    | SendPeerMessage
    | LogMessage
    | WatchTargetList
    | FetchTargetList
)
