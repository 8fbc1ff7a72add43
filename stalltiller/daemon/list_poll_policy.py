"""When an initiator of a fleet calls discovery for the target list.

During a mass restart the first call and the calls after failures are made in slots of a cycle that the
members share (see `recovery.poll_schedule`), so that they do not overload discovery together.
"""

from __future__ import annotations

import random
import time

from stalltiller.daemon.recovery_coordinator import RecoveryCoordinator
from stalltiller.recovery import PollSchedule
from stalltiller.transport.watch import BackoffPollPolicy


class ListPollPolicy:
    """The poll policy of a fleet's member; `single_policy` is that of an initiator without a fleet."""

    def __init__(self, single_policy: BackoffPollPolicy, coordinator: RecoveryCoordinator) -> None:
        self._single_policy = single_policy
        self._coordinator = coordinator
        self._schedule = PollSchedule(single_policy.poll_wait, random.Random())

    def timeout(self, waits: bool) -> float:
        """Return the seconds for a call, which may wait for changes or not, and its answer."""
        return self._single_policy.timeout(waits)

    def initial_delay(self) -> float:
        """Return the seconds after which to ask again whether the first call may be made; 0: now."""
        return self._coordinator.initial_poll_delay(self._schedule)

    def backoff(self, failures: int, jitter_fraction: float) -> float:
        """Return the seconds until the next call after so many failures in a row (1 or more)."""
        view = self._coordinator.handle_poll_failure()
        if view.member_count == 1 and self._coordinator.mass_restart_detector.last_known_fleet_size == 1:
            return self._single_policy.backoff(failures, jitter_fraction)
        return self._schedule.retry_delay(time.time(), view, failures)
