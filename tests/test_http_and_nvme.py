"""Protocol-independent behaviour over real sockets: each test runs unchanged over HTTP and NVMe/TCP."""

from __future__ import annotations

import asyncio
import time

import pytest

from tests.helpers import plan
from tests.stand_ins import (
    BLOCK_BYTES,
    BLOCKS_PER_UNIT,
    DEADLINE_SECONDS,
    MAX_RETRY_AFTER_SECONDS,
    InitiatorHarness,
    Target,
)


@pytest.fixture(params=["http", "nvme"])
def run_scenario(request):
    """Return a function that runs a scenario over the protocol of the parameter."""

    def run_with_protocol(scenario, **changes):
        async def run_with_timeout():
            async with InitiatorHarness(request.param, **changes) as harness:
                await asyncio.wait_for(scenario(harness), 20)
                assert harness.faults() == []

        asyncio.run(run_with_timeout())

    return run_with_protocol


def test_a_read_returns_the_targets_data(run_scenario):
    async def scenario(harness):
        result = await harness.read(tag=5)
        assert (result.outcome, result.data[:BLOCK_BYTES]) == ("served", Target.stored_data(5, BLOCK_BYTES))
        assert harness.targets[1].received == []

    run_scenario(scenario)


@pytest.mark.parametrize("size", [BLOCK_BYTES, 65536])
def test_a_write_reaches_its_target_once_and_complete(run_scenario, size):
    async def scenario(harness):
        assert (await harness.write(tag=6, shard=1, size=size)).outcome == "served"
        assert harness.targets[1].executed == [(6, Target.stored_data(6, size))]

    run_scenario(scenario)


def test_every_request_gets_a_response_before_its_deadline(run_scenario):
    async def scenario(harness):
        harness.targets[0].mode = "no_response"
        results = await asyncio.gather(
            *(harness.read(tag) for tag in range(8)), *(harness.write(tag) for tag in range(8, 16))
        )
        assert {result.outcome for result in results} <= {"refused", "failed"}
        assert max(result.elapsed for result in results) < DEADLINE_SECONDS

    run_scenario(scenario)


@pytest.mark.parametrize("mode", ["no_response", "break", "error"])
def test_a_possibly_executed_write_fails_and_is_never_retried(run_scenario, mode):
    async def scenario(harness):
        harness.targets[0].mode = mode
        assert (await harness.write(tag=3)).outcome == "failed"
        await asyncio.sleep(DEADLINE_SECONDS)
        assert [tag for tag, _ in harness.targets[0].executed] == [3]

    run_scenario(scenario)


def test_a_write_that_times_out_mid_transfer_is_never_retried(run_scenario):
    async def scenario(harness):
        harness.targets[0].mode = "stall"
        assert (await harness.write(tag=3, size=65536)).outcome == "failed"
        await asyncio.sleep(DEADLINE_SECONDS)
        assert [tag for _, tag in harness.targets[0].received] == [3] and harness.targets[0].executed == []

    run_scenario(scenario)


def test_a_write_rejected_before_execution_is_retried(run_scenario):
    async def scenario(harness):
        target = harness.targets[0]
        target.mode = "reject"
        request_task = asyncio.create_task(harness.write(tag=4))
        await harness.wait_until(lambda: target.received)
        target.mode = "serve"
        assert (await request_task).outcome == "served"
        assert [tag for tag, _ in target.executed] == [4]

    run_scenario(scenario)


def test_a_failed_read_is_retried_but_never_concurrently(run_scenario):
    async def scenario(harness):
        target = harness.targets[0]
        target.mode, target.delay = "error", 0.02
        request_task = asyncio.create_task(harness.read(tag=4))
        await harness.wait_until(lambda: len(target.executed) >= 2)
        target.mode = "serve"
        assert (await request_task).outcome == "served"
        assert target.max_in_flight == 1

    run_scenario(scenario)


@pytest.mark.parametrize("write", [False, True])
def test_a_request_that_its_target_rejects_is_rejected_with_retry_after(run_scenario, write):
    async def scenario(harness):
        harness.targets[0].mode = "reject"
        result = await (harness.write() if write else harness.read())
        assert result.outcome == "refused"
        assert 0 < result.retry_after <= MAX_RETRY_AFTER_SECONDS

    run_scenario(scenario)


