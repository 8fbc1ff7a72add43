"""The listening socket and a limited number of client connections accepted on it.

A listener is used from the event loop's thread only.  It owns the listening socket and its sweep timer; it
does not own the connections, which report their state changes (`add`, `request_started`, ..., `remove`).
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Callable
from typing import Protocol

BACKLOG = 512  # length of the kernel's accept queue; clients connect in bursts of hundreds
# The listener accepts up to this number of connections per event loop iteration, or the connection limit
# divided by ACCEPTS_LIMIT_DIVISOR if that is lower.  All of them are established before any can be closed, so
# they may exceed the connection limit.
MAX_ACCEPTS_PER_ITERATION = 16
ACCEPTS_LIMIT_DIVISOR = 4
# Up to this number of connections over the limit receive a rejection, or the limit divided by
# REJECTED_LIMIT_DIVISOR if that is lower, because with few descriptors none would be left for
# other uses.  Further connections are closed without a response.
MAX_REJECTED_CONNECTIONS = 16
REJECTED_LIMIT_DIVISOR = 2
SWEEP_INTERVAL_SECONDS = 0.25  # short compared with the timeouts that the sweep enforces
# A client that connects to send a request has usually begun to send it within this time.  Connections silent
# for longer are the first to be closed over the limit.
FIRST_BYTE_TIMEOUT_SECONDS = 0.1
# A new connection that has sent nothing for this long is closed.
FIRST_REQUEST_TIMEOUT_SECONDS = 2.3
# Clients open a limited number of connections to an initiator, so idle ones keep others from sending.
IDLE_TIMEOUT_SECONDS = 2.0
CROWDED_IDLE_TIMEOUT_SECONDS = 0.3  # idle timeout while there are more connections than usual


class ManagedConnection(Protocol):
    """Interface of a client connection that the listener manages."""

    def close_if_idle(self) -> bool:
        """Close if no request is in progress; return whether the connection was idle."""

    def on_request_timeout(self) -> None:
        """Close: nothing of a first request has arrived in time."""

    def reject_requests(self) -> None:
        """Reject the next request, then close."""

    @property
    def is_closing(self) -> bool:
        """Whether the connection is closing or closed."""

    @property
    def is_delivered(self) -> bool:
        """Whether the client's machine has acknowledged every byte written so far."""

    def is_transferring(self) -> bool:
        """Return whether a request or a response is in progress."""

    def abort(self) -> None:
        """Close immediately; unsent bytes are dropped."""

    def abort_partial_responses(self) -> None:
        """Abort a partial response at process exit, so that the client recognises it as incomplete."""


