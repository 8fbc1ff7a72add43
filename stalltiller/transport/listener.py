"""The listening socket and the client connections accepted on it, limited in number.

A listener belongs to the event loop's thread.  It owns the listening socket and the timer of its sweep; each
connection owns itself and reports its life to the listener (`add`, `request_started`, ..., `remove`).
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Callable
from typing import Protocol

BACKLOG = 512  # connections that wait in the kernel until they are accepted: bursts are hundreds
# Connections accepted in one iteration of the event loop, or the limit divided by ACCEPTS_LIMIT_DIVISOR if
# that is fewer.  Each is up before any can be closed, so they come on top of the limit.
MAX_ACCEPTS_PER_ITERATION = 16
ACCEPTS_LIMIT_DIVISOR = 4
# Connections over the limit that still get a rejection, or the limit divided by REJECTED_LIMIT_DIVISOR if
# that is fewer: of few descriptors none would be left for others.  The rest are closed without a response.
MAX_REJECTED_CONNECTIONS = 16
REJECTED_LIMIT_DIVISOR = 2
SWEEP_INTERVAL_SECONDS = 0.25  # short against the timeouts below, so that these are kept closely
# A client that connects for a request has begun to send it by then, as a rule; a silent one goes first later.
FIRST_BYTE_TIMEOUT_SECONDS = 0.1
# By then the first request head on a new connection must be complete; it leaves time to one sent slowly.
FIRST_REQUEST_TIMEOUT_SECONDS = 2.3
# Clients hold only so many connections to an initiator: unused ones keep others from sending.
IDLE_TIMEOUT_SECONDS = 2.0
CROWDED_IDLE_TIMEOUT_SECONDS = 0.3  # the same while there are more connections than usual


class ManagedConnection(Protocol):
    """A client's connection, as the listener sees it."""

    def close_if_idle(self) -> bool:
        """Close if no request is in progress; return whether that was so."""

    def on_request_timeout(self) -> None:
        """Handle that no whole request came in time: reject it or close, unless its head has come."""

    def reject_requests(self) -> None:
        """Answer whatever request comes with a rejection, then close."""

    @property
    def is_closing(self) -> bool:
        """Whether the connection is closing or closed."""

    def abort(self) -> None:
        """Close now; bytes that are not sent are dropped."""

    def abort_partial_responses(self) -> None:
        """End so that the client recognises incomplete responses: the process stops."""


