"""What is owed at the end: each request that came before SIGKILL has its answer (issue 55).

Each test shuts an initiator down as a process, kills it at the earliest time that the terms allow, and judges
what its clients got.  `docs/incidents/unanswered-at-shutdown.md` lists what is owed and who enforces it.
"""

from __future__ import annotations

import contextlib
import os
import random
import signal
import socket
import threading
from dataclasses import replace

import pytest

from review import stand_ins
from tests import shutdown_nvme
from tests.shutdown_http import LONG_CLASSES, SAFE_CLASSES, SHORT_CLASSES, HttpSite
from tests.shutdown_nvme import NvmeSite
from tests.shutdown_play import (
    Behaviour,
    Exchange,
    Plan,
    fault_of,
    late_signals,
    play,
    random_exchange,
    random_suspension,
)
from tests.shutdown_site import ShutdownSite
from tests.slow_peers import START_SECONDS

SEEDS = [int(seed) for seed in os.environ.get("SHUTDOWN_SEEDS", "1").split()]
EXCHANGE_COUNT = 40
CROWD_COUNT = 250
CROWD_SHARDS = 12
HTTP_BEHAVIOURS = tuple(Behaviour)
LONG_SECONDS = 20.705  # that the client of the incident would have waited
# Seconds that a host waits for a read, and for a write.
NVME_DEADLINES = tuple(
    {shutdown_nvme.READ_CLASS: read, shutdown_nvme.WRITE_CLASS: write}
    for read, write in ((LONG_SECONDS, LONG_SECONDS), (1.0, LONG_SECONDS), (0.5, 0.6))
)
MIN_SENT_FRACTION = 0.8  # of the requests; others find their connection closed
PROBLEM_EVENTS = ("fault", "loop_error", "output")


def play_site(site: ShutdownSite) -> str:
    """Play a site's exchanges; return the faults of the exchanges and of the process, a line each."""
    clients = site.connect_clients()
    threading.Thread(target=site.list_late_targets, daemon=True).start()
    seen = play(site.program, site.plan, site.timeline, clients)
    site.record_attempts(seen)
    assert sum(one.sent_at is not None for one in seen) >= MIN_SENT_FRACTION * len(seen)
    faults = [
        f"{number}: {fault}: {exchange} {one}"
        for number, (exchange, one) in enumerate(zip(site.exchanges, seen, strict=True))
        if (fault := fault_of(exchange, one, site.plan)) is not None
    ]
    return "\n".join((*faults, *problems(site.events)))


def problems(events: list[dict]) -> list[str]:
    return [str(line) for line in events if line["event"] in PROBLEM_EVENTS]


def faults_of(site: ShutdownSite) -> str:
    """Start a site's process, and play its exchanges."""
    with contextlib.closing(site):
        site.start()
        return play_site(site)


def faults_of_upgrade(site: ShutdownSite) -> str:
    """Play a site's exchanges at a process that has a successor."""
    with socket.create_server((stand_ins.HOST, 0), backlog=64) as listening, contextlib.closing(site):
        site.start(listening)
        events: list[dict] = []
        successor = site.start_process("n2", listening, events)
        stand_ins.wait_until(lambda: successor.has_logged("admin"), START_SECONDS, "the successor runs")
        found = play_site(site)
        assert successor.has_logged("started")
        successor.send(signal.SIGTERM)
        assert successor.wait(START_SECONDS) == 0
    return "\n".join((*filter(None, [found]), *problems(events)))


def crowd_of(targets: list[Exchange], others: list[Exchange]) -> list[Exchange]:
    """Return a crowd whose targets are those of its first members."""
    return targets + [
        replace(one, behaviour=targets[number % len(targets)].behaviour, moment=None, listed_at=None)
        for number, one in enumerate(others, len(targets))
    ]


def class_of(rng: random.Random, classes: dict[str, float]) -> tuple[str, bool, float]:
    name = rng.choice(list(classes))
    longest = min(classes[name], LONG_SECONDS)
    return name, name in SAFE_CLASSES, rng.choice((longest, longest, 0.5 * longest, min(longest, 0.5)))


def random_exchanges(
    rng: random.Random, plan: Plan, classes: dict[str, float], count: int = EXCHANGE_COUNT
) -> list[Exchange]:
    return [
        random_exchange(rng, plan, HTTP_BEHAVIOURS, lambda rng: class_of(rng, classes)) for _ in range(count)
    ]


LONG_PLAN = Plan(max(LONG_CLASSES.values()))
SHORT_PLAN = Plan(max(SHORT_CLASSES.values()))


@pytest.mark.parametrize("class_name", ["report-export", "menu-write"])
def test_a_request_that_is_forwarded_late_in_a_shutdown_has_its_answer_by_the_kill(class_name, tmp_path):
    """Guards against a request of issue 55, held after the drain for a target that had begun to answer."""
    exchanges = [
        Exchange(
            behaviour, 1.19, class_name, class_name in SAFE_CLASSES, LONG_SECONDS, moment, listed_at=listed_at
        )
        for behaviour in Behaviour
        for moment, listed_at in ((None, 2.70), (2.98, None), (3.09, None), (3.15, None))
    ]
    assert faults_of(HttpSite(tmp_path, LONG_PLAN, exchanges, LONG_CLASSES)) == ""


