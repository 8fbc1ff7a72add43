"""Measures leases in a fleet of processes: `python -m bench.leases [--size 5] [--rounds 20]`.

Prints two JSON lines.  The first has the commits per second and their time on one voter's disk (synced,
without a network).  The second has the median and the maximum of the seconds from a SIGKILL or a SIGTERM to
the lease's holder until another member holds the lease, with a lease of 1.5 s and 3 voters.  The holder is
restarted each time.

The keys of the lines must not change, so that the results can be compared with those of earlier versions.
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
    """Stop the holder; returns the seconds until another member holds the lease."""
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
    await rig.wait_until(lambda: rig[holder].logged("started") != [], "the stopped member has restarted")
    await rig.wait_until_views_agree()
    return seconds


async def measure_failovers(size: int, rounds: int, folder: Path) -> dict[str, object]:
    """Measure failovers in a fleet of real processes."""
    measurements = {}
    async with Rig(size, folder, voters="3") as rig:
        await rig.wait_until_views_agree()
        for stop_signal, label in ((signal.SIGKILL, "killed"), (signal.SIGTERM, "told")):
            failover_seconds = [await measure_failover(rig, stop_signal) for _ in range(rounds)]
            measurements[f"{label}_median_s"] = round(statistics.median(failover_seconds), 2)
            measurements[f"{label}_worst_s"] = round(max(failover_seconds), 2)
    return {"kind": "hand_over", "size": size, "rounds": rounds, "lease_s": TTL, **measurements}


def measure_commits(folder: Path) -> dict[str, object]:
    """Measure durable commits on one voter's disk."""
    store_folder = str(folder / "voter")
    create_voter_store(store_folder, VOTER)
    store = VoterStore(store_folder, VOTER)
    commit_seconds = []
    for index in range(COMMIT_COUNT):
        command = Command(CommandKind.RENEW, "l", "h", 2.0, 1, 0, "s", index)
        action = PersistState(1, VOTER, index, (LogEntry(1, command),))
        started_at = time.monotonic()
        store.persist_state(action)
        commit_seconds.append(time.monotonic() - started_at)
    store.close()
    commit_seconds.sort()
    return {
        "kind": "disk",
        "commits": COMMIT_COUNT,
        "median_ms": round(1000 * statistics.median(commit_seconds), 2),
        "p99_ms": round(1000 * commit_seconds[int(0.99 * COMMIT_COUNT)], 2),
        "a_second": round(COMMIT_COUNT / sum(commit_seconds)),
    }


def main() -> None:
    """Run from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--size", type=int, default=5)
    parser.add_argument("--rounds", type=int, default=20)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        print(json.dumps(measure_commits(Path(folder))), flush=True)
        failovers = asyncio.run(measure_failovers(options.size, options.rounds, Path(folder)))
        print(json.dumps(failovers), flush=True)


if __name__ == "__main__":
    main()
