"""Buffering, flow control and closing of transport connections."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from types import SimpleNamespace

import pytest

from stalltiller.adapters.http_client_connection import ClientConnection
from stalltiller.adapters.http_target_connection import TargetConnection
from stalltiller.protocol.platform import FieldError
from stalltiller.routing.transfer_monitor import TransferMonitor
from stalltiller.transport.buffers import BufferPool, MemoryBudget
from stalltiller.transport.connection import NO_MONITOR, Connection
from stalltiller.transport.listener import Listener


class FakeTransport:
    closed = paused = False
    written = b""

    def set_write_buffer_limits(self, high): ...

    def is_closing(self):
        return self.closed

    def pause_reading(self):
        self.paused = True

    def resume_reading(self):
        self.paused = False

    def write(self, data):
        self.written += data


class LineConnection(Connection):
    """A connection that consumes complete lines."""

    def __init__(self, buffers, monitor=NO_MONITOR):
        super().__init__(buffers, monitor)
        self.lines = []
        self.connection_made(FakeTransport())

    def on_data(self, data):
        end = bytes(data).find(b"\n") + 1
        if end:
            self.lines.append(bytes(data[:end]))
        return end

    def receive(self, data):
        self.get_buffer(-1)[: len(data)] = data
        self.buffer_updated(len(data))


def test_a_buffer_is_held_only_while_bytes_are_unread_and_is_reused():
    buffers = BufferPool(size=8)
    first, second = LineConnection(buffers), LineConnection(buffers)
    first.receive(b"ab\nc")
    assert first.lines == [b"ab\n"]
    first.receive(b"d\n")
    assert first.lines == [b"ab\n", b"cd\n"]
    (free_buffer,) = buffers._free
    second.receive(b"x")
    assert second._buffer is free_buffer and buffers._free == []
    second.connection_lost(None)
    assert buffers._free == [free_buffer]


def test_a_full_buffer_is_compacted_or_pauses_reading_until_it_has_room():
    connection = LineConnection(BufferPool(size=8))
    connection.receive(b"ab\ncdefg")
    assert not connection.transport.paused
    connection.receive(b"hij")
    assert connection.transport.paused
    connection._unread_start = connection._unread_end  # as if consumed
    connection.resume_processing()
    assert not connection.transport.paused


@pytest.mark.parametrize("cls", [ClientConnection, TargetConnection])
def test_no_attribute_of_a_connection_hides_a_method_of_a_subclass(cls):
    """An attribute with the name of a subclass method made every response raise a TypeError."""
    fields = vars(Connection(BufferPool()))
    assert [name for name in fields if callable(getattr(cls, name, None))] == []


def test_abandoning_an_attempt_shuts_its_connection_down_immediately():
    """Guards against running a request twice: asyncio's abort alone leaves the socket open for the target."""

    async def scenario():
        local, remote = socket.socketpair()
        local.setblocking(False)
        remote.settimeout(1.0)
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: TargetConnection(SimpleNamespace(buffers=BufferPool())), sock=local
        )
        connection.abandon()
        assert remote.recv(1) == b""  # the event loop has not run since `abandon`
        remote.close()

    asyncio.run(scenario())


def reject_fields(head, body):
    raise FieldError("invalid field")


def test_no_further_requests_are_accepted_from_a_client_that_does_not_read_its_responses():
    """Guards against pipelined requests whose unread responses accumulate in memory."""
    server = SimpleNamespace(  # rejects every request as malformed, which needs no engine
        buffers=BufferPool(),
        loop=None,
        stopping=False,
        engine=SimpleNamespace(counts=Counter(), monitor=NO_MONITOR),
        request_fields=SimpleNamespace(parse=reject_fields),
        unread_response_budget=MemoryBudget(99),
        request_body_budget=MemoryBudget(99),
    )
    connection = ClientConnection(server, Listener(None, 9, 9))
    connection.connection_made(FakeTransport())
    request = b"GET /a/1 HTTP/1.1\r\nHost: h\r\n\r\n"
    connection.pause_writing()  # the kernel's send buffer is full
    for _ in range(2):
        connection.get_buffer(-1)[: len(request)] = request
        connection.buffer_updated(len(request))
    assert connection.transport.written == b""
    connection.resume_writing()
    assert connection.transport.written.count(b"400 Bad Request") == 2


@pytest.mark.parametrize(("reads", "stays_open"), [(False, False), (True, True)])
def test_a_peer_that_reads_slowly_stays_connected_and_one_that_does_not_read_is_aborted(reads, stays_open):
    async def scenario():
        loop = asyncio.get_running_loop()
        monitor = TransferMonitor(loop, 0.2)
        with socket.create_server(("127.0.0.1", 0)) as listening_socket:
            _, local = await loop.create_connection(
                lambda: LineConnection(BufferPool(), monitor), *listening_socket.getsockname()
            )
            remote, _ = listening_socket.accept()
        with remote:
            remote.setblocking(False)
            local.write(bytes(40 << 20))
            monitor.watch(local)
            for _ in range(25):
                await asyncio.sleep(0.02)
                if reads:
                    await loop.sock_recv(remote, 300_000)
            assert local.is_closing is not stays_open
        local.abort()
        await asyncio.sleep(0)

    asyncio.run(scenario())
