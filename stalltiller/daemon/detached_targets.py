"""Targets that operators detach from and attach to an initiator by hand.

The process handover persists them; both processes of an initiator follow each other's changes.
"""

from __future__ import annotations

import asyncio
import time

from stalltiller.adapters.target_directory import TargetDirectory
from stalltiller.daemon.log import JsonLog
from stalltiller.daemon.process_handover import ProcessHandover

POLL_INTERVAL_SECONDS = 0.2  # between checks whether the other process has detached or attached targets


class DetachedTargets:
    """Detaches and attaches targets; the directory holds which ones are detached."""

    def __init__(self, handover: ProcessHandover, directory: TargetDirectory, log: JsonLog) -> None:
        self._handover = handover
        self._directory = directory
        self._log = log

    def load(self) -> None:
        """Detach the targets that are persisted as detached, and only these."""
        self._directory.set_detached(self._handover.load())

    def detach(self, name: str) -> bool:
        """Drain a target until it is attached again; return whether it is known.

        Raises OSError if this can't be persisted; then nothing has changed.
        """
        if not self._directory.has_target(name):
            return False
        detached = self._current()
        detached.setdefault(name, time.time())
        self._apply(detached)
        self._log("target_detached", target=name)
        return True

    def attach(self, name: str) -> bool:
        """Let a target serve again; return whether it is known.  Raises OSError as `detach` does."""
        if not self._directory.has_target(name):
            return False
        detached = self._current()
        detached.pop(name, None)
        self._apply(detached)
        self._log("target_attached", target=name)
        return True

    async def follow_other_process(self) -> None:
        """Apply the other process's changes, while there are two; runs until it is cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            if self._handover.has_changed():
                self.load()

    def _current(self) -> dict[str, float]:
        if self._handover.has_changed():
            return self._handover.load()
        return dict(self._directory.detached)

    def _apply(self, detached: dict[str, float]) -> None:
        self._handover.save(detached)
        self._directory.set_detached(detached)
