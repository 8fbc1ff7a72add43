"""Targets that operators detach from an initiator and attach again.

The process handover persists them; the two processes of an initiator apply each other's changes.
"""

from __future__ import annotations

import asyncio
import time

from stalltiller.adapters.target_directory import TargetDirectory
from stalltiller.daemon.log import JsonLog
from stalltiller.daemon.process_handover import ProcessHandover

POLL_INTERVAL_SECONDS = 0.2  # between checks for the other process's changes


class DetachedTargets:
    """Detaches and attaches targets; the target directory holds the detached ones."""

    def __init__(self, handover: ProcessHandover, directory: TargetDirectory, log: JsonLog) -> None:
        self._handover = handover
        self._directory = directory
        self._log = log

    def load(self) -> None:
        """Replace the detached targets by the persisted ones."""
        self._directory.set_detached(self._handover.load())

    def detach(self, name: str) -> bool:
        """Drain a target until it is attached again; return whether it is known.

        Raises OSError if the change cannot be persisted; it is then not applied.
        """
        if not self._directory.has_target(name):
            return False
        detached = self._latest_detached()
        detached.setdefault(name, time.time())
        self._apply(detached)
        self._log("target_detached", target=name)
        return True

    def attach(self, name: str) -> bool:
        """Allow requests to a target again; return whether it is known.  Raises OSError as `detach` does."""
        if not self._directory.has_target(name):
            return False
        detached = self._latest_detached()
        detached.pop(name, None)
        self._apply(detached)
        self._log("target_attached", target=name)
        return True

    async def follow_other_process(self) -> None:
        """Apply the changes of the initiator's other process, if any; runs until it is cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            if self._handover.has_changed():
                self.load()

    def _latest_detached(self) -> dict[str, float]:
        if self._handover.has_changed():
            return self._handover.load()
        return dict(self._directory.detached)

    def _apply(self, detached: dict[str, float]) -> None:
        self._handover.save(detached)
        self._directory.set_detached(detached)
