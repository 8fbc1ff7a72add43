"""What is particular to the platform's wire, on real sockets."""

from __future__ import annotations

import asyncio
import socket
from types import SimpleNamespace

import pytest

from stalltiller.adapters.http_server import RecentIds
from stalltiller.protocol import http
from stalltiller.transport.watch import BackoffPollPolicy
from tests.helpers import request_class
from tests.stand_ins import DEADLINE, VOLUME, World, read_message

GOOD = {
    "Host": "h",
    "X-Request-ID": "id1",
    "Tier": "plan",
    "X-Timeout": str(DEADLINE),
    "IO-Info": f"volume={VOLUME:x},units=1,shard=0,hosts=1",
}
GET = http.encode_request("GET", "/read/1", GOOD, b"")


def play(scene, **changes):
    async def whole():
        async with World("http", **changes) as world:
            reader, writer = await asyncio.open_connection("127.0.0.1", world.app.listener.address[1])
            await asyncio.wait_for(scene(world, reader, writer), 20)
            writer.transport.abort()
            assert world.faults() == []

    asyncio.run(whole())


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


def test_a_wrong_field_gets_400_and_the_connection_stays():
    async def scene(world, reader, writer):
        writer.write(http.encode_request("GET", "/read/1", {**GOOD, "Tier": "tin"}, b""))
        assert (await read_message(reader, response=True)).head.status == 400
        assert world.app.engine.counts["taken"] == 0
        writer.write(GET)
        assert (await read_message(reader, response=True)).head.status == 200

    play(scene)


def test_requests_on_one_connection_are_served_in_turn_also_when_sent_ahead():
    async def scene(world, reader, writer):
        writer.write(b"".join(GET.replace(b"id1", b"id%d" % i) for i in range(3)))
        answers = b""
        while answers.count(b"HTTP/1.1 200 OK") < 3:
            answers += await reader.read(65536)
        assert world.targets[0].most_out == 1

    play(scene)


def test_a_client_that_expects_it_is_told_to_go_on():
    async def scene(world, reader, writer):
        raw = http.encode_request("PUT", "/write/9", {**GOOD, "Expect": "100-continue"}, b"lunch")
        writer.write(raw[:-5])
        assert await reader.readuntil(b"\r\n\r\n") == http.CONTINUE
        writer.write(raw[-5:])
        assert (await read_message(reader, response=True)).head.status == 200
        assert world.targets[0].ran == [(9, b"lunch")]

    play(scene)


def test_a_request_that_is_begun_and_not_ended_is_given_up(monkeypatch):
    monkeypatch.setattr("stalltiller.adapters.http_server.STALL_LIMIT", 0.05)

    async def scene(world, reader, writer):
        writer.write(GET[:-2])
        assert (await read_message(reader, response=True)).head.status == 408
        assert await reader.read() == b""

    play(scene)


@pytest.mark.parametrize(("raw", "answer"), [(b"", b""), (GET[:-2], b"HTTP/1.1 408 ")])
def test_a_new_connection_without_a_whole_request_is_ended_in_time(monkeypatch, raw, answer):
    """Silent clients by hundreds held their descriptors for good."""
    monkeypatch.setattr("stalltiller.transport.listener.HELLO_LIMIT", 0.1)

    async def scene(world, reader, writer):
        writer.write(raw)
        assert (await reader.read()).startswith(answer)
        await world.until(lambda: len(world.app.listener) == 0)

    play(scene)


def test_a_copied_id_is_refused_and_leaves_the_other_s_request_alone():
    async def scene(world, reader, writer):
        world.targets[0].delay = 0.1
        writer.write(GET)
        await world.until(lambda: world.targets[0].out == 1)
        other, copier = await asyncio.open_connection("127.0.0.1", world.app.listener.address[1])
        copier.write(GET)
        assert (await read_message(other, response=True)).head.status == 409
        assert (await read_message(reader, response=True)).head.status == 200
        copier.write(GET)  # later, too
        assert (await read_message(other, response=True)).head.status == 409
        assert len(world.targets[0].ran) == 1
        copier.transport.abort()

    play(scene)


def test_ids_are_forgotten_in_time():
    ids = RecentIds(2.0)
    assert [ids.claim(now, "a") for now in (10.0, 11.9, 13.0, 15.1)] == [True, False, False, True]
    assert len(ids._new) + len(ids._old) == 1


