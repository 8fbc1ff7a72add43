"""Races around disconnects, closes and the shutdown, forced on real connections (docs/races.md).

Each test failed before its race was fixed.

Blocking sockets make the order deterministic: an operation between two iterations of the event loop is
complete in the kernel before the initiator sees any of it.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
import socket
import struct
import time
from dataclasses import replace

import pytest

from stalltiller.adapters import http_server as http_server
from stalltiller.protocol import http, nvme
from stalltiller.routing.response_deadline import NO_DRAIN
from stalltiller.scheduling import Idempotency
from tests.helpers import request_class
from tests.simulated_clock import run_on_simulated_clock
from tests.stand_ins import (
    BLOCK_BYTES,
    BLOCKS_PER_UNIT,
    DEADLINE_SECONDS,
    VOLUME,
    InitiatorHarness,
    StubServer,
    read_message,
)

PART_BYTES = 100_000  # of a long response


def encode_get(tag: int, **fields: str) -> bytes:
    return http.encode_request(
        "GET",
        f"/read/{tag:x}",
        {
            "Host": "h",
            "X-Request-ID": f"race{tag}",
            "Tier": "plan",
            "X-Timeout": str(DEADLINE_SECONDS),
            "IO-Info": f"volume={VOLUME:x},units=1,shard=0,hosts=1",
            **fields,
        },
        b"",
    )


def run_scenario(scenario, kind="http", run=asyncio.run, **changes):
    async def run_in_harness():
        async with InitiatorHarness(kind, **changes) as harness:
            await asyncio.wait_for(scenario(harness), 20)
            assert harness.faults() == []

    run(run_in_harness())


def connect_client(harness) -> socket.socket:
    return socket.create_connection(harness.app.listener.address, timeout=5)


async def read_to_end(sock: socket.socket) -> bytes:
    """Return all bytes up to the end of the connection; a reset raises."""
    sock.setblocking(False)
    data = b""
    while part := await asyncio.get_running_loop().sock_recv(sock, 65536):
        data += part
    return data


class ConnectionGate:
    """Delays new connections to targets until it is opened."""

    def __init__(self, harness) -> None:
        pool = harness.app.target_client.pool
        self._connect = pool._connect
        pool._connect = self.connect
        self.harness = harness
        self.held_count = 0
        self.is_open = asyncio.Event()

    async def assert_nothing_starts(self) -> None:
        """Open the gate and check that no delayed attempt starts: the next request arrives first."""
        self.is_open.set()
        assert (await self.harness.read(tag=2)).outcome == "served"
        assert [tag for _, tag in self.harness.targets[0].received] == [2]

    async def connect(self, host, port):
        self.held_count += 1
        await self.is_open.wait()
        return await self._connect(host, port)


# --- Clients that disconnect ----------------------------------------------------------------------------
@pytest.mark.parametrize("kind", ["http", "nvme"])
@pytest.mark.parametrize("draining", [False, True])
def test_no_attempt_starts_for_a_client_that_disconnects_while_a_connection_is_established(kind, draining):
    """The attempt was not cancelled and started once its connection was established."""

    async def scenario(harness):
        gate = ConnectionGate(harness)
        client_task = asyncio.create_task(harness.read(tag=1))
        await harness.wait_until(lambda: gate.held_count == 1)
        if draining:
            harness.app.stop.set()
        client_task.cancel()
        await harness.wait_until(lambda: harness.app.engine.open_request_count == 0)
        await gate.assert_nothing_starts()

    run_scenario(scenario, kind)


def test_a_request_is_not_sent_if_its_client_disconnected_before_it_was_read():
    """The request is sent in a loop iteration before the one that reads the end of the connection."""

    async def scenario(harness):
        with connect_client(harness) as client:
            client.sendall(encode_get(1))
        assert (await harness.read(tag=2)).outcome == "served"
        assert [tag for _, tag in harness.targets[0].received] == [2]
        assert harness.app.engine.counts["gone"] == 1

    run_scenario(scenario)


def test_the_disconnect_of_a_client_that_pipelined_more_than_a_buffer_is_detected():
    """The connection was no longer read once the buffer was full, so its end was not detected."""

    async def scenario(harness):
        gate = ConnectionGate(harness)
        client = connect_client(harness)
        client.sendall(encode_get(1) + bytes(200_000))
        await harness.wait_until(lambda: gate.held_count == 1)
        client.close()
        await harness.wait_until(lambda: harness.app.engine.open_request_count == 0, DEADLINE_SECONDS / 3)
        await gate.assert_nothing_starts()
        assert harness.app.engine.counts["gone"] == 1

    run_scenario(scenario)


def test_a_client_that_pipelines_too_much_gets_its_response_and_then_a_close():
    async def scenario(harness):
        client = connect_client(harness)
        client.sendall(encode_get(1) + bytes(200_000))
        response = await read_to_end(client)
        assert response.startswith(b"HTTP/1.1 200") and response.endswith(
            harness.targets[0].stored_data(1, BLOCK_BYTES)
        )
        client.close()
        await harness.wait_until(lambda: len(harness.app.listener) == 0)

    run_scenario(scenario)


def test_the_disconnect_of_a_host_whose_commands_are_not_read_is_detected():
    """The host does not read its completions, so the initiator reads no further commands from it."""

    async def scenario(harness):
        gate = ConnectionGate(harness)
        _, io = await harness.client.associate()
        size = BLOCK_BYTES * BLOCKS_PER_UNIT
        io.writer.write(nvme.io_command(nvme.READ, 9, 1, 1, size // BLOCK_BYTES, size, b""))
        await harness.wait_until(lambda: gate.held_count == 1)
        queue = next(iter(harness.app.server.associations.values())).queues[1]
        queue.pause_writing()  # as when the kernel takes no more because the host does not read
        io.writer.write(b"".join(nvme.command(nvme.KEEP_ALIVE, 9) for _ in range(400)))
        await harness.wait_until(lambda: queue._paused)
        for stream in harness.client.streams:  # as if the host had failed: all its connections end
            stream.writer.transport.abort()
        await harness.wait_until(lambda: harness.app.engine.open_request_count == 0, DEADLINE_SECONDS / 3)
        await gate.assert_nothing_starts()

    run_scenario(scenario, "nvme")


# --- Closes ------------------------------------------------------------------------------------------
def call_around(monkeypatch, method: str, when: str, callback) -> None:
    """Call `callback` directly before or after a method of a client's connection."""
    original = getattr(http_server.ClientConnection, method)

    def wrapped(self, *args, **kwargs):
        if when == "before":
            callback()
        result = original(self, *args, **kwargs)
        if when == "after":
            callback()
        return result

    monkeypatch.setattr(http_server.ClientConnection, method, wrapped)


