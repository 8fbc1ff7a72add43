"""Tests of behaviour specific to the NVMe controller and target client, over real sockets."""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest

from stalltiller.protocol import nvme
from tests.stand_ins import BLOCK_BYTES, DEADLINE_SECONDS, InitiatorHarness, PduStream


def run_scenario(scenario, **changes):
    async def run():
        async with InitiatorHarness("nvme", **changes) as harness:
            await asyncio.wait_for(scenario(harness, harness.client), 20)
            assert harness.faults() == []

    asyncio.run(run())


def read(cid: int, lba: int = 1, nsid: int = 1, blocks: int = 1) -> bytes:
    return nvme.io_command(nvme.READ, cid, nsid, lba, blocks, blocks * BLOCK_BYTES)


async def next_completion(stream: PduStream) -> nvme.Completion:
    while (pdu := await stream.next()).kind != nvme.RESPONSE_CAPSULE:
        pass
    return nvme.parse_completion(pdu)


async def read_termination(stream: PduStream) -> int:
    """Read up to the TermReq and the end of the connection; return the fatal error status."""
    while (pdu := await stream.next()).kind != nvme.C2H_TERM:
        pass
    assert await stream.reader.read() == b""
    return nvme.parse_term(pdu)[0]


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"\x77" + bytes(7), nvme.BAD_FIELD),
        (nvme.ic_request(), nvme.BAD_SEQUENCE),
        (nvme.data_pdu(nvme.H2C_DATA, 3, 3, 0, b"data"), nvme.BAD_SEQUENCE),
        (read(4) + read(4), nvme.BAD_FIELD),
        (b"".join(read(cid) for cid in range(1, 17)), nvme.BAD_SEQUENCE),
    ],
    ids=["unknown_type", "second_icreq", "unrequested_data", "duplicate_command_id", "queue_overflow"],
)
def test_a_malformed_pdu_closes_only_its_own_association(raw, status):
    async def scenario(harness, client):
        harness.targets[0].mode = "no_response"
        _, other = await client.associate()
        admin, io = await client.associate()
        io.writer.write(raw)
        assert await read_termination(io) == status
        assert await admin.reader.read() == b""
        harness.targets[0].mode = "serve"
        other.writer.write(read(1, nsid=2))
        assert (await next_completion(other)).status == nvme.OK
        await harness.wait_until(lambda: harness.app.engine.open_request_count == 0)

    run_scenario(scenario)


def test_a_connection_that_sends_no_connect_command_is_closed_after_the_timeout(monkeypatch):
    monkeypatch.setattr("stalltiller.transport.listener.FIRST_REQUEST_TIMEOUT_SECONDS", 0.1)

    async def scenario(harness, client):
        reader, writer = await asyncio.open_connection("127.0.0.1", client.port)
        _, io = await client.associate()
        assert await reader.read() == b""
        io.writer.write(read(1))
        assert (await next_completion(io)).status == nvme.OK
        writer.close()

    run_scenario(scenario)


def test_the_first_pdu_must_be_icreq():
    async def scenario(harness, client):
        reader, writer = await asyncio.open_connection("127.0.0.1", client.port)
        writer.write(read(1))
        assert await read_termination(PduStream(reader, writer, nvme.FROM_CONTROLLER)) == nvme.BAD_SEQUENCE

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (read(1, nsid=9), nvme.BAD_NAMESPACE),
        (read(1, lba=1 << 40), nvme.OUT_OF_LBA),
        (read(1, blocks=129), nvme.INVALID_FIELD),
        (nvme.command(0x55, 1, 1), nvme.BAD_OPCODE),
    ],
)
def test_an_invalid_command_is_completed_with_do_not_retry(raw, status):
    async def scenario(harness, client):
        _, io = await client.associate()
        io.writer.write(raw)
        completion = await next_completion(io)
        assert (completion.cid, completion.status, completion.no_retry) == (1, status, True)
        assert harness.app.engine.counts["taken"] == 0

    run_scenario(scenario)


