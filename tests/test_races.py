"""Bad orders of events around ends, forced on real connections: each failed before its mend (docs/races.md).

Blocking sockets make an order certain: what they do between two turns of the loop is in the kernel, whole,
before the initiator sees any of it.
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
from tests.simulated_clock import run_on_jumping_clock
from tests.stand_ins import BLOCK, DEADLINE, PER_UNIT, VOLUME, Standin, World, read_message


def get(tag: int, **fields: str) -> bytes:
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


def dial(world) -> socket.socket:
    return socket.create_connection(world.app.listener.address, timeout=5)


async def rest_of(sock: socket.socket) -> bytes:
    """All that comes up to the end; a reset raises."""
    sock.setblocking(False)
    got = b""
    while part := await asyncio.get_running_loop().sock_recv(sock, 65536):
        got += part
    return got


class Gate:
    """Holds connections to targets while they come up."""

    def __init__(self, world) -> None:
        pool = world.app.target_client.pool
        self._connect, pool._connect = pool._connect, self.connect
        self.world, self.held, self.open = world, 0, asyncio.Event()

    async def begins_nothing(self) -> None:
        """Opened, it lets nothing of what it held begin: another request is the first that a target sees."""
        self.open.set()
        assert (await self.world.read(tag=2)).end == "served"
        assert [tag for _, tag in self.world.targets[0].begun] == [2]

    async def connect(self, host, port):
        self.held += 1
        await self.open.wait()
        return await self._connect(host, port)


# --- Clients that leave ----------------------------------------------------------------------------
@pytest.mark.parametrize("kind", ["http", "nvme"])
@pytest.mark.parametrize("draining", [False, True])
def test_a_client_that_leaves_while_a_connection_comes_up_has_nothing_begun(kind, draining):
    """The attempt stayed, and began once its connection was up."""

    async def scene(world):
        gate = Gate(world)
        asking = asyncio.create_task(world.read(tag=1))
        await world.until(lambda: gate.held == 1)
        if draining:
            world.app.stop.set()
        asking.cancel()
        await world.until(lambda: world.app.engine.open_request_count == 0)
        await gate.begins_nothing()

    play(scene, kind)


def test_a_request_whose_client_has_left_before_it_is_read_is_not_sent():
    """The turn that sends comes before the loop reads the connection's end."""

    async def scene(world):
        with dial(world) as client:
            client.sendall(get(1))
        assert (await world.read(tag=2)).end == "served"
        assert [tag for _, tag in world.targets[0].begun] == [2]
        assert world.app.engine.counts["gone"] == 1

    play(scene)


def test_a_client_that_sends_much_ahead_and_leaves_is_seen_to_go():
    """Its connection was not read any more once the buffer was full, so its end was not seen either."""

    async def scene(world):
        gate = Gate(world)
        client = dial(world)
        client.sendall(get(1) + bytes(200_000))
        await world.until(lambda: gate.held == 1)
        client.close()
        await world.until(lambda: world.app.engine.open_request_count == 0, DEADLINE / 3)
        await gate.begins_nothing()
        assert world.app.engine.counts["gone"] == 1

    play(scene)


def test_one_that_sends_too_much_ahead_gets_its_answer_and_then_an_end():
    async def scene(world):
        client = dial(world)
        client.sendall(get(1) + bytes(200_000))
        answer = await rest_of(client)
        assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(world.targets[0].content(1, BLOCK))
        client.close()
        await world.until(lambda: len(world.app.listener) == 0)

    play(scene)


