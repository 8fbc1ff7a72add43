"""Ends transfers that have stopped: one timer looks at the progress of all that go on.

The monitor owns a `ProgressRecord` for each transfer that it watches; `transfer_limits` decides.  The owner
of a transfer has it watched and unwatched, and says in `on_stopped` how it ends.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol

from stalltiller.routing.transfer_limits import CHECK_INTERVAL_SECONDS, ProgressRecord, RunningClock


class Transfer(Protocol):
    """Something that bytes of a peer move in."""

    def transferred_bytes(self) -> int:
        """Return a count that changes with each byte that comes or is acknowledged."""

    def on_stopped(self) -> None:
        """Handle that nothing has moved for the idle limit; the transfer is no longer watched."""


@dataclass(slots=True)
class _Watched:
    """A transfer's progress and its idle limit in seconds, None for that of the monitor."""

    progress: ProgressRecord
    idle_limit: float | None


class TransferMonitor:
    """Watches transfers; `idle_limit` in seconds may be changed while it does."""

    def __init__(self, loop: asyncio.AbstractEventLoop, idle_limit: float) -> None:
        self.idle_limit = idle_limit
        self._loop = loop
        self._clock = RunningClock(loop.time())
        self._watched: dict[Transfer, _Watched] = {}
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._watched)

    def watch(self, transfer: Transfer, idle_limit: float | None = None) -> None:
        """Watch a transfer; one that is watched already keeps its progress and gets the new limit."""
        watched = self._watched.get(transfer)
        if watched is not None:
            watched.idle_limit = idle_limit
            return
        if self._timer is None:
            self._clock.advance(self._loop.time())
            self._schedule_check()
        progress = ProgressRecord(transfer.transferred_bytes(), self._clock.seconds)
        self._watched[transfer] = _Watched(progress, idle_limit)

    def unwatch(self, transfer: Transfer) -> None:
        """Stop watching a transfer, if it is watched."""
        self._watched.pop(transfer, None)

    def is_watched(self, transfer: Transfer) -> bool:
        """Return whether a transfer is watched."""
        return transfer in self._watched

    def close(self) -> None:
        """Stop watching all transfers."""
        self._watched.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule_check(self) -> None:
        self._timer = self._loop.call_later(CHECK_INTERVAL_SECONDS, self._check)

    def _check(self) -> None:
        """End what has stopped; bytes that waited in sockets were read before this timer in the same turn."""
        self._timer = None
        now = self._clock.advance(self._loop.time())
        for transfer, watched in list(self._watched.items()):
            if transfer not in self._watched:  # ended with another one
                continue
            watched.progress.observe(now, transfer.transferred_bytes())
            limit = self.idle_limit if watched.idle_limit is None else watched.idle_limit
            if watched.progress.has_stopped(now, limit):
                del self._watched[transfer]
                transfer.on_stopped()
        if self._watched:
            self._schedule_check()
