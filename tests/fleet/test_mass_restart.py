"""Recovery of real processes: killed, with their state lost or corrupt, and with discovery unavailable."""

from __future__ import annotations

import asyncio
import shutil
import signal
import time
from dataclasses import replace

import pytest

from stalltiller.daemon.recovery_coordinator import MAX_CONFIRMATION_WAIT_SECONDS
from stalltiller.recovery import SnapshotStore
from tests.fleet.rig import Rig, read, read_with_retries, run_scene

FOUR = [f"m{n}" for n in range(4)]


async def wait_until_saved(rig: Rig) -> None:
    """Wait until all members have stored the newest target list."""

    def is_saved(name: str) -> bool:
        store = SnapshotStore(str(rig[name].store))
        try:
            snapshot = store.load(name, f"127.0.0.1:{rig.discovery.port}", time.time())
            target_list = snapshot and snapshot.target_list
            return target_list is not None and target_list.version == rig.discovery.index
        finally:
            store.close()

    await rig.until(
        lambda: all(rig[name].store.exists() and is_saved(name) for name in FOUR), "all have stored it"
    )


async def end_members(rig: Rig, names: list[str], signal_number: signal.Signals = signal.SIGKILL) -> None:
    """End some members at once."""
    for name in names:
        rig[name].send(signal_number)
    await asyncio.gather(*(rig[name].process.wait() for name in names))
    await asyncio.gather(*(rig[name].reading for name in names))


async def start_members(rig: Rig, names: list[str]) -> None:
    """Start some members together."""
    for name in names:
        rig[name].log.clear()
    await asyncio.gather(*(rig[name].start() for name in names))
    await rig.until(lambda: all(rig[name].logged("started") for name in names), "they have started")


async def kill_and_restart_all(rig: Rig) -> None:
    """Kill all members at once and start them together."""
    await end_members(rig, FOUR)
    await start_members(rig, FOUR)


async def wait_until_ready(rig: Rig, names: list[str], status: int = 200) -> None:
    """Wait until `/_ready` of some members answers with a status."""

    async def all_answer() -> bool:
        return [await rig[name].status("/_ready") for name in names] == [status] * len(names)

    await rig.until(all_answer, f"/_ready says {status}")


def all_served(client_waits: list[list[float]]) -> bool:
    """Whether all of these clients were served in the end; `client_waits` are their Retry-After."""
    return all(waits[-1] == 0.0 for waits in client_waits)


def test_members_killed_while_discovery_is_unavailable_serve_from_their_snapshots(tmp_path):
    async def scene(rig):
        await wait_until_saved(rig)
        rig.discovery.close()
        await kill_and_restart_all(rig)
        assert all_served([await read_with_retries(rig[name].listen, 1) for name in FOUR])
        await rig.until(
            lambda: all(rig[name].logged("recovery_snapshot_loaded") for name in FOUR), "all say so"
        )

    run_scene(scene, 4, tmp_path, keep="true")


def test_members_without_snapshots_are_not_ready_until_discovery_is_available(tmp_path):
    async def scene(rig):
        rig.discovery.close()
        for name in FOUR:
            rig[name].send(signal.SIGKILL)
        await asyncio.gather(*(rig[name].process.wait() for name in FOUR))
        for name in FOUR:
            shutil.rmtree(rig[name].store)
            rig[name].log.clear()
        await asyncio.gather(*(rig[name].start() for name in FOUR))
        await rig.until(lambda: all(rig[name].logged("discovery_failed") for name in FOUR), "they notice")
        assert [await rig[name].status("/_ready") for name in FOUR] == [503] * 4
        await rig.discovery.open()
        await wait_until_ready(rig, FOUR)
        assert all_served([await read_with_retries(rig[name].listen, 1) for name in FOUR])

    run_scene(scene, 4, tmp_path, keep="true")


