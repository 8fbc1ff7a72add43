"""The heartbeat of the event loop, which tells how late a signal may be handled."""

from __future__ import annotations

import asyncio

from stalltiller.routing.signal_time import HEARTBEAT_INTERVAL_SECONDS, HeartbeatHistory


class LoopHeartbeat:
    """Owns the timer of the heartbeats; all methods are called on the event loop's thread."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._history = HeartbeatHistory(loop.time())
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to beat."""
        self._beat()

    def stop(self) -> None:
        """Beat no longer."""
        if self._timer is not None:
            self._timer.cancel()

    def earliest_signal_time(self) -> float:
        """Return the earliest loop time at which the signal may have been sent that is handled now."""
        return self._history.earliest_signal_time(self._loop.time())

    def _beat(self) -> None:
        self._history.beat(self._loop.time())
        self._timer = self._loop.call_later(HEARTBEAT_INTERVAL_SECONDS, self._beat)
