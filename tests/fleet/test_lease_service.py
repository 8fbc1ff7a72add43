"""The lease service in a fleet of real processes, with faults of the processes and the network."""

from __future__ import annotations

import asyncio
import shutil
import signal

from tests.fleet.rig import Rig, run_scenario

MEMBERS = [f"m{n}" for n in range(5)]
VOTERS = MEMBERS[:3]


async def lease_statuses(rig: Rig, names: list[str]) -> dict[str, dict]:
    """The lease status of each of these members that responds."""
    statuses = await asyncio.gather(*(rig[name].admin_json("/_fleet/leases") for name in names))
    return {name: status for name, status in zip(names, statuses, strict=True) if status}


async def current_holders(rig: Rig, names: list[str]) -> dict[str, int]:
    """The members that report that they hold the lease, with their tokens."""
    statuses = await lease_statuses(rig, names)
    return {name: status["held"]["totals"] for name, status in statuses.items() if "totals" in status["held"]}


async def wait_for_holder(rig: Rig, names: list[str], above_token: int = 0) -> tuple[str, int]:
    """Wait until one of these members holds the lease with a token above `above_token`.

    Returns the member's name and its token.
    """
    holders: dict[str, int] = {}

    async def has_one_holder() -> bool:
        nonlocal holders
        holders = await current_holders(rig, names)
        assert len(holders) <= 1, holders
        return len(holders) == 1 and next(iter(holders.values())) > above_token

    await rig.wait_until(has_one_holder, f"one of {names} holds the lease with a token above {above_token}")
    return next(iter(holders.items()))


async def wait_for_leader(rig: Rig) -> str:
    """Wait until exactly one voter leads; returns its name."""
    leaders: list[str] = []

    async def has_one_leader() -> bool:
        nonlocal leaders
        statuses = await lease_statuses(rig, VOTERS)
        leaders = [name for name, status in statuses.items() if status["voter"]["role"] == "leader"]
        return len(leaders) == 1

    await rig.wait_until(has_one_leader, "one voter leads")
    return leaders[0]


def without(name: str, names: list[str] = MEMBERS) -> list[str]:
    """All of these members except one."""
    return [other for other in names if other != name]


def test_another_member_acquires_the_lease_with_a_higher_token_after_its_holder_is_killed(tmp_path):
    async def scenario(rig):
        token = 0
        for _ in range(2):
            name, token = await wait_for_holder(rig, MEMBERS, token - 1)
            await rig[name].kill()
            other, new_token = await wait_for_holder(rig, without(name), token)
            assert other != name and new_token > token
            await rig[name].start()
            await rig.wait_until(
                lambda name=name: rig[name].logged("started")[1:] != [], "the killed member has restarted"
            )
            token = new_token

    run_scenario(scenario, 5, tmp_path, voters="3")


def test_holder_suspended_past_its_ttl_notices_the_loss_before_it_acts(tmp_path):
    async def scenario(rig):
        name, token = await wait_for_holder(rig, MEMBERS)
        rig[name].send(signal.SIGSTOP)
        _, new_token = await wait_for_holder(rig, without(name), token)
        rig[name].send(signal.SIGCONT)
        await rig.wait_until(
            lambda: rig[name].logged("lease_lost") != [], "the former holder has logged the loss"
        )
        assert new_token > token and name not in await current_holders(rig, MEMBERS)

    run_scenario(scenario, 5, tmp_path, voters="3")


def test_holder_in_the_minority_partition_loses_the_lease_and_the_majority_acquires_it(tmp_path):
    async def scenario(rig):
        name, token = await wait_for_holder(rig, MEMBERS)
        minority = {name, "m4" if name in VOTERS else "m0"}  # includes one of the three voters
        majority = set(MEMBERS) - minority
        rig.proxy.cut(minority, majority)
        _, new_token = await wait_for_holder(rig, sorted(majority), token)
        await rig.wait_until(
            lambda: rig[name].logged("lease_lost") != [], "the former holder has logged the loss"
        )
        rig.proxy.heal()
        await rig.wait_until_views_agree()
        await wait_for_holder(rig, MEMBERS, new_token - 1)

    run_scenario(scenario, 5, tmp_path, voters="3")


def test_log_survives_the_kill_of_the_leader_and_a_simultaneous_restart_of_all_members(tmp_path):
    async def scenario(rig):
        leader = await wait_for_leader(rig)
        _, token = await wait_for_holder(rig, MEMBERS)
        await rig[leader].kill()
        others = without(leader)
        _, token = await wait_for_holder(rig, others, token - 1)
        await asyncio.gather(*(rig[name].kill() for name in others))
        await asyncio.gather(*(rig[name].start() for name in MEMBERS))
        _, new_token = await wait_for_holder(rig, MEMBERS, token)
        assert new_token > token

    run_scenario(scenario, 5, tmp_path, voters="3")


def test_voter_without_its_store_does_not_start_and_another_member_holds_the_lease(tmp_path):
    async def scenario(rig):
        _, token = await wait_for_holder(rig, MEMBERS)
        await rig["m0"].kill()
        shutil.rmtree(tmp_path / "m0.voter")
        await rig["m0"].start()
        assert await asyncio.wait_for(rig["m0"].process.wait(), 20) == 2
        await wait_for_holder(rig, MEMBERS[1:], token - 1)

    run_scenario(scenario, 5, tmp_path, voters="3")


def test_voter_that_was_down_while_the_log_was_compacted_installs_a_snapshot(tmp_path):
    """The log is compacted every 20 entries; renewals and acquires add about ten entries per second."""

    async def scenario(rig):
        _, token = await wait_for_holder(rig, MEMBERS)
        leader = await wait_for_leader(rig)
        name = without(leader, VOTERS)[0]
        await rig[name].kill()

        async def is_compacted() -> bool:
            status = (await rig[await wait_for_leader(rig)].admin_json("/_fleet/leases"))["voter"]
            return status["cut"] > 60 and status["log"] < 60

        await rig.wait_until(is_compacted, "the log is compacted")
        await rig[name].start()
        await rig.wait_until(
            lambda: bool(rig[name].logged("lease_snapshot_installed")),
            "the restarted voter has installed the snapshot",
        )
        other_voter = without(name, VOTERS)[0]
        await rig[other_voter].kill()  # a quorum now needs the vote and the state of the restarted voter
        _, new_token = await wait_for_holder(rig, without(other_voter))
        assert new_token >= token
        status = (await rig[name].admin_json("/_fleet/leases"))["voter"]
        assert status["working"] and status["cut"] > 60

    run_scenario(scenario, 5, tmp_path, voters="3")