def test_torn_snapshots_are_rejected_and_only_their_members_request_the_full_list(tmp_path):
    async def scene(rig):
        await wait_until_saved(rig)
        for name in FOUR:
            rig[name].send(signal.SIGKILL)
        await asyncio.gather(*(rig[name].process.wait() for name in FOUR))
        for name in FOUR[:2]:
            path = rig[name].store / "data.mdb"
            path.write_bytes(path.read_bytes().replace(b"STL1", b"STL0"))
        for name in FOUR:
            rig[name].log.clear()
        rig.discovery.calls.clear()
        await asyncio.gather(*(rig[name].start() for name in FOUR))
        await rig.until(lambda: len(rig.discovery.calls) >= 6, "all have asked, two of them twice")
        assert [len(rig[name].logged("recovery_snapshot_rejected")) for name in FOUR] == [1, 1, 0, 0]
        assert sum("after=" not in call for call in rig.discovery.calls) == 2
        await rig.agreed()
        assert all_served([await read_with_retries(rig[name].listen, 1) for name in FOUR])

    run_scene(scene, 4, tmp_path, keep="true")


def test_restarted_members_send_nothing_to_a_target_that_a_peer_knows_to_drain(tmp_path):
    """Three members are killed; the fourth learns that s-1 drains, then discovery becomes unavailable.  In
    the snapshots of the three s-1 is ready."""

    async def scene(rig):
        await wait_until_saved(rig)
        restarted = FOUR[:3]
        await end_members(rig, restarted)
        rig.discovery.set(rig.targets[1], "leaving")
        await rig.until(
            lambda: any(line["targets"].get("s-1") == "draining" for line in rig["m3"].logged("list")),
            "m3 learns of it",
        )
        rig.discovery.close()
        sent = len(rig.targets[1].begun)
        await start_members(rig, restarted)
        await wait_until_ready(rig, restarted)
        assert all(
            rig[name].logged("recovery_peer_state_applied")[0]["withheld_targets"] == ["s-1"]
            for name in restarted
        )
        client_waits = [await read_with_retries(rig[name].listen, 1, shard=1) for name in restarted]
        assert all(waits[-1] > 0 for waits in client_waits)  # rejected with Retry-After
        assert len(rig.targets[1].begun) == sent
        assert all_served([await read_with_retries(rig[name].listen, 2) for name in restarted])
        rig.discovery.set(rig.targets[1])  # it stays after all, as only the own discovery may report
        await rig.discovery.open()
        await rig.until(lambda: all(rig[name].logged("list") for name in restarted), "they learn of it")
        assert all_served([await read_with_retries(rig[name].listen, 3, shard=1) for name in restarted])

    run_scene(scene, 4, tmp_path, keep="true", ask_peers_s="3.0")


def test_drain_is_saved_at_once_and_survives_a_kill_before_the_next_regular_snapshot(tmp_path):
    async def scene(rig):
        await wait_until_saved(rig)
        rig.discovery.set(rig.targets[1], "leaving")
        await wait_until_saved(rig)
        rig.discovery.close()
        await end_members(rig, FOUR)
        sent = len(rig.targets[1].begun)
        await start_members(rig, FOUR)
        assert all_served([await read_with_retries(rig[name].listen, 1) for name in FOUR])
        client_waits = [await read_with_retries(rig[name].listen, 2, shard=1) for name in FOUR]
        assert all(waits[-1] > 0 for waits in client_waits) and len(rig.targets[1].begun) == sent

    run_scene(scene, 4, tmp_path, keep="true", save_every_s="300.0")


@pytest.mark.parametrize(("age", "waits"), [(60.0, False), (700.0, True)])
def test_old_list_is_used_after_a_wait_for_confirmation_and_an_expired_one_is_not(tmp_path, age, waits):
    """While discovery is unavailable nobody confirms the list: one of 60 s is used in
    the end, one of 700 s never."""

    async def scene(rig):
        await wait_until_saved(rig)
        await end_members(rig, FOUR)
        rig.discovery.close()
        for name in FOUR:
            store, now = SnapshotStore(str(rig[name].store)), time.time()
            snapshot = store.load(name, f"127.0.0.1:{rig.discovery.port}", now)
            store.save(replace(snapshot, saved_at=now - age, target_list_confirmed_at=now - age))
            store.close()
        await start_members(rig, FOUR)
        if waits:
            await rig.until(lambda: all(rig[name].logged("discovery_failed") for name in FOUR), "they notice")
            assert [await rig[name].status("/_ready") for name in FOUR] == [503] * 4
            await rig.discovery.open()
        await wait_until_ready(rig, FOUR)
        assert all_served([await read_with_retries(rig[name].listen, 1) for name in FOUR])
        assert waits or all(
            rig[name].logged("recovery_phase")[0]["after_s"] >= MAX_CONFIRMATION_WAIT_SECONDS for name in FOUR
        )

    run_scene(scene, 4, tmp_path, keep="true")


