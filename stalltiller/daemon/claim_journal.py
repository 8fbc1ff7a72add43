"""The request identifiers that the two processes of an initiator claim during an upgrade, in one file.

Each claim is one fixed-size record, appended by one system call, so that the file has all claims in one
order, in which each process finds those of the other before its own.  The process that ends creates the file
with what it remembers before it lets the other process accept clients.  Nothing waits: a file that can't be
used leaves each process with its own claims.

A lock on the file tells the other process how long to share: it is exclusive while the process that ends may
claim identifiers, and shared until it has ended, which releases it.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Callable, Iterable
from pathlib import Path

from stalltiller.adapters.recent_request_ids import DIGEST_BYTES

MAX_READ_BYTES = 1 << 20  # at once; more than a process claims between two claims of the other


class FileClaimJournal:
    """One process's access to the file; `on_error` is called once, with the first OSError."""

    def __init__(self, descriptor: int, position: int, on_error: Callable[[OSError], None]) -> None:
        self._descriptor = descriptor
        self._position = position  # the end of the records that this process knows
        self._on_error = on_error
        self._is_usable = True

    @classmethod
    def create(
        cls, path: Path, digests: Iterable[bytes], on_error: Callable[[OSError], None]
    ) -> FileClaimJournal:
        """Replace the file by one with the digests that this process remembers; raises OSError."""
        records = b"".join(digests)
        temporary_path = path.with_suffix(f".ids.{os.getpid()}")
        temporary_path.write_bytes(records)
        descriptor = os.open(temporary_path, os.O_RDWR | os.O_APPEND | os.O_CLOEXEC)
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        temporary_path.replace(path)
        return cls(descriptor, len(records), on_error)

    @classmethod
    def open(cls, path: Path, on_error: Callable[[OSError], None]) -> tuple[FileClaimJournal, list[bytes]]:
        """Open the other process's file and return it with the digests in it; raises OSError."""
        descriptor = os.open(path, os.O_RDWR | os.O_APPEND | os.O_CLOEXEC)
        journal = cls(descriptor, 0, on_error)
        return journal, journal._read_until(os.fstat(descriptor).st_size)

    def append(self, digest: bytes) -> list[bytes]:
        """Add a claim and return those of the other process since the last call, before this one."""
        if not self._is_usable:
            return []
        try:
            if os.write(self._descriptor, digest) != DIGEST_BYTES:
                raise OSError("a claim was written in part")
            end = os.lseek(self._descriptor, 0, os.SEEK_CUR)
            others = self._read_until(end - DIGEST_BYTES)
        except OSError as error:
            self._is_usable = False
            self._on_error(error)
            return []
        self._position = end
        return others

    def end_claims(self) -> None:
        """Tell the other process that this one claims nothing more, although it has not ended."""
        try:
            fcntl.flock(self._descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except OSError as error:
            self._on_error(error)

    def may_other_claim(self) -> bool:
        """Return whether the process that created the file may still claim identifiers."""
        return not self._can_lock(fcntl.LOCK_SH)

    def has_other_ended(self) -> bool:
        """Return whether the process that created the file has ended."""
        return self._can_lock(fcntl.LOCK_EX)

    def _can_lock(self, operation: int) -> bool:
        try:
            fcntl.flock(self._descriptor, operation | fcntl.LOCK_NB)
        except OSError:
            return False
        fcntl.flock(self._descriptor, fcntl.LOCK_UN)
        return True

    def close(self) -> list[bytes]:
        """Close the file and return the claims of the other process since the last call."""
        others: list[bytes] = []
        try:
            others = self._read_until(os.fstat(self._descriptor).st_size)
        except OSError as error:
            self._on_error(error)
        self._is_usable = False
        os.close(self._descriptor)
        return others

    def _read_until(self, end: int) -> list[bytes]:
        """Return the records up to an offset in the file."""
        digests: list[bytes] = []
        while self._position < end:
            data = os.pread(self._descriptor, min(MAX_READ_BYTES, end - self._position), self._position)
            if not data:
                break
            whole = len(data) - len(data) % DIGEST_BYTES
            digests += [data[start : start + DIGEST_BYTES] for start in range(0, whole, DIGEST_BYTES)]
            self._position += len(data)
        return digests
