"""Duplicates of responses and other data that belongs to no request (docs/incidents/).

`DistantTarget` is a target behind a network with a delay in both directions.  It sends responses a second
time, late, unless another request has reached it by then.  The simulated clock makes each order of events
exact.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from dataclasses import replace

import pytest

from stalltiller.adapters.response_attribution import (
    COMPARED_BODY_BYTES,
    EVIDENCE_LIFETIME_SECONDS,
    MAX_DUPLICATE_DELAY_SECONDS,
    MAX_TARGETS,
    Attribution,
    ResponseAttributor,
    ResponseStart,
)
from stalltiller.protocol import http, nvme
from stalltiller.transport.channel_reuse import Reuse, choose_channel
from tests.helpers import request_class
from tests.simulated_clock import run_on_simulated_clock
from tests.stand_ins import BLOCK_BYTES, read_message
from tests.test_races import connect_client, encode_get, read_to_end, run_scenario

WORK_SECONDS = 0.012
PIECE_BYTES = 50  # of a duplicate that arrives in two pieces
PIECE_DELAY_SECONDS = 0.001


class DistantTarget:
    """Serves requests over a network, `one_way` seconds away, and sends each response again after `late`."""

    def __init__(self, target, one_way: float, late: float, in_pieces: bool = False, body_bytes: int = 16):
        self.one_way = one_way
        self.late = late
        self.in_pieces = in_pieces
        self.body_bytes = body_bytes
        self.duplicates = 0
        self.responses = 0
        target.serve = self.serve

    def body(self, tag: int) -> bytes:
        """The body that is made for a request; no two requests have the same tag."""
        return (b"made for %08d;" % tag) * (self.body_bytes // 16 + 1)

    def response(self, tag: int) -> bytes:
        """A response with a load report that differs each time."""
        self.responses += 1
        fields = {"X-Server-Load": f"TEXT mean_ms={self.responses}"}
        return http.encode_response(200, self.body(tag), fields)

    async def serve(self, reader, writer) -> None:
        loop = asyncio.get_running_loop()
        arrived: asyncio.Queue[tuple[float, http.Reader]] = asyncio.Queue()

        async def receive() -> None:
            with contextlib.suppress(OSError, EOFError):
                while True:
                    arrived.put_nowait((loop.time() + self.one_way, await read_message(reader)))

        receiver = asyncio.create_task(receive())
        try:
            while True:
                arrives_at, message = await arrived.get()
                await asyncio.sleep(arrives_at - loop.time() + WORK_SECONDS)
                tag = int(message.head.target.rpartition("/")[2], 16)
                self.send(loop, writer, self.response(tag))
                await asyncio.sleep(self.late)
                if arrived.empty() or arrived._queue[0][0] > loop.time():
                    self.duplicates += 1
                    self.send(loop, writer, self.response(tag), self.in_pieces)
        finally:
            receiver.cancel()

    def send(self, loop, writer, response: bytes, in_pieces: bool = False) -> None:
        if not in_pieces:
            loop.call_later(self.one_way, self.write, writer, response)
            return
        loop.call_later(self.one_way, self.write, writer, response[:PIECE_BYTES])
        loop.call_later(self.one_way + PIECE_DELAY_SECONDS, self.write, writer, response[PIECE_BYTES:])

    @staticmethod
    def write(writer, data: bytes) -> None:
        if not writer.transport.is_closing():
            writer.write(data)


async def send_requests(harness, target, pauses) -> None:
    """Send reads and writes one after another and check that each gets what was made for it."""
    for tag, pause in enumerate(pauses, 1):
        result = await (harness.read(tag) if tag % 3 else harness.write(tag))
        assert (result.outcome, result.data) == ("served", target.body(tag))
        await asyncio.sleep(pause)


@pytest.mark.parametrize("in_pieces", [False, True])
@pytest.mark.parametrize("one_way", [0.0, 0.0007, 0.0013])
@pytest.mark.parametrize("late", [0.0005, 0.002, 0.008])
def test_a_late_duplicate_is_not_served_to_the_request_that_it_crosses(late, one_way, in_pieces):
    """Guards against a reuse that assumes that a request reaches the target before the duplicate leaves."""

    async def scenario(harness):
        target = DistantTarget(harness.targets[0], one_way, late, in_pieces)
        await send_requests(harness, target, (0.0, 0.0, 0.0008, 0.0, 0.0015, 0.003, 0.007, 0.0, 0.02, 0.0))
        assert target.duplicates

    run_scenario(scenario, run=run_on_simulated_clock)


@pytest.mark.parametrize("body_bytes", [16, 200_000])
@pytest.mark.parametrize("late", [0.03, 0.1])
def test_a_duplicate_later_than_a_connection_settles_is_discarded(late, body_bytes):
    """Guards against a bound on the lateness of duplicates: of a target that sends them, none is served."""

    async def scenario(harness):
        target = DistantTarget(harness.targets[0], 0.0013, late, body_bytes=body_bytes)
        # The first duplicate arrives on an idle connection; the others cross the next request.
        crossing = late - 0.001
        await send_requests(harness, target, (2 * late, crossing, crossing, crossing, 0.0))
        counts = harness.app.engine.counts
        assert counts["surplus_data"] and counts["duplicate_responses"]

    run_scenario(scenario, run=run_on_simulated_clock)


def test_requests_at_the_connection_limit_wait_until_the_connection_has_settled():
    """Guards against an exception for a pool that can't open another connection."""

    async def scenario(harness):
        harness.app.target_client.pool.max_channels = 1
        target = DistantTarget(harness.targets[0], 0.0013, 0.002)
        await send_requests(harness, target, [0.0] * 6)
        assert target.duplicates

    run_scenario(scenario, run=run_on_simulated_clock)


