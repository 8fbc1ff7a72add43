"""Actions that the scheduler asks its caller to carry out, in the order in which it returns them."""

from __future__ import annotations

from dataclasses import dataclass

from stalltiller.scheduling.targets import TargetId


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Send a request to a target; give the attempt up at clock time `expires_at` (None: with the client)."""

    request_id: int
    target_id: TargetId
    expires_at: float | None


@dataclass(slots=True, frozen=True)
class Reject:
    """Final answer: rejected; the client may safely try again after `retry_after` seconds (0: any time)."""

    request_id: int
    retry_after: float


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed; the request may have been executed."""

    request_id: int


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Cancel one attempt; its `AttemptFinished` follows."""

    request_id: int
    attempt_number: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a `TimerFired` with this token after `delay` seconds."""

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
    """Send bytes to one initiator, or to all others (None); delivery is not guaranteed."""

    initiator_index: int | None
    data: bytes


@dataclass(slots=True, frozen=True)
class LogMessage:
    """A line for the operators."""

    text: str


@dataclass(slots=True, frozen=True)
class WatchTargetList:
    """Open or close the watch on the target list."""

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
