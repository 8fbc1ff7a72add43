"""Actions that the scheduler returns; its caller carries them out in order."""

from __future__ import annotations

from dataclasses import dataclass

from stalltiller.scheduling.targets import TargetId


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Send a request to a target; the attempt times out at `expires_at` (None: client deadline)."""

    request_id: int
    target_id: TargetId
    expires_at: float | None


@dataclass(slots=True, frozen=True)
class Reject:
    """Final response: rejected; the client may safely retry after `retry_after` seconds (0: at any time)."""

    request_id: int
    retry_after: float


@dataclass(slots=True, frozen=True)
class Fail:
    """Final response: failed; the request may have been executed."""

    request_id: int


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Cancel one attempt; an `AttemptFinished` for it follows."""

    request_id: int
    attempt_number: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Set a timer that delivers a `TimerFired` with this token after `delay` seconds."""

    token: int
    delay: float


@dataclass(slots=True, frozen=True)
class ProbeTarget:
    """Send a health check to a target; a `ProbeFinished` follows."""

    target_id: TargetId


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close this initiator's idle connections to a target."""

    target_id: TargetId


@dataclass(slots=True, frozen=True)
class SendPeerMessage:
    """Send a message to one initiator, or to all others (None); delivery is not guaranteed."""

    initiator_index: int | None
    data: bytes


@dataclass(slots=True, frozen=True)
class LogMessage:
    """Write a line to the operators' log."""

    text: str


@dataclass(slots=True, frozen=True)
class WatchTargetList:
    """Start or stop watching the target list."""

    enabled: bool


@dataclass(slots=True, frozen=True)
class FetchTargetList:
    """Fetch the whole target list once."""


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
