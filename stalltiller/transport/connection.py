"""A TCP connection that reads into a pooled buffer, which it holds only while bytes wait in it."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import struct

from stalltiller.transport.buffers import BufferPool

LINGER_TIMEOUT = (
    3.0  # s for which a connection that was shut down still reads, if the other side does not close it
)
PEER_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


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
        self._lingering: asyncio.TimerHandle | None = None  # when it closes though the other side has not
        self.flushed = True  # the kernel has taken every byte written so far
        self.half_closed = False  # sending was shut down; what still comes is dropped
        self.transport: asyncio.Transport | None = None

    # --- For subclasses ---------------------------------------------------------------------------
    def on_data(self, data: memoryview) -> int:
        """Take bytes and return how many are done with; the rest is kept and shown again with more."""
        raise NotImplementedError

    def on_connected(self) -> None:
        """The connection is up."""

    def on_buffer_full(self) -> None:
        """The buffer is full of bytes that `received` does not take; by default wait until it does."""
        self._pause()

    def on_disconnected(self, error: Exception | None) -> None:
        """The connection is gone."""

    # --- For owners -------------------------------------------------------------------------------
    @property
    def is_closing(self) -> bool:
        return self.transport is None or self.transport.is_closing()

    @property
    def has_unread_data(self) -> bool:
        """Whether bytes were received that are not done with."""
        return self._fill > self._read_at

    def is_clean(self) -> bool:
        """Whether nothing has come that nobody read, bytes or an end, in the kernel's buffer neither.

        Guards against an answer's surplus that the loop has not seen yet: it would pass for the next answer.
        """
        if self.is_closing or self.has_unread_data:
            return False
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket"), select.POLLIN)
        return not poll.poll(0)

    def is_peer_closed(self) -> bool:
        """Whether the other side has ended or reset the connection, also where bytes wait before its end or
        the loop has not come to see it."""
        if self.is_closing:
            return True
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket"), select.POLLRDHUP)
        return any(found & PEER_CLOSED_EVENTS for _, found in poll.poll(0))

    def write(self, data: bytes | memoryview) -> None:
        if self.is_closing or self.half_closed:
            self.flushed = False
            return
        self._written += len(data)
        self.transport.write(data)
        if self.transport.is_closing():  # the kernel took nothing: the other side was gone already
            self.flushed = False

    def abort_if_unread(self, limit: float) -> None:
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
            self.abort_if_unread(limit)

    def close_gracefully(self) -> None:
        """Close so that all that was written arrives: shut down sending, drop what still comes, and close
        when the other side has or LINGER is over.

        Guards against a close over bytes that nobody read, or that come right after it: it resets the
        connection, and what the other side has not read yet is lost to it.
        """
        if self.is_closing or self.half_closed:
            return
        self.half_closed = True
        self._release()
        try:
            self.transport.write_eof()  # once what was written has gone out
        except OSError:  # the other side was gone already
            self.abort()
            return
        if self._paused:
            self._paused = False
            self.transport.resume_reading()
        self.abort_if_unread(LINGER_TIMEOUT)
        self._linger()

    def _linger(self) -> None:
        self._lingering = asyncio.get_running_loop().call_later(LINGER_TIMEOUT, self._linger_over)

    def _linger_over(self) -> None:
        if self.flushed:
            self.abort()
        else:  # it reads slowly: `expect_reading` ends it if it reads nothing
            self.abort_if_unread(LINGER_TIMEOUT)
            self._linger()

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
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
            self.transport.abort()

    def resume_processing(self) -> None:
        """Look again at kept bytes, and go on reading."""
        self._digest()
        if self._paused and not self.is_closing and self._fill - self._read_at < self._buffers.size:
            self._paused = False
            self.transport.resume_reading()

    def discard_unread(self) -> None:
        """Drop the kept bytes."""
        self._read_at = self._fill = 0

    # --- asyncio ----------------------------------------------------------------------------------
    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # so that `pause_writing` tells of any byte left over
        self.on_connected()

    def get_buffer(self, sizehint: int) -> memoryview:
        if self._buffer is None:
            self._buffer = self._buffers.acquire()
        return memoryview(self._buffer)[self._fill :]

    def buffer_updated(self, nbytes: int) -> None:
        self._fill += nbytes
        self._digest()

    def pause_writing(self) -> None:
        self.flushed = False

    def resume_writing(self) -> None:
        self.flushed = True
        self.resume_processing()  # for those that take nothing more until what they wrote has gone out

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, error: Exception | None) -> None:
        for timer in (self._reading, self._lingering):
            if timer is not None:
                timer.cancel()
        self._release()
        self.on_disconnected(error)

    def _digest(self) -> None:
        if self.half_closed:
            self._release()
            return
        while self._buffer is not None and self._fill > self._read_at and not self.is_closing:
            used = self.on_data(memoryview(self._buffer)[self._read_at : self._fill])
            self._read_at += used
            if used == 0:
                break
        if self._buffer is None:
            return
        if self._read_at == self._fill or self.is_closing:
            self._release()
        elif self._fill == len(self._buffer):
            if self._read_at:
                left = self._fill - self._read_at
                self._buffer[:left] = self._buffer[self._read_at : self._fill]
                self._read_at, self._fill = 0, left
            else:
                self.on_buffer_full()

    def _pause(self) -> None:
        if not self._paused and not self.is_closing:
            self._paused = True
            self.transport.pause_reading()

    def _release(self) -> None:
        if self._buffer is not None:
            self._buffers.release(self._buffer)
            self._buffer = None
        self._read_at = self._fill = 0