def test_a_target_that_duplicates_equal_responses_gets_one_request_per_connection():
    """Guards against equal responses, which a duplicate can't be told from."""

    async def scenario(harness):
        target = DistantTarget(harness.targets[0], 0.0013, 0.03)
        target.body = lambda _tag: b"stored"
        pool = harness.app.target_client.pool
        await send_requests(harness, target, (0.0, 0.0))
        assert pool.opened_count == 1
        await asyncio.sleep(0.1)  # a duplicate arrives
        await send_requests(harness, target, (0.029, 0.029, 0.029))
        assert pool.opened_count == 4

    run_scenario(scenario, run=run_on_simulated_clock)


def test_a_target_without_duplicates_may_repeat_its_responses_on_one_connection():
    async def scenario(harness):
        for _ in range(5):
            assert (await harness.write(tag=1)).outcome == "served"
        assert harness.app.target_client.pool.opened_count == 1

    run_scenario(scenario, run=run_on_simulated_clock)


def test_a_response_that_precedes_the_end_of_its_request_is_not_served():
    """Guards against a duplicate that arrives while a long request is being sent."""
    write_class = request_class(name="read", latency_objective=0.4, deadline=0.6, is_write=True)

    async def scenario(harness):
        async def respond_early(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(http.encode_response(200, b"made for another request"))
            await asyncio.sleep(9)

        harness.targets[0].serve = respond_early
        client = connect_client(harness)
        client.setblocking(False)
        body = bytes(8 << 20)
        head = encode_get(1, Connection="close", **{"Content-Length": str(len(body))})
        request = head.replace(b"GET", b"PUT", 1) + body
        await asyncio.get_running_loop().sock_sendall(client, request)
        assert not (await read_to_end(client)).startswith(b"HTTP/1.1 200")
        assert harness.app.engine.counts["bad_answers"]
        client.close()

    run_scenario(scenario, classes=(write_class,))


# --- Attempts that wait for a connection to settle --------------------------------------------------------
SETTLE_SECONDS = 0.2  # long enough for what happens meanwhile


async def start_waiting(harness, tag: int = 2) -> asyncio.Task:
    """Serve one request, then start another that waits for its connection to settle."""
    harness.app.target_client.pool._settle_time = SETTLE_SECONDS
    assert (await harness.read(tag=1)).outcome == "served"
    request = asyncio.create_task(harness.read(tag))
    await asyncio.sleep(SETTLE_SECONDS / 4)
    assert harness.app.engine.open_request_count == 1
    return request


def test_an_attempt_starts_as_soon_as_a_connection_has_settled():
    async def scenario(harness):
        loop = asyncio.get_running_loop()
        request = await start_waiting(harness)
        started_at = loop.time()
        assert (await request).outcome == "served"
        assert loop.time() - started_at == pytest.approx(SETTLE_SECONDS * 3 / 4, abs=0.01)
        assert harness.app.target_client.pool.opened_count == 1

    run_scenario(scenario, run=run_on_simulated_clock)


def test_an_attempt_is_not_sent_if_its_client_leaves_while_the_connection_settles():
    """The connection goes back to the pool and carries the next request."""

    async def scenario(harness):
        request = await start_waiting(harness)
        request.cancel()
        await asyncio.sleep(SETTLE_SECONDS)
        assert (await harness.read(tag=3)).outcome == "served"
        assert [tag for _, tag in harness.targets[0].received] == [1, 3]
        assert harness.app.target_client.pool.opened_count == 1

    run_scenario(scenario, run=run_on_simulated_clock)


def test_an_attempt_is_not_sent_once_a_drain_takes_effect_while_the_connection_settles():
    long_deadline_class = request_class(name="read", latency_objective=4.0, deadline=5.0)

    async def scenario(harness):
        harness.app.target_client.pool._settle_time = 4.0
        with connect_client(harness) as first_client:
            first_client.sendall(encode_get(1, Connection="close", **{"X-Timeout": "5.0"}))
            assert (await read_to_end(first_client)).startswith(b"HTTP/1.1 200")
        client = connect_client(harness)
        client.sendall(encode_get(2, Connection="close", **{"X-Timeout": "5.0"}))
        await asyncio.sleep(0.1)
        harness.discovery.set(harness.targets[0], "leaving")
        assert not (await read_to_end(client)).startswith(b"HTTP/1.1 200")
        assert [tag for _, tag in harness.targets[0].received] == [1]
        client.close()

    run_scenario(scenario, run=run_on_simulated_clock, classes=(long_deadline_class,))


def test_an_attempt_moves_to_another_connection_if_data_arrives_while_the_first_settles():
    async def scenario(harness):
        request = await start_waiting(harness)
        for writer in harness.targets[0].writers:
            writer.write(b"noise")
        assert (await request).outcome == "served"
        assert harness.app.target_client.pool.opened_count == 2

    run_scenario(scenario, run=run_on_simulated_clock)


def test_a_shutdown_ends_attempts_that_wait_for_a_connection():
    async def scenario(harness):
        request = await start_waiting(harness)
        harness.app.stop.set()
        assert (await request).outcome in ("served", "refused")

    run_scenario(scenario, run=run_on_simulated_clock)


# --- NVMe/TCP -----------------------------------------------------------------------------------------------
@pytest.mark.parametrize("is_write", [False, True])
def test_a_second_completion_does_not_complete_the_next_command(is_write):
    """Completions name their command, so that a duplicate is recognised whenever it comes."""

    async def scenario(harness):
        target = harness.targets[0]
        run_command = target.command
        previous: list[bytes] = []

        async def command_after_duplicate(stream, request, data):
            if request.opcode not in (nvme.READ, nvme.WRITE):
                await run_command(stream, request, data)
                return
            for duplicate in previous:
                stream.writer.write(duplicate)
            previous[:] = [nvme.completion(nvme.Completion(request.cid), 0, 0)]
            if len(target.received) < 2:
                await run_command(stream, request, data)
            else:
                target.received.append((0.0, request.lba))

        target.command = command_after_duplicate
        requests = itertools.count(1)
        send = harness.write if is_write else harness.read
        outcomes = [(await send(next(requests))).outcome for _ in range(3)]
        assert outcomes[0] == "served" and outcomes[2] != "served"

    run_scenario(scenario, "nvme")


# --- The decisions ------------------------------------------------------------------------------------------
@pytest.mark.parametrize(
    ("idle_since", "expected"),
    [
        ([], None),
        ([90.0, 95.0], Reuse(1, 100.0)),  # both settled: the one used last
        ([90.0, 99.5], Reuse(0, 100.0)),
        ([99.0], Reuse(0, 100.0)),  # settled at this moment
        ([99.25, 99.75], Reuse(0, 100.25)),  # none settled: the one that is settled first
    ],
)
def test_only_a_settled_channel_is_chosen(idle_since, expected):
    assert choose_channel(idle_since, 100.0, 1.0) == expected


def response_start(body: bytes, is_partial: bool = False, status: int = 200) -> ResponseStart:
    return ResponseStart(status, None, body, is_partial)


@pytest.mark.parametrize(
    ("one", "other", "may_equal"),
    [
        (response_start(b"ab"), response_start(b"ab"), True),
        (response_start(b"ab"), response_start(b"abc"), False),
        (response_start(b"ab"), response_start(b"abc", is_partial=True), False),
        (response_start(b"abc"), response_start(b"ab", is_partial=True), True),
        (response_start(b"ab"), response_start(b"ab", status=503), False),
        (response_start(b"ab"), replace(response_start(b"ab"), length=2), False),
    ],
)
def test_responses_are_compared_as_far_as_received(one, other, may_equal):
    assert one.may_equal(other) is other.may_equal(one) is may_equal


@pytest.mark.parametrize(
    "size", [0, 5, COMPARED_BODY_BYTES, COMPARED_BODY_BYTES + 1, 3 * COMPARED_BODY_BYTES]
)
@pytest.mark.parametrize("first_part", [0, 1, 700])
def test_only_the_start_of_a_body_is_kept_whatever_its_parts(size, first_part):
    body = bytes(number % 251 for number in range(size))
    encoded = http.encode_response(200, body)
    head_size = len(encoded) - size
    reader = http.Reader(response=True)
    reader.feed(memoryview(encoded[: head_size + first_part]))
    start = ResponseStart.of(reader)
    is_complete = size <= first_part
    assert start.is_partial is not is_complete
    start = start.with_more(body[first_part:], is_complete=True)
    assert start == ResponseStart(200, size, body[:COMPARED_BODY_BYTES])


def test_an_equal_response_is_attributed_by_what_was_seen_of_the_target():
    attributor = ResponseAttributor()
    one, other = response_start(b"1"), response_start(b"2")
    assert attributor.attribute(7, None, one, 0.0) is Attribution.CURRENT
    attributor.record_surplus(7, MAX_DUPLICATE_DELAY_SECONDS * 2, 0.0)
    attributor.record_surplus(7, 0.01, 0.0)
    assert attributor.attribute(7, one, other, 1.0) is Attribution.CURRENT
    assert attributor.attribute(7, one, one, 1.0) is Attribution.DUPLICATE
    assert attributor.attribute(8, one, one, 1.0) is Attribution.CURRENT  # and 8 is known to repeat itself
    assert attributor.may_reuse(7, one, 1.0) and attributor.may_reuse(8, one, 1.0)
    attributor.record_repetition(7, 1.0)
    assert attributor.attribute(7, one, one, 2.0) is Attribution.AMBIGUOUS
    assert not attributor.may_reuse(7, one, 2.0)
    assert attributor.may_reuse(7, one, EVIDENCE_LIFETIME_SECONDS + 2.0)


def test_equal_rejections_are_no_repetition_and_end_the_reuse_where_duplicates_are_sent():
    """Guards against taking the duplicate of a rejection for proof that the next request was not executed."""
    attributor = ResponseAttributor()
    rejection = response_start(b"", status=503)
    assert attributor.attribute(7, rejection, rejection, 0.0) is Attribution.CURRENT
    attributor.record_surplus(7, 0.01, 0.0)
    assert attributor.may_reuse(7, response_start(b"1"), 1.0)
    assert not attributor.may_reuse(7, rejection, 1.0)
    assert attributor.attribute(7, rejection, rejection, 1.0) is Attribution.AMBIGUOUS


def test_late_data_is_no_evidence_of_duplicates_and_evidence_is_bounded():
    attributor = ResponseAttributor()
    one = response_start(b"1")
    attributor.record_surplus(7, MAX_DUPLICATE_DELAY_SECONDS * 2, 0.0)
    assert attributor.attribute(7, one, one, 1.0) is Attribution.CURRENT
    for target_id in range(MAX_TARGETS + 10):
        attributor.record_surplus(target_id, 0.0, 1.0)
    assert attributor.attribute(0, one, one, 2.0) is Attribution.CURRENT
    assert attributor.attribute(MAX_TARGETS, one, one, 2.0) is Attribution.DUPLICATE


def test_data_on_an_idle_connection_is_counted_with_the_time_since_the_response():
    """Guards against telling late duplicates apart from other causes by guesswork."""

    async def scenario(harness):
        async def serve_twice(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            response = http.encode_response(200, harness.targets[0].stored_data(1, BLOCK_BYTES))
            writer.write(response)
            writer.write(response)
            await reader.read()

        harness.targets[0].serve = serve_twice
        assert (await harness.read(tag=1)).outcome == "served"
        await harness.wait_until(lambda: harness.app.engine.counts["surplus_data"] == 1)
        [line] = [line for line in harness.logged if line["event"] == "surplus_data"]
        assert line["bytes"] > BLOCK_BYTES and 0.0 <= line["idle_ms"] < 1000.0

    run_scenario(scenario)
