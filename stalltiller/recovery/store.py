"""Stores recovery snapshots durably on disk, in an embedded LMDB database."""

from __future__ import annotations

from pathlib import Path

import lmdb

from stalltiller.recovery.snapshot import RecoverySnapshot
from stalltiller.recovery.snapshot_codec import MAX_SNAPSHOT_BYTES, decode_snapshot, encode_snapshot

SNAPSHOT_KEY = b"facts"
MAP_SIZE_BYTES = 16 * MAX_SNAPSHOT_BYTES  # LMDB copies on write, so several snapshots must fit


class SnapshotStore:
    """The snapshot of one initiator in one folder.

    Each `save` replaces the snapshot in one transaction, which is on disk when it returns.  `load` and `save`
    may block on disk I/O; while requests are served, they must not be called on the event loop's thread.
    """

    def __init__(self, folder: str) -> None:
        """Open or create the store.  Raises OSError."""
        try:
            Path(folder).mkdir(parents=True, exist_ok=True)
            self._environment = lmdb.open(folder, map_size=MAP_SIZE_BYTES, max_dbs=0)
        except lmdb.Error as error:
            raise OSError(f"{folder}: {error}") from error

    def load(self, initiator_name: str, discovery_address: str, now: float) -> RecoverySnapshot | None:
        """Return the stored snapshot, or None if there is none.

        Raises SnapshotRejectedError if the snapshot must not be used at the Unix time `now`, and OSError if
        it can't be read.
        """
        try:
            with self._environment.begin() as transaction:
                data = transaction.get(SNAPSHOT_KEY)
        except lmdb.Error as error:
            raise OSError(str(error)) from error
        if data is None:
            return None
        return decode_snapshot(bytes(data), initiator_name, discovery_address, now)

    def save(self, snapshot: RecoverySnapshot) -> None:
        """Store a snapshot.  Raises OSError, in which case the previous snapshot is kept."""
        try:
            with self._environment.begin(write=True) as transaction:
                transaction.put(SNAPSHOT_KEY, encode_snapshot(snapshot))
        except lmdb.Error as error:
            raise OSError(str(error)) from error

    def close(self) -> None:
        """Close the database."""
        self._environment.close()
