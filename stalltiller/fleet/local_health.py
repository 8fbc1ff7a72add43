"""Lifeguard's local health score and suspicion timeouts.  No I/O.

Source: Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection".
"""

from __future__ import annotations

import math

MAX_HEALTH_SCORE = 8  # Lifeguard's bound: probes become at most nine times slower


class LocalHealth:
    """Scores how far this member trusts its own view; 0 is healthy.

    Each point lengthens the probe timeout and the probe interval.
    """

    def __init__(self) -> None:
        self.score = 0

    def adjust(self, change: int) -> None:
        """Add `change` (negative: healthier) to the score, clamped to 0 and `MAX_HEALTH_SCORE`."""
        self.score = max(0, min(MAX_HEALTH_SCORE, self.score + change))

    @property
    def multiplier(self) -> int:
        """The factor by which probe intervals and probe timeouts are extended."""
        return self.score + 1


class Suspicion:
    """A suspected member, declared dead at `deadline`; each confirmation by another member moves it earlier.

    Durations are in seconds.  `expected_confirmations` confirmations shorten the timeout to `min_timeout`.
    """

    def __init__(
        self, now: float, reporter: str, min_timeout: float, max_timeout: float, expected_confirmations: int
    ) -> None:
        self.started_at = now
        self.reporters = {reporter}
        self.stalled_seconds = 0.0  # time during which this process did not run
        self._min_timeout = min_timeout
        self._max_timeout = max_timeout
        self._expected_confirmations = expected_confirmations

    def confirm(self, reporter: str) -> bool:
        """Add a confirmation; return whether it counts: one for each member, up to the expected number."""
        if reporter in self.reporters or len(self.reporters) > self._expected_confirmations:
            return False
        self.reporters.add(reporter)
        return True

    @property
    def deadline(self) -> float:
        """The time at which the member is declared dead, on the clock that started the suspicion."""
        confirmations = len(self.reporters) - 1
        if self._expected_confirmations < 1:
            timeout = self._min_timeout
        else:
            fraction = math.log(confirmations + 1) / math.log(self._expected_confirmations + 1)
            range_seconds = self._max_timeout - self._min_timeout
            timeout = max(self._min_timeout, self._max_timeout - range_seconds * fraction)
        return self.started_at + timeout + self.stalled_seconds
