"""One target's slow start as the traces of a whole fleet show it, second by second.

Each attempt at a target that its initiator knows to warm up carries the field `slow_start` (see
`routing.slow_start_state`).  An attempt without it came from a process that did not know of the start.
"""

from __future__ import annotations

import statistics
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

FRESH_PROCESS_SECONDS = 2.0  # a process younger than this has seen little of its shards' requests
HEADER = "age s  sends  units  served  again  initiators  fresh  unaware  share  others  backoff"


@dataclass(frozen=True, slots=True)
class WarmingAttempt:
    """An attempt at the target; `time` in seconds, `state` is the trace's `slow_start`, if it has one."""

    time: float
    run: str
    units: float
    is_retry: bool
    served_at: float | None
    state: dict[str, Any] | None


@dataclass(slots=True)
class WarmingSecond:
    """What a fleet sent to the target in one second of its age."""

    attempts: list[WarmingAttempt] = field(default_factory=list)
    served_units: float = 0.0

    def row(self, age: int) -> str:
        """Return the second as a line of the table under `HEADER`."""
        states = [attempt.state for attempt in self.attempts if attempt.state is not None]
        fresh = sum(state["process_age"] < FRESH_PROCESS_SECONDS for state in states)
        means = [
            statistics.fmean(state[name] for state in states) if states else 0.0
            for name in ("share", "other_initiators", "overload_backoff")
        ]
        return (
            f"{age:5d}  {len(self.attempts):5d}  {sum(each.units for each in self.attempts):5.1f}"
            f"  {self.served_units:6.1f}  {sum(each.is_retry for each in self.attempts):5d}"
            f"  {len({each.run for each in self.attempts}):10d}  {fresh:5d}"
            f"  {len(self.attempts) - len(states):7d}  {means[0]:5.3f}  {means[1]:6.1f}  {means[2]:7.2f}"
        )


def target_start(attempts: Iterable[WarmingAttempt]) -> float | None:
    """Return the time of the target's last start, on the log's clock; None if no attempt tells it."""
    starts = [each.time - each.state["target_age"] for each in attempts if each.state is not None]
    return max(starts, default=None)


def describe_slow_start(attempts: list[WarmingAttempt]) -> str:
    """Return a table of what was sent to one target in each second since its last start.

    `again` counts repeated attempts, `fresh` those of processes that had just started, and `unaware` those
    of processes that did not know of the start.  Share, others and back-off are means over the attempts.
    """
    started_at = target_start(attempts)
    if started_at is None:
        return "no attempt while it warmed up"
    seconds: dict[int, WarmingSecond] = defaultdict(WarmingSecond)
    warm_at = max(each.time for each in attempts if each.state is not None)
    for each in attempts:
        if started_at <= each.time <= warm_at:
            seconds[int(each.time - started_at)].attempts.append(each)
        if each.served_at is not None and started_at <= each.served_at <= warm_at:
            seconds[int(each.served_at - started_at)].served_units += each.units
    return "\n".join([HEADER, *(seconds[age].row(age) for age in sorted(seconds))])
