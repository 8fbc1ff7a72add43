"""Keeps facts on a disk that lasts, in an embedded store."""

from __future__ import annotations

from pathlib import Path

import lmdb

from stalltiller.recovery.snapshot import MOST_BYTES, Facts, decode, encode

KEY = b"facts"
MAP_SIZE = 16 * MOST_BYTES


class Store:
    """One folder, one instance.  Each `save` replaces the facts in one step that is on disk when it returns.

    Both calls may block on the disk: off the request path, call them from another thread.
    """

    def __init__(self, folder: str) -> None:
        """Open or make it; raises OSError."""
        try:
            Path(folder).mkdir(parents=True, exist_ok=True)
            self._env = lmdb.open(folder, map_size=MAP_SIZE, max_dbs=0)
        except lmdb.Error as error:
            raise OSError(f"{folder}: {error}") from error

    def load(self, name: str, address: str, now: float) -> Facts | None:
        """The facts kept, None if there are none; raises Refused if they must not be used."""
        try:
            with self._env.begin() as transaction:
                data = transaction.get(KEY)
        except lmdb.Error as error:
            raise OSError(str(error)) from error
        return None if data is None else decode(bytes(data), name, address, now)

    def save(self, facts: Facts) -> None:
        """Keep facts; raises OSError, and then what was kept before still stands."""
        try:
            with self._env.begin(write=True) as transaction:
                transaction.put(KEY, encode(facts))
        except lmdb.Error as error:
            raise OSError(str(error)) from error

    def close(self) -> None:
        self._env.close()
