"""Behaviour specific to the HTTP server and the HTTP target client, on real sockets."""

from __future__ import annotations

import asyncio
import socket
import time
from types import SimpleNamespace

import pytest

from stalltiller.adapters.http_payload import SMALL_BODY_BYTES
from stalltiller.adapters.recent_request_ids import RecentRequestIds
from stalltiller.protocol import http
from stalltiller.transport.watch import BackoffPollPolicy
from tests.helpers import request_class
from tests.stand_ins import DEADLINE_SECONDS, VOLUME, InitiatorHarness, read_message

VALID_FIELDS = {
    "Host": "h",
    "X-Request-ID": "id1",
    "Tier": "plan",
    "X-Timeout": str(DEADLINE_SECONDS),
    "IO-Info": f"volume={VOLUME:x},units=1,shard=0,hosts=1",
}
GET_REQUEST = http.encode_request("GET", "/read/1", VALID_FIELDS, b"")


def run_scenario(scenario, **changes):
    async def run():
        async with InitiatorHarness("http", **changes) as harness:
            reader, writer = await asyncio.open_connection("127.0.0.1", harness.app.listener.address[1])
            await asyncio.wait_for(scenario(harness, reader, writer), 20)
            writer.transport.abort()
            assert harness.faults() == []

    asyncio.run(run())


@pytest.mark.parametrize(
    ("encoded_request", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /read/1 HTTP/1.1\r\nHost: h\r\n" + b"a: b\r\n" * 4000 + b"\r\n", 431),
        (b"PUT /write/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 33554433\r\n\r\n", 413),
    ],
    ids=["line", "head", "body"],
)
def test_malformed_input_gets_an_error_status_and_the_connection_is_closed(encoded_request, status):
    async def scenario(harness, reader, writer):
        writer.write(encoded_request)
        response = await read_message(reader, response=True)
        assert response.head.status == status and not response.head.keeps_alive()
        assert await reader.read() == b""
        assert harness.app.engine.counts["taken"] == 0

    run_scenario(scenario)


def test_an_invalid_field_gets_400_and_the_connection_stays_open():
    async def scenario(harness, reader, writer):
        writer.write(http.encode_request("GET", "/read/1", {**VALID_FIELDS, "Tier": "tin"}, b""))
        assert (await read_message(reader, response=True)).head.status == 400
        assert harness.app.engine.counts["taken"] == 0
        writer.write(GET_REQUEST)
        assert (await read_message(reader, response=True)).head.status == 200

    run_scenario(scenario)


def test_pipelined_requests_are_served_one_at_a_time():
    async def scenario(harness, reader, writer):
        writer.write(b"".join(GET_REQUEST.replace(b"id1", b"id%d" % i) for i in range(3)))
        responses = b""
        while responses.count(b"HTTP/1.1 200 OK") < 3:
            responses += await reader.read(65536)
        assert harness.targets[0].max_in_flight == 1

    run_scenario(scenario)


def test_100_continue_is_sent_before_the_body_arrives():
    async def scenario(harness, reader, writer):
        encoded_request = http.encode_request(
            "PUT", "/write/9", {**VALID_FIELDS, "Expect": "100-continue"}, b"lunch"
        )
        writer.write(encoded_request[:-5])
        assert await reader.readuntil(b"\r\n\r\n") == http.CONTINUE
        writer.write(encoded_request[-5:])
        assert (await read_message(reader, response=True)).head.status == 200
        assert harness.targets[0].executed == [(9, b"lunch")]

    run_scenario(scenario)


def test_an_incomplete_request_times_out_with_408(monkeypatch):
    monkeypatch.setattr("stalltiller.adapters.http_client_connection.REQUEST_IDLE_LIMIT_SECONDS", 0.05)

    async def scenario(harness, reader, writer):
        writer.write(GET_REQUEST[:-2])
        assert (await read_message(reader, response=True)).head.status == 408
        assert await reader.read() == b""

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("encoded_request", "expected_start"), [(b"", b""), (GET_REQUEST[:-2], b"HTTP/1.1 408 ")]
)
def test_a_new_connection_without_a_complete_request_times_out(monkeypatch, encoded_request, expected_start):
    """Guards against silent clients that hold file descriptors forever, as hundreds of them did."""
    monkeypatch.setattr("stalltiller.transport.listener.FIRST_REQUEST_TIMEOUT_SECONDS", 0.1)
    monkeypatch.setattr("stalltiller.adapters.http_client_connection.REQUEST_IDLE_LIMIT_SECONDS", 0.1)

    async def scenario(harness, reader, writer):
        writer.write(encoded_request)
        assert (await reader.read()).startswith(expected_start)
        await harness.wait_until(lambda: len(harness.app.listener) == 0)

    run_scenario(scenario)