def test_admin_commands_return_their_status_result_and_data():
    async def scenario(harness, client):
        admin, _ = await client.associate()
        for raw, expected in [
            (nvme.property_get(5, nvme.CSTS), (nvme.OK, nvme.CSTS_READY)),
            (nvme.property_get(5, nvme.CAP, wide=True), (nvme.OK, nvme.capabilities())),
            (nvme.property_get(5, 0x9999), (nvme.INVALID_FIELD, 0)),
            (nvme.command(nvme.KEEP_ALIVE, 5), (nvme.OK, 0)),
            (nvme.command(0x0C, 5), (nvme.BAD_OPCODE, 0)),
            (nvme.command(nvme.ABORT, 5, command_dwords=struct.pack("<HH", 1, 99)), (nvme.OK, 1)),
        ]:
            admin.writer.write(raw)
            completion = await next_completion(admin)
            assert (completion.status, completion.result) == expected
        admin.writer.write(nvme.command(nvme.IDENTIFY, 6, 1, bytes([nvme.CNS_NAMESPACE]), 4096))
        page = (await admin.next()).data
        assert struct.unpack_from("<Q", page)[0] == 1 << 40 and 1 << page[130] == BLOCK_BYTES
        admin.writer.write(nvme.command(nvme.IDENTIFY, 7, 0, bytes([nvme.CNS_ACTIVE_NAMESPACES]), 4096))
        await next_completion(admin)
        assert struct.unpack_from("<3I", (await admin.next()).data) == (1, 2, 0)

    run_scenario(scenario)


def test_abort_counts_as_a_client_disconnect():
    async def scenario(harness, client):
        harness.targets[0].mode = "no_response"
        admin, io = await client.associate()
        io.writer.write(read(4))
        await harness.wait_until(lambda: harness.targets[0].received)
        admin.writer.write(nvme.command(nvme.ABORT, 5, command_dwords=struct.pack("<HH", 1, 4)))
        assert (await next_completion(admin)).result == 0
        assert (await next_completion(io)).status == nvme.ABORTED
        assert harness.app.engine.counts["gone"] == 1
        harness.targets[0].mode = "serve"
        io.writer.write(read(4))
        assert (await next_completion(io)).status == nvme.OK

    run_scenario(scenario)


def test_disabling_the_controller_closes_its_io_queues_and_it_can_be_reenabled():
    async def scenario(harness, client):
        harness.targets[0].mode = "no_response"
        admin, io = await client.associate()
        io.writer.write(read(4))
        await harness.wait_until(lambda: harness.targets[0].received)
        admin.writer.write(nvme.property_set(5, nvme.CC, 0))
        assert (await next_completion(admin)).status == nvme.OK
        assert await io.reader.read() == b"" and harness.app.engine.open_request_count == 0
        admin.writer.write(nvme.property_set(5, nvme.CC, nvme.CC_ENABLE))
        assert (await next_completion(admin)).status == nvme.OK
        (controller_id,) = harness.app.server.associations
        io, _ = await client.queue(1, controller_id)
        harness.targets[0].mode = "serve"
        io.writer.write(read(5))
        assert (await next_completion(io)).status == nvme.OK

    run_scenario(scenario)


def test_data_that_arrives_after_an_abort_is_ignored():
    async def scenario(harness, client):
        admin, io = await client.associate()
        io.writer.write(nvme.io_command(nvme.WRITE, 4, 1, 8, 32, 32 * BLOCK_BYTES))
        assert (await io.next()).kind == nvme.R2T
        admin.writer.write(nvme.command(nvme.ABORT, 5, command_dwords=struct.pack("<HH", 1, 4)))
        completion = await next_completion(io)
        assert (completion.status, completion.no_retry) == (nvme.ABORTED, True)
        io.writer.write(nvme.data_pdu(nvme.H2C_DATA, 4, 4, 0, bytes(32 * BLOCK_BYTES)))
        io.writer.write(read(5))
        assert (await next_completion(io)).cid == 5
        assert [tag for _, tag in harness.targets[0].received] == [1]

    run_scenario(scenario)


@pytest.mark.parametrize("sends_old_data", ["never", "before", "after"])
def test_a_host_may_reuse_the_identifier_of_an_aborted_write_whose_data_it_has_not_sent(sends_old_data):
    """The association was closed, with all its commands; the data is told apart by its transfer tag."""

    async def scenario(harness, client):
        admin, io = await client.associate()
        size = 32 * BLOCK_BYTES
        old_data, new_data = b"o" * size, b"n" * size
        write = nvme.io_command(nvme.WRITE, 4, 1, 8, 32, size)
        io.writer.write(write)
        _, old_tag, _, _ = nvme.parse_data(await io.next())
        admin.writer.write(nvme.command(nvme.ABORT, 5, command_dwords=struct.pack("<HH", 1, 4)))
        assert (await next_completion(io)).status == nvme.ABORTED
        io.writer.write(write)
        _, new_tag, _, _ = nvme.parse_data(await io.next())
        transfers = {
            "never": [(new_tag, new_data)],
            "before": [(old_tag, old_data), (new_tag, new_data)],
            "after": [(new_tag, new_data), (old_tag, old_data)],
        }
        for tag, data in transfers[sends_old_data]:
            io.writer.write(nvme.data_pdu(nvme.H2C_DATA, 4, tag, 0, data))
        assert (await next_completion(io)).status == nvme.OK
        assert harness.targets[0].executed == [(8, new_data)]
        io.writer.write(read(5))
        assert (await next_completion(io)).status == nvme.OK

    run_scenario(scenario)


