"""Measures a fleet under combined faults: `python -m bench.storm [--size 40]`; prints one JSON line.

All members read from a target that has just started and rejects everything, and three initiators read from a
volume far above its limit.  Half of the fleet is killed and restarted together, then a partition splits the
fleet in two.  Two figures are measured at the targets.  One is the maximum, over one-second windows, of
attempts relative to the capacity that the warming target is known to have; the rule allows at most twice this
capacity.  The other is the lowest level of the volume's token bucket: below zero, the limit was exceeded; the
rule allows a slack of 10% or 6 units.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import tempfile
from pathlib import Path

from tests.fleet.rig import Rig, read

SLOW_START_UNITS = 8.0  # capacity of the warming target per window at its start
WINDOW_SECONDS = 1.0
INITIAL_FRACTION = 0.15  # fraction of its full capacity that the target has at its start
SLOW_START_SECONDS = 17.0  # time from the target's start to its full capacity
LIMIT_UNITS_PER_SECOND = 27.0
BURST_UNITS = 44.0
TARGET_READS_PER_SECOND = 60.0  # from the warming target, by all members together
VOLUME_READS_PER_SECOND = 60.0  # from the limited volume
BEFORE_KILL_SECONDS = 3.0
BEFORE_PARTITION_SECONDS = 4.0
PARTITION_SECONDS = 5.0
LOAD_SECONDS = BEFORE_KILL_SECONDS + BEFORE_PARTITION_SECONDS + PARTITION_SECONDS + BEFORE_PARTITION_SECONDS


def max_overload_ratio(attempts: list[tuple[float, int]]) -> float:
    first_at = attempts[0][0]
    max_ratio = 0.0
    for at, _ in attempts:
        fraction = INITIAL_FRACTION + (1 - INITIAL_FRACTION) * min(1.0, (at - first_at) / SLOW_START_SECONDS)
        attempts_in_window = sum(at - WINDOW_SECONDS < other_at <= at for other_at, _ in attempts)
        max_ratio = max(max_ratio, attempts_in_window / (SLOW_START_UNITS * fraction / INITIAL_FRACTION))
    return max_ratio


def min_token_level(attempts: list[tuple[float, int]]) -> float:
    level, last_at, lowest = BURST_UNITS, attempts[0][0], BURST_UNITS
    for at, _ in attempts:
        level, last_at = min(BURST_UNITS, level + LIMIT_UNITS_PER_SECOND * (at - last_at)) - 1.0, at
        lowest = min(lowest, level)
    return lowest


async def read_round_robin(rig: Rig, names: list[str], reads_per_second: float, **options: object) -> None:
    """Read through the named members, round robin, until cancelled; ignores errors of stopped members."""
    tasks: set[asyncio.Task] = set()
    number = 0
    while True:
        number += 1
        task = asyncio.create_task(read(rig[names[number % len(names)]].listen, number, **options))
        tasks.add(task)
        task.add_done_callback(lambda done: (tasks.discard(done), done.cancelled() or done.exception()))
        await asyncio.sleep(1 / reads_per_second)


async def run_storm(size: int, folder: Path) -> dict[str, object]:
    names = [f"m{n}" for n in range(size)]
    async with Rig(size, folder, peers="true", probe_every_s="0.5", probe_timeout_s="0.2") as rig:
        await rig.wait_until_views_agree()
        await rig.all_may_lend()
        limited_target = await rig.add("s-2", 2)
        limited_read_options = {"shard": 2, "plan": "basic", "hosts": 3, "volume": 9}
        volume_load = asyncio.create_task(
            read_round_robin(rig, names[:3], VOLUME_READS_PER_SECOND, **limited_read_options)
        )
        target_load = asyncio.create_task(
            rig.read_from_warming_target(names, int(TARGET_READS_PER_SECOND), LOAD_SECONDS, "reject")
        )
        await asyncio.sleep(BEFORE_KILL_SECONDS)
        killed = names[1::2]
        await asyncio.gather(*(rig[name].kill() for name in killed))
        await asyncio.gather(*(rig[name].start() for name in killed))
        rejoin_seconds = await rig.wait_until_views_agree()
        await asyncio.sleep(BEFORE_PARTITION_SECONDS)
        rig.proxy.cut(set(names[: size // 2]), set(names[size // 2 :]))
        await asyncio.sleep(PARTITION_SECONDS)
        rig.proxy.heal()
        heal_seconds = await rig.wait_until_views_agree()
        _, warming_target = await target_load
        volume_load.cancel()
        return {
            "kind": "storm",
            "size": size,
            "back_s": round(rejoin_seconds, 2),
            "healed_s": round(heal_seconds, 2),
            "cold_attempts": len(warming_target.received),
            "worst_second": round(max_overload_ratio(warming_target.received), 2),
            "volume_reads": len(limited_target.received),
            "least_left": round(min_token_level(limited_target.received), 1),
        }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--size", type=int, default=40)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        print(json.dumps(asyncio.run(run_storm(options.size, Path(folder)))))


if __name__ == "__main__":
    main()
