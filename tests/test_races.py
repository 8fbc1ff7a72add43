"""Races around disconnects, closes and the shutdown, forced on real connections (docs/races.md).

Each test failed before the race was fixed.

Blocking sockets make the order certain: what they do between two turns of the
event loop is complete in the kernel before the initiator sees any of it.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

import pytest

from stalltiller.adapters import http_server as http_server
from stalltiller.protocol import http, nvme
from stalltiller.scheduling import Idempotency
from tests.helpers import request_class
from tests.simulated_clock import run_on_simulated_clock
from tests.stand_ins import BLOCK, DEADLINE, PER_UNIT, VOLUME, Standin, World, read_message


def encode_get(tag: int, **fields: str) -> bytes:
    return http.encode_request(
        "GET",
        f"/read/{tag:x}",
        {
            "Host": "h",
            "X-Request-ID": f"race{tag}",
            "Tier": "plan",
            "X-Timeout": str(DEADLINE),
            "IO-Info": f"volume={VOLUME:x},units=1,shard=0,hosts=1",
            **fields,
        },
        b"",
    )


def play(scene, kind="http", run=asyncio.run, **changes):
    async def whole():
        async with World(kind, **changes) as world:
            await asyncio.wait_for(scene(world), 20)
            assert world.faults() == []

    run(whole())


def connect_client(world) -> socket.socket:
    return socket.create_connection(world.app.listener.address, timeout=5)


async def read_to_end(sock: socket.socket) -> bytes:
    """All bytes up to the end of the connection; a reset raises."""
    sock.setblocking(False)
    data = b""
    while part := await asyncio.get_running_loop().sock_recv(sock, 65536):
        data += part
    return data


class ConnectionGate:
    """Holds back connections to targets until it is opened."""

    def __init__(self, world) -> None:
        pool = world.app.target_client.pool
        self._connect = pool._connect
        pool._connect = self.connect
        self.world = world
        self.held_count = 0
        self.is_open = asyncio.Event()

    async def assert_nothing_starts(self) -> None:
        """Open it; nothing that it held back starts: another request is the first that a target sees."""
        self.is_open.set()
        assert (await self.world.read(tag=2)).end == "served"
        assert [tag for _, tag in self.world.targets[0].begun] == [2]

    async def connect(self, host, port):
        self.held_count += 1
        await self.is_open.wait()
        return await self._connect(host, port)


# --- Clients that disconnect ----------------------------------------------------------------------------
@pytest.mark.parametrize("kind", ["http", "nvme"])
@pytest.mark.parametrize("draining", [False, True])
def test_no_attempt_starts_for_a_client_that_disconnects_while_a_connection_is_established(kind, draining):
    """The attempt stayed, and started once its connection was established."""

    async def scene(world):
        gate = ConnectionGate(world)
        client_task = asyncio.create_task(world.read(tag=1))
        await world.until(lambda: gate.held_count == 1)
        if draining:
            world.app.stop.set()
        client_task.cancel()
        await world.until(lambda: world.app.engine.open_request_count == 0)
        await gate.assert_nothing_starts()

    play(scene, kind)


def test_a_request_is_not_sent_if_its_client_disconnected_before_it_was_read():
    """The turn that sends the request comes before the event loop reads the end of the connection."""

    async def scene(world):
        with connect_client(world) as client:
            client.sendall(encode_get(1))
        assert (await world.read(tag=2)).end == "served"
        assert [tag for _, tag in world.targets[0].begun] == [2]
        assert world.app.engine.counts["gone"] == 1

    play(scene)


def test_the_disconnect_of_a_client_that_sent_more_than_a_buffer_ahead_is_noticed():
    """Its connection was no longer read once the buffer was full, so its end was not noticed either."""

    async def scene(world):
        gate = ConnectionGate(world)
        client = connect_client(world)
        client.sendall(encode_get(1) + bytes(200_000))
        await world.until(lambda: gate.held_count == 1)
        client.close()
        await world.until(lambda: world.app.engine.open_request_count == 0, DEADLINE / 3)
        await gate.assert_nothing_starts()
        assert world.app.engine.counts["gone"] == 1

    play(scene)


def test_a_client_that_sends_too_much_ahead_gets_its_response_and_then_a_close():
    async def scene(world):
        client = connect_client(world)
        client.sendall(encode_get(1) + bytes(200_000))
        answer = await read_to_end(client)
        assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(world.targets[0].content(1, BLOCK))
        client.close()
        await world.until(lambda: len(world.app.listener) == 0)

    play(scene)


def test_the_disconnect_of_a_host_that_is_not_read_from_is_noticed():
    """It does not read its completions, so no further command of it is read either."""

    async def scene(world):
        gate = ConnectionGate(world)
        _, io = await world.client.associate()
        size = BLOCK * PER_UNIT
        io.writer.write(nvme.io_command(nvme.READ, 9, 1, 1, size // BLOCK, size, b""))
        await world.until(lambda: gate.held_count == 1)
        queue = next(iter(world.app.server.associations.values())).queues[1]
        queue.pause_writing()  # as when the kernel takes no more of what it does not read
        io.writer.write(b"".join(nvme.command(nvme.KEEP_ALIVE, 9) for _ in range(400)))
        await world.until(lambda: queue._paused)
        for stream in world.client.streams:  # its machine is gone: every connection of it
            stream.writer.transport.abort()
        await world.until(lambda: world.app.engine.open_request_count == 0, DEADLINE / 3)
        await gate.assert_nothing_starts()

    play(scene, "nvme")


# --- Closes ------------------------------------------------------------------------------------------
def call_around(monkeypatch, method: str, when: str, act) -> None:
    """Call `act` directly before or after a method of a client's connection."""
    original = getattr(http_server.ClientConnection, method)

    def wrapped(self, *args, **kwargs):
        if when == "before":
            act()
        result = original(self, *args, **kwargs)
        if when == "after":
            act()
        return result

    monkeypatch.setattr(http_server.ClientConnection, method, wrapped)


