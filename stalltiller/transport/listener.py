"""The listening socket and the client connections behind it, held to a number."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Callable
from typing import Protocol

BACKLOG = 512  # connections that wait in the kernel
BATCH = 16  # connections accepted in one turn of the loop, or BATCH_SHARE of the number if that is fewer
BATCH_SHARE = 4
TURNED_AWAY = 16  # connections over the number that are still told so; the rest are closed unheard
AWAY_SHARE = 2  # of the number: no more than this part of it, or there would be no descriptors for others
SWEEP_EVERY = 0.25  # s between looks for connections to close
SPEAK_LIMIT = 0.1  # s in which a client that has something to ask has asked, as a rule
HELLO_LIMIT = 2.3  # s that a new connection may take until its first whole head
IDLE_LIMIT = 2.0  # s that a connection may stand idle
CROWDED_LIMIT = 0.3  # s, while there are more than `usual`


class ManagedConnection(Protocol):
    """A client's connection."""

    def close_if_idle(self) -> bool:
        """Close between requests; whether it was idle."""

    def on_request_timeout(self) -> None:
        """No whole request has come in time: say so or close, unless its head has come."""

    def reject_requests(self) -> None:
        """Answer whatever comes with a refusal and close."""

    @property
    def is_closing(self) -> bool: ...

    def abort(self) -> None:
        """Close now."""

    def abort_partial_responses(self) -> None:
        """The program ends: have the other side see what is not whole."""


