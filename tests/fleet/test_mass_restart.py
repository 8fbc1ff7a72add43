"""Recovery of real processes after kills, with state lost or corrupt, or while discovery is unavailable."""

from __future__ import annotations

import asyncio
import shutil
import signal
import time
from dataclasses import replace

import pytest

from stalltiller.daemon.recovery_coordinator import MAX_CONFIRMATION_WAIT_SECONDS
from stalltiller.recovery import SnapshotStore
from tests.fleet.rig import Rig, read, read_with_retries, run_scenario

MEMBERS = [f"m{n}" for n in range(4)]


async def wait_until_saved(rig: Rig) -> None:
    """Wait until all members have saved the newest target list in their snapshots."""

    def is_saved(name: str) -> bool:
        store = SnapshotStore(str(rig[name].store_path))
        try:
            snapshot = store.load(name, f"127.0.0.1:{rig.discovery.port}", time.time())
            target_list = snapshot and snapshot.target_list
            return target_list is not None and target_list.version == rig.discovery.index
        finally:
            store.close()

    await rig.wait_until(
        lambda: all(rig[name].store_path.exists() and is_saved(name) for name in MEMBERS),
        "all members have saved the target list",
    )


async def end_members(rig: Rig, names: list[str], signal_number: signal.Signals = signal.SIGKILL) -> None:
    """Send a signal to some members together, and wait until they have exited."""
    for name in names:
        rig[name].send(signal_number)
    await asyncio.gather(*(rig[name].process.wait() for name in names))
    await asyncio.gather(*(rig[name].log_reader for name in names))


async def start_members(rig: Rig, names: list[str]) -> None:
    """Start some members together, and wait until each has logged its start."""
    for name in names:
        rig[name].log.clear()
    await asyncio.gather(*(rig[name].start() for name in names))
    await rig.wait_until(
        lambda: all(rig[name].logged("started") for name in names), "the members have started"
    )


async def kill_and_restart_all(rig: Rig) -> None:
    """Kill all members together, then start them together."""
    await end_members(rig, MEMBERS)
    await start_members(rig, MEMBERS)


async def wait_until_ready(rig: Rig, names: list[str], status: int = 200) -> None:
    """Wait until the `/_ready` calls of some members return a status."""

    async def all_return_status() -> bool:
        return [await rig[name].admin_status("/_ready") for name in names] == [status] * len(names)

    await rig.wait_until(all_return_status, f"/_ready of all returns {status}")


def all_served(retry_afters_by_client: list[list[float]]) -> bool:
    """Return whether all clients were served in the end, from their results of `read_with_retries`."""
    return all(retry_afters[-1] == 0.0 for retry_afters in retry_afters_by_client)


def test_members_killed_while_discovery_is_unavailable_serve_from_their_snapshots(tmp_path):
    async def scenario(rig):
        await wait_until_saved(rig)
        rig.discovery.close()
        await kill_and_restart_all(rig)
        assert all_served([await read_with_retries(rig[name].listen, 1) for name in MEMBERS])
        await rig.wait_until(
            lambda: all(rig[name].logged("recovery_snapshot_loaded") for name in MEMBERS),
            "all members have loaded their snapshots",
        )

    run_scenario(scenario, 4, tmp_path, persists_state="true")


def test_members_without_snapshots_are_not_ready_until_discovery_is_available(tmp_path):
    async def scenario(rig):
        rig.discovery.close()
        for name in MEMBERS:
            rig[name].send(signal.SIGKILL)
        await asyncio.gather(*(rig[name].process.wait() for name in MEMBERS))
        for name in MEMBERS:
            shutil.rmtree(rig[name].store_path)
            rig[name].log.clear()
        await asyncio.gather(*(rig[name].start() for name in MEMBERS))
        await rig.wait_until(
            lambda: all(rig[name].logged("discovery_failed") for name in MEMBERS),
            "calls to discovery have failed",
        )
        assert [await rig[name].admin_status("/_ready") for name in MEMBERS] == [503] * 4
        await rig.discovery.open()
        await wait_until_ready(rig, MEMBERS)
        assert all_served([await read_with_retries(rig[name].listen, 1) for name in MEMBERS])

    run_scenario(scenario, 4, tmp_path, persists_state="true")


