"""Unit tests of the engine's timer queue and target table."""

from __future__ import annotations

import asyncio
import weakref

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stalltiller.routing.ports import TargetEndpoint
from stalltiller.routing.target_table import DRAIN_MARGIN_SECONDS, TargetTable
from stalltiller.routing.timers import MIN_CANCELLED_TO_COMPACT, TimerQueue
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


def test_a_cancelled_timer_does_not_run_and_releases_what_it_refers_to():
    """Guards against timers that keep the bodies of requests in memory until they are due."""

    class Body:
        pass

    async def scenario():
        loop = asyncio.get_running_loop()
        queue = TimerQueue(loop, lambda: None)
        now = loop.time()
        calls = []
        body = Body()
        reference = weakref.ref(body)
        timer = queue.call_at(now, calls.append, body)
        other = queue.call_at(now, calls.append, "other")
        del body
        queue.cancel([timer])
        assert reference() is None and len(queue) == 1
        queue.cancel([timer])
        queue.run_due(now)
        queue.cancel([other])  # it has run
        assert calls == ["other"] and len(queue) == 0

    asyncio.run(scenario())


@given(st.lists(st.tuples(st.integers(0, 50), st.booleans()), max_size=4 * MIN_CANCELLED_TO_COMPACT))
def test_the_timers_that_are_not_cancelled_run_in_order_and_cancelled_ones_do_not_pile_up(steps):
    async def scenario():
        loop = asyncio.get_running_loop()
        queue = TimerQueue(loop, lambda: None)
        now = loop.time()
        calls = []
        expected = []
        for number, (delay, is_cancelled) in enumerate(steps):
            timer = queue.call_at(now + delay, calls.append, number)
            if is_cancelled:
                queue.cancel([timer])
            else:
                expected.append((delay, number))
            assert len(queue) == len(expected)
            assert len(queue._heap) <= 2 * len(expected) + MIN_CANCELLED_TO_COMPACT
        queue.run_due(now + 50)
        assert calls == [number for _, number in sorted(expected)] and len(queue) == 0

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