class Listener:
    """Accepts connections.  Over `most` another makes room, or the new one is turned away.

    Those go first that have sent nothing in SPEAK_LIMIT, then idle ones, then those in their first request,
    from the one silent for longest on, then new ones.  One that was shut down and not closed yet goes when
    more are over the number than are told so.  Guards against clients that connect by hundreds and
    say nothing or never end what they say: they would push out the idle connections of usual clients, new
    ones whose first request is on its way, and those that write it slowly.
    """

    def __init__(
        self,
        make: Callable[[Listener], asyncio.BufferedProtocol],
        most: int,
        usual: int,
        hello: float | None = None,
    ) -> None:
        self._make, self._most, self._usual = make, most, usual
        self._away = min(TURNED_AWAY, most // AWAY_SHARE)
        self._hello = HELLO_LIMIT if hello is None else hello
        self._server: asyncio.Server | None = None
        self._listening: socket.socket | None = None
        self._strangers: dict[
            ManagedConnection, float
        ] = {}  # no whole request yet: when each arrived, in order
        self._spoke: dict[
            ManagedConnection, float
        ] = {}  # strangers that have begun one: when some came last, in order
        self._guests: dict[ManagedConnection, float] = {}  # when each was last used, in order
        self._lingering: dict[
            ManagedConnection, float
        ] = {}  # shut down and not closed yet: since when, in order
        self._sweep: asyncio.TimerHandle | None = None
        self.keep_idle = False  # while it stops, clients have no other connections than those they hold
        self.shed_count = 0

    @property
    def address(self) -> tuple[str, int]:
        return self._server.sockets[0].getsockname()[:2]

    def __len__(self) -> int:
        return len(self._strangers) + len(self._guests) + len(self._lingering)

    async def open(self, host: str, port: int, inherited: int | None = None) -> None:
        """Listen, on the socket handed over under that descriptor if there is one.

        Guards against binding an address anew that whoever started the program holds already: it fails.  What
        waits on a socket handed over outlives this program, and whoever holds it next serves it.

        asyncio accepts as many connections in one turn as `backlog` says, before any can be closed: with the
        kernel's number there a crowd would take every descriptor, and asyncio then accepts none for a second.
        """
        loop = asyncio.get_running_loop()
        if inherited is not None:
            listening = socket.socket(fileno=inherited)
            if not listening.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                raise OSError(f"descriptor {inherited} is no listening socket")
            listening.set_inheritable(False)
        else:
            family = socket.AF_INET6 if ":" in host else socket.AF_INET
            listening = socket.create_server((host, port), family=family, backlog=BACKLOG)
        listening.setblocking(False)
        self._listening = listening
        self._server = await loop.create_server(
            lambda: self._make(self), sock=listening, backlog=max(1, min(BATCH, self._most // BATCH_SHARE))
        )
        listening.listen(BACKLOG)
        self._sweep_later()

    def add(self, guest: ManagedConnection) -> None:
        self._strangers[guest] = time.monotonic()
        over = len(self) - self._most
        if over <= 0:
            return
        self.shed_count += 1
        now = time.monotonic()
        for other, since in self._strangers.items():
            if now - since < SPEAK_LIMIT:
                break
            if other not in self._spoke and not other.is_closing:
                other.abort()
                return
        if over > self._away and self._lingering:
            next(iter(self._lingering)).abort()
            return
        if any(other.close_if_idle() for other in self._guests):
            return
        for other in (*self._spoke, *self._strangers):
            if other is not guest and not other.is_closing:
                other.abort()
                return
        if over > self._away:
            guest.abort()
        else:
            guest.reject_requests()

    def request_started(self, guest: ManagedConnection) -> None:
        """A part of a request has come."""
        if guest in self._strangers:
            self._spoke.pop(guest, None)
            self._spoke[guest] = time.monotonic()

    def request_finished(self, guest: ManagedConnection) -> None:
        """A whole request has come, or was answered: the connection makes room last."""
        self._strangers.pop(guest, None)
        self._spoke.pop(guest, None)
        self._guests.pop(guest, None)
        self._guests[guest] = time.monotonic()

    def closing_gracefully(self, guest: ManagedConnection) -> None:
        """Its connection was shut down: it takes no more requests, and closes soon."""
        self.remove(guest)
        self._lingering[guest] = time.monotonic()

    def remove(self, guest: ManagedConnection) -> None:
        for kind in (self._strangers, self._spoke, self._guests, self._lingering):
            kind.pop(guest, None)

    def close_idle(self) -> None:
        for guest in (*self._strangers, *self._guests):
            guest.close_if_idle()

    def abort_partial_responses(self) -> None:
        for guest in (*self._strangers, *self._guests, *self._lingering):
            guest.abort_partial_responses()

    def _sweep_later(self) -> None:
        self._sweep = asyncio.get_running_loop().call_later(SWEEP_EVERY, self._close_old)

    def _close_old(self) -> None:
        """Guard against clients that say nothing, never end what they begin, or ask once and stay.

        Clients hold only so many connections to an initiator: those that stay unused keep others from asking.
        """
        now = time.monotonic()
        for guest, since in list(self._strangers.items()):
            if now - since < self._hello:
                break
            guest.on_request_timeout()
        over = len(self) - self._most
        for guest, since in list(self._lingering.items())[: max(0, over)]:
            if now - since >= SWEEP_EVERY:
                guest.abort()  # it has had the time to read its last answer, and others wait for its place
        left = len(self._guests)
        for guest, since in () if self.keep_idle else list(self._guests.items()):
            if now - since < (IDLE_LIMIT if left <= self._usual else CROWDED_LIMIT):
                break
            left -= guest.close_if_idle()
        self._sweep_later()

    async def stop(self, take_in: bool) -> None:
        """Accept no more; open connections stay.  With `take_in`, first accept what waits in the kernel.

        Guards against closing the listening socket between a connection's accept and the turn of the loop in
        which it comes up, or over connections that wait: both are reset, and what they asked is lost.
        """
        loop, listening = asyncio.get_running_loop(), self._listening
        if listening is not None and listening.fileno() >= 0:
            loop.remove_reader(listening)
            await asyncio.sleep(0)  # those accepted come up
            with contextlib.suppress(OSError):  # none waits, or no descriptor is left
                while take_in:
                    accepted, _ = listening.accept()
                    accepted.setblocking(False)
                    await loop.connect_accepted_socket(lambda: self._make(self), accepted)
        self.close()

    def close(self) -> None:
        """Accept no more; open connections stay."""
        if self._sweep is not None:
            self._sweep.cancel()
        if self._server is not None:
            self._server.close()
