"""Events that the scheduler is told of.

Times are seconds on one monotonic clock of the caller's choosing, durations are seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from stalltiller.scheduling.settings import Settings
from stalltiller.scheduling.targets import NodeId, NodeList


class Status(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"


@dataclass(slots=True, frozen=True)
class Request:
    """A request taken from a client; `shard` is None for a new object, `key` is 0 for none."""

    id: int
    cls: int
    plan: int
    volume: int
    units: float
    hosts: int
    key: int
    shard: int | None
    write: bool
    repeat: bool
    left: float


@dataclass(slots=True, frozen=True)
class FirstByte:
    """A streamed answer has begun: the attempt is the client's now."""

    id: int
    attempt: int
    node: NodeId
    took: float


@dataclass(slots=True, frozen=True)
class Outcome:
    """An attempt is over.  `use` is the volume's late metered use as a multiple of its plan's rate."""

    id: int
    attempt: int
    node: NodeId
    status: Status
    took: float
    over: bool
    use: float | None
    others: float
    report: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class ClientGone:
    """The client left: nothing more is owed."""

    id: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer that the scheduler set has come due."""

    token: int


@dataclass(slots=True, frozen=True)
class Retuned:
    """Other settings hold from now on; `Request`s after it count classes and plans by them."""

    settings: Settings


@dataclass(slots=True, frozen=True)
class Probed:
    """The result of a probe."""

    node: NodeId
    took: float
    status: Status
    report: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class Message:
    """Bytes from another gateway."""

    sender: int
    data: bytes


Event = NodeList | Request | FirstByte | Outcome | ClientGone | TimerFired | Retuned | Probed | Message
