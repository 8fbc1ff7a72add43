"""Slow and stopped peers over NVMe/TCP: the same terms as over HTTP (issues 48 and 52)."""

from __future__ import annotations

import asyncio
import socket
import time
from dataclasses import replace

import pytest

from stalltiller.adapters import nvme_target_client
from stalltiller.protocol import nvme
from stalltiller.routing.transfer_limits import REQUEST_IDLE_LIMIT_SECONDS
from tests.stand_ins import BLOCK_BYTES, BLOCKS_PER_UNIT, CLASSES, NO_RESPONSE_SECONDS, InitiatorHarness

DEADLINE_SECONDS = 1.5
OBJECTIVE_SECONDS = 0.2
END_GRACE_SECONDS = 0.5
FACTORS = (0.5, 1.2, 3.0)  # of a limit: the length of a transfer
READ_BYTES = BLOCK_BYTES * BLOCKS_PER_UNIT
WRITE_BYTES = 128 * BLOCK_BYTES


class HastyHarness(InitiatorHarness):
    """Requests have a long time left when the objective of their class has passed."""

    def __init__(self) -> None:
        classes = (
            replace(cls, latency_objective=OBJECTIVE_SECONDS, deadline=DEADLINE_SECONDS) for cls in CLASSES
        )
        super().__init__("nvme", classes=tuple(classes))

    def adjust_config(self, config):
        opcodes = {
            code: item._replace(deadline=DEADLINE_SECONDS) for code, item in config.nvme.opcodes.items()
        }
        return replace(config, nvme=replace(config.nvme, opcodes=opcodes))


def run_scenario(scenario):
    async def run():
        async with HastyHarness() as harness:
            await asyncio.wait_for(scenario(harness), 20)
            assert harness.faults() == []

    asyncio.run(run())


def send_reads_in_pieces(target, pauses: list[float], stops: bool = False) -> None:
    """Make a target send the data of reads in equal pieces, each after a pause."""
    original_command = target.command

    async def command(stream, request, data):
        if request.opcode != nvme.READ:
            await original_command(stream, request, data)
            return
        size = READ_BYTES // len(pauses)
        for number, pause in enumerate(pauses):
            await asyncio.sleep(pause)
            piece = target.stored_data(request.lba, READ_BYTES)[number * size : (number + 1) * size]
            stream.writer.write(nvme.data_pdu(nvme.C2H_DATA, request.cid, 0, number * size, piece))
        if stops:
            await asyncio.sleep(NO_RESPONSE_SECONDS)
        stream.writer.write(nvme.completion(nvme.Completion(request.cid), 0, 0))

    target.command = command


@pytest.mark.parametrize("pauses", [[0.05, 0.5, 0.3, 0.1], [0.02] + [0.06] * 15, [0.05, 0.9]], ids=str)
def test_a_read_whose_data_comes_slowly_is_served_after_its_objective(pauses):
    """Guards against the expiry soon after the objective, and against 0.1 s without data."""

    async def scenario(harness):
        send_reads_in_pieces(harness.targets[0], pauses)
        result = await harness.read()
        assert result.outcome == "served" and len(result.data) == READ_BYTES

    run_scenario(scenario)


def test_a_read_whose_data_stops_ends_by_its_time():
    async def scenario(harness):
        send_reads_in_pieces(harness.targets[0], [0.05, 0.2], stops=True)
        result = await harness.read()
        assert result.outcome in ("refused", "failed")
        assert result.elapsed < DEADLINE_SECONDS + END_GRACE_SECONDS

    run_scenario(scenario)


def read_writes_slowly(target, pause: float) -> None:
    """Make a target request the data of writes in quarters, each after a pause."""
    original_command = target.command

    async def command(stream, request, data):
        if request.opcode != nvme.WRITE:
            await original_command(stream, request, data)
            return
        received = b""
        for number in range(4):
            size = request.length // 4
            stream.writer.write(nvme.r2t(request.cid, 5 + number, number * size, size))
            while len(received) < (number + 1) * size:
                received += (await stream.next()).data
            await asyncio.sleep(pause)
        target.executed.append((request.lba, received))
        stream.writer.write(nvme.completion(nvme.Completion(request.cid), 0, 0))

    target.command = command