def test_a_host_that_leaves_while_it_is_not_read_from_is_seen_to_go():
    """It leaves completions unread, so no further command is taken from it, and its queue is not read."""

    async def scene(world):
        gate = Gate(world)
        _, io = await world.client.associate()
        size = BLOCK * PER_UNIT
        io.writer.write(nvme.io_command(nvme.READ, 9, 1, 1, size // BLOCK, size, b""))
        await world.until(lambda: gate.held == 1)
        queue = next(iter(world.app.server.associations.values())).queues[1]
        queue.pause_writing()  # as when the kernel takes no more of what it does not read
        io.writer.write(b"".join(nvme.command(nvme.KEEP_ALIVE, 9) for _ in range(400)))
        await world.until(lambda: queue._paused)
        for stream in world.client.streams:  # its machine is gone: every connection of it
            stream.writer.transport.abort()
        await world.until(lambda: world.app.engine.open_request_count == 0, DEADLINE / 3)
        await gate.begins_nothing()

    play(scene, "nvme")


# --- Closes ------------------------------------------------------------------------------------------
def arriving(monkeypatch, method: str, when: str, act) -> None:
    """Have something arrive in the moment before or after a method of a client's connection."""
    known = getattr(http_server.ClientConnection, method)

    def wrapped(self, *args, **kwargs):
        if when == "before":
            act()
        found = known(self, *args, **kwargs)
        if when == "after":
            act()
        return found

    monkeypatch.setattr(http_server.ClientConnection, method, wrapped)


@pytest.mark.parametrize("bad", [False, True])
def test_bytes_that_arrive_as_a_connection_is_closed_take_no_answer_with_them(monkeypatch, bad):
    """They turned the close into a reset."""

    async def scene(world):
        client = dial(world)
        arriving(monkeypatch, "_answer", "before", lambda: client.sendall(b"GET /late"))
        client.sendall(get(1, Connection="close", **({"Tier": "tin"} if bad else {})))
        answer = await rest_of(client)
        assert answer.startswith(b"HTTP/1.1 400" if bad else b"HTTP/1.1 200")
        client.close()
        await world.until(lambda: len(world.app.listener) == 0)
        assert [tag for _, tag in world.targets[0].begun] == [1] * (not bad)

    play(scene)


def test_a_request_that_crosses_the_close_of_a_resting_connection_is_not_sent_on(monkeypatch):
    """The close over it was a reset, which takes the answer before with it if that was not read yet."""
    monkeypatch.setattr("stalltiller.transport.listener.IDLE_LIMIT", 0.05)

    async def scene(world):
        client = dial(world)
        client.sendall(get(1))
        arriving(monkeypatch, "is_clean", "after", lambda: client.sendall(get(2)))
        answer = await rest_of(client)
        assert answer.count(b"HTTP/1.1") == 1 and answer.startswith(b"HTTP/1.1 200")
        assert [tag for _, tag in world.targets[0].begun] == [1]
        client.close()

    play(scene)


def test_the_rest_of_a_long_answer_survives_bytes_that_arrive_as_it_ends(monkeypatch):
    async def scene(world):
        size = 300_000
        monkeypatch.setattr(world.targets[0], "content", lambda tag, _: b"x" * size)
        client = dial(world)
        arriving(monkeypatch, "finish_stream", "before", lambda: client.sendall(b"GET /late"))
        client.sendall(get(1, Connection="close"))
        assert (await rest_of(client)).count(b"x") == size
        client.close()

    play(scene)


def test_bytes_behind_an_operator_s_call_take_no_answer_with_them(monkeypatch):
    async def scene(world):
        await world.app.admin.open("127.0.0.1", 0)
        client = socket.create_connection(world.app.admin.address, timeout=5)
        known = world.app.is_ready

        def ready():
            client.sendall(b"GET /late")
            return known()

        monkeypatch.setattr(world.app, "is_ready", ready)
        client.sendall(b"GET /_ready HTTP/1.1\r\nHost: h\r\n\r\n")
        assert (await rest_of(client)).startswith(b"HTTP/1.1 200")
        client.close()

    play(scene)


# --- The stop ----------------------------------------------------------------------------------------
@pytest.mark.parametrize("accepted", [False, True])
def test_what_waits_to_be_accepted_as_the_listener_stops_is_served(accepted):
    """One that waits in the kernel, or was accepted and is not up yet, was reset with its request."""

    async def scene(world):
        listener = world.app.listener
        client = dial(world)
        client.sendall(get(1, Connection="close"))
        address = listener.address
        if accepted:  # the stop comes between the accept and the turn in which the connection comes up
            asyncio.get_running_loop()._accept_connection(
                lambda: listener._make(listener), listener._listening, server=listener._server
            )
        await listener.stop(take_in=not accepted)
        assert (await rest_of(client)).startswith(b"HTTP/1.1 200")
        with pytest.raises(OSError):
            socket.create_connection(address, timeout=1)
        client.close()

    play(scene)


def test_what_comes_whole_after_the_last_answers_is_refused_not_dropped(monkeypatch):
    """The program ended with a request read and not answered."""
    monkeypatch.setattr("stalltiller.daemon.graceful_shutdown.KEEP_LISTENING_SECONDS", 0.01)
    monkeypatch.setattr("stalltiller.daemon.graceful_shutdown.CLOSING_SECONDS", 0.01)

    async def scene(world):
        client = dial(world)
        client.sendall(get(1)[:-2])  # half a head keeps the connection open
        await world.until(lambda: len(world.app.listener) == 1)
        known = world.app.engine.finish_all

        def finish_all():
            known()
            client.sendall(b"\r\n")

        monkeypatch.setattr(world.app.engine, "finish_all", finish_all)
        world.app.stop.set()
        assert (await rest_of(client)).startswith(b"HTTP/1.1 503")
        client.close()
        await asyncio.wait_for(world.running, 5)
        assert world.targets[0].begun == []

    play(scene)


@pytest.mark.parametrize("write", [False, True])
def test_the_end_lets_no_attempt_begin_and_says_so(write):
    """An attempt whose connection was coming up began after its request was answered; a write was failed."""

    async def scene(world):
        gate = Gate(world)
        asking = asyncio.create_task(world.write(tag=1) if write else world.read(tag=1))
        await world.until(lambda: gate.held == 1)
        world.app.engine.finish_all()
        gate.open.set()
        assert (await asking).end == "refused"
        world.app.engine._over = False
        assert (await world.read(tag=2)).end == "served"
        assert [tag for _, tag in world.targets[0].begun] == [2]

    play(scene)


def test_a_long_answer_that_the_end_cuts_off_does_not_look_whole(monkeypatch):
    """To a client of HTTP/1.0 an answer without a length ends with its connection."""
    for name in ("KEEP_LISTENING_SECONDS", "CLOSING_SECONDS", "LINGER_SECONDS"):
        monkeypatch.setattr(f"stalltiller.daemon.graceful_shutdown.{name}", 0.01, raising=False)

    async def scene(world):
        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + b"x" * 300_000)
            await asyncio.get_running_loop().create_future()

        world.targets[0].serve = answer
        client = dial(world)
        client.sendall(get(1).replace(b"HTTP/1.1", b"HTTP/1.0"))
        await world.until(lambda: world.app.engine.counts["relayed"] == 1)
        world.app.stop.set()
        await asyncio.wait_for(world.running, 5)
        with pytest.raises(ConnectionResetError):  # by now: what is left open ends in order with the process
            await asyncio.wait_for(rest_of(client), 1)
        client.close()

    play(scene)


# --- Repeats and drains ----------------------------------------------------------------------------
def test_a_keyed_repeat_does_not_begin_once_targets_may_have_forgotten_the_first():
    """It was sent in time, and began when its connection came up, past the window for repeats."""
    keyed = request_class(
        name="read",
        latency_objective=0.4,
        deadline=DEADLINE,
        idempotency=Idempotency.IDEMPOTENCY_KEY,
        deduplication_window=0.1,
    )

    async def scene(world):
        world.targets[0].mode = "break"
        pool, connect = world.app.target_client.pool, world.app.target_client.connect

        async def late(host, port):
            await asyncio.sleep(0.2 if world.targets[0].begun else 0.0)
            return await connect(host, port)

        pool._connect = late
        assert (await world.read(tag=1)).end != "served"
        await asyncio.sleep(1.0)
        assert len(world.targets[0].begun) == 1

    play(scene, run=run_on_jumping_clock, classes=(keyed,))


def test_the_key_by_which_targets_know_a_repeat_passes_on_unchanged():
    """It was left out: a repeat would have run twice (found on a site with a keyed class)."""
    heads = []

    class Heard(Standin):
        async def serve(self, reader, writer):
            heads.append((await read_message(reader)).head.fields)
            writer.write(http.encode_response(200, b"ok"))

    async def scene(world):
        heard = Heard()
        await heard.open()
        heard.name, heard.shard = "s-0", 0
        world.discovery.set(heard)
        await world.until(
            lambda: any(place.port == heard.port for place in world.app.engine._places.values())
        )
        client = dial(world)
        client.sendall(get(1, Connection="close", **{"Idempotency-Key": "k-17"}))
        assert (await rest_of(client)).endswith(b"ok")
        assert heads[0]["idempotency-key"] == "k-17"
        client.close()
        heard.close()

    play(scene)


@pytest.mark.parametrize("told", ["leaving", "left", "missing"])
def test_nothing_begins_past_a_drain_that_was_told_while_the_connection_came_up(told):
    """An attempt knew of a drain only if that was told before it was sent."""
    patient = request_class(name="read", latency_objective=4.0, deadline=5.0)

    async def scene(world):
        target, gate = world.targets[0], Gate(world)
        world.app.target_client.pool._connect_timeout = 9.0
        client = dial(world)
        client.sendall(get(1, Connection="close", **{"X-Timeout": "5.0"}))
        await world.until(lambda: gate.held == 1)
        if told == "missing":
            del world.discovery.lines[target.name]
            world.discovery.set(world.targets[1])
        else:
            world.discovery.set(target, told)
        heard = len(world.logged)
        await world.until(lambda: any(line["event"] == "list" for line in world.logged[heard - 1 :]))
        await asyncio.sleep(world.settings.rules.drain_grace + 0.1)  # on the jumping clock
        gate.open.set()
        assert not (await rest_of(client)).startswith(b"HTTP/1.1 200")
        assert target.begun == []
        client.close()

    play(scene, run=run_on_jumping_clock, classes=(patient,))


def test_a_second_answer_that_comes_late_is_not_taken_for_the_next_request_s(monkeypatch):
    """It crossed a request sent on the connection meanwhile, and was served as that one's answer."""

    async def scene(world):
        world.app.target_client.pool._rest = 0.0, 60.0  # the second answer comes within it on any machine

        async def twice(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            answer = http.encode_response(200, world.targets[0].content(1, BLOCK))
            writer.write(answer)
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await reader.read()

        served, world.targets[0].serve = world.targets[0].serve, twice
        assert (await world.read(tag=1)).data == world.targets[0].content(1, BLOCK)
        world.targets[0].serve = served
        assert (await world.read(tag=2)).data == world.targets[0].content(2, BLOCK)

    play(scene)


def test_a_connection_that_has_rested_is_used_again_and_one_that_has_not_if_no_other_can_be_had():
    async def scene(world):
        pool = world.app.target_client.pool
        for most, soonest, longest, opened in (
            (99, 0.0, 0.0, 1),
            (99, 0.0, 60.0, 3),
            (3, 0.0, 60.0, 3),
            (99, 60.0, 90.0, 3),
        ):
            pool._most, pool._rest = most, (soonest, longest)
            for _ in range(2):
                assert (await world.read(tag=1)).end == "served"
            assert pool.opened_count == opened

    play(scene)


# --- Answers that end by a reset ------------------------------------------------------------------------
@pytest.mark.parametrize("size", [5, 20_000, 300_000])
@pytest.mark.parametrize("reset", [True, False])
@pytest.mark.parametrize("slow", [False, True])
def test_a_reset_is_no_end_of_an_answer_without_a_length(size, reset, slow):
    """Only the connection's end in order makes such an answer whole, also where its client reads slowly."""

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
        client = dial(world)
        if slow:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.sendall(get(1, Connection="close"))
        got = b""
        with contextlib.suppress(ConnectionResetError):
            got = await rest_of(client)
        whole = (
            got.startswith(b"HTTP/1.1 200")
            and got.count(b"x") == size
            and (b"chunked" not in got or got.endswith(b"0\r\n\r\n"))
        )
        assert whole is not reset
        client.close()

    play(scene)