class Listener:
    """Accepts client connections and closes some of them when there are more than `max_connections`.

    Over the limit, connections are closed in this order: those that have sent nothing within
    FIRST_BYTE_TIMEOUT_SECONDS; idle ones; others that have sent nothing; the new connection itself.  If more
    than MAX_REJECTED_CONNECTIONS are over the limit, a connection that is closing gracefully and whose
    client has all its bytes is aborted before idle ones are closed.  No request or response in progress is
    cut off for a new connection.

    The order guards against clients that open hundreds of connections and send nothing.  Otherwise they would
    displace other clients' idle connections, and slow senders.
    """

    def __init__(
        self,
        connection_factory: Callable[[Listener], asyncio.BufferedProtocol],
        max_connections: int,
        usual_connections: int,
        first_request_timeout: float | None = None,
    ) -> None:
        """Prepare to listen; above `usual_connections` the shorter idle timeout applies.

        `first_request_timeout` is in seconds and defaults to FIRST_REQUEST_TIMEOUT_SECONDS.
        """
        self._connection_factory = connection_factory
        self._max_connections = max_connections
        self._usual_connections = usual_connections
        self._max_rejected = min(MAX_REJECTED_CONNECTIONS, max_connections // REJECTED_LIMIT_DIVISOR)
        if first_request_timeout is None:
            first_request_timeout = FIRST_REQUEST_TIMEOUT_SECONDS
        self._first_request_timeout = first_request_timeout
        self._server: asyncio.Server | None = None
        self._listening_socket: socket.socket | None = None
        # Each dict maps connections to a time on the monotonic clock and is ordered by that time.
        self._awaiting_first_request: dict[ManagedConnection, float] = {}  # time of establishment
        # The connections awaiting their first request that have sent part of it.
        self._sending_first_request: set[ManagedConnection] = set()
        self._established: dict[ManagedConnection, float] = {}  # have sent a request: time of the last use
        self._lingering: dict[ManagedConnection, float] = {}  # closing gracefully: time of the shutdown
        self._sweep_timer: asyncio.TimerHandle | None = None
        self.keep_idle = False  # set during a graceful shutdown, when clients depend on open connections
        self.shed_count = 0

    @property
    def address(self) -> tuple[str, int]:
        """The host and port of the listening socket; requires that `open` has returned."""
        if self._server is None:
            raise RuntimeError("the listener is not open")
        return self._server.sockets[0].getsockname()[:2]

    def __len__(self) -> int:
        """Return the number of connections, including closing ones."""
        return len(self._awaiting_first_request) + len(self._established) + len(self._lingering)

    async def open(self, host: str, port: int, inherited_descriptor: int | None = None) -> None:
        """Listen on the address, or on an inherited listening socket.

        Raises OSError if the address cannot be bound or the descriptor is not a listening socket.

        An inherited socket avoids binding an address that the parent process still holds, which fails.
        Connections in its accept queue outlive this process; the next process that holds the socket serves
        them.

        asyncio accepts up to `backlog` connections in one event loop iteration, before any can be closed.
        With BACKLOG there, a burst of clients would take every descriptor, after which asyncio accepts no
        connection for one second.
        """
        loop = asyncio.get_running_loop()
        listening = (
            self._create_socket(host, port)
            if inherited_descriptor is None
            else self._adopt_socket(inherited_descriptor)
        )
        listening.setblocking(False)
        self._listening_socket = listening
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
            raise OSError(f"descriptor {descriptor} is not a listening socket")
        listening.set_inheritable(False)
        return listening

    def add(self, connection: ManagedConnection) -> None:
        """Register a new connection; over the limit, close another connection or reject the new one."""
        self._awaiting_first_request[connection] = time.monotonic()
        excess = len(self) - self._max_connections
        if excess <= 0:
            return
        self.shed_count += 1
        if self._abort_silent_connection():
            return
        if excess > self._max_rejected and self._abort_delivered():
            return
        if any(other.close_if_idle() for other in self._established):
            return
        if self._abort_unused(connection):
            return
        if excess > self._max_rejected:
            connection.abort()
        else:
            connection.reject_requests()

    def _abort_silent_connection(self) -> bool:
        """Abort the oldest connection silent past its first-byte timeout; return whether there was one."""
        now = time.monotonic()
        for connection, since in self._awaiting_first_request.items():
            if now - since < FIRST_BYTE_TIMEOUT_SECONDS:
                return False
            if connection not in self._sending_first_request and not connection.is_closing:
                connection.abort()
                return True
        return False

    def _abort_unused(self, newest: ManagedConnection) -> bool:
        """Abort the oldest connection that has sent nothing yet; return whether there was one."""
        for connection in self._awaiting_first_request:
            is_unused = connection not in self._sending_first_request
            if is_unused and connection is not newest and not connection.is_closing:
                connection.abort()
                return True
        return False

    def _abort_delivered(self) -> bool:
        """Abort the oldest closing connection whose client has all its bytes; return whether one was."""
        for connection in self._lingering:
            if connection.is_delivered:
                connection.abort()
                return True
        return False

    def request_started(self, connection: ManagedConnection) -> None:
        """Record that part of a request was received."""
        if connection in self._awaiting_first_request:
            self._sending_first_request.add(connection)

    def request_finished(self, connection: ManagedConnection) -> None:
        """Record that a complete request was received or its response sent, as the last use."""
        self._awaiting_first_request.pop(connection, None)
        self._sending_first_request.discard(connection)
        self._established.pop(connection, None)
        self._established[connection] = time.monotonic()

    def closing_gracefully(self, connection: ManagedConnection) -> None:
        """Record that a connection was shut down: it accepts no more requests and closes soon."""
        self.remove(connection)
        self._lingering[connection] = time.monotonic()

    def remove(self, connection: ManagedConnection) -> None:
        """Stop tracking a connection."""
        self._awaiting_first_request.pop(connection, None)
        self._sending_first_request.discard(connection)
        self._established.pop(connection, None)
        self._lingering.pop(connection, None)

    def close_idle(self) -> None:
        """Close every connection on which no request is in progress."""
        for connection in (*self._awaiting_first_request, *self._established):
            connection.close_if_idle()

    def is_transferring(self) -> bool:
        """Return whether a request or a response is in progress on any connection."""
        connections = (*self._awaiting_first_request, *self._established, *self._lingering)
        return any(connection.is_transferring() for connection in connections)

    def abort_partial_responses(self) -> None:
        """Abort the partial responses on all connections, so that clients recognise them as incomplete."""
        for connection in (*self._awaiting_first_request, *self._established, *self._lingering):
            connection.abort_partial_responses()

    def _schedule_sweep(self) -> None:
        self._sweep_timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_SECONDS, self._close_expired)

    def _close_expired(self) -> None:
        """Close connections past their timeouts, and lingering ones over the connection limit.

        Guards against clients that send nothing, never finish a request or keep idle connections, which count
        against the limited number of connections that clients open to an initiator.
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
            if connection not in self._sending_first_request:  # others are monitored
                connection.on_request_timeout()

    def _abort_excess_lingering(self, now: float) -> None:
        excess = len(self) - self._max_connections
        for connection, since in list(self._lingering.items())[: max(0, excess)]:
            if now - since >= SWEEP_INTERVAL_SECONDS and connection.is_delivered:
                connection.abort()  # the client had time to read its last response

    def _expire_idle(self, now: float) -> None:
        remaining = len(self._established)
        for connection, since in list(self._established.items()):
            is_crowded = remaining > self._usual_connections
            timeout = CROWDED_IDLE_TIMEOUT_SECONDS if is_crowded else IDLE_TIMEOUT_SECONDS
            if now - since < timeout:
                break
            remaining -= connection.close_if_idle()

    async def stop(self, accept_backlog: bool) -> None:
        """Stop accepting; open connections stay.  With `accept_backlog`, first empty the accept queue.

        Closing the listening socket resets accepted connections that are not established yet and connections
        in the accept queue, and the requests sent on them are lost.
        """
        loop = asyncio.get_running_loop()
        listening = self._listening_socket
        if listening is not None and listening.fileno() >= 0:
            loop.remove_reader(listening)
            await asyncio.sleep(0)  # let asyncio establish connections that it has already accepted
            with contextlib.suppress(OSError):  # the accept queue is empty or no descriptor is left
                while accept_backlog:
                    accepted, _ = listening.accept()
                    accepted.setblocking(False)
                    await loop.connect_accepted_socket(lambda: self._connection_factory(self), accepted)
        self.close()

    def close(self) -> None:
        """Stop accepting; open connections stay."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        if self._server is not None:
            self._server.close()
