"""A TCP connection that reads into a pooled buffer, which it holds only while it contains unread bytes.

A connection is used from the event loop's thread only.  It owns its buffer and its timer and releases them
when the connection is lost.  A `TransferMonitor` tells it when its peer has stopped.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import select
import socket
import struct
import termios
from typing import Any, Protocol, cast

from stalltiller.transport.buffers import BufferPool

# How long a gracefully closing connection waits for the peer to close, once it has acknowledged all bytes.
LINGER_TIMEOUT_SECONDS = 3.0
INT = struct.Struct("i")  # the result of ioctl TIOCOUTQ
PEER_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
# SO_LINGER value: enabled with a timeout of zero, so that close() sends a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CLOSE_IN_ORDER = struct.pack("ii", 0, 0)


def _queued_bytes(connection_socket: socket.socket) -> int:
    """Return the number of bytes in the kernel's send queue, 0 where the kernel does not tell."""
    try:
        answer = fcntl.ioctl(connection_socket.fileno(), termios.TIOCOUTQ, bytes(INT.size))
    except OSError:
        return 0
    return INT.unpack(answer)[0]


class TransferMonitor(Protocol):
    """Calls `on_stopped` of a connection whose `transferred_bytes` stay the same for the idle limit."""

    def watch(self, transfer: Any, idle_limit: float | None = None) -> None:
        """Watch a connection; `idle_limit` is in seconds, None for the usual one."""

    def unwatch(self, transfer: Any) -> None:
        """Stop watching a connection, if it is watched."""

    def is_watched(self, transfer: Any) -> bool:
        """Return whether a connection is watched."""


class NoMonitor:
    """The monitor of connections that owe their peers nothing after they are closed."""

    def watch(self, transfer: Any, idle_limit: float | None = None) -> None:
        """Do nothing."""

    def unwatch(self, transfer: Any) -> None:
        """Do nothing."""

    def is_watched(self, _transfer: Any) -> bool:
        """Return False."""
        return False


NO_MONITOR = NoMonitor()


