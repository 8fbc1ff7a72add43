"""The door of an instance that came back with many others: what it lets in while the fleet ramps up.  Pure.

Clients that waited come all at once, and each target would meet the whole fleet's backlog in one moment.  So
the door has a token bucket of units for each cell (slow start): its rate is at first what this instance sent
there before the restart, so that all members together send what they did in the calm, and doubles every
second.  Where nothing is known of before, it begins with this member's part of what a cold target bears.

A request for which there is nothing is refused at once.  If the bucket earns its units within the longest
advice, they are set aside and the client is told when to return; who returns then passes first.  The others
are told times that are spread, so that they do not return in step.  Requests of less worth leave a part of
the bucket to the others.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from stalltiller.recovery.retry_reservations import Returns

RAMP_TIME, BLIND_TIME = 2.0, 4.0  # s after which the door may open, if the rate of before is known, or not
DOUBLE, BLIND_DOUBLE = 1.0, 0.5  # s in which the rate doubles
QUIET, LONGEST = 0.5, 6.0  # s without a refusal after which the door stands open, and in any case
DEPTH, DEPTH_TIME = 2.0, 0.5  # of a bucket: usual requests, or what comes in so many seconds if that is more
KEEP = 0.5  # of the depth, left by a request that is worth nothing to those worth most
SPREAD = 0.5  # of the longest advice: the least that is told to who has nothing set aside
LEAST_ADVICE = 0.02  # s
MOST_CELLS = 4096  # with a bucket of their own: clients name cells as they like

Cell = int | None  # None: new data, which may go to any


@dataclass(slots=True)
class _Bucket:
    level: float
    at: float


class Ramp:
    """One ramp, from `now` on.

    `rates` are the units a second that this instance sent to each cell before; `blind` is the rate to begin
    with at others.  `usual` is the size of a usual request in units, `advice` the longest advice in seconds.
    """

    def __init__(
        self,
        now: float,
        rates: Mapping[Cell, float],
        blind: float,
        usual: float,
        advice: float,
        draw: random.Random,
    ) -> None:
        self._began, self._rates, self._blind = now, dict(rates), blind
        self._usual, self._advice, self._draw = usual, advice, draw
        self._buckets: dict[Cell, _Bucket] = {}
        self._returns = Returns()
        self._refused_at = now
        self.counts: Counter[str] = Counter()  # admitted, returned (in time), booked, spread, lapsed

    def over(self, now: float) -> bool:
        """Whether the door may stand open again: at the end of the ramp, once it has refused nobody for a
        while, or else who waits would all come in at that moment."""
        quiet = now >= self._refused_at + QUIET
        return now >= self._began + ((RAMP_TIME if self._rates else BLIND_TIME) if quiet else LONGEST)

    def _base(self, cell: Cell) -> tuple[float, float]:
        """The rate that a cell begins with, and the seconds in which it doubles."""
        known = self._rates.get(cell)
        return (self._blind, BLIND_DOUBLE) if known is None else (known, DOUBLE)

    def rate(self, now: float, cell: Cell) -> float:
        """Units a second that may go to a cell."""
        base, double = self._base(cell)
        return base * 2.0 ** (min(max(0.0, now - self._began), LONGEST) / double)

    def _earned(self, cell: Cell, begin: float, end: float) -> float:
        """Units that the rate earns between two times."""
        base, double = self._base(cell)
        grown = [
            2.0 ** (min(age, LONGEST) / double) * double / math.log(2)
            + max(0.0, age - LONGEST) * 2.0 ** (LONGEST / double)
            for age in (max(0.0, at - self._began) for at in (begin, end))
        ]
        return base * (grown[1] - grown[0])

    def learn(self, rates: Mapping[Cell, float]) -> None:
        """A peer's rates, for cells of which nothing is known here: members see about the same load."""
        for cell, rate in list(rates.items())[:MOST_CELLS]:
            self._rates.setdefault(cell, rate)

    def _fill(self, now: float, cell: Cell) -> tuple[_Bucket, float, float]:
        """A cell's bucket as of now, its rate and its depth.

        It begins with a random part of a usual request, so that a fleet's first sends do not fall together.
        """
        rate = self.rate(now, cell)
        depth = max(DEPTH * self._usual, DEPTH_TIME * rate)
        bucket = self._buckets.get(cell)
        if bucket is None and len(self._buckets) >= MOST_CELLS:
            cell, bucket = None, self._buckets.get(None)
        if bucket is None:
            bucket = self._buckets[cell] = _Bucket(self._draw.random() * self._usual, now)
        bucket.level = min(depth, bucket.level + self._earned(cell, bucket.at, now))
        bucket.at = now
        return bucket, rate, depth

    def admit(self, now: float, cell: Cell, units: float, worth: float, client: object) -> float:
        """0 if a request may go on, else the seconds after which its client had best return.

        `worth` lies between 0 and 1, the best; `client` names who asks for what: it is the same on return.
        """
        for lapsed in self._returns.lapsed(now):
            self._fill(now, lapsed.cell)[0].level += lapsed.units
            self.counts["lapsed"] += 1
        bucket, rate, depth = self._fill(now, cell)
        booking = self._returns.due(now, client, cell)
        if booking is not None:  # its units were set aside when it was told the time
            bucket.level -= max(0.0, units - booking.units)
            self.counts["returned"] += 1
            return 0.0
        least = min(units, self._usual) + KEEP * depth * (1.0 - worth)
        if bucket.level >= least:  # a large one may go into debt, which what comes later pays
            bucket.level -= units
            self.counts["admitted"] += 1
            return 0.0
        self._refused_at = now
        wait = max(LEAST_ADVICE, (least - bucket.level) / rate if rate > 0 else self._advice)
        if wait < self._advice:
            wait = min(self._advice, wait + self._draw.random() * self._usual / rate)
            if self._returns.book(now, client, now + wait, cell, units):
                bucket.level -= units
                self.counts["booked"] += 1
                return wait
        return self.turn_away(now)

    def turn_away(self, now: float) -> float:
        """The seconds after which to return, for a client for whom nothing can be set aside."""
        self._refused_at = now
        self.counts["spread"] += 1
        return max(LEAST_ADVICE, self.spread(self._advice))

    def again(self, now: float) -> None:
        """Begin anew: only now is there a list to serve from."""
        self._began = self._refused_at = now
        self._buckets.clear()

    def spread(self, advice: float) -> float:
        """Some time up to an advice: clients told the same would return in step."""
        return advice * (SPREAD + (1.0 - SPREAD) * self._draw.random())
