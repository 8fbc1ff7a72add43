"""Coming back between real processes: killed, their state lost or spoilt, with discovery down."""

from __future__ import annotations

import asyncio
import shutil
import signal
import time
from dataclasses import replace

import pytest

from stalltiller.daemon.recovery_coordinator import MAX_CONFIRMATION_WAIT_SECONDS
from stalltiller.recovery import SnapshotStore
from tests.fleet.rig import Rig, patient, play, read

FOUR = [f"m{n}" for n in range(4)]


async def saved(rig: Rig) -> None:
    """Wait until all have the newest list on their disks."""

    def kept(name: str) -> bool:
        store = SnapshotStore(str(rig[name].store))
        try:
            facts = store.load(name, f"127.0.0.1:{rig.discovery.port}", time.time())
            listing = facts and facts.target_list
            return listing is not None and listing.version == rig.discovery.index
        finally:
            store.close()

    await rig.until(lambda: all(rig[name].store.exists() and kept(name) for name in FOUR), "all have kept it")


async def end(rig: Rig, names: list[str], number: signal.Signals = signal.SIGKILL) -> None:
    """End some at once."""
    for name in names:
        rig[name].send(number)
    await asyncio.gather(*(rig[name].process.wait() for name in names))
    await asyncio.gather(*(rig[name].reading for name in names))


async def start(rig: Rig, names: list[str]) -> None:
    """Start some together."""
    for name in names:
        rig[name].log.clear()
    await asyncio.gather(*(rig[name].start() for name in names))
    await rig.until(lambda: all(rig[name].said("started") for name in names), "they have started")


async def restart(rig: Rig) -> None:
    """Kill all at once and start them together."""
    await end(rig, FOUR)
    await start(rig, FOUR)


async def ready(rig: Rig, names: list[str], status: int = 200) -> None:
    async def all_say() -> bool:
        return [await rig[name].status("/_ready") for name in names] == [status] * len(names)

    await rig.until(all_say, f"/_ready says {status}")


def good(told: list[list[float]]) -> bool:
    """Whether all of these patient clients were served in the end."""
    return all(each[-1] == 0.0 for each in told)


def test_all_killed_while_discovery_is_down_serve_from_what_they_kept(tmp_path):
    async def scene(rig):
        await saved(rig)
        rig.discovery.close()
        await restart(rig)
        assert good([await patient(rig[name].listen, 1) for name in FOUR])
        await rig.until(
            lambda: all(rig[name].said("recovery_snapshot_loaded") for name in FOUR), "all say so"
        )

    play(scene, 4, tmp_path, keep="true")


def test_with_their_state_lost_too_they_are_not_ready_until_discovery_is_back(tmp_path):
    async def scene(rig):
        rig.discovery.close()
        for name in FOUR:
            rig[name].send(signal.SIGKILL)
        await asyncio.gather(*(rig[name].process.wait() for name in FOUR))
        for name in FOUR:
            shutil.rmtree(rig[name].store)
            rig[name].log.clear()
        await asyncio.gather(*(rig[name].start() for name in FOUR))
        await rig.until(lambda: all(rig[name].said("discovery_failed") for name in FOUR), "it is missed")
        assert [await rig[name].status("/_ready") for name in FOUR] == [503] * 4
        await rig.discovery.open()
        await ready(rig, FOUR)
        assert good([await patient(rig[name].listen, 1) for name in FOUR])

    play(scene, 4, tmp_path, keep="true")


def test_torn_state_of_half_is_refused_and_nobody_but_they_asks_for_the_whole_list(tmp_path):
    async def scene(rig):
        await saved(rig)
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
        assert [len(rig[name].said("recovery_snapshot_rejected")) for name in FOUR] == [1, 1, 0, 0]
        assert sum("after=" not in call for call in rig.discovery.calls) == 2
        await rig.agreed()
        assert good([await patient(rig[name].listen, 1) for name in FOUR])

    play(scene, 4, tmp_path, keep="true")


def test_what_a_peer_knows_to_drain_gets_nothing_from_those_that_come_back_with_an_older_list(tmp_path):
    """Three are killed; the fourth hears that s-1 leaves, then discovery falls silent.  On the lists that the
    three have kept s-1 is ready."""

    async def scene(rig):
        await saved(rig)
        back = FOUR[:3]
        await end(rig, back)
        rig.discovery.set(rig.targets[1], "leaving")
        await rig.until(
            lambda: any(line["targets"].get("s-1") == "draining" for line in rig["m3"].said("list")),
            "m3 hears of it",
        )
        rig.discovery.close()
        sent = len(rig.targets[1].begun)
        await start(rig, back)
        await ready(rig, back)
        assert all(
            rig[name].said("recovery_peer_state_applied")[0]["withheld_targets"] == ["s-1"] for name in back
        )
        told = [await patient(rig[name].listen, 1, shard=1) for name in back]
        assert all(each[-1] > 0 for each in told)  # refused, with advice
        assert len(rig.targets[1].begun) == sent
        assert good([await patient(rig[name].listen, 2) for name in back])
        rig.discovery.set(rig.targets[1])  # it stays after all: its own discovery may say so, no peer
        await rig.discovery.open()
        await rig.until(lambda: all(rig[name].said("list") for name in back), "they hear of it")
        assert good([await patient(rig[name].listen, 3, shard=1) for name in back])

    play(scene, 4, tmp_path, keep="true", ask_peers_s="3.0")


