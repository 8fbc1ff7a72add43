"""The steps of a graceful shutdown: case tables."""

from __future__ import annotations

import pytest

from stalltiller.routing.drain_schedule import drain_schedule

KILL_MARGIN_SECONDS = 0.7  # SIGKILL comes no sooner than this after the longest deadline
MAX_HELD_UP_SECONDS = 0.4  # a process that is held up for this long at the end still answers in time


@pytest.mark.parametrize("longest_deadline", [0.1, 0.6, 1.2, 3.0, 25.0])
def test_all_responses_are_due_well_before_the_kill(longest_deadline):
    schedule = drain_schedule(100.0, longest_deadline)
    kill_at = 100.0 + min(longest_deadline, 3.0) + KILL_MARGIN_SECONDS
    assert schedule.ends_at - 100.0 >= min(longest_deadline, 3.0)
    assert schedule.close_idle_at < schedule.ends_at < schedule.linger_until < kill_at
    assert kill_at - schedule.ends_at > MAX_HELD_UP_SECONDS
