"""Membership between real processes, with faults between them."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
import time

import pytest

from tests.fleet.proxy import Fault
from tests.fleet.rig import ROOT, play, read
from tests.stand_ins import HttpTarget

SIX = [f"m{n}" for n in range(6)]


def test_half_the_fleet_killed_and_restarted_together_is_back_with_new_lives(tmp_path):
    async def scene(rig):
        before = await rig["m0"].seen()
        await asyncio.gather(*(rig[name].kill() for name in SIX[3:]))
        await rig.agreed(*SIX[:3])
        await asyncio.gather(*(rig[name].start() for name in SIX[3:]))
        await rig.agreed()
        after = await rig["m0"].seen()
        assert all((after[name] > before[name]) == (name in SIX[3:]) for name in SIX)

    play(scene, 6, tmp_path)


def test_a_name_restarted_faster_than_its_death_is_known_is_a_new_life(tmp_path):
    async def scene(rig):
        before = (await rig["m1"].seen())["m4"]
        await rig["m4"].kill()
        await rig["m4"].start()

        async def renewed():
            seen = await asyncio.gather(*(rig[name].seen() for name in SIX[:4]))
            return all(each.get("m4", 0) > before for each in seen)

        await rig.until(renewed, "all know the new life")
        await rig.agreed()

    play(scene, 6, tmp_path)


def test_a_partition_makes_two_fleets_and_healed_one_again(tmp_path):
    async def scene(rig):
        rig.proxy.cut(set(SIX[:3]), set(SIX[3:]))
        await asyncio.gather(rig.agreed(*SIX[:3]), rig.agreed(*SIX[3:]))
        rig.proxy.heal()
        await rig.agreed()
        assert (await rig["m0"].seen()).keys() == set(SIX)

    play(scene, 6, tmp_path)


def test_one_way_cut_between_two_takes_nobody_for_dead(tmp_path):
    async def scene(rig):
        rig.proxy.cut({"m1"}, {"m2"}, both=False)
        await rig.until(lambda: rig.proxy.lost["m1", "m2"] >= 20, "enough is lost")
        assert [member.name for member in rig.members.values() if member.said("fleet_dead")] == []
        await rig.agreed()

    play(scene, 6, tmp_path)


def test_a_member_stopped_for_longer_than_suspicion_is_dead_for_the_others_and_doubts_itself(tmp_path):
    async def scene(rig):
        rig["m5"].send(signal.SIGSTOP)
        await rig.agreed(*SIX[:5])
        rig["m5"].send(signal.SIGCONT)
        await rig.agreed()
        await rig.until(lambda: rig["m5"].said("fleet_refuted") != [], "it refutes")
        assert rig["m5"].said("fleet_stalled") and not rig["m5"].said("fleet_dead")
        assert any(rig[name].said("fleet_dead", "m5") for name in SIX[:5])

    play(scene, 6, tmp_path)


def test_messages_lost_doubled_and_overtaking_each_other_kill_nobody(tmp_path):
    async def scene(rig):
        rig.proxy.usual = Fault(lose=0.1, double=0.2, delay=0.03)
        await rig.until(lambda: sum(rig.proxy.lost.values()) >= 60, "enough is lost")
        assert not any(member.said("fleet_dead") for member in rig.members.values())

    play(scene, 6, tmp_path)


def test_who_is_told_to_end_or_to_leave_has_left_and_is_not_dead(tmp_path):
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
        assert not any(rig[name].said("fleet_dead") for name in SIX[:4])
        assert await rig["m5"].status("/_ready") == 200  # it serves on
        await rig.until(lambda: rig["m4"].process.returncode == 0, "it ends")

    play(scene, 6, tmp_path)


def test_a_cold_target_s_budget_goes_to_those_who_need_it_and_is_not_passed(tmp_path):
    """Only m0 and m1 ask: they borrow the parts of the others, and a target that turns all away gets no more
    than it bears in any case (8 units in a second at its start, more as it warms)."""

    async def scene(rig):
        await rig.shares_whole()
        _, cold = await rig.rush(["m0", "m1"], 40, 5.0, "turn_away")
        first = cold.begun[0][0]
        borrowed = [(await rig[name].ask("/_fleet/status"))["commons"].get("borrowed", 0) for name in SIX[:2]]
        assert all(borrowed)
        for at, _ in cold.begun:
            bears = 8 * (0.15 + 0.85 * (at - first) / 17) / 0.15
            assert sum(at - 1.0 < other <= at for other, _ in cold.begun) <= bears + 1

    play(scene, 6, tmp_path)


def test_members_whose_lists_disagree_go_by_their_own_each(tmp_path):
    """For some seconds half of the fleet has not heard that a target drains and that another has come: it
    goes on with the first and sends nothing to the second, whatever its peers know."""

    async def scene(rig):
        late = HttpTarget("s-9", 9)
        await late.open()
        rig.targets.append(late)
        rig.discovery.set(late)
        rig.discovery.set(rig.targets[0], "leaving")
        first = [rig["m0"], rig["m1"]]
        await rig.until(
            lambda: all(
                any("draining" in line["targets"].values() for line in one.said("list")) for one in first
            ),
            "half has heard",
        )
        assert [await read(rig[name].listen, 1) for name in SIX[:4]] == [503, 503, 200, 200]
        assert [await read(member.listen, 2, 9) for member in first] == [200, 200]
        assert [await read(rig[name].listen, 3, 9) for name in SIX[2:4]] == [503, 503]
        assert not any(tag == 3 for tag, _ in late.ran)
        rig.second.set(late)
        await rig.until(
            lambda: all(
                any("s-9" in line["targets"] for line in member.said("list"))
                for member in (rig["m2"], rig["m3"])
            ),
            "the second half has heard",
        )
        assert [await read(rig[name].listen, 4, 9) for name in SIX[2:4]] == [200, 200]
        await rig.agreed()

    play(scene, 4, tmp_path, lists="2")


def test_units_of_a_limited_volume_are_lent_and_all_together_stay_within_its_limit(tmp_path):
    """Two hosts of a `basic` volume (27 units a second, 44 at once); all but one request come through m0,
    which alone would have half of the limit and of the burst."""

    async def scene(rig):
        assert await read(rig["m1"].listen, 999, plan="basic", hosts=2, volume=9) in (200, 503)
        began, tries = time.monotonic(), []
        for number in range(240):
            again = read(rig["m0"].listen, number, plan="basic", hosts=2, volume=9)
            tries.append(asyncio.create_task(again))
            await asyncio.sleep(1 / 60)
        served = sum(status == 200 for status in await asyncio.gather(*tries))
        took = time.monotonic() - began
        ran = len(rig.targets[0].ran)
        assert 1.2 * (13.5 * took + 22) < served <= ran <= 27 * took + 44 + 1

    play(scene, 2, tmp_path, peers="true")


@pytest.mark.parametrize("silent", [False, True])
def test_serving_does_not_wait_for_the_fleet(silent, tmp_path):
    async def scene(rig):
        if silent:
            rig.proxy.cut(set(SIX[:3]), set(SIX[:3]))
            await rig.until(lambda: sum(rig.proxy.lost.values()) >= 10, "peers are silent")
        assert [await read(rig["m0"].listen, number) for number in range(1, 9)] == [200] * 8

    play(scene, 3, tmp_path)
