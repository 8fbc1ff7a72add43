"""Seeded schedules of faults during recovery: `python -m bench.recovery_faults [--seeds 50] [--first 1]`.

Six processes serve a steady load of reads.  Each seed determines which members are killed (or shut down
cleanly), whose snapshot is lost or corrupt, for how long discovery is unavailable meanwhile, a second wave of
kills, a partition of the fleet, and whether a target begins to drain.  One JSON line is printed per schedule,
with the rules broken in it, and a summary at the end.  The rules are:

- a client whose request a running member accepted gets a response within 2 s;
- no member sends to a draining target later than 2 s after the lists of all members reported the drain (that
  a restarted member sends nothing at all once a peer reported it is not checked here);
- a volume of plan `basic` exceeds its limit and burst by at most LIMIT_TOLERANCE_UNITS;
- the engine's guards find no fault, and the restarted members reach full service within RECOVERY_SECONDS once
  everything is available again.
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

from bench.storm import BURST_UNITS, LIMIT_UNITS_PER_SECOND, min_token_level
from tests.fleet.rig import Rig, send_read

FLEET_SIZE = 6
READS_PER_SECOND = 60.0  # total rate of all clients, without that of the limited volume
VOLUME_READS_PER_SECOND = 40.0  # rate of reads from the limited volume, all through one initiator
WARM_UP_SECONDS = 5.0  # load before the first fault; the initial ramps are over by then
LIST_SAVE_SECONDS = 0.15  # a changed target list is on disk by then; an earlier kill may lose it
DRAIN_GRACE_SECONDS = 2.0  # no attempt may start at a draining target later than this
LIMIT_TOLERANCE_UNITS = 6.0  # a volume may exceed its limit by this
RESPONSE_TIMEOUT_SECONDS = 2.0  # a running member must respond within this; its client's timeout is 1.2 s
RECOVERY_SECONDS = 12.0  # restarted members must reach full service within this after the last fault


@dataclass(slots=True, frozen=True)
class Schedule:
    """The faults that one seed stands for; times are seconds from the first kill."""

    killed: tuple[str, ...]
    is_clean_shutdown: bool  # SIGTERM in place of SIGKILL
    snapshot_lost: tuple[str, ...]  # members whose snapshot is deleted
    snapshot_corrupt: tuple[str, ...]  # members whose snapshot is corrupted
    discovery_down_time: float  # 0: discovery stays available
    second_wave: tuple[str, ...]  # members that are killed again
    second_wave_at: float
    partition_size: int  # number of members on one side; 0: no partition
    drains_target: bool  # whether a target begins to drain just before the first kill

    @classmethod
    def from_seed(cls, seed: int) -> Schedule:
        """Generate a schedule; the order of the random calls determines which faults a seed stands for."""
        rng = random.Random(seed)
        names = [f"m{number}" for number in range(FLEET_SIZE)]
        killed = rng.sample(names, rng.randint(2, FLEET_SIZE))
        without_state = rng.sample(killed, rng.choice((0, 0, 1, len(killed) // 2, len(killed))))
        lost_count = rng.randint(0, len(without_state))
        return cls(
            killed=tuple(killed),
            is_clean_shutdown=rng.random() < 0.2,
            snapshot_lost=tuple(without_state[:lost_count]),
            snapshot_corrupt=tuple(without_state[lost_count:]),
            discovery_down_time=rng.choice((0.0, 0.0, 2.0, 5.0)),
            second_wave=tuple(rng.sample(killed, rng.choice((0, 1, 2)))),
            second_wave_at=rng.uniform(0.3, 2.5),
            partition_size=rng.choice((0, 0, 2, 3)),
            drains_target=rng.random() < 0.5,
        )

    def summary(self) -> dict[str, object]:
        """Return a short form of the faults for the printed line."""
        return {
            "killed": len(self.killed),
            "second": len(self.second_wave),
            "down_s": self.discovery_down_time,
            "cut": self.partition_size,
            "lost": len(self.snapshot_lost),
            "torn": len(self.snapshot_corrupt),
            "drains": self.drains_target,
        }


class ClientLoad:
    """Sends reads through the members and records missing responses as broken rules."""

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.broken_rules: list[str] = []
        self.served = 0
        self.members_to_kill: set[str] = set()  # they may leave requests without a response
        self._tasks: set[asyncio.Task] = set()
        self._request_numbers = itertools.count(1)

    async def run(self, rate: float, members: list[str], **request: object) -> None:
        """Send reads through some members, round robin, until cancelled."""
        for number in itertools.count():
            name = members[number % len(members)]
            task = asyncio.create_task(self._read(name, next(self._request_numbers), **request))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / rate)

    async def wait(self) -> None:
        """Wait until no read is in flight."""
        await asyncio.gather(*self._tasks)

    async def _read(self, name: str, number: int, **request: object) -> None:
        process = self.rig[name].process
        request.setdefault("shard", number % 2)
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_SECONDS):
                response = await send_read(self.rig[name].listen, number, **request)
                self.served += response.status == 200
        except TimeoutError:
            is_running = process is self.rig[name].process and process.returncode is None
            if is_running and name not in self.members_to_kill:
                self.broken_rules.append(f"a client of {name} got no response")
        except (OSError, EOFError):
            pass  # the member is not running


async def end_members(rig: Rig, names: tuple[str, ...], is_clean_shutdown: bool) -> None:
    """Kill or shut down some members together, and wait until they have exited."""
    for name in names:
        rig[name].send(signal.SIGTERM if is_clean_shutdown else signal.SIGKILL)
    await asyncio.gather(*(rig[name].process.wait() for name in names))


async def start_members(rig: Rig, names: tuple[str, ...]) -> None:
    """Start some members together."""
    await asyncio.gather(*(rig[name].start() for name in names))


async def drain_target(rig: Rig) -> float:
    """Drain s-1 and wait until all members have saved that; return when the lists of all reported it."""
    rig.discovery.set(rig.targets[1], "leaving")
    await rig.wait_until(
        lambda: all(
            any(line["targets"].get("s-1") == "draining" for line in member.logged("list"))
            for member in rig.members.values()
        ),
        "the lists of all members report the drain",
    )
    all_notified_at = time.monotonic()
    await asyncio.sleep(LIST_SAVE_SECONDS)
    return all_notified_at


async def inject_faults(rig: Rig, schedule: Schedule) -> None:
    """Inject the scheduled faults, then end the partition and discovery's unavailability."""
    names = list(rig.members)
    if schedule.discovery_down_time:
        rig.discovery.close()
    if schedule.partition_size:
        rig.proxy.cut(set(names[: schedule.partition_size]), set(names[schedule.partition_size :]))
    first_kill_at = time.monotonic()
    await end_members(rig, schedule.killed, schedule.is_clean_shutdown)
    for name in schedule.snapshot_lost:
        shutil.rmtree(rig[name].store_path)
    for name in schedule.snapshot_corrupt:
        path = rig[name].store_path / "data.mdb"
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
    """Wait until members reach full service, or record a broken rule; return the seconds waited."""
    started_at = time.monotonic()

    async def all_full() -> bool:
        statuses = await asyncio.gather(*(rig[name].admin_json("/_fleet/status") for name in names))
        return all(status and status["phase"] == "full" for status in statuses)

    try:
        async with asyncio.timeout(RECOVERY_SECONDS):
            await rig.wait_until(all_full, "all restarted members are at full service")
    except TimeoutError:
        phases = [(await rig[name].admin_json("/_fleet/status"))["phase"] for name in names]
        broken_rules.append(f"not back to full service: {phases}")
    return time.monotonic() - started_at


