"""Protocol-independent behaviour over real sockets: each test runs unchanged over HTTP and NVMe/TCP."""

from __future__ import annotations

import asyncio
import time

import pytest

from tests.helpers import plan
from tests.stand_ins import BLOCK, DEADLINE, MAX_RETRY_AFTER, PER_UNIT, Target, World


@pytest.fixture(params=["http", "nvme"])
def run_scenario(request):
    """Return a function that runs a scenario over the protocol of the parameter."""

    def run_with_protocol(scenario, **changes):
        async def run_with_timeout():
            async with World(request.param, **changes) as world:
                await asyncio.wait_for(scenario(world), 20)
                assert world.faults() == []

        asyncio.run(run_with_timeout())

    return run_with_protocol


def test_a_read_returns_the_targets_data(run_scenario):
    async def scenario(world):
        result = await world.read(tag=5)
        assert (result.end, result.data[:BLOCK]) == ("served", Target.content(5, BLOCK))
        assert world.targets[1].begun == []

    run_scenario(scenario)


@pytest.mark.parametrize("size", [BLOCK, 65536])
def test_a_write_reaches_its_target_once_and_complete(run_scenario, size):
    async def scenario(world):
        assert (await world.write(tag=6, shard=1, size=size)).end == "served"
        assert world.targets[1].ran == [(6, Target.content(6, size))]

    run_scenario(scenario)


def test_every_request_gets_a_response_before_its_deadline(run_scenario):
    async def scenario(world):
        world.targets[0].mode = "silent"
        results = await asyncio.gather(
            *(world.read(tag) for tag in range(8)), *(world.write(tag) for tag in range(8, 16))
        )
        assert {result.end for result in results} <= {"refused", "failed"}
        assert max(result.elapsed for result in results) < DEADLINE

    run_scenario(scenario)


@pytest.mark.parametrize("mode", ["silent", "break", "error"])
def test_a_possibly_executed_write_fails_and_is_never_retried(run_scenario, mode):
    async def scenario(world):
        world.targets[0].mode = mode
        assert (await world.write(tag=3)).end == "failed"
        await asyncio.sleep(DEADLINE)
        assert [tag for tag, _ in world.targets[0].ran] == [3]

    run_scenario(scenario)


def test_a_write_that_times_out_mid_transfer_is_never_retried(run_scenario):
    async def scenario(world):
        world.targets[0].mode = "stall"
        assert (await world.write(tag=3, size=65536)).end == "failed"
        await asyncio.sleep(DEADLINE)
        assert [tag for _, tag in world.targets[0].begun] == [3] and world.targets[0].ran == []

    run_scenario(scenario)


def test_a_write_rejected_before_execution_is_retried(run_scenario):
    async def scenario(world):
        target = world.targets[0]
        target.mode = "turn_away"
        request_task = asyncio.create_task(world.write(tag=4))
        await world.until(lambda: target.begun)
        target.mode = "serve"
        assert (await request_task).end == "served"
        assert [tag for tag, _ in target.ran] == [4]

    run_scenario(scenario)


def test_a_failed_read_is_retried_but_never_concurrently(run_scenario):
    async def scenario(world):
        target = world.targets[0]
        target.mode, target.delay = "error", 0.02
        request_task = asyncio.create_task(world.read(tag=4))
        await world.until(lambda: len(target.ran) >= 2)
        target.mode = "serve"
        assert (await request_task).end == "served"
        assert target.max_in_flight == 1

    run_scenario(scenario)


@pytest.mark.parametrize("write", [False, True])
def test_a_request_that_its_target_rejects_is_rejected_with_retry_after(run_scenario, write):
    async def scenario(world):
        world.targets[0].mode = "turn_away"
        result = await (world.write() if write else world.read())
        assert result.end == "refused"
        assert 0 < result.retry_after <= MAX_RETRY_AFTER

    run_scenario(scenario)


def test_a_write_to_an_unreachable_target_is_rejected(run_scenario):
    async def scenario(world):
        world.targets[0].close()
        await asyncio.sleep(0)
        result = await world.write()
        assert result.end == "refused" and result.elapsed < DEADLINE

    run_scenario(scenario)


@pytest.mark.parametrize("status", ["leaving", "left"])
def test_a_draining_or_removed_target_gets_no_new_requests_and_completes_those_in_flight(
    run_scenario, status
):
    async def scenario(world):
        target = world.targets[0]
        target.delay = 0.1
        request_task = asyncio.create_task(world.read(tag=1))
        await world.until(lambda: target.begun)
        world.discovery.set(target, status)
        notified_at = time.monotonic()
        assert (await request_task).end == "served"
        await world.until(lambda: len([line for line in world.logged if line["event"] == "list"]) > 1)
        results = await asyncio.gather(*(world.read(tag) for tag in range(2, 8)))
        assert {result.end for result in results} <= {"refused", "failed"}
        assert all(at < notified_at + world.settings.rules.drain_grace for at, _ in target.begun)
        world.discovery.set(target, "active")
        await world.until(lambda: len([line for line in world.logged if line["event"] == "list"]) > 2)
        assert (await world.read(tag=9)).end == "served"

    run_scenario(scenario)


def test_the_write_of_a_disconnected_client_is_not_retried(run_scenario):
    async def scenario(world):
        target = world.targets[0]
        target.mode = "silent"
        request_task = asyncio.create_task(world.write(tag=2))
        await world.until(lambda: target.begun)
        request_task.cancel()
        await world.until(lambda: world.app.engine.open_request_count == 0)
        target.mode = "serve"
        assert (await world.read(tag=3)).end == "served"
        assert [tag for _, tag in target.begun] == [2, 3]
        assert world.app.engine.counts["gone"] == 1

    run_scenario(scenario)


def test_a_volume_does_not_exceed_its_rate_limit(run_scenario):
    async def scenario(world):
        started_at = time.monotonic()
        results = await asyncio.gather(*(world.read(tag) for tag in range(60)))
        elapsed = time.monotonic() - started_at + 1.0  # margin for the time that the initiator ran before
        assert len(world.targets[0].ran) <= 10.0 * elapsed
        assert any(result.end == "refused" for result in results)

    run_scenario(scenario, plans=(plan(rate=5.0, limit=10.0, burst=20.0, slack=2.0),))


def test_shutdown_completes_accepted_requests(run_scenario):
    async def scenario(world):
        world.targets[0].delay = 0.2
        request_task = asyncio.create_task(world.read())
        await world.until(lambda: world.targets[0].begun)
        world.app.stop.set()
        assert (await request_task).end == "served"
        await asyncio.wait_for(asyncio.shield(world.running), 10)

    run_scenario(scenario)


def test_shutdown_waits_for_the_latest_response(run_scenario):
    """Guards against a fixed shutdown timeout below the longest deadline, which would lose late responses."""

    async def scenario(world):
        world.targets[0].mode = "silent"
        world.app.stop.set()
        request_task = asyncio.create_task(world.read())
        await world.until(lambda: world.targets[0].begun)
        assert (await request_task).end in ("refused", "failed")
        await asyncio.wait_for(asyncio.shield(world.running), 10)
        assert world.app.engine.open_request_count == 0

    run_scenario(scenario)


def test_units_are_derived_from_the_request_size(run_scenario):
    async def scenario(world):
        assert (await world.read(units=3)).end == "served"
        (volume,) = world.app.engine._scheduler.volumes.values()
        assert volume.served.total == pytest.approx(3.0, rel=0.2)
        assert PER_UNIT * BLOCK * 3 < 65536

    run_scenario(scenario)
