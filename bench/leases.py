"""Measures leases between processes: `python -m bench.leases [--size 5] [--rounds 20]`.

Prints, as one JSON line each, the commits a second and their time on one voter's disk (synced, without a
network), and the seconds from the end of the lease's holder, by SIGKILL and by SIGTERM, until another one
holds it, at a lease of 1.5 s and with 3 voters: median and worst.  The holder is restarted each time.
The keys of the lines stay as they are, so that figures can be compared with those of earlier versions.
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

from stalltiller.leases import Command, CommandKind, LogEntry, PersistState
from stalltiller.leases.store import VoterStore, create_voter_store
from tests.fleet.rig import TTL, Rig
from tests.fleet.test_lease_service import wait_for_holder

COMMIT_COUNT = 300
VOTER = "v"


async def measure_failover(rig: Rig, stop_signal: signal.Signals) -> float:
    """Stop the holder; the seconds until another member holds the lease."""
    holder, token = await wait_for_holder(rig, list(rig.members))
    others = [name for name in rig.members if name != holder]
    started_at = time.monotonic()
    rig[holder].send(stop_signal)
    await wait_for_holder(rig, others, token)
    seconds = time.monotonic() - started_at
    process = rig[holder].process
    assert process is not None
    await process.wait()
    rig[holder].log.clear()
    await rig[holder].start()
    await rig.until(lambda: rig[holder].logged("started") != [], "it is back")
    await rig.agreed()
    return seconds


async def measure_failovers(size: int, rounds: int, folder: Path) -> dict[str, object]:
    """The times of failovers in a fleet of real processes."""
    figures = {}
    async with Rig(size, folder, voters="3") as rig:
        await rig.agreed()
        for stop_signal, label in ((signal.SIGKILL, "killed"), (signal.SIGTERM, "told")):
            seconds = [await measure_failover(rig, stop_signal) for _ in range(rounds)]
            figures[f"{label}_median_s"] = round(statistics.median(seconds), 2)
            figures[f"{label}_worst_s"] = round(max(seconds), 2)
    return {"kind": "hand_over", "size": size, "rounds": rounds, "lease_s": TTL, **figures}


def measure_commits(folder: Path) -> dict[str, object]:
    """The time of a durable commit on one voter's disk."""
    store_folder = str(folder / "voter")
    create_voter_store(store_folder, VOTER)
    store = VoterStore(store_folder, VOTER)
    seconds = []
    for index in range(COMMIT_COUNT):
        command = Command(CommandKind.RENEW, "l", "h", 2.0, 1, 0, "s", index)
        action = PersistState(1, VOTER, index, (LogEntry(1, command),))
        started_at = time.monotonic()
        store.persist_state(action)
        seconds.append(time.monotonic() - started_at)
    store.close()
    seconds.sort()
    return {
        "kind": "disk",
        "commits": COMMIT_COUNT,
        "median_ms": round(1000 * statistics.median(seconds), 2),
        "p99_ms": round(1000 * seconds[int(0.99 * COMMIT_COUNT)], 2),
        "a_second": round(COMMIT_COUNT / sum(seconds)),
    }


def main() -> None:
    """Run from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--size", type=int, default=5)
    parser.add_argument("--rounds", type=int, default=20)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        print(json.dumps(measure_commits(Path(folder))), flush=True)
        figures = asyncio.run(measure_failovers(options.size, options.rounds, Path(folder)))
        print(json.dumps(figures), flush=True)


if __name__ == "__main__":
    main()
