"""What one process of an initiator leaves to the next: targets taken out, and the turn to take clients."""

from __future__ import annotations

import fcntl
import os
import re
from pathlib import Path

import orjson


class ProcessHandover:
    """Two files in a folder that the processes of one initiator share; without a folder nothing is kept."""

    def __init__(self, folder: str | None, name: str) -> None:
        base = None if folder is None else Path(folder) / ("stalltiller-" + re.sub(r"[^\w-]", "_", name))
        self._out = None if base is None else base.with_suffix(".out")
        self._lock = None if base is None else base.with_suffix(".lock")
        self._seen: tuple[int, int] | None = None  # the file of targets when it was last read or written
        self._held: int | None = None  # descriptor of the lock

    # --- Targets taken out --------------------------------------------------------------------------
    def has_changed(self) -> bool:
        """Whether the other process has written the file since this one last looked."""
        return self._stamp() != self._seen

    def load(self) -> dict[str, float]:
        """The targets taken out, and when (Unix time)."""
        self._seen = self._stamp()
        if self._out is None:
            return {}
        try:
            return {str(name): float(at) for name, at in orjson.loads(self._out.read_bytes()).items()}
        except (OSError, ValueError, TypeError, AttributeError):  # none so far, or not ours
            return {}

    def save(self, out: dict[str, float]) -> None:
        """Write the file in one step, so that nobody reads half of it; raises OSError."""
        if self._out is None:
            return
        new = self._out.with_suffix(f".{os.getpid()}")
        new.write_bytes(orjson.dumps(out))
        new.replace(self._out)
        self._seen = self._stamp()

    def _stamp(self) -> tuple[int, int] | None:
        try:
            found = None if self._out is None else self._out.stat()
        except OSError:
            return None
        return None if found is None else (found.st_mtime_ns, found.st_ino)

    # --- The turn to take clients -------------------------------------------------------------------
    def acquire_lock(self) -> bool:
        """Whether this process is the one to take clients; the lock ends with the process that holds it."""
        if self._lock is None or self._held is not None:
            return True
        try:
            descriptor = os.open(self._lock, os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        except OSError:  # nobody can hold it: better two at once than none
            return True
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            return False
        self._held = descriptor
        return True

    def release_lock(self) -> None:
        if self._held is not None:
            os.close(self._held)
            self._held = None