@pytest.mark.parametrize("is_invalid", [False, True])
def test_bytes_that_arrive_during_a_close_do_not_lose_the_response(monkeypatch, is_invalid):
    """The unread bytes turned the close into a reset, which discarded the response."""

    async def scenario(harness):
        client = connect_client(harness)
        call_around(monkeypatch, "_write_response", "before", lambda: client.sendall(b"GET /late"))
        client.sendall(encode_get(1, Connection="close", **({"Tier": "tin"} if is_invalid else {})))
        response = await read_to_end(client)
        assert response.startswith(b"HTTP/1.1 400" if is_invalid else b"HTTP/1.1 200")
        client.close()
        await harness.wait_until(lambda: len(harness.app.listener) == 0)
        assert [tag for _, tag in harness.targets[0].received] == [1] * (not is_invalid)

    run_scenario(scenario)


def test_a_request_that_crosses_the_close_of_an_idle_connection_is_not_forwarded(monkeypatch):
    """The close became a reset, which loses a preceding response that the client has not read yet."""
    monkeypatch.setattr("stalltiller.transport.listener.IDLE_TIMEOUT_SECONDS", 0.05)

    async def scenario(harness):
        client = connect_client(harness)
        client.sendall(encode_get(1))
        call_around(monkeypatch, "is_clean", "after", lambda: client.sendall(encode_get(2)))
        response = await read_to_end(client)
        assert response.count(b"HTTP/1.1") == 1 and response.startswith(b"HTTP/1.1 200")
        assert [tag for _, tag in harness.targets[0].received] == [1]
        client.close()

    run_scenario(scenario)


def test_bytes_that_arrive_as_a_long_response_ends_do_not_truncate_it(monkeypatch):
    async def scenario(harness):
        size = 300_000
        monkeypatch.setattr(harness.targets[0], "stored_data", lambda tag, _: b"x" * size)
        client = connect_client(harness)
        call_around(monkeypatch, "finish_stream", "before", lambda: client.sendall(b"GET /late"))
        client.sendall(encode_get(1, Connection="close"))
        assert (await read_to_end(client)).count(b"x") == size
        client.close()

    run_scenario(scenario)


