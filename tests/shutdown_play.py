"""Shutdowns of one initiator as a process, which is killed at the earliest time that the terms allow.

Each exchange has a connection that is open before SIGTERM, and a target of its own.  `Plan` has the times of
a shutdown in seconds after SIGTERM; `fault_of` judges an exchange by the bytes that its client got.
"""

from __future__ import annotations

import contextlib
import random
import select
import signal
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from tests.slow_peers import Program

MAX_DEADLINE_SECONDS = 3.0  # a longer deadline counts as this
KILL_MARGIN_SECONDS = 0.7  # SIGKILL comes no sooner than this after the longest deadline
DRAIN_MARGIN_SECONDS = 0.1  # from the longest deadline to the drain's end
IDLE_CLOSE_SECONDS = 0.5  # an idle connection may be closed this long before the drain's end, and not sooner
LATE_SECONDS = 0.5  # a client's answer is late that comes this long after its time
START_SLACK_SECONDS = 0.15  # in which an attempt that was begun in time reaches its target
READ_SECONDS = 0.2  # the process may not have read a request that came this shortly before SIGKILL
WARM_UP_SECONDS = 0.6  # from the first connection to SIGTERM, at least
EARLIEST_ARRIVAL_SECONDS = -0.4
MAX_CLIENT_DELAY_SECONDS = 0.1
END_SECONDS = 15.0  # longer than any exchange


class Behaviour(StrEnum):
    """What a target does with a request, from the exchange's `moment` on."""

    SERVES = "serves"
    SILENT = "silent"
    INTERIM = "interim"  # an interim response, then nothing; over NVMe/TCP an R2T
    INTERIMS = "interims"  # one after the other
    HEAD_PART = "head part"
    HEAD_DRIPS = "head drips"
    HEAD_ONLY = "head only"  # a whole head of a response of unknown length
    BODY_DRIPS = "body drips"  # a short response; over NVMe/TCP the data of a read
    CHUNKS_DRIP = "chunks drip"
    CLOSE_DRIPS = "close drips"  # a response that the end of the connection delimits
    LONG_DRIPS = "long drips"
    BODY_STOPS = "body stops"
    ERROR = "error"
    REJECTS = "rejects"  # as not processed
    RESETS = "resets"
    CLOSES = "closes"
    HEAD_PART_RESETS = "head part resets"
    BODY_PART_RESETS = "body part resets"


NEVER_RUN = frozenset({Behaviour.REJECTS})
DRIPPING = frozenset(
    {
        Behaviour.INTERIMS,
        Behaviour.HEAD_DRIPS,
        Behaviour.BODY_DRIPS,
        Behaviour.CHUNKS_DRIP,
        Behaviour.CLOSE_DRIPS,
        Behaviour.LONG_DRIPS,
    }
)


@dataclass(frozen=True)
class Plan:
    """The times of a shutdown, in seconds after SIGTERM; `signals` are sent besides SIGTERM and SIGKILL."""

    longest_deadline: float
    signals: tuple[tuple[float, signal.Signals], ...] = ()

    @property
    def drain_end(self) -> float:
        return min(self.longest_deadline, MAX_DEADLINE_SECONDS) + DRAIN_MARGIN_SECONDS

    @property
    def kill_at(self) -> float:
        return min(self.longest_deadline, MAX_DEADLINE_SECONDS) + KILL_MARGIN_SECONDS

    @property
    def idle_close_at(self) -> float:
        """When the initiator may begin to close idle connections."""
        return max(IDLE_CLOSE_SECONDS, self.drain_end - IDLE_CLOSE_SECONDS)

    @property
    def suspended_seconds(self) -> float:
        """How long the process is suspended in all."""
        times = dict.fromkeys((signal.SIGSTOP, signal.SIGCONT), 0.0)
        for at, number in self.signals:
            if number in times:
                times[number] += at
        return times[signal.SIGCONT] - times[signal.SIGSTOP]


