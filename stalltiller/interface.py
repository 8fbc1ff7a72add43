"""Settings, events and actions of the decision module.

Clock times are seconds on one monotonic clock of the caller's choosing, durations are seconds, work is
counted in units, rates in units per second.  A node id is any hashable value that can be ordered.
Nothing here decides: a figure that a site does not state is None (or 0 where 0 means "none").
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

NodeId = int


class Effect(Enum):
    """What repeating a request of a class does."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """Which nodes drop a repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class NodeState(Enum):
    """What the node list says of a node."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a piece of node-list news is."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


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
class RequestClass:
    """A kind of request: its aim, its deadline and what a repeat of it may do.

    `writes` is None where it is not told: then each request says whether it is a write.
    """

    name: str
    aim: float
    deadline: float
    worth: float
    late_share: float
    effect: Effect
    scope: Scope
    keep: float
    streaming: bool
    in_order: bool
    writes: bool | None


@dataclass(slots=True, frozen=True)
class Plan:
    """What a volume is owed and held to, over all gateways and nodes (limit 0: no limit)."""

    name: str
    rate: float
    reservation: float
    weight: float
    price: float
    limit: float
    burst: float
    slack: float


@dataclass(slots=True, frozen=True)
class Rules:
    """Figures of the rules; None where the site does not have the rule."""

    answer_slack: float
    drain_grace: float
    cold_share: float
    cold_time: float
    tip_multiple: float
    tip_time: float
    ask_every: float | None
    order_pause: float | None
    budget_free: float | None
    budget_share: float | None
    budget_window: float | None


@dataclass(slots=True, frozen=True)
class Settings:
    """All that a gateway is told when it starts."""

    gateway: int
    gateways: int
    zone: int
    tick: float
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    rules: Rules
    mean_units: float
    largest_units: float
    cold_units: float
    share_worth: float
    spare_worth: float
    meter_period: float
    others_told: bool
    list_pushed: bool
    report_fields: tuple[str, ...]
    reports_in_answers: bool
    may_probe: bool
    may_message: bool
    may_cancel: bool
    may_copy: bool
    may_advise: bool
    max_advice: float
    max_attempts: int
    retries_marked: bool


@dataclass(slots=True, frozen=True)
class NodeEntry:
    """One line of the node list; `started` is None for a node that has long been up."""

    node: NodeId
    zone: int
    kind: int
    cell: int
    state: NodeState
    weight: float
    started: float | None


@dataclass(slots=True, frozen=True)
class NodeList:
    """News of the node list."""

    kind: ListKind
    entries: tuple[NodeEntry, ...]


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


@dataclass(slots=True, frozen=True)
class Send:
    """Pass a request to a node; `expires` is the clock time to give the attempt up (None: the client's)."""

    id: int
    node: NodeId
    expires: float | None


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: turned away, trying again is harmless, best after `retry_after` seconds (0: any time)."""

    id: int
    retry_after: float


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed, with no promise about the effect."""

    id: int


@dataclass(slots=True, frozen=True)
class Cancel:
    """Stop waiting for one attempt."""

    id: int
    attempt: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a TimerFired after `delay` seconds."""

    token: int
    delay: float


@dataclass(slots=True, frozen=True)
class Probe:
    """Send a health check to a node."""

    node: NodeId


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close this gateway's idle connections to a node."""

    node: NodeId


@dataclass(slots=True, frozen=True)
class Tell:
    """Send bytes to one gateway, or to all (None)."""

    gateway: int | None
    data: bytes


@dataclass(slots=True, frozen=True)
class Log:
    """A line for the operators."""

    text: str


@dataclass(slots=True, frozen=True)
class Watch:
    """Open or close the standing subscription to the node list."""

    on: bool


@dataclass(slots=True, frozen=True)
class FetchList:
    """Ask once for the whole node list."""


Action = Send | Refuse | Fail | Cancel | SetTimer | Probe | CloseIdle | Tell | Log | Watch | FetchList