def test_the_error_for_a_huge_body_can_be_read_and_the_body_takes_no_memory():
    async def scene(world, reader, writer):
        writer.write(b"PUT /write/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 60000000\r\n\r\n")
        for _ in range(500):
            writer.write(bytes(16000))
            await writer.drain()
        assert (await read_message(reader, response=True)).head.status == 413
        assert len(world.app.buffers._free) < 5

    play(scene)


def test_healthz_tells_that_it_is_ready():
    async def scene(world, reader, writer):
        writer.write(b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
        assert (await read_message(reader, response=True)).head.status == 200

    play(scene)


def test_the_target_gets_path_id_and_body_unchanged_and_how_long_we_wait():
    async def scene(world, reader, writer):
        seen = []
        target = world.targets[0]

        async def serve(stream, out):
            seen.append(await read_message(stream))
            out.write(http.encode_response(200, b"done"))

        target.serve = serve
        writer.write(http.encode_request("PUT", "/write/a/2f?q=1", {**GOOD, "X-Request-ID": "x-7"}, b"body"))
        answer = await read_message(reader, response=True)
        assert (answer.head.status, bytes(answer.body)) == (200, b"done")
        (message,) = seen
        assert (message.head.method, message.head.target, bytes(message.body)) == (
            "PUT",
            "/write/a/2f?q=1",
            b"body",
        )
        assert message.head.fields["x-request-id"] == "x-7"
        assert 0 < float(message.head.fields["x-timeout"]) < DEADLINE

    play(scene)


def test_a_stale_kept_connection_is_no_hidden_resend():
    """A target that closes a kept connection on a write may have run it: failed, not sent once more."""

    async def scene(world, reader, writer):
        target = world.targets[0]
        writer.write(GET)
        assert (await read_message(reader, response=True)).head.status == 200
        target.mode = "break"
        writer.write(http.encode_request("PUT", "/write/9", {**GOOD, "X-Request-ID": "w"}, b"x"))
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
def test_a_bad_answer_of_a_target_is_an_event_and_the_write_failed(answer):
    async def scene(world, reader, writer):
        async def serve(stream, out):
            await read_message(stream)
            out.write(answer)
            await asyncio.sleep(10)

        world.targets[0].serve = serve
        writer.write(http.encode_request("PUT", "/write/9", GOOD, b"x"))
        assert (await read_message(reader, response=True)).head.status == 504
        assert any(line["event"] == "bad_answer" for line in world.logged)

    play(scene)


def test_discovery_is_watched_without_a_gap_and_bad_answers_are_events():
    async def scene(world, reader, writer):
        calls = world.discovery.calls
        await world.until(lambda: len(calls) == 2)
        for n in (3, 4, 5):
            world.discovery.set(world.targets[0])
            await world.until(lambda n=n: len(calls) == n)
        assert all("after=" in path for path in calls[1:])
        assert len(world.discovery.writers) == 1 and world.app.engine.counts["watch_failures"] == 0
        world.discovery.spoil = [b"[]", b"{"]
        world.discovery.set(world.targets[0])
        await world.until(lambda: world.app.engine.counts["watch_failures"] == 2)
        await world.until(lambda: world.discovery.spoil == [])
        world.discovery.set(world.targets[0], "left")
        await world.until(
            lambda: any(line["event"] == "list" and line["targets"]["s-0"] == "gone" for line in world.logged)
        )

    play(scene)


def test_a_silent_discovery_is_called_anew_and_service_goes_on_with_the_last_list(monkeypatch):
    monkeypatch.setattr(
        "stalltiller.daemon.discovery_watch.BackoffPollPolicy",
        lambda: BackoffPollPolicy(poll_wait=0.1, response_timeout=0.1),
    )

    async def scene(world, reader, writer):
        world.discovery.silent = True
        await world.until(lambda: world.app.engine.counts["watch_failures"] >= 2)
        writer.write(GET)
        assert (await read_message(reader, response=True)).head.status == 200
        world.discovery.set(world.targets[0], "left")
        world.discovery.silent = False
        await world.until(
            lambda: any(
                line["event"] == "list" and line["targets"].get("s-0") == "gone" for line in world.logged
            )
        )

    play(scene)


def test_over_its_number_of_connections_it_sheds_and_serves_on():
    async def scene(world, reader, writer):
        world.app.listener._most = 4
        idle = [await asyncio.open_connection("127.0.0.1", world.app.listener.address[1]) for _ in range(8)]
        await world.until(lambda: world.app.listener.shed_count >= 4)
        await world.until(lambda: len(world.app.listener) <= 4)
        reader, writer = idle[-1]
        writer.write(GET)
        assert (await read_message(reader, response=True)).head.status == 200
        for _, other in idle:
            other.transport.abort()

    play(scene)


@pytest.mark.parametrize(("limit", "usual"), [("IDLE_LIMIT", 9), ("CROWDED_LIMIT", 1)])
def test_idle_connections_are_closed_and_sooner_in_a_crowd(monkeypatch, limit, usual):
    """Clients that asked once and stayed held every place, and the others had none left to ask by."""
    monkeypatch.setattr(f"stalltiller.transport.listener.{limit}", 0.05)

    async def scene(world, reader, writer):
        world.app.listener._usual = usual
        world.targets[0].delay = 0.3
        other, asking = await asyncio.open_connection("127.0.0.1", world.app.listener.address[1])
        asking.write(GET)
        writer.write(b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
        assert (await read_message(reader, response=True)).head.keeps_alive()
        assert await reader.read() == b""
        assert (await read_message(other, response=True)).head.status == 200  # it was not idle
        asking.transport.abort()

    play(scene)


def test_after_sigterm_open_connections_are_served_on_and_in_the_end_all_is_answered(monkeypatch):
    """Closing at once left the clients without their one initiator until its next start."""
    monkeypatch.setattr("stalltiller.daemon.graceful_shutdown.KEEP_LISTENING_SECONDS", 0.05)
    monkeypatch.setattr("stalltiller.daemon.graceful_shutdown.CLOSING_SECONDS", 0.1)
    monkeypatch.setattr("stalltiller.transport.listener.IDLE_LIMIT", 0.01)
    monkeypatch.setattr("stalltiller.transport.listener.SWEEP_EVERY", 0.01)

    request = http.encode_request("GET", "/read/1", {**GOOD, "X-Timeout": "2.0"}, b"")

    async def scene(world, reader, writer):
        world.targets[0].delay = 0.1
        writer.write(request)
        await world.until(lambda: world.targets[0].out == 1)
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
def test_silent_connections_make_room_before_idle_ones_and_those_before_new_ones(monkeypatch, limit):
    monkeypatch.setattr("stalltiller.transport.listener.SPEAK_LIMIT", limit)

    async def scene(world, reader, writer):
        writer.write(GET)
        assert (await read_message(reader, response=True)).head.status == 200
        world.app.listener._most = 4
        crowd = [await asyncio.open_connection("127.0.0.1", world.app.listener.address[1]) for _ in range(20)]
        await world.until(lambda: world.app.listener.shed_count >= 17 and len(world.app.listener) <= 4)
        if limit:
            assert await reader.read() == b""
            reader, writer = crowd[-1]
        writer.write(GET.replace(b"id1", b"id2"))
        assert (await read_message(reader, response=True)).head.status == 200
        for _, other in crowd:
            other.transport.abort()

    play(scene)


def test_channels_to_targets_are_held_to_a_number_and_an_idle_one_makes_room():
    async def scene(world, reader, writer):
        world.app.target_client.pool._most = 2
        world.targets[0].delay = 0.05
        answers = await asyncio.gather(*(world.read(tag, 0) for tag in range(1, 6)))
        assert [answer.end for answer in answers] == ["served"] * 5
        assert (await world.read(7, 1)).end == "served"
        await world.until(lambda: len(world.targets[0].writers) + len(world.targets[1].writers) <= 2)

    play(scene)


def test_idle_connections_that_targets_forget_are_no_longer_used():
    """A write on each of them is an attempt that may have run: failed, with nothing wrong at the target."""

    async def scene(world, reader, writer):
        pool, job = world.app.target_client.pool, SimpleNamespace(channel_idle_time=0.2)
        pool._rest = 0.0, 0.0  # the rest after an answer is another matter (test_races.py)
        assert (await world.read()).end == "served"
        await asyncio.sleep(0.12)
        assert (await world.read()).end == "served" and pool.opened_count == 1
        for lost in (True, False, True, True):
            pool.record_use(job, lost)
        await asyncio.sleep(0.12)
        assert (await world.read()).end == "served" and pool.opened_count == 2
        assert (await world.read()).end == "served" and pool.opened_count == 2  # a fresh one is used again
        pool._wary_until = 0.0
        for lost in (True, False, True, True):  # where fresh ones are lost as often, age is not the cause
            pool.record_use(SimpleNamespace(channel_idle_time=0.01), lost)
            pool.record_use(job, lost)
        assert pool._wary_until == 0.0

    play(scene)


def test_an_answer_that_stops_short_is_given_up_soon_and_a_read_sent_again():
    async def scene(world, reader, writer):
        target, serve, answers = world.targets[0], world.targets[0].serve, []

        async def stop_short(stream, out):
            await read_message(stream)
            out.write(http.encode_response(200, b"whole")[:-2])
            answers.append(out)
            target.serve = serve
            await asyncio.sleep(10)

        target.serve = stop_short
        writer.write(GET)
        assert (await read_message(reader, response=True)).head.status == 200
        assert len(answers) == 1 and len(target.ran) == 1

    play(scene)


def test_a_crowd_that_never_ends_its_requests_does_not_push_out_one_that_writes_slowly(monkeypatch):
    monkeypatch.setattr("stalltiller.transport.listener.SPEAK_LIMIT", 0.02)

    async def scene(world, reader, writer):
        async def slowly():
            for at in range(0, len(GET), 20):
                writer.write(GET[at : at + 20])
                await asyncio.sleep(0.05)
            return await read_message(reader, response=True)

        address = world.app.listener.address
        world.app.listener._most = 8
        asking, crowd = asyncio.create_task(slowly()), []
        while not asking.done():
            other, half = await asyncio.open_connection(*address)
            half.write(GET[:30])
            crowd.append(half)
            await asyncio.sleep(0.02)
        assert asking.result().head.status == 200
        assert world.app.listener.shed_count > 4 and len(world.app.listener._spoke) <= 8
        for half in crowd:
            half.transport.abort()
        await world.until(lambda: not world.app.listener._spoke)

    play(scene)


def test_answers_that_clients_do_not_read_are_held_to_an_allowance():
    async def scene(world, reader, writer):
        async def serve(stream, out):
            while True:
                await read_message(stream)
                out.write(http.encode_response(200, bytes(1_000_000)))

        world.targets[0].serve = serve
        world.app.server.unread._most = 100_000
        client, asking = await asyncio.open_connection("127.0.0.1", world.app.listener.address[1])
        await world.until(lambda: len(world.app.listener) == 2)
        for ours in world.app.listener._strangers:
            ours.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        asking.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        asking.transport.pause_reading()
        asking.write(GET)
        await world.until(lambda: world.app.engine.counts["served"] == 1)
        await world.until(lambda: len(world.app.listener) <= 1 and world.app.server.unread.reserved == 0)
        asking.transport.abort()

    play(scene)


def test_a_connection_with_bytes_that_nobody_asked_for_is_not_used_again():
    """A second copy of an answer, not seen by the loop yet, would be passed on as the next one's."""

    async def scene(world, reader, writer):
        writer.write(GET)
        assert (await read_message(reader, response=True)).head.status == 200
        ((_, channel),) = next(iter(world.app.target_client.pool._idle.values()))
        (stale,) = world.targets[0].writers
        assert channel.is_clean()
        stale.write(http.encode_response(200, b"a copy"))  # goes out at once, the loop has not run since
        assert not channel.is_clean()
        writer.write(GET.replace(b"id1", b"id2"))
        assert bytes((await read_message(reader, response=True)).body) != b"a copy"

    play(scene)


def test_idle_target_connections_are_closed_before_the_target_does():
    async def scene(world, reader, writer):
        world.app.target_client.pool._idle_limit = 0.2
        writer.write(GET)
        assert (await read_message(reader, response=True)).head.status == 200
        assert len(world.targets[0].writers) == 1
        await world.until(lambda: not world.targets[0].writers, 2.0)

    play(scene)