class Connection(asyncio.BufferedProtocol):
    """Base class of all connections; subclasses process the received bytes.

    Attribute names must not hide methods of subclasses, which `tests/test_connection.py` checks: an attribute
    `_fill` once hid the method `_fill` of a subclass, so that every response raised a TypeError.
    """

    def __init__(self, buffers: BufferPool, monitor: TransferMonitor = NO_MONITOR) -> None:
        self._buffers = buffers
        self.monitor = monitor
        self._buffer: bytearray | None = None
        self._unread_start = 0
        self._unread_end = 0
        self._paused = False  # whether reading from the kernel is paused
        self._bytes_written = 0
        self._bytes_received = 0
        self._linger_timer: asyncio.TimerHandle | None = None  # runs `_on_linger_timeout`
        self.flushed = True  # whether the kernel has accepted every byte written so far
        self.half_closed = False  # whether sending is shut down; received bytes are then dropped
        self.transport: asyncio.Transport | None = None

    # --- Callbacks for subclasses -----------------------------------------------------------------
    def on_data(self, data: memoryview) -> int:
        """Process received bytes and return the number consumed.

        The unconsumed bytes are passed again when more bytes arrive.
        """
        raise NotImplementedError

    def on_connected(self) -> None:
        """Handle the establishment of the connection."""

    def on_buffer_full(self) -> None:
        """Handle a buffer that is full of unconsumed bytes; the default pauses reading."""
        self._pause_reading()

    def on_stopped(self) -> None:
        """Handle a peer that makes no progress; the default closes, visibly if it has not got all bytes."""
        if self.is_delivered:
            self.abort()
        else:
            self.reset()

    def on_disconnected(self, error: Exception | None) -> None:
        """Handle the loss of the connection; `error` is None after an orderly close."""

    # --- Interface for owners ---------------------------------------------------------------------
    @property
    def is_closing(self) -> bool:
        """Whether the connection is not established yet, is closing or is closed."""
        return self.transport is None or self.transport.is_closing()

    @property
    def has_unread_data(self) -> bool:
        """Whether the buffer contains received bytes that are not consumed yet."""
        return self._unread_end > self._unread_start

    def is_clean(self) -> bool:
        """Whether the connection is open with no unread data, including in the kernel's buffer.

        Guards against surplus bytes after a response, or an end of stream, that the event loop has not
        processed yet: they would be taken for the next response.
        """
        transport = self.transport
        if transport is None or transport.is_closing() or self.has_unread_data:
            return False
        poll = select.poll()
        poll.register(transport.get_extra_info("socket"), select.POLLIN)
        return not poll.poll(0)

    def is_peer_closed(self) -> bool:
        """Whether the peer has closed or reset the connection.

        Polls the socket to detect this even behind unread bytes or before the event loop notices it.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            return True
        poll = select.poll()
        poll.register(transport.get_extra_info("socket"), select.POLLRDHUP)
        return any(events & PEER_CLOSED_EVENTS for _, events in poll.poll(0))

    def write(self, data: bytes | memoryview) -> None:
        """Send bytes; if the connection is closing, drop them and set `flushed` to false."""
        transport = self.transport
        if transport is None or transport.is_closing() or self.half_closed:
            self.flushed = False
            return
        self._bytes_written += len(data)
        transport.write(data)
        if transport.is_closing():  # the write failed because the peer had already closed
            self.flushed = False

    def _bytes_accepted(self, transport: asyncio.Transport) -> int:
        """Return the number of bytes that the kernel has accepted since the connection was established."""
        return self._bytes_written - transport.get_write_buffer_size()

    def acknowledged_bytes(self) -> int:
        """Return the number of bytes that the peer's machine has acknowledged since the connection began.

        Where the kernel does not tell, all bytes that it has accepted count.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            return self._bytes_written
        return self._bytes_accepted(transport) - _queued_bytes(transport.get_extra_info("socket"))

    @property
    def is_delivered(self) -> bool:
        """Whether the peer's machine has acknowledged every byte written so far."""
        return self.flushed and self.acknowledged_bytes() >= self._bytes_written

    def received_bytes(self) -> int:
        """Return the number of bytes received since the connection was established."""
        return self._bytes_received

    def transferred_bytes(self) -> int:
        """Return a count that changes with each byte that the peer's machine acknowledges."""
        return self.acknowledged_bytes()

    def close_gracefully(self) -> None:
        """Close so that all written bytes reach the peer.

        Sending is shut down, received bytes are dropped, and the connection closes when the peer closes it or
        LINGER_TIMEOUT_SECONDS after it has acknowledged all bytes.

        Closing while received bytes are unread or still arriving would reset the connection, and the peer
        would lose data that it has not read yet.
        """
        transport = self.transport
        if transport is None or transport.is_closing() or self.half_closed:
            return
        self.half_closed = True
        self._release_buffer()
        try:
            transport.write_eof()  # takes effect once the written bytes are sent
        except OSError:  # the peer had already closed
            self.abort()
            return
        if self._paused:
            self._paused = False
            transport.resume_reading()
        self.monitor.watch(self)
        self._start_linger_timer()

    def _start_linger_timer(self) -> None:
        self._linger_timer = asyncio.get_running_loop().call_later(
            LINGER_TIMEOUT_SECONDS, self._on_linger_timeout
        )

    def _on_linger_timeout(self) -> None:
        if self.is_delivered or not self.monitor.is_watched(self):
            self.abort()
        else:  # the peer reads slowly; the monitor ends the connection if it stops
            self._start_linger_timer()

    def close(self) -> None:
        """Close once all written bytes are sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close immediately; unsent bytes are dropped.

        asyncio closes the socket one event loop iteration later, so the socket is shut down here.  Guards
        against running a request twice: the target must see an abandoned attempt end before the next attempt
        starts on another connection.
        """
        if self.transport is not None:
            with contextlib.suppress(OSError):  # the socket may be shut down already
                self.transport.get_extra_info("socket").shutdown(socket.SHUT_RDWR)
            self.transport.abort()

    def reset(self) -> None:
        """Close immediately with a TCP reset, so that the peer recognises a partial response."""
        if self.transport is not None:
            self.set_reset_on_close(True)
            self.transport.abort()

    def set_reset_on_close(self, is_enabled: bool) -> None:
        """Have any close of the socket, also by the end of the process, reset the connection.

        Guards against a partial response that looks whole because the end of the connection delimits it.
        """
        if self.transport is not None:
            with contextlib.suppress(OSError):
                self.transport.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE if is_enabled else CLOSE_IN_ORDER
                )

    def resume_processing(self) -> None:
        """Pass unread bytes to `on_data` again and resume reading if the buffer has room."""
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
        self.transport = cast(asyncio.Transport, transport)  # a socket transport is bidirectional
        # Call `pause_writing` as soon as any byte stays buffered.
        self.transport.set_write_buffer_limits(high=0)
        self.on_connected()

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Implement `asyncio.BufferedProtocol`: return the unused part of the buffer."""
        if self._buffer is None:
            self._buffer = self._buffers.acquire()
        return memoryview(self._buffer)[self._unread_end :]

    def buffer_updated(self, nbytes: int) -> None:
        """Implement `asyncio.BufferedProtocol`: process received bytes."""
        self._unread_end += nbytes
        self._bytes_received += nbytes
        self._process_buffer()

    def pause_writing(self) -> None:
        """Implement `asyncio.BaseProtocol`: the kernel did not accept all written bytes."""
        self.flushed = False

    def resume_writing(self) -> None:
        """Implement `asyncio.BaseProtocol`: the kernel has accepted all written bytes."""
        self.flushed = True
        self.resume_processing()  # some subclasses consume no input until their output is flushed

    def eof_received(self) -> bool:
        """Implement `asyncio.BufferedProtocol`: close when the peer shuts down its sending side."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Implement `asyncio.BaseProtocol`: cancel timers, release the buffer and notify the subclass."""
        self.monitor.unwatch(self)
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        self._release_buffer()
        self.on_disconnected(error)

    def _process_buffer(self) -> None:
        """Pass unread bytes to `on_data` until it consumes none, then release or compact the buffer."""
        if self.half_closed:
            self._release_buffer()
            return
        while self._buffer is not None and self._unread_end > self._unread_start and not self.is_closing:
            consumed = self.on_data(memoryview(self._buffer)[self._unread_start : self._unread_end])
            self._unread_start += consumed
            if consumed == 0:
                break
        if self._buffer is None:
            return
        if self._unread_start == self._unread_end or self.is_closing:
            self._release_buffer()
        elif self._unread_end == len(self._buffer):
            self._compact_full_buffer(self._buffer)

    def _compact_full_buffer(self, buffer: bytearray) -> None:
        """Move unread bytes to the start of the buffer; if they fill it, call `on_buffer_full`."""
        if self._unread_start == 0:
            self.on_buffer_full()
            return
        unread_bytes = self._unread_end - self._unread_start
        buffer[:unread_bytes] = buffer[self._unread_start : self._unread_end]
        self._unread_start = 0
        self._unread_end = unread_bytes

    def _pause_reading(self) -> None:
        """Pause reading from the kernel until `resume_processing` finds room in the buffer."""
        transport = self.transport
        if not self._paused and transport is not None and not transport.is_closing():
            self._paused = True
            transport.pause_reading()

    def _release_buffer(self) -> None:
        if self._buffer is not None:
            self._buffers.release(self._buffer)
            self._buffer = None
        self._unread_start = 0
        self._unread_end = 0