def test_a_target_told_to_drain_stays_told_though_all_are_killed_long_before_the_next_saving(tmp_path):
    async def scene(rig):
        await saved(rig)
        rig.discovery.set(rig.targets[1], "leaving")
        await saved(rig)
        rig.discovery.close()
        await end(rig, FOUR)
        sent = len(rig.targets[1].begun)
        await start(rig, FOUR)
        assert good([await patient(rig[name].listen, 1) for name in FOUR])
        told = [await patient(rig[name].listen, 2, shard=1) for name in FOUR]
        assert all(each[-1] > 0 for each in told) and len(rig.targets[1].begun) == sent

    play(scene, 4, tmp_path, keep="true", save_every_s="300.0")


@pytest.mark.parametrize(("age", "waits"), [(60.0, False), (700.0, True)])
def test_a_list_of_another_time_is_served_from_once_confirmed_and_not_at_all_if_it_is_too_old(
    tmp_path, age, waits
):
    """While discovery is down nobody confirms it: one of 60 s is believed in the end, one of 700 s never."""

    async def scene(rig):
        await saved(rig)
        await end(rig, FOUR)
        rig.discovery.close()
        for name in FOUR:
            store, now = SnapshotStore(str(rig[name].store)), time.time()
            facts = store.load(name, f"127.0.0.1:{rig.discovery.port}", now)
            store.save(replace(facts, saved_at=now - age, target_list_confirmed_at=now - age))
            store.close()
        await start(rig, FOUR)
        if waits:
            await rig.until(lambda: all(rig[name].said("discovery_failed") for name in FOUR), "it is missed")
            assert [await rig[name].status("/_ready") for name in FOUR] == [503] * 4
            await rig.discovery.open()
        await ready(rig, FOUR)
        assert good([await patient(rig[name].listen, 1) for name in FOUR])
        assert waits or all(
            rig[name].said("recovery_phase")[0]["after_s"] >= MAX_CONFIRMATION_WAIT_SECONDS for name in FOUR
        )

    play(scene, 4, tmp_path, keep="true")


def test_a_second_wave_of_kills_while_the_first_comes_back_brings_no_rush_on_discovery(tmp_path):
    """Six are killed together while discovery is down, three of them again in their return.  Discovery sees
    1.2 calls a second of six in the calm."""

    async def scene(rig):
        names, wave = list(rig.members), list(rig.members)[::2]
        await ready(rig, names)
        rig.discovery.close()
        await end(rig, names)
        await start(rig, names)
        reads = [
            asyncio.create_task(patient(rig[name].listen, n, 20.0, shard=n % 2))
            for n, name in enumerate(names * 6)
        ]
        await asyncio.sleep(0.5)
        await end(rig, wave)
        await start(rig, wave)
        rig.discovery.times.clear()
        await rig.discovery.open()
        assert good(await asyncio.gather(*reads))
        await rig.until(
            lambda: all(rig[name].said("recovery_ramp_ended") for name in names), "all doors are open"
        )
        await rig.until(lambda: all(rig[name].said("list") for name in names), "all have heard")
        times = rig.discovery.times
        assert max(sum(at - 1.0 < other <= at for other in times) for at in times) <= 4
        assert sum(bool(rig[name].said("fault")) for name in names) == 0
        ran = [tag for target in rig.targets for tag, _ in target.ran]
        assert set(ran) >= set(range(36))

    play(scene, 6, tmp_path, keep="true")


def test_a_rolling_restart_narrows_no_door_and_every_patient_client_is_served(tmp_path):
    async def scene(rig):
        reads, number = [], 0
        for name in FOUR:
            reads += [
                asyncio.create_task(patient(rig[each].listen, n, 12.0, shard=n % 2))
                for n, each in enumerate(FOUR * 4, number)
            ]
            number += 16
            await end(rig, [name], signal.SIGTERM)
            await start(rig, [name])
            assert rig[name].said("recovery_snapshot_loaded")[0]["is_clean_shutdown"]
        assert good(await asyncio.gather(*reads))
        assert not any(rig[name].said("recovery_ramp_ended") or rig[name].said("fault") for name in FOUR)

    play(scene, 4, tmp_path, keep="true")


def test_clients_that_come_at_the_time_they_were_told_are_served_first(tmp_path):
    """All are killed and one is asked by forty at once: whom it can't serve it tells when to return."""

    async def scene(rig):
        await saved(rig)
        await restart(rig)
        told = await asyncio.gather(*(patient(rig["m0"].listen, n, 6.0, shard=n % 2) for n in range(40)))
        assert good(told) and len({wait for each in told for wait in each if wait > 0}) > 20  # no step
        await rig.until(lambda: bool(rig["m0"].said("recovery_ramp_ended")), "its door is open")
        counts = rig["m0"].said("recovery_ramp_ended")[0]
        assert counts["returned"] >= 0.8 * counts["booked"] > 0

    play(scene, 4, tmp_path, keep="true")


def test_restarts_in_a_row_give_a_limited_volume_no_unit_more(tmp_path):
    """One host of a `basic` volume (27 units a second, 44 at once) is told to end and started four times."""

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
            await rig.until(lambda: rig["m0"].said("started") != [], "it is back")
        took = time.monotonic() - began
        ran = len(rig.targets[0].ran)
        assert served <= ran <= 27 * took + 44
        assert rig["m0"].said("recovery_state_restored")[0]["token_levels"] == 1

    play(scene, 4, tmp_path, keep="true")
