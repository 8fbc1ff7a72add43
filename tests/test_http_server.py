"""Behaviour of the HTTP server and target client alone, on real sockets."""

from __future__ import annotations

import asyncio
import socket
from types import SimpleNamespace

import pytest

from stalltiller.adapters.recent_request_ids import RecentRequestIds
from stalltiller.protocol import http
from stalltiller.transport.watch import BackoffPollPolicy
from tests.helpers import request_class
from tests.stand_ins import DEADLINE, VOLUME, World, read_message

VALID_FIELDS = {
    "Host": "h",
    "X-Request-ID": "id1",
    "Tier": "plan",
    "X-Timeout": str(DEADLINE),
    "IO-Info": f"volume={VOLUME:x},units=1,shard=0,hosts=1",
}
GET_REQUEST = http.encode_request("GET", "/read/1", VALID_FIELDS, b"")


def play(scene, **changes):
    async def run():
        async with World("http", **changes) as world:
            reader, writer = await asyncio.open_connection("127.0.0.1", world.app.listener.address[1])
            await asyncio.wait_for(scene(world, reader, writer), 20)
            writer.transport.abort()
            assert world.faults() == []

    asyncio.run(run())


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /read/1 HTTP/1.1\r\nHost: h\r\n" + b"a: b\r\n" * 4000 + b"\r\n", 431),
        (b"PUT /write/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 33554433\r\n\r\n", 413),
    ],
    ids=["line", "head", "body"],
)
def test_malformed_input_is_answered_and_the_connection_closed(raw, status):
    async def scene(world, reader, writer):
        writer.write(raw)
        answer = await read_message(reader, response=True)
        assert answer.head.status == status and not answer.head.keeps_alive()
        assert await reader.read() == b""
        assert world.app.engine.counts["taken"] == 0

    play(scene)


def test_an_invalid_field_gets_400_and_the_connection_stays_open():
    async def scene(world, reader, writer):
        writer.write(http.encode_request("GET", "/read/1", {**VALID_FIELDS, "Tier": "tin"}, b""))
        assert (await read_message(reader, response=True)).head.status == 400
        assert world.app.engine.counts["taken"] == 0
        writer.write(GET_REQUEST)
        assert (await read_message(reader, response=True)).head.status == 200

    play(scene)


def test_pipelined_requests_are_served_one_at_a_time():
    async def scene(world, reader, writer):
        writer.write(b"".join(GET_REQUEST.replace(b"id1", b"id%d" % i) for i in range(3)))
        answers = b""
        while answers.count(b"HTTP/1.1 200 OK") < 3:
            answers += await reader.read(65536)
        assert world.targets[0].max_in_flight == 1

    play(scene)


def test_expect_100_continue_is_answered_before_the_body():
    async def scene(world, reader, writer):
        raw = http.encode_request("PUT", "/write/9", {**VALID_FIELDS, "Expect": "100-continue"}, b"lunch")
        writer.write(raw[:-5])
        assert await reader.readuntil(b"\r\n\r\n") == http.CONTINUE
        writer.write(raw[-5:])
        assert (await read_message(reader, response=True)).head.status == 200
        assert world.targets[0].ran == [(9, b"lunch")]

    play(scene)


def test_an_incomplete_request_times_out_with_408(monkeypatch):
    monkeypatch.setattr("stalltiller.adapters.request_timer.REQUEST_TIMEOUT_SECONDS", 0.05)

    async def scene(world, reader, writer):
        writer.write(GET_REQUEST[:-2])
        assert (await read_message(reader, response=True)).head.status == 408
        assert await reader.read() == b""

    play(scene)


