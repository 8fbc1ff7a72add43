"""Schedules the calls to discovery during a mass restart.  No I/O.

All members share a cycle on the wall clock, in which the rank of each determines its slot.  The fleet thus
calls discovery at most PEAK_CALL_RATE_FACTOR times as often as in normal operation.
"""

from __future__ import annotations

import random

from stalltiller.recovery.mass_restart import FleetView

PEAK_CALL_RATE_FACTOR = 1.5  # list calls per second, relative to normal operation
MIN_RETRY_CYCLE_FRACTION = 0.25  # a closer slot is skipped, since the failed call used it
MAX_FAILURES_AT_FULL_RATE = (
    3  # after more, others may be overloading discovery, so every second slot is skipped
)


class PollSchedule:
    """The slot of one member in a cycle of `poll_wait` / PEAK_CALL_RATE_FACTOR seconds.

    `poll_wait` is how long discovery holds a call in normal operation, so that each member calls about once
    in that time.  Members with the same view of the fleet never share a slot; a member that knows no peer
    uses a random slot (full jitter).
    """

    def __init__(self, poll_wait: float, rng: random.Random) -> None:
        self.cycle_seconds = poll_wait / PEAK_CALL_RATE_FACTOR
        self._random_phase = rng.random()

    def initial_delay(self, unix_time: float, view: FleetView) -> float:
        """Return the seconds from a Unix time until this member's next slot."""
        phase = self._random_phase
        if view.member_count > 1:
            phase = (view.rank + 0.5) / view.member_count
        return (phase * self.cycle_seconds - unix_time) % self.cycle_seconds

    def retry_delay(self, unix_time: float, view: FleetView, failures: int) -> float:
        """Return the seconds until the next call after `failures` consecutive failed calls (1 or more)."""
        delay = self.initial_delay(unix_time, view)
        if delay < MIN_RETRY_CYCLE_FRACTION * self.cycle_seconds:
            delay += self.cycle_seconds
        if failures > MAX_FAILURES_AT_FULL_RATE:
            delay += self.cycle_seconds
        return delay
