"""Reservations of units for rejected clients that received a retry time.  No I/O; bounded memory.

A client is identified by its request's volume, class and idempotency key, since its retry has another request
id.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from dataclasses import dataclass

# Tolerated deviation from the retry time, due to network delay, client timers and client load.
EARLY_TOLERANCE_SECONDS = 0.03
LATE_TOLERANCE_SECONDS = 0.25
MAX_RESERVATIONS = 8192  # bounds the memory; further clients receive no reservation


@dataclass(slots=True, frozen=True)
class RetryReservation:
    """Units of a shard that are reserved for a client's retry at `retry_at`."""

    retry_at: float
    shard: int | None
    units: float


class RetryReservations:
    """The pending reservations, keyed by client."""

    def __init__(self) -> None:
        self._reservations: dict[object, RetryReservation] = {}
        # A heap of (retry time, sequence number, client); claimed reservations stay in it until they expire.
        self._expiry_queue: list[tuple[float, int, object]] = []
        self._sequence_number = 0

    def __len__(self) -> int:
        return len(self._reservations)

    def reserve(self, client: object, retry_at: float, shard: int | None, units: float) -> bool:
        """Reserve units for a client's retry.

        Returns False if the client already has a reservation, or if MAX_RESERVATIONS are queued.
        """
        if client in self._reservations or len(self._expiry_queue) >= MAX_RESERVATIONS:
            return False
        self._reservations[client] = RetryReservation(retry_at, shard, units)
        self._sequence_number += 1
        heapq.heappush(self._expiry_queue, (retry_at, self._sequence_number, client))
        return True

    def claim(self, now: float, client: object, shard: int | None) -> RetryReservation | None:
        """Remove and return the reservation of a client that retries in time and for the same shard."""
        reservation = self._reservations.get(client)
        if reservation is None or reservation.shard != shard:
            return None
        earliest = reservation.retry_at - EARLY_TOLERANCE_SECONDS
        latest = reservation.retry_at + LATE_TOLERANCE_SECONDS
        if not earliest <= now <= latest:
            return None
        return self._reservations.pop(client)

    def pop_expired(self, now: float) -> Iterator[RetryReservation]:
        """Remove and yield the reservations that no client claimed in time."""
        while self._expiry_queue and self._expiry_queue[0][0] + LATE_TOLERANCE_SECONDS < now:
            retry_at, _sequence_number, client = heapq.heappop(self._expiry_queue)
            reservation = self._reservations.get(client)
            if reservation is not None and reservation.retry_at == retry_at:
                del self._reservations[client]
                yield reservation
