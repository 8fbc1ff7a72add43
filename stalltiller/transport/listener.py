"""The listening socket and the client connections behind it, held to a number."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

BACKLOG = 512


class Guest(Protocol):
    """A client's connection."""

    def close_if_idle(self) -> bool:
        """Close between requests; whether it was idle."""

    def turn_away(self) -> None:
        """Answer whatever comes with a refusal and close."""


class Listener:
    """Accepts connections.  Over `most` an idle one makes room, or the new one is turned away."""

    def __init__(self, make: Callable[[Listener], asyncio.BufferedProtocol], most: int) -> None:
        self._make, self._most = make, most
        self._server: asyncio.Server | None = None
        self._guests: dict[Guest, None] = {}  # in order of last use
        self.shed = 0

    @property
    def address(self) -> tuple[str, int]:
        return self._server.sockets[0].getsockname()[:2]

    def __len__(self) -> int:
        return len(self._guests)

    async def open(self, host: str, port: int) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: self._make(self), host, port, backlog=BACKLOG)

    def arrived(self, guest: Guest) -> None:
        self._guests[guest] = None
        if len(self._guests) > self._most:
            self.shed += 1
            if not any(other is not guest and other.close_if_idle() for other in list(self._guests)):
                guest.turn_away()

    def used(self, guest: Guest) -> None:
        """Move a connection to the end of those that make room."""
        self._guests.pop(guest, None)
        self._guests[guest] = None

    def left(self, guest: Guest) -> None:
        self._guests.pop(guest, None)

    def close_idle(self) -> None:
        for guest in list(self._guests):
            guest.close_if_idle()

    def close(self) -> None:
        """Accept no more; open connections stay."""
        if self._server is not None:
            self._server.close()
