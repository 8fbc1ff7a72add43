"""From when a signal counts that the process may have been too late to notice.

A signal that is sent to a suspended process is handled when it runs again, and so is one that comes while the
event loop is held up.  What is owed after the signal is owed from when it was sent.

Everything here is pure.  Times are on one monotonic clock, in seconds.
"""

from __future__ import annotations

from typing import NamedTuple

HEARTBEAT_INTERVAL_SECONDS = 0.1
# A heartbeat that is later than this shows that the process was suspended or held up.
HEARTBEAT_TOLERANCE_SECONDS = 0.05
# A signal that came while the process was held up is handled within this time after it runs again.
SIGNAL_HANDLING_SECONDS = 0.05


class HeartbeatGap(NamedTuple):
    """A span in which the process did not run its event loop."""

    began_at: float
    ended_at: float


class HeartbeatHistory:
    """Recognises that the process was suspended or held up, by heartbeats that come late."""

    def __init__(self, now: float) -> None:
        self._last_beat_at = now
        self._latest_gap: HeartbeatGap | None = None

    def beat(self, now: float) -> None:
        """Record that the event loop runs; call it every HEARTBEAT_INTERVAL_SECONDS."""
        if now - self._last_beat_at > HEARTBEAT_INTERVAL_SECONDS + HEARTBEAT_TOLERANCE_SECONDS:
            self._latest_gap = HeartbeatGap(self._last_beat_at, now)
        self._last_beat_at = now

    def earliest_signal_time(self, now: float) -> float:
        """Return the earliest time at which a signal may have been sent that is handled at `now`."""
        self.beat(now)
        gap = self._latest_gap
        if gap is not None and now - gap.ended_at <= SIGNAL_HANDLING_SECONDS:
            return gap.began_at
        return now
