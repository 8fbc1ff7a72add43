"""Tracks the progress of an initiator's recovery after its start, and how long it took.  No I/O."""

from __future__ import annotations

from collections import deque
from enum import StrEnum
from typing import NamedTuple

FULL_SERVICE_FRACTION = 0.95  # required served fraction, relative to that of the same load before the restart
FULL_SERVICE_SECONDS = 2.0  # time for which the required fraction must be held
COUNT_WINDOW_SECONDS = 1.0  # window over which requests are counted


class RecoveryPhase(StrEnum):
    """The progress of an initiator's recovery."""

    STARTING = "starting"  # the initiator can't serve yet
    RAMPING = "ramping"  # it serves, but less than before the restart
    FULL = "full"  # it serves as before the restart


class _CountSample(NamedTuple):
    """The numbers of requests finished and served between the start and a time."""

    recorded_at: float
    finished: int
    served: int


class RecoveryPhaseTracker:
    """The recovery phase of one process; times are seconds on one monotonic clock.

    Service is full once, for FULL_SERVICE_SECONDS, at least FULL_SERVICE_FRACTION of the requests finished in
    each COUNT_WINDOW_SECONDS were served and no target rejected a request because it was full.  If the served
    fraction before the restart is known (`previous_served_fraction`), the requirement is relative to it.
    """

    def __init__(self, now: float, previous_served_fraction: float | None = None) -> None:
        self.started_at = now
        self.phase = RecoveryPhase.STARTING
        self.full_after = 0.0  # seconds from the start until service was full; 0 until then
        self._previous_served_fraction = previous_served_fraction
        self._samples: deque[_CountSample] = deque()
        self._rejected_by_targets = 0
        self._sufficient_since: float | None = None

    @property
    def served_fraction(self) -> float | None:
        """The served fraction of the requests finished in the last window, or None if it counts none."""
        if len(self._samples) < 2:
            return None
        oldest = self._samples[0]
        newest = self._samples[-1]
        if newest.finished == oldest.finished:
            return None
        return (newest.served - oldest.served) / (newest.finished - oldest.finished)

    def set_default_served_fraction(self, served_fraction: float | None) -> None:
        """Use the served fraction of a peer's load if this initiator's own is unknown."""
        if self._previous_served_fraction is None:
            self._previous_served_fraction = served_fraction

    def mark_ready(self) -> bool:
        """Record that the initiator can serve from now on; return whether it could not before."""
        if self.phase is not RecoveryPhase.STARTING:
            return False
        self.phase = RecoveryPhase.RAMPING
        return True

    def record_counts(self, now: float, finished: int, served: int, rejected_by_targets: int = 0) -> bool:
        """Record the counts of requests since the start; return whether service has just become full."""
        self._samples.append(_CountSample(now, finished, served))
        while len(self._samples) > 1 and self._samples[1].recorded_at <= now - COUNT_WINDOW_SECONDS:
            self._samples.popleft()
        if self.phase is not RecoveryPhase.RAMPING:
            return False
        oldest = self._samples[0]
        was_rejected = rejected_by_targets > self._rejected_by_targets
        self._rejected_by_targets = rejected_by_targets
        required = self._required_fraction() * (finished - oldest.finished)
        if was_rejected or finished == oldest.finished or served - oldest.served < required:
            self._sufficient_since = None
        elif self._sufficient_since is None:
            self._sufficient_since = oldest.recorded_at
        elif now - self._sufficient_since >= FULL_SERVICE_SECONDS + COUNT_WINDOW_SECONDS:
            self.phase = RecoveryPhase.FULL
            self.full_after = self._sufficient_since + COUNT_WINDOW_SECONDS - self.started_at
            return True
        return False

    def _required_fraction(self) -> float:
        if self._previous_served_fraction is None:
            return FULL_SERVICE_FRACTION
        return FULL_SERVICE_FRACTION * min(1.0, self._previous_served_fraction)
