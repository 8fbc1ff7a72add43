"""A TCP connection that reads into a pooled buffer, which it holds only while bytes wait in it."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import struct

from stalltiller.transport.buffers import BufferPool


class Connection(asyncio.BufferedProtocol):
    """Subclasses say what to do with received bytes and with the end.

    Names here stay clear of theirs: `_fill`, the buffer's fill, once hid a method `_fill` of a subclass, and
    every answer of a target ended in a TypeError.
    """

    def __init__(self, buffers: BufferPool) -> None:
        self._buffers = buffers
        self._buffer: bytearray | None = None
        self._read_at = self._fill = 0
        self._paused = False
        self._written = 0  # bytes in all
        self._reading: asyncio.TimerHandle | None = None  # the next look whether the other side reads
        self.flushed = True  # the kernel has taken every byte written so far
        self.transport: asyncio.Transport | None = None

    # --- For subclasses ---------------------------------------------------------------------------
    def received(self, data: memoryview) -> int:
        """Take bytes and return how many are done with; the rest is kept and shown again with more."""
        raise NotImplementedError

    def opened(self) -> None:
        """The connection is up."""

    def overflow(self) -> None:
        """The buffer is full of bytes that `received` does not take; by default wait until it does."""
        self._pause()

    def ended(self, error: Exception | None) -> None:
        """The connection is gone."""

    # --- For owners -------------------------------------------------------------------------------
    @property
    def closing(self) -> bool:
        return self.transport is None or self.transport.is_closing()

    @property
    def waiting(self) -> bool:
        """Whether bytes were received that are not done with."""
        return self._fill > self._read_at

    def quiet(self) -> bool:
        """Whether nothing has come that nobody read, bytes or an end, in the kernel's buffer neither.

        Guards against an answer's surplus that the loop has not seen yet: it would pass for the next answer.
        """
        if self.closing or self.waiting:
            return False
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket"), select.POLLIN)
        return not poll.poll(0)

    def write(self, data: bytes | memoryview) -> None:
        if self.closing:
            self.flushed = False
            return
        self._written += len(data)
        self.transport.write(data)
        if self.transport.is_closing():  # the kernel took nothing: the other side was gone already
            self.flushed = False

    def expect_reading(self, limit: float) -> None:
        """Abort if for so long the kernel takes nothing of what it has not taken by now.

        Guards against a side that asks and does not read; one that reads slowly has its time.
        """
        if self._reading is None and not self.flushed and self.transport is not None:
            taken = self._written - self.transport.get_write_buffer_size()
            self._reading = asyncio.get_running_loop().call_later(limit, self._look, limit, taken)

    def _look(self, limit: float, before: int) -> None:
        self._reading = None
        if self.flushed:
            return
        if self._written - self.transport.get_write_buffer_size() == before:
            self.abort()
        else:
            self.expect_reading(limit)

    def close(self) -> None:
        """Close once what was written has gone out."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close now; what was not sent is dropped.

        asyncio closes the socket one turn of the loop later.  Guards against a second copy: an attempt that
        was given up must have ended for its target before the next one goes out on another connection.
        """
        if self.transport is not None:
            with contextlib.suppress(OSError):  # it may be down already
                self.transport.get_extra_info("socket").shutdown(socket.SHUT_RDWR)
            self.transport.abort()

    def reset(self) -> None:
        """Close now with a reset, so that no one takes what was sent for all there is."""
        if self.transport is not None:
            with contextlib.suppress(OSError):
                self.transport.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.transport.abort()

    def resume(self) -> None:
        """Look again at kept bytes, and go on reading."""
        self._digest()
        if self._paused and not self.closing and self._fill - self._read_at < self._buffers.size:
            self._paused = False
            self.transport.resume_reading()

    def discard(self) -> None:
        """Drop the kept bytes."""
        self._read_at = self._fill = 0

    # --- asyncio ----------------------------------------------------------------------------------
    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # so that `pause_writing` tells of any byte left over
        self.opened()

    def get_buffer(self, sizehint: int) -> memoryview:
        if self._buffer is None:
            self._buffer = self._buffers.take()
        return memoryview(self._buffer)[self._fill:]

    def buffer_updated(self, nbytes: int) -> None:
        self._fill += nbytes
        self._digest()

    def pause_writing(self) -> None:
        self.flushed = False

    def resume_writing(self) -> None:
        self.flushed = True
        self.resume()  # for those that take nothing more until what they wrote has gone out

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, error: Exception | None) -> None:
        if self._reading is not None:
            self._reading.cancel()
        self._release()
        self.ended(error)

    def _digest(self) -> None:
        while self._buffer is not None and self._fill > self._read_at and not self.closing:
            used = self.received(memoryview(self._buffer)[self._read_at:self._fill])
            self._read_at += used
            if used == 0:
                break
        if self._buffer is None:
            return
        if self._read_at == self._fill or self.closing:
            self._release()
        elif self._fill == len(self._buffer):
            if self._read_at:
                left = self._fill - self._read_at
                self._buffer[:left] = self._buffer[self._read_at:self._fill]
                self._read_at, self._fill = 0, left
            else:
                self.overflow()

    def _pause(self) -> None:
        if not self._paused and not self.closing:
            self._paused = True
            self.transport.pause_reading()

    def _release(self) -> None:
        if self._buffer is not None:
            self._buffers.give(self._buffer)
            self._buffer = None
        self._read_at = self._fill = 0
