"""Membership between real processes, with faults between them."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
import time

import pytest

from tests.fleet.proxy import Fault
from tests.fleet.rig import ROOT, read, run_scenario
from tests.stand_ins import HttpTarget

MEMBERS = [f"m{n}" for n in range(6)]


def test_half_of_the_fleet_killed_and_restarted_together_rejoins_with_later_start_times(tmp_path):
    async def scenario(rig):
        old_start_times = await rig["m0"].running_members()
        await asyncio.gather(*(rig[name].kill() for name in MEMBERS[3:]))
        await rig.wait_until_views_agree(*MEMBERS[:3])
        await asyncio.gather(*(rig[name].start() for name in MEMBERS[3:]))
        await rig.wait_until_views_agree()
        start_times = await rig["m0"].running_members()
        assert all((start_times[name] > old_start_times[name]) == (name in MEMBERS[3:]) for name in MEMBERS)

    run_scenario(scenario, 6, tmp_path)


def test_a_member_restarted_before_its_death_is_detected_has_a_later_start_time(tmp_path):
    async def scenario(rig):
        old_start_time = (await rig["m1"].running_members())["m4"]
        await rig["m4"].kill()
        await rig["m4"].start()

        async def is_known_as_restarted():
            views = await asyncio.gather(*(rig[name].running_members() for name in MEMBERS[:4]))
            return all(view.get("m4", 0) > old_start_time for view in views)

        await rig.wait_until(is_known_as_restarted, "m0 to m3 know the new process of m4")
        await rig.wait_until_views_agree()

    run_scenario(scenario, 6, tmp_path)


def test_a_partition_splits_the_fleet_and_the_halves_merge_when_it_ends(tmp_path):
    async def scenario(rig):
        rig.proxy.cut(set(MEMBERS[:3]), set(MEMBERS[3:]))
        await asyncio.gather(
            rig.wait_until_views_agree(*MEMBERS[:3]), rig.wait_until_views_agree(*MEMBERS[3:])
        )
        rig.proxy.heal()
        await rig.wait_until_views_agree()
        assert (await rig["m0"].running_members()).keys() == set(MEMBERS)

    run_scenario(scenario, 6, tmp_path)


def test_no_member_is_declared_dead_when_one_direction_between_two_is_cut(tmp_path):
    async def scenario(rig):
        rig.proxy.cut({"m1"}, {"m2"}, both=False)
        await rig.wait_until(lambda: rig.proxy.lost_datagrams["m1", "m2"] >= 20, "20 datagrams are lost")
        assert [member.name for member in rig.members.values() if member.logged("fleet_dead")] == []
        await rig.wait_until_views_agree()

    run_scenario(scenario, 6, tmp_path)


def test_a_member_suspended_past_the_suspicion_timeout_is_declared_dead_and_refutes_it(tmp_path):
    async def scenario(rig):
        rig["m5"].send(signal.SIGSTOP)
        await rig.wait_until_views_agree(*MEMBERS[:5])
        rig["m5"].send(signal.SIGCONT)
        await rig.wait_until_views_agree()
        await rig.wait_until(lambda: rig["m5"].logged("fleet_refuted") != [], "m5 refutes its death")
        assert rig["m5"].logged("fleet_stalled") and not rig["m5"].logged("fleet_dead")
        assert any(rig[name].logged("fleet_dead", "m5") for name in MEMBERS[:5])

    run_scenario(scenario, 6, tmp_path)


def test_no_member_is_declared_dead_under_loss_duplication_and_reordering(tmp_path):
    async def scenario(rig):
        rig.proxy.default_fault = Fault(loss=0.1, duplication=0.2, delay=0.03)
        await rig.wait_until(lambda: sum(rig.proxy.lost_datagrams.values()) >= 60, "60 datagrams are lost")
        assert not any(member.logged("fleet_dead") for member in rig.members.values())

    run_scenario(scenario, 6, tmp_path)


def test_a_member_that_shuts_down_or_leaves_is_not_declared_dead(tmp_path):
    async def scenario(rig):
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
        await rig.wait_until_views_agree(*MEMBERS[:4])
        assert not any(rig[name].logged("fleet_dead") for name in MEMBERS[:4])
        assert await rig["m5"].admin_status("/_ready") == 200  # m5 left the fleet but still serves
        await rig.wait_until(lambda: rig["m4"].process.returncode == 0, "m4 exits")

    run_scenario(scenario, 6, tmp_path)


def test_the_budget_of_a_warming_target_is_lent_to_members_in_need_and_not_exceeded(tmp_path):
    """Only m0 and m1 have clients, so they borrow from the allotments of the others.

    Even a target that rejects every request gets no more than its capacity: 8 units per second at its start,
    and more as it warms up.
    """

    async def scenario(rig):
        await rig.all_may_lend()
        _, warming = await rig.read_from_warming_target(["m0", "m1"], 40, 5.0, "reject")
        first_attempt_at = warming.received[0][0]
        borrowed = [
            (await rig[name].admin_json("/_fleet/status"))["commons"].get("borrowed", 0)
            for name in MEMBERS[:2]
        ]
        assert all(borrowed)
        for at, _ in warming.received:
            capacity = 8 * (0.15 + 0.85 * (at - first_attempt_at) / 17) / 0.15
            assert sum(at - 1.0 < other <= at for other, _ in warming.received) <= capacity + 1

    run_scenario(scenario, 6, tmp_path)


def test_members_with_different_target_lists_each_use_their_own(tmp_path):
    """Half of the fleet learns some seconds late that one target drains and another was added.

    Until then it uses the draining target and sends nothing to the new one, whatever its peers know.
    """

    async def scenario(rig):
        added = HttpTarget("s-9", 9)
        await added.open()
        rig.targets.append(added)
        rig.discovery.set(added)
        rig.discovery.set(rig.targets[0], "leaving")
        first_half = [rig["m0"], rig["m1"]]
        await rig.wait_until(
            lambda: all(
                any("draining" in line["targets"].values() for line in member.logged("list"))
                for member in first_half
            ),
            "the first half has the new list",
        )
        assert [await read(rig[name].listen, 1) for name in MEMBERS[:4]] == [503, 503, 200, 200]
        assert [await read(member.listen, 2, 9) for member in first_half] == [200, 200]
        assert [await read(rig[name].listen, 3, 9) for name in MEMBERS[2:4]] == [503, 503]
        assert not any(tag == 3 for tag, _ in added.executed)
        rig.second_discovery.set(added)
        await rig.wait_until(
            lambda: all(
                any("s-9" in line["targets"] for line in member.logged("list"))
                for member in (rig["m2"], rig["m3"])
            ),
            "the second half has the new list",
        )
        assert [await read(rig[name].listen, 4, 9) for name in MEMBERS[2:4]] == [200, 200]
        await rig.wait_until_views_agree()

    run_scenario(scenario, 4, tmp_path, discovery_count="2")


def test_units_of_a_limited_volume_are_lent_and_the_fleet_stays_within_its_limit(tmp_path):
    """Two initiators use a `basic` volume (27 units per second, burst of 44).

    All but one request go through m0, which without lending would get half of the limit and of the burst.
    """

    async def scenario(rig):
        assert await read(rig["m1"].listen, 999, plan="basic", hosts=2, volume=9) in (200, 503)
        started_at = time.monotonic()
        attempts = []
        for number in range(240):
            attempt = read(rig["m0"].listen, number, plan="basic", hosts=2, volume=9)
            attempts.append(asyncio.create_task(attempt))
            await asyncio.sleep(1 / 60)
        served = sum(status == 200 for status in await asyncio.gather(*attempts))
        elapsed = time.monotonic() - started_at
        executed = len(rig.targets[0].executed)
        assert 1.2 * (13.5 * elapsed + 22) < served <= executed <= 27 * elapsed + 44 + 1

    run_scenario(scenario, 2, tmp_path, peers="true")


@pytest.mark.parametrize("isolated", [False, True])
def test_requests_are_served_without_waiting_for_the_fleet(isolated, tmp_path):
    async def scenario(rig):
        if isolated:
            rig.proxy.cut(set(MEMBERS[:3]), set(MEMBERS[:3]))
            await rig.wait_until(
                lambda: sum(rig.proxy.lost_datagrams.values()) >= 10, "the members are isolated"
            )
        assert [await read(rig["m0"].listen, number) for number in range(1, 9)] == [200] * 8

    run_scenario(scenario, 3, tmp_path)
