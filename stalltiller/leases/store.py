"""A voter's term, vote, log and snapshot on its disk (lmdb), durable before the voter answers anything."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import lmdb

from stalltiller.leases import leases_pb2 as pb
from stalltiller.leases.actions import PersistSnapshot, PersistState
from stalltiller.leases.codec import decode_entry, encode_entry
from stalltiller.leases.messages import LogEntry
from stalltiller.leases.raft_state import PersistentState, Snapshot

MAX_STORE_BYTES = 256 * 1024 * 1024  # far above a compacted log; lmdb only reserves the address space
_DATA_FILE = "data.mdb"

# The keys of the store.  Old versions read them, so they must not change.
_TERM_AND_VOTE_KEY = b"meta"
_OWNER_KEY = b"made for"
_SNAPSHOT_KEY = b"snapshot"
_ENTRY_PREFIX = b"e"
_ENTRY_KEY = struct.Struct(">cQ")  # the prefix and the index; big-endian, so the keys sort by index
_TERM_BYTES = 8


class VoterStoreError(OSError):
    """A voter's store at `path` cannot be created, opened or written; `reason` says why."""

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class VoterStoreMissingError(VoterStoreError):
    """There is no store: a voter without its disk must not vote, since nobody knows its former votes."""

    def __init__(self, path: str) -> None:
        super().__init__(path, "no store of a voter")


def create_voter_store(folder: str, name: str) -> None:
    """Create the store of the voter `name`, once in its life; raises VoterStoreError if there is one."""
    if (Path(folder) / _DATA_FILE).exists():
        raise VoterStoreError(folder, "there is a store already")
    try:
        Path(folder).mkdir(parents=True, exist_ok=True)
        with (
            lmdb.open(folder, map_size=MAX_STORE_BYTES) as environment,
            environment.begin(write=True) as transaction,
        ):
            transaction.put(_OWNER_KEY, name.encode())
    except lmdb.Error as error:
        raise VoterStoreError(folder, str(error)) from error


class VoterStore:
    """One voter's store.  Writes return once they are durable: lmdb syncs each transaction."""

    def __init__(self, folder: str, name: str) -> None:
        """Open the store of the voter `name`.

        Raises VoterStoreMissingError, or VoterStoreError if it belongs to another voter or can't be opened.
        """
        self._folder = folder
        if not (Path(folder) / _DATA_FILE).exists():
            raise VoterStoreMissingError(folder)
        try:
            self._environment = lmdb.open(folder, map_size=MAX_STORE_BYTES)
            with self._environment.begin() as transaction:
                owner = bytes(transaction.get(_OWNER_KEY, b"")).decode()
        except lmdb.Error as error:
            raise VoterStoreError(folder, str(error)) from error
        if owner != name:
            raise VoterStoreError(folder, f"made for {owner!r}")

    def load_snapshot(self) -> Snapshot:
        """The snapshot persisted last, an empty one before the first."""
        with self._environment.begin() as transaction:
            snapshot = pb.Snapshot.FromString(bytes(transaction.get(_SNAPSHOT_KEY, b"")))
        return Snapshot(snapshot.index, snapshot.term, snapshot.state)

    def load_state(self) -> PersistentState:
        """The term, the vote and the entries after the snapshot, as they were persisted last."""
        term = 0
        voted_for = None
        with self._environment.begin() as transaction:
            term_and_vote = transaction.get(_TERM_AND_VOTE_KEY)
            if term_and_vote is not None:
                term = int.from_bytes(term_and_vote[:_TERM_BYTES], "big")
                voted_for = bytes(term_and_vote[_TERM_BYTES:]).decode() or None
            entries = list(_read_entries(transaction))
        return PersistentState(term, voted_for, entries)

    def persist_state(self, action: PersistState) -> None:
        """Make a state durable; raises VoterStoreError, and then the voter must stop."""
        vote = (action.voted_for or "").encode()
        with self._write() as transaction:
            transaction.put(_TERM_AND_VOTE_KEY, action.term.to_bytes(_TERM_BYTES, "big") + vote)
            _delete_entries(transaction, action.last_retained_index + 1, None)
            for index, entry in enumerate(action.entries, action.last_retained_index + 1):
                transaction.put(_entry_key(index), encode_entry(entry))

    def persist_snapshot(self, action: PersistSnapshot) -> None:
        """Make a snapshot durable in place of its entries; raises VoterStoreError as `persist_state` does."""
        snapshot = pb.Snapshot(index=action.index, term=action.term, state=action.state)
        with self._write() as transaction:
            transaction.put(_SNAPSHOT_KEY, snapshot.SerializeToString())
            _delete_entries(transaction, 0, None if action.discard_log else action.index)

    def close(self) -> None:
        """Close the store."""
        self._environment.close()

    @contextmanager
    def _write(self) -> Iterator[lmdb.Transaction]:
        """A transaction that is durable when the block ends."""
        try:
            with self._environment.begin(write=True) as transaction:
                yield transaction
        except lmdb.Error as error:
            raise VoterStoreError(self._folder, str(error)) from error


def _entry_key(index: int) -> bytes:
    return _ENTRY_KEY.pack(_ENTRY_PREFIX, index)


def _read_entries(transaction: lmdb.Transaction) -> Iterator[LogEntry]:
    cursor = transaction.cursor()
    if not cursor.set_range(_entry_key(0)):
        return
    for key, value in cursor:
        if not bytes(key).startswith(_ENTRY_PREFIX):
            return
        yield decode_entry(bytes(value))


def _delete_entries(transaction: lmdb.Transaction, first_index: int, last_index: int | None) -> None:
    """Delete the entries from one index to another, or to the end of the log."""
    cursor = transaction.cursor()
    if not cursor.set_range(_entry_key(first_index)):
        return
    while bytes(cursor.key()).startswith(_ENTRY_PREFIX):
        _, index = _ENTRY_KEY.unpack(cursor.key())
        if last_index is not None and index > last_index:
            return
        if not cursor.delete():
            return
