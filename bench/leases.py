"""Measures leases between processes: `python -m bench.leases [--size 5] [--rounds 20]`.

Seconds from a kill -9 of the duty's holder until another one may act, at a lease of 1.5 s and 3 voters, the
holder started again each time: median and worst, beside the seconds of an orderly hand-over (SIGTERM).  And
commits a second and their time on one voter's disk, synced, without a network.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import statistics
import tempfile
import time
from pathlib import Path

from stalltiller.leases import Command, Entry, Keep
from stalltiller.leases.store import VoterStore, make
from tests.fleet.rig import TTL, Rig
from tests.fleet.test_lease_service import held

COMMITS = 300


async def hand_over(rig: Rig, number: signal.Signals) -> float:
    """End the holder; the seconds until another holds."""
    name, token = await held(rig, list(rig.members))
    began = time.monotonic()
    rig[name].send(number)
    await held(rig, [other for other in rig.members if other != name], token)
    took = time.monotonic() - began
    await rig[name].process.wait()
    rig[name].log.clear()
    await rig[name].start()
    await rig.until(lambda: rig[name].said("started") != [], "it is back")
    await rig.agreed()
    return took


async def play(size: int, rounds: int, folder: Path) -> dict[str, object]:
    async with Rig(size, folder, voters="3") as rig:
        await rig.agreed()
        found = {
            number: [await hand_over(rig, number) for _ in range(rounds)]
            for number in (signal.SIGKILL, signal.SIGTERM)
        }
        killed, told = found[signal.SIGKILL], found[signal.SIGTERM]
        figures = {
            f"{how}_{which}_s": round(of(times), 2)
            for how, times in (("killed", killed), ("told", told))
            for which, of in (("median", statistics.median), ("worst", max))
        }
        return {"kind": "hand_over", "size": size, "rounds": rounds, "lease_s": TTL, **figures}


def disk(folder: Path) -> dict[str, object]:
    make(str(folder / "voter"), "v")
    store, took = VoterStore(str(folder / "voter"), "v"), []
    for index in range(COMMITS):
        began = time.monotonic()
        store.keep(Keep(1, "v", index, (Entry(1, Command("renew", "l", "h", 2.0, 1, 0, "s", index)),)))
        took.append(time.monotonic() - began)
    store.close()
    took.sort()
    return {
        "kind": "disk",
        "commits": COMMITS,
        "median_ms": round(1000 * statistics.median(took), 2),
        "p99_ms": round(1000 * took[int(0.99 * COMMITS)], 2),
        "a_second": round(COMMITS / sum(took)),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--size", type=int, default=5)
    parser.add_argument("--rounds", type=int, default=20)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        print(json.dumps(disk(Path(folder))), flush=True)
        print(json.dumps(asyncio.run(play(options.size, options.rounds, Path(folder)))), flush=True)


if __name__ == "__main__":
    main()
