"""What is kept of a life, each fact with the time at which it was true.  Pure.

Times are Unix times in seconds.  Each kind of fact has an age past which it is not used, and something that
is used in its place:

| fact | used up to | in its place |
| --- | --- | --- |
| list of targets | LIST_AGE after discovery last confirmed it | the configuration's `known`, or none |
| a target's latency and window | PACE_AGE, for the same start of the target | the usual first guess |
| units of a limited volume | any age, of a life that ended in order | an empty bucket |
| units a second sent to each cell, share served, members | CALM_AGE | what peers tell, or a slow start |

An operator's bans are kept by `program.handover` and stand until they are lifted.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, replace

import orjson

from stalltiller.protocol import discovery
from stalltiller.scheduling import Plan, TargetStatus

VERSION = 2
MAGIC = b"STL1"
DIGEST = 16  # bytes
FUTURE = 5.0  # s by which kept state may be ahead of the clock: machines' clocks differ a little
LIST_AGE = 600.0  # s
PACE_AGE = 60.0  # s
CALM_AGE = 3600.0  # s: what a fleet's load was an hour ago still tells its size
MOST_BYTES = 4 * 1024 * 1024
MOST_PACES, MOST_LEVELS = 4096, 20000  # the newest are kept
MOST_RATES, MOST_PEERS = 4096, 1024
MOST_CHANGES = 4096  # of the list that are remembered to be told to peers
STATES = {state: word for word, state in discovery.STATES.items()}


class Refused(ValueError):
    """Kept state that must not be used; the text is one word: torn, foreign, version or future."""


@dataclass(slots=True, frozen=True)
class Pace:
    """How fast a target answers this instance: mean latency in seconds, window in requests."""

    target: str
    since: float | None  # the target's own start: another start is another process
    latency: float
    window: float
    at: float


@dataclass(slots=True, frozen=True)
class Level:
    """Units left in this instance's part of a volume's limit."""

    volume: int
    plan: str
    hosts: int
    units: float
    at: float


@dataclass(slots=True, frozen=True)
class Calm:
    """What service was like before: for those who come back, the measure of what they may do at once."""

    share: float | None = None  # of the requests answered that was served; None: not known
    rates: tuple[tuple[int | None, float], ...] = ()  # units a second that this instance sent, by cell
    peers: tuple[tuple[str, str, int], ...] = ()  # name, host and port of the other members


UNKNOWN = Calm()


@dataclass(slots=True, frozen=True)
class Facts:
    """All that is kept.  `closed`: the life ended in order after this, and spent nothing more."""

    name: str
    discovery: str  # its address: versions of one discovery mean nothing to another
    saved_at: float
    closed: bool = False
    listing: discovery.TargetList | None = None
    heard_at: float = 0.0  # when discovery last confirmed the list
    paces: tuple[Pace, ...] = ()
    levels: tuple[Level, ...] = ()
    calm: Calm = UNKNOWN


class Book:
    """The list as discovery last told it, whole, and what has changed in it since it was begun."""

    def __init__(self) -> None:
        self._index, self._targets = 0, {}
        self._since = 0  # the version from which on changes are known
        self._changes: dict[
            str, tuple[int, discovery.TargetRecord]
        ] = {}  # by name: in which version, the last

    @property
    def index(self) -> int:
        """The version known; 0 before any."""
        return self._index

    def took(self, listing: discovery.TargetList) -> None:
        """Take an answer of discovery, whole or changes."""
        now = {} if listing.is_full else dict(self._targets)
        for target in listing.targets:
            if target.status is TargetStatus.REMOVED:
                now.pop(target.name, None)
            else:
                now[target.name] = target
        if not self._index or listing.version < self._index:  # the first, or another count of versions
            self._since, self._changes = listing.version, {}
        else:
            for name in self._targets.keys() | now.keys():
                target = now.get(name) or replace(self._targets[name], status=TargetStatus.REMOVED)
                if target != self._targets.get(name):
                    self._changes.pop(name, None)
                    self._changes[name] = listing.version, target
        while len(self._changes) > MOST_CHANGES:
            self._since = max(self._since, self._changes.pop(next(iter(self._changes)))[0])
        self._index, self._targets = listing.version, now

    def clear(self) -> None:
        """Forget all: another discovery counts its own versions."""
        self._index, self._since, self._targets, self._changes = 0, 0, {}, {}

    def newer(self, index: int) -> list[discovery.TargetRecord] | None:
        """What has changed since a version, in its last state; None if that is not known."""
        if not 0 < self._since <= index <= self._index:
            return None
        return [target for at, target in self._changes.values() if at > index]

    @property
    def listing(self) -> discovery.TargetList | None:
        """The whole list; None before any."""
        if not self._index:
            return None
        targets = tuple(self._targets[name] for name in sorted(self._targets))
        return discovery.TargetList(self._index, True, targets)


def _line(target: discovery.TargetRecord) -> dict[str, object]:
    return {
        "name": target.name,
        "address": f"{target.host}:{target.port}",
        "zone": target.zone,
        "type": target.kind,
        "group": target.shard,
        "status": STATES[target.status],
        "weight": target.weight,
        "since_ms": 0 if target.started_at is None else target.started_at * 1000,
    }


def encode(facts: Facts) -> bytes:
    """Facts as bytes with a checksum before them."""
    listing = facts.listing
    body = orjson.dumps(
        {
            "version": VERSION,
            "name": facts.name,
            "discovery": facts.discovery,
            "saved_at": facts.saved_at,
            "closed": facts.closed,
            "heard_at": facts.heard_at,
            "listing": None
            if listing is None
            else {
                "index": listing.version,
                "snapshot": True,
                "endpoints": [_line(target) for target in listing.targets],
            },
            "paces": [[p.target, p.since, p.latency, p.window, p.at] for p in facts.paces[:MOST_PACES]],
            "levels": [[v.volume, v.plan, v.hosts, v.units, v.at] for v in facts.levels[:MOST_LEVELS]],
            "share": facts.calm.share,
            "rates": facts.calm.rates[:MOST_RATES],
            "peers": facts.calm.peers[:MOST_PEERS],
        }
    )
    return MAGIC + hashlib.blake2b(body, digest_size=DIGEST).digest() + body


def decode(data: bytes, name: str, address: str, now: float) -> Facts:
    """Read kept bytes; raises Refused for what is not whole, of another instance, another form or to come."""
    body = data[len(MAGIC) + DIGEST :]
    whole = hashlib.blake2b(body, digest_size=DIGEST).digest()
    if len(data) > MOST_BYTES or data[: -len(body) or None] != MAGIC + whole:
        raise Refused("torn")
    try:
        found = orjson.loads(body)
        if found["version"] != VERSION:
            raise Refused("version")
        if (found["name"], found["discovery"]) != (name, address):
            raise Refused("foreign")
        facts = Facts(
            name,
            address,
            float(found["saved_at"]),
            found["closed"] is True,
            None if found["listing"] is None else discovery.parse_target_list_value(found["listing"]),
            float(found["heard_at"]),
            tuple(Pace(*each) for each in found["paces"]),
            tuple(Level(*each) for each in found["levels"]),
            Calm(found["share"], *(tuple(map(tuple, found[key])) for key in ("rates", "peers"))),
        )
    except (KeyError, TypeError, discovery.DiscoveryError) as error:
        raise Refused("torn") from error
    if facts.saved_at > now + FUTURE:
        raise Refused("future")
    return facts


def usable(facts: Facts, now: float) -> Facts:
    """The facts that may still be believed."""
    fresh = facts.heard_at > now - LIST_AGE
    return replace(
        facts,
        listing=facts.listing if fresh else None,
        paces=tuple(pace for pace in facts.paces if pace.at > now - PACE_AGE),
        levels=facts.levels if facts.closed else (),
        calm=facts.calm if facts.saved_at > now - CALM_AGE else UNKNOWN,
    )


def start_level(level: Level, plan: Plan, now: float) -> float:
    """What a bucket starts with: the lesser of what was left and what has come in since, within its part.

    A restart must mint no burst: of a life that was killed nobody knows what it had spent since it was kept.
    """
    part = plan.limit / level.hosts * max(0.0, now - level.at)
    return max(0.0, min(level.units, part, plan.burst / level.hosts))
