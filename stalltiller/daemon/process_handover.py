"""State shared by the processes of one initiator: detached targets, claimed identifiers, a lock on accepting.

All are files in a folder that operators provide for the initiator.  The file of detached targets is written
atomically; the kernel releases the lock if its process dies.
"""

from __future__ import annotations

import fcntl
import os
import re
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import orjson

from stalltiller.adapters.recent_request_ids import NoJournal, RecentRequestIds
from stalltiller.daemon.claim_journal import FileClaimJournal


class FileVersion(NamedTuple):
    """Attributes of a file that differ after it is replaced."""

    modified_at_ns: int
    inode: int


class ProcessHandover:
    """The files of one initiator; without a folder nothing is persisted and locking always succeeds."""

    def __init__(self, folder: str | None, name: str) -> None:
        self._detached_path: Path | None = None
        self._lock_path: Path | None = None
        self._claims_path: Path | None = None
        if folder is not None:
            base = Path(folder) / ("stalltiller-" + re.sub(r"[^\w-]", "_", name))
            self._detached_path = base.with_suffix(".out")
            self._lock_path = base.with_suffix(".lock")
            self._claims_path = base.with_suffix(".ids")
        self._last_version: FileVersion | None = None  # the detached targets' file, last read or written
        self._lock_descriptor: int | None = None
        self._published_claims: FileClaimJournal | None = None

    # --- Detached targets ---------------------------------------------------------------------------
    def has_changed(self) -> bool:
        """Return whether the other process has written the file since this one last read or wrote it."""
        return self._current_version() != self._last_version

    def load(self) -> dict[str, float]:
        """Read the names of the detached targets and when each was detached (Unix time)."""
        self._last_version = self._current_version()
        if self._detached_path is None:
            return {}
        try:
            entries = orjson.loads(self._detached_path.read_bytes())
            return {str(name): float(detached_at) for name, detached_at in entries.items()}
        except (OSError, ValueError, TypeError, AttributeError):  # no file yet, or an invalid one
            return {}

    def save(self, detached: dict[str, float]) -> None:
        """Replace the file atomically, so that no process reads a partial one; raises OSError."""
        if self._detached_path is None:
            return
        temporary_path = self._detached_path.with_suffix(f".{os.getpid()}")
        temporary_path.write_bytes(orjson.dumps(detached))
        temporary_path.replace(self._detached_path)
        self._last_version = self._current_version()

    def _current_version(self) -> FileVersion | None:
        if self._detached_path is None:
            return None
        try:
            status = self._detached_path.stat()
        except OSError:
            return None
        return FileVersion(status.st_mtime_ns, status.st_ino)

    # --- Claimed request identifiers ----------------------------------------------------------------
    def publish_claims(self, recent_ids: RecentRequestIds, on_error: Callable[[OSError], None]) -> None:
        """Share the identifiers of this process, which is about to end, with the next process."""
        if self._claims_path is None:
            return
        try:
            journal = FileClaimJournal.create(self._claims_path, recent_ids.digests(), on_error)
        except OSError as error:
            on_error(error)
        else:
            recent_ids.share(journal)
            self._published_claims = journal

    def end_claims(self) -> None:
        """Tell the next process that this one, which is about to end, takes no more requests."""
        if self._published_claims is not None:
            self._published_claims.end_claims()

    def adopt_claims(
        self, recent_ids: RecentRequestIds, on_error: Callable[[OSError], None]
    ) -> FileClaimJournal | None:
        """Share identifiers with the previous process while it ends; return None if there is none."""
        if self._claims_path is None:
            return None
        try:
            journal, digests = FileClaimJournal.open(self._claims_path, on_error)
        except FileNotFoundError:
            return None
        except OSError as error:
            on_error(error)
            return None
        recent_ids.share(journal, digests)
        return journal

    def stop_claiming(self, recent_ids: RecentRequestIds, journal: FileClaimJournal) -> None:
        """Claim without the previous process from now on, which takes no more requests.

        What it has claimed stays claimed until `end_sharing`, since its exchanges may go on.  If this process
        shares with the next one by now, it goes on doing so.
        """
        if recent_ids.is_shared_through(journal):
            recent_ids.share(NoJournal())

    def end_sharing(self, recent_ids: RecentRequestIds, journal: FileClaimJournal) -> None:
        """Keep what the previous process, which has ended, claimed last, and remove the file.

        If this process shares with the next one by now, that file stays.
        """
        is_file_of_next = not recent_ids.is_shared_through(journal) and self._published_claims is not None
        if recent_ids.is_shared_through(journal):
            recent_ids.share(NoJournal())
        recent_ids.end_sharing(journal.close())
        if self._claims_path is not None and not is_file_of_next:
            self._claims_path.unlink(missing_ok=True)

    # --- The lock on accepting clients --------------------------------------------------------------
    def acquire_lock(self) -> bool:
        """Return whether this process may accept clients; if so, it holds the lock until `release_lock`."""
        if self._lock_path is None or self._lock_descriptor is not None:
            return True
        try:
            descriptor = os.open(self._lock_path, os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        except OSError:  # unusable for every process: two accepting processes are better than none
            return True
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            return False
        self._lock_descriptor = descriptor
        return True

    def release_lock(self) -> None:
        """Let another process of this initiator accept clients."""
        if self._lock_descriptor is not None:
            os.close(self._lock_descriptor)
            self._lock_descriptor = None
