"""The memory of requests is released with their responses (docs/incidents/bodies-in-timers.md)."""

from __future__ import annotations

import asyncio
import gc
import tracemalloc
from dataclasses import replace

import pytest

from stalltiller.protocol import http
from tests.stand_ins import (
    BLOCK_BYTES,
    CLASSES,
    NO_RESPONSE_SECONDS,
    VOLUME,
    InitiatorHarness,
    read_message,
)

DEADLINE_SECONDS = 30.0  # longer than the tests run, so that nothing is released by its expiry
READ, WRITE = (replace(cls, latency_objective=5.0, deadline=DEADLINE_SECONDS) for cls in CLASSES)
BODY_BYTES = 1 << 20
NVME_BODY_BYTES = 128 * BLOCK_BYTES  # the longest data of a command
OTHER_BYTES = 300_000  # for buffers, connections and the test itself


class TracedMemory:
    """The memory allocated since `start`, without garbage."""

    def __init__(self) -> None:
        gc.collect()
        tracemalloc.start()

    def allocated_bytes(self) -> int:
        gc.collect()
        return tracemalloc.get_traced_memory()[0]


@pytest.fixture
def traced_memory():
    yield TracedMemory()
    tracemalloc.stop()


class PatientHarness(InitiatorHarness):
    """An initiator whose requests have a long time left."""

    def __init__(self, kind: str) -> None:
        super().__init__(kind, classes=(READ, WRITE))

    def adjust_config(self, config):
        if config.nvme is None:
            return config
        opcodes = {
            opcode: item._replace(deadline=DEADLINE_SECONDS) for opcode, item in config.nvme.opcodes.items()
        }
        return replace(config, nvme=replace(config.nvme, opcodes=opcodes))


def encode_put(number: int, size: int) -> bytes:
    fields = {
        "Host": "h",
        "X-Request-ID": f"memory{number}",
        "Tier": "plan",
        "X-Timeout": str(DEADLINE_SECONDS),
        "IO-Info": f"volume={VOLUME:x},units=1,shard=0,hosts=1",
    }
    return http.encode_request("PUT", f"/write/{number:x}", fields, bytes(size))


async def send_put(harness, number: int) -> asyncio.StreamWriter:
    """Send a long write and return its connection, on which the response is not awaited."""
    _, writer = await asyncio.open_connection(*harness.app.listener.address)
    writer.write(encode_put(number, BODY_BYTES))
    await writer.drain()
    return writer


class DiscardingTarget:
    """Receives long writes over HTTP without keeping them; `respond` is called with the connection."""

    def __init__(self, target, respond) -> None:
        self.received_count = 0
        self.respond = respond
        target.serve = self.serve

    async def serve(self, reader, writer) -> None:
        while True:
            await reader.readuntil(b"\r\n\r\n")
            missing = BODY_BYTES
            while missing:
                missing -= len(await reader.read(min(missing, 65536)))
            self.received_count += 1
            await self.respond(writer)


def test_the_body_of_a_write_over_http_is_released_with_its_response(traced_memory):
    """The initiator was killed over its memory limit: timers kept bodies until they were due."""

    async def respond(writer):
        writer.write(http.encode_response(200))

    async def scenario():
        async with PatientHarness("http") as harness:
            DiscardingTarget(harness.targets[0], respond)
            before = traced_memory.allocated_bytes()
            for number in range(16):
                reader, writer = await asyncio.open_connection(*harness.app.listener.address)
                writer.write(encode_put(number, BODY_BYTES))
                assert (await read_message(reader, response=True)).head.status == 200
                writer.close()
            del reader, writer
            assert traced_memory.allocated_bytes() - before < OTHER_BYTES
            assert harness.app.engine.timer_count <= 1  # the scheduler's poll

    asyncio.run(scenario())


def test_the_body_of_a_write_is_released_when_its_client_leaves(traced_memory):
    """Its attempt goes on: its target has the whole request and may execute it."""

    async def wait(_writer):
        await asyncio.sleep(NO_RESPONSE_SECONDS)

    async def scenario():
        async with PatientHarness("http") as harness:
            target = DiscardingTarget(harness.targets[0], wait)
            before = traced_memory.allocated_bytes()
            for number in range(4):
                writer = await send_put(harness, number)
                await harness.wait_until(lambda number=number: target.received_count == number + 1)
                writer.transport.abort()
            del writer
            await harness.wait_until(lambda: harness.app.engine.open_request_count == 0)
            assert len(list(harness.app.engine._requests.attempts_in_flight())) == 4
            assert traced_memory.allocated_bytes() - before < OTHER_BYTES

    asyncio.run(scenario())


def test_the_body_of_a_write_is_released_while_its_long_response_is_streamed(traced_memory):
    async def respond_partly(writer):
        writer.write(http.encode_response(200, bytes(200_000))[:-1])
        await asyncio.sleep(NO_RESPONSE_SECONDS)

    async def scenario():
        async with PatientHarness("http") as harness:
            DiscardingTarget(harness.targets[0], respond_partly)
            before = traced_memory.allocated_bytes()
            writers = [await send_put(harness, number) for number in range(4)]
            await harness.wait_until(lambda: harness.app.engine.counts["relayed"] == len(writers))
            allocated = traced_memory.allocated_bytes() - before
            assert allocated < len(writers) * 200_000 + OTHER_BYTES
            for writer in writers:
                writer.transport.abort()

    asyncio.run(scenario())


def test_the_data_of_writes_over_nvme_is_released_with_their_completions(traced_memory):
    """Neither timers nor idle associations may keep it: their number is not bounded by the memory."""

    async def scenario():
        async with PatientHarness("nvme") as harness:
            harness.targets[0].delay = 0.05
            before = traced_memory.allocated_bytes()
            for start in range(0, 48, 12):
                writes = [harness.write(tag, size=NVME_BODY_BYTES) for tag in range(start, start + 12)]
                results = await asyncio.gather(*writes)
                assert {result.outcome for result in results} == {"served"}
                harness.targets[0].executed.clear()
            del writes, results
            harness.client.close()
            harness.client.streams.clear()
            await harness.wait_until(lambda: len(harness.app.listener) == 0)
            assert harness.app.target_client.pool.opened_count >= 4
            assert traced_memory.allocated_bytes() - before < 48 * NVME_BODY_BYTES / 4

    asyncio.run(scenario())
