"""A fleet under combined faults: `python -m bench.storm [--size 40]`.  One JSON line.

All members read from a target that has just started and rejects everything, and three initiators request a
limited volume far beyond its limit.  Half of the fleet is killed and restarted at once, then a partition cuts
the fleet in two.  Measured at the targets: the most attempts in a second over what the warming target bears
in any case, and the lowest level of the volume's token bucket (below zero: the limit was exceeded).  The rule
allows twice the first and a slack of 10% or 6 units on the second.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import tempfile
from pathlib import Path

from tests.fleet.rig import Rig, read

SLOW_START_UNITS, WINDOW_SECONDS = 8.0, 1.0  # what the target bears in a window at its start
INITIAL_FRACTION, SLOW_START_SECONDS = 0.15, 17.0  # of its capacity at its start, and until it has all of it
LIMIT, BURST = 27.0, 44.0  # units per second, units
TARGET_READS_PER_SECOND, VOLUME_READS_PER_SECOND = 60.0, 60.0  # by all members; of the limited volume
BEFORE_KILL_SECONDS, BEFORE_PARTITION_SECONDS, PARTITION_SECONDS = 3.0, 4.0, 5.0
LOAD_SECONDS = BEFORE_KILL_SECONDS + BEFORE_PARTITION_SECONDS + PARTITION_SECONDS + BEFORE_PARTITION_SECONDS


def worst_second(attempts: list[tuple[float, int]]) -> float:
    first = attempts[0][0]
    worst = 0.0
    for at, _ in attempts:
        fraction = INITIAL_FRACTION + (1 - INITIAL_FRACTION) * min(1.0, (at - first) / SLOW_START_SECONDS)
        sent = sum(at - WINDOW_SECONDS < other <= at for other, _ in attempts)
        worst = max(worst, sent / (SLOW_START_UNITS * fraction / INITIAL_FRACTION))
    return worst


def lowest_level(attempts: list[tuple[float, int]]) -> float:
    level, last, lowest = BURST, attempts[0][0], BURST
    for at, _ in attempts:
        level, last = min(BURST, level + LIMIT * (at - last)) - 1.0, at
        lowest = min(lowest, level)
    return lowest


async def read_in_turn(rig: Rig, names: list[str], reads_per_second: float, **options: object) -> None:
    """Read through those members in turn until cancelled; failures of members that are down are ignored."""
    tasks: set[asyncio.Task] = set()
    number = 0
    while True:
        number += 1
        task = asyncio.create_task(read(rig[names[number % len(names)]].listen, number, **options))
        tasks.add(task)
        task.add_done_callback(lambda done: (tasks.discard(done), done.cancelled() or done.exception()))
        await asyncio.sleep(1 / reads_per_second)


async def storm(size: int, folder: Path) -> dict[str, object]:
    names = [f"m{n}" for n in range(size)]
    async with Rig(size, folder, peers="true", probe_every_s="0.5", probe_timeout_s="0.2") as rig:
        await rig.agreed()
        await rig.all_may_lend()
        alone = await rig.add("s-2", 2)
        limited = {"shard": 2, "plan": "basic", "hosts": 3, "volume": 9}
        volume = asyncio.create_task(read_in_turn(rig, names[:3], VOLUME_READS_PER_SECOND, **limited))
        load = asyncio.create_task(rig.rush(names, int(TARGET_READS_PER_SECOND), LOAD_SECONDS, "turn_away"))
        await asyncio.sleep(BEFORE_KILL_SECONDS)
        killed = names[1::2]
        await asyncio.gather(*(rig[name].kill() for name in killed))
        await asyncio.gather(*(rig[name].start() for name in killed))
        back = await rig.agreed()
        await asyncio.sleep(BEFORE_PARTITION_SECONDS)
        rig.proxy.cut(set(names[: size // 2]), set(names[size // 2 :]))
        await asyncio.sleep(PARTITION_SECONDS)
        rig.proxy.heal()
        whole = await rig.agreed()
        _, target = await load
        volume.cancel()
        return {
            "kind": "storm",
            "size": size,
            "back_s": round(back, 2),
            "healed_s": round(whole, 2),
            "cold_attempts": len(target.begun),
            "worst_second": round(worst_second(target.begun), 2),
            "volume_reads": len(alone.begun),
            "least_left": round(lowest_level(alone.begun), 1),
        }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--size", type=int, default=40)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        print(json.dumps(asyncio.run(storm(options.size, Path(folder)))))


if __name__ == "__main__":
    main()