def test_a_duplicate_request_id_is_rejected_and_the_original_request_unaffected():
    async def scenario(harness, reader, writer):
        harness.targets[0].delay = 0.1
        writer.write(GET_REQUEST)
        await harness.wait_until(lambda: harness.targets[0].in_flight == 1)
        duplicate_reader, duplicate_writer = await asyncio.open_connection(
            "127.0.0.1", harness.app.listener.address[1]
        )
        duplicate_writer.write(GET_REQUEST)
        assert (await read_message(duplicate_reader, response=True)).head.status == 409
        assert (await read_message(reader, response=True)).head.status == 200
        duplicate_writer.write(GET_REQUEST)  # also after the original request has finished
        assert (await read_message(duplicate_reader, response=True)).head.status == 409
        assert len(harness.targets[0].executed) == 1
        duplicate_writer.transport.abort()

    run_scenario(scenario)


def test_request_ids_expire():
    ids = RecentRequestIds(2.0)
    assert ids.claim(10.0, "a")
    ids.release("a")  # its exchange has ended
    assert [ids.claim(now, "a") for now in (11.9, 13.0, 15.1)] == [False, False, True]
    assert len(ids._current) + len(ids._previous) == 1


def test_an_oversized_body_gets_a_readable_413_and_takes_no_memory():
    async def scenario(harness, reader, writer):
        writer.write(b"PUT /write/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 60000000\r\n\r\n")
        for _ in range(500):
            writer.write(bytes(16000))
            await writer.drain()
        assert (await read_message(reader, response=True)).head.status == 413
        assert len(harness.app.buffers._free) < 5

    run_scenario(scenario)


