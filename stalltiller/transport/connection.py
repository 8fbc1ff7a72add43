"""A TCP connection that reads into a pooled buffer and holds it only while unread bytes wait in it.

A connection belongs to the event loop's thread.  It owns its buffer and its timers and gives them back when
the connection is lost.
"""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import struct
from typing import cast

from stalltiller.transport.buffers import BufferPool

# How long a connection whose sending side is shut down still reads if the peer does not close it: the peer's
# time to read what was written last.
LINGER_TIMEOUT_SECONDS = 3.0
PEER_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER, on with a timeout of zero: close() sends a reset


class Connection(asyncio.BufferedProtocol):
    """Base of all connections; subclasses process the received bytes.

    The names of its attributes must not hide methods of subclasses.  `tests/test_connection.py` checks that:
    an attribute `_fill` once hid a method `_fill` of a subclass, and every response ended in a TypeError.
    """

    def __init__(self, buffers: BufferPool) -> None:
        self._buffers = buffers
        self._buffer: bytearray | None = None
        self._unread_start = 0
        self._unread_end = 0
        self._paused = False  # reading from the kernel is paused
        self._bytes_written = 0
        self._read_check_timer: asyncio.TimerHandle | None = None  # checks that the peer still reads
        self._linger_timer: asyncio.TimerHandle | None = None  # ends a graceful close that the peer ignores
        self.flushed = True  # the kernel has accepted every byte written so far
        self.half_closed = False  # sending is shut down; received bytes are dropped
        self.transport: asyncio.Transport | None = None

    # --- For subclasses ---------------------------------------------------------------------------
    def on_data(self, data: memoryview) -> int:
        """Process received bytes and return how many are consumed.

        The others are presented again together with the next bytes that arrive.
        """
        raise NotImplementedError

    def on_connected(self) -> None:
        """Handle the connection's establishment."""

    def on_buffer_full(self) -> None:
        """Handle a buffer full of bytes that `on_data` does not consume; by default reading pauses."""
        self._pause()

    def on_disconnected(self, error: Exception | None) -> None:
        """Handle the connection's end; `error` is None after an orderly close."""

    # --- For owners -------------------------------------------------------------------------------
    @property
    def is_closing(self) -> bool:
        """Whether the connection is not established yet, closing or closed."""
        return self.transport is None or self.transport.is_closing()

    @property
    def has_unread_data(self) -> bool:
        """Whether bytes were received that are not consumed."""
        return self._unread_end > self._unread_start

    def is_clean(self) -> bool:
        """Whether the connection is open and nothing unread waits, not in the kernel's buffer either.

        Guards against surplus bytes after a response, or an end of the stream, that the event loop has not
        seen yet: they would pass for the next response.
        """
        transport = self.transport
        if transport is None or transport.is_closing() or self.has_unread_data:
            return False
        poll = select.poll()
        poll.register(transport.get_extra_info("socket"), select.POLLIN)
        return not poll.poll(0)

    def is_peer_closed(self) -> bool:
        """Whether the peer has ended or reset the connection.

        It is detected also while unread bytes precede the end, or before the event loop has seen it.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            return True
        poll = select.poll()
        poll.register(transport.get_extra_info("socket"), select.POLLRDHUP)
        return any(events & PEER_CLOSED_EVENTS for _, events in poll.poll(0))

    def write(self, data: bytes | memoryview) -> None:
        """Send bytes; on a connection that is closing they are dropped and `flushed` becomes false."""
        transport = self.transport
        if transport is None or transport.is_closing() or self.half_closed:
            self.flushed = False
            return
        self._bytes_written += len(data)
        transport.write(data)
        if transport.is_closing():  # the kernel accepted nothing: the peer had closed already
            self.flushed = False

    def abort_if_unread(self, timeout: float) -> None:
        """Abort if the kernel accepts none of the pending bytes within `timeout` seconds.

        Guards against a peer that sends requests and does not read the responses.  One that reads slowly is
        left alone: each accepted byte starts the time anew.
        """
        if self._read_check_timer is not None or self.flushed or self.transport is None:
            return
        self._read_check_timer = asyncio.get_running_loop().call_later(
            timeout, self._check_peer_reads, timeout, self._bytes_accepted(self.transport)
        )

    def _bytes_accepted(self, transport: asyncio.Transport) -> int:
        """Return how many bytes the kernel has accepted since the connection's establishment."""
        return self._bytes_written - transport.get_write_buffer_size()

    def _check_peer_reads(self, timeout: float, accepted_before: int) -> None:
        self._read_check_timer = None
        if self.flushed or self.transport is None:
            return
        if self._bytes_accepted(self.transport) == accepted_before:
            self.abort()
        else:
            self.abort_if_unread(timeout)

    def close_gracefully(self) -> None:
        """Close so that all written bytes arrive.

        Sending is shut down, received bytes are dropped, and the connection closes when the peer closes it or
        LINGER_TIMEOUT_SECONDS are over.

        Guards against closing while received bytes are unread or still arrive: this resets the connection,
        and the peer loses what it has not read yet.
        """
        transport = self.transport
        if transport is None or transport.is_closing() or self.half_closed:
            return
        self.half_closed = True
        self._release()
        try:
            transport.write_eof()  # takes effect once the written bytes are sent
        except OSError:  # the peer had closed already
            self.abort()
            return
        if self._paused:
            self._paused = False
            transport.resume_reading()
        self.abort_if_unread(LINGER_TIMEOUT_SECONDS)
        self._start_linger_timer()

    def _start_linger_timer(self) -> None:
        self._linger_timer = asyncio.get_running_loop().call_later(
            LINGER_TIMEOUT_SECONDS, self._on_linger_timeout
        )

    def _on_linger_timeout(self) -> None:
        if self.flushed:
            self.abort()
        else:  # the peer reads slowly: `abort_if_unread` ends the connection if it reads nothing
            self.abort_if_unread(LINGER_TIMEOUT_SECONDS)
            self._start_linger_timer()

    def close(self) -> None:
        """Close once all written bytes are sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close now; bytes that are not sent are dropped.

        asyncio closes the socket one iteration of the event loop later, so it is shut down here.  Guards
        against running a request twice: an abandoned attempt must have ended for its target before the next
        one starts on another connection.
        """
        if self.transport is not None:
            with contextlib.suppress(OSError):  # the socket may be shut down already
                self.transport.get_extra_info("socket").shutdown(socket.SHUT_RDWR)
            self.transport.abort()

    def reset(self) -> None:
        """Close now with a TCP reset, so that the peer does not take what it received for the whole."""
        if self.transport is not None:
            with contextlib.suppress(OSError):
                self.transport.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
            self.transport.abort()

    def resume_processing(self) -> None:
        """Present unread bytes to `on_data` again and resume reading if the buffer has room."""
        self._process_buffer()
        transport = self.transport
        if not self._paused or transport is None or transport.is_closing():
            return
        if self._unread_end - self._unread_start < self._buffers.size:
            self._paused = False
            transport.resume_reading()

    def discard_unread(self) -> None:
        """Drop the unread bytes."""
        self._unread_start = 0
        self._unread_end = 0

    # --- asyncio ----------------------------------------------------------------------------------
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Implement `asyncio.BaseProtocol`."""
        self.transport = cast(asyncio.Transport, transport)  # that of a socket reads and writes
        self.transport.set_write_buffer_limits(high=0)  # so that `pause_writing` reports any byte left over
        self.on_connected()

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Implement `asyncio.BufferedProtocol`: return the free part of the buffer."""
        if self._buffer is None:
            self._buffer = self._buffers.acquire()
        return memoryview(self._buffer)[self._unread_end :]

    def buffer_updated(self, nbytes: int) -> None:
        """Implement `asyncio.BufferedProtocol`: process the bytes that were received."""
        self._unread_end += nbytes
        self._process_buffer()

    def pause_writing(self) -> None:
        """Implement `asyncio.BaseProtocol`: the kernel did not accept all written bytes."""
        self.flushed = False

    def resume_writing(self) -> None:
        """Implement `asyncio.BaseProtocol`: the kernel has accepted all written bytes."""
        self.flushed = True
        self.resume_processing()  # for subclasses that consume nothing until their output is flushed

    def eof_received(self) -> bool:
        """Implement `asyncio.BufferedProtocol`: close when the peer shuts down its sending side."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Implement `asyncio.BaseProtocol`: release timers and buffer, then notify the subclass."""
        for timer in (self._read_check_timer, self._linger_timer):
            if timer is not None:
                timer.cancel()
        self._release()
        self.on_disconnected(error)

    def _process_buffer(self) -> None:
        """Present unread bytes to `on_data` until it consumes none, then free or compact the buffer."""
        if self.half_closed:
            self._release()
            return
        while self._buffer is not None and self._unread_end > self._unread_start and not self.is_closing:
            consumed = self.on_data(memoryview(self._buffer)[self._unread_start : self._unread_end])
            self._unread_start += consumed
            if consumed == 0:
                break
        if self._buffer is None:
            return
        if self._unread_start == self._unread_end or self.is_closing:
            self._release()
        elif self._unread_end == len(self._buffer):
            self._compact_full_buffer(self._buffer)

    def _compact_full_buffer(self, buffer: bytearray) -> None:
        """Move unread bytes to the buffer's start; if they fill it, leave the decision to the subclass."""
        if self._unread_start == 0:
            self.on_buffer_full()
            return
        unread_bytes = self._unread_end - self._unread_start
        buffer[:unread_bytes] = buffer[self._unread_start : self._unread_end]
        self._unread_start = 0
        self._unread_end = unread_bytes

    def _pause(self) -> None:
        """Pause reading from the kernel until `resume_processing` finds room in the buffer."""
        transport = self.transport
        if not self._paused and transport is not None and not transport.is_closing():
            self._paused = True
            transport.pause_reading()

    def _release(self) -> None:
        if self._buffer is not None:
            self._buffers.release(self._buffer)
            self._buffer = None
        self._unread_start = 0
        self._unread_end = 0
