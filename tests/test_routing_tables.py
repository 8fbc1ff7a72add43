"""Unit tests of the engine's timer queue and target table."""

from __future__ import annotations

import asyncio

import pytest

from stalltiller.routing.ports import TargetEndpoint
from stalltiller.routing.target_table import DRAIN_MARGIN_SECONDS, TargetTable
from stalltiller.routing.timers import TimerQueue
from stalltiller.scheduling import TargetListKind, TargetStatus
from tests.helpers import make_target

DRAIN_GRACE = 0.5


def endpoint(target_id, status=TargetStatus.READY):
    return TargetEndpoint(make_target(target_id, status=status), "h", target_id)


def test_timers_run_by_due_time_and_then_in_the_order_in_which_they_were_set():
    async def scenario():
        loop = asyncio.get_running_loop()
        timers = TimerQueue(loop, lambda: None)
        now = loop.time()
        calls = []
        timers.call_at(now + 0.2, calls.append, "later")
        timers.call_at(now, calls.append, "first")
        timers.call_at(now, timers.call_at, now, calls.append, "set by a timer")
        timers.call_at(now, calls.append, "second")
        timers.run_due(now)
        assert calls == ["first", "second", "set by a timer"]
        timers.run_due(now + 0.2)
        assert calls[-1] == "later"

    asyncio.run(scenario())


def test_the_queue_signals_when_the_earliest_timer_is_due():
    async def scenario():
        loop = asyncio.get_running_loop()
        due = asyncio.Event()
        timers = TimerQueue(loop, due.set)
        timers.call_at(loop.time() + 60.0, print)
        timers.call_at(loop.time() + 0.01, print)
        await asyncio.wait_for(due.wait(), 10)

    asyncio.run(scenario())


@pytest.mark.parametrize("kind", [TargetListKind.DELTA, TargetListKind.FULL])
def test_a_drain_grace_starts_at_the_first_announcement(kind):
    now = 10.0
    table = TargetTable(lambda: now)
    table.update(TargetListKind.FULL, [endpoint(1, TargetStatus.DRAINING)])
    now = 12.0
    assert table.update(kind, [endpoint(1, TargetStatus.DRAINING), endpoint(2)]) == {1}
    assert table.latest_start(1, DRAIN_GRACE) == 10.0 + DRAIN_GRACE - DRAIN_MARGIN_SECONDS
    assert table.latest_start(2, DRAIN_GRACE) is None


@pytest.mark.parametrize(("kind", "target_count"), [(TargetListKind.DELTA, 3), (TargetListKind.FULL, 1)])
def test_only_a_delta_keeps_the_targets_that_it_does_not_list(kind, target_count):
    table = TargetTable(lambda: 0.0)
    table.update(TargetListKind.FULL, [endpoint(1), endpoint(2)])
    assert table.update(kind, [endpoint(3)]) == set()
    assert len(table) == target_count