def test_second_wave_of_kills_during_recovery_keeps_discovery_within_its_peak_rate(tmp_path):
    """Six members are killed together while discovery is unavailable, three of them again during recovery.
    Discovery gets 1.2 calls per second of six members in normal operation."""

    async def scene(rig):
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
        await rig.until(
            lambda: all(rig[name].logged("recovery_ramp_ended") for name in names), "all doors are open"
        )
        await rig.until(lambda: all(rig[name].logged("list") for name in names), "all have a list")
        times = rig.discovery.times
        assert max(sum(at - 1.0 < other <= at for other in times) for at in times) <= 4
        assert sum(bool(rig[name].logged("fault")) for name in names) == 0
        ran = [tag for target in rig.targets for tag, _ in target.ran]
        assert set(ran) >= set(range(36))

    run_scene(scene, 6, tmp_path, keep="true")


def test_rolling_restart_starts_no_ramp_and_every_retrying_client_is_served(tmp_path):
    async def scene(rig):
        reads, number = [], 0
        for name in FOUR:
            reads += [
                asyncio.create_task(read_with_retries(rig[each].listen, n, 12.0, shard=n % 2))
                for n, each in enumerate(FOUR * 4, number)
            ]
            number += 16
            await end_members(rig, [name], signal.SIGTERM)
            await start_members(rig, [name])
            assert rig[name].logged("recovery_snapshot_loaded")[0]["is_clean_shutdown"]
        assert all_served(await asyncio.gather(*reads))
        assert not any(rig[name].logged("recovery_ramp_ended") or rig[name].logged("fault") for name in FOUR)

    run_scene(scene, 4, tmp_path, keep="true")


def test_clients_that_retry_at_the_reserved_time_are_served_first(tmp_path):
    """All members are killed, and forty clients ask one at once, which reserves units for some."""

    async def scene(rig):
        await wait_until_saved(rig)
        await kill_and_restart_all(rig)
        client_waits = await asyncio.gather(
            *(read_with_retries(rig["m0"].listen, n, 6.0, shard=n % 2) for n in range(40))
        )
        assert all_served(client_waits)
        different_waits = {wait for waits in client_waits for wait in waits if wait > 0}
        assert len(different_waits) > 20  # the clients do not retry in step
        await rig.until(lambda: bool(rig["m0"].logged("recovery_ramp_ended")), "its ramp ends")
        counts = rig["m0"].logged("recovery_ramp_ended")[0]
        assert counts["returned"] >= 0.8 * counts["booked"] > 0

    run_scene(scene, 4, tmp_path, keep="true")


def test_repeated_restarts_give_a_limited_volume_no_additional_units(tmp_path):
    """One initiator of a `basic` volume (27 units per second, burst of 44) is restarted four times."""

    async def scene(rig):
        began, number, served = time.monotonic(), 0, 0
        for _ in range(4):
            tries = []
            for _ in range(60):
                number += 1
                tries.append(asyncio.create_task(read(rig["m0"].listen, number, plan="basic", volume=7)))
                await asyncio.sleep(0.01)
            served += sum(status == 200 for status in await asyncio.gather(*tries))
            rig["m0"].send(signal.SIGTERM)
            await rig["m0"].process.wait()
            rig["m0"].log.clear()
            await rig["m0"].start()
            await rig.until(lambda: rig["m0"].logged("started") != [], "it is back")
        elapsed = time.monotonic() - began
        ran = len(rig.targets[0].ran)
        assert served <= ran <= 27 * elapsed + 44
        assert rig["m0"].logged("recovery_state_restored")[0]["token_levels"] == 1

    run_scene(scene, 4, tmp_path, keep="true")
