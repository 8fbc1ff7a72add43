"""The standing call to discovery: one connection, the next call at once after each answer."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

from stalltiller.transport.buffers import BufferPool
from stalltiller.transport.connection import Connection

FIRST_PAUSE, LONGEST_PAUSE = 0.05, 1.0  # s after a failed call; doubles
CONNECT_TIMEOUT = 1.0  # s: an address that says nothing must not take the time of a whole call


class Codec(Protocol):
    """Words a call and reads its answer; both raise ValueError on what they don't understand."""

    def call(self) -> bytes:
        """The next call's bytes."""

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

    def received(self, data: memoryview) -> int:
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

    def overflow(self) -> None:
        self.abort()

    def ended(self, error: Exception | None) -> None:
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(ConnectionResetError("discovery closed the connection"))


class Watch:
    """Calls discovery for ever; a failed call is told to `failed` and made again after a bounded pause."""

    def __init__(self, address: tuple[str, int], buffers: BufferPool, codec: Codec, timeout: float,
                 failed: Callable[[Exception], None]) -> None:
        self._address, self._buffers, self._codec = address, buffers, codec
        self._timeout, self._failed = timeout, failed

    async def run(self) -> None:
        pause = FIRST_PAUSE
        call: _Call | None = None
        try:
            while True:
                try:
                    if call is None or call.closing:
                        async with asyncio.timeout(CONNECT_TIMEOUT):
                            call = await self._open()
                    async with asyncio.timeout(self._timeout):
                        stays = await self._ask(call)
                    if not stays:
                        call.close()
                        call = None
                    pause = FIRST_PAUSE
                except (OSError, ValueError) as error:  # TimeoutError is an OSError
                    if call is not None:
                        call.abort()
                        call = None
                    self._failed(error)
                    await asyncio.sleep(pause * (0.5 + random.random() / 2))
                    pause = min(LONGEST_PAUSE, 2 * pause)
        finally:  # a watch that is ended must not be answered any more
            if call is not None:
                call.abort()

    async def _open(self) -> _Call:
        loop = asyncio.get_running_loop()
        _, call = await loop.create_connection(lambda: _Call(self._buffers, self._codec), *self._address)
        return call

    async def _ask(self, call: _Call) -> bool:
        call.answer = asyncio.get_running_loop().create_future()
        call.write(self._codec.call())
        return await call.answer
