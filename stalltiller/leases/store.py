"""A voter's term, vote and log on its disk: durable before anything is answered."""

from __future__ import annotations

import struct
from pathlib import Path

import lmdb

from stalltiller.leases import leases_pb2 as pb
from stalltiller.leases.codec import command_from_pb, command_to_pb
from stalltiller.leases.messages import Cut, Entry, Keep

MAP_SIZE = 256 * 1024 * 1024
META, MADE_FOR, SNAPSHOT = b"meta", b"made for", b"snapshot"
INDEX = struct.Struct(">cQ")  # sorts by index


class Missing(OSError):
    """There is no store: a voter without its disk must not vote, nobody knows what it has voted before."""


def make(folder: str, name: str) -> None:
    """Make a voter's store, once in its life; raises OSError if there is one."""
    if (Path(folder) / "data.mdb").exists():
        raise OSError(f"{folder}: there is a store already")
    try:
        Path(folder).mkdir(parents=True, exist_ok=True)
        with lmdb.open(folder, map_size=MAP_SIZE) as env, env.begin(write=True) as transaction:
            transaction.put(MADE_FOR, name.encode())
    except lmdb.Error as error:
        raise OSError(f"{folder}: {error}") from error


class VoterStore:
    """One voter's.  `keep` returns once it is on the disk (lmdb syncs each transaction)."""

    def __init__(self, folder: str, name: str) -> None:
        """Open it; raises Missing, or OSError if it was made for another voter."""
        if not (Path(folder) / "data.mdb").exists():
            raise Missing(f"{folder}: no store of a voter")
        try:
            self._env = lmdb.open(folder, map_size=MAP_SIZE)
            with self._env.begin() as transaction:
                made_for = bytes(transaction.get(MADE_FOR, b"")).decode()
        except lmdb.Error as error:
            raise OSError(f"{folder}: {error}") from error
        if made_for != name:
            raise OSError(f"{folder}: made for {made_for!r}")

    def state(self) -> tuple[int, int, bytes]:
        """Up to which index a state stands for the log, the term of its entry, and the state."""
        with self._env.begin() as transaction:
            found = pb.Snapshot.FromString(bytes(transaction.get(SNAPSHOT, b"")))
        return found.index, found.term, found.state

    def load(self) -> tuple[int, str | None, list[Entry]]:
        """Term, vote and log (behind what the state stands for) as they were kept last."""
        term, vote, log = 0, None, []
        with self._env.begin() as transaction:
            meta = transaction.get(META)
            if meta is not None:
                term, vote = int.from_bytes(meta[:8], "big"), bytes(meta[8:]).decode() or None
            cursor = transaction.cursor()
            if cursor.set_range(INDEX.pack(b"e", 0)):
                for key, value in cursor:
                    if bytes(key[:1]) != b"e":
                        break
                    found = pb.Entry.FromString(bytes(value))
                    command = command_from_pb(found.command) if found.HasField("command") else None
                    log.append(Entry(found.term, command))
        return term, vote, log

    def cut(self, cut: Cut) -> None:
        """Make durable that a state stands for the beginning of the log; raises OSError as `keep` does."""
        try:
            with self._env.begin(write=True) as transaction:
                made = pb.Snapshot(index=cut.index, term=cut.term, state=cut.state)
                transaction.put(SNAPSHOT, made.SerializeToString())
                cursor = transaction.cursor()
                if cursor.set_range(INDEX.pack(b"e", 0)):
                    while (
                        bytes(cursor.key()[:1]) == b"e"
                        and (cut.whole or INDEX.unpack(cursor.key())[1] <= cut.index)
                        and cursor.delete()
                    ):
                        pass
        except lmdb.Error as error:
            raise OSError(str(error)) from error

    def keep(self, keep: Keep) -> None:
        """Make it durable; raises OSError, and then the voter must stop."""
        try:
            with self._env.begin(write=True) as transaction:
                transaction.put(META, keep.term.to_bytes(8, "big") + (keep.vote or "").encode())
                cursor = transaction.cursor()
                if cursor.set_range(INDEX.pack(b"e", keep.length + 1)):
                    while bytes(cursor.key()[:1]) == b"e" and cursor.delete():
                        pass
                for index, entry in enumerate(keep.entries, keep.length + 1):
                    made = pb.Entry(term=entry.term)
                    if entry.command is not None:
                        made.command.CopyFrom(command_to_pb(entry.command))
                    transaction.put(INDEX.pack(b"e", index), made.SerializeToString())
        except lmdb.Error as error:
            raise OSError(str(error)) from error

    def close(self) -> None:
        self._env.close()
