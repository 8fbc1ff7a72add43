"""What the engine and a front ask of each other, in terms of no wire."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Protocol

from stalltiller.scheduling import AttemptStatus, Target, TargetId


class ResponseHandler(Protocol):
    """The way back to a request's client; the engine calls exactly one of these, once."""

    def complete(self, answer: Any) -> None:
        """Pass on what a target answered."""

    def reject(self, retry_after: float) -> None:
        """Trying again is harmless, best after so many seconds."""

    def fail(self) -> None:
        """No promise about the effect."""

    def is_disconnected(self) -> bool:
        """Whether the client has gone, also where the loop has not come to see it."""


@dataclass(slots=True, frozen=True)
class ClientRequest:
    """A request as a front read it; `payload` is the front's own and only passed on."""

    class_index: int
    plan_index: int
    volume: int
    units: float
    volume_initiator_count: int
    idempotency_key: int
    shard: int | None
    is_write: bool
    is_retry: bool
    timeout: float
    payload: Any
    response_handler: ResponseHandler
    trace_label: str = ""  # the client's name for it, for the trace


class PeerNetwork(Protocol):
    """What the decisions may use of other instances, where an operator has made them a fleet; never waits."""

    def budget_fraction(self, key: str, need: float) -> float:
        """The part of a shared budget that may be used now, for who could use that part of it."""

    def send_peer_message(self, initiator_index: int | None, data: bytes) -> None:
        """Send a letter to the decisions of another instance, or of all; it may be lost."""


class AdmissionGate(Protocol):
    """Stands before the decisions while an instance comes back with many others; answers at once."""

    def admit(self, client_request: ClientRequest) -> float:
        """0 if a request may go on; else it is refused, with the seconds after which to return."""

    def retry_after(self, delay: float) -> float:
        """The seconds to tell a client whom the decisions refuse with that advice."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One try of a request at a target; `wire` is for the front that carries it."""

    request_id: int
    number: int
    target_id: TargetId
    host: str
    port: int
    shard: int | None
    payload: Any
    sent_at: float
    expires_at: float
    latest_start: float | None = None  # when a drain ends the time for first bytes; None: no drain
    channel: Any = field(default=None, repr=False)
    channel_idle_time: float | None = None  # s for which `wire` had stood idle before; None: it is new


@dataclass(slots=True, frozen=True)
class AttemptResult:
    """How a target ended an attempt; `answer` goes to the client if the status is OK."""

    status: AttemptStatus
    answer: Any = None
    other_units: float = 0.0
    report: tuple[float, ...] = ()


class TargetClient(Protocol):
    """Carries attempts to targets.  It reports each end once by `Engine.ended`, unless it was abandoned."""

    def start(self, attempt: Attempt) -> None:
        """Begin an attempt; its end is reported later, never from within this call."""

    def is_fully_sent(self, attempt: Attempt) -> bool:
        """Whether the target may have the whole of an attempt, so that giving it up undoes nothing."""

    def abandon(self, attempt: Attempt) -> bool:
        """Give an attempt up for good; whether it may have run."""

    def close_idle(self, node: TargetId) -> None:
        """Close what stands idle to a target."""


@dataclass(slots=True, frozen=True)
class TargetEndpoint:
    """A line of the target list with the address that this machine reaches it by."""

    target: Target
    host: str
    port: int
