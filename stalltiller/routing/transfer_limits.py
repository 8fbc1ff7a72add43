"""Decides how long a transfer in progress may go on: the one rule for both protocols and both directions.

The length of a transfer says nothing about its peer; only a lack of progress tells a peer that has stopped
from one that is slow.  Progress is a byte that came or that the peer's machine has acknowledged.  A transfer
that makes none for the idle limit has stopped, and nothing else ends one that has begun.

A response has begun once its client has a byte of it.  One that can't be passed on by its client's time comes
too late, and its client gets an answer then: the target is silent, still reads the request, or has sent an
interim response, a part of a head, or a part of a read over NVMe/TCP.  The same holds for a response that is
short and silent at that moment, since it may never become whole.  By the end of a drain each client without
a byte gets an answer, since the process may be killed soon after.

Everything here is pure.  Times are on one monotonic clock, in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from stalltiller.routing.exchange_end import TransferPhase, TransferProgress
from stalltiller.routing.response_deadline import ResponseDeadline

DEFAULT_IDLE_LIMIT_SECONDS = 5.0
# A client that stops in its request gets its error within 3 s of its last byte.
REQUEST_IDLE_LIMIT_SECONDS = 2.5
CHECK_INTERVAL_SECONDS = 0.1  # between two looks at the progress of a transfer
# A longer time between two looks is one in which this process did not run.
MAX_CHECK_GAP_SECONDS = 2 * CHECK_INTERVAL_SECONDS
# The last attempt ends this long before the client's deadline, for late batches and the response's way back.
RESPONSE_MARGIN_SECONDS = 0.015
MIN_SILENCE_SECONDS = 0.1  # a shorter time without a byte is no silence
SILENCE_PER_PAUSE = 2.0  # a response is silent that pauses for this many times its longest pause so far
# A peer may read a longer request in pieces, after its machine has acknowledged all of it.
MAX_SINGLE_READ_BYTES = 16 * 1024


class RunningClock:
    """Counts the time in which this process ran: what it missed while suspended is no silence of a peer."""

    def __init__(self, now: float) -> None:
        self._last_now = now
        self.seconds = 0.0

    def advance(self, now: float) -> float:
        """Return the seconds that the process has run; call it every CHECK_INTERVAL_SECONDS."""
        self.seconds += min(max(0.0, now - self._last_now), MAX_CHECK_GAP_SECONDS)
        self._last_now = now
        return self.seconds


@dataclass(slots=True)
class ProgressRecord:
    """The progress of one transfer, by a count of its bytes that changes whenever something moves."""

    byte_count: int
    moved_at: float

    def observe(self, now: float, byte_count: int) -> None:
        """Record the present count."""
        if byte_count != self.byte_count:
            self.byte_count = byte_count
            self.moved_at = now

    def has_stopped(self, now: float, idle_limit: float) -> bool:
        """Return whether nothing has moved for `idle_limit` seconds."""
        return now - self.moved_at >= idle_limit


@dataclass(slots=True, frozen=True)
class ByteArrivals:
    """When bytes of a response have come; `longest_pause` is the longest time between two of them."""

    first_at: float
    last_at: float
    longest_pause: float = 0.0

    @classmethod
    def begin(cls, now: float) -> ByteArrivals:
        """Return the record of a response whose first bytes have just come."""
        return cls(now, now)

    def record(self, now: float) -> ByteArrivals:
        """Return the record with the bytes that have just come."""
        return replace(self, last_at=now, longest_pause=max(self.longest_pause, now - self.last_at))


class ExpiryReason(Enum):
    """Why an attempt expires."""

    ATTEMPT_TIMEOUT = "attempt_timeout"  # the time that the scheduler gave it is over
    CLIENT_DEADLINE = "client_deadline"
    DRAIN_END = "drain_end"


class ExpiryAction(Enum):
    """What happens to an attempt at its expiry."""

    ABANDON = "abandon"
    PASS_ON = "pass_on"  # the client gets the response as it comes
    WAIT_FOR_DEADLINE = "wait_for_deadline"  # the latest time of the response


def latest_expiry(response_due_at: float) -> float:
    """Return when an attempt expires whose client has no byte of a response."""
    return response_due_at - RESPONSE_MARGIN_SECONDS


def expiry_reason(expires_at: float, deadline: ResponseDeadline) -> ExpiryReason:
    """Return why an attempt expires at `expires_at`."""
    if expires_at < latest_expiry(deadline.due_at):
        return ExpiryReason.ATTEMPT_TIMEOUT
    return ExpiryReason.DRAIN_END if deadline.is_set_by_drain else ExpiryReason.CLIENT_DEADLINE


def is_silent(progress: TransferProgress) -> bool:
    """Return whether a response has paused for longer than its own pauses so far let expect."""
    silence = max(MIN_SILENCE_SECONDS, SILENCE_PER_PAUSE * progress.longest_pause_seconds)
    return (progress.idle_seconds or 0.0) >= silence


def action_at_expiry(progress: TransferProgress, reason: ExpiryReason) -> ExpiryAction:
    """Return what happens to an attempt whose client waits for it and has no byte of a response."""
    is_timeout = reason is ExpiryReason.ATTEMPT_TIMEOUT
    wait = ExpiryAction.WAIT_FOR_DEADLINE if is_timeout else ExpiryAction.ABANDON
    if not progress.is_moving or reason is ExpiryReason.DRAIN_END:
        return ExpiryAction.ABANDON
    if progress.phase is not TransferPhase.RECEIVING or (progress.is_short and is_silent(progress)):
        return wait
    return ExpiryAction.PASS_ON if progress.can_pass_on else wait


def may_cancel(progress: TransferProgress) -> bool:
    """Return whether an attempt may be taken for lost; one whose response has begun is not lost."""
    return progress.phase is not TransferPhase.RECEIVING


def sending_phase(sent_bytes: int, request_bytes: int) -> TransferPhase:
    """Return the phase of an exchange whose response has not begun, by what the peer has acknowledged."""
    may_be_unread = sent_bytes < request_bytes or request_bytes > MAX_SINGLE_READ_BYTES
    return TransferPhase.SENDING if may_be_unread else TransferPhase.WAITING
