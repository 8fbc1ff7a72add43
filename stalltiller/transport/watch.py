"""The standing call to discovery: one connection, the next call at once after each answer."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from stalltiller.transport.buffers import BufferPool
from stalltiller.transport.connection import Connection

CONNECT_TIMEOUT = 1.0  # s: an address that says nothing must not take the time of a whole call
NOTIFICATION_DEADLINE = (
    6.0  # s after which a change that discovery has counts as told, whatever became of our calls
)
AGENT_WAIT = 2.0  # s that a call to an agent may wait: a watch that has fallen silent shows soon after
AGENT_ANSWER = 0.35  # s past a call's wait that the agent on the own machine may take
AGENT_PAUSES = 0.05, 0.1  # s: first and longest bound of the pause after a failed call to it
ASKED_WAIT = 0.5  # of the time until told: what a call may wait; the rest is for two that fall silent
ASKED_ANSWER = 0.15  # of it: what an answer may take past the call's wait, where calls stand in line
ASKED_PAUSES = 1 / 12, 1 / 3  # of it: first and longest bound of the pause after a failed call


@dataclass(slots=True, frozen=True)
class BackoffPollPolicy:
    """How a watch calls, in seconds: a call's wait, its answer's time, the first and longest pause's bound.

    A change counts as told TOLD_AFTER seconds after discovery had it, also where a watch fell silent or calls
    were refused.  Guards against learning of a drain after that: a call that waited and got nothing, a pause
    and the call that follows have to fit into it, with room for a second one that fails.

    Where the agent on its own machine answers, calls cost nothing and a failed one is soon made again: what
    an agent gets at discovery's return counts at once.  Where discovery itself has to be asked, the whole
    fleet asks it: forty that called every 2 s and came again within 1.5 s kept it overbooked for a whole day.
    So a call waits as long as the time until told allows, and one that was refused is made again after a
    pause drawn from nothing up to a bound that doubles (full jitter).
    """

    poll_wait: float = AGENT_WAIT
    response_timeout: float = AGENT_ANSWER
    initial_backoff: float = AGENT_PAUSES[0]
    max_backoff: float = AGENT_PAUSES[1]
    jitter: float = 0.5  # the part of a pause that is drawn

    @classmethod
    def for_remote_discovery(cls, age_limit: float) -> BackoffPollPolicy:
        """The pace where discovery has to be asked and a list may be `age_limit` seconds old."""
        told = min(age_limit, NOTIFICATION_DEADLINE)
        return cls(
            ASKED_WAIT * told, ASKED_ANSWER * told, *(share * told for share in ASKED_PAUSES), jitter=1.0
        )

    def timeout(self, waits: bool) -> float:
        """For a call that may wait for news, or may not, and its answer."""
        return self.response_timeout + (self.poll_wait if waits else 0.0)

    def initial_delay(self) -> float:
        return 0.0  # alone: the first call is made at once

    def backoff(self, failures: int, jitter_fraction: float) -> float:
        """The pause after so many failed calls in a row (1 or more); `draw` lies between 0 and 1."""
        bound = min(self.max_backoff, self.initial_backoff * 2 ** min(failures - 1, 30))
        return bound * (1 - self.jitter + self.jitter * jitter_fraction)


class PollPolicy(Protocol):
    """When a watch calls; times in seconds."""

    def timeout(self, waits: bool) -> float:
        """For a call that may wait for news, or may not, and its answer."""

    def initial_delay(self) -> float:
        """After which to ask again whether the first call may be made; 0: it may be made now."""

    def backoff(self, failures: int, jitter_fraction: float) -> float:
        """After so many failed calls in a row (1 or more); `draw` lies between 0 and 1."""


class Codec(Protocol):
    """Words a call and reads its answer; both raise ValueError on what they don't understand."""

    def call(self, waits: bool) -> bytes:
        """The next call's bytes; whether it may wait for news."""

    def feed(self, data: memoryview) -> int:
        """Take bytes of an answer and return how many."""

    def finish(self) -> bool | None:
        """If an answer is whole, act on it and start anew: whether the connection stays open, else None."""


class _Call(Connection):
    """One connection to discovery."""

    def __init__(self, buffers: BufferPool, codec: Codec) -> None:
        super().__init__(buffers)
        self._codec = codec
        self.answer: asyncio.Future[bool] | None = None

    def on_data(self, data: memoryview) -> int:
        if self.answer is None or self.answer.done():
            self.abort()  # discovery speaks only when asked
            return len(data)
        try:
            used = self._codec.feed(data)
            stays = self._codec.finish()
        except ValueError as error:
            self.answer.set_exception(error)
            self.abort()
            return len(data)
        if stays is not None:
            self.answer.set_result(stays)
        return used

    def on_buffer_full(self) -> None:
        self.abort()

    def on_disconnected(self, error: Exception | None) -> None:
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(ConnectionResetError("discovery closed the connection"))


class Watch:
    """Calls discovery for ever; a failed call is told to `failed` and made again after a bounded pause."""

    def __init__(
        self,
        address: tuple[str, int],
        buffers: BufferPool,
        codec: Codec,
        pace: PollPolicy,
        failed: Callable[[Exception], None],
    ) -> None:
        self._address, self._buffers, self._codec = address, buffers, codec
        self._pace, self._failed = pace, failed

    async def run(self) -> None:
        refused, silent = 0, False  # calls refused or broken in a row; whether the last one fell silent
        call: _Call | None = None
        while rest := self._pace.initial_delay():
            await asyncio.sleep(rest)
        try:
            while True:
                try:
                    if call is None or call.is_closing:
                        async with asyncio.timeout(min(CONNECT_TIMEOUT, self._pace.timeout(False))):
                            call = await self._open()
                    async with asyncio.timeout(self._pace.timeout(not silent)):
                        stays = await self._ask(call, not silent)
                    if not stays:
                        call.close()
                        call = None
                    refused, silent = 0, False
                except (OSError, ValueError) as error:  # TimeoutError is an OSError
                    if call is not None:
                        call.abort()
                        call = None
                    self._failed(error)
                    silent = isinstance(error, TimeoutError)  # nothing says that discovery is overbooked
                    refused = 0 if silent else refused + 1
                    await asyncio.sleep(self._pace.backoff(1 + refused, random.random()))
        finally:  # a watch that is ended must not be answered any more
            if call is not None:
                call.abort()

    async def _open(self) -> _Call:
        loop = asyncio.get_running_loop()
        _, call = await loop.create_connection(lambda: _Call(self._buffers, self._codec), *self._address)
        return call

    async def _ask(self, call: _Call, waits: bool) -> bool:
        call.answer = asyncio.get_running_loop().create_future()
        call.write(self._codec.call(waits))
        return await call.answer