@pytest.mark.parametrize("seed", SEEDS)
def test_each_request_has_its_answer_when_the_process_is_killed(seed, tmp_path):
    """Guards against requests that wait for their targets when the process is killed."""
    exchanges = random_exchanges(random.Random(seed), LONG_PLAN, LONG_CLASSES)
    assert faults_of(HttpSite(tmp_path, LONG_PLAN, exchanges, LONG_CLASSES)) == ""


@pytest.mark.parametrize("seed", SEEDS)
def test_each_request_has_its_answer_when_the_kill_comes_soon(seed, tmp_path):
    """Guards against a shutdown that is longer than short deadlines allow."""
    exchanges = random_exchanges(random.Random(seed), SHORT_PLAN, SHORT_CLASSES)
    assert faults_of(HttpSite(tmp_path, SHORT_PLAN, exchanges, SHORT_CLASSES)) == ""


@pytest.mark.parametrize("seed", SEEDS)
def test_signals_in_series_neither_extend_nor_restart_a_shutdown(seed, tmp_path):
    rng = random.Random(seed)
    plan = replace(LONG_PLAN, signals=late_signals(rng, LONG_PLAN))
    assert faults_of(HttpSite(tmp_path, plan, random_exchanges(rng, plan, LONG_CLASSES), LONG_CLASSES)) == ""


@pytest.mark.parametrize("classes", [LONG_CLASSES, SHORT_CLASSES], ids=["long", "short"])
@pytest.mark.parametrize("seed", SEEDS)
def test_a_process_that_was_suspended_still_answers_by_the_kill(seed, classes, tmp_path):
    """Guards against a shutdown whose time counts from when a suspended process has noticed its signal."""
    rng = random.Random(seed)
    plan = Plan(max(classes.values()))
    plan = replace(plan, signals=random_suspension(rng, plan))
    assert faults_of(HttpSite(tmp_path, plan, random_exchanges(rng, plan, classes), classes)) == ""


@pytest.mark.parametrize("seed", SEEDS)
def test_each_request_of_a_crowd_has_its_answer_when_the_process_is_killed(seed, tmp_path):
    """Guards against queues that are emptied only after the end of the shutdown."""
    rng = random.Random(seed)
    targets = random_exchanges(rng, LONG_PLAN, LONG_CLASSES, CROWD_SHARDS)
    others = random_exchanges(rng, LONG_PLAN, LONG_CLASSES, CROWD_COUNT - CROWD_SHARDS)
    crowd = crowd_of(targets, others)
    assert faults_of(HttpSite(tmp_path, LONG_PLAN, crowd, LONG_CLASSES, CROWD_SHARDS)) == ""


@pytest.mark.parametrize("seed", SEEDS)
def test_the_process_before_an_upgrade_answers_by_the_kill(seed, tmp_path):
    """Guards against requests on connections of the old process that are lost over an upgrade."""
    exchanges = random_exchanges(random.Random(seed), LONG_PLAN, LONG_CLASSES)
    assert faults_of_upgrade(HttpSite(tmp_path, LONG_PLAN, exchanges, LONG_CLASSES)) == ""


def nvme_exchanges(rng: random.Random, plan: Plan, deadlines: dict[str, float], count: int) -> list[Exchange]:
    def class_of_command(rng: random.Random) -> tuple[str, bool, float]:
        name = rng.choice((shutdown_nvme.READ_CLASS, shutdown_nvme.WRITE_CLASS))
        return name, name == shutdown_nvme.READ_CLASS, deadlines[name]

    return [random_exchange(rng, plan, shutdown_nvme.BEHAVIOURS, class_of_command) for _ in range(count)]


@pytest.mark.parametrize("deadlines", NVME_DEADLINES, ids=["long", "mixed", "short"])
@pytest.mark.parametrize("seed", SEEDS)
def test_each_command_over_nvme_has_its_completion_when_the_process_is_killed(seed, deadlines, tmp_path):
    """Guards against the same over NVMe/TCP: reads whose data has begun, commands without a target."""
    rng = random.Random(seed)
    plan = Plan(max(deadlines.values()))
    trouble = rng.choice((lambda: (), lambda: random_suspension(rng, plan), lambda: late_signals(rng, plan)))
    plan = replace(plan, signals=trouble())
    exchanges = nvme_exchanges(rng, plan, deadlines, EXCHANGE_COUNT)
    assert faults_of(NvmeSite(tmp_path, plan, exchanges, deadlines)) == ""


@pytest.mark.parametrize("seed", SEEDS)
def test_each_command_of_a_crowd_over_nvme_has_its_completion_when_the_process_is_killed(seed, tmp_path):
    rng = random.Random(seed)
    deadlines = NVME_DEADLINES[0]
    plan = Plan(max(deadlines.values()))
    crowd = crowd_of(
        nvme_exchanges(rng, plan, deadlines, CROWD_SHARDS),
        nvme_exchanges(rng, plan, deadlines, CROWD_COUNT - CROWD_SHARDS),
    )
    assert faults_of(NvmeSite(tmp_path, plan, crowd, deadlines, CROWD_SHARDS)) == ""
