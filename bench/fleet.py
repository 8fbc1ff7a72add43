"""Measures a fleet: `python -m bench.fleet [--processes 5,10,20,40] [--virtual 200,1000] [--rush 10,20]`.

One JSON line a size: seconds from the start of the processes until all agree, from a kill -9 until all have
detected it, bytes and packets a second that a member sends at rest, and false suspicions.  Real processes on
loopback, and members on a virtual clock in one process.  A rush: one in five members reads from a target that
has just started while all read from others, with its budget lent by need, then estimated by each member;
requests served and attempts, in the same run.  No test: figures depend on the machine.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import tempfile
import time
from pathlib import Path

from tests.fleet.rig import Rig
from tests.fleet.virtual import Fleet

REST_SECONDS = 10.0  # over which traffic is counted, without events
RUSH_READS_PER_SECOND = 1  # by each reader
RUSH_SECONDS = 6.0
MEMBERS_PER_READER = 5  # one in so many members reads from the warming target
SERVICE_SECONDS = 0.03  # of the warming target: short enough that concurrency limits stay open
SETTLE_SECONDS = 15.0  # after all agree, until the gossip of the start has ceased


async def all_status(rig: Rig) -> dict[str, dict]:
    return {name: await member.admin_json("/_fleet/status") for name, member in rig.members.items()}


async def measure_processes(size: int, folder: Path) -> dict[str, object]:
    """Measure so many processes with the default settings of the protocol."""
    began_at = time.monotonic()
    async with Rig(size, folder, probe_every_s="0.5", probe_timeout_s="0.2") as rig:
        await rig.agreed()
        joined = time.monotonic() - began_at
        await asyncio.sleep(SETTLE_SECONDS)
        before = await all_status(rig)
        await asyncio.sleep(REST_SECONDS)
        after = await all_status(rig)
        bytes_s, packets_s = (
            sum(after[n][key] - before[n][key] for n in after) / REST_SECONDS / size
            for key in ("sent_bytes", "sent_packets")
        )
        await rig["m2"].kill()
        detected = await rig.agreed(*(name for name in rig.members if name != "m2"))
        false_suspicions = len(
            {line["member"] for member in rig.members.values() for line in member.logged("fleet_suspect")}
            - {"m2"}
        )
        return {
            "kind": "processes",
            "size": size,
            "join_s": round(joined, 2),
            "death_s": round(detected, 2),
            "bytes_s": round(bytes_s),
            "packets_s": round(packets_s, 1),
            "false_suspicions": false_suspicions,
        }


async def measure_rush(size: int, folder: Path, share: bool) -> dict[str, object]:
    """Measure the reads that one in five members gets served by a warming target that all of them see.

    Each sends so few that what was served before leaves no room: it needs a fraction of the budget.
    """
    async with Rig(size, folder, share=str(share).lower()) as rig:
        await rig.agreed()
        if share:
            await rig.all_may_lend()
        readers = list(rig.members)[::MEMBERS_PER_READER]
        reads_per_second = RUSH_READS_PER_SECOND * size // MEMBERS_PER_READER
        served, warming = await rig.rush(
            readers,
            reads_per_second,
            RUSH_SECONDS,
            delay=SERVICE_SECONDS,
            background_reads_per_second=2 * size,
        )
        return {
            "kind": "rush",
            "size": size,
            "share": share,
            "asked": int(reads_per_second * RUSH_SECONDS),
            "sent": len(warming.begun),
            "served": served,
        }


def measure_virtual(size: int, seed: int) -> dict[str, object]:
    """Measure so many members on a virtual clock, with one message in a hundred lost."""
    began_at = time.monotonic()
    fleet = Fleet(size, seed, loss=0.01)
    joined = fleet.run(120.0, fleet.agreed)
    fleet.run(SETTLE_SECONDS)
    before = sum(fleet.bytes.values())
    fleet.run(REST_SECONDS)
    bytes_s = (sum(fleet.bytes.values()) - before) / REST_SECONDS / size
    fleet.kill("m2")
    detected = fleet.run(120.0, fleet.agreed)
    false_suspicions = len({event.member for event in fleet.events_of("suspect")} - {"m2"})
    return {
        "kind": "virtual",
        "size": size,
        "seed": seed,
        "join_s": round(joined, 2),
        "death_s": round(detected, 2),
        "bytes_s": round(bytes_s),
        "false_suspicions": false_suspicions,
        "took_s": round(time.monotonic() - began_at, 1),
    }


def sizes(text: str) -> list[int]:
    return [int(part) for part in text.split(",") if part]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--processes", type=sizes, default=[5, 10, 20, 40])
    parser.add_argument("--virtual", type=sizes, default=[200, 1000])
    parser.add_argument("--rush", type=sizes, default=[10, 20])
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    for size in options.processes:
        with tempfile.TemporaryDirectory() as folder:
            print(json.dumps(asyncio.run(measure_processes(size, Path(folder)))), flush=True)
    for size in options.rush:
        for share in (True, False):
            with tempfile.TemporaryDirectory() as folder:
                print(json.dumps(asyncio.run(measure_rush(size, Path(folder), share))), flush=True)
    for size in options.virtual:
        print(json.dumps(measure_virtual(size, options.seed)), flush=True)


if __name__ == "__main__":
    main()
