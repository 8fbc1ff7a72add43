"""Measures a fleet: `python -m bench.fleet [--processes 5,10,20,40] [--virtual 200,1000] [--rush 10,20]`.

One JSON line a size: seconds from the start of the processes until all agree, from a kill -9 until all have
seen it, bytes and packets a second that a member sends at rest, and members suspected though they ran.  Real
processes on loopback, and members on a virtual clock in one process.  A rush: one in five members reads from
a target that has just started while all read from others, with its budget shared by need, then by each one's
guess; requests served and attempts, in the same run.  No test: figures depend on the machine.
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

REST = 10.0  # s of rest over which traffic is counted
RUSH, RUSH_TIME = 1, 6.0  # reads a second that each asker sends, and seconds
ASKERS = 5  # one in so many members asks
SERVICE = 0.03  # s that the cold target takes over a read: short enough that windows stay open
SETTLE = 15.0  # s after all agree until the news of the start have died away


async def sent(rig: Rig) -> dict[str, dict]:
    return {name: await member.ask("/_fleet/status") for name, member in rig.members.items()}


async def real(size: int, folder: Path) -> dict[str, object]:
    """The figures of so many processes, at the pace of the program's own defaults."""
    began = time.monotonic()
    async with Rig(size, folder, probe_every_s="0.5", probe_timeout_s="0.2") as rig:
        await rig.agreed()
        joined = time.monotonic() - began
        await asyncio.sleep(SETTLE)
        before = await sent(rig)
        await asyncio.sleep(REST)
        after = await sent(rig)
        bytes_s, packets_s = (
            sum(after[n][key] - before[n][key] for n in after) / REST / size
            for key in ("sent_bytes", "sent_packets")
        )
        await rig["m2"].kill()
        death = await rig.agreed(*(name for name in rig.members if name != "m2"))
        wrong = len(
            {line["member"] for member in rig.members.values() for line in member.said("fleet_suspect")}
            - {"m2"}
        )
        return {
            "kind": "processes",
            "size": size,
            "join_s": round(joined, 2),
            "death_s": round(death, 2),
            "bytes_s": round(bytes_s),
            "packets_s": round(packets_s, 1),
            "false_suspicions": wrong,
        }


async def rush(size: int, folder: Path, share: bool) -> dict[str, object]:
    """What one in five of so many gets from a cold target that all of them see.  Each asks so seldom that
    what was served before leaves no room: it has to have a part."""
    async with Rig(size, folder, share=str(share).lower()) as rig:
        await rig.agreed()
        if share:
            await rig.shares_whole()
        askers, asked = list(rig.members)[::ASKERS], RUSH * size // ASKERS
        served, cold = await rig.rush(askers, asked, RUSH_TIME, delay=SERVICE, usual=2 * size)
        return {
            "kind": "rush",
            "size": size,
            "share": share,
            "asked": int(asked * RUSH_TIME),
            "sent": len(cold.begun),
            "served": served,
        }


def virtual(size: int, seed: int) -> dict[str, object]:
    """The same on a virtual clock, with one message in a hundred lost."""
    began = time.monotonic()
    fleet = Fleet(size, seed, loss=0.01)
    joined = fleet.run(120.0, fleet.agreed)
    fleet.run(SETTLE)
    before = sum(fleet.bytes.values())
    fleet.run(REST)
    bytes_s = (sum(fleet.bytes.values()) - before) / REST / size
    fleet.kill("m2")
    death = fleet.run(120.0, fleet.agreed)
    wrong = len({event.member for event in fleet.events_of("suspect")} - {"m2"})
    return {
        "kind": "virtual",
        "size": size,
        "seed": seed,
        "join_s": round(joined, 2),
        "death_s": round(death, 2),
        "bytes_s": round(bytes_s),
        "false_suspicions": wrong,
        "took_s": round(time.monotonic() - began, 1),
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
            print(json.dumps(asyncio.run(real(size, Path(folder)))), flush=True)
    for size in options.rush:
        for share in (True, False):
            with tempfile.TemporaryDirectory() as folder:
                print(json.dumps(asyncio.run(rush(size, Path(folder), share))), flush=True)
    for size in options.virtual:
        print(json.dumps(virtual(size, options.seed)), flush=True)


if __name__ == "__main__":
    main()
