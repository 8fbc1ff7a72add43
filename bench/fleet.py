"""Measures a fleet: `python -m bench.fleet [--processes 5,10,20,40] [--virtual 200,1000] [--rush 10,20]`.

Prints one JSON line for each size: seconds from the start of the processes until all members agree, seconds
from a kill -9 until all have detected it, bytes and packets per second that an idle member sends, and false
suspicions.  `--processes` runs real processes on loopback, `--virtual` runs members on a virtual clock in one
process.  `--rush` counts reads served and attempts: one in five members reads from a target that has just
started while all read from others, first with its budget lent by need, then estimated by each member.  This
is not a test: figures depend on the machine.
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

IDLE_SECONDS = 10.0  # duration of the traffic measurement, without membership changes
WARMING_READS_PER_SECOND = 1  # per reader
WARMING_LOAD_SECONDS = 6.0
MEMBERS_PER_READER = 5  # one member in this number reads from the warming target
SERVICE_SECONDS = 0.03  # response time of the warming target; too short to reach concurrency limits
SETTLE_SECONDS = 15.0  # after all members agree, until the gossip of the start has ended


async def fetch_statuses(rig: Rig) -> dict[str, dict]:
    return {name: await member.admin_json("/_fleet/status") for name, member in rig.members.items()}


async def measure_processes(size: int, folder: Path) -> dict[str, object]:
    """Measure a fleet of `size` processes with the default settings of the protocol."""
    began_at = time.monotonic()
    async with Rig(size, folder, probe_every_s="0.5", probe_timeout_s="0.2") as rig:
        await rig.wait_until_views_agree()
        join_seconds = time.monotonic() - began_at
        await asyncio.sleep(SETTLE_SECONDS)
        before = await fetch_statuses(rig)
        await asyncio.sleep(IDLE_SECONDS)
        after = await fetch_statuses(rig)
        bytes_per_second, packets_per_second = (
            sum(after[name][key] - before[name][key] for name in after) / IDLE_SECONDS / size
            for key in ("sent_bytes", "sent_packets")
        )
        await rig["m2"].kill()
        detection_seconds = await rig.wait_until_views_agree(*(name for name in rig.members if name != "m2"))
        false_suspicions = len(
            {line["member"] for member in rig.members.values() for line in member.logged("fleet_suspect")}
            - {"m2"}
        )
        return {
            "kind": "processes",
            "size": size,
            "join_s": round(join_seconds, 2),
            "death_s": round(detection_seconds, 2),
            "bytes_s": round(bytes_per_second),
            "packets_s": round(packets_per_second, 1),
            "false_suspicions": false_suspicions,
        }


async def measure_warming_reads(size: int, folder: Path, lends_budgets: bool) -> dict[str, object]:
    """Measure the reads that a warming target serves while one in five members reads from it.

    Each reader sends so few reads that its served units add no room: it needs a fraction of the budget.
    """
    async with Rig(size, folder, share=str(lends_budgets).lower()) as rig:
        await rig.wait_until_views_agree()
        if lends_budgets:
            await rig.all_may_lend()
        readers = list(rig.members)[::MEMBERS_PER_READER]
        reads_per_second = WARMING_READS_PER_SECOND * size // MEMBERS_PER_READER
        served, warming = await rig.read_from_warming_target(
            readers,
            reads_per_second,
            WARMING_LOAD_SECONDS,
            delay=SERVICE_SECONDS,
            background_reads_per_second=2 * size,
        )
        return {
            "kind": "rush",
            "size": size,
            "share": lends_budgets,
            "asked": int(reads_per_second * WARMING_LOAD_SECONDS),
            "sent": len(warming.received),
            "served": served,
        }


def measure_virtual(size: int, seed: int) -> dict[str, object]:
    """Measure a fleet of `size` members on a virtual clock, with one message in a hundred lost."""
    began_at = time.monotonic()
    fleet = Fleet(size, seed, loss=0.01)
    join_seconds = fleet.run(120.0, fleet.views_agree)
    fleet.run(SETTLE_SECONDS)
    bytes_before = sum(fleet.sent_bytes.values())
    fleet.run(IDLE_SECONDS)
    bytes_per_second = (sum(fleet.sent_bytes.values()) - bytes_before) / IDLE_SECONDS / size
    fleet.kill("m2")
    detection_seconds = fleet.run(120.0, fleet.views_agree)
    false_suspicions = len({event.member for event in fleet.events_of("suspect")} - {"m2"})
    return {
        "kind": "virtual",
        "size": size,
        "seed": seed,
        "join_s": round(join_seconds, 2),
        "death_s": round(detection_seconds, 2),
        "bytes_s": round(bytes_per_second),
        "false_suspicions": false_suspicions,
        "took_s": round(time.monotonic() - began_at, 1),
    }


def parse_sizes(text: str) -> list[int]:
    return [int(size) for size in text.split(",") if size]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--processes", type=parse_sizes, default=[5, 10, 20, 40])
    parser.add_argument("--virtual", type=parse_sizes, default=[200, 1000])
    parser.add_argument("--rush", type=parse_sizes, default=[10, 20])
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    for size in options.processes:
        with tempfile.TemporaryDirectory() as folder:
            print(json.dumps(asyncio.run(measure_processes(size, Path(folder)))), flush=True)
    for size in options.rush:
        for lends_budgets in (True, False):
            with tempfile.TemporaryDirectory() as folder:
                print(
                    json.dumps(asyncio.run(measure_warming_reads(size, Path(folder), lends_budgets))),
                    flush=True,
                )
    for size in options.virtual:
        print(json.dumps(measure_virtual(size, options.seed)), flush=True)


if __name__ == "__main__":
    main()