def test_losing_a_queue_closes_the_association_and_cancels_its_commands():
    async def scenario(harness, client):
        harness.targets[0].mode = "no_response"
        admin, io = await client.associate()
        io.writer.write(read(4) + read(5))
        await harness.wait_until(lambda: len(harness.targets[0].received) == 2)
        admin.writer.transport.abort()
        assert await io.reader.read() == b""
        await harness.wait_until(lambda: harness.app.engine.open_request_count == 0)
        assert (
            harness.app.engine.counts["gone"] == 2
            and harness.app.server.command_data_budget.reserved_bytes == 0
        )

    run_scenario(scenario)


def test_a_host_that_exceeds_its_keep_alive_timeout_is_disconnected():
    async def scenario(harness, client):
        admin, _ = await client.queue(0, nvme.DYNAMIC_CONTROLLER_ID, keep_alive=0.05)
        assert await admin.reader.read() == b""
        assert harness.app.server.associations == {}

    run_scenario(scenario)


@pytest.mark.parametrize(
    "malformed_pdu", [b"\x77" + bytes(7), nvme.data_pdu(nvme.C2H_DATA, 77, 0, 0, b"data")]
)
def test_a_malformed_target_response_is_logged_and_the_write_fails(malformed_pdu):
    async def scenario(harness, client):
        async def execute(tag, data):
            for writer in list(harness.targets[0].writers):
                writer.write(malformed_pdu)
            return "no_response"

        harness.targets[0].execute = execute
        assert (await harness.write()).outcome == "failed"
        assert any(line["event"] == "bad_response" for line in harness.logged)
        assert harness.app.engine.counts["attempts"] == 1

    run_scenario(scenario)


def test_a_target_without_in_capsule_data_requests_it_by_r2t():
    async def scenario(harness, client):
        harness.targets[0].capsule = 0
        assert (await harness.write(tag=3)).outcome == "served"
        assert [tag for tag, _ in harness.targets[0].executed] == [3]

    run_scenario(scenario)


def test_a_read_whose_data_stops_is_waited_for_to_the_hosts_time_and_not_given_up_before():
    """Guards against a read that is given up because its data pauses, although it has begun."""

    async def scenario(harness, client):
        target, original_command = harness.targets[0], harness.targets[0].command
        stalled = []

        async def stall_mid_response(stream, request, data):
            if request.opcode != nvme.READ:
                return await original_command(stream, request, data)
            stream.writer.write(nvme.data_pdu(nvme.C2H_DATA, request.cid, 0, 0, bytes(BLOCK_BYTES)))
            stalled.append(request)
            await asyncio.sleep(10)
            return None

        target.command = stall_mid_response
        result = await harness.read()
        assert result.outcome == "refused" and len(stalled) == 1
        assert DEADLINE_SECONDS - 0.05 <= result.elapsed <= DEADLINE_SECONDS + 0.5
        assert harness.app.engine.counts["ended_attempt_expired"] == 1

    run_scenario(scenario)


def test_commands_are_rejected_while_their_responses_may_exceed_the_unread_response_budget():
    """Guards against a host that is cut off in the middle of its responses, and one that fills the memory."""

    async def scenario(harness, client):
        admin, io = await client.associate()
        harness.app.engine.monitor.idle_limit = 0.5
        max_bytes = harness.app.server.unread_response_budget._max_bytes = 150_000
        (association,) = harness.app.server.associations.values()
        transport = association.queues[1].transport
        for endpoint, option in ((transport, socket.SO_SNDBUF), (io.writer, socket.SO_RCVBUF)):
            endpoint.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, option, 4096)
        io.writer.transport.pause_reading()
        for cid in range(1, 16):
            io.writer.write(read(cid, blocks=128))
        await harness.wait_until(lambda: harness.app.server.unread_response_budget.reserved_bytes > 0)
        for _ in range(10):
            assert harness.app.server.associations
            assert harness.app.server.unread_response_budget.reserved_bytes <= max_bytes
            await asyncio.sleep(0.02)
        # Its host does not read.
        await harness.wait_until(lambda: harness.app.server.associations == {})
        assert harness.app.server.unread_response_budget.reserved_bytes == 0

    run_scenario(scenario)
