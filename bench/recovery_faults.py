"""Seeded schedules of faults during recovery: `python -m bench.recovery_faults [--seeds 50] [--first 1]`.

Six processes serve the load of clients that retry.  Each seed determines how many are killed (or stopped
cleanly), whose state is lost or torn, whether and how long discovery is unavailable meanwhile, a second wave
of kills, a partition of the fleet, and a target that begins to drain.  One JSON line is printed for each
schedule, with the rules broken in it, and one for all.  The rules are:

- a client whose request a running member accepted is answered within its time, once;
- no member sends to a target 2 s after its own list reported the drain, or at all once a peer reported it;
- a volume of plan `basic` never exceeds its limit and burst;
- the engine's guards find no fault, and all members reach full service once everything is available again.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import random
import shutil
import signal
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from bench.storm import BURST, LIMIT, lowest_level
from tests.fleet.rig import Rig, exchange

FLEET_SIZE = 6
READS_PER_SECOND = 60.0  # of all clients together
VOLUME_READS_PER_SECOND = 40.0  # of the limited volume, through one initiator
WARM_UP_SECONDS = 5.0  # of load before the first fault: the ramps of the start are over by then
SAVE_SECONDS = 0.15  # after which a change of the list is on the disk: a sooner kill may undo it
DRAIN_GRACE_SECONDS = 2.0  # after which nothing may start at a draining target
LIMIT_TOLERANCE_UNITS = 6.0  # by which a volume may exceed its limit
ANSWER_SECONDS = 2.0  # in which a running member must answer: its client waits 1.2 s
RECOVERY_SECONDS = 12.0  # after the last fault, in which all have to reach full service


@dataclass(slots=True, frozen=True)
class Schedule:
    """One seed's faults; times in seconds from the first kill."""

    killed: tuple[str, ...]
    is_clean_shutdown: bool  # SIGTERM in place of SIGKILL
    lost: tuple[str, ...]  # members whose snapshot is lost
    torn: tuple[str, ...]  # members whose snapshot is corrupt
    discovery_down_time: float  # 0: it stays available
    second_wave: tuple[str, ...]  # members that are killed again
    second_wave_at: float
    partition_size: int  # members on one side of a partition; 0: none
    drains_target: bool  # whether a target begins to drain just before

    @classmethod
    def from_seed(cls, seed: int) -> Schedule:
        """Draw a schedule; the order of the draws determines what a seed stands for."""
        rng = random.Random(seed)
        names = [f"m{number}" for number in range(FLEET_SIZE)]
        killed = rng.sample(names, rng.randint(2, FLEET_SIZE))
        without_state = rng.sample(killed, rng.choice((0, 0, 1, len(killed) // 2, len(killed))))
        lost_count = rng.randint(0, len(without_state))
        return cls(
            killed=tuple(killed),
            is_clean_shutdown=rng.random() < 0.2,
            lost=tuple(without_state[:lost_count]),
            torn=tuple(without_state[lost_count:]),
            discovery_down_time=rng.choice((0.0, 0.0, 2.0, 5.0)),
            second_wave=tuple(rng.sample(killed, rng.choice((0, 1, 2)))),
            second_wave_at=rng.uniform(0.3, 2.5),
            partition_size=rng.choice((0, 0, 2, 3)),
            drains_target=rng.random() < 0.5,
        )

    def summary(self) -> dict[str, object]:
        """Return the faults in short, for the printed line."""
        return {
            "killed": len(self.killed),
            "second": len(self.second_wave),
            "down_s": self.discovery_down_time,
            "cut": self.partition_size,
            "lost": len(self.lost),
            "torn": len(self.torn),
            "drains": self.drains_target,
        }


class ClientLoad:
    """Sends reads through the members and notes the rules that clients see broken."""

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.broken_rules: list[str] = []
        self.served = 0
        self.ending: set[str] = set()  # members that are about to be killed
        self._tasks: set[asyncio.Task] = set()
        self._numbers = itertools.count(1)

    async def run(self, rate: float, members: list[str], **request: object) -> None:
        """Send reads through some members in turn, until cancelled."""
        for number in itertools.count():
            name = members[number % len(members)]
            task = asyncio.create_task(self._read(name, next(self._numbers), **request))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / rate)

    async def wait(self) -> None:
        """Wait for all reads that are open."""
        await asyncio.gather(*self._tasks)

    async def _read(self, name: str, number: int, **request: object) -> None:
        process = self.rig[name].process
        request.setdefault("shard", number % 2)
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                response = await exchange(self.rig[name].listen, number, **request)
                self.served += response.status == 200
        except TimeoutError:
            is_running = process is self.rig[name].process and process.returncode is None
            if is_running and name not in self.ending:
                self.broken_rules.append(f"a client of {name} had no answer")
        except (OSError, EOFError):
            pass  # the member is not running


async def end_members(rig: Rig, names: tuple[str, ...], is_clean_shutdown: bool) -> None:
    """End some members at once."""
    for name in names:
        rig[name].send(signal.SIGTERM if is_clean_shutdown else signal.SIGKILL)
    await asyncio.gather(*(rig[name].process.wait() for name in names))


async def start_members(rig: Rig, names: tuple[str, ...]) -> None:
    """Start some members together."""
    await asyncio.gather(*(rig[name].start() for name in names))


async def drain_target(rig: Rig) -> float:
    """Have s-1 drain; return when all members knew it, once they have saved it."""
    rig.discovery.set(rig.targets[1], "leaving")
    await rig.until(
        lambda: all(
            any(line["targets"].get("s-1") == "draining" for line in member.logged("list"))
            for member in rig.members.values()
        ),
        "all know the drain",
    )
    notified_at = time.monotonic()
    await asyncio.sleep(SAVE_SECONDS)
    return notified_at


async def inject_faults(rig: Rig, schedule: Schedule) -> None:
    """Kill and restart members as scheduled, and end the partition and discovery's unavailability."""
    names = list(rig.members)
    if schedule.discovery_down_time:
        rig.discovery.close()
    if schedule.partition_size:
        rig.proxy.cut(set(names[: schedule.partition_size]), set(names[schedule.partition_size :]))
    first_kill_at = time.monotonic()
    await end_members(rig, schedule.killed, schedule.is_clean_shutdown)
    for name in schedule.lost:
        shutil.rmtree(rig[name].store)
    for name in schedule.torn:
        path = rig[name].store / "data.mdb"
        path.write_bytes(path.read_bytes().replace(b"STL1", b"STL0"))
    await start_members(rig, schedule.killed)
    await asyncio.sleep(max(0.0, first_kill_at + schedule.second_wave_at - time.monotonic()))
    await end_members(rig, schedule.second_wave, is_clean_shutdown=False)
    await start_members(rig, schedule.second_wave)
    await asyncio.sleep(max(0.0, first_kill_at + schedule.discovery_down_time - time.monotonic()))
    if schedule.discovery_down_time:
        await rig.discovery.open()
    rig.proxy.heal()


async def wait_until_full(rig: Rig, names: tuple[str, ...], broken_rules: list[str]) -> float:
    """Wait until members serve in full, or note that they don't; return the seconds that it took."""
    began = time.monotonic()

    async def all_full() -> bool:
        statuses = await asyncio.gather(*(rig[name].admin_json("/_fleet/status") for name in names))
        return all(status and status["phase"] == "full" for status in statuses)

    try:
        async with asyncio.timeout(RECOVERY_SECONDS):
            await rig.until(all_full, "all are full")
    except TimeoutError:
        phases = [(await rig[name].admin_json("/_fleet/status"))["phase"] for name in names]
        broken_rules.append(f"not full again: {phases}")
    return time.monotonic() - began


def count_faults(rig: Rig) -> int:
    """Return how many faults the engine's guards have logged."""
    return sum(len(member.logged("fault")) for member in rig.members.values())


def broken_drain_rules(rig: Rig, notified_at: float, ended_at: float) -> list[str]:
    """Return the rules broken by sends to the draining target."""
    late_sends = sum(notified_at + DRAIN_GRACE_SECONDS < at < ended_at for at, _tag in rig.targets[1].begun)
    return [f"{late_sends} sends to a target that drains"] if late_sends else []


async def play(seed: int, folder: Path) -> dict[str, object]:
    """Play one seed's schedule and return its figures with the broken rules."""
    schedule = Schedule.from_seed(seed)
    began = time.monotonic()
    async with Rig(FLEET_SIZE, folder, keep="true") as rig:
        names = list(rig.members)
        await rig.agreed()
        await rig.until(lambda: all(rig[name].logged("list") for name in names), "all have a list")
        limited_target = await rig.add("s-2", 2)
        load = ClientLoad(rig)
        load.ending |= set(schedule.killed)
        clients = asyncio.create_task(load.run(READS_PER_SECOND, names))
        volume_clients = asyncio.create_task(
            load.run(VOLUME_READS_PER_SECOND, names[:1], shard=2, plan="basic", volume=9)
        )
        await asyncio.sleep(WARM_UP_SECONDS)
        drain_notified_at = await drain_target(rig) if schedule.drains_target else 0.0
        faults_before = count_faults(rig)
        await inject_faults(rig, schedule)
        volume_clients.cancel()  # they ask for more than the limit: service is never full with them
        drain_ended_at = 0.0
        if schedule.drains_target:  # it stays after all
            drain_ended_at = time.monotonic()
            rig.discovery.set(rig.targets[1])
        full_after = await wait_until_full(rig, schedule.killed, load.broken_rules)
        load.ending.clear()
        clients.cancel()
        await load.wait()
        broken_rules = list(load.broken_rules)
        faults = count_faults(rig) - faults_before
        if faults:
            broken_rules.append(f"{faults} faults")
        broken_rules += broken_drain_rules(rig, drain_notified_at, drain_ended_at)
        units_left = lowest_level(limited_target.begun)
        if units_left < -LIMIT_TOLERANCE_UNITS:
            broken_rules.append(f"the limit was passed by {-units_left:.1f} units")
        return {
            "seed": seed,
            **schedule.summary(),
            "full_after_healing_s": round(full_after, 1),
            "served": load.served,
            "limit_left": round(units_left, 1),
            "took_s": round(time.monotonic() - began, 1),
            "broken": sorted(set(broken_rules)),
        }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    options = parser.parse_args()
    results = []
    for seed in range(options.first, options.first + options.seeds):
        with tempfile.TemporaryDirectory() as folder:
            results.append(asyncio.run(play(seed, Path(folder))))
            print(json.dumps(results[-1]), flush=True)
    recovery_times = sorted(result["full_after_healing_s"] for result in results)
    summary = {
        "kind": "return_faults",
        "schedules": len(results),
        "limit": LIMIT,
        "burst": BURST,
        "full_p50_s": recovery_times[len(recovery_times) // 2],
        "full_worst_s": recovery_times[-1],
        "broken": sum(bool(result["broken"]) for result in results),
    }
    print(json.dumps(summary))


if __name__ == "__main__":
    main()
