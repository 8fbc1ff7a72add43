"""Whether many instances came back together, and the turns in which these then call discovery.  Pure.

An instance tells from its own start, its peers' starts and what it kept.  One that comes back alone calls at
once; one of a herd waits for its turn in a cycle that all members share, so that the fleet together calls
discovery no more than PEAK times as often as in the calm.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass

HERD_SPAN = 10.0  # s by which two starts may differ to be of one herd
HERD_SHARE = 0.2  # of the fleet: so many young members are a herd
HERD_LEAST = 2  # and never fewer than these, this one too
GATHER = 1.0  # s after its start for which a life whose forerunner was killed waits for word of its peers
PEAK = 1.5  # list calls in a second, over those of the calm
SOON = 0.25  # of a cycle: a turn that comes sooner after a call is the one just used


@dataclass(slots=True, frozen=True)
class View:
    """The fleet as one instance sees it now.

    `size` counts the members that run, this one too, `rank` is its place among them by name (from 0), and
    `young` counts those that began within HERD_SPAN of its own start, this one too.
    """

    size: int = 1
    rank: int = 0
    young: int = 1

    @classmethod
    def of(cls, name: str, starts: Mapping[str, float]) -> View:
        """From the Unix times, in seconds, at which the members that run began their lives."""
        mine = starts[name]
        return cls(
            len(starts),
            sorted(starts).index(name),
            sum(abs(start - mine) <= HERD_SPAN for start in starts.values()),
        )


class Herd:
    """One instance's judgement, by what it kept: the size of its fleet, and whether it was killed."""

    def __init__(self, last_size: int, killed: bool) -> None:
        self.last_size, self._killed = max(1, last_size), killed

    def size(self, view: View) -> int:
        """The members among which budgets are divided: the live ones, or the last known if none is heard."""
        return view.size if view.size > 1 else self.last_size

    def gathering(self, age: float) -> bool:
        """Whether it is too soon to judge, at an age in seconds: peers may yet tell of themselves."""
        return self._killed and self.last_size > 1 and age < GATHER

    def verdict(self, view: View, age: float) -> bool:
        """Whether this instance is to pace itself as one of a herd.

        While it is too soon to judge, and when it hears nobody after it was killed, it takes itself for one:
        to be wrong costs it a moment, and to be wrong the other way costs everyone.
        """
        if self.gathering(age) or view.size == 1:
            return self._killed and self.last_size > 1
        return view.young >= max(HERD_LEAST, HERD_SHARE * view.size)


class Turns:
    """Turns on the machines' one clock: each member has its own moment in a cycle of `wait` / PEAK seconds.

    `wait` is how long a call waits at discovery in the calm, so each member calls about once in that time.
    Members that see the same fleet never call together; one that hears nobody draws its moment (full jitter).
    """

    def __init__(self, wait: float, draw: random.Random) -> None:
        self.cycle = wait / PEAK
        self._drawn = draw.random()

    def first(self, wall: float, view: View) -> float:
        """Seconds until this member's turn, at a Unix time."""
        place = (view.rank + 0.5) / view.size if view.size > 1 else self._drawn
        return (place * self.cycle - wall) % self.cycle

    def again(self, wall: float, view: View, failures: int) -> float:
        """The same after so many failed calls in a row (1 or more): every second turn from the fourth on, as
        discovery may be overbooked by others than this fleet."""
        rest = self.first(wall, view)
        if rest < SOON * self.cycle:
            rest += self.cycle
        return rest + (self.cycle if failures > 3 else 0.0)