def count_faults(rig: Rig) -> int:
    """Return the number of faults that the engine's guards have logged."""
    return sum(len(member.logged("fault")) for member in rig.members.values())


def broken_drain_rules(rig: Rig, all_notified_at: float, ended_at: float) -> list[str]:
    """Return the rule broken by late attempts at the draining target, if there were any."""
    late_attempts = sum(
        all_notified_at + DRAIN_GRACE_SECONDS < at < ended_at for at, _tag in rig.targets[1].received
    )
    return [f"{late_attempts} attempts at a draining target"] if late_attempts else []


async def run_schedule(seed: int, folder: Path) -> dict[str, object]:
    """Run one seed's schedule and return its figures with the broken rules."""
    schedule = Schedule.from_seed(seed)
    started_at = time.monotonic()
    async with Rig(FLEET_SIZE, folder, persists_state="true") as rig:
        names = list(rig.members)
        await rig.wait_until_views_agree()
        await rig.wait_until(
            lambda: all(rig[name].logged("list") for name in names), "all members have a target list"
        )
        limited_target = await rig.add("s-2", 2)
        load = ClientLoad(rig)
        load.members_to_kill |= set(schedule.killed)
        clients = asyncio.create_task(load.run(READS_PER_SECOND, names))
        volume_clients = asyncio.create_task(
            load.run(VOLUME_READS_PER_SECOND, names[:1], shard=2, plan="basic", volume=9)
        )
        await asyncio.sleep(WARM_UP_SECONDS)
        drain_notified_at = await drain_target(rig) if schedule.drains_target else 0.0
        faults_before = count_faults(rig)
        await inject_faults(rig, schedule)
        volume_clients.cancel()  # its load exceeds the volume's limit, so service would never be full
        drain_ended_at = 0.0
        if schedule.drains_target:  # discovery lists the target as ready again
            drain_ended_at = time.monotonic()
            rig.discovery.set(rig.targets[1])
        full_after = await wait_until_full(rig, schedule.killed, load.broken_rules)
        load.members_to_kill.clear()
        clients.cancel()
        await load.wait()
        broken_rules = list(load.broken_rules)
        faults = count_faults(rig) - faults_before
        if faults:
            broken_rules.append(f"{faults} engine faults")
        broken_rules += broken_drain_rules(rig, drain_notified_at, drain_ended_at)
        units_left = min_token_level(limited_target.received)
        if units_left < -LIMIT_TOLERANCE_UNITS:
            broken_rules.append(f"the volume exceeded its limit by {-units_left:.1f} units")
        return {
            "seed": seed,
            **schedule.summary(),
            "full_after_healing_s": round(full_after, 1),
            "served": load.served,
            "limit_left": round(units_left, 1),
            "took_s": round(time.monotonic() - started_at, 1),
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
            results.append(asyncio.run(run_schedule(seed, Path(folder))))
            print(json.dumps(results[-1]), flush=True)
    recovery_times = sorted(result["full_after_healing_s"] for result in results)
    summary = {
        "kind": "return_faults",
        "schedules": len(results),
        "limit": LIMIT_UNITS_PER_SECOND,
        "burst": BURST_UNITS,
        "full_p50_s": recovery_times[len(recovery_times) // 2],
        "full_worst_s": recovery_times[-1],
        "broken": sum(bool(result["broken"]) for result in results),
    }
    print(json.dumps(summary))


if __name__ == "__main__":
    main()