def test_bytes_after_an_administration_call_do_not_lose_its_response(monkeypatch):
    async def scenario(harness):
        await harness.app.admin.open("127.0.0.1", 0)
        client = socket.create_connection(harness.app.admin.address, timeout=5)
        original = harness.app.is_ready

        def ready():
            client.sendall(b"GET /late")
            return original()

        monkeypatch.setattr(harness.app, "is_ready", ready)
        client.sendall(b"GET /_ready HTTP/1.1\r\nHost: h\r\n\r\n")
        assert (await read_to_end(client)).startswith(b"HTTP/1.1 200")
        client.close()

    run_scenario(scenario)


# --- The shutdown ----------------------------------------------------------------------------------------
@pytest.mark.parametrize("accepted", [False, True])
def test_connections_that_wait_to_be_accepted_when_the_listener_stops_are_served(accepted):
    """A connection in the kernel's accept queue, or accepted but not set up yet, was reset."""

    async def scenario(harness):
        listener = harness.app.listener
        client = connect_client(harness)
        client.sendall(encode_get(1, Connection="close"))
        address = listener.address
        if accepted:  # stops between the accept and the iteration that sets up the connection
            asyncio.get_running_loop()._accept_connection(
                lambda: listener._connection_factory(listener),
                listener._listening_socket,
                server=listener._server,
            )
        await listener.stop(accept_backlog=not accepted)
        assert (await read_to_end(client)).startswith(b"HTTP/1.1 200")
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address, timeout=1)
        client.close()

    run_scenario(scenario)


def test_a_request_that_is_complete_only_after_finish_all_is_rejected_not_dropped(monkeypatch):
    """The process ended without a response to a request that it had read."""
    monkeypatch.setattr("stalltiller.routing.drain_schedule.KEEP_LISTENING_SECONDS", 0.01)
    monkeypatch.setattr("stalltiller.routing.drain_schedule.CLOSE_IDLE_BEFORE_END_SECONDS", 0.01)

    async def scenario(harness):
        client = connect_client(harness)
        client.sendall(encode_get(1)[:-2])  # an incomplete header keeps the connection open
        await harness.wait_until(lambda: len(harness.app.listener) == 1)
        original = harness.app.engine.finish_all

        def finish_all():
            original()
            client.sendall(b"\r\n")

        monkeypatch.setattr(harness.app.engine, "finish_all", finish_all)
        harness.app.stop.set()
        assert (await read_to_end(client)).startswith(b"HTTP/1.1 503")
        client.close()
        await asyncio.wait_for(harness.running, 5)
        assert harness.targets[0].received == []

    run_scenario(scenario)


@pytest.mark.parametrize("write", [False, True])
def test_the_end_of_a_drain_cancels_an_attempt_that_has_not_started_and_rejects_its_request(write):
    """An attempt of a finished request started once its connection was established; a write was failed."""

    async def scenario(harness):
        engine = harness.app.engine
        harness.app.target_client.pool._connect_timeout = 9.0
        gate = ConnectionGate(harness)
        client_task = asyncio.create_task(harness.write(tag=1) if write else harness.read(tag=1))
        await harness.wait_until(lambda: gate.held_count == 1)
        engine.begin_drain(asyncio.get_running_loop().time() + 0.1)
        assert (await client_task).outcome == "refused"
        engine.finish_all()
        gate.is_open.set()
        engine._deadlines._drain_end = NO_DRAIN
        assert (await harness.read(tag=2)).outcome == "served"
        assert [tag for _, tag in harness.targets[0].received] == [2]

    run_scenario(scenario)


@pytest.mark.parametrize("kind", ["http", "nvme"])
@pytest.mark.parametrize("held_up", ["as it is told to end", "across the end"])
def test_a_process_that_is_held_up_in_its_shutdown_answers_without_a_violation(held_up, kind, monkeypatch):
    """The drain ended before the engine had had a turn to expire its attempts."""
    monkeypatch.setattr("stalltiller.routing.drain_schedule.MAX_DEADLINE_SECONDS", 0.2)
    monkeypatch.setattr("stalltiller.routing.drain_schedule.KEEP_LISTENING_SECONDS", 0.05)

    async def scenario(harness):
        harness.targets[0].mode = "no_response"
        client_task = asyncio.create_task(harness.read(tag=1))
        await harness.wait_until(lambda: harness.targets[0].executed)
        if held_up == "as it is told to end":
            time.sleep(0.45)
            harness.app.terminate()
        else:
            harness.app.terminate()
            await asyncio.sleep(0.2)
            time.sleep(0.25)
        assert (await client_task).outcome in ("refused", "failed")
        await asyncio.wait_for(harness.running, 5)

    run_scenario(scenario, kind)


