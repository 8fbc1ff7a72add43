"""Measures mass restarts: `python -m bench.mass_restart [--size 40] [--killed 28] [--down 4] [--series F]`.

Processes of the program serve a steady load of clients that follow Retry-After.  Most processes are killed
and restarted together while discovery is unavailable for some seconds.  One JSON line is printed for each
configuration, all in one run:

- on: with snapshots and paced recovery (`ramp` in the configuration file);
- no_ramp: with snapshots only;
- off: with neither;
- cold: all members are killed and lose their state, so that no peer has any to share;
- cold_no_ramp: like cold, without paced recovery.

A line holds the seconds from the restart until full service (95% of the reads per second served before, for
2 s), the reads lost, and the peak rates of calls to discovery and the targets before and after.  `--series`
writes the counts over time to a file for `bench.plots`.
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
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple

from tests.fleet.rig import Rig, read_with_retries
from tests.stand_ins import HttpTarget

WARM_UP_SECONDS = 4.0  # load before the counting starts
BASELINE_SECONDS = 8.0  # counted load before the kill
OBSERVED_SECONDS = 14.0  # counted load after the restart
READS_PER_MEMBER_PER_SECOND = 3.0
TIMELY_SECONDS = 1.2  # a read served later counts as lost, though its client keeps retrying
FULL_SERVICE_FRACTION = 0.95
FULL_SERVICE_SECONDS = 2.0
SERVICE_SECONDS = 0.1  # time that a target takes to serve a read
CAPACITY_FACTOR = 2.0  # a target's capacity relative to its load in normal operation
UNFINISHED_SECONDS = 1.5  # reads sent this shortly before the end may still be in flight
SERIES_BEFORE_SECONDS = 4.0
SERIES_STEP_SECONDS = 0.25
FLEET_SETTINGS = {"persists_state": "true", "probe_every_s": "0.5", "probe_timeout_s": "0.2"}
CONFIGURATIONS = {
    "on": {},
    "no_ramp": {"ramp": "false"},
    "off": {"persists_state": "false"},
    "cold": {},
    "cold_no_ramp": {"ramp": "false"},
}


class Scenario(NamedTuple):
    """The faults and the load of one configuration; times are in seconds."""

    configuration: str
    size: int
    killed: int
    discovery_down_time: float
    retry_seconds: float  # how long a client retries
    capacity_factor: float

    @property
    def loses_state(self) -> bool:
        """Whether all members are killed and lose their state."""
        return self.configuration.startswith("cold")


class Interval(NamedTuple):
    """An interval of monotonic times."""

    begin: float
    end: float

    def __contains__(self, at: object) -> bool:
        return isinstance(at, float) and self.begin <= at < self.end


class Read(NamedTuple):
    """A finished read: when it was sent, and whether it was served in time."""

    sent_at: float
    is_served: bool


class CountingTarget(HttpTarget):
    """A target that records its connections and rejections.

    It serves at most `slots` requests concurrently, each in SERVICE_SECONDS, and rejects further ones.
    """

    def __init__(self, name: str, shard: int, slots: int) -> None:
        super().__init__(name, shard)
        self.connected_at: list[float] = []
        self.open_connections: list[tuple[float, int]] = []
        self.rejected_at: list[float] = []
        self.slots = slots
        self.delay = SERVICE_SECONDS

    async def execute(self, tag: int, data: bytes) -> str:
        if self.in_flight >= self.slots:
            self.rejected_at.append(time.monotonic())
            return "reject"
        return await super().execute(tag, data)

    async def serve(self, reader, writer) -> None:
        self.connected_at.append(time.monotonic())
        self.open_connections.append((time.monotonic(), len(self.writers)))
        await super().serve(reader, writer)


@dataclass
class Load:
    """A steady load of reads through all members, round robin.

    `reads` collects the finished reads, `latencies` the seconds of those served at the first attempt.
    """

    rig: Rig
    retry_seconds: float
    reads_per_member_per_second: float = READS_PER_MEMBER_PER_SECOND
    reads: list[Read] = field(default_factory=list)
    latencies: list[float] = field(default_factory=list)

    async def run(self) -> None:
        """Send reads until cancelled."""
        names = list(self.rig.members)
        tasks: set[asyncio.Task] = set()
        for number in itertools.count():
            task = asyncio.create_task(self._read(names, number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1 / (self.reads_per_member_per_second * len(names)))

    async def _read(self, names: list[str], number: int) -> None:
        sent_at = time.monotonic()
        port = self.rig[names[number % len(names)]].listen
        retry_afters = await read_with_retries(
            port, number, self.retry_seconds, shard=number // len(names) % 2
        )
        elapsed = time.monotonic() - sent_at
        self.reads.append(Read(sent_at, retry_afters[-1:] == [0.0] and elapsed <= TIMELY_SECONDS))
        if retry_afters == [0.0]:
            self.latencies.append(elapsed)


@dataclass
class Observation:
    """The counts of one scenario."""

    scenario: Scenario
    rig: Rig
    targets: list[CountingTarget]
    reads: list[Read]
    before: Interval
    restarted_at: float
    full_list_requests: int  # calls to discovery for the full target list since the kill

    @property
    def after(self) -> Interval:
        """The interval from the kill until the end."""
        return Interval(self.before.end, self.restarted_at + OBSERVED_SECONDS)

    def result(self) -> dict[str, object]:
        """Return the figures of the printed line."""
        baseline = served_per_second(self.reads, self.before)
        full_service_delay = self._full_service_delay(baseline)
        rejected_at = [at for target in self.targets for at in target.rejected_at]
        killed_at = self.before.end
        list_calls = self.rig.discovery.times
        return {
            "kind": "coming_back",
            "way": self.scenario.configuration,
            "size": self.scenario.size,
            "killed": self.scenario.size if self.scenario.loses_state else self.scenario.killed,
            "down_s": self.scenario.discovery_down_time,
            "before_per_s": round(baseline, 1),
            "full_after_s": None if full_service_delay is None else round(full_service_delay, 1),
            "lost": sum(not read.is_served for read in self.reads if read.sent_at >= killed_at),
            "list_calls_calm_mean": round(
                sum(at in self.before for at in list_calls) / (self.before.end - self.before.begin), 1
            ),
            "turned_away_calm": sum(at < killed_at for at in rejected_at),
            "turned_away_after": sum(at >= killed_at for at in rejected_at),
            "whole_lists": self.full_list_requests,
            **self._peaks(),
        }

    def series(self) -> dict[str, list[float]]:
        """Return counts per second in steps of SERIES_STEP_SECONDS, beginning before the restart."""
        first_step = int(-SERIES_BEFORE_SECONDS / SERIES_STEP_SECONDS)
        last_step = int((OBSERVED_SECONDS - UNFINISHED_SECONDS) / SERIES_STEP_SECONDS)
        step_times = [
            self.restarted_at + SERIES_STEP_SECONDS * number for number in range(first_step, last_step)
        ]
        times = {
            "list_calls": self.rig.discovery.times,
            "connections": self._connection_times(),
            "sends": [at for target in self.targets for at, _tag in target.received],
            "served": [read.sent_at for read in self.reads if read.is_served],
            "asked": [read.sent_at for read in self.reads],
        }
        counts = {
            name: [
                sum(at in Interval(step, step + SERIES_STEP_SECONDS) for at in event_times)
                / SERIES_STEP_SECONDS
                for step in step_times
            ]
            for name, event_times in times.items()
        }
        return {"at": [round(step - self.restarted_at, 3) for step in step_times], **counts}

    def _connection_times(self) -> list[float]:
        return [at for target in self.targets for at in target.connected_at]

    def _full_service_delay(self, baseline: float) -> float | None:
        """Return the seconds from the restart until full service, or None if it was not reached."""
        tenths = int((OBSERVED_SECONDS - FULL_SERVICE_SECONDS - UNFINISHED_SECONDS) * 10)
        for tenth in range(tenths):
            at = self.restarted_at + tenth / 10
            interval = Interval(at, at + FULL_SERVICE_SECONDS)
            if served_per_second(self.reads, interval) >= FULL_SERVICE_FRACTION * baseline:
                return at - self.restarted_at
        return None

    def _peaks(self) -> dict[str, int]:
        """Return the peak rates and peak numbers of open connections, before and after the kill."""
        intervals = {"calm": self.before, "after": self.after}
        open_connection_intervals = {
            "calm": Interval(0.0, self.before.end),
            "after": Interval(self.restarted_at, self.after.end),
        }
        peaks: dict[str, int] = {}
        for name, times in (
            ("list_calls", self.rig.discovery.times),
            ("connections", self._connection_times()),
        ):
            for when, interval in intervals.items():
                peaks[f"{name}_{when}"] = peak_per_second(times, interval)
        for when, interval in intervals.items():
            peaks[f"sends_{when}"] = max(
                peak_per_second([at for at, _tag in target.received], interval) for target in self.targets
            )
        for when, interval in open_connection_intervals.items():
            peaks[f"open_{when}"] = sum(
                max((count for at, count in target.open_connections if at in interval), default=0)
                for target in self.targets
            )
        return peaks


class Report(NamedTuple):
    """The printed figures of one scenario, and its counts over time."""

    result: dict[str, object]
    series: dict[str, list[float]]


def served_per_second(reads: list[Read], interval: Interval) -> float:
    """Return the rate of served reads among those sent in an interval."""
    return sum(read.is_served for read in reads if read.sent_at in interval) / (interval.end - interval.begin)


def peak_per_second(times: list[float], interval: Interval) -> int:
    """Return the largest number of events in any second of an interval."""
    times = [at for at in times if at in interval]
    return max((sum(at - 1.0 < other <= at for other in times) for at in times), default=0)


async def replace_targets(rig: Rig, capacity_factor: float) -> list[CountingTarget]:
    """Replace the targets of the rig by counting ones, and wait until all members have listed them."""
    slots = round(capacity_factor * READS_PER_MEMBER_PER_SECOND * len(rig.members) / 2 * SERVICE_SECONDS)
    counting_targets = [CountingTarget(target.name, target.shard, slots) for target in rig.targets]
    for old, new in zip(list(rig.targets), counting_targets, strict=True):
        await new.open()
        rig.discovery.set(new)
        rig.targets.append(new)
        old.mode = "reject"
    await rig.wait_until(
        lambda: all(
            any(line["index"] >= rig.discovery.index for line in member.logged("list"))
            for member in rig.members.values()
        ),
        "the counting targets are listed",
    )
    return counting_targets


def count_full_list_requests(rig: Rig) -> int:
    """Return the number of calls to discovery so far that requested the full target list."""
    return sum("after=" not in call for call in rig.discovery.calls)


async def run_scenario(scenario: Scenario, folder: Path) -> Report:
    """Run a scenario and return its report."""
    changes = {**FLEET_SETTINGS, **CONFIGURATIONS[scenario.configuration]}
    async with Rig(scenario.size, folder, **changes) as rig:
        await rig.wait_until_views_agree()
        targets = await replace_targets(rig, scenario.capacity_factor)
        load = Load(rig, scenario.retry_seconds)
        load_task = asyncio.create_task(load.run())
        await asyncio.sleep(WARM_UP_SECONDS)
        baseline_started_at = time.monotonic()
        await asyncio.sleep(BASELINE_SECONDS)
        names = list(rig.members)[: scenario.size if scenario.loses_state else scenario.killed]
        killed_at = time.monotonic()
        for name in names:
            rig[name].send(signal.SIGKILL)
        rig.discovery.close()
        await asyncio.gather(*(rig[name].process.wait() for name in names))
        full_list_requests_before = count_full_list_requests(rig)
        if scenario.loses_state:
            for name in names:
                shutil.rmtree(rig[name].store_path, ignore_errors=True)
        restarted_at = time.monotonic()
        await asyncio.gather(*(rig[name].start() for name in names))
        await asyncio.sleep(max(0.0, killed_at + scenario.discovery_down_time - time.monotonic()))
        await rig.discovery.open()
        await asyncio.sleep(restarted_at + OBSERVED_SECONDS - time.monotonic())
        load_task.cancel()
        observation = Observation(
            scenario,
            rig,
            targets,
            load.reads,
            Interval(baseline_started_at, killed_at),
            restarted_at,
            count_full_list_requests(rig) - full_list_requests_before,
        )
        # Evaluated before the fleet shuts down, as reads in flight would fail then.
        return Report(observation.result(), observation.series())


async def measure_snapshot_cost(saves_snapshots: bool, folder: Path) -> dict[str, object]:
    """Return read latencies of five members that save a snapshot every 0.2 s, or never."""
    async with Rig(5, folder, persists_state=str(saves_snapshots).lower()) as rig:
        await rig.wait_until_views_agree()
        warm_up_task = asyncio.create_task(Load(rig, 1.2, 40.0).run())
        await asyncio.sleep(5.0)  # until the initial ramp is over
        warm_up_task.cancel()
        load = Load(rig, 1.2, 40.0)
        load_task = asyncio.create_task(load.run())
        await asyncio.sleep(10.0)
        load_task.cancel()
        latencies = sorted(load.latencies)
        percentiles = {
            f"p{percent}_ms": round(1000 * latencies[int(len(latencies) * percent / 100)], 2)
            for percent in (50, 99)
        }
        return {"kind": "snapshots", "keep": saves_snapshots, "reads": len(latencies), **percentiles}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--size", type=int, default=40)
    parser.add_argument("--killed", type=int, default=28)
    parser.add_argument("--down", type=float, default=4.0)
    parser.add_argument("--patience", type=float, default=4.0, help="seconds that a client keeps retrying")
    parser.add_argument("--room", type=float, default=CAPACITY_FACTOR)
    parser.add_argument("--ways", default=",".join(CONFIGURATIONS))
    parser.add_argument("--costs", type=int, default=2, help="rounds of measuring the cost of snapshots")
    parser.add_argument("--series", type=Path)
    options = parser.parse_args()
    series = []
    for configuration in filter(None, options.ways.split(",")):
        scenario = Scenario(
            configuration, options.size, options.killed, options.down, options.patience, options.room
        )
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(run_scenario(scenario, Path(folder)))
        series.append({"way": configuration, **report.series})
        print(json.dumps(report.result), flush=True)
    for saves_snapshots in (False, True) * options.costs:
        with tempfile.TemporaryDirectory() as folder:
            cost = asyncio.run(measure_snapshot_cost(saves_snapshots, Path(folder)))
        print(json.dumps(cost), flush=True)
    if options.series is not None:
        options.series.write_text("".join(json.dumps(line) + "\n" for line in series))


if __name__ == "__main__":
    main()
