"""State shared by the components of one engine: clock, settings, collaborators, counters and logs."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from stalltiller.routing.channel_capacity import ChannelUse
from stalltiller.routing.exchange_end import ExchangeEnd, TransferProgress
from stalltiller.routing.guard import GuardViolation
from stalltiller.routing.ports import AdmissionGate, Attempt, ClientRequest, TargetClient
from stalltiller.routing.transfer_monitor import TransferMonitor
from stalltiller.scheduling import Settings, TargetId

Logger = Callable[..., None]  # takes the event's name and its details as keyword arguments

# Names of exported counters; others are the values of `RequestOutcome` and `attempt_STATUS` for each status.
COUNT_RECEIVED = "taken"
COUNT_NOT_ADMITTED = "turned_back"
COUNT_AFTER_DRAIN = "rejected_after_drain"
COUNT_WITHOUT_CHANNEL = "rejected_without_channel"
COUNT_ATTEMPTS = "attempts"
COUNT_GUARD_VIOLATIONS = "faults"


class AdmitAll:
    """The default admission gate, which admits every request."""

    def admit(self, _client_request: ClientRequest) -> float:
        """Admit every request."""
        return 0.0

    def retry_after(self, delay: float) -> float:
        """Return the scheduler's delay unchanged."""
        return delay


class NoTargetClient:
    """Placeholder until a target client is set: any use of it is a programming error."""

    def start(self, attempt: Attempt) -> None:
        """Raise `RuntimeError`."""
        raise RuntimeError(f"cannot start an attempt at target {attempt.target_id}: no target client is set")

    def is_fully_sent(self, attempt: Attempt) -> bool:
        """Raise `RuntimeError`."""
        raise RuntimeError(
            f"no attempt to target {attempt.target_id} can have been sent: no target client is set"
        )

    def progress(self, attempt: Attempt) -> TransferProgress:
        """Raise `RuntimeError`."""
        raise RuntimeError(
            f"no attempt to target {attempt.target_id} can have begun: no target client is set"
        )

    def pass_on(self, attempt: Attempt) -> bool:
        """Raise `RuntimeError`."""
        raise RuntimeError(f"target {attempt.target_id} can't have responded: no target client is set")

    def abandon(self, attempt: Attempt) -> bool:
        """Raise `RuntimeError`."""
        raise RuntimeError(
            f"cannot abandon an attempt at target {attempt.target_id}: no target client is set"
        )

    def close_idle(self, target_id: TargetId) -> None:
        """Raise `RuntimeError`."""
        raise RuntimeError(f"cannot close connections to target {target_id}: no target client is set")

    def channel_use(self) -> ChannelUse:
        """Return that no channel is in use."""
        return ChannelUse(max_count=1)


def discard_peer_message(initiator_index: int | None, data: bytes) -> None:
    """Discard a peer message; used if there is no peer network."""


@dataclass(slots=True)
class EngineContext:
    """Shared state of one engine; `engine.Engine` owns it.

    `scheduler_epoch` is the loop time at which the scheduler's clock reads zero, in seconds.  `monitor`
    watches the transfers of all adapters.
    """

    loop: asyncio.AbstractEventLoop
    scheduler_epoch: float
    settings: Settings
    log: Logger
    monitor: TransferMonitor
    trace: Logger | None  # writes one line per step of a request; None disables tracing
    counts: Counter[str] = field(default_factory=Counter)
    target_client: TargetClient = field(default_factory=NoTargetClient)
    admission_gate: AdmissionGate = field(default_factory=AdmitAll)
    send_peer_message: Callable[[int | None, bytes], None] = discard_peer_message

    def report_exchange_end(self, exchange_end: ExchangeEnd) -> None:
        """Count and log that the initiator ended an exchange in progress."""
        self.counts[f"ended_{exchange_end.rule.value}"] += 1
        self.log("exchange_ended", **exchange_end.details())

    def report_violation(self, violation: GuardViolation, **details: object) -> None:
        """Count and log a violation that a guard has stopped."""
        self.counts[COUNT_GUARD_VIOLATIONS] += 1
        self.log("fault", reason=violation.value, **details)