@pytest.mark.parametrize("bad", [False, True])
def test_bytes_that_arrive_during_a_close_do_not_lose_the_response(monkeypatch, bad):
    """They turned the close into a reset."""

    async def scene(world):
        client = connect_client(world)
        call_around(monkeypatch, "_write_response", "before", lambda: client.sendall(b"GET /late"))
        client.sendall(encode_get(1, Connection="close", **({"Tier": "tin"} if bad else {})))
        answer = await read_to_end(client)
        assert answer.startswith(b"HTTP/1.1 400" if bad else b"HTTP/1.1 200")
        client.close()
        await world.until(lambda: len(world.app.listener) == 0)
        assert [tag for _, tag in world.targets[0].begun] == [1] * (not bad)

    play(scene)


def test_a_request_that_crosses_the_close_of_an_idle_connection_is_not_forwarded(monkeypatch):
    """The close became a reset, which loses the response before it if that was not read yet."""
    monkeypatch.setattr("stalltiller.transport.listener.IDLE_TIMEOUT_SECONDS", 0.05)

    async def scene(world):
        client = connect_client(world)
        client.sendall(encode_get(1))
        call_around(monkeypatch, "is_clean", "after", lambda: client.sendall(encode_get(2)))
        answer = await read_to_end(client)
        assert answer.count(b"HTTP/1.1") == 1 and answer.startswith(b"HTTP/1.1 200")
        assert [tag for _, tag in world.targets[0].begun] == [1]
        client.close()

    play(scene)


def test_bytes_that_arrive_as_a_long_response_ends_do_not_truncate_it(monkeypatch):
    async def scene(world):
        size = 300_000
        monkeypatch.setattr(world.targets[0], "content", lambda tag, _: b"x" * size)
        client = connect_client(world)
        call_around(monkeypatch, "finish_stream", "before", lambda: client.sendall(b"GET /late"))
        client.sendall(encode_get(1, Connection="close"))
        assert (await read_to_end(client)).count(b"x") == size
        client.close()

    play(scene)


def test_bytes_after_an_administration_call_do_not_lose_its_response(monkeypatch):
    async def scene(world):
        await world.app.admin.open("127.0.0.1", 0)
        client = socket.create_connection(world.app.admin.address, timeout=5)
        original = world.app.is_ready

        def ready():
            client.sendall(b"GET /late")
            return original()

        monkeypatch.setattr(world.app, "is_ready", ready)
        client.sendall(b"GET /_ready HTTP/1.1\r\nHost: h\r\n\r\n")
        assert (await read_to_end(client)).startswith(b"HTTP/1.1 200")
        client.close()

    play(scene)


