"""What the engine and a front ask of each other, in terms of no wire."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Protocol

from stalltiller.scheduling import NodeEntry, NodeId, Status


class Reply(Protocol):
    """The way back to a request's client; the engine calls exactly one of these, once."""

    def served(self, answer: Any) -> None:
        """Pass on what a target answered."""

    def refused(self, retry_after: float) -> None:
        """Trying again is harmless, best after so many seconds."""

    def failed(self) -> None:
        """No promise about the effect."""

    def left(self) -> bool:
        """Whether the client has gone, also where the loop has not come to see it."""


@dataclass(slots=True, frozen=True)
class Incoming:
    """A request as a front read it; `payload` is the front's own and only passed on."""

    cls: int
    plan: int
    volume: int
    units: float
    hosts: int
    key: int
    shard: int | None
    write: bool
    repeat: bool
    timeout: float
    payload: Any
    reply: Reply
    label: str = ""  # the client's name for it, for the trace


class Peers(Protocol):
    """What the decisions may use of other instances, where an operator has made them a fleet; never waits."""

    def part(self, key: str, need: float) -> float:
        """The part of a shared budget that may be used now, for who could use that part of it."""

    def tell(self, position: int | None, letter: bytes) -> None:
        """Send a letter to the decisions of another instance, or of all; it may be lost."""


class Door(Protocol):
    """Stands before the decisions while an instance comes back with many others; answers at once."""

    def admit(self, incoming: Incoming) -> float:
        """0 if a request may go on; else it is refused, with the seconds after which to return."""

    def advise(self, advice: float) -> float:
        """The seconds to tell a client whom the decisions refuse with that advice."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One try of a request at a target; `wire` is for the front that carries it."""

    id: int
    number: int
    node: NodeId
    host: str
    port: int
    shard: int | None
    payload: Any
    sent_at: float
    expires: float
    last_start: float | None = None  # when a drain ends the time for first bytes; None: no drain
    wire: Any = field(default=None, repr=False)
    idle_for: float | None = None  # s for which `wire` had stood idle before; None: it is new


@dataclass(slots=True, frozen=True)
class Ending:
    """How a target ended an attempt; `answer` goes to the client if the status is OK."""

    status: Status
    answer: Any = None
    others: float = 0.0
    report: tuple[float, ...] = ()


class Carrier(Protocol):
    """Carries attempts to targets.  It reports each end once by `Engine.ended`, unless it was abandoned."""

    def start(self, attempt: Attempt) -> None:
        """Begin an attempt; its end is reported later, never from within this call."""

    def begun(self, attempt: Attempt) -> bool:
        """Whether the target may have the whole of an attempt, so that giving it up undoes nothing."""

    def abandon(self, attempt: Attempt) -> bool:
        """Give an attempt up for good; whether it may have run."""

    def close_idle(self, node: NodeId) -> None:
        """Close what stands idle to a target."""


@dataclass(slots=True, frozen=True)
class Place:
    """A line of the target list with the address that this machine reaches it by."""

    entry: NodeEntry
    host: str
    port: int
