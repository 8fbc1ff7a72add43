"""Decides whether a response on a reused HTTP connection belongs to the request in flight.

A response over HTTP/1.1 does not name its request.  A target may send a response a second time, and the
duplicate may cross the next request on the connection.  The pool lets a connection settle before it is
reused (`transport.channel_reuse`), which suffices for a duplicate that is late by milliseconds.  For a target
that is known to send duplicates, a response that equals the previous one on its connection is not taken for
the response to the request in flight, however late it comes.

Nothing here does I/O; `HttpTargetClient` owns the one `ResponseAttributor`, each connection its
`ResponseHistory`.  Times are on the event loop's clock, in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum, auto
from typing import NamedTuple

from stalltiller.protocol.http import STATUS_OK, Reader
from stalltiller.scheduling import TargetId

COMPARED_BODY_BYTES = 1024  # of each body; longer ones that begin alike count as equal
MAX_DUPLICATE_DELAY_SECONDS = 1.0  # data on a connection that was idle for longer is no duplicate
EVIDENCE_LIFETIME_SECONDS = 300.0  # how long what was seen of a target counts
MAX_TARGETS = 4096  # with evidence; beyond it the oldest is forgotten


class Attribution(Enum):
    """What a complete response, or the start of a long one, is."""

    CURRENT = auto()  # the response to the request in flight
    DUPLICATE = auto()  # the previous response once more: the response to the request is yet to come
    AMBIGUOUS = auto()  # either of them


@dataclass(slots=True, frozen=True)
class ResponseStart:
    """What responses are compared by: the status, the length and the first bytes of the body.

    Other fields are not compared: a load report may have been measured again.  `length` is None if the head
    does not state it, `body` has at most COMPARED_BODY_BYTES, and `is_partial` tells whether more of these
    may follow.
    """

    status: int
    length: int | None
    body: bytes
    is_partial: bool = False

    @classmethod
    def of(cls, reader: Reader) -> ResponseStart:
        """Return the start of the response received by `reader` so far; its head must be complete."""
        assert reader.head is not None
        body = bytes(reader.body[:COMPARED_BODY_BYTES])
        is_partial = not reader.is_complete and len(body) < COMPARED_BODY_BYTES
        return cls(reader.head.status, reader.length, body, is_partial)

    def with_more(self, body: bytes, is_complete: bool) -> ResponseStart:
        """Return the start extended by the next bytes of the body, if it is partial."""
        if not self.is_partial:
            return self
        extended = (self.body + body)[:COMPARED_BODY_BYTES]
        is_partial = not is_complete and len(extended) < COMPARED_BODY_BYTES
        return replace(self, body=extended, is_partial=is_partial)

    def may_equal(self, other: ResponseStart) -> bool:
        """Return whether both are the same response as far as received."""
        if (self.status, self.length) != (other.status, other.length):
            return False
        common_size = min(len(self.body), len(other.body))
        if self.body[:common_size] != other.body[:common_size]:
            return False
        size = max(len(self.body), len(other.body))
        return all(start.is_partial or len(start.body) == size for start in (self, other))


class Surplus(NamedTuple):
    """The target that sent data on an idle connection, and how long the connection had been idle."""

    target_id: TargetId
    idle_seconds: float


@dataclass(slots=True)
class _Evidence:
    """What was seen of a target; each counts until its time."""

    sends_duplicates_until: float = 0.0
    repeats_responses_until: float = 0.0


class ResponseAttributor:
    """What was seen of targets that send duplicates, or equal responses to successive requests."""

    def __init__(self) -> None:
        self._evidence: dict[TargetId, _Evidence] = {}  # in order of the latest change

    def attribute(
        self, target_id: TargetId, previous: ResponseStart | None, current: ResponseStart, now: float
    ) -> Attribution:
        """Return what a response is; `previous` is the one before on its connection, None on a new one."""
        if previous is None or not current.may_equal(previous):
            return Attribution.CURRENT
        is_success = current.status == STATUS_OK
        if not self._sends_duplicates(target_id, now):
            if is_success:
                self.record_repetition(target_id, now)
            return Attribution.CURRENT
        if not is_success or self._repeats_responses(target_id, now):
            return Attribution.AMBIGUOUS
        return Attribution.DUPLICATE

    def may_reuse(self, target_id: TargetId, previous: ResponseStart, now: float) -> bool:
        """Return whether the response to another request on the connection can be attributed.

        `previous` is the response before it.  Rejections and errors are alike, so that a duplicate of one
        can't be told from another.
        """
        if not self._sends_duplicates(target_id, now):
            return True
        return previous.status == STATUS_OK and not self._repeats_responses(target_id, now)

    def record_surplus(self, target_id: TargetId, idle_seconds: float, now: float) -> None:
        """Record data that came on a connection which had been idle for `idle_seconds`."""
        if idle_seconds <= MAX_DUPLICATE_DELAY_SECONDS:
            self._renew(target_id).sends_duplicates_until = now + EVIDENCE_LIFETIME_SECONDS

    def record_repetition(self, target_id: TargetId, now: float) -> None:
        """Record that the target gave equal responses to two requests."""
        self._renew(target_id).repeats_responses_until = now + EVIDENCE_LIFETIME_SECONDS

    def _sends_duplicates(self, target_id: TargetId, now: float) -> bool:
        evidence = self._evidence.get(target_id)
        return evidence is not None and now < evidence.sends_duplicates_until

    def _repeats_responses(self, target_id: TargetId, now: float) -> bool:
        evidence = self._evidence.get(target_id)
        return evidence is not None and now < evidence.repeats_responses_until

    def _renew(self, target_id: TargetId) -> _Evidence:
        """Return the target's evidence, now the latest, and forget the oldest beyond the limit."""
        evidence = self._evidence.pop(target_id, None) or _Evidence()
        self._evidence[target_id] = evidence
        if len(self._evidence) > MAX_TARGETS:
            del self._evidence[next(iter(self._evidence))]
        return evidence


