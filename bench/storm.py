"""A fleet through a bad minute: `python -m bench.storm [--size 40]`.  One JSON line.

All members read from a target that has just started and turns all away, and three hosts ask for a limited
volume far past its limit.  Half of the fleet is killed and restarted at once, then the fleet is cut in two.
Counted at the targets: the most attempts in a second over what the cold target bears in any case, and the
least that was left of the volume's limit and burst (below zero: it was passed).  The rule allows twice the
first and a slack of 10% or 6 units on the second.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import tempfile
from pathlib import Path

from tests.fleet.rig import Rig, read

BEARS, SPAN, SHARE, WARM = 8.0, 1.0, 0.15, 17.0  # units in a span at the start, s, its share of capacity, s
LIMIT, BURST = 27.0, 44.0  # units a second, units
ASKS, VOLUME_ASKS = 60.0, 60.0  # reads a second of the cold target by all, and of the volume
CALM, AWAY, CUT = 3.0, 4.0, 5.0  # s before the kill, before the cut, and that it lasts


def worst_second(begun: list[tuple[float, int]]) -> float:
    first = begun[0][0]
    return max(
        sum(at - SPAN < other <= at for other, _ in begun)
        / (BEARS * (SHARE + (1 - SHARE) * min(1.0, (at - first) / WARM)) / SHARE)
        for at, _ in begun
    )


def least_left(begun: list[tuple[float, int]]) -> float:
    level, last, least = BURST, begun[0][0], BURST
    for at, _ in begun:
        level, last = min(BURST, level + LIMIT * (at - last)) - 1.0, at
        least = min(least, level)
    return least


async def ask(rig: Rig, names: list[str], a_second: float, **how: object) -> None:
    """Read in turn through those members, for ever; who is down is passed over."""
    tasks: set[asyncio.Task] = set()
    number = 0
    while True:
        number += 1
        task = asyncio.create_task(read(rig[names[number % len(names)]].listen, number, **how))
        tasks.add(task)
        task.add_done_callback(lambda done: (tasks.discard(done), done.cancelled() or done.exception()))
        await asyncio.sleep(1 / a_second)


async def storm(size: int, folder: Path) -> dict[str, object]:
    names = [f"m{n}" for n in range(size)]
    async with Rig(size, folder, peers="true", probe_every_s="0.5", probe_timeout_s="0.2") as rig:
        await rig.agreed()
        await rig.shares_whole()
        alone = await rig.add("s-2", 2)
        limited = {"shard": 2, "plan": "basic", "hosts": 3, "volume": 9}
        volume = asyncio.create_task(ask(rig, names[:3], VOLUME_ASKS, **limited))
        cold = asyncio.create_task(rig.rush(names, int(ASKS), CALM + AWAY + CUT + AWAY, "turn_away"))
        await asyncio.sleep(CALM)
        half = names[1::2]
        await asyncio.gather(*(rig[name].kill() for name in half))
        await asyncio.gather(*(rig[name].start() for name in half))
        back = await rig.agreed()
        await asyncio.sleep(AWAY)
        rig.proxy.cut(set(names[: size // 2]), set(names[size // 2 :]))
        await asyncio.sleep(CUT)
        rig.proxy.heal()
        whole = await rig.agreed()
        _, target = await cold
        volume.cancel()
        return {
            "kind": "storm",
            "size": size,
            "back_s": round(back, 2),
            "healed_s": round(whole, 2),
            "cold_attempts": len(target.begun),
            "worst_second": round(worst_second(target.begun), 2),
            "volume_reads": len(alone.begun),
            "least_left": round(least_left(alone.begun), 1),
        }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--size", type=int, default=40)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        print(json.dumps(asyncio.run(storm(options.size, Path(folder)))))


if __name__ == "__main__":
    main()