class Listener:
    """Accepts client connections and closes some of them when there are more than `max_connections`.

    Over the limit, room is made in this order: connections that have sent nothing within
    FIRST_BYTE_TIMEOUT_SECONDS; then idle ones; then those still sending their first request, the one silent
    for longest first; then the new connection itself.  If more than MAX_REJECTED_CONNECTIONS are over the
    limit, a connection that is closing gracefully goes before idle ones.

    Guards against clients that connect by hundreds and send nothing or never finish a request: they would
    displace the idle connections of other clients, new connections whose first request is on its way, and
    clients that send it slowly.
    """

    def __init__(
        self,
        connection_factory: Callable[[Listener], asyncio.BufferedProtocol],
        max_connections: int,
        usual_connections: int,
        first_request_timeout: float | None = None,
    ) -> None:
        """Prepare to listen; above `usual_connections` idle ones are closed sooner.

        `first_request_timeout` is in seconds; by default it is FIRST_REQUEST_TIMEOUT_SECONDS.
        """
        self._connection_factory = connection_factory
        self._max_connections = max_connections
        self._usual_connections = usual_connections
        self._max_rejected = min(MAX_REJECTED_CONNECTIONS, max_connections // REJECTED_LIMIT_DIVISOR)
        if first_request_timeout is None:
            first_request_timeout = FIRST_REQUEST_TIMEOUT_SECONDS
        self._first_request_timeout = first_request_timeout
        self._server: asyncio.Server | None = None
        self._listening: socket.socket | None = None
        # Each with the time (monotonic clock) by which it is ordered.
        self._awaiting_first_request: dict[ManagedConnection, float] = {}  # by establishment
        self._sending_first_request: dict[ManagedConnection, float] = {}  # of these, by last receipt
        self._established: dict[ManagedConnection, float] = {}  # with a request so far, by last use
        self._lingering: dict[ManagedConnection, float] = {}  # closing gracefully, by shutdown
        self._sweep: asyncio.TimerHandle | None = None
        self.keep_idle = False  # during a graceful stop clients have no connections but those they hold
        self.shed_count = 0

    @property
    def address(self) -> tuple[str, int]:
        """The host and port that the socket listens on; `open` must have returned."""
        if self._server is None:
            raise RuntimeError("the listener is not open")
        return self._server.sockets[0].getsockname()[:2]

    def __len__(self) -> int:
        """Return the number of connections, closing ones included."""
        return len(self._awaiting_first_request) + len(self._established) + len(self._lingering)

    async def open(self, host: str, port: int, inherited: int | None = None) -> None:
        """Listen on the address, or on the listening socket inherited as that descriptor.

        Raises OSError if the address cannot be bound or the descriptor is no listening socket.

        An inherited socket guards against binding an address that the starting process still holds, which
        fails.  Connections that wait on it outlive this process: whoever holds it next serves them.

        asyncio accepts up to `backlog` connections in one iteration of the event loop, before any can be
        closed.  With the kernel's backlog there, a burst of clients would take every descriptor, and asyncio
        then accepts none for a second.
        """
        loop = asyncio.get_running_loop()
        listening = self._create_socket(host, port) if inherited is None else self._adopt_socket(inherited)
        listening.setblocking(False)
        self._listening = listening
        accepts = max(1, min(MAX_ACCEPTS_PER_ITERATION, self._max_connections // ACCEPTS_LIMIT_DIVISOR))
        self._server = await loop.create_server(
            lambda: self._connection_factory(self), sock=listening, backlog=accepts
        )
        listening.listen(BACKLOG)
        self._schedule_sweep()

    @staticmethod
    def _create_socket(host: str, port: int) -> socket.socket:
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        return socket.create_server((host, port), family=family, backlog=BACKLOG)

    @staticmethod
    def _adopt_socket(descriptor: int) -> socket.socket:
        listening = socket.socket(fileno=descriptor)
        if not listening.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise OSError(f"descriptor {descriptor} is no listening socket")
        listening.set_inheritable(False)
        return listening

    def add(self, connection: ManagedConnection) -> None:
        """Register a new connection; over the limit, close another one or reject the new one."""
        self._awaiting_first_request[connection] = time.monotonic()
        excess = len(self) - self._max_connections
        if excess <= 0:
            return
        self.shed_count += 1
        if self._abort_silent_connection():
            return
        if excess > self._max_rejected and self._lingering:
            next(iter(self._lingering)).abort()
            return
        if any(other.close_if_idle() for other in self._established):
            return
        if self._abort_slowest_first_request(connection):
            return
        if excess > self._max_rejected:
            connection.abort()
        else:
            connection.reject_requests()

    def _abort_silent_connection(self) -> bool:
        """Abort the oldest connection that has sent nothing in time; return whether there was one."""
        now = time.monotonic()
        for connection, since in self._awaiting_first_request.items():
            if now - since < FIRST_BYTE_TIMEOUT_SECONDS:
                return False
            if connection not in self._sending_first_request and not connection.is_closing:
                connection.abort()
                return True
        return False

    def _abort_slowest_first_request(self, newest: ManagedConnection) -> bool:
        """Abort the connection silent for longest in its first request; return whether there was one."""
        for connection in (*self._sending_first_request, *self._awaiting_first_request):
            if connection is not newest and not connection.is_closing:
                connection.abort()
                return True
        return False

    def request_started(self, connection: ManagedConnection) -> None:
        """Note that a part of a request was received."""
        if connection in self._awaiting_first_request:
            self._sending_first_request.pop(connection, None)
            self._sending_first_request[connection] = time.monotonic()

    def request_finished(self, connection: ManagedConnection) -> None:
        """Note that a whole request was received or answered: the connection was used just now."""
        self._awaiting_first_request.pop(connection, None)
        self._sending_first_request.pop(connection, None)
        self._established.pop(connection, None)
        self._established[connection] = time.monotonic()

    def closing_gracefully(self, connection: ManagedConnection) -> None:
        """Note that a connection was shut down: it accepts no more requests and closes soon."""
        self.remove(connection)
        self._lingering[connection] = time.monotonic()

    def remove(self, connection: ManagedConnection) -> None:
        """Forget a connection that is lost."""
        self._awaiting_first_request.pop(connection, None)
        self._sending_first_request.pop(connection, None)
        self._established.pop(connection, None)
        self._lingering.pop(connection, None)

    def close_idle(self) -> None:
        """Close every connection on which no request is in progress."""
        for connection in (*self._awaiting_first_request, *self._established):
            connection.close_if_idle()

    def abort_partial_responses(self) -> None:
        """End every connection so that clients recognise incomplete responses."""
        for connection in (*self._awaiting_first_request, *self._established, *self._lingering):
            connection.abort_partial_responses()

    def _schedule_sweep(self) -> None:
        self._sweep = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_SECONDS, self._close_expired)

    def _close_expired(self) -> None:
        """Close connections past their timeouts, and lingering ones if there are too many.

        Guards against clients that send nothing, never finish a request, or keep a connection unused.
        Clients hold only so many connections to an initiator: unused ones keep others from sending.
        """
        now = time.monotonic()
        self._expire_first_requests(now)
        self._abort_excess_lingering(now)
        if not self.keep_idle:
            self._expire_idle(now)
        self._schedule_sweep()

    def _expire_first_requests(self, now: float) -> None:
        for connection, since in list(self._awaiting_first_request.items()):
            if now - since < self._first_request_timeout:
                break
            connection.on_request_timeout()

    def _abort_excess_lingering(self, now: float) -> None:
        excess = len(self) - self._max_connections
        for connection, since in list(self._lingering.items())[: max(0, excess)]:
            if now - since >= SWEEP_INTERVAL_SECONDS:
                connection.abort()  # it had the time to read its last response, and others need its place

    def _expire_idle(self, now: float) -> None:
        remaining = len(self._established)
        for connection, since in list(self._established.items()):
            is_crowded = remaining > self._usual_connections
            timeout = CROWDED_IDLE_TIMEOUT_SECONDS if is_crowded else IDLE_TIMEOUT_SECONDS
            if now - since < timeout:
                break
            remaining -= connection.close_if_idle()

    async def stop(self, take_in: bool) -> None:
        """Accept no more; open connections stay.  With `take_in`, first accept what waits in the kernel.

        Guards against closing the listening socket while an accepted connection is not established yet or
        while connections wait: both are reset, and the requests sent on them are lost.
        """
        loop = asyncio.get_running_loop()
        listening = self._listening
        if listening is not None and listening.fileno() >= 0:
            loop.remove_reader(listening)
            await asyncio.sleep(0)  # connections already accepted are established
            with contextlib.suppress(OSError):  # none waits, or no descriptor is left
                while take_in:
                    accepted, _ = listening.accept()
                    accepted.setblocking(False)
                    await loop.connect_accepted_socket(lambda: self._connection_factory(self), accepted)
        self.close()

    def close(self) -> None:
        """Accept no more; open connections stay."""
        if self._sweep is not None:
            self._sweep.cancel()
        if self._server is not None:
            self._server.close()