def test_corrupt_snapshots_are_rejected_and_only_their_members_request_the_full_list(tmp_path):
    async def scenario(rig):
        await wait_until_saved(rig)
        for name in MEMBERS:
            rig[name].send(signal.SIGKILL)
        await asyncio.gather(*(rig[name].process.wait() for name in MEMBERS))
        for name in MEMBERS[:2]:
            path = rig[name].store_path / "data.mdb"
            path.write_bytes(path.read_bytes().replace(b"STL1", b"STL0"))
        for name in MEMBERS:
            rig[name].log.clear()
        rig.discovery.calls.clear()
        await asyncio.gather(*(rig[name].start() for name in MEMBERS))
        await rig.wait_until(
            lambda: len(rig.discovery.calls) >= 6, "all members have called discovery, two of them twice"
        )
        assert [len(rig[name].logged("recovery_snapshot_rejected")) for name in MEMBERS] == [1, 1, 0, 0]
        assert sum("after=" not in call for call in rig.discovery.calls) == 2
        await rig.wait_until_views_agree()
        assert all_served([await read_with_retries(rig[name].listen, 1) for name in MEMBERS])

    run_scenario(scenario, 4, tmp_path, persists_state="true")


def test_restarted_members_send_nothing_to_a_target_that_a_peer_reports_as_draining(tmp_path):
    """While three members are down, the fourth learns that s-1 drains, and discovery becomes unavailable.

    The snapshots of the restarted members list s-1 as ready.
    """

    async def scenario(rig):
        await wait_until_saved(rig)
        restarted = MEMBERS[:3]
        await end_members(rig, restarted)
        rig.discovery.set(rig.targets[1], "leaving")
        await rig.wait_until(
            lambda: any(line["targets"].get("s-1") == "draining" for line in rig["m3"].logged("list")),
            "m3 has learned that s-1 drains",
        )
        rig.discovery.close()
        attempts_before = len(rig.targets[1].received)
        await start_members(rig, restarted)
        await wait_until_ready(rig, restarted)
        assert all(
            rig[name].logged("recovery_peer_state_applied")[0]["withheld_targets"] == ["s-1"]
            for name in restarted
        )
        retry_afters_by_client = [await read_with_retries(rig[name].listen, 1, shard=1) for name in restarted]
        # Every client was rejected with Retry-After.
        assert all(retry_afters[-1] > 0 for retry_afters in retry_afters_by_client)
        assert len(rig.targets[1].received) == attempts_before
        assert all_served([await read_with_retries(rig[name].listen, 2) for name in restarted])
        rig.discovery.set(rig.targets[1])  # ready again, which only a member's own discovery may report
        await rig.discovery.open()
        await rig.wait_until(
            lambda: all(rig[name].logged("list") for name in restarted), "the restarted members have a list"
        )
        assert all_served([await read_with_retries(rig[name].listen, 3, shard=1) for name in restarted])

    run_scenario(scenario, 4, tmp_path, persists_state="true", ask_peers_s="3.0")


def test_drain_is_saved_immediately_and_survives_a_kill_before_the_next_regular_snapshot(tmp_path):
    async def scenario(rig):
        await wait_until_saved(rig)
        rig.discovery.set(rig.targets[1], "leaving")
        await wait_until_saved(rig)
        rig.discovery.close()
        await end_members(rig, MEMBERS)
        attempts_before = len(rig.targets[1].received)
        await start_members(rig, MEMBERS)
        assert all_served([await read_with_retries(rig[name].listen, 1) for name in MEMBERS])
        retry_afters_by_client = [await read_with_retries(rig[name].listen, 2, shard=1) for name in MEMBERS]
        assert (
            all(retry_afters[-1] > 0 for retry_afters in retry_afters_by_client)
            and len(rig.targets[1].received) == attempts_before
        )

    run_scenario(scenario, 4, tmp_path, persists_state="true", save_every_s="300.0")


@pytest.mark.parametrize(("age_seconds", "is_expired"), [(60.0, False), (700.0, True)])
def test_old_list_is_used_after_a_wait_for_confirmation_and_an_expired_one_is_not(
    tmp_path, age_seconds, is_expired
):
    """The list stays unconfirmed while discovery is unavailable.

    A list that is 60 s old is used after the wait, one that is 700 s old is never used.
    """

    async def scenario(rig):
        await wait_until_saved(rig)
        await end_members(rig, MEMBERS)
        rig.discovery.close()
        for name in MEMBERS:
            store = SnapshotStore(str(rig[name].store_path))
            now = time.time()
            snapshot = store.load(name, f"127.0.0.1:{rig.discovery.port}", now)
            store.save(
                replace(snapshot, saved_at=now - age_seconds, target_list_confirmed_at=now - age_seconds)
            )
            store.close()
        await start_members(rig, MEMBERS)
        if is_expired:
            await rig.wait_until(
                lambda: all(rig[name].logged("discovery_failed") for name in MEMBERS),
                "calls to discovery have failed",
            )
            assert [await rig[name].admin_status("/_ready") for name in MEMBERS] == [503] * 4
            await rig.discovery.open()
        await wait_until_ready(rig, MEMBERS)
        assert all_served([await read_with_retries(rig[name].listen, 1) for name in MEMBERS])
        assert is_expired or all(
            rig[name].logged("recovery_phase")[0]["after_s"] >= MAX_CONFIRMATION_WAIT_SECONDS
            for name in MEMBERS
        )

    run_scenario(scenario, 4, tmp_path, persists_state="true")


