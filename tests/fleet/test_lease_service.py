"""A duty that one of several real processes holds at a time, with faults between them."""

from __future__ import annotations

import asyncio
import shutil
import signal

from tests.fleet.rig import Rig, play

FIVE = [f"m{n}" for n in range(5)]
VOTERS = FIVE[:3]


async def holders(rig: Rig, names: list[str]) -> dict[str, int]:
    """Who says that it holds the duty, and its token."""
    found = await asyncio.gather(*(rig[name].ask("/_fleet/leases") for name in names))
    return {
        name: each["held"]["totals"]
        for name, each in zip(names, found, strict=True)
        if each and "totals" in each["held"]
    }


async def held(rig: Rig, names: list[str], above: int = 0) -> tuple[str, int]:
    """Wait until one of those holds it under a token above another; who, and the token."""
    found: list[tuple[str, int]] = []

    async def one() -> bool:
        now = await holders(rig, names)
        assert len(now) <= 1, now
        found[:] = now.items()
        return len(now) == 1 and found[0][1] > above

    await rig.until(one, f"one of {names} holds it above {above}")
    return found[0]


async def leader(rig: Rig) -> str:
    found: list[str] = []

    async def one() -> bool:
        now = await asyncio.gather(*(rig[name].ask("/_fleet/leases") for name in VOTERS))
        found[:] = [
            name for name, each in zip(VOTERS, now, strict=True) if each and each["voter"]["role"] == "leader"
        ]
        return len(found) == 1

    await rig.until(one, "one leads")
    return found[0]


def test_the_duty_goes_on_when_its_holder_is_killed_and_tokens_grow(tmp_path):
    async def scene(rig):
        token = 0
        for _ in range(2):
            name, token = await held(rig, FIVE, token - 1)
            await rig[name].kill()
            other, newer = await held(rig, [each for each in FIVE if each != name], token)
            assert other != name and newer > token
            await rig[name].start()
            await rig.until(lambda name=name: rig[name].said("started")[1:] != [], "it is back")
            token = newer

    play(scene, 5, tmp_path, voters="3")


def test_a_holder_stopped_past_its_time_finds_out_before_it_acts(tmp_path):
    async def scene(rig):
        name, token = await held(rig, FIVE)
        rig[name].send(signal.SIGSTOP)
        _, newer = await held(rig, [each for each in FIVE if each != name], token)
        rig[name].send(signal.SIGCONT)
        await rig.until(lambda: rig[name].said("lease_lost") != [], "it finds out")
        assert newer > token and name not in await holders(rig, FIVE)

    play(scene, 5, tmp_path, voters="3")


def test_a_holder_cut_off_with_the_lesser_side_loses_it_and_the_greater_side_gets_it(tmp_path):
    async def scene(rig):
        name, token = await held(rig, FIVE)
        away = {name, "m4" if name in VOTERS else "m0"}  # one voter of three
        rig.proxy.cut(away, set(FIVE) - away)
        _, newer = await held(rig, sorted(set(FIVE) - away), token)
        await rig.until(lambda: rig[name].said("lease_lost") != [], "it finds out")
        rig.proxy.heal()
        await rig.agreed()
        await held(rig, FIVE, newer - 1)

    play(scene, 5, tmp_path, voters="3")


def test_the_leader_killed_and_all_restarted_at_once_the_log_goes_on(tmp_path):
    async def scene(rig):
        first = await leader(rig)
        _, token = await held(rig, FIVE)
        await rig[first].kill()
        rest = [name for name in FIVE if name != first]
        _, token = await held(rig, rest, token - 1)
        await asyncio.gather(*(rig[name].kill() for name in rest))
        await asyncio.gather(*(rig[name].start() for name in FIVE))
        _, newer = await held(rig, FIVE, token)
        assert newer > token

    play(scene, 5, tmp_path, voters="3")


def test_a_voter_that_lost_its_disk_does_not_start_and_the_others_go_on(tmp_path):
    async def scene(rig):
        _, token = await held(rig, FIVE)
        await rig["m0"].kill()
        shutil.rmtree(tmp_path / "m0.voter")
        await rig["m0"].start()
        assert await asyncio.wait_for(rig["m0"].process.wait(), 20) == 2
        await held(rig, FIVE[1:], token - 1)

    play(scene, 5, tmp_path, voters="3")


def test_a_voter_that_was_away_while_the_log_was_cut_takes_the_state_from_the_others(tmp_path):
    """The log is cut every 20 entries; renewals and the acquires of the others make some ten a second."""

    async def scene(rig):
        _, token = await held(rig, FIVE)
        leads = await leader(rig)
        name = next(name for name in VOTERS if name != leads)
        await rig[name].kill()

        async def cut() -> bool:
            found = (await rig[await leader(rig)].ask("/_fleet/leases"))["voter"]
            return found["cut"] > 60 and found["log"] < 60

        await rig.until(cut, "the log is cut")
        await rig[name].start()
        await rig.until(lambda: bool(rig[name].said("lease_state_taken")), "it has taken the state")
        others = [each for each in VOTERS if each != name]
        await rig[others[0]].kill()  # now its vote is needed, and what it knows
        _, later = await held(rig, [each for each in FIVE if each != others[0]])
        assert later >= token
        status = (await rig[name].ask("/_fleet/leases"))["voter"]
        assert status["working"] and status["cut"] > 60

    play(scene, 5, tmp_path, voters="3")
