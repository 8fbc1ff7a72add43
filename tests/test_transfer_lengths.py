"""Transfers that go on when a limit on time passes are sound as long as bytes keep coming (issue 52).

The lengths are drawn from the limits of `docs/incidents/streams-cut-off-after-deadline.md`: for each limit, a
transfer of half of it, one that is still going when it passes, and one of several times its length.
"""

from __future__ import annotations

import os
import random

import pytest

from tests.slow_peers import (
    IDLE_LIMIT_SECONDS,
    SHORT_RESPONSE_BYTES,
    Call,
    Script,
    fault_of,
    play,
    reading_fault_of,
    site,
)

SEEDS = [int(seed) for seed in os.environ.get("TRANSFER_SEEDS", "1").split()]
FACTORS = (0.5, 1.2, 3.0)
FRAMINGS = ("length", "chunked", "close")
LONG_PAUSE_SECONDS = IDLE_LIMIT_SECONDS / 2
# The second of two pieces that are a long pause apart comes shortly before.
CLIENT_SECONDS = LONG_PAUSE_SECONDS + 0.065
# Limits on the length of an exchange that the initiator had, in seconds.
RESPONSE_LIMITS = {
    "objective": 0.3,
    "client's time": CLIENT_SECONDS,
    "reset after it": CLIENT_SECONDS + 0.25,
    "idle limit": IDLE_LIMIT_SECONDS,
    "linger": 3.0,
}
REQUEST_LIMITS = {"idle limit of requests": 2.5, "longest deadline": 5.0}
HEAD_LIMITS = {"first request": 2.3, "first request in all": 10.0}
NO_END_SECONDS = 30.0  # longer than any exchange
REQUEST_PAUSE_SECONDS = 1.2  # half of the idle limit of requests

Exchanges = dict[str, tuple[Call, Script]]


def steady(rng: random.Random, seconds: float) -> tuple[float, ...]:
    """Return pauses that differ, none longer than half of the idle limit."""
    count = max(rng.choice((8, 20, 40)), int(3 * seconds / LONG_PAUSE_SECONDS))
    weights = [0.5 + rng.random() for _ in range(count)]
    return tuple(seconds * weight / sum(weights) for weight in weights)


def lumps(seconds: float) -> tuple[float, ...]:
    """Return pauses of half of the idle limit."""
    return (0.0, *(LONG_PAUSE_SECONDS,) * max(1, round(seconds / LONG_PAUSE_SECONDS)))


def client_of(rng: random.Random, **options) -> Call:
    kind = rng.choice(("order-read", "report-export", "order-write"))
    method, body = ("PUT", b"menu") if kind == "order-write" else ("GET", b"")
    return Call(kind, CLIENT_SECONDS, method, body, **options)


def faults(folder, exchanges: Exchanges, judge=fault_of) -> dict[str, str]:
    with site(folder, len(exchanges)) as opened:
        seen = play(opened, exchanges)
        ends = {line["label"]: line["rule"] for line in opened.events if line["event"] == "exchange_ended"}
        problems = [line for line in opened.events if line["event"] in ("fault", "loop_error", "output")]
    print("ended by", ends)  # shown if the test fails
    assert problems == []
    found = {name: judge(*exchanges[name], seen[name]) for name in exchanges}
    return {name: fault for name, fault in found.items() if fault is not None}


@pytest.mark.parametrize("limit", list(RESPONSE_LIMITS))
@pytest.mark.parametrize("seed", SEEDS)
def test_a_response_that_keeps_coming_is_passed_on_to_its_end(seed, limit, tmp_path):
    """Guards against a reset of sound responses some time after their clients' time."""
    rng = random.Random(f"{seed} {limit}")
    exchanges = {
        f"{factor} {framing} {size} {name}": (
            client_of(rng, minor_version=rng.choice((0, 1, 1))),
            Script(framing, size, pauses, head_pauses=rng.choice(((), (), (0.1, 0.3)))),
        )
        for factor in FACTORS
        for framing in FRAMINGS
        for size in (20_000, 200_000, 2_000_000)
        for name, pauses in (
            ("steady", steady(rng, factor * RESPONSE_LIMITS[limit])),
            ("lumps", lumps(factor * RESPONSE_LIMITS[limit])),
        )
    }
    assert faults(tmp_path, exchanges) == {}