@dataclass(slots=True, frozen=True)
class _FinishedResponse:
    """The latest response on a connection that was kept: its target, its start and when it was complete."""

    target_id: TargetId
    start: ResponseStart
    finished_at: float


class ResponseHistory:
    """The latest response on one connection, with which the next one is compared."""

    def __init__(self) -> None:
        self._previous: _FinishedResponse | None = None  # None: the connection is new
        self._current: ResponseStart | None = None  # of the response being received, once attributed
        self._has_duplicate = False  # whether the response being awaited was preceded by a duplicate

    def attribute(
        self, attributor: ResponseAttributor, target_id: TargetId, reader: Reader, now: float
    ) -> Attribution:
        """Return what the response received by `reader` so far is; its head must be complete."""
        start = ResponseStart.of(reader)
        previous = None if self._previous is None else self._previous.start
        attribution = attributor.attribute(target_id, previous, start, now)
        if attribution is Attribution.CURRENT:
            self._current = start
        elif attribution is Attribution.DUPLICATE:
            self._has_duplicate = True
        return attribution

    def extend(self, body: bytes, is_complete: bool) -> None:
        """Add the next bytes of the body of a long response."""
        if self._current is not None:
            self._current = self._current.with_more(body, is_complete)

    def record_finished(self, target_id: TargetId, now: float) -> None:
        """Record the end of a response after which the connection is kept."""
        assert self._current is not None
        self._previous = _FinishedResponse(target_id, self._current, now)
        self._has_duplicate = False

    def record_unanswered(self, attributor: ResponseAttributor, target_id: TargetId, now: float) -> None:
        """Record that no response came in time: what was taken for a duplicate may have been the response."""
        if self._has_duplicate:
            attributor.record_repetition(target_id, now)

    def record_surplus(self, attributor: ResponseAttributor, now: float) -> Surplus | None:
        """Record data on the idle connection; return its target and time, None on a new connection."""
        if self._previous is None:
            return None
        surplus = Surplus(self._previous.target_id, now - self._previous.finished_at)
        attributor.record_surplus(surplus.target_id, surplus.idle_seconds, now)
        return surplus

    def may_reuse(self, attributor: ResponseAttributor, now: float) -> bool:
        """Return whether the response to another request on the connection can be attributed."""
        previous = self._previous
        return previous is None or attributor.may_reuse(previous.target_id, previous.start, now)