@dataclass(frozen=True)
class Exchange:
    """One request; `arrival` is when its last byte is sent, in seconds after SIGTERM.

    Its first bytes are sent `lead` seconds before.  Its target acts at `moment`, None: at once, and is listed
    at `listed_at`, None: from the start.
    """

    behaviour: Behaviour
    arrival: float
    class_name: str
    is_safe: bool
    timeout: float
    moment: float | None = None
    lead: float = 0.0
    listed_at: float | None = None


@dataclass
class Seen:
    """What a client got; times in seconds after SIGTERM.

    `begun_at` is when the first bytes of a request with a lead were sent, `sent_at` when its last byte was:
    None if the connection had been closed before.
    """

    begun_at: float | None = None
    sent_at: float | None = None
    first_byte_at: float | None = None
    ended_at: float = 0.0
    outcome: str = ""  # "served", "refused" or "failed" of a whole response, otherwise empty
    has_partial_response: bool = False
    how: str = ""  # how the connection ended, or "whole"
    attempts: list[float] = field(default_factory=list)  # when each began at the target
    complete_attempts: int = 0  # those whose requests came whole


class Timeline:
    """A clock that reads zero at SIGTERM."""

    def __init__(self) -> None:
        self.start()

    def start(self) -> None:
        """Let SIGTERM come WARM_UP_SECONDS from now."""
        self.zero = time.monotonic() + WARM_UP_SECONDS

    def now(self) -> float:
        return time.monotonic() - self.zero

    def sleep_until(self, at: float) -> None:
        time.sleep(max(0.0, at - self.now()))


class Client(Protocol):
    """A client's connection, which is open already, and what it saw."""

    seen: Seen

    def run(self) -> None: ...


def send_request(
    connection: socket.socket, data: bytes, exchange: Exchange, timeline: Timeline, seen: Seen
) -> bool:
    """Send a request so that its last byte goes at its arrival; return False if the initiator has closed."""
    split = len(data) // 2 if exchange.lead else 0
    if split:
        timeline.sleep_until(exchange.arrival - exchange.lead)
        seen.begun_at = timeline.now()
        with contextlib.suppress(OSError):
            connection.sendall(data[:split])
    timeline.sleep_until(exchange.arrival)
    if is_readable(connection):  # closed, or rejected before it was whole
        return False
    sent_at = timeline.now()
    try:
        connection.sendall(data[split:])
    except OSError:
        return False
    seen.sent_at = sent_at
    return True


def is_readable(connection: socket.socket) -> bool:
    poll = select.poll()
    poll.register(connection, select.POLLIN)
    return bool(poll.poll(0))


def wait_for_close(connection: socket.socket, seconds: float) -> bool:
    """Wait for some time; return whether the peer has closed the connection meanwhile."""
    poll = select.poll()
    poll.register(connection, select.POLLRDHUP)
    return bool(poll.poll(max(1.0, 1000 * seconds)))


def play(program: Program, plan: Plan, timeline: Timeline, clients: list[Client]) -> list[Seen]:
    """Shut the process down while its clients send, kill it, and return what each of them saw."""
    threads = [threading.Thread(target=client.run, daemon=True) for client in clients]
    for thread in threads:
        thread.start()
    for at, number in sorted((*plan.signals, (0.0, signal.SIGTERM))):
        timeline.sleep_until(at)
        program.send(number)
    timeline.sleep_until(plan.kill_at)
    program.kill()
    for thread in threads:
        thread.join(END_SECONDS)
    assert not any(thread.is_alive() for thread in threads)
    return [client.seen for client in clients]