@pytest.mark.parametrize(("raw", "answer"), [(b"", b""), (GET_REQUEST[:-2], b"HTTP/1.1 408 ")])
def test_a_new_connection_without_a_complete_request_is_closed_in_time(monkeypatch, raw, answer):
    """Hundreds of silent clients once held their descriptors for good."""
    monkeypatch.setattr("stalltiller.transport.listener.FIRST_REQUEST_TIMEOUT_SECONDS", 0.1)

    async def scene(world, reader, writer):
        writer.write(raw)
        assert (await reader.read()).startswith(answer)
        await world.until(lambda: len(world.app.listener) == 0)

    play(scene)


def test_a_duplicate_request_id_is_rejected_and_the_original_request_unaffected():
    async def scene(world, reader, writer):
        world.targets[0].delay = 0.1
        writer.write(GET_REQUEST)
        await world.until(lambda: world.targets[0].in_flight == 1)
        other, copier = await asyncio.open_connection("127.0.0.1", world.app.listener.address[1])
        copier.write(GET_REQUEST)
        assert (await read_message(other, response=True)).head.status == 409
        assert (await read_message(reader, response=True)).head.status == 200
        copier.write(GET_REQUEST)  # later, too
        assert (await read_message(other, response=True)).head.status == 409
        assert len(world.targets[0].ran) == 1
        copier.transport.abort()

    play(scene)


def test_request_ids_expire():
    ids = RecentRequestIds(2.0)
    assert [ids.claim(now, "a") for now in (10.0, 11.9, 13.0, 15.1)] == [True, False, False, True]
    assert len(ids._current) + len(ids._previous) == 1


def test_an_oversized_body_gets_a_readable_413_and_takes_no_memory():
    async def scene(world, reader, writer):
        writer.write(b"PUT /write/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 60000000\r\n\r\n")
        for _ in range(500):
            writer.write(bytes(16000))
            await writer.drain()
        assert (await read_message(reader, response=True)).head.status == 413
        assert len(world.app.buffers._free) < 5

    play(scene)