class UpgradeHarness(InitiatorHarness):
    """The process before an upgrade, which listens on an inherited socket."""

    def adjust_config(self, config):
        self.listening = socket.create_server(("127.0.0.1", 0))
        return replace(config, inherited_descriptor=self.listening.detach())


@pytest.mark.parametrize("kind", ["http", "nvme"])
@pytest.mark.parametrize("write", [False, True])
def test_the_process_before_an_upgrade_answers_by_the_end_of_its_drain(write, kind, monkeypatch):
    """Guards against requests at the old process that wait for their targets up to their clients' time."""
    monkeypatch.setattr("stalltiller.routing.drain_schedule.MAX_DEADLINE_SECONDS", 0.2)
    monkeypatch.setattr("stalltiller.routing.drain_schedule.KEEP_LISTENING_SECONDS", 0.05)

    async def scenario():
        async with UpgradeHarness(kind) as harness:
            harness.targets[0].mode = "no_response"
            client_task = asyncio.create_task(harness.write(tag=1) if write else harness.read(tag=1))
            await harness.wait_until(lambda: harness.targets[0].executed)
            signalled_at = time.monotonic()
            harness.app.terminate()
            outcome = (await client_task).outcome
            assert time.monotonic() - signalled_at < 0.35  # its client would wait for longer
            assert outcome == ("failed" if write else "refused")
            await asyncio.wait_for(harness.running, 5)
            assert harness.faults() == []

    asyncio.run(scenario())


