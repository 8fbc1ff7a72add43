"""Seeded schedules of faults in a fleet's return: `python -m bench.recovery_faults [--seeds 50] [--first 1]`.

Six processes under the load of patient clients.  From each seed: how many are killed (or told to end), whose
state is lost or torn, whether discovery is down meanwhile and for how long, a second wave, a partition of the
fleet, and a target that begins to drain.  One JSON line a schedule, the rules broken in it, and one for all:

- a client that a running member took is answered within its time, once;
- no member sends to a target 2 s after its own list told it to drain, or at all on the word of a peer;
- a volume of plan `basic` never passes its limit and burst;
- the engine's guards find no fault; all serve in full again once everything is back.
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

from bench.storm import BURST, LIMIT, least_left
from tests.fleet.rig import Rig, exchange

SIZE = 6
RATE = 60.0  # reads a second of all clients
VOLUME_RATE = 40.0  # reads a second of the limited volume, through one host
CALM = 5.0  # s of load before the first fault: the doors of the start are open by then
KEPT = 0.15  # s after which what a member was told is on its disk: a kill sooner than that may undo it
GRACE = 2.0  # s after which nothing may start at a target told to drain
SLACK = 6.0  # units by which the limit may be passed
ANSWER = 2.0  # s in which a client of a running member must have its answer: it waits 1.2 s
SETTLED = 12.0  # s after the last fault by which all are to be full again


@dataclass(slots=True, frozen=True)
class Schedule:
    """One seed's faults; times in seconds from the first kill."""

    killed: tuple[str, ...]
    orderly: bool  # SIGTERM in place of kill -9
    lost: tuple[str, ...]  # whose state is lost
    torn: tuple[str, ...]  # whose state is spoilt
    down: float  # for which discovery is down; 0: it is not
    second: tuple[str, ...]  # killed again
    second_at: float
    cut: int  # members on one side of a partition; 0: none
    drains: bool  # whether a target begins to drain just before

    @classmethod
    def of(cls, seed: int) -> Schedule:
        draw = random.Random(seed)
        names = [f"m{n}" for n in range(SIZE)]
        killed = draw.sample(names, draw.randint(2, SIZE))
        spoilt = draw.sample(killed, draw.choice((0, 0, 1, len(killed) // 2, len(killed))))
        half = draw.randint(0, len(spoilt))
        return cls(
            tuple(killed),
            draw.random() < 0.2,
            tuple(spoilt[:half]),
            tuple(spoilt[half:]),
            draw.choice((0.0, 0.0, 2.0, 5.0)),
            tuple(draw.sample(killed, draw.choice((0, 1, 2)))),
            draw.uniform(0.3, 2.5),
            draw.choice((0, 0, 2, 3)),
            draw.random() < 0.5,
        )


class Watcher:
    """Sends reads through all members, and notes what clients must not see."""

    def __init__(self, rig: Rig) -> None:
        self.rig, self.broken, self.served, self.away = rig, [], 0, set()
        self._tasks: set[asyncio.Task] = set()
        self._numbers = itertools.count(1)

    async def run(self, rate: float, members: list[str], **how: object) -> None:
        """For ever, in turn."""
        for n in itertools.count():
            task = asyncio.create_task(self._one(members[n % len(members)], next(self._numbers), **how))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / rate)

    async def _one(self, name: str, number: int, **how: object) -> None:
        process = self.rig[name].process
        how.setdefault("shard", number % 2)
        try:
            async with asyncio.timeout(ANSWER):
                self.served += (await exchange(self.rig[name].listen, number, **how)).status == 200
        except TimeoutError:
            if process is self.rig[name].process and process.returncode is None and name not in self.away:
                self.broken.append(f"a client of {name} had no answer")
        except (OSError, EOFError):
            pass  # it is down, or was killed

    async def end(self) -> None:
        await asyncio.gather(*self._tasks)


async def play(seed: int, folder: Path) -> dict[str, object]:
    plan, began = Schedule.of(seed), time.monotonic()
    async with Rig(SIZE, folder, keep="true") as rig:
        names = list(rig.members)
        await rig.agreed()
        await rig.until(lambda: all(rig[name].said("list") for name in names), "all have a list")
        alone = await rig.add("s-2", 2)
        watcher = Watcher(rig)
        watcher.away |= set(plan.killed)
        clients = [
            asyncio.create_task(watcher.run(RATE, names)),
            asyncio.create_task(watcher.run(VOLUME_RATE, names[:1], shard=2, plan="basic", volume=9)),
        ]
        await asyncio.sleep(CALM)
        told = back = 0.0
        if plan.drains:
            rig.discovery.set(rig.targets[1], "leaving")
            await rig.until(
                lambda: all(
                    any(line["targets"].get("s-1") == "draining" for line in rig[name].said("list"))
                    for name in names
                ),
                "told",
            )
            told = time.monotonic()
            await asyncio.sleep(KEPT)
        if plan.down:
            rig.discovery.close()
        if plan.cut:
            rig.proxy.cut(set(names[: plan.cut]), set(names[plan.cut :]))

        async def strike(some: tuple[str, ...], orderly: bool) -> None:
            for name in some:
                rig[name].send(signal.SIGTERM if orderly else signal.SIGKILL)
            await asyncio.gather(*(rig[name].process.wait() for name in some))

        struck = time.monotonic()
        faults = sum(len(member.said("fault")) for member in rig.members.values())
        await strike(plan.killed, plan.orderly)
        for name in plan.lost:
            shutil.rmtree(rig[name].store)
        for name in plan.torn:
            path = rig[name].store / "data.mdb"
            path.write_bytes(path.read_bytes().replace(b"STL1", b"STL0"))
        await asyncio.gather(*(rig[name].start() for name in plan.killed))
        await asyncio.sleep(max(0.0, struck + plan.second_at - time.monotonic()))
        await strike(plan.second, False)
        await asyncio.gather(*(rig[name].start() for name in plan.second))
        await asyncio.sleep(max(0.0, struck + plan.down - time.monotonic()))
        if plan.down:
            await rig.discovery.open()
        rig.proxy.heal()
        clients.pop().cancel()  # the volume that is asked for past its limit: service is not full with it
        if plan.drains:  # it stays after all
            back = time.monotonic()
            rig.discovery.set(rig.targets[1])
        healed = time.monotonic()

        async def all_full() -> bool:
            found = await asyncio.gather(*(rig[name].ask("/_fleet/status") for name in plan.killed))
            return all(each and each["phase"] == "full" for each in found)

        broken = watcher.broken
        try:
            async with asyncio.timeout(SETTLED):
                await rig.until(all_full, "all are full")
        except TimeoutError:
            phases = [(await rig[name].ask("/_fleet/status"))["phase"] for name in plan.killed]
            broken.append(f"not full again: {phases}")
        full = time.monotonic() - healed
        watcher.away.clear()
        for client in clients:
            client.cancel()
        await watcher.end()
        faults = sum(len(member.said("fault")) for member in rig.members.values()) - faults
        if faults:
            broken.append(f"{faults} faults")
        if late := sum(told + GRACE < at < back for at, _ in rig.targets[1].begun):
            broken.append(f"{late} sends to a target that drains")
        left = least_left(alone.begun)
        if left < -SLACK:
            broken.append(f"the limit was passed by {-left:.1f} units")
        return {
            "seed": seed,
            "killed": len(plan.killed),
            "second": len(plan.second),
            "down_s": plan.down,
            "cut": plan.cut,
            "lost": len(plan.lost),
            "torn": len(plan.torn),
            "drains": plan.drains,
            "full_after_healing_s": round(full, 1),
            "served": watcher.served,
            "limit_left": round(left, 1),
            "took_s": round(time.monotonic() - began, 1),
            "broken": sorted(set(broken)),
        }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    options = parser.parse_args()
    lines = []
    for seed in range(options.first, options.first + options.seeds):
        with tempfile.TemporaryDirectory() as folder:
            lines.append(asyncio.run(play(seed, Path(folder))))
            print(json.dumps(lines[-1]), flush=True)
    times = sorted(line["full_after_healing_s"] for line in lines)
    print(
        json.dumps(
            {
                "kind": "return_faults",
                "schedules": len(lines),
                "limit": LIMIT,
                "burst": BURST,
                "full_p50_s": times[len(times) // 2],
                "full_worst_s": times[-1],
                "broken": sum(bool(line["broken"]) for line in lines),
            }
        )
    )


if __name__ == "__main__":
    main()
