"""Measures coming back: `python -m bench.mass_restart [--size 40] [--killed 28] [--down 4] [--series FILE]`.

Processes of the program under a steady load of clients that return when they are told to; most are killed
with kill -9 at once and started together while discovery is down for some seconds.  One JSON line a way, all
in one run: with kept state and paced returns (on), with kept state alone (no_ramp), with neither (off), and
all killed with their state lost, so that no peer knows anything (cold).  Seconds from the restart until
service is full (95% of what the same load got before, for 2 s), reads lost, and at discovery and the targets
the most in a second before and after.  `--series` keeps the counts over time, for `bench.plots`.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import shutil
import signal
import tempfile
import time
from pathlib import Path

from tests.fleet.rig import Rig, patient
from tests.stand_ins import HttpTarget

CALM, WATCHED = 8.0, 14.0  # s of load before the kill and after the restart
EACH = 3.0  # reads a second for each member
IN_TIME = 1.2  # s: of a client that goes on for longer, what comes after that is too late
SHARE, HOLD = 0.95, 2.0  # full: this share of what was served before, for so many seconds
SERVICE, ROOM = 0.1, 2.0  # s of work for a read; what a target can do, over what it is asked in the calm
STEP = 0.25  # s of the series
WAYS = {
    "on": {},
    "no_ramp": {"ramp": "false"},
    "off": {"keep": "false"},
    "cold": {},
    "cold_no_ramp": {"ramp": "false"},
}


class Counted(HttpTarget):
    """A target that notes each new connection, how many are open, and what it turned away.

    It works on `slots` requests at once, each for SERVICE seconds.
    """

    def __init__(self, name: str, shard: int, slots: int) -> None:
        super().__init__(name, shard)
        self.opened: list[float] = []
        self.open_now: list[tuple[float, int]] = []
        self.full_at: list[float] = []
        self.slots, self.delay = slots, SERVICE

    async def act(self, tag: int, data: bytes) -> str:
        if self.in_flight >= self.slots:
            self.full_at.append(time.monotonic())
            return "turn_away"
        return await super().act(tag, data)

    async def serve(self, reader, writer) -> None:
        self.opened.append(time.monotonic())
        self.open_now.append((time.monotonic(), len(self.writers)))
        await super().serve(reader, writer)


async def load(
    rig: Rig,
    ends: list[tuple[float, bool]],
    patience: float,
    each: float = EACH,
    took: list[float] | None = None,
) -> None:
    """Read through all members in turn; when each read was sent, and whether it was served in time.

    `took` is given the seconds of each that was served at its first try.
    """
    names, tasks = list(rig.members), set()

    async def one(number: int) -> None:
        at = time.monotonic()
        told = await patient(
            rig[names[number % len(names)]].listen, number, patience, shard=number // len(names) % 2
        )
        ends.append((at, told[-1:] == [0.0] and time.monotonic() - at <= IN_TIME))
        if took is not None and told == [0.0]:
            took.append(time.monotonic() - at)

    for number in itertools.count():
        task = asyncio.create_task(one(number))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / (each * len(names)))


def served(ends: list[tuple[float, bool]], begin: float, end: float) -> float:
    """Reads served a second, of those sent in a time."""
    return sum(good for at, good in ends if begin <= at < end) / (end - begin)


def most(times: list[float], begin: float, end: float) -> int:
    """The most in a second."""
    times = [at for at in times if begin <= at < end]
    return max((sum(at - 1.0 < other <= at for other in times) for at in times), default=0)


async def counted(rig: Rig, room: float) -> list[Counted]:
    """Put targets that count in the place of the rig's."""
    slots = round(room * EACH * len(rig.members) / 2 * SERVICE)
    found = [Counted(target.name, target.shard, slots) for target in rig.targets]
    for old, new in zip(list(rig.targets), found, strict=True):
        await new.open()
        rig.discovery.set(new)
        rig.targets.append(new)
        old.mode = "turn_away"
    await rig.until(
        lambda: all(
            any(line["index"] >= rig.discovery.index for line in member.said("list"))
            for member in rig.members.values()
        ),
        "they are listed",
    )
    return found