def test_a_write_to_an_unreachable_target_is_rejected(run_scenario):
    async def scenario(harness):
        harness.targets[0].close()
        await asyncio.sleep(0)
        result = await harness.write()
        assert result.outcome == "refused" and result.elapsed < DEADLINE_SECONDS

    run_scenario(scenario)


@pytest.mark.parametrize("status", ["leaving", "left"])
def test_a_draining_or_removed_target_gets_no_new_requests_and_completes_those_in_flight(
    run_scenario, status
):
    async def scenario(harness):
        target = harness.targets[0]
        target.delay = 0.1
        request_task = asyncio.create_task(harness.read(tag=1))
        await harness.wait_until(lambda: target.received)
        harness.discovery.set(target, status)
        notified_at = time.monotonic()
        assert (await request_task).outcome == "served"
        await harness.wait_until(
            lambda: len([line for line in harness.logged if line["event"] == "list"]) > 1
        )
        results = await asyncio.gather(*(harness.read(tag) for tag in range(2, 8)))
        assert {result.outcome for result in results} <= {"refused", "failed"}
        assert all(at < notified_at + harness.settings.rules.drain_grace for at, _ in target.received)
        harness.discovery.set(target, "active")
        await harness.wait_until(
            lambda: len([line for line in harness.logged if line["event"] == "list"]) > 2
        )
        assert (await harness.read(tag=9)).outcome == "served"

    run_scenario(scenario)


def test_the_write_of_a_disconnected_client_is_not_retried(run_scenario):
    async def scenario(harness):
        target = harness.targets[0]
        target.mode = "no_response"
        request_task = asyncio.create_task(harness.write(tag=2))
        await harness.wait_until(lambda: target.received)
        request_task.cancel()
        await harness.wait_until(lambda: harness.app.engine.open_request_count == 0)
        target.mode = "serve"
        assert (await harness.read(tag=3)).outcome == "served"
        assert [tag for _, tag in target.received] == [2, 3]
        assert harness.app.engine.counts["gone"] == 1

    run_scenario(scenario)


def test_a_volume_does_not_exceed_its_rate_limit(run_scenario):
    async def scenario(harness):
        started_at = time.monotonic()
        results = await asyncio.gather(*(harness.read(tag) for tag in range(60)))
        elapsed = time.monotonic() - started_at + 1.0  # margin for the time that the initiator ran before
        assert len(harness.targets[0].executed) <= 10.0 * elapsed
        assert any(result.outcome == "refused" for result in results)

    run_scenario(scenario, plans=(plan(rate=5.0, limit=10.0, burst=20.0, slack=2.0),))


def test_shutdown_completes_accepted_requests(run_scenario):
    async def scenario(harness):
        harness.targets[0].delay = 0.2
        request_task = asyncio.create_task(harness.read())
        await harness.wait_until(lambda: harness.targets[0].received)
        harness.app.stop.set()
        assert (await request_task).outcome == "served"
        await asyncio.wait_for(asyncio.shield(harness.running), 10)

    run_scenario(scenario)


def test_shutdown_waits_for_the_latest_response(run_scenario):
    """Guards against a fixed shutdown timeout below the longest deadline, which would lose late responses."""

    async def scenario(harness):
        harness.targets[0].mode = "no_response"
        harness.app.stop.set()
        request_task = asyncio.create_task(harness.read())
        await harness.wait_until(lambda: harness.targets[0].received)
        assert (await request_task).outcome in ("refused", "failed")
        await asyncio.wait_for(asyncio.shield(harness.running), 10)
        assert harness.app.engine.open_request_count == 0

    run_scenario(scenario)


def test_units_are_derived_from_the_request_size(run_scenario):
    async def scenario(harness):
        assert (await harness.read(units=3)).outcome == "served"
        (volume,) = harness.app.engine._scheduler.volumes.values()
        assert volume.served.total == pytest.approx(3.0, rel=0.2)
        assert BLOCKS_PER_UNIT * BLOCK_BYTES * 3 < 65536

    run_scenario(scenario)
