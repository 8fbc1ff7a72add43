"""Duplicate detection for request identifiers, bounded in time and number.

`HttpServer` owns one instance for all its client connections.  During an upgrade the two processes of an
initiator share what they claim through a `ClaimJournal`.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from typing import Protocol

# Bounds the memory: two generations are held.  More than the requests that one process parses in the longest
# deadline.
MAX_IDS_PER_GENERATION = 65_536
DIGEST_BYTES = 8  # of an identifier; short enough to keep very many


class ClaimJournal(Protocol):
    """The claims of all processes of an initiator, in one order."""

    def append(self, digest: bytes) -> list[bytes]:
        """Add a claim and return those added since the last call, before this one."""


class NoJournal:
    """Used while no other process of the initiator serves clients."""

    def append(self, _digest: bytes) -> list[bytes]:
        """Return nothing: there are no claims by others."""
        return []


class RecentRequestIds:
    """Remembers request identifiers, usually for `retention_seconds` to twice that time after their release.

    An identifier is claimed until it is released, however long its exchange goes on, and one of another
    process until that has ended.  A claim starts a new generation if the current one is older than
    `retention_seconds` or full.

    Guards against a client that reuses the identifier of another client's request: a target would take its
    request for a second attempt of the first one, which may still be in flight.
    """

    def __init__(self, retention_seconds: float) -> None:
        self.retention_seconds = retention_seconds
        self._next_rotation_at = 0.0
        self._current: set[bytes] = set()
        self._previous: set[bytes] = set()
        self._open: set[bytes] = set()  # of exchanges in progress
        self._other: set[bytes] = set()  # of another process that has not ended
        self._journal: ClaimJournal = NoJournal()

    def claim(self, now: float, request_id: str) -> bool:
        """Add an identifier and return whether it was new."""
        if now >= self._next_rotation_at or len(self._current) >= MAX_IDS_PER_GENERATION:
            self._previous = self._current
            self._current = set()
            self._next_rotation_at = now + self.retention_seconds
        digest = _digest(request_id)
        if any(digest in known for known in (self._current, self._previous, self._open, self._other)):
            return False
        self._other.update(self._journal.append(digest))
        if digest in self._other:
            return False
        self._current.add(digest)
        self._open.add(digest)
        return True

    def release(self, request_id: str) -> None:
        """Record that the exchange of a claimed identifier has ended: it is remembered from now on."""
        digest = _digest(request_id)
        if digest in self._open:
            self._open.remove(digest)
            self._current.add(digest)

    def share(self, journal: ClaimJournal, claimed: Iterable[bytes] = ()) -> None:
        """Claim through a journal from now on; `claimed` are the digests that others have claimed before."""
        self._journal = journal
        self._other.update(claimed)

    def end_sharing(self, claimed: Iterable[bytes]) -> None:
        """Remember what another process, which has ended, has claimed, for the usual time from now on."""
        self._current.update(self._other, claimed)
        self._other.clear()

    def is_shared_through(self, journal: ClaimJournal) -> bool:
        """Return whether identifiers are claimed through this journal at present."""
        return self._journal is journal

    def digests(self) -> set[bytes]:
        """Return the digests of all identifiers that are remembered."""
        return self._current | self._previous | self._open | self._other


def _digest(request_id: str) -> bytes:
    return hashlib.blake2b(request_id.encode(), digest_size=DIGEST_BYTES).digest()
