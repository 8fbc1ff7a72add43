"""A voter's term, vote, log and snapshot on its disk (lmdb), durable before the voter sends a response."""

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

MAX_STORE_BYTES = 256 * 1024 * 1024  # far above a compacted log's size; lmdb only reserves the address space
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
    """The store is missing: such a voter must not vote, since its earlier votes are unknown."""

    def __init__(self, path: str) -> None:
        super().__init__(path, "voter store not found")


def create_voter_store(folder: str, name: str) -> None:
    """Create the store of the voter `name`, once in its lifetime; raises VoterStoreError if one exists."""
    if (Path(folder) / _DATA_FILE).exists():
        raise VoterStoreError(folder, "a voter store already exists")
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
    """One voter's store.  A write returns once it is durable: lmdb syncs each transaction."""

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
            raise VoterStoreError(folder, f"the store was made for {owner!r}, not for {name!r}")

    def load_snapshot(self) -> Snapshot:
        """The last persisted snapshot, an empty one if there is none."""
        with self._environment.begin() as transaction:
            snapshot = pb.Snapshot.FromString(bytes(transaction.get(_SNAPSHOT_KEY, b"")))
        return Snapshot(snapshot.index, snapshot.term, snapshot.state)

    def load_state(self) -> PersistentState:
        """The last persisted term, vote and entries after the snapshot."""
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
        """Make a state durable; if this raises VoterStoreError, the voter must stop."""
        vote = (action.voted_for or "").encode()
        with self._write_transaction() as transaction:
            transaction.put(_TERM_AND_VOTE_KEY, action.term.to_bytes(_TERM_BYTES, "big") + vote)
            _delete_entries(transaction, action.last_retained_index + 1, None)
            for index, entry in enumerate(action.entries, action.last_retained_index + 1):
                transaction.put(_entry_key(index), encode_entry(entry))

    def persist_snapshot(self, action: PersistSnapshot) -> None:
        """Make a snapshot durable and delete the entries that it replaces; raises like `persist_state`."""
        snapshot = pb.Snapshot(index=action.index, term=action.term, state=action.state)
        with self._write_transaction() as transaction:
            transaction.put(_SNAPSHOT_KEY, snapshot.SerializeToString())
            _delete_entries(transaction, 0, None if action.discard_log else action.index)

    def close(self) -> None:
        """Close the store."""
        self._environment.close()

    @contextmanager
    def _write_transaction(self) -> Iterator[lmdb.Transaction]:
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
    """Delete the entries from `first_index` to `last_index`, or to the log's end if that is None."""
    cursor = transaction.cursor()
    if not cursor.set_range(_entry_key(first_index)):
        return
    while bytes(cursor.key()).startswith(_ENTRY_PREFIX):
        _, index = _ENTRY_KEY.unpack(cursor.key())
        if last_index is not None and index > last_index:
            return
        if not cursor.delete():
            return
