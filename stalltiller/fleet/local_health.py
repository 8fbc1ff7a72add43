"""How far a member trusts itself and how long it suspects others (Lifeguard).  Pure.

Source: Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection".
"""

from __future__ import annotations

import math

MOST = 8  # the score's highest value


class LocalHealth:
    """The local health score: 0 is well; each step makes probes wait longer and come more seldom."""

    def __init__(self) -> None:
        self.score = 0

    def change(self, by: int) -> None:
        self.score = max(0, min(MOST, self.score + by))

    @property
    def factor(self) -> int:
        """What probe intervals and timeouts are multiplied by."""
        return self.score + 1


class Suspicion:
    """One member under suspicion: it is taken for dead at `end`, earlier the more others confirm it."""

    def __init__(self, now: float, by: str, least: float, most: float, wanted: int) -> None:
        self.began, self._least, self._most, self._wanted = now, least, most, wanted
        self.by = {by}
        self.delay = 0.0  # time in which this member itself stood still

    def confirm(self, by: str) -> bool:
        """Another member's word; whether it counts (once each, and no more than are wanted)."""
        if by in self.by or len(self.by) > self._wanted:
            return False
        self.by.add(by)
        return True

    @property
    def end(self) -> float:
        confirmed = len(self.by) - 1
        if self._wanted < 1:
            wait = self._least
        else:
            part = math.log(confirmed + 1) / math.log(self._wanted + 1)
            wait = max(self._least, self._most - (self._most - self._least) * part)
        return self.began + wait + self.delay