@pytest.mark.parametrize(("pause", "outcomes"), [(0.2, {"served"}), (1.0, {"failed", "refused"})])
def test_a_write_whose_data_its_target_requests_slowly_goes_on_to_its_time(pause, outcomes):
    async def scenario(harness):
        read_writes_slowly(harness.targets[0], pause)
        result = await harness.write(size=WRITE_BYTES)
        assert result.outcome in outcomes
        assert result.elapsed < DEADLINE_SECONDS + END_GRACE_SECONDS
        if outcomes != {"served"}:
            assert result.elapsed > DEADLINE_SECONDS - 0.05

    run_scenario(scenario)


async def start_write(harness) -> tuple:
    """Return a queue on which a host has been asked for the data of a write, and that data as a PDU."""
    _, io = await harness.client.associate()
    data = harness.targets[0].stored_data(3, WRITE_BYTES)
    io.writer.write(nvme.io_command(nvme.WRITE, 9, 1, 3, WRITE_BYTES // BLOCK_BYTES, WRITE_BYTES, b""))
    _, tag, _, _ = nvme.parse_data(await io.next())
    return io, nvme.data_pdu(nvme.H2C_DATA, 9, tag, 0, data, nvme.LAST_PDU_FLAG)


@pytest.mark.parametrize("factor", FACTORS)
@pytest.mark.parametrize("limit", [DEADLINE_SECONDS, REQUEST_IDLE_LIMIT_SECONDS])
def test_a_host_that_goes_on_sending_the_data_of_a_write_is_served(limit, factor):
    """Guards against an association that is closed at its command's deadline although bytes keep coming."""

    async def scenario(harness):
        io, encoded = await start_write(harness)
        count = max(4, round(factor * limit / (0.45 * REQUEST_IDLE_LIMIT_SECONDS)))
        size = -(-len(encoded) // count)
        for number in range(count):
            await asyncio.sleep(factor * limit / count)
            io.writer.write(encoded[number * size : (number + 1) * size])
        assert nvme.parse_completion(await io.next()).status == nvme.OK

    run_scenario(scenario)


@pytest.mark.parametrize("share", [0.0, 0.5, 0.9])
def test_a_host_that_stops_in_the_data_of_a_write_is_disconnected_within_3_s(share):
    async def scenario(harness):
        io, encoded = await start_write(harness)
        io.writer.write(encoded[: int(share * len(encoded))])
        started_at = time.monotonic()
        with pytest.raises((EOFError, ConnectionError)):
            await io.next()
        assert DEADLINE_SECONDS < time.monotonic() - started_at < 3.0

    run_scenario(scenario)


@pytest.mark.parametrize("sent", ["half a capsule", "half an ICReq", "an ICReq"])
def test_a_host_that_stops_in_a_command_is_disconnected_within_3_s(sent):
    """Guards against a host that keeps a connection with a part of a command for as long as it likes."""

    async def scenario(harness):
        if sent == "half a capsule":
            _, stream = await harness.client.associate()
            stream.writer.write(nvme.io_command(nvme.READ, 9, 1, 3, 1, BLOCK_BYTES, b"")[:40])
            reader = stream.reader
        else:
            reader, writer = await asyncio.open_connection(*harness.app.listener.address)
            request = nvme.ic_request()
            writer.write(request if sent == "an ICReq" else request[: len(request) // 2])
            if sent == "an ICReq":
                await reader.readexactly(len(nvme.ic_response()))
        started_at = time.monotonic()
        assert await reader.read() == b""
        assert REQUEST_IDLE_LIMIT_SECONDS - 0.3 < time.monotonic() - started_at < 3.0

    run_scenario(scenario)


@pytest.mark.parametrize("factor", FACTORS)
def test_a_read_of_which_its_host_has_no_byte_ends_by_its_time_although_data_keeps_coming(factor):
    """Guards against data that keeps coming from its target and holds a host long after its time."""

    async def scenario(harness):
        count = 16
        send_reads_in_pieces(harness.targets[0], [0.02] + [factor * DEADLINE_SECONDS / count] * (count - 1))
        result = await harness.read()
        if factor < 1.0:
            assert result.outcome == "served" and len(result.data) == READ_BYTES
        else:
            assert result.outcome in ("refused", "failed")
            assert DEADLINE_SECONDS - 0.05 < result.elapsed < DEADLINE_SECONDS + END_GRACE_SECONDS

    run_scenario(scenario)


def test_a_read_whose_data_would_stop_after_its_hosts_time_ends_by_that_time():
    async def scenario(harness):
        harness.app.engine.monitor.idle_limit = 1.0
        send_reads_in_pieces(harness.targets[0], [0.1] * 32, stops=True)
        result = await harness.read()
        assert result.outcome in ("refused", "failed")
        assert DEADLINE_SECONDS - 0.05 < result.elapsed < DEADLINE_SECONDS + END_GRACE_SECONDS

    run_scenario(scenario)


@pytest.mark.parametrize("factor", FACTORS)
def test_a_host_that_reads_slowly_gets_its_data(factor):
    """Guards against a reset after the commands' time of a host that reads."""

    async def scenario(harness):
        harness.app.engine.monitor.idle_limit = 1.0
        _, io = await harness.client.associate()
        (association,) = harness.app.server.associations.values()
        transport = association.queues[1].transport
        for endpoint, option in ((transport, socket.SO_SNDBUF), (io.writer, socket.SO_RCVBUF)):
            endpoint.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, option, 4096)
        for cid in range(1, 9):
            io.writer.write(nvme.io_command(nvme.READ, cid, 1, cid, 128, WRITE_BYTES, b""))
        seconds = factor * (DEADLINE_SECONDS + 0.25)
        received = 0
        while received < 8 * WRITE_BYTES:
            received += len(await io.reader.read(16_384))
            await asyncio.sleep(seconds * 16_384 / (8 * WRITE_BYTES))
        assert len(harness.app.server.associations) == 1

    run_scenario(scenario)


def test_a_host_that_sends_one_long_pdu_slowly_is_alive():
    """Guards against an association that expires although its host sends all the time."""

    async def scenario(harness):
        admin, controller = await harness.client.queue(0, nvme.DYNAMIC_CONTROLLER_ID, keep_alive=0.1)
        admin.writer.write(nvme.property_set(2, nvme.CC, nvme.CC_ENABLE))
        await admin.next()
        io, _ = await harness.client.queue(1, controller)
        data = harness.targets[0].stored_data(3, WRITE_BYTES)
        io.writer.write(nvme.io_command(nvme.WRITE, 9, 1, 3, WRITE_BYTES // BLOCK_BYTES, WRITE_BYTES, b""))
        _, tag, _, _ = nvme.parse_data(await io.next())
        encoded = nvme.data_pdu(nvme.H2C_DATA, 9, tag, 0, data, nvme.LAST_PDU_FLAG)
        for start in range(0, len(encoded), 6000):
            io.writer.write(encoded[start : start + 6000])
            await asyncio.sleep(0.12)
        assert nvme.parse_completion(await io.next()).status == nvme.OK

    run_scenario(scenario)


def test_a_slow_read_is_not_cut_off_because_its_target_answers_no_keep_alive_meanwhile(monkeypatch):
    """Guards against an association that is closed, with its read, for a Keep Alive that waits its turn."""
    monkeypatch.setattr(nvme_target_client, "KEEP_ALIVE_INTERVAL_SECONDS", 0.2)

    async def scenario(harness):
        target = harness.targets[0]
        send_reads_in_pieces(target, [0.05, 0.9])
        command = target.command

        async def command_without_keep_alive(stream, request, data):
            if request.opcode != nvme.KEEP_ALIVE:
                await command(stream, request, data)

        target.command = command_without_keep_alive
        assert (await harness.read()).outcome == "served"
        # An idle association without a response is given up.
        await harness.wait_until(lambda: not target.writers, 1.0)

    run_scenario(scenario)


def test_a_host_that_does_not_read_is_disconnected_at_the_idle_limit():
    """Guards against a host that keeps an association and its memory without reading."""

    async def scenario(harness):
        idle_limit = harness.app.engine.monitor.idle_limit = 1.0
        _, io = await harness.client.associate()
        (association,) = harness.app.server.associations.values()
        transport = association.queues[1].transport
        for endpoint, option in ((transport, socket.SO_SNDBUF), (io.writer, socket.SO_RCVBUF)):
            endpoint.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, option, 4096)
        io.writer.transport.pause_reading()
        started_at = time.monotonic()
        for cid in range(1, 13):
            io.writer.write(nvme.io_command(nvme.READ, cid, 1, cid, 128, WRITE_BYTES, b""))
        await harness.wait_until(lambda: not harness.app.server.associations)
        elapsed = time.monotonic() - started_at
        assert idle_limit - 0.1 < elapsed < idle_limit + END_GRACE_SECONDS
        assert harness.app.server.unread_response_budget.reserved_bytes == 0
        ends = [line["rule"] for line in harness.logged if line["event"] == "exchange_ended"]
        assert ends == ["response_unread"]

    run_scenario(scenario)
