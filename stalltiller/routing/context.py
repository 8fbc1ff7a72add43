"""What the parts of one engine share: its clock, settings, collaborators, counters and logs."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from stalltiller.routing.guard import GuardViolation
from stalltiller.routing.ports import AdmissionGate, Attempt, ClientRequest, TargetClient
from stalltiller.scheduling import Settings, TargetId

Logger = Callable[..., None]  # called with the name of an event and its details as keywords


# Names of exported counters, besides the values of `RequestOutcome` and `attempt_STATUS` for each status.
COUNT_RECEIVED = "taken"
COUNT_NOT_ADMITTED = "turned_back"
COUNT_ATTEMPTS = "attempts"
COUNT_GUARD_VIOLATIONS = "faults"


class AdmitAll:
    """The admission gate of an engine that was given none."""

    def admit(self, _client_request: ClientRequest) -> float:
        """Admit every request."""
        return 0.0

    def retry_after(self, delay: float) -> float:
        """Keep the scheduler's delay."""
        return delay


class NoTargetClient:
    """The target client of an engine that was given none: using it is an error of the caller."""

    def start(self, attempt: Attempt) -> None:
        """Raise `RuntimeError`."""
        raise RuntimeError(f"no target client to start an attempt at {attempt.target_id}")

    def is_fully_sent(self, attempt: Attempt) -> bool:
        """Raise `RuntimeError`."""
        raise RuntimeError(f"no target client has sent an attempt to {attempt.target_id}")

    def abandon(self, attempt: Attempt) -> bool:
        """Raise `RuntimeError`."""
        raise RuntimeError(f"no target client has an attempt at {attempt.target_id}")

    def close_idle(self, target_id: TargetId) -> None:
        """Raise `RuntimeError`."""
        raise RuntimeError(f"no target client has connections to {target_id}")


def discard_peer_message(initiator_index: int | None, data: bytes) -> None:
    """Stand in for a peer network where there is none."""


@dataclass(slots=True)
class EngineContext:
    """Shared state of one engine; `engine.Engine` owns it.

    `scheduler_epoch` is the zero of the scheduler's clock on the loop's clock, in seconds.
    """

    loop: asyncio.AbstractEventLoop
    scheduler_epoch: float
    settings: Settings
    log: Logger
    trace: Logger | None  # writes one line for each step of each request; None: no trace
    counts: Counter[str] = field(default_factory=Counter)
    target_client: TargetClient = field(default_factory=NoTargetClient)
    admission_gate: AdmissionGate = field(default_factory=AdmitAll)
    send_peer_message: Callable[[int | None, bytes], None] = discard_peer_message

    def report_violation(self, violation: GuardViolation, **details: object) -> None:
        """Count and log that a guard stepped in."""
        self.counts[COUNT_GUARD_VIOLATIONS] += 1
        self.log("fault", reason=violation.value, **details)