def test_healthz_reports_readiness():
    async def scene(world, reader, writer):
        writer.write(b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
        assert (await read_message(reader, response=True)).head.status == 200

    play(scene)


def test_path_id_and_body_reach_the_target_unchanged_with_the_remaining_timeout():
    async def scene(world, reader, writer):
        received = []
        target = world.targets[0]

        async def serve(stream, out):
            received.append(await read_message(stream))
            out.write(http.encode_response(200, b"done"))

        target.serve = serve
        writer.write(
            http.encode_request("PUT", "/write/a/2f?q=1", {**VALID_FIELDS, "X-Request-ID": "x-7"}, b"body")
        )
        answer = await read_message(reader, response=True)
        assert (answer.head.status, bytes(answer.body)) == (200, b"done")
        (message,) = received
        assert (message.head.method, message.head.target, bytes(message.body)) == (
            "PUT",
            "/write/a/2f?q=1",
            b"body",
        )
        assert message.head.fields["x-request-id"] == "x-7"
        assert 0 < float(message.head.fields["x-timeout"]) < DEADLINE

    play(scene)


def test_a_write_lost_on_a_stale_keep_alive_connection_is_not_resent():
    """A target that closes a keep-alive connection on a write may have executed it: no retry."""

    async def scene(world, reader, writer):
        target = world.targets[0]
        writer.write(GET_REQUEST)
        assert (await read_message(reader, response=True)).head.status == 200
        target.mode = "break"
        writer.write(http.encode_request("PUT", "/write/9", {**VALID_FIELDS, "X-Request-ID": "w"}, b"x"))
        assert (await read_message(reader, response=True)).head.status == 504
        assert [tag for _, tag in target.begun] == [1, 9]

    play(scene)


@pytest.mark.parametrize(
    "answer",
    [
        b"what?\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * 4000,
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
    ],
)
def test_a_malformed_response_of_a_target_is_logged_and_the_write_fails(answer):
    async def scene(world, reader, writer):
        async def serve(stream, out):
            await read_message(stream)
            out.write(answer)
            await asyncio.sleep(10)

        world.targets[0].serve = serve
        writer.write(http.encode_request("PUT", "/write/9", VALID_FIELDS, b"x"))
        assert (await read_message(reader, response=True)).head.status == 504
        assert any(line["event"] == "bad_response" for line in world.logged)

    play(scene)


def test_the_discovery_watch_has_no_gap_and_malformed_answers_are_counted():
    async def scene(world, reader, writer):
        calls = world.discovery.calls
        await world.until(lambda: len(calls) == 2)
        for n in (3, 4, 5):
            world.discovery.set(world.targets[0])
            await world.until(lambda n=n: len(calls) == n)
        assert all("after=" in path for path in calls[1:])
        assert len(world.discovery.writers) == 1 and world.app.engine.counts["watch_failures"] == 0
        world.discovery.malformed_bodies = [b"[]", b"{"]
        world.discovery.set(world.targets[0])
        await world.until(lambda: world.app.engine.counts["watch_failures"] == 2)
        await world.until(lambda: world.discovery.malformed_bodies == [])
        world.discovery.set(world.targets[0], "left")
        await world.until(
            lambda: any(line["event"] == "list" and line["targets"]["s-0"] == "gone" for line in world.logged)
        )

    play(scene)


def test_an_unresponsive_discovery_is_polled_again_while_the_cached_list_serves(monkeypatch):
    monkeypatch.setattr(
        "stalltiller.daemon.discovery_watch.BackoffPollPolicy",
        lambda: BackoffPollPolicy(poll_wait=0.1, response_timeout=0.1),
    )

    async def scene(world, reader, writer):
        world.discovery.silent = True
        await world.until(lambda: world.app.engine.counts["watch_failures"] >= 2)
        writer.write(GET_REQUEST)
        assert (await read_message(reader, response=True)).head.status == 200
        world.discovery.set(world.targets[0], "left")
        world.discovery.silent = False
        await world.until(
            lambda: any(
                line["event"] == "list" and line["targets"].get("s-0") == "gone" for line in world.logged
            )
        )

    play(scene)


def test_connections_over_the_limit_are_shed_and_service_continues():
    async def scene(world, reader, writer):
        world.app.listener._max_connections = 4
        idle = [await asyncio.open_connection("127.0.0.1", world.app.listener.address[1]) for _ in range(8)]
        await world.until(lambda: world.app.listener.shed_count >= 4)
        await world.until(lambda: len(world.app.listener) <= 4)
        reader, writer = idle[-1]
        writer.write(GET_REQUEST)
        assert (await read_message(reader, response=True)).head.status == 200
        for _, other in idle:
            other.transport.abort()

    play(scene)


@pytest.mark.parametrize(
    ("limit", "usual"), [("IDLE_TIMEOUT_SECONDS", 9), ("CROWDED_IDLE_TIMEOUT_SECONDS", 1)]
)
def test_idle_connections_are_closed_sooner_above_the_usual_number(monkeypatch, limit, usual):
    """Clients that sent one request and stayed once held every connection, and others could not connect."""
    monkeypatch.setattr(f"stalltiller.transport.listener.{limit}", 0.05)

    async def scene(world, reader, writer):
        world.app.listener._usual_connections = usual
        world.targets[0].delay = 0.3
        other, busy_writer = await asyncio.open_connection("127.0.0.1", world.app.listener.address[1])
        busy_writer.write(GET_REQUEST)
        writer.write(b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
        assert (await read_message(reader, response=True)).head.keeps_alive()
        assert await reader.read() == b""
        assert (await read_message(other, response=True)).head.status == 200  # it was not idle
        busy_writer.transport.abort()

    play(scene)


def test_after_sigterm_open_connections_are_served_until_every_request_is_answered(monkeypatch):
    """Closing at once would leave the clients without their one initiator until its next start."""
    monkeypatch.setattr("stalltiller.daemon.graceful_shutdown.KEEP_LISTENING_SECONDS", 0.05)
    monkeypatch.setattr("stalltiller.daemon.graceful_shutdown.CLOSING_SECONDS", 0.1)
    monkeypatch.setattr("stalltiller.transport.listener.IDLE_TIMEOUT_SECONDS", 0.01)
    monkeypatch.setattr("stalltiller.transport.listener.SWEEP_INTERVAL_SECONDS", 0.01)

    request = http.encode_request("GET", "/read/1", {**VALID_FIELDS, "X-Timeout": "2.0"}, b"")

    async def scene(world, reader, writer):
        world.targets[0].delay = 0.1
        writer.write(request)
        await world.until(lambda: world.targets[0].in_flight == 1)
        world.app.stop.set()
        for number in (b"id2", b"id3"):
            answer = await read_message(reader, response=True)
            assert answer.head.status == 200 and answer.head.keeps_alive()
            await asyncio.sleep(0.2)
            writer.write(request.replace(b"id1", number))
            world.targets[0].mode = {b"id2": "serve", b"id3": "silent"}[number]
        await asyncio.wait_for(asyncio.shield(world.running), 10)
        assert world.app.engine.open_request_count == 0
        answer = await read_message(reader, response=True)
        assert answer.head.status in (503, 504) and not answer.head.keeps_alive()

    play(scene, classes=(request_class(name="read", latency_objective=5.0, deadline=2.0),))


@pytest.mark.parametrize("limit", [0.0, 9.0])
def test_silent_connections_are_shed_before_idle_ones_and_those_before_new_ones(monkeypatch, limit):
    monkeypatch.setattr("stalltiller.transport.listener.FIRST_BYTE_TIMEOUT_SECONDS", limit)

    async def scene(world, reader, writer):
        writer.write(GET_REQUEST)
        assert (await read_message(reader, response=True)).head.status == 200
        world.app.listener._max_connections = 4
        others = [
            await asyncio.open_connection("127.0.0.1", world.app.listener.address[1]) for _ in range(20)
        ]
        await world.until(lambda: world.app.listener.shed_count >= 17 and len(world.app.listener) <= 4)
        if limit:
            assert await reader.read() == b""
            reader, writer = others[-1]
        writer.write(GET_REQUEST.replace(b"id1", b"id2"))
        assert (await read_message(reader, response=True)).head.status == 200
        for _, other in others:
            other.transport.abort()

    play(scene)


def test_channels_to_targets_are_limited_and_idle_ones_are_evicted():
    async def scene(world, reader, writer):
        world.app.target_client.pool._max_channels = 2
        world.targets[0].delay = 0.05
        answers = await asyncio.gather(*(world.read(tag, 0) for tag in range(1, 6)))
        assert [answer.end for answer in answers] == ["served"] * 5
        assert (await world.read(7, 1)).end == "served"
        await world.until(lambda: len(world.targets[0].writers) + len(world.targets[1].writers) <= 2)

    play(scene)


def test_old_idle_connections_are_not_reused_when_targets_drop_them():
    """A write on each of them is possibly executed and fails, though the target is healthy."""

    async def scene(world, reader, writer):
        pool, job = world.app.target_client.pool, SimpleNamespace(channel_idle_time=0.2)
        pool._avoided_idle_range = 0.0, 0.0  # the reuse delay is tested in test_races.py
        assert (await world.read()).end == "served"
        await asyncio.sleep(0.12)
        assert (await world.read()).end == "served" and pool.opened_count == 1
        for lost in (True, False, True, True):
            pool.record_use(job, lost)
        await asyncio.sleep(0.12)
        assert (await world.read()).end == "served" and pool.opened_count == 2
        assert (await world.read()).end == "served" and pool.opened_count == 2  # a fresh one is reused
        pool._fresh_only_until = 0.0
        for lost in (True, False, True, True):  # where fresh ones are lost as often, age is not the cause
            pool.record_use(SimpleNamespace(channel_idle_time=0.01), lost)
            pool.record_use(job, lost)
        assert pool._fresh_only_until == 0.0

    play(scene)


def test_a_stalled_response_is_aborted_and_the_read_retried():
    async def scene(world, reader, writer):
        target, serve, answers = world.targets[0], world.targets[0].serve, []

        async def stop_short(stream, out):
            await read_message(stream)
            out.write(http.encode_response(200, b"whole")[:-2])
            answers.append(out)
            target.serve = serve
            await asyncio.sleep(10)

        target.serve = stop_short
        writer.write(GET_REQUEST)
        assert (await read_message(reader, response=True)).head.status == 200
        assert len(answers) == 1 and len(target.ran) == 1

    play(scene)


def test_incomplete_requests_do_not_displace_a_client_that_writes_slowly(monkeypatch):
    monkeypatch.setattr("stalltiller.transport.listener.FIRST_BYTE_TIMEOUT_SECONDS", 0.02)

    async def scene(world, reader, writer):
        async def slowly():
            for at in range(0, len(GET_REQUEST), 20):
                writer.write(GET_REQUEST[at : at + 20])
                await asyncio.sleep(0.05)
            return await read_message(reader, response=True)

        address = world.app.listener.address
        world.app.listener._max_connections = 8
        slow_request = asyncio.create_task(slowly())
        others = []
        while not slow_request.done():
            other, half = await asyncio.open_connection(*address)
            half.write(GET_REQUEST[:30])
            others.append(half)
            await asyncio.sleep(0.02)
        assert slow_request.result().head.status == 200
        assert world.app.listener.shed_count > 4 and len(world.app.listener._sending_first_request) <= 8
        for half in others:
            half.transport.abort()
        await world.until(lambda: not world.app.listener._sending_first_request)

    play(scene)


def test_unread_responses_are_limited_by_a_memory_budget():
    async def scene(world, reader, writer):
        async def serve(stream, out):
            while True:
                await read_message(stream)
                out.write(http.encode_response(200, bytes(1_000_000)))

        world.targets[0].serve = serve
        world.app.server.unread_response_budget._max_bytes = 100_000
        client, unread_writer = await asyncio.open_connection("127.0.0.1", world.app.listener.address[1])
        await world.until(lambda: len(world.app.listener) == 2)
        for ours in world.app.listener._awaiting_first_request:
            ours.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        unread_writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        unread_writer.transport.pause_reading()
        unread_writer.write(GET_REQUEST)
        await world.until(lambda: world.app.engine.counts["served"] == 1)
        await world.until(
            lambda: len(world.app.listener) <= 1 and world.app.server.unread_response_budget.reserved == 0
        )
        unread_writer.transport.abort()

    play(scene)


def test_a_target_connection_with_unsolicited_bytes_is_not_reused():
    """A second copy of a response, not received by the loop yet, would be passed on as the next response."""

    async def scene(world, reader, writer):
        writer.write(GET_REQUEST)
        assert (await read_message(reader, response=True)).head.status == 200
        ((_, channel),) = next(iter(world.app.target_client.pool._idle.values()))
        (stale,) = world.targets[0].writers
        assert channel.is_clean()
        stale.write(http.encode_response(200, b"a copy"))  # sent at once; the loop has not run since
        assert not channel.is_clean()
        writer.write(GET_REQUEST.replace(b"id1", b"id2"))
        assert bytes((await read_message(reader, response=True)).body) != b"a copy"

    play(scene)


def test_idle_target_connections_are_closed_before_the_targets_own_timeout():
    async def scene(world, reader, writer):
        world.app.target_client.pool._idle_timeout = 0.2
        writer.write(GET_REQUEST)
        assert (await read_message(reader, response=True)).head.status == 200
        assert len(world.targets[0].writers) == 1
        await world.until(lambda: not world.targets[0].writers, 2.0)

    play(scene)
