"""How long transfers in progress may go on: case tables, and the monitor with a clock of its own."""

from __future__ import annotations

import asyncio

import pytest

from stalltiller.routing.exchange_end import TransferPhase, TransferProgress
from stalltiller.routing.response_deadline import ResponseDeadline
from stalltiller.routing.transfer_limits import (
    CHECK_INTERVAL_SECONDS,
    ByteArrivals,
    ExpiryAction,
    ExpiryReason,
    ProgressRecord,
    RunningClock,
    action_at_expiry,
    expiry_reason,
    is_silent,
    latest_expiry,
    may_cancel,
    sending_phase,
)
from stalltiller.routing.transfer_monitor import TransferMonitor
from tests.simulated_clock import run_on_simulated_clock

ABANDON, PASS_ON, WAIT = ExpiryAction
LIMIT_SECONDS = 1.0


def receiving(idle: float, longest_pause: float = 0.0, **options: bool) -> TransferProgress:
    return TransferProgress(TransferPhase.RECEIVING, 5, idle, longest_pause_seconds=longest_pause, **options)


@pytest.mark.parametrize(
    ("progress", "before", "over"),
    [
        (TransferProgress(TransferPhase.CONNECTING), ABANDON, ABANDON),
        (TransferProgress(TransferPhase.WAITING), ABANDON, ABANDON),
        (TransferProgress(TransferPhase.SENDING), ABANDON, ABANDON),  # its machine has vanished
        (TransferProgress(TransferPhase.SENDING, sent_bytes=9), WAIT, ABANDON),
        (receiving(0.0), WAIT, ABANDON),  # a part of a head: its client has no byte
        (receiving(9.0), WAIT, ABANDON),
        (receiving(9.0, can_pass_on=True), PASS_ON, PASS_ON),
        (receiving(0.0, can_pass_on=True, is_short=True), PASS_ON, PASS_ON),
        (receiving(0.2, can_pass_on=True, is_short=True), WAIT, ABANDON),  # short and silent
        (receiving(0.2, 0.15, can_pass_on=True, is_short=True), PASS_ON, PASS_ON),  # as before
        (receiving(0.0, is_short=True), WAIT, ABANDON),  # NVMe/TCP
        (receiving(0.2, is_short=True), WAIT, ABANDON),
    ],
)
def test_what_happens_at_an_expiry_depends_on_progress_alone(progress, before, over):
    assert action_at_expiry(progress, ExpiryReason.ATTEMPT_TIMEOUT) is before
    assert action_at_expiry(progress, ExpiryReason.CLIENT_DEADLINE) is over
    assert action_at_expiry(progress, ExpiryReason.DRAIN_END) is ABANDON


@pytest.mark.parametrize(
    ("idle", "longest_pause", "silent"),
    [(0.05, 0.0, False), (0.1, 0.0, True), (0.1, 0.06, False), (0.9, 0.5, False), (1.0, 0.5, True)],
)
def test_a_response_is_silent_that_pauses_longer_than_it_did_before(idle, longest_pause, silent):
    assert is_silent(receiving(idle, longest_pause)) is silent


def test_the_longest_pause_of_a_response_is_kept():
    arrivals = ByteArrivals.begin(5.0)
    for now in (5.1, 5.6, 5.7):
        arrivals = arrivals.record(now)
    assert (arrivals.first_at, arrivals.last_at) == (5.0, 5.7)
    assert arrivals.longest_pause == pytest.approx(0.5)


@pytest.mark.parametrize(
    ("sent_bytes", "request_bytes", "phase", "is_moving"),
    [
        (0, 300, TransferPhase.SENDING, False),  # a machine that has vanished
        (300, 300, TransferPhase.WAITING, False),
        (100, 300, TransferPhase.SENDING, True),
        (0, 200_000, TransferPhase.SENDING, False),
        (65_536, 200_000, TransferPhase.SENDING, True),
        (200_000, 200_000, TransferPhase.SENDING, True),  # its target may still be reading it
    ],
)
def test_a_request_is_in_progress_until_its_peer_may_have_read_it(
    sent_bytes, request_bytes, phase, is_moving
):
    assert sending_phase(sent_bytes, request_bytes) is phase
    assert TransferProgress(phase, sent_bytes=sent_bytes).is_moving is is_moving


@pytest.mark.parametrize("phase", list(TransferPhase))
def test_an_attempt_whose_response_has_begun_is_not_lost(phase):
    assert may_cancel(TransferProgress(phase)) is (phase is not TransferPhase.RECEIVING)