# --- The shutdown ----------------------------------------------------------------------------------------
@pytest.mark.parametrize("accepted", [False, True])
def test_connections_that_wait_to_be_accepted_when_the_listener_stops_are_served(accepted):
    """A connection that waited in the kernel, or was accepted and not set up yet, was reset."""

    async def scene(world):
        listener = world.app.listener
        client = connect_client(world)
        client.sendall(encode_get(1, Connection="close"))
        address = listener.address
        if accepted:  # it stops between the accept and the turn that sets the connection up
            asyncio.get_running_loop()._accept_connection(
                lambda: listener._connection_factory(listener), listener._listening, server=listener._server
            )
        await listener.stop(take_in=not accepted)
        assert (await read_to_end(client)).startswith(b"HTTP/1.1 200")
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address, timeout=1)
        client.close()

    play(scene)


def test_a_request_that_is_complete_only_after_finish_all_is_rejected_not_dropped(monkeypatch):
    """The process ended with a request that was read and not answered."""
    monkeypatch.setattr("stalltiller.daemon.graceful_shutdown.KEEP_LISTENING_SECONDS", 0.01)
    monkeypatch.setattr("stalltiller.daemon.graceful_shutdown.CLOSING_SECONDS", 0.01)

    async def scene(world):
        client = connect_client(world)
        client.sendall(encode_get(1)[:-2])  # an incomplete header keeps the connection open
        await world.until(lambda: len(world.app.listener) == 1)
        original = world.app.engine.finish_all

        def finish_all():
            original()
            client.sendall(b"\r\n")

        monkeypatch.setattr(world.app.engine, "finish_all", finish_all)
        world.app.stop.set()
        assert (await read_to_end(client)).startswith(b"HTTP/1.1 503")
        client.close()
        await asyncio.wait_for(world.running, 5)
        assert world.targets[0].begun == []

    play(scene)


@pytest.mark.parametrize("write", [False, True])
def test_finish_all_withdraws_an_attempt_that_has_not_started_and_rejects_its_request(write):
    """An attempt started although its request was answered, when its connection came; a write failed."""

    async def scene(world):
        gate = ConnectionGate(world)
        client_task = asyncio.create_task(world.write(tag=1) if write else world.read(tag=1))
        await world.until(lambda: gate.held_count == 1)
        world.app.engine.finish_all()
        gate.is_open.set()
        assert (await client_task).end == "refused"
        world.app.engine._is_stopped = False
        assert (await world.read(tag=2)).end == "served"
        assert [tag for _, tag in world.targets[0].begun] == [2]

    play(scene)


def test_a_long_response_that_the_shutdown_truncates_does_not_look_complete(monkeypatch):
    """For an HTTP/1.0 client a response without a length ends with its connection."""
    for name in ("KEEP_LISTENING_SECONDS", "CLOSING_SECONDS", "LINGER_SECONDS"):
        monkeypatch.setattr(f"stalltiller.daemon.graceful_shutdown.{name}", 0.01)

    async def scene(world):
        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + b"x" * 300_000)
            await asyncio.get_running_loop().create_future()

        world.targets[0].serve = answer
        client = connect_client(world)
        client.sendall(encode_get(1).replace(b"HTTP/1.1", b"HTTP/1.0"))
        await world.until(lambda: world.app.engine.counts["relayed"] == 1)
        world.app.stop.set()
        await asyncio.wait_for(world.running, 5)
        # It must come now: what is still open when the process ends is closed in an orderly way.
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(read_to_end(client), 1)
        client.close()

    play(scene)


# --- Retries and drains ----------------------------------------------------------------------------
def test_a_retry_with_a_key_does_not_start_after_the_deduplication_window():
    """It was decided in time, and started when its connection was established, after the window."""
    class_with_key = request_class(
        name="read",
        latency_objective=0.4,
        deadline=DEADLINE,
        idempotency=Idempotency.IDEMPOTENCY_KEY,
        deduplication_window=0.1,
    )

    async def scene(world):
        world.targets[0].mode = "break"
        pool = world.app.target_client.pool
        connect = world.app.target_client.connect

        async def connect_late(host, port):
            await asyncio.sleep(0.2 if world.targets[0].begun else 0.0)
            return await connect(host, port)

        pool._connect = connect_late
        assert (await world.read(tag=1)).end != "served"
        await asyncio.sleep(1.0)
        assert len(world.targets[0].begun) == 1

    play(scene, run=run_on_simulated_clock, classes=(class_with_key,))


