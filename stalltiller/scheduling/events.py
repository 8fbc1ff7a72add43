"""Events that the scheduler handles.

Times are seconds on one monotonic clock of the caller's choosing, durations are seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from stalltiller.scheduling.settings import Settings
from stalltiller.scheduling.targets import TargetId, TargetListUpdate


class AttemptStatus(Enum):
    """How an attempt ended.

    REJECTED, CONNECT_FAILED and NOT_STARTED prove that the target did not execute the request: it was at
    capacity, could not be reached, or the attempt was dropped before it was sent.  After an ERROR, a
    TIMEOUT, a RESET of the connection or a CANCELLED attempt the request may have been executed.
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
    """A request accepted from a client, which must get one final answer.

    request_id: unique; a client's next try has another one.
    class_index, plan_index: positions in `Settings.classes` and `Settings.plans`.
    volume: the volume that it belongs to.
    units: its size, as reservations, limits and values count it.
    volume_initiator_count: number of initiators through which the volume's requests arrive.
    idempotency_key: identifies the data that it reads or writes, 0 for none.
    shard: the shard that holds the data, None for a new object, which any target may take.
    is_write, is_retry: whether it writes, and whether the client marked it as a repeat.
    time_remaining: seconds until the client gives this try up.
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


@dataclass(slots=True, frozen=True)
class FirstByte:
    """A streamed answer has begun, `latency` seconds after its send; the client receives the rest."""

    request_id: int
    attempt_number: int
    target_id: TargetId
    latency: float


@dataclass(slots=True, frozen=True)
class AttemptFinished:
    """An attempt is over.

    request_id, attempt_number: which; a request's attempts are numbered from 0.
    target_id: the target that it was sent to.
    status: how it ended.
    latency: seconds since its send.
    request_done: the request has its final answer, by this result or before.
    volume_usage: metered use of the volume over all initiators in a past period, as a multiple of its
        plan's rate; None where there is none.
    other_units: units that the shard served for the volume through other initiators since its last answer.
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
    """The client has disconnected: the request needs no answer any more."""

    request_id: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The timer that `SetTimer` set with this token has expired."""

    token: int


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """Other settings apply from now on; later `Request`s index classes and plans by them."""

    settings: Settings


@dataclass(slots=True, frozen=True)
class ProbeFinished:
    """The result of a probe: seconds since its send, and the target's load report."""

    target_id: TargetId
    latency: float
    status: AttemptStatus
    report: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """Bytes from another initiator, as its `SendPeerMessage` gave them."""

    sender_index: int
    data: bytes


Event = (
    TargetListUpdate
    | Request
    | FirstByte
    | AttemptFinished
    | ClientDisconnected
    | TimerFired
    | SettingsChanged
    | ProbeFinished
    | PeerMessage
)