@pytest.mark.parametrize("ends_after_drain", [False, True])
def test_a_request_behind_a_response_that_a_shutdown_waits_for_has_its_answer(ends_after_drain):
    """The connection was closed after the response, without an answer to the request behind it."""

    async def scenario(harness):
        may_end = asyncio.Event()

        async def send_slowly(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {2 * PART_BYTES}\r\n\r\n".encode()
            writer.write(head + b"x" * PART_BYTES)
            await may_end.wait()
            writer.write(b"x" * PART_BYTES)
            await asyncio.get_running_loop().create_future()

        harness.targets[0].serve = send_slowly
        client = connect_client(harness)
        client.sendall(encode_get(1))
        await harness.wait_until(lambda: harness.app.engine.counts["relayed"] == 1)
        client.sendall(encode_get(2).replace(b"shard=0", b"shard=1"))
        harness.app.stop.set()
        await harness.wait_until(lambda: harness.app.server.stopping)
        if ends_after_drain:
            await harness.wait_until(
                lambda: harness.app.engine._deadlines._drain_end < asyncio.get_running_loop().time()
            )
        may_end.set()
        received = await read_to_end(client)
        assert received.count(b"x") == 2 * PART_BYTES
        answers = re.findall(rb"HTTP/1.1 (\d+)", received)
        assert answers == [b"200", b"503" if ends_after_drain else b"200"]
        client.close()

    run_scenario(scenario)


def test_a_long_response_that_the_shutdown_truncates_does_not_look_complete(monkeypatch):
    """For an HTTP/1.0 client, an orderly close of the connection completes a response without a length."""
    for name in ("KEEP_LISTENING_SECONDS", "CLOSE_IDLE_BEFORE_END_SECONDS", "LINGER_SECONDS"):
        monkeypatch.setattr(f"stalltiller.routing.drain_schedule.{name}", 0.01)

    async def scenario(harness):
        async def send_partial_response(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + b"x" * 300_000)
            await asyncio.get_running_loop().create_future()

        harness.targets[0].serve = send_partial_response
        client = connect_client(harness)
        harness.app.engine.monitor.idle_limit = 0.3
        client.sendall(encode_get(1).replace(b"HTTP/1.1", b"HTTP/1.0"))
        await harness.wait_until(lambda: harness.app.engine.counts["relayed"] == 1)
        harness.app.stop.set()
        await asyncio.wait_for(harness.running, 5)
        # The reset must come now: the end of the process closes open connections in an orderly way.
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(read_to_end(client), 1)
        client.close()

    run_scenario(scenario)


# --- Retries and drains ----------------------------------------------------------------------------
def test_a_keyed_retry_does_not_start_after_the_deduplication_window():
    """The retry was decided within the window, but started after it, once its connection was established."""
    class_with_key = request_class(
        name="read",
        latency_objective=0.4,
        deadline=DEADLINE_SECONDS,
        idempotency=Idempotency.IDEMPOTENCY_KEY,
        deduplication_window=0.1,
    )

    async def scenario(harness):
        harness.targets[0].mode = "break"
        pool = harness.app.target_client.pool
        connect = harness.app.target_client.connect

        async def connect_late(host, port):
            await asyncio.sleep(0.2 if harness.targets[0].received else 0.0)
            return await connect(host, port)

        pool._connect = connect_late
        assert (await harness.read(tag=1)).outcome != "served"
        await asyncio.sleep(1.0)
        assert len(harness.targets[0].received) == 1

    run_scenario(scenario, run=run_on_simulated_clock, classes=(class_with_key,))


def test_the_idempotency_key_is_forwarded_unchanged():
    """The key was not forwarded, so targets would have executed a retry a second time."""
    received_fields = []

    class RecordingTarget(StubServer):
        async def serve(self, reader, writer):
            received_fields.append((await read_message(reader)).head.fields)
            writer.write(http.encode_response(200, b"ok"))

    async def scenario(harness):
        target = RecordingTarget()
        await target.open()
        target.name, target.shard = "s-0", 0
        harness.discovery.set(target)
        await harness.wait_until(
            lambda: any(
                endpoint.port == target.port for endpoint in harness.app.engine._targets._endpoints.values()
            )
        )
        client = connect_client(harness)
        client.sendall(encode_get(1, Connection="close", **{"Idempotency-Key": "k-17"}))
        assert (await read_to_end(client)).endswith(b"ok")
        assert received_fields[0]["idempotency-key"] == "k-17"
        client.close()
        target.close()

    run_scenario(scenario)


@pytest.mark.parametrize("listed_as", ["leaving", "left", "missing"])
def test_no_attempt_starts_after_a_drain_announced_while_its_connection_is_established(listed_as):
    """Only a drain announced before the engine started an attempt limited when it was sent."""
    long_deadline_class = request_class(name="read", latency_objective=4.0, deadline=5.0)

    async def scenario(harness):
        target, gate = harness.targets[0], ConnectionGate(harness)
        harness.app.target_client.pool._connect_timeout = 9.0
        client = connect_client(harness)
        client.sendall(encode_get(1, Connection="close", **{"X-Timeout": "5.0"}))
        await harness.wait_until(lambda: gate.held_count == 1)
        if listed_as == "missing":
            del harness.discovery.lines[target.name]
            harness.discovery.set(harness.targets[1])
        else:
            harness.discovery.set(target, listed_as)
        logged_before = len(harness.logged)
        await harness.wait_until(
            lambda: any(line["event"] == "list" for line in harness.logged[logged_before - 1 :])
        )
        await asyncio.sleep(harness.settings.rules.drain_grace + 0.1)  # on the simulated clock
        gate.is_open.set()
        assert not (await read_to_end(client)).startswith(b"HTTP/1.1 200")
        assert target.received == []
        client.close()

    run_scenario(scenario, run=run_on_simulated_clock, classes=(long_deadline_class,))


# --- Responses that end by a reset ------------------------------------------------------------------------
@pytest.mark.parametrize("size", [5, 20_000, 300_000])
@pytest.mark.parametrize("reset", [True, False])
@pytest.mark.parametrize("slow", [False, True])
def test_a_reset_does_not_complete_a_response_without_a_length(size, reset, slow):
    """Only an orderly close completes such a response, even if its client reads slowly."""

    async def scenario(harness):
        async def send_response(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + b"x" * size)
            await writer.drain()
            while slow and writer.transport.get_write_buffer_size():
                await asyncio.sleep(0)
            sock = writer.transport.get_extra_info("socket")
            if reset:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.close()

        harness.targets[0].serve = send_response
        client = connect_client(harness)
        if slow:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.sendall(encode_get(1, Connection="close"))
        received = b""
        with contextlib.suppress(ConnectionResetError):
            received = await read_to_end(client)
        is_complete = (
            received.startswith(b"HTTP/1.1 200")
            and received.count(b"x") == size
            and (b"chunked" not in received or received.endswith(b"0\r\n\r\n"))
        )
        assert is_complete is not reset
        client.close()

    run_scenario(scenario)