def test_the_idempotency_key_is_forwarded_unchanged():
    """It was left out, so a retry would have been executed twice (found on a site with a keyed class)."""
    received_fields = []

    class RecordingTarget(Standin):
        async def serve(self, reader, writer):
            received_fields.append((await read_message(reader)).head.fields)
            writer.write(http.encode_response(200, b"ok"))

    async def scene(world):
        target = RecordingTarget()
        await target.open()
        target.name, target.shard = "s-0", 0
        world.discovery.set(target)
        await world.until(
            lambda: any(
                endpoint.port == target.port for endpoint in world.app.engine._targets._endpoints.values()
            )
        )
        client = connect_client(world)
        client.sendall(encode_get(1, Connection="close", **{"Idempotency-Key": "k-17"}))
        assert (await read_to_end(client)).endswith(b"ok")
        assert received_fields[0]["idempotency-key"] == "k-17"
        client.close()
        target.close()

    play(scene)


@pytest.mark.parametrize("listed_as", ["leaving", "left", "missing"])
def test_no_attempt_starts_after_a_drain_announced_while_its_connection_is_established(listed_as):
    """An attempt was bound only by a drain that was announced before it was sent."""
    patient_class = request_class(name="read", latency_objective=4.0, deadline=5.0)

    async def scene(world):
        target, gate = world.targets[0], ConnectionGate(world)
        world.app.target_client.pool._connect_timeout = 9.0
        client = connect_client(world)
        client.sendall(encode_get(1, Connection="close", **{"X-Timeout": "5.0"}))
        await world.until(lambda: gate.held_count == 1)
        if listed_as == "missing":
            del world.discovery.lines[target.name]
            world.discovery.set(world.targets[1])
        else:
            world.discovery.set(target, listed_as)
        logged_before = len(world.logged)
        await world.until(lambda: any(line["event"] == "list" for line in world.logged[logged_before - 1 :]))
        await asyncio.sleep(world.settings.rules.drain_grace + 0.1)  # on the jumping clock
        gate.is_open.set()
        assert not (await read_to_end(client)).startswith(b"HTTP/1.1 200")
        assert target.begun == []
        client.close()

    play(scene, run=run_on_simulated_clock, classes=(patient_class,))


def test_a_late_duplicate_response_is_not_used_for_the_next_request(monkeypatch):
    """It crossed a request sent on the connection meanwhile, and was served as its response."""

    async def scene(world):
        world.app.target_client.pool._avoided_idle_range = (
            0.0,
            60.0,
        )  # the second response comes within it on any machine

        async def serve_twice(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            answer = http.encode_response(200, world.targets[0].content(1, BLOCK))
            writer.write(answer)
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await reader.read()

        served, world.targets[0].serve = world.targets[0].serve, serve_twice
        assert (await world.read(tag=1)).data == world.targets[0].content(1, BLOCK)
        world.targets[0].serve = served
        assert (await world.read(tag=2)).data == world.targets[0].content(2, BLOCK)

    play(scene)


def test_a_connection_is_reused_after_its_rest_or_if_no_other_may_be_opened():
    async def scene(world):
        pool = world.app.target_client.pool
        for max_connections, min_rest, max_rest, opened_count in (
            (99, 0.0, 0.0, 1),
            (99, 0.0, 60.0, 3),
            (3, 0.0, 60.0, 3),
            (99, 60.0, 90.0, 3),
        ):
            pool._max_channels, pool._avoided_idle_range = max_connections, (min_rest, max_rest)
            for _ in range(2):
                assert (await world.read(tag=1)).end == "served"
            assert pool.opened_count == opened_count

    play(scene)


# --- Responses that end by a reset ------------------------------------------------------------------------
@pytest.mark.parametrize("size", [5, 20_000, 300_000])
@pytest.mark.parametrize("reset", [True, False])
@pytest.mark.parametrize("slow", [False, True])
def test_a_reset_does_not_complete_a_response_without_a_length(size, reset, slow):
    """Only an orderly end of the connection completes such a response, also if its client reads slowly."""

    async def scene(world):
        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + b"x" * size)
            await writer.drain()
            while slow and writer.transport.get_write_buffer_size():
                await asyncio.sleep(0)
            sock = writer.transport.get_extra_info("socket")
            if reset:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.close()

        world.targets[0].serve = answer
        client = connect_client(world)
        if slow:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.sendall(encode_get(1, Connection="close"))
        got = b""
        with contextlib.suppress(ConnectionResetError):
            got = await read_to_end(client)
        whole = (
            got.startswith(b"HTTP/1.1 200")
            and got.count(b"x") == size
            and (b"chunked" not in got or got.endswith(b"0\r\n\r\n"))
        )
        assert whole is not reset
        client.close()

    play(scene)
