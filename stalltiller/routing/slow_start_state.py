"""The scheduler's slow-start state of a target, for traces; it is not used for decisions."""

from __future__ import annotations

from dataclasses import dataclass

from stalltiller.scheduling.scheduler import Scheduler
from stalltiller.scheduling.targets import TargetId


@dataclass(frozen=True, slots=True)
class SlowStartState:
    """One initiator's view of a target that is warming up; times in seconds, work in units.

    target_age: time since the start of the target according to the target list.
    process_age: time since this process began to count requests.
    share: this initiator's fraction of the target's slow-start budget in a window.
    other_initiators: estimated number of others that send requests to the target's shard in a window.
    overload_backoff: factor on the share, below 1 after signs of overload.
    window_units: units counted against the share in the current window.
    """

    target_age: float
    process_age: float
    share: float
    other_initiators: float
    overload_backoff: float
    window_units: float


def slow_start_state(scheduler: Scheduler, target_id: TargetId) -> SlowStartState | None:
    """Return the slow-start state of a target that is warming up; None for any other target."""
    target = scheduler.targets.get(target_id)
    if target is None or target.target.started_at is None:
        return None
    rules = scheduler.settings.rules
    target_age = scheduler.now - target.target.started_at
    if target_age >= rules.slow_start_duration:
        return None
    return SlowStartState(
        target_age=round(target_age, 3),
        process_age=round(scheduler.now - scheduler.started_at, 3),
        share=round(target.slow_start_share, 5),
        other_initiators=round(target.slow_start_other_initiators, 2),
        overload_backoff=round(target.overload_backoff, 3),
        window_units=round(target.slow_start_units.total_since(scheduler.now - rules.overload_window), 3),
    )
