"""What still has to be passed on, and how often it was.  Pure."""

from __future__ import annotations

import heapq
import math

from stalltiller.fleet.member_table import Member


class Gossip:
    """News that wait to be passed on: each name's newest word, a bounded number of times.

    A word is passed on `repeat * ceil(log10(members + 1))` times: enough to reach all with high probability,
    and no more, so that the load of a member does not grow with the fleet (SWIM, section 4.1).
    """

    def __init__(self, repeat: int) -> None:
        self._repeat = repeat
        self._words: dict[str, tuple[Member, int]] = {}

    def __len__(self) -> int:
        return len(self._words)

    def add(self, word: Member) -> None:
        """Pass on a word; what was said of the name before is not passed on any more."""
        self._words[word.name] = word, 0

    def take(self, most: int, members: int) -> tuple[Member, ...]:
        """Words for one packet: those passed on least often."""
        limit = self._repeat * math.ceil(math.log10(members + 1))
        taken = []
        for _, name in heapq.nsmallest(most, ((count, name) for name, (_, count) in self._words.items())):
            word, count = self._words[name]
            taken.append(word)
            if count + 1 >= limit:
                del self._words[name]
            else:
                self._words[name] = word, count + 1
        return tuple(taken)