def test_healthz_reports_readiness():
    async def scenario(harness, reader, writer):
        writer.write(b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
        assert (await read_message(reader, response=True)).head.status == 200

    run_scenario(scenario)


def test_path_id_and_body_reach_the_target_unchanged_with_the_remaining_timeout():
    async def scenario(harness, reader, writer):
        received = []
        target = harness.targets[0]

        async def serve(stream, target_writer):
            received.append(await read_message(stream))
            target_writer.write(http.encode_response(200, b"done"))

        target.serve = serve
        writer.write(
            http.encode_request("PUT", "/write/a/2f?q=1", {**VALID_FIELDS, "X-Request-ID": "x-7"}, b"body")
        )
        response = await read_message(reader, response=True)
        assert (response.head.status, bytes(response.body)) == (200, b"done")
        (message,) = received
        assert (message.head.method, message.head.target, bytes(message.body)) == (
            "PUT",
            "/write/a/2f?q=1",
            b"body",
        )
        assert message.head.fields["x-request-id"] == "x-7"
        assert 0 < float(message.head.fields["x-timeout"]) < DEADLINE_SECONDS

    run_scenario(scenario)


def test_a_write_lost_on_a_stale_keep_alive_connection_is_not_resent():
    """A target that closes a keep-alive connection during a write may have executed it: no retry."""

    async def scenario(harness, reader, writer):
        target = harness.targets[0]
        writer.write(GET_REQUEST)
        assert (await read_message(reader, response=True)).head.status == 200
        target.mode = "break"
        writer.write(http.encode_request("PUT", "/write/9", {**VALID_FIELDS, "X-Request-ID": "w"}, b"x"))
        assert (await read_message(reader, response=True)).head.status == 504
        assert [tag for _, tag in target.received] == [1, 9]

    run_scenario(scenario)


@pytest.mark.parametrize(
    "response",
    [
        b"what?\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * 4000,
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
    ],
)
def test_a_malformed_response_of_a_target_is_logged_and_the_write_fails(response):
    async def scenario(harness, reader, writer):
        async def serve(stream, target_writer):
            await read_message(stream)
            target_writer.write(response)
            await asyncio.sleep(10)

        harness.targets[0].serve = serve
        writer.write(http.encode_request("PUT", "/write/9", VALID_FIELDS, b"x"))
        assert (await read_message(reader, response=True)).head.status == 504
        assert any(line["event"] == "bad_response" for line in harness.logged)

    run_scenario(scenario)


def test_the_discovery_watch_polls_without_gaps_and_counts_malformed_responses():
    async def scenario(harness, reader, writer):
        calls = harness.discovery.calls
        await harness.wait_until(lambda: len(calls) == 2)
        for call_count in (3, 4, 5):
            harness.discovery.set(harness.targets[0])
            await harness.wait_until(lambda call_count=call_count: len(calls) == call_count)
        assert all("after=" in path for path in calls[1:])
        assert len(harness.discovery.writers) == 1 and harness.app.engine.counts["watch_failures"] == 0
        harness.discovery.malformed_bodies = [b"[]", b"{"]
        harness.discovery.set(harness.targets[0])
        await harness.wait_until(lambda: harness.app.engine.counts["watch_failures"] == 2)
        await harness.wait_until(lambda: harness.discovery.malformed_bodies == [])
        harness.discovery.set(harness.targets[0], "left")
        await harness.wait_until(
            lambda: any(
                line["event"] == "list" and line["targets"]["s-0"] == "gone" for line in harness.logged
            )
        )

    run_scenario(scenario)


def test_an_unresponsive_discovery_is_polled_again_while_the_last_list_is_used(monkeypatch):
    monkeypatch.setattr(
        "stalltiller.daemon.discovery_watch.BackoffPollPolicy",
        lambda: BackoffPollPolicy(poll_wait=0.1, response_timeout=0.1),
    )

    async def scenario(harness, reader, writer):
        harness.discovery.silent = True
        await harness.wait_until(lambda: harness.app.engine.counts["watch_failures"] >= 2)
        writer.write(GET_REQUEST)
        assert (await read_message(reader, response=True)).head.status == 200
        harness.discovery.set(harness.targets[0], "left")
        harness.discovery.silent = False
        await harness.wait_until(
            lambda: any(
                line["event"] == "list" and line["targets"].get("s-0") == "gone" for line in harness.logged
            )
        )

    run_scenario(scenario)


def test_connections_over_the_limit_are_shed_and_service_continues():
    async def scenario(harness, reader, writer):
        harness.app.listener._max_connections = 4
        connections = [
            await asyncio.open_connection("127.0.0.1", harness.app.listener.address[1]) for _ in range(8)
        ]
        await harness.wait_until(lambda: harness.app.listener.shed_count >= 4)
        await harness.wait_until(lambda: len(harness.app.listener) <= 4)
        reader, writer = connections[-1]
        writer.write(GET_REQUEST)
        assert (await read_message(reader, response=True)).head.status == 200
        for _, idle_writer in connections:
            idle_writer.transport.abort()

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("timeout_name", "usual_connections"), [("IDLE_TIMEOUT_SECONDS", 9), ("CROWDED_IDLE_TIMEOUT_SECONDS", 1)]
)
def test_idle_connections_are_closed_sooner_above_the_usual_number(
    monkeypatch, timeout_name, usual_connections
):
    """Guards against idle clients that hold all connections, so that others cannot connect."""
    monkeypatch.setattr(f"stalltiller.transport.listener.{timeout_name}", 0.05)

    async def scenario(harness, reader, writer):
        harness.app.listener._usual_connections = usual_connections
        harness.targets[0].delay = 0.3
        busy_reader, busy_writer = await asyncio.open_connection("127.0.0.1", harness.app.listener.address[1])
        busy_writer.write(GET_REQUEST)
        writer.write(b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
        assert (await read_message(reader, response=True)).head.keeps_alive()
        assert await reader.read() == b""
        # A connection with a request in progress is not closed as idle.
        assert (await read_message(busy_reader, response=True)).head.status == 200
        busy_writer.transport.abort()

    run_scenario(scenario)


def test_after_sigterm_open_connections_are_served_until_every_request_is_finished(monkeypatch):
    """Guards against an immediate close: clients have no other initiator until this one restarts."""
    monkeypatch.setattr("stalltiller.routing.drain_schedule.KEEP_LISTENING_SECONDS", 0.05)
    monkeypatch.setattr("stalltiller.routing.drain_schedule.CLOSE_IDLE_BEFORE_END_SECONDS", 0.1)
    monkeypatch.setattr("stalltiller.transport.listener.IDLE_TIMEOUT_SECONDS", 0.01)
    monkeypatch.setattr("stalltiller.transport.listener.SWEEP_INTERVAL_SECONDS", 0.01)

    request = http.encode_request("GET", "/read/1", {**VALID_FIELDS, "X-Timeout": "2.0"}, b"")

    async def scenario(harness, reader, writer):
        harness.targets[0].delay = 0.1
        writer.write(request)
        await harness.wait_until(lambda: harness.targets[0].in_flight == 1)
        harness.app.stop.set()
        for number in (b"id2", b"id3"):
            response = await read_message(reader, response=True)
            assert response.head.status == 200 and response.head.keeps_alive()
            await asyncio.sleep(0.2)
            writer.write(request.replace(b"id1", number))
            harness.targets[0].mode = {b"id2": "serve", b"id3": "no_response"}[number]
        await asyncio.wait_for(asyncio.shield(harness.running), 10)
        assert harness.app.engine.open_request_count == 0
        response = await read_message(reader, response=True)
        assert response.head.status in (503, 504) and not response.head.keeps_alive()

    run_scenario(scenario, classes=(request_class(name="read", latency_objective=5.0, deadline=2.0),))


@pytest.mark.parametrize("first_byte_timeout", [0.0, 9.0])
def test_silent_connections_are_shed_before_idle_ones_and_idle_ones_before_new_ones(
    monkeypatch, first_byte_timeout
):
    monkeypatch.setattr("stalltiller.transport.listener.FIRST_BYTE_TIMEOUT_SECONDS", first_byte_timeout)

    async def scenario(harness, reader, writer):
        writer.write(GET_REQUEST)
        assert (await read_message(reader, response=True)).head.status == 200
        harness.app.listener._max_connections = 4
        connections = [
            await asyncio.open_connection("127.0.0.1", harness.app.listener.address[1]) for _ in range(20)
        ]
        await harness.wait_until(
            lambda: harness.app.listener.shed_count >= 17 and len(harness.app.listener) <= 4
        )
        if first_byte_timeout:
            assert await reader.read() == b""
            reader, writer = connections[-1]
        writer.write(GET_REQUEST.replace(b"id1", b"id2"))
        assert (await read_message(reader, response=True)).head.status == 200
        for _, silent_writer in connections:
            silent_writer.transport.abort()

    run_scenario(scenario)


def test_channels_to_targets_are_limited_and_idle_ones_are_evicted():
    async def scenario(harness, reader, writer):
        harness.app.target_client.pool.max_channels = 2
        harness.targets[0].delay = 0.05
        results = await asyncio.gather(*(harness.read(tag, 0) for tag in range(1, 6)))
        assert [result.outcome for result in results] == ["served"] * 5
        assert (await harness.read(7, 1)).outcome == "served"
        await harness.wait_until(
            lambda: len(harness.targets[0].writers) + len(harness.targets[1].writers) <= 2
        )

    run_scenario(scenario)


def test_old_idle_connections_are_not_reused_when_targets_drop_them():
    """Guards against writes lost on such connections: they may have been executed, so they fail."""

    async def scenario(harness, reader, writer):
        pool = harness.app.target_client.pool
        exchange = SimpleNamespace(channel_idle_time=0.2)
        assert (await harness.read()).outcome == "served"
        await asyncio.sleep(0.12)
        assert (await harness.read()).outcome == "served" and pool.opened_count == 1
        for lost in (True, False, True, True):
            pool.record_use(exchange, lost)
        await asyncio.sleep(0.12)
        assert (await harness.read()).outcome == "served" and pool.opened_count == 2
        # Fresh channels are reused.
        assert (await harness.read()).outcome == "served" and pool.opened_count == 2
        pool._fresh_only_until = 0.0
        # Fresh channels are now lost as often, so the idle time is not the cause.
        for lost in (True, False, True, True):
            pool.record_use(SimpleNamespace(channel_idle_time=0.01), lost)
            pool.record_use(exchange, lost)
        assert pool._fresh_only_until == 0.0

    run_scenario(scenario)


@pytest.mark.parametrize(("rest_after", "status"), [(0.4, 200), (10.0, 503)], ids=["slow", "stopped"])
def test_a_short_response_that_pauses_is_waited_for_to_the_clients_time(rest_after, status):
    """Guards against a response that is given up because it pauses, although it has begun and may go on."""

    async def scenario(harness, reader, writer):
        target = harness.targets[0]
        connections = []

        async def send_in_two_parts(stream, target_writer):
            await read_message(stream)
            connections.append(target_writer)
            response = http.encode_response(200, b"whole")
            target_writer.write(response[:-2])
            await asyncio.sleep(rest_after)
            target_writer.write(response[-2:])
            await asyncio.sleep(10)

        target.serve = send_in_two_parts
        started_at = time.monotonic()
        writer.write(GET_REQUEST)
        message = await read_message(reader, response=True)
        elapsed = time.monotonic() - started_at
        assert message.head.status == status and len(connections) == 1
        assert (DEADLINE_SECONDS - 0.05 if status == 503 else rest_after) <= elapsed <= DEADLINE_SECONDS + 0.1

    run_scenario(scenario)


def test_incomplete_requests_do_not_displace_a_client_that_sends_slowly(monkeypatch):
    monkeypatch.setattr("stalltiller.transport.listener.FIRST_BYTE_TIMEOUT_SECONDS", 0.02)

    async def scenario(harness, reader, writer):
        async def request_slowly():
            for at in range(0, len(GET_REQUEST), 20):
                writer.write(GET_REQUEST[at : at + 20])
                await asyncio.sleep(0.05)
            return await read_message(reader, response=True)

        address = harness.app.listener.address
        harness.app.listener._max_connections = 8
        slow_request = asyncio.create_task(request_slowly())
        incomplete_readers = []
        incomplete_writers = []
        while not slow_request.done():
            incomplete_reader, incomplete_writer = await asyncio.open_connection(*address)
            incomplete_writer.write(GET_REQUEST[:30])
            incomplete_readers.append(incomplete_reader)
            incomplete_writers.append(incomplete_writer)
            await asyncio.sleep(0.02)
        assert slow_request.result().head.status == 200
        assert harness.app.listener.shed_count > 4 and len(harness.app.listener._sending_first_request) <= 8
        # What had begun within the limit goes on, and what came later is told so at once.
        assert not any(incomplete_reader.at_eof() for incomplete_reader in incomplete_readers[:7])
        assert b"503" in await incomplete_readers[8].readline()
        for incomplete_writer in incomplete_writers:
            incomplete_writer.transport.abort()
        await harness.wait_until(lambda: not harness.app.listener._sending_first_request)

    run_scenario(scenario)


def test_unread_responses_are_limited_by_a_memory_budget():
    async def scenario(harness, reader, writer):
        async def serve(stream, target_writer):
            while True:
                await read_message(stream)
                target_writer.write(http.encode_response(200, bytes(SMALL_BODY_BYTES)))

        harness.targets[0].serve = serve
        harness.app.server.unread_response_budget._max_bytes = SMALL_BODY_BYTES
        client, unread_writer = await asyncio.open_connection("127.0.0.1", harness.app.listener.address[1])
        await harness.wait_until(lambda: len(harness.app.listener) == 2)
        for connection in harness.app.listener._awaiting_first_request:
            connection.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, 4096
            )
        unread_writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        unread_writer.transport.pause_reading()
        harness.app.engine.monitor.idle_limit = 0.5
        unread_writer.write(GET_REQUEST)
        await harness.wait_until(lambda: harness.app.engine.counts["served"] == 1)
        assert harness.app.server.unread_response_budget.reserved_bytes > 0
        # New work is rejected while there is no room for its response; what goes on is not cut off for it.
        writer.write(GET_REQUEST.replace(b"id1", b"id2"))
        message = await read_message(reader, response=True)
        assert message.head.status == 503 and float(message.head.fields["retry-after"]) > 0
        assert len(harness.app.listener) == 2
        # Its client does not read.
        await harness.wait_until(
            lambda: len(harness.app.listener) == 1
            and harness.app.server.unread_response_budget.reserved_bytes == 0
        )
        writer.write(GET_REQUEST.replace(b"id1", b"id3"))
        assert (await read_message(reader, response=True)).head.status == 200
        unread_writer.transport.abort()

    run_scenario(scenario)


def test_a_target_connection_with_unsolicited_bytes_is_not_reused():
    """Guards against taking a duplicate response that the event loop has not read yet for the next one."""

    async def scenario(harness, reader, writer):
        writer.write(GET_REQUEST)
        assert (await read_message(reader, response=True)).head.status == 200
        ((_, channel),) = next(iter(harness.app.target_client.pool._idle.values()))
        (target_writer,) = harness.targets[0].writers
        assert channel.is_clean()
        target_writer.write(http.encode_response(200, b"a copy"))  # sent before the event loop runs again
        assert not channel.is_clean()
        writer.write(GET_REQUEST.replace(b"id1", b"id2"))
        assert bytes((await read_message(reader, response=True)).body) != b"a copy"

    run_scenario(scenario)


def test_idle_target_connections_are_closed_before_the_targets_own_timeout():
    async def scenario(harness, reader, writer):
        harness.app.target_client.pool._idle_timeout = 0.2
        writer.write(GET_REQUEST)
        assert (await read_message(reader, response=True)).head.status == 200
        assert len(harness.targets[0].writers) == 1
        await harness.wait_until(lambda: not harness.targets[0].writers, 2.0)

    run_scenario(scenario)