async def play(
    way: str, size: int, killed: int, down: float, patience: float, room: float, folder: Path
) -> dict[str, object]:
    changes = {"keep": "true", "probe_every_s": "0.5", "probe_timeout_s": "0.2", **WAYS[way]}
    async with Rig(size, folder, **changes) as rig:
        await rig.agreed()
        targets = await counted(rig, room)
        ends: list[tuple[float, bool]] = []
        loading = asyncio.create_task(load(rig, ends, patience))
        await asyncio.sleep(4.0)
        calm = time.monotonic()
        await asyncio.sleep(CALM)
        names = list(rig.members)[: size if way.startswith("cold") else killed]
        struck = time.monotonic()
        for name in names:
            rig[name].send(signal.SIGKILL)
        rig.discovery.close()
        await asyncio.gather(*(rig[name].process.wait() for name in names))
        whole_before = sum("after=" not in call for call in rig.discovery.calls)
        if way.startswith("cold"):
            for name in names:
                shutil.rmtree(rig[name].store, ignore_errors=True)
        began = time.monotonic()
        await asyncio.gather(*(rig[name].start() for name in names))
        await asyncio.sleep(max(0.0, struck + down - time.monotonic()))
        await rig.discovery.open()
        await asyncio.sleep(began + WATCHED - time.monotonic())
        loading.cancel()
        end = began + WATCHED
        before = served(ends, calm, struck)
        steps = [began + step / 10 for step in range(int((WATCHED - HOLD - 1.5) * 10))]
        full = next((at - began for at in steps if served(ends, at, at + HOLD) >= SHARE * before), None)
        count = {
            "list_calls": rig.discovery.times,
            "connections": [at for target in targets for at in target.opened],
        }
        sends = [[at for at, _ in target.begun] for target in targets]
        return {
            "kind": "coming_back",
            "way": way,
            "size": size,
            "killed": len(names),
            "down_s": down,
            "before_per_s": round(before, 1),
            "full_after_s": None if full is None else round(full, 1),
            "lost": sum(not good for at, good in ends if at >= struck),
            "list_calls_calm_mean": round(
                sum(calm <= at < struck for at in rig.discovery.times) / (struck - calm), 1
            ),
            "turned_away_calm": sum(at < struck for target in targets for at in target.full_at),
            "turned_away_after": sum(at >= struck for target in targets for at in target.full_at),
            "whole_lists": sum("after=" not in call for call in rig.discovery.calls) - whole_before,
            **{
                f"{name}_{when}": most(times, *span)
                for name, times in count.items()
                for when, span in (("calm", (calm, struck)), ("after", (struck, end)))
            },
            **{
                f"sends_{when}": max(most(times, *span) for times in sends)
                for when, span in (("calm", (calm, struck)), ("after", (struck, end)))
            },
            **{
                f"open_{when}": sum(
                    max((n for at, n in target.open_now if span[0] <= at < span[1]), default=0)
                    for target in targets
                )
                for when, span in (("calm", (0.0, struck)), ("after", (began, end)))
            },
            "series": series(
                began,
                {
                    **count,
                    "sends": [at for times in sends for at in times],
                    "served": [at for at, good in ends if good],
                    "asked": [at for at, _ in ends],
                },
            ),
        }


def series(began: float, times: dict[str, list[float]]) -> dict[str, list[float]]:
    """Counts a second in steps of STEP, from 4 s before the restart on."""
    edges = [began + STEP * n for n in range(int(-4 / STEP), int((WATCHED - 1.5) / STEP))]
    found = {
        name: [sum(edge <= at < edge + STEP for at in each) / STEP for edge in edges]
        for name, each in times.items()
    }
    return {"at": [round(edge - began, 3) for edge in edges], **found}


async def cost(keep: bool, folder: Path) -> dict[str, object]:
    """What saving costs a request: latencies of reads at five members that save every 0.2 s, or never."""
    async with Rig(5, folder, keep=str(keep).lower()) as rig:
        await rig.agreed()
        ends, took = [], []
        loading = asyncio.create_task(load(rig, ends, 1.2, 40.0))
        await asyncio.sleep(5.0)  # past the ramp of the start
        loading.cancel()
        loading = asyncio.create_task(load(rig, ends, 1.2, 40.0, took))
        await asyncio.sleep(10.0)
        loading.cancel()
        took.sort()
        return {
            "kind": "snapshots",
            "keep": keep,
            "reads": len(took),
            **{f"p{share}_ms": round(1000 * took[int(len(took) * share / 100)], 2) for share in (50, 99)},
        }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--size", type=int, default=40)
    parser.add_argument("--killed", type=int, default=28)
    parser.add_argument("--down", type=float, default=4.0)
    parser.add_argument("--patience", type=float, default=4.0, help="s for which a client tries")
    parser.add_argument("--room", type=float, default=ROOM)
    parser.add_argument("--ways", default=",".join(WAYS))
    parser.add_argument("--costs", type=int, default=2, help="rounds of measuring what saving costs")
    parser.add_argument("--series", type=Path)
    options = parser.parse_args()
    kept = []
    for way in filter(None, options.ways.split(",")):
        with tempfile.TemporaryDirectory() as folder:
            found = asyncio.run(
                play(
                    way,
                    options.size,
                    options.killed,
                    options.down,
                    options.patience,
                    options.room,
                    Path(folder),
                )
            )
            kept.append({"way": way, **found.pop("series")})
            print(json.dumps(found), flush=True)
    for keep in (False, True) * options.costs:
        with tempfile.TemporaryDirectory() as folder:
            print(json.dumps(asyncio.run(cost(keep, Path(folder)))), flush=True)
    if options.series is not None:
        options.series.write_text("".join(json.dumps(line) + "\n" for line in kept))


if __name__ == "__main__":
    main()