def fault_of(exchange: Exchange, seen: Seen, plan: Plan) -> str | None:
    """Return how an exchange broke the terms of a shutdown, None if it kept them."""
    if seen.sent_at is None:
        # A client that is late itself may find its connection closed as idle.
        due_at = exchange.arrival - exchange.lead
        is_begun_in_time = seen.begun_at is not None and seen.begun_at - due_at < MAX_CLIENT_DELAY_SECONDS
        return "cut off in the middle of its request" if is_begun_in_time else None
    if seen.sent_at > plan.kill_at - READ_SECONDS:
        return None
    late_attempts = [at for at in seen.attempts if at > plan.drain_end + START_SLACK_SECONDS]
    if late_attempts:
        return f"an attempt began after the drain's end, at {late_attempts[0]:.3f}"
    if not seen.outcome and not seen.has_partial_response:
        return "no answer"
    answered_at = seen.ended_at if seen.outcome else seen.first_byte_at
    assert answered_at is not None
    is_begun = seen.has_partial_response or seen.outcome == "served"
    answered_at = seen.first_byte_at if is_begun and seen.first_byte_at is not None else answered_at
    if answered_at - seen.sent_at > exchange.timeout + LATE_SECONDS + plan.suspended_seconds:
        return f"answered late, {answered_at - seen.sent_at:.3f} s after the request"
    may_have_run = seen.complete_attempts > 0 and exchange.behaviour not in NEVER_RUN
    if seen.outcome == "refused" and may_have_run and not exchange.is_safe:
        return "an answer as not processed, although it may have run"
    if seen.outcome == "failed" and not seen.attempts:
        return "failed, although it was never forwarded"
    if seen.outcome == "served" and exchange.behaviour is not Behaviour.SERVES:
        return "served by no target"
    return None


def arrivals(plan: Plan) -> tuple[float, ...]:
    end = plan.drain_end
    early = tuple(at for at in (EARLIEST_ARRIVAL_SECONDS, 0.1, 0.45, 0.75, 0.9, 1.19, 2.0) if at < end - 0.6)
    return (*early, 0.5 * end, end - 0.6, end - 0.3, end - 0.1, end - 0.03, end - 0.01, end + 0.03, end + 0.2)


def moments(plan: Plan) -> tuple[float | None, ...]:
    end = plan.drain_end
    return (None, None, end - 0.5, end - 0.2, end - 0.05, end - 0.02, end - 0.005, end + 0.01, end + 0.1)


def random_exchange(
    rng: random.Random,
    plan: Plan,
    behaviours: tuple[Behaviour, ...],
    request_class: Callable[[random.Random], tuple[str, bool, float]],
) -> Exchange:
    """Return an exchange whose connection is not idle when the initiator may close idle ones."""
    class_name, is_safe, timeout = request_class(rng)
    arrival = rng.choice(arrivals(plan))
    # A shutdown that counts from before a suspension may close idle connections earlier by as much.
    latest_idle = max(EARLIEST_ARRIVAL_SECONDS, plan.idle_close_at - 0.2 - plan.suspended_seconds)
    lead = arrival - latest_idle if arrival > latest_idle else rng.choice((0.0, 0.0, 0.1))
    listed_at = plan.drain_end - rng.choice((0.4, 0.15, 0.03)) if rng.random() < 0.15 else None
    return Exchange(
        rng.choice(behaviours),
        arrival,
        class_name,
        is_safe,
        timeout,
        rng.choice(moments(plan)),
        lead,
        listed_at,
    )


def late_signals(rng: random.Random, plan: Plan) -> tuple[tuple[float, signal.Signals], ...]:
    """Return signals in a series: none of them may extend or restart the shutdown."""
    numbers = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT, signal.SIGHUP)
    return tuple((rng.uniform(0.01, plan.drain_end), rng.choice(numbers)) for _ in range(rng.randint(2, 6)))


def random_suspension(rng: random.Random, plan: Plan) -> tuple[tuple[float, signal.Signals], ...]:
    """Return a suspension before SIGTERM, at it, in the drain or across its end."""
    end = plan.drain_end
    spans = (
        (-0.4, 0.25 * end),
        (-0.2, 0.9),
        (0.3 * end, 0.6 * end),
        (end - 0.2, end + 0.2),
        (-0.3, end + 0.1),
    )
    stop, resume = rng.choice(spans)
    return ((stop, signal.SIGSTOP), (resume, signal.SIGCONT))
