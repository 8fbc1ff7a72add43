"""Times to come back that clients were told: who comes then passes first.  Pure, bounded.

A client is known by what it asks for (volume, class, piece of data): its next try has another request id.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from dataclasses import dataclass

EARLY, LATE = 0.03, 0.25  # s by which a client may miss its time: ways, timers, a busy client
MOST = 8192  # kept at once: past it nobody is told a time that is kept


@dataclass(slots=True, frozen=True)
class Booking:
    """Units of a cell set aside for who returns at a time."""

    due: float
    cell: int | None
    units: float


class Returns:
    """What is set aside, by client."""

    def __init__(self) -> None:
        self._booked: dict[object, Booking] = {}
        self._order: list[tuple[float, int, object]] = []  # by time; what has been used is still in it
        self._count = 0

    def __len__(self) -> int:
        return len(self._booked)

    def book(self, now: float, client: object, due: float, cell: int | None, units: float) -> bool:
        """Set units aside for a client that is told to return at a time; False if it has some already, or if
        too many have."""
        if client in self._booked or len(self._order) >= MOST:
            return False
        self._booked[client] = Booking(due, cell, units)
        self._count += 1
        heapq.heappush(self._order, (due, self._count, client))
        return True

    def due(self, now: float, client: object, cell: int | None) -> Booking | None:
        """What is set aside for a client that asks at the time it was told, for the cell it asked for then;
        it has it once."""
        booking = self._booked.get(client)
        if booking is None or booking.cell != cell or not booking.due - EARLY <= now <= booking.due + LATE:
            return None
        return self._booked.pop(client)

    def lapsed(self, now: float) -> Iterator[Booking]:
        """Take out what nobody came for in time."""
        while self._order and self._order[0][0] + LATE < now:
            due, _, client = heapq.heappop(self._order)
            booking = self._booked.get(client)
            if booking is not None and booking.due == due:
                del self._booked[client]
                yield booking
