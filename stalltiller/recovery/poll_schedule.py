"""Times of the calls to discovery during a mass restart.  Pure.

All members share a cycle on the wall clock, in which each has a slot of its own by its rank.  So the fleet
together calls discovery no more than PEAK_CALL_RATE_FACTOR times as often as in normal operation.
"""

from __future__ import annotations

import random

from stalltiller.recovery.mass_restart import FleetView

PEAK_CALL_RATE_FACTOR = 1.5  # list calls per second, compared with normal operation
MIN_RETRY_CYCLE_FRACTION = 0.25  # a slot that comes sooner after a call is the one that was just used
MAX_FAILURES_EVERY_CYCLE = 3  # past so many, discovery may be overloaded by others: every second slot is used


class PollSchedule:
    """The slot of one member in a cycle of `poll_wait` / PEAK_CALL_RATE_FACTOR seconds.

    `poll_wait` is how long a call waits at discovery in normal operation, so that each member calls about
    once in that time.  Members that see the same fleet never share a slot; a member that knows no peer draws
    its slot at random (full jitter).
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
        """Return the seconds until the next call after `failures` failed calls in a row (1 or more)."""
        delay = self.initial_delay(unix_time, view)
        if delay < MIN_RETRY_CYCLE_FRACTION * self.cycle_seconds:
            delay += self.cycle_seconds
        if failures > MAX_FAILURES_EVERY_CYCLE:
            delay += self.cycle_seconds
        return delay
