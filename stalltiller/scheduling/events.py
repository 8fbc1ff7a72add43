"""Events that the scheduler handles.

Times are seconds on one monotonic clock that the caller chooses; durations are seconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from stalltiller.scheduling.settings import Settings
from stalltiller.scheduling.targets import TargetId, TargetListUpdate


class AttemptStatus(Enum):
    """How an attempt ended.

    REJECTED, CONNECT_FAILED and NOT_STARTED prove that the target did not execute the request: it was at
    capacity, could not be reached, or the attempt was dropped before it was sent.  After an ERROR, a
    TIMEOUT, a RESET of the connection or a CANCELLED attempt, the request may have been executed.
    """

    OK = "ok"
    ERROR = "error"
    REJECTED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_STARTED = "moot"


@dataclass(slots=True, frozen=True)
class Request:
    """A request accepted from a client, which must get exactly one final response.

    request_id: unique; a client's retry has a new one.
    class_index, plan_index: positions in `Settings.classes` and `Settings.plans`.
    volume: the volume that the request belongs to.
    units: size of the request, in the units of reservations, limits and value weights.
    volume_initiator_count: number of initiators that receive requests of the volume.
    idempotency_key: identifies the data that the request reads or writes, 0 for none.
    shard: the shard that holds the data, None for a new object, which any target may store.
    is_write, is_retry: whether the request writes, and whether the client marked it as a retry.
    time_remaining: seconds until the client times out.
    response_due_in: seconds until its final response is due, if that is earlier than the client's time-out.
    """

    request_id: int
    class_index: int
    plan_index: int
    volume: int
    units: float
    volume_initiator_count: int
    idempotency_key: int
    shard: int | None
    is_write: bool
    is_retry: bool
    time_remaining: float
    response_due_in: float = math.inf


@dataclass(slots=True, frozen=True)
class DeadlineShortened:
    """The final response to an open request is due sooner than announced, in `response_due_in` seconds."""

    request_id: int
    response_due_in: float


@dataclass(slots=True, frozen=True)
class ResponseDue:
    """The final response to a request without an attempt in flight is due now."""

    request_id: int


@dataclass(slots=True, frozen=True)
class FirstByte:
    """A streamed response has begun, `latency` seconds after the send; its rest goes to the client."""

    request_id: int
    attempt_number: int
    target_id: TargetId
    latency: float


@dataclass(slots=True, frozen=True)
class AttemptFinished:
    """An attempt has ended.

    request_id, attempt_number: identify the attempt; a request's attempts are numbered from 0.
    target_id: the target that the attempt was sent to.
    status: how the attempt ended.
    latency: seconds since the attempt was sent.
    request_done: the request has its final response, by this result or an earlier one.
    volume_usage: metered use of the volume over all initiators in a past period, as a multiple of its
        plan's rate; None if the result carries no meter reading.
    other_units: units that the shard served for the volume through other initiators since its last response.
    report: the target's load report, in the order of `Settings.report_fields`.
    """

    request_id: int
    attempt_number: int
    target_id: TargetId
    status: AttemptStatus
    latency: float
    request_done: bool
    volume_usage: float | None
    other_units: float
    report: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client has disconnected: the request no longer needs a response."""

    request_id: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The timer that `SetTimer` set with this token has expired."""

    token: int


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """New settings are in effect; class and plan indices of later `Request`s refer to them."""

    settings: Settings


@dataclass(slots=True, frozen=True)
class ProbeFinished:
    """The result of a probe: its latency in seconds, its status and the target's load report."""

    target_id: TargetId
    latency: float
    status: AttemptStatus
    report: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message from another initiator, as passed to `SendPeerMessage` there."""

    sender_index: int
    data: bytes


Event = (
    TargetListUpdate
    | Request
    | DeadlineShortened
    | ResponseDue
    | FirstByte
    | AttemptFinished
    | ClientDisconnected
    | TimerFired
    | SettingsChanged
    | ProbeFinished
    | PeerMessage
)