@pytest.mark.parametrize("seed", SEEDS)
def test_a_response_that_stops_ends_visibly_at_the_idle_limit(seed, tmp_path):
    """Guards against clients that wait for a response that has stopped, before or after their time."""
    rng = random.Random(seed)
    exchanges = {
        f"{framing} {size} {seconds} {stops_after}": (
            client_of(rng),
            Script(framing, size, (seconds / 8,) * 8, stops_after=stops_after),
        )
        for framing in FRAMINGS
        for size in (20_000, 200_000)
        for seconds in (0.4, 2.4)
        for stops_after in (0, 2, 7)
    }
    assert faults(tmp_path, exchanges) == {}


@pytest.mark.parametrize("seed", SEEDS)
def test_a_client_without_a_byte_has_its_answer_by_its_time_although_its_head_has_begun_to_come(
    seed, tmp_path
):
    """Guards against a head that is not whole, or interim responses, that hold a client after its time."""
    rng = random.Random(seed)
    exchanges = {
        f"{seconds} {framing} {size}": (
            client_of(rng),
            Script(framing, size, (0.0, 0.2), head_pauses=(seconds / 4,) * 4, has_interim=rng.random() < 0.3),
        )
        for seconds in (0.4, 1.0, 2.4, 4 * NO_END_SECONDS)  # the last one: a part of a head, then nothing
        for framing in FRAMINGS
        for size in (20_000, 200_000)
    }
    assert faults(tmp_path, exchanges) == {}


@pytest.mark.parametrize("seed", SEEDS)
def test_a_response_that_its_client_reads_slowly_is_passed_on_to_its_end(seed, tmp_path):
    """Guards against a reset of a client that reads."""
    rng = random.Random(seed)
    size = 6_000_000
    exchanges: Exchanges = {
        f"{framing} {seconds:.1f} s": (
            client_of(rng, read_bytes_per_second=size / seconds),
            Script(framing, size, (0.0, 0.1)),
        )
        for framing in FRAMINGS
        for limit in (CLIENT_SECONDS + 0.25, IDLE_LIMIT_SECONDS, 3.0)
        for seconds in (factor * limit for factor in FACTORS)
    }
    assert faults(tmp_path, exchanges, reading_fault_of) == {}


@pytest.mark.parametrize("seed", SEEDS)
def test_a_client_that_stops_reading_is_reset_at_the_idle_limit(seed, tmp_path):
    """Guards against a reset of a client that pauses, and against one that has stopped and is kept."""
    rng = random.Random(seed)
    exchanges: Exchanges = {
        f"{framing} stops for {stopped_seconds}": (
            client_of(rng, stops_reading_after=100_000, stops_reading_seconds=stopped_seconds),
            Script(framing, 20_000_000),
        )
        for framing in FRAMINGS
        for stopped_seconds in (LONG_PAUSE_SECONDS, 3 * IDLE_LIMIT_SECONDS)
    }
    assert faults(tmp_path, exchanges, reading_fault_of) == {}


@pytest.mark.parametrize("limit", list(REQUEST_LIMITS))
@pytest.mark.parametrize("seed", SEEDS)
def test_a_request_that_keeps_coming_is_served(seed, limit, tmp_path):
    """Guards against 408 for a body that takes longer than the longest deadline."""
    rng = random.Random(f"{seed} {limit}")
    exchanges = {
        f"{factor} {size}": (
            Call(
                "order-write",
                CLIENT_SECONDS,
                "PUT",
                bytes(size),
                factor * REQUEST_LIMITS[limit],
                pieces=max(
                    rng.choice((6, 20)), int(factor * REQUEST_LIMITS[limit] / REQUEST_PAUSE_SECONDS) + 2
                ),
            ),
            Script("length", 3_000),
        )
        for factor in FACTORS
        for size in (300, 20_000, SHORT_RESPONSE_BYTES + 1, 400_000)
    }
    assert faults(tmp_path, exchanges) == {}


@pytest.mark.parametrize("limit", list(HEAD_LIMITS))
def test_a_head_that_keeps_coming_is_served(limit, tmp_path):
    """Guards against 408 for a head that takes longer than 10 s."""
    exchanges = {
        f"{factor} {padding}": (
            Call(
                "order-read",
                CLIENT_SECONDS,
                write_seconds=factor * HEAD_LIMITS[limit],
                pieces=int(factor * HEAD_LIMITS[limit] / REQUEST_PAUSE_SECONDS) + 6,
                head_padding=b"X-Padding: " + b"p" * padding + b"\r\n",
            ),
            Script("length", 3_000),
        )
        for factor in FACTORS
        for padding in (10, 3_000)
    }
    assert faults(tmp_path, exchanges) == {}
