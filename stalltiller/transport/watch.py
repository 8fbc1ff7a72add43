"""Long polling of the discovery service: one connection, and the next poll at once after each response.

A watch owns its connection and runs in its owner's task; cancelling the task closes the connection.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from stalltiller.transport.buffers import BufferPool
from stalltiller.transport.connection import Connection

CONNECT_TIMEOUT_SECONDS = 1.0  # an address that does not answer must not use up the time of a whole poll
# After which a change counts as known to every initiator once discovery has it, whatever became of the polls.
NOTIFICATION_DEADLINE_SECONDS = 6.0

# Where the agent on the same machine answers, polls are cheap: failed ones are repeated soon.
AGENT_POLL_WAIT_SECONDS = 2.0  # how long a poll may wait for a change: a silent watch is detected soon after
AGENT_RESPONSE_TIMEOUT_SECONDS = 0.35  # beyond the poll's wait
AGENT_INITIAL_BACKOFF_SECONDS = 0.05
AGENT_MAX_BACKOFF_SECONDS = 0.1

# Where discovery itself is polled, as fractions of the time until a change counts as known.
REMOTE_POLL_WAIT_FRACTION = 0.5  # the rest is for two polls that get no response
REMOTE_RESPONSE_TIMEOUT_FRACTION = 0.15  # beyond the poll's wait; polls queue at a busy discovery
REMOTE_INITIAL_BACKOFF_FRACTION = 1 / 12
REMOTE_MAX_BACKOFF_FRACTION = 1 / 3
MAX_BACKOFF_DOUBLINGS = 30  # past every maximum, and the power stays a small number

DEFAULT_JITTER_FRACTION = 0.5


@dataclass(slots=True, frozen=True)
class BackoffPollPolicy:
    """A poll policy with exponential backoff and jitter; times are in seconds.

    A change counts as known NOTIFICATION_DEADLINE_SECONDS after discovery had it, even if a watch got no
    response or its polls were rejected.  Guards against learning of a drain after that: a poll that waited
    and got no response, a backoff and the next poll must fit into it, with room for a second failure.

    Where the agent on the same machine answers, polls cost nothing and a failed one is soon repeated: a
    change counts from when the agent learns it, also after an outage of discovery.  Where discovery itself
    is polled, the whole fleet polls it: forty watches that polled every 2 s and came again within 1.5 s kept
    it overloaded for a whole day.  So a poll waits as long as the deadline allows, and a rejected one is
    repeated after a random backoff from nothing up to a bound that doubles (full jitter).

    `jitter` is the fraction of a backoff that is random.
    """

    poll_wait: float = AGENT_POLL_WAIT_SECONDS
    response_timeout: float = AGENT_RESPONSE_TIMEOUT_SECONDS
    initial_backoff: float = AGENT_INITIAL_BACKOFF_SECONDS
    max_backoff: float = AGENT_MAX_BACKOFF_SECONDS
    jitter: float = DEFAULT_JITTER_FRACTION

    @classmethod
    def for_remote_discovery(cls, age_limit: float) -> BackoffPollPolicy:
        """Return the policy for polling discovery itself, with lists at most `age_limit` seconds old."""
        deadline = min(age_limit, NOTIFICATION_DEADLINE_SECONDS)
        return cls(
            poll_wait=REMOTE_POLL_WAIT_FRACTION * deadline,
            response_timeout=REMOTE_RESPONSE_TIMEOUT_FRACTION * deadline,
            initial_backoff=REMOTE_INITIAL_BACKOFF_FRACTION * deadline,
            max_backoff=REMOTE_MAX_BACKOFF_FRACTION * deadline,
            jitter=1.0,
        )

    def timeout(self, waits: bool) -> float:
        """Return the timeout of a poll and its response; `waits`: the poll may wait for a change."""
        return self.response_timeout + (self.poll_wait if waits else 0.0)

    def initial_delay(self) -> float:
        """Return 0: without other initiators to consider, the first poll is made at once."""
        return 0.0

    def backoff(self, failures: int, jitter_fraction: float) -> float:
        """Return the backoff after so many failures in a row (1 or more); the fraction lies in [0, 1]."""
        doublings = min(failures - 1, MAX_BACKOFF_DOUBLINGS)
        bound = min(self.max_backoff, self.initial_backoff * 2**doublings)
        return bound * (1 - self.jitter + self.jitter * jitter_fraction)


class PollPolicy(Protocol):
    """When a watch polls; times are in seconds."""

    def timeout(self, waits: bool) -> float:
        """Return the timeout of a poll and its response; `waits`: the poll may wait for a change."""

    def initial_delay(self) -> float:
        """Return when to ask again whether the first poll may be made; 0: it may be made now."""

    def backoff(self, failures: int, jitter_fraction: float) -> float:
        """Return the backoff after so many failures in a row (1 or more); the fraction lies in [0, 1]."""


class Codec(Protocol):
    """Encodes polls and decodes responses; `feed` and `finish` raise ValueError on malformed responses."""

    def call(self, waits: bool) -> bytes:
        """Return the bytes of the next poll; `waits`: it may wait for a change."""

    def feed(self, data: memoryview) -> int:
        """Decode bytes of a response and return how many are consumed."""

    def finish(self) -> bool | None:
        """Apply a response that is complete and prepare for the next one.

        Returns whether the connection stays open, or None if the response is incomplete.
        """


class _PollConnection(Connection):
    """One connection to discovery."""

    def __init__(self, buffers: BufferPool, codec: Codec) -> None:
        super().__init__(buffers)
        self._codec = codec
        self.response: asyncio.Future[bool] | None = None  # of the poll in progress: if the connection stays

    def on_data(self, data: memoryview) -> int:
        """Decode a response; bytes without a poll in progress end the connection."""
        if self.response is None or self.response.done():
            self.abort()  # no poll is in progress: nothing may come
            return len(data)
        try:
            consumed = self._codec.feed(data)
            stays_open = self._codec.finish()
        except ValueError as error:
            self.response.set_exception(error)
            self.abort()
            return len(data)
        if stays_open is not None:
            self.response.set_result(stays_open)
        return consumed

    def on_buffer_full(self) -> None:
        """End the connection: a response head is too long."""
        self.abort()

    def on_disconnected(self, _error: Exception | None) -> None:
        """Fail the poll in progress."""
        if self.response is not None and not self.response.done():
            self.response.set_exception(ConnectionResetError("discovery closed the connection"))


class Watch:
    """Polls discovery until it is cancelled; `on_error` gets each failure, and a poll follows the backoff."""

    def __init__(
        self,
        address: tuple[str, int],
        buffers: BufferPool,
        codec: Codec,
        poll_policy: PollPolicy,
        on_error: Callable[[Exception], None],
    ) -> None:
        self._address = address
        self._buffers = buffers
        self._codec = codec
        self._poll_policy = poll_policy
        self._on_error = on_error
        self._connection: _PollConnection | None = None

    async def run(self) -> None:
        """Poll until the task is cancelled; no response is applied after that."""
        while delay := self._poll_policy.initial_delay():
            await asyncio.sleep(delay)
        rejected_in_a_row = 0
        timed_out = False  # whether the last poll got no response in time
        try:
            while True:
                try:
                    await self._poll(waits=not timed_out)
                    rejected_in_a_row = 0
                    timed_out = False
                except (OSError, ValueError) as error:  # TimeoutError is an OSError
                    self._abort_connection()
                    self._on_error(error)
                    timed_out = isinstance(error, TimeoutError)  # this does not indicate an overload
                    rejected_in_a_row = 0 if timed_out else rejected_in_a_row + 1
                    backoff = self._poll_policy.backoff(1 + rejected_in_a_row, random.random())
                    await asyncio.sleep(backoff)
        finally:
            self._abort_connection()

    async def _poll(self, waits: bool) -> None:
        """Make one poll, on a new connection if there is none; OSError or ValueError tell that it failed."""
        connection = self._connection
        if connection is None or connection.is_closing:
            timeout = min(CONNECT_TIMEOUT_SECONDS, self._poll_policy.timeout(False))
            async with asyncio.timeout(timeout):
                connection = await self._open()
                self._connection = connection
        async with asyncio.timeout(self._poll_policy.timeout(waits)):
            stays_open = await self._request(connection, waits)
        if not stays_open:
            connection.close()
            self._connection = None

    def _abort_connection(self) -> None:
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    async def _open(self) -> _PollConnection:
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: _PollConnection(self._buffers, self._codec), *self._address
        )
        return connection

    async def _request(self, connection: _PollConnection, waits: bool) -> bool:
        connection.response = asyncio.get_running_loop().create_future()
        connection.write(self._codec.call(waits))
        return await connection.response
