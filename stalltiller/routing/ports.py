"""The interfaces between the engine and what surrounds it.

Adapters for clients build a `ClientRequest` and implement `ResponseHandler`; adapters for targets implement
`TargetClient` and report an `AttemptResult`.  `PeerNetwork` and `AdmissionGate` are optional.  Nothing here
depends on a wire format.  All methods are called on the event loop's thread and must not block.  Durations
are in seconds; times are on the loop's clock, in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Protocol

from stalltiller.scheduling import AttemptStatus, Target, TargetId


class ResponseHandler(Protocol):
    """Returns the final answer to a request's client.

    The engine calls at most one of `complete`, `reject` and `fail`, and that once: none if the client
    disconnected.
    """

    def complete(self, answer: Any) -> None:
        """Pass on the answer of a target, as its target client reported it."""

    def reject(self, retry_after: float) -> None:
        """Tell the client that a retry is harmless, best after `retry_after` seconds (0: at any time)."""

    def fail(self) -> None:
        """Tell the client that the request failed and may have been executed."""

    def is_disconnected(self) -> bool:
        """Whether the client has disconnected, even if the event loop has not reported it yet."""


@dataclass(slots=True, frozen=True)
class ClientRequest:
    """A request as its adapter read it from a client.

    `class_index` and `plan_index` count the classes and plans of the engine's settings.  `units` is the work
    that the request costs, `volume_initiator_count` the number of initiators that serve its volume.
    `idempotency_key` is 0 without a key, `shard` is None for a new object.  `timeout` is the time that the
    client has left, in seconds.  `payload` is for the target client and is not read by the engine.
    `trace_label` is the client's name for the request in the trace.
    """

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
    trace_label: str = ""


class PeerNetwork(Protocol):
    """The other initiators of a fleet, as far as the scheduler may use them."""

    def budget_fraction(self, key: str, need: float) -> float:
        """The fraction of a shared budget that this initiator may use now.

        `need` is the fraction that it could use.
        """

    def send_peer_message(self, initiator_index: int | None, data: bytes) -> None:
        """Send a message to the scheduler of one initiator, or of all (None); it may be lost."""


class AdmissionGate(Protocol):
    """Decides which requests reach the scheduler while a fleet recovers from a mass restart."""

    def admit(self, client_request: ClientRequest) -> float:
        """0 to admit a request; otherwise it is rejected with this retry delay, in seconds."""

    def retry_after(self, delay: float) -> float:
        """The retry delay for a client that the scheduler rejects with `delay`, both in seconds."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One try of a request at a target.

    `number` counts the attempts of the request from 0.  The engine abandons the attempt at `expires_at`.  The
    target client must not send its first byte at `latest_start` or later; None means that nothing bounds it,
    and the bound may become earlier while the attempt is in flight.  `channel` is the target client's own;
    `channel_idle_time` is how long that connection had been idle before, in seconds, None if it is new.
    """

    request_id: int
    number: int
    target_id: TargetId
    host: str
    port: int
    shard: int | None
    payload: Any
    sent_at: float
    expires_at: float
    latest_start: float | None = None
    channel: Any = field(default=None, repr=False)
    channel_idle_time: float | None = None


@dataclass(slots=True, frozen=True)
class AttemptResult:
    """How an attempt ended.

    `answer` is for the client and is only used if the status is OK.  The rest is what the target reported, if
    anything: `other_units`, the work that the volume had done through other initiators, and `report`, the
    figures of the target's load.
    """

    status: AttemptStatus
    answer: Any = None
    other_units: float = 0.0
    report: tuple[float, ...] = ()


class TargetClient(Protocol):
    """Sends attempts to targets.

    It reports the end of each attempt once by `Engine.attempt_finished`, unless the attempt was abandoned.
    """

    def start(self, attempt: Attempt) -> None:
        """Start an attempt; its end is reported later, never from within this call."""

    def is_fully_sent(self, attempt: Attempt) -> bool:
        """Whether the target may have received all of an attempt, so that it may execute it."""

    def abandon(self, attempt: Attempt) -> bool:
        """Give an attempt up without a report; return whether the target may execute it."""

    def close_idle(self, target_id: TargetId) -> None:
        """Close the idle connections to a target."""


@dataclass(slots=True, frozen=True)
class TargetEndpoint:
    """A target with the address by which this host reaches it."""

    target: Target
    host: str
    port: int
