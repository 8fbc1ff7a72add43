"""Tabulates the slow start of one target per second, from the traces of a whole fleet.

An attempt carries the field `slow_start` (see `routing.slow_start_state`) if its initiator knows that the
target is warming up.  An attempt without it came from a process that did not know of the target's start.
"""

from __future__ import annotations

import statistics
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

RECENT_START_SECONDS = 2.0  # a younger process has seen few of its shards' requests
HEADER = "age s  sends  units  served  retries  initiators  recent  unaware  share  others  backoff"


@dataclass(frozen=True, slots=True)
class WarmingAttempt:
    """An attempt at the target; times are in seconds, `state` is the `slow_start` field if there is one."""

    time: float
    run: str
    units: float
    is_retry: bool
    served_at: float | None
    state: dict[str, Any] | None


@dataclass(slots=True)
class WarmingSecond:
    """The fleet's load on the target in one second of the target's age."""

    attempts: list[WarmingAttempt] = field(default_factory=list)
    served_units: float = 0.0

    def row(self, age: int) -> str:
        """Return the line of this second in the table under `HEADER`."""
        states = [attempt.state for attempt in self.attempts if attempt.state is not None]
        recent = sum(state["process_age"] < RECENT_START_SECONDS for state in states)
        means = [
            statistics.fmean(state[name] for state in states) if states else 0.0
            for name in ("share", "other_initiators", "overload_backoff")
        ]
        return (
            f"{age:5d}  {len(self.attempts):5d}  {sum(attempt.units for attempt in self.attempts):5.1f}"
            f"  {self.served_units:6.1f}  {sum(attempt.is_retry for attempt in self.attempts):7d}"
            f"  {len({attempt.run for attempt in self.attempts}):10d}  {recent:6d}"
            f"  {len(self.attempts) - len(states):7d}  {means[0]:5.3f}  {means[1]:6.1f}  {means[2]:7.2f}"
        )


def target_start(attempts: Iterable[WarmingAttempt]) -> float | None:
    """Return the time of the target's last start on the log's clock; None if no attempt states its age."""
    starts = [attempt.time - attempt.state["target_age"] for attempt in attempts if attempt.state is not None]
    return max(starts, default=None)


def describe_slow_start(attempts: list[WarmingAttempt]) -> str:
    """Return a table of the load on one target in each second since its last start.

    `recent` counts the attempts of processes that had just started, `unaware` those of processes that did not
    know of the target's start.  `share`, `others` (other initiators) and `backoff` are means over attempts.
    """
    started_at = target_start(attempts)
    if started_at is None:
        return "no attempts at the target while it was warming up"
    seconds: dict[int, WarmingSecond] = defaultdict(WarmingSecond)
    warmed_up_at = max(attempt.time for attempt in attempts if attempt.state is not None)
    for attempt in attempts:
        if started_at <= attempt.time <= warmed_up_at:
            seconds[int(attempt.time - started_at)].attempts.append(attempt)
        if attempt.served_at is not None and started_at <= attempt.served_at <= warmed_up_at:
            seconds[int(attempt.served_at - started_at)].served_units += attempt.units
    return "\n".join([HEADER, *(seconds[age].row(age) for age in sorted(seconds))])
