"""Captures the scheduler's learned state for a snapshot, and restores it after a restart.  No I/O."""

from __future__ import annotations

from typing import NamedTuple, cast

from stalltiller.recovery.snapshot import (
    RecoverySnapshot,
    TargetLatencyEstimate,
    VolumeTokenLevel,
    initial_token_level,
)
from stalltiller.scheduling.scheduler import Scheduler, TargetState, Volume

START_TIME_TOLERANCE_SECONDS = 0.05  # each process measures the offset of its clocks with a small error
MAX_PLAUSIBLE_LATENCY_SECONDS = 60.0  # no request stays in flight that long


class SchedulerState(NamedTuple):
    """The learned state of a scheduler."""

    latency_estimates: tuple[TargetLatencyEstimate, ...]
    token_levels: tuple[VolumeTokenLevel, ...]


class RestoredCounts(NamedTuple):
    """The number of entries of each kind that a scheduler accepted."""

    latency_estimates: int
    token_levels: int


def capture_state(scheduler: Scheduler, now: float, clock_offset: float) -> SchedulerState:
    """Return the estimates for all targets and the token levels of all limited volumes.

    `now` is a time on the scheduler's clock, and `clock_offset` the Unix time of that clock's zero.
    """
    estimates = tuple(
        TargetLatencyEstimate(
            target_name=str(target_id),
            target_started_at=_unix_start_time(state, clock_offset),
            latency=state.latency,
            concurrency_limit=state.concurrency_limit,
            measured_at=clock_offset + state.sent_at,
        )
        for target_id, state in scheduler.targets.items()
    )
    token_levels = []
    for volume_id, volume in scheduler.volumes.items():
        if volume.plan.limit > 0:
            rate = volume.plan.limit / volume.initiator_count
            units = volume.limit.refill(now, rate, volume.plan.burst / volume.initiator_count)
            token_levels.append(
                VolumeTokenLevel(
                    volume_id, volume.plan.name, volume.initiator_count, units, clock_offset + now
                )
            )
    return SchedulerState(estimates, tuple(token_levels))


def restore_state(
    scheduler: Scheduler, snapshot: RecoverySnapshot, now: float, clock_offset: float
) -> RestoredCounts:
    """Restore a snapshot without expired parts into a scheduler that already has its target list.

    `now` and `clock_offset` are as in `capture_state`.  Returns how many entries were accepted.
    """
    return RestoredCounts(
        _restore_estimates(scheduler, snapshot.latency_estimates, clock_offset),
        _restore_token_levels(scheduler, snapshot.token_levels, now, clock_offset),
    )


def _unix_start_time(state: TargetState, clock_offset: float) -> float | None:
    if state.target.started_at is None:
        return None
    return state.target.started_at + clock_offset


def _restore_estimates(
    scheduler: Scheduler, estimates: tuple[TargetLatencyEstimate, ...], clock_offset: float
) -> int:
    states = cast("dict[str, TargetState]", scheduler.targets)  # the daemon identifies targets by name
    restored = 0
    for estimate in estimates:
        state = states.get(estimate.target_name)
        if state is None or not _is_plausible(estimate):
            continue
        if _is_same_start(_unix_start_time(state, clock_offset), estimate.target_started_at):
            state.latency = estimate.latency
            state.concurrency_limit = min(estimate.concurrency_limit, state.concurrency_limit)
            restored += 1
    return restored


def _is_plausible(estimate: TargetLatencyEstimate) -> bool:
    return 0.0 < estimate.latency < MAX_PLAUSIBLE_LATENCY_SECONDS and estimate.concurrency_limit > 0.0


def _is_same_start(start: float | None, other_start: float | None) -> bool:
    if start == other_start:
        return True
    return bool(start and other_start and abs(start - other_start) < START_TIME_TOLERANCE_SECONDS)


def _restore_token_levels(
    scheduler: Scheduler, levels: tuple[VolumeTokenLevel, ...], now: float, clock_offset: float
) -> int:
    plans = {plan.name: plan for plan in scheduler.settings.plans}
    restored = 0
    for level in levels:
        plan = plans.get(level.plan_name)
        if plan is None or plan.limit <= 0 or level.initiator_count < 1:
            continue
        if level.volume in scheduler.volumes:
            continue
        volume = Volume(plan, level.initiator_count, now)
        volume.limit.level = initial_token_level(level, plan, now + clock_offset)
        scheduler.volumes[level.volume] = volume
        restored += 1
    return restored
