"""Schedules an initiator's calls to discovery for the target list, in a fleet.

The first call after a mass restart and all calls after failures are made in slots of a cycle that the members
share (see `recovery.poll_schedule`), so that together they do not overload discovery.
"""

from __future__ import annotations

import random
import time

from stalltiller.daemon.recovery_coordinator import RecoveryCoordinator
from stalltiller.recovery import PollSchedule
from stalltiller.transport.watch import BackoffPollPolicy


class ListPollPolicy:
    """The poll policy of a fleet's member; `standalone_policy` is that of a standalone initiator."""

    def __init__(self, standalone_policy: BackoffPollPolicy, coordinator: RecoveryCoordinator) -> None:
        self._standalone_policy = standalone_policy
        self._coordinator = coordinator
        self._schedule = PollSchedule(standalone_policy.poll_wait, random.Random())

    def timeout(self, may_wait: bool) -> float:
        """Return the timeout of a call and its response; `may_wait`: the call may wait for changes."""
        return self._standalone_policy.timeout(may_wait)

    def initial_delay(self) -> float:
        """Return 0 if the first call may be made now, else the seconds until the next check."""
        return self._coordinator.initial_poll_delay(self._schedule)

    def backoff(self, failures: int, jitter_fraction: float) -> float:
        """Return the seconds until the next call after `failures` consecutive failures (1 or more)."""
        view = self._coordinator.handle_poll_failure()
        if view.member_count == 1 and self._coordinator.mass_restart_detector.last_known_fleet_size == 1:
            return self._standalone_policy.backoff(failures, jitter_fraction)
        return self._schedule.retry_delay(time.time(), view, failures)
