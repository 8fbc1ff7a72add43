"""What is logged when the initiator itself ends an exchange that is in progress.

An exchange ends by itself when its last byte has come or its peer closes the connection.  Each other end is
due to a rule of `EndRule`, and says how far the transfer had come and how much time the client had left, so
that an exchange that was cut off can be told from one that was over.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

MILLISECONDS_PER_SECOND = 1000


class EndRule(StrEnum):
    """Why the initiator ended an exchange; the values are logged as `rule`."""

    ATTEMPT_EXPIRED = "attempt_expired"  # at the time that the scheduler gave, or at the client's deadline
    DRAIN_ENDED = "drain_ended"  # the process shuts down, and the client has no byte of the response
    ATTEMPT_CANCELLED = "attempt_cancelled"  # the scheduler takes the attempt for lost
    REQUEST_STALLED = "request_stalled"  # the client does not go on with its request
    RESPONSE_STOPPED = "response_stopped"  # the target does not go on with its response
    RESPONSE_UNREAD = "response_unread"  # the client does not read its response


class TransferPhase(StrEnum):
    """How far an exchange has come; the values are logged as `phase`."""

    CONNECTING = "connecting"
    SENDING = "sending"  # the peer may not have read the whole request yet
    WAITING = "waiting"  # for the first byte of the response
    RECEIVING = "receiving"  # the response has begun


@dataclass(slots=True, frozen=True)
class TransferProgress:
    """How far the transfer of an attempt has come.

    `sent_bytes` counts what the peer's machine has acknowledged of the request, `received_bytes` the body of
    the response, `idle_seconds` is the time since its last byte, None before the first, and
    `longest_pause_seconds` the longest time between two of them.  `delivered_bytes` counts what the client's
    machine has acknowledged of the response.  `is_short` tells of a response that is known to be short, and
    `can_pass_on` of one whose client can get it as it comes.
    """

    phase: TransferPhase
    received_bytes: int = 0
    idle_seconds: float | None = None
    sent_bytes: int = 0
    delivered_bytes: int = 0
    longest_pause_seconds: float = 0.0
    is_short: bool = False
    can_pass_on: bool = False

    @property
    def is_moving(self) -> bool:
        """Whether the request or the response has begun to arrive and may not be whole."""
        is_sending = self.phase is TransferPhase.SENDING and self.sent_bytes > 0
        return is_sending or self.phase is TransferPhase.RECEIVING


@dataclass(slots=True, frozen=True)
class ExchangeEnd:
    """An exchange that the initiator ended.

    `remaining_seconds` is what was left of the client's time, negative after it; None if it has not begun.
    """

    rule: EndRule
    request_id: int | None
    label: str
    target: object
    progress: TransferProgress
    remaining_seconds: float | None

    def details(self) -> dict[str, object]:
        """Return the fields of the log event."""
        return {
            "rule": self.rule.value,
            "id": self.request_id,
            "label": self.label,
            "target": self.target,
            "phase": self.progress.phase.value,
            "sent_bytes": self.progress.sent_bytes,
            "received_bytes": self.progress.received_bytes,
            "delivered_bytes": self.progress.delivered_bytes,
            "idle_ms": _milliseconds(self.progress.idle_seconds),
            "remaining_ms": _milliseconds(self.remaining_seconds),
        }


def _milliseconds(seconds: float | None) -> float | None:
    return None if seconds is None else round(MILLISECONDS_PER_SECOND * seconds, 1)
