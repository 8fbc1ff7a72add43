"""What peers tell one who comes back, and what of it is heeded.  Pure.

A peer's word only ever makes this instance more careful or its guesses better.  A target that the peer knows
to drain, to have left or to have started anew is withheld, or counts as cold, until this instance's own
discovery tells of that version; no word adds a target that its own list has not named, nor brings one back.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from google.protobuf.message import DecodeError

from stalltiller.recovery import recovery_pb2 as pb
from stalltiller.recovery.snapshot import UNKNOWN, Calm, Pace
from stalltiller.scheduling import TargetStatus

MOST_BYTES = 1100  # of a part: with its sender it goes in one datagram
MOST_NAME = 128  # characters of a target's name or an address
MOST_PARTS = 8  # of one answer
STATES = TargetStatus.READY, TargetStatus.DRAINING, TargetStatus.REMOVED


class Malformed(ValueError):
    """What came is no word of a peer."""


@dataclass(slots=True, frozen=True)
class Change:
    """A target's state in the version that the peer knows; `since` is the Unix time of its start."""

    target: str
    state: TargetStatus
    since: float | None


@dataclass(slots=True, frozen=True)
class Ask:
    """What has changed since a version of a discovery's list (0: none is known)?"""

    discovery: str
    index: int


@dataclass(slots=True, frozen=True)
class Word:
    """A peer's answer, or a part of one; `follows`: it tells every change from version `asked` to `index`."""

    discovery: str
    index: int
    asked: int = 0
    follows: bool = False
    changes: tuple[Change, ...] = ()
    paces: tuple[Pace, ...] = ()
    calm: Calm = UNKNOWN


# --- On the wire --------------------------------------------------------------------------------------
def _parts(word: Word) -> Iterable[tuple[str, object]]:
    """The lines of an answer, what matters most first."""
    for change in word.changes:
        yield (
            "changes",
            pb.Change(target=change.target, state=STATES.index(change.state), since=change.since or 0.0),
        )
    for cell, units in word.calm.rates:
        yield "rates", pb.Rate(cell=0 if cell is None else cell + 1, units=units)
    for pace in word.paces:
        yield (
            "paces",
            pb.Pace(target=pace.target, since=pace.since or 0.0, latency=pace.latency, window=pace.window),
        )


def encode(said: Ask | Word) -> list[bytes]:
    """As bodies of datagrams, the first parts of a long answer; each part may be lost for itself."""
    if isinstance(said, Ask):
        return [pb.Said(asks=True, discovery=said.discovery, index=said.index).SerializeToString()]
    head = pb.Said(discovery=said.discovery, index=said.index, asked=said.asked, share=said.calm.share or 0.0)
    made, size = [pb.Said()], 0
    made[0].CopyFrom(head)
    for field, line in _parts(said):
        size += line.ByteSize() + 4
        if size > MOST_BYTES - head.ByteSize() - 4:
            made.append(pb.Said())
            made[-1].CopyFrom(head)
            size = line.ByteSize() + 4
        getattr(made[-1], field).append(line)
    made[0].follows = said.follows and len(made[0].changes) == len(said.changes)  # all arrive as one
    return [part.SerializeToString() for part in made[:MOST_PARTS]]


def decode(data: bytes) -> Ask | Word:
    """Read a body; raises Malformed."""
    found = pb.Said()
    try:
        found.ParseFromString(data)
    except DecodeError as error:
        raise Malformed("malformed") from error
    names = [found.discovery, *(line.target for line in (*found.changes, *found.paces))]
    if max(map(len, names)) > MOST_NAME or any(change.state >= len(STATES) for change in found.changes):
        raise Malformed("text or state")
    numbers = [
        found.share,
        *(n for pace in found.paces for n in (pace.since, pace.latency, pace.window)),
        *(change.since for change in found.changes),
        *(rate.units for rate in found.rates),
    ]
    if not all(0.0 <= number < 1e12 for number in numbers):  # NaN neither
        raise Malformed("number")
    if found.asks:
        return Ask(found.discovery, found.index)
    return Word(
        found.discovery,
        found.index,
        found.asked,
        found.follows,
        tuple(Change(c.target, STATES[c.state], c.since or None) for c in found.changes),
        tuple(Pace(p.target, p.since or None, p.latency, p.window, 0.0) for p in found.paces),
        Calm(found.share or None, tuple((r.cell - 1 if r.cell else None, r.units) for r in found.rates)),
    )


# --- What is heeded -----------------------------------------------------------------------------------
class Caution:
    """Which targets are withheld, or count as started anew, on the word of peers alone."""

    def __init__(self, discovery: str) -> None:
        self._discovery = discovery
        self._heeded: dict[str, tuple[int, Change]] = {}

    def took(self, word: Word, index: int, listed: Mapping[str, float | None]) -> bool:
        """Take a word while version `index` is known and these targets are listed, each with its start;
        whether anything changes."""
        if word.discovery != self._discovery or word.index <= index:
            return False
        news = False
        for change in word.changes:
            old = self._heeded.get(change.target)
            if change.target not in listed or (old is not None and old[0] >= word.index):
                continue
            careful = change.state is not TargetStatus.READY or (change.since or 0.0) > (
                listed[change.target] or 0.0
            )
            if careful and (old is None or old[1] != change):
                news = True
            if careful:
                self._heeded[change.target] = word.index, change
        return news

    def confirms(self, word: Word, index: int) -> bool:
        """Whether a word tells all that has changed since the version that is known here."""
        return word.discovery == self._discovery and word.follows and word.asked == index

    def told(self, index: int) -> bool:
        """This instance's own discovery has told a version: what peers said of it or before is done with."""
        kept = {name: each for name, each in self._heeded.items() if each[0] > index}
        done, self._heeded = len(kept) < len(self._heeded), kept
        return done

    @property
    def withheld(self) -> frozenset[str]:
        """Targets that get nothing new."""
        return frozenset(
            name for name, (_, change) in self._heeded.items() if change.state is not TargetStatus.READY
        )

    @property
    def starts(self) -> dict[str, float]:
        """Targets that have started anew, and when (Unix time)."""
        return {
            name: change.since
            for name, (_, change) in self._heeded.items()
            if change.state is TargetStatus.READY and change.since is not None
        }