def test_an_attempt_without_a_response_ends_before_the_clients_deadline():
    assert 0.0 < 20.0 - latest_expiry(20.0) < 0.05


@pytest.mark.parametrize(
    ("deadline", "expires_at", "reason"),
    [
        (ResponseDeadline(20.0), 19.9, ExpiryReason.ATTEMPT_TIMEOUT),
        (ResponseDeadline(20.0), latest_expiry(20.0), ExpiryReason.CLIENT_DEADLINE),
        (ResponseDeadline(20.0, 3.1), 3.0, ExpiryReason.ATTEMPT_TIMEOUT),
        (ResponseDeadline(20.0, 3.1), latest_expiry(3.1), ExpiryReason.DRAIN_END),
        (ResponseDeadline(2.0, 3.1), latest_expiry(2.0), ExpiryReason.CLIENT_DEADLINE),
    ],
)
def test_an_attempt_expires_for_the_earlier_of_its_clients_deadline_and_the_drains_end(
    deadline, expires_at, reason
):
    assert expiry_reason(expires_at, deadline) is reason


def test_the_end_of_a_drain_never_moves_back():
    deadline = ResponseDeadline(20.0)
    assert (deadline.due_at, deadline.is_set_by_drain) == (20.0, False)
    deadline = deadline.with_drain(3.1)
    assert (deadline.due_at, deadline.is_set_by_drain) == (3.1, True)
    assert deadline.with_drain(9.0) == deadline
    assert ResponseDeadline(2.0).with_drain(3.1).due_at == 2.0


def test_a_transfer_has_stopped_once_nothing_has_moved_for_the_limit():
    record = ProgressRecord(7, 10.0)
    record.observe(10.9, 8)
    assert not record.has_stopped(11.8, LIMIT_SECONDS)
    record.observe(11.8, 8)
    assert record.has_stopped(11.9, LIMIT_SECONDS)
    record.observe(11.9, 3)  # a count may also fall, as when a part of the transfer is over
    assert not record.has_stopped(12.8, LIMIT_SECONDS)


def test_time_in_which_the_process_did_not_run_does_not_count():
    clock = RunningClock(100.0)
    for now in (100.1, 100.2, 140.2, 140.3):
        clock.advance(now)
    assert clock.seconds < 0.6


class ScriptedTransfer:
    """A transfer whose bytes move at given times."""

    def __init__(self, loop: asyncio.AbstractEventLoop, moves_at: list[float]) -> None:
        self._loop = loop
        self._moves_at = moves_at
        self.stopped_at: float | None = None

    def transferred_bytes(self) -> int:
        return sum(at <= self._loop.time() for at in self._moves_at)

    def on_stopped(self) -> None:
        self.stopped_at = self._loop.time()


@pytest.mark.parametrize(
    ("moves_after", "stops_after"),
    [
        ([], LIMIT_SECONDS),
        ([0.5 * LIMIT_SECONDS * number for number in range(1, 7)], 4 * LIMIT_SECONDS),  # 3 times the limit
        ([0.9 * LIMIT_SECONDS, 1.7 * LIMIT_SECONDS], 2.7 * LIMIT_SECONDS),
    ],
)
def test_the_monitor_ends_a_transfer_at_the_limit_after_its_last_byte_however_long_it_went_on(
    moves_after, stops_after
):
    async def scenario():
        loop = asyncio.get_running_loop()
        monitor = TransferMonitor(loop, LIMIT_SECONDS)
        started_at = loop.time()
        transfer = ScriptedTransfer(loop, [started_at + at for at in moves_after])
        monitor.watch(transfer)
        await asyncio.sleep(stops_after - 0.01)
        assert transfer.stopped_at is None and len(monitor) == 1
        await asyncio.sleep(2.5 * CHECK_INTERVAL_SECONDS)
        assert transfer.stopped_at is not None and len(monitor) == 0

    run_on_simulated_clock(scenario())


def test_a_transfer_that_ends_another_one_or_gets_a_new_limit_is_watched_on():
    async def scenario():
        loop = asyncio.get_running_loop()
        monitor = TransferMonitor(loop, LIMIT_SECONDS)
        first, second = ScriptedTransfer(loop, []), ScriptedTransfer(loop, [])
        first.on_stopped = lambda: monitor.unwatch(second)
        monitor.watch(first)
        monitor.watch(second)
        monitor.watch(second, LIMIT_SECONDS / 2)
        monitor.watch(second)  # with the usual limit again, from the same byte on
        await asyncio.sleep(3 * LIMIT_SECONDS)
        assert second.stopped_at is None and len(monitor) == 0

    run_on_simulated_clock(scenario())
