"""The interfaces between the engine and the components around it.

Adapters for clients build a `ClientRequest` and implement `ResponseHandler`; adapters for targets implement
`TargetClient` and report an `AttemptResult`.  `PeerNetwork` and `AdmissionGate` are optional.  Nothing here
depends on a wire format.  All methods are called on the event loop's thread and must not block.  Durations
are in seconds; times are on the loop's clock, in seconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any, Protocol

from stalltiller.routing.channel_capacity import ChannelUse
from stalltiller.routing.exchange_end import TransferProgress
from stalltiller.routing.response_deadline import ResponseDeadline
from stalltiller.scheduling import AttemptStatus, Target, TargetId

NO_DEADLINE = ResponseDeadline(math.inf)


class ResponseHandler(Protocol):
    """Sends the final response to a request's client.

    The engine calls one of `complete`, `reject` and `fail` once, or none of them if the client disconnected.
    """

    def complete(self, response: Any) -> None:
        """Forward the response of a target as its target client reported it."""

    def reject(self, retry_after: float) -> None:
        """Tell the client that a retry is harmless, best after `retry_after` seconds (0: at any time)."""

    def fail(self) -> None:
        """Tell the client that the request failed and may have been executed."""

    def is_disconnected(self) -> bool:
        """Whether the client has disconnected, even if the event loop has not reported it yet."""


@dataclass(slots=True, frozen=True)
class ClientRequest:
    """A client's request as its adapter parsed it.

    `class_index` and `plan_index` are indices into the classes and plans of the engine's settings.  `units`
    is the cost of the request, `volume_initiator_count` the number of initiators that serve its volume.
    `idempotency_key` is 0 without a key, `shard` is None for a new object.  `timeout` is the client's
    remaining time in seconds.  `payload` is for the target client and opaque to the engine.  `trace_label` is
    the client's identifier of the request in the trace.
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
    """The connection of a scheduler to the other initiators of its fleet."""

    def budget_fraction(self, key: str, need: float) -> float:
        """Return the fraction of a shared budget that this initiator may use now.

        `need` is the fraction that it could use.
        """

    def send_peer_message(self, initiator_index: int | None, data: bytes) -> None:
        """Send a message to the scheduler of one initiator, or of all (None); it may be lost."""


class AdmissionGate(Protocol):
    """Decides which requests reach the scheduler while a fleet recovers from a mass restart."""

    def admit(self, client_request: ClientRequest) -> float:
        """Return 0 to admit a request, otherwise the retry delay of its rejection in seconds."""

    def retry_after(self, delay: float) -> float:
        """Return the retry delay for a request that the scheduler rejects with `delay`, both in seconds."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to execute a request at a target.

    `number` counts the attempts of the request from 0.  The engine abandons the attempt at `expires_at`,
    which it puts off for a transfer in progress.  The target client must not send its first byte at
    `latest_start` or later; None means no limit, and the limit may become earlier while the attempt is in
    flight.  `payload` is None once the attempt or its request has finished.  `channel` is private to the
    target client; `channel_idle_time` is how long that connection was idle before, in seconds, None if it is
    new.  `deadline` is when the client's final response is due.  If that is the end of a drain, a slow
    response is passed on as it comes, so that its client has begun to get it by then.  `trace_label` is the
    client's identifier of the request.
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
    deadline: ResponseDeadline = NO_DEADLINE
    trace_label: str = ""


@dataclass(slots=True, frozen=True)
class AttemptResult:
    """How an attempt ended.

    `response` is for the client and is used only if the status is OK.  The target may have reported the
    rest: `other_units`, the units served for the volume through other initiators, and `report`, its load
    figures.
    """

    status: AttemptStatus
    response: Any = None
    other_units: float = 0.0
    report: tuple[float, ...] = ()


class TargetClient(Protocol):
    """Sends attempts to targets.

    It reports the end of each attempt once to `Engine.attempt_finished`, unless the attempt was abandoned.
    """

    def start(self, attempt: Attempt) -> None:
        """Start an attempt; its end is reported later, never from within this call."""

    def is_fully_sent(self, attempt: Attempt) -> bool:
        """Whether the target may have received the whole request of an attempt, and so may execute it."""

    def progress(self, attempt: Attempt) -> TransferProgress:
        """Return how far the transfer of an attempt has come."""

    def pass_on(self, attempt: Attempt) -> bool:
        """Finish an attempt by passing on the rest of its response as it arrives, if its progress allows it.

        Return False if that is impossible; the attempt then stays in flight.
        """

    def abandon(self, attempt: Attempt) -> bool:
        """Abort an attempt without reporting it; return whether the target may execute it."""

    def close_idle(self, target_id: TargetId) -> None:
        """Close the idle connections to a target."""

    def channel_use(self) -> ChannelUse:
        """Return how many connections to targets are in use."""


@dataclass(slots=True, frozen=True)
class TargetEndpoint:
    """A target with the address by which this host reaches it."""

    target: Target
    host: str
    port: int
