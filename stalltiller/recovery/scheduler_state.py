"""Takes facts out of the decisions and gives them back to those of the next life.  No I/O."""

from __future__ import annotations

from stalltiller.recovery.snapshot import Facts, Level, Pace, start_level
from stalltiller.scheduling.scheduler import Scheduler, TargetState, Volume

SAME_START = 0.05  # s by which a target's start may seem to differ: each life reads the clocks anew


def _unix(node: TargetState, wall: float) -> float | None:
    """A target's own start."""
    return None if node.target.started_at is None else node.target.started_at + wall


def remember(scheduler: Scheduler, now: float, wall: float) -> tuple[tuple[Pace, ...], tuple[Level, ...]]:
    """Paces of targets and levels of limited volumes at `now` on the scheduler's clock; `wall` is the Unix
    time of its zero."""
    paces = tuple(
        Pace(str(name), _unix(node, wall), node.latency, node.concurrency_limit, wall + node.sent_at)
        for name, node in scheduler.targets.items()
    )
    levels = []
    for name, volume in scheduler.volumes.items():
        if volume.plan.limit > 0:
            part = volume.plan.limit / volume.initiator_count
            level = volume.limit.refill(now, part, volume.plan.burst / volume.initiator_count)
            levels.append(Level(name, volume.plan.name, volume.initiator_count, level, wall + now))
    return paces, tuple(levels)


def recall(scheduler: Scheduler, facts: Facts, now: float, wall: float) -> dict[str, int]:
    """Give usable facts to a scheduler that knows its targets; how many of each kind it took."""
    taken = {"paces": 0, "levels": 0}
    for pace in facts.paces:
        node = scheduler.targets.get(pace.target)
        if node is None or not 0.0 < pace.latency < 60.0 or not pace.window > 0.0:
            continue
        started = _unix(node, wall)
        if started == pace.since or (started and pace.since and abs(started - pace.since) < SAME_START):
            node.latency = pace.latency
            node.concurrency_limit = min(pace.window, node.concurrency_limit)
            taken["paces"] += 1
    plans = {plan.name: plan for plan in scheduler.settings.plans}
    for level in facts.levels:
        plan = plans.get(level.plan)
        if plan is None or plan.limit <= 0 or level.hosts < 1 or level.volume in scheduler.volumes:
            continue
        volume = scheduler.volumes[level.volume] = Volume(plan, level.hosts, now)
        volume.limit.level = start_level(level, plan, now + wall)
        taken["levels"] += 1
    return taken