def test_second_wave_of_kills_during_recovery_keeps_discovery_within_its_peak_rate(tmp_path):
    """Six members are killed together while discovery is unavailable, three of them again during recovery.

    In normal operation six members make 1.2 calls to discovery per second.
    """

    async def scenario(rig):
        names = list(rig.members)
        second_wave = names[::2]
        await wait_until_ready(rig, names)
        rig.discovery.close()
        await end_members(rig, names)
        await start_members(rig, names)
        reads = [
            asyncio.create_task(read_with_retries(rig[name].listen, n, 20.0, shard=n % 2))
            for n, name in enumerate(names * 6)
        ]
        await asyncio.sleep(0.5)
        await end_members(rig, second_wave)
        await start_members(rig, second_wave)
        rig.discovery.times.clear()
        await rig.discovery.open()
        assert all_served(await asyncio.gather(*reads))
        await rig.wait_until(
            lambda: all(rig[name].logged("recovery_ramp_ended") for name in names),
            "the ramps of all members have ended",
        )
        await rig.wait_until(
            lambda: all(rig[name].logged("list") for name in names), "all members have a list"
        )
        call_times = rig.discovery.times
        assert max(sum(at - 1.0 < other <= at for other in call_times) for at in call_times) <= 4
        assert sum(bool(rig[name].logged("fault")) for name in names) == 0
        executed_tags = [tag for target in rig.targets for tag, _ in target.executed]
        assert set(executed_tags) >= set(range(36))

    run_scenario(scenario, 6, tmp_path, persists_state="true")


def test_rolling_restart_starts_no_ramp_and_every_retrying_client_is_served(tmp_path):
    async def scenario(rig):
        reads = []
        number = 0
        for name in MEMBERS:
            reads += [
                asyncio.create_task(read_with_retries(rig[client_member].listen, n, 12.0, shard=n % 2))
                for n, client_member in enumerate(MEMBERS * 4, number)
            ]
            number += 16
            await end_members(rig, [name], signal.SIGTERM)
            await start_members(rig, [name])
            assert rig[name].logged("recovery_snapshot_loaded")[0]["is_clean_shutdown"]
        assert all_served(await asyncio.gather(*reads))
        assert not any(
            rig[name].logged("recovery_ramp_ended") or rig[name].logged("fault") for name in MEMBERS
        )

    run_scenario(scenario, 4, tmp_path, persists_state="true")


def test_clients_that_retry_at_the_reserved_time_are_served_first(tmp_path):
    """After a mass restart, forty clients read through one member together, which reserves units for some."""

    async def scenario(rig):
        await wait_until_saved(rig)
        await kill_and_restart_all(rig)
        retry_afters_by_client = await asyncio.gather(
            *(read_with_retries(rig["m0"].listen, n, 6.0, shard=n % 2) for n in range(40))
        )
        assert all_served(retry_afters_by_client)
        distinct_waits = {
            wait for retry_afters in retry_afters_by_client for wait in retry_afters if wait > 0
        }
        assert len(distinct_waits) > 20  # the clients do not all retry at the same time
        await rig.wait_until(
            lambda: bool(rig["m0"].logged("recovery_ramp_ended")), "the ramp of m0 has ended"
        )
        counts = rig["m0"].logged("recovery_ramp_ended")[0]
        assert counts["returned"] >= 0.8 * counts["booked"] > 0

    run_scenario(scenario, 4, tmp_path, persists_state="true")


def test_repeated_restarts_give_a_limited_volume_no_additional_units(tmp_path):
    """One initiator of a `basic` volume (27 units per second, burst of 44) is restarted four times."""

    async def scenario(rig):
        started_at = time.monotonic()
        number = 0
        served = 0
        for _ in range(4):
            reads = []
            for _ in range(60):
                number += 1
                reads.append(asyncio.create_task(read(rig["m0"].listen, number, plan="basic", volume=7)))
                await asyncio.sleep(0.01)
            served += sum(status == 200 for status in await asyncio.gather(*reads))
            rig["m0"].send(signal.SIGTERM)
            await rig["m0"].process.wait()
            rig["m0"].log.clear()
            await rig["m0"].start()
            await rig.wait_until(lambda: rig["m0"].logged("started") != [], "m0 has started")
        elapsed = time.monotonic() - started_at
        executed = len(rig.targets[0].executed)
        assert served <= executed <= 27 * elapsed + 44
        assert rig["m0"].logged("recovery_state_restored")[0]["token_levels"] == 1

    run_scenario(scenario, 4, tmp_path, persists_state="true")
