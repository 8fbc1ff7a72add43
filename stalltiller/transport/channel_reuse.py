"""Decides which idle channel of an address carries the next exchange, and from when on.

A response over HTTP/1.1 does not name its request: the next bytes on a connection are taken for the response
to the request sent last.  A target may send a response a second time, late.  A request that crosses such a
duplicate on the way would get it as its response, however short or long the way is.  Only time tells the two
apart: a connection is settled once it has been idle, without receiving anything, for as long as a duplicate
may be late.  Only settled channels are reused.

The functions are pure: the pool owns the channels.  Times are on one clock, in seconds.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence
from typing import NamedTuple


class Reuse(NamedTuple):
    """An idle channel to reuse: its place in the list and the time from which it may be used."""

    position: int
    ready_at: float


def choose_channel(idle_since: Sequence[float], now: float, settle_time: float) -> Reuse | None:
    """Return the channel to reuse, None if there is none.

    `idle_since` has the time from which on each channel has been idle, in ascending order.  The settled
    channel that was used last is taken; if none is settled, the one that is settled first.
    """
    settled_count = bisect_right(idle_since, now - settle_time)
    if settled_count:
        return Reuse(settled_count - 1, now)
    return Reuse(0, idle_since[0] + settle_time) if idle_since else None
