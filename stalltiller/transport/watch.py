"""Long polling of the discovery service, with the next poll right after each response.

A watch owns its connections and runs in its owner's task; cancelling the task closes the connection.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from stalltiller.transport.buffers import BufferPool
from stalltiller.transport.connection import Connection, TransferMonitor

CONNECT_TIMEOUT_SECONDS = 1.0  # an unresponsive address must not use up the timeout of a whole poll
# Once discovery has a change, every initiator is assumed to know it after this time, even if polls failed.
NOTIFICATION_DEADLINE_SECONDS = 6.0

# A response that has begun goes on arriving.  If it takes longer than this, another poll is made beside it,
# which leaves time to learn of a change from that one.
MAX_SOLE_PAUSE_SECONDS = 1.0  # without a byte
MAX_SOLE_RESPONSE_SECONDS = 2.0  # from its first byte
TIMER_MARGIN_SECONDS = 0.001  # lets a wait end after its time, not just before it
MAX_SLOW_RESPONSES = 2  # beside the latest poll

# Polls of the agent on the same machine are cheap, so failed ones are retried soon.
AGENT_POLL_WAIT_SECONDS = 2.0  # how long a poll may wait for a change; a lost response is detected soon after
AGENT_RESPONSE_TIMEOUT_SECONDS = 0.35  # added to the poll wait
AGENT_INITIAL_BACKOFF_SECONDS = 0.05
AGENT_MAX_BACKOFF_SECONDS = 0.1

# Polls of discovery itself use fractions of the time until a change is assumed to be known.
REMOTE_POLL_WAIT_FRACTION = 0.5  # leaves time for two polls that get no response
REMOTE_RESPONSE_TIMEOUT_FRACTION = 0.15  # added to the poll wait; polls queue at a busy discovery
REMOTE_INITIAL_BACKOFF_FRACTION = 1 / 12
REMOTE_MAX_BACKOFF_FRACTION = 1 / 3
MAX_BACKOFF_DOUBLINGS = 30  # enough to reach every maximum backoff; keeps the power of two small

DEFAULT_JITTER_FRACTION = 0.5


@dataclass(slots=True, frozen=True)
class BackoffPollPolicy:
    """A poll policy with exponential backoff and jitter; times are in seconds.

    A change is assumed to be known NOTIFICATION_DEADLINE_SECONDS after discovery had it, even if a watch got
    no response or its polls were rejected.  To learn of a drain by then, a poll that waited and got no
    response, a backoff and the next poll must fit into that time, with room for a second failure.

    Polls of the agent on the same machine are cheap, and a failed one is retried soon, because the time
    starts when the agent learns of the change, also after a discovery outage.  Discovery itself is polled by
    the whole fleet: forty watches that polled every 2 s and retried within 1.5 s kept it overloaded.
    Therefore a poll waits as long as the deadline allows, and a rejected one is retried after a random
    backoff between zero and a bound that doubles (full jitter).

    `jitter` is the fraction of a backoff that is random.
    """

    poll_wait: float = AGENT_POLL_WAIT_SECONDS
    response_timeout: float = AGENT_RESPONSE_TIMEOUT_SECONDS
    initial_backoff: float = AGENT_INITIAL_BACKOFF_SECONDS
    max_backoff: float = AGENT_MAX_BACKOFF_SECONDS
    jitter: float = DEFAULT_JITTER_FRACTION

    @classmethod
    def for_remote_discovery(cls, age_limit: float) -> BackoffPollPolicy:
        """Return the policy for polling discovery itself; lists are at most `age_limit` seconds old."""
        deadline = min(age_limit, NOTIFICATION_DEADLINE_SECONDS)
        return cls(
            poll_wait=REMOTE_POLL_WAIT_FRACTION * deadline,
            response_timeout=REMOTE_RESPONSE_TIMEOUT_FRACTION * deadline,
            initial_backoff=REMOTE_INITIAL_BACKOFF_FRACTION * deadline,
            max_backoff=REMOTE_MAX_BACKOFF_FRACTION * deadline,
            jitter=1.0,
        )

    def timeout(self, may_wait: bool) -> float:
        """Return the timeout of a poll and its response; `may_wait`: the poll may wait for a change."""
        return self.response_timeout + (self.poll_wait if may_wait else 0.0)

    def initial_delay(self) -> float:
        """Return 0: the first poll need not be coordinated with other initiators."""
        return 0.0

    def backoff(self, failures: int, jitter_fraction: float) -> float:
        """Return the backoff after `failures` (at least 1) in a row; `jitter_fraction` is in [0, 1]."""
        doublings = min(failures - 1, MAX_BACKOFF_DOUBLINGS)
        bound = min(self.max_backoff, self.initial_backoff * 2**doublings)
        return bound * (1 - self.jitter + self.jitter * jitter_fraction)


class PollPolicy(Protocol):
    """When a watch polls; times are in seconds."""

    def timeout(self, may_wait: bool) -> float:
        """Return the timeout of a poll and its response; `may_wait`: the poll may wait for a change."""

    def initial_delay(self) -> float:
        """Return the delay before calling this again, or 0 if the first poll may be made now."""

    def backoff(self, failures: int, jitter_fraction: float) -> float:
        """Return the backoff after `failures` (at least 1) in a row; `jitter_fraction` is in [0, 1]."""


class Codec(Protocol):
    """Encodes polls and decodes responses; `feed` and `finish` raise ValueError on invalid responses."""

    def encode_poll(self, may_wait: bool) -> bytes:
        """Return the encoded next poll; `may_wait`: it may wait for a change."""

    def feed(self, data: memoryview) -> int:
        """Decode bytes of a response and return the number consumed."""

    def finish(self) -> bool | None:
        """Apply a complete response and prepare for the next one.

        Returns whether the connection stays open, or None if the response is incomplete.
        """

    def for_connection(self) -> Codec:
        """Return a codec of the same watch for a connection of its own."""


class SlowResponseError(TimeoutError):
    """A response goes on arriving, and another poll is made beside it."""


class _PollConnection(Connection):
    """A connection to discovery with at most one poll in flight."""

    def __init__(self, buffers: BufferPool, monitor: TransferMonitor, codec: Codec) -> None:
        super().__init__(buffers, monitor)
        self._codec = codec
        # The result of the poll in flight: whether the connection stays open.
        self.response: asyncio.Future[bool] | None = None
        self._first_byte_at: float | None = None  # of the response
        self._last_byte_at = 0.0

    def request(self, may_wait: bool) -> asyncio.Future[bool]:
        """Send a poll and return the future of its response."""
        self._first_byte_at = None
        response: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        response.add_done_callback(_retrieve_exception)  # also of a poll that nobody waits for any more
        self.response = response
        self.write(self._codec.encode_poll(may_wait))
        return response

    @property
    def is_arriving(self) -> bool:
        """Whether a part of the response has come, and not all of it."""
        return self.has_begun and self.response is not None and not self.response.done()

    @property
    def has_begun(self) -> bool:
        """Whether a part of the response has come."""
        return self._first_byte_at is not None

    def sole_until(self, timeout_at: float) -> float:
        """Return until when no other poll is needed beside this one, which times out at `timeout_at`."""
        if self._first_byte_at is None:
            return timeout_at
        pause_ends_at = self._last_byte_at + MAX_SOLE_PAUSE_SECONDS
        return min(pause_ends_at, self._first_byte_at + MAX_SOLE_RESPONSE_SECONDS)

    def on_data(self, data: memoryview) -> int:
        """Decode a response; abort if no poll is in flight."""
        if self.response is None or self.response.done():
            self.abort()
            return len(data)
        self._record_progress()
        try:
            consumed = self._codec.feed(data)
            stays_open = self._codec.finish()
        except ValueError as error:
            self.response.set_exception(error)
            self.abort()
            return len(data)
        if stays_open is not None:
            self.monitor.unwatch(self)
            self.response.set_result(stays_open)
        return consumed

    def _record_progress(self) -> None:
        self._last_byte_at = asyncio.get_running_loop().time()
        if self._first_byte_at is None:
            self._first_byte_at = self._last_byte_at
            self.monitor.watch(self)

    def transferred_bytes(self) -> int:
        """Return the number of bytes received."""
        return self.received_bytes()

    def on_buffer_full(self) -> None:
        """Abort: the response head is too long."""
        self.abort()

    def on_disconnected(self, _error: Exception | None) -> None:
        """Fail the poll in flight."""
        if self.response is not None and not self.response.done():
            self.response.set_exception(ConnectionResetError("discovery closed the connection"))


def _retrieve_exception(response: asyncio.Future[bool]) -> None:
    if not response.cancelled():
        response.exception()


class Watch:
    """Polls discovery until cancelled; passes each failure to `on_error` and retries after a backoff.

    A response that goes on arriving slowly is not cut off: another poll is made beside it, and it is given up
    once the response to that one is whole.
    """

    def __init__(
        self,
        address: tuple[str, int],
        buffers: BufferPool,
        monitor: TransferMonitor,
        codec: Codec,
        poll_policy: PollPolicy,
        on_error: Callable[[Exception], None],
    ) -> None:
        self._address = address
        self._buffers = buffers
        self._monitor = monitor
        self._codec = codec
        self._poll_policy = poll_policy
        self._on_error = on_error
        self._connection: _PollConnection | None = None
        self._slow_connections: list[_PollConnection] = []  # whose responses go on arriving

    async def run(self) -> None:
        """Poll until the task is cancelled; no response is applied after that."""
        while delay := self._poll_policy.initial_delay():
            await asyncio.sleep(delay)
        consecutive_errors = 0  # timeouts are not counted
        timed_out = False  # whether the last poll timed out
        try:
            while True:
                try:
                    await self._poll(may_wait=not timed_out)
                    consecutive_errors = 0
                    timed_out = False
                except SlowResponseError as error:
                    self._on_error(error)
                    timed_out = True
                except (OSError, ValueError) as error:  # TimeoutError is an OSError
                    self._abort_connection()
                    self._on_error(error)
                    timed_out = isinstance(error, TimeoutError)  # a timeout does not indicate an overload
                    consecutive_errors = 0 if timed_out else consecutive_errors + 1
                    backoff = self._poll_policy.backoff(1 + consecutive_errors, random.random())
                    await asyncio.sleep(backoff)
        finally:
            self._abort_connection()
            self._abort_slow_connections()

    async def _poll(self, may_wait: bool) -> None:
        """Make one poll, on a new connection if none is open.

        Raises OSError or ValueError if it fails, and SlowResponseError if its response goes on arriving.
        """
        connection = self._connection
        if connection is None or connection.is_closing:
            connect_timeout = min(CONNECT_TIMEOUT_SECONDS, self._poll_policy.timeout(False))
            async with asyncio.timeout(connect_timeout):
                connection = await self._open()
                self._connection = connection
        timeout_at = asyncio.get_running_loop().time() + self._poll_policy.timeout(may_wait)
        response = connection.request(may_wait)
        await self._wait(connection, response, timeout_at)
        self._abort_slow_connections()  # what this one brings is newer
        if not response.result():
            connection.close()
            self._connection = None

    async def _wait(
        self, connection: _PollConnection, response: asyncio.Future[bool], timeout_at: float
    ) -> None:
        """Wait for a response, for as long as it keeps coming if there are enough other slow ones."""
        loop = asyncio.get_running_loop()
        while not response.done():
            remaining = connection.sole_until(timeout_at) - loop.time()
            if remaining > 0:
                await asyncio.wait([response], timeout=remaining + TIMER_MARGIN_SECONDS)
            elif not connection.has_begun:
                raise TimeoutError
            elif self._count_slow_responses() < MAX_SLOW_RESPONSES:
                self._slow_connections.append(connection)
                self._connection = None
                raise SlowResponseError("the target list arrives slowly: polling beside it")
            else:
                await asyncio.wait([response], timeout=MAX_SOLE_PAUSE_SECONDS)
        response.result()

    def _count_slow_responses(self) -> int:
        """Close the slow connections whose polls have ended, and return the number of the others."""
        for connection in self._slow_connections:
            if not connection.is_arriving:
                connection.abort()
        self._slow_connections = [slow for slow in self._slow_connections if slow.is_arriving]
        return len(self._slow_connections)

    def _abort_connection(self) -> None:
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    def _abort_slow_connections(self) -> None:
        for connection in self._slow_connections:
            connection.abort()
        self._slow_connections = []

    async def _open(self) -> _PollConnection:
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: _PollConnection(self._buffers, self._monitor, self._codec.for_connection()),
            *self._address,
        )
        return connection
