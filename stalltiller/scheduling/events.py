"""Events that the scheduler is told of.

Times are seconds on one monotonic clock of the caller's choosing, durations are seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from stalltiller.scheduling.settings import Settings
from stalltiller.scheduling.targets import TargetId, TargetListUpdate


class AttemptStatus(Enum):
    """How an attempt ended."""

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
    """A request taken from a client; `shard` is None for a new object, `key` is 0 for none."""

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
    """A streamed answer has begun: the attempt is the client's now."""

    request_id: int
    attempt_number: int
    target_id: TargetId
    latency: float


@dataclass(slots=True, frozen=True)
class AttemptFinished:
    """An attempt is over.  `use` is the volume's late metered use as a multiple of its plan's rate."""

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
    """The client left: nothing more is owed."""

    request_id: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer that the scheduler set has come due."""

    token: int


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """Other settings hold from now on; `Request`s after it count classes and plans by them."""

    settings: Settings


@dataclass(slots=True, frozen=True)
class ProbeFinished:
    """The result of a probe."""

    target_id: TargetId
    latency: float
    status: AttemptStatus
    report: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """Bytes from another gateway."""

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
