"""Membership between real processes, with faults between them."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
import time

import pytest

from tests.fleet.proxy import Fault
from tests.fleet.rig import ROOT, read, run_scene
from tests.stand_ins import HttpTarget

SIX = [f"m{n}" for n in range(6)]


def test_half_of_the_fleet_killed_and_restarted_together_rejoins_with_later_start_times(tmp_path):
    async def scene(rig):
        before = await rig["m0"].running_members()
        await asyncio.gather(*(rig[name].kill() for name in SIX[3:]))
        await rig.agreed(*SIX[:3])
        await asyncio.gather(*(rig[name].start() for name in SIX[3:]))
        await rig.agreed()
        after = await rig["m0"].running_members()
        assert all((after[name] > before[name]) == (name in SIX[3:]) for name in SIX)

    run_scene(scene, 6, tmp_path)


def test_a_member_restarted_before_its_death_is_detected_has_a_later_start_time(tmp_path):
    async def scene(rig):
        before = (await rig["m1"].running_members())["m4"]
        await rig["m4"].kill()
        await rig["m4"].start()

        async def is_known_as_restarted():
            seen = await asyncio.gather(*(rig[name].running_members() for name in SIX[:4]))
            return all(each.get("m4", 0) > before for each in seen)

        await rig.until(is_known_as_restarted, "all know the new process")
        await rig.agreed()

    run_scene(scene, 6, tmp_path)


def test_a_partition_splits_the_fleet_and_healing_joins_it(tmp_path):
    async def scene(rig):
        rig.proxy.cut(set(SIX[:3]), set(SIX[3:]))
        await asyncio.gather(rig.agreed(*SIX[:3]), rig.agreed(*SIX[3:]))
        rig.proxy.heal()
        await rig.agreed()
        assert (await rig["m0"].running_members()).keys() == set(SIX)

    run_scene(scene, 6, tmp_path)


def test_a_one_way_cut_between_two_members_declares_nobody_dead(tmp_path):
    async def scene(rig):
        rig.proxy.cut({"m1"}, {"m2"}, both=False)
        await rig.until(lambda: rig.proxy.lost["m1", "m2"] >= 20, "enough is lost")
        assert [member.name for member in rig.members.values() if member.logged("fleet_dead")] == []
        await rig.agreed()

    run_scene(scene, 6, tmp_path)


def test_a_member_stopped_for_longer_than_a_suspicion_is_declared_dead_and_refutes_it(tmp_path):
    async def scene(rig):
        rig["m5"].send(signal.SIGSTOP)
        await rig.agreed(*SIX[:5])
        rig["m5"].send(signal.SIGCONT)
        await rig.agreed()
        await rig.until(lambda: rig["m5"].logged("fleet_refuted") != [], "it refutes")
        assert rig["m5"].logged("fleet_stalled") and not rig["m5"].logged("fleet_dead")
        assert any(rig[name].logged("fleet_dead", "m5") for name in SIX[:5])

    run_scene(scene, 6, tmp_path)


def test_loss_duplication_and_reordering_declare_nobody_dead(tmp_path):
    async def scene(rig):
        rig.proxy.default_fault = Fault(loss=0.1, duplication=0.2, delay=0.03)
        await rig.until(lambda: sum(rig.proxy.lost.values()) >= 60, "enough is lost")
        assert not any(member.logged("fleet_dead") for member in rig.members.values())

    run_scene(scene, 6, tmp_path)


def test_a_member_that_terminates_or_leaves_has_left_and_is_not_dead(tmp_path):
    async def scene(rig):
        rig["m4"].send(signal.SIGTERM)
        command = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "stalltiller",
            "fleet",
            "--admin",
            f"127.0.0.1:{rig['m5'].admin}",
            "leave",
            cwd=ROOT,
            stdout=subprocess.PIPE,
        )
        assert (await command.communicate())[0] == b"left\n"
        await rig.agreed(*SIX[:4])
        assert not any(rig[name].logged("fleet_dead") for name in SIX[:4])
        assert await rig["m5"].status("/_ready") == 200  # it serves on
        await rig.until(lambda: rig["m4"].process.returncode == 0, "it ends")

    run_scene(scene, 6, tmp_path)


def test_the_budget_of_a_warming_target_is_lent_to_members_in_need_and_not_exceeded(tmp_path):
    """Only m0 and m1 have clients: they borrow the allotments of others, and a target that rejects all gets
    no more than its capacity in any case (8 units a second at its start, more as it warms up)."""

    async def scene(rig):
        await rig.all_may_lend()
        _, warming = await rig.rush(["m0", "m1"], 40, 5.0, "turn_away")
        first_at = warming.begun[0][0]
        borrowed = [
            (await rig[name].admin_json("/_fleet/status"))["commons"].get("borrowed", 0) for name in SIX[:2]
        ]
        assert all(borrowed)
        for at, _ in warming.begun:
            capacity = 8 * (0.15 + 0.85 * (at - first_at) / 17) / 0.15
            assert sum(at - 1.0 < other <= at for other, _ in warming.begun) <= capacity + 1

    run_scene(scene, 6, tmp_path)


def test_members_with_different_target_lists_use_their_own(tmp_path):
    """For some seconds half of the fleet does not know that a target drains and that another was added: it
    still uses the first and sends nothing to the second, whatever its peers know."""

    async def scene(rig):
        added = HttpTarget("s-9", 9)
        await added.open()
        rig.targets.append(added)
        rig.discovery.set(added)
        rig.discovery.set(rig.targets[0], "leaving")
        first = [rig["m0"], rig["m1"]]
        await rig.until(
            lambda: all(
                any("draining" in line["targets"].values() for line in one.logged("list")) for one in first
            ),
            "the first half has the new list",
        )
        assert [await read(rig[name].listen, 1) for name in SIX[:4]] == [503, 503, 200, 200]
        assert [await read(member.listen, 2, 9) for member in first] == [200, 200]
        assert [await read(rig[name].listen, 3, 9) for name in SIX[2:4]] == [503, 503]
        assert not any(tag == 3 for tag, _ in added.ran)
        rig.second.set(added)
        await rig.until(
            lambda: all(
                any("s-9" in line["targets"] for line in member.logged("list"))
                for member in (rig["m2"], rig["m3"])
            ),
            "the second half has the new list",
        )
        assert [await read(rig[name].listen, 4, 9) for name in SIX[2:4]] == [200, 200]
        await rig.agreed()

    run_scene(scene, 4, tmp_path, lists="2")


def test_units_of_a_limited_volume_are_lent_and_the_fleet_stays_within_its_limit(tmp_path):
    """Two initiators of a `basic` volume (27 units a second, 44 at once); all but one request go through m0,
    which alone would have half of the limit and of the burst."""

    async def scene(rig):
        assert await read(rig["m1"].listen, 999, plan="basic", hosts=2, volume=9) in (200, 503)
        began_at = time.monotonic()
        attempts = []
        for number in range(240):
            attempt = read(rig["m0"].listen, number, plan="basic", hosts=2, volume=9)
            attempts.append(asyncio.create_task(attempt))
            await asyncio.sleep(1 / 60)
        served = sum(status == 200 for status in await asyncio.gather(*attempts))
        elapsed = time.monotonic() - began_at
        executed = len(rig.targets[0].ran)
        assert 1.2 * (13.5 * elapsed + 22) < served <= executed <= 27 * elapsed + 44 + 1

    run_scene(scene, 2, tmp_path, peers="true")


@pytest.mark.parametrize("isolated", [False, True])
def test_requests_do_not_wait_for_the_fleet(isolated, tmp_path):
    async def scene(rig):
        if isolated:
            rig.proxy.cut(set(SIX[:3]), set(SIX[:3]))
            await rig.until(lambda: sum(rig.proxy.lost.values()) >= 10, "the members are isolated")
        assert [await read(rig["m0"].listen, number) for number in range(1, 9)] == [200] * 8

    run_scene(scene, 3, tmp_path)
