"""From when a signal counts: case tables."""

from __future__ import annotations

import pytest

from stalltiller.routing.signal_time import HEARTBEAT_INTERVAL_SECONDS, HeartbeatHistory


def beats(history: HeartbeatHistory, begin: float, end: float) -> float:
    """Beat regularly from one time to another; return the time of the last beat."""
    at = begin
    while at <= end:
        history.beat(at)
        at += HEARTBEAT_INTERVAL_SECONDS
    return at - HEARTBEAT_INTERVAL_SECONDS


@pytest.mark.parametrize(
    ("suspended", "handled_after", "expected_delay"),
    [
        (0.0, 0.0, 0.0),
        (0.03, 0.0, 0.0),  # a late turn of the loop
        (2.0, 0.0, 2.0),
        (2.0, 0.02, 2.0),  # the heartbeat came first
        (2.0, 0.09, 0.0),  # the signal came later
    ],
)
def test_a_signal_that_came_while_the_process_was_held_up_counts_from_before(
    suspended, handled_after, expected_delay
):
    """Guards against a shutdown that lasts past its kill because the process was suspended as it was told."""
    history = HeartbeatHistory(100.0)
    last_beat_at = beats(history, 100.0, 103.0)
    resumed_at = last_beat_at + HEARTBEAT_INTERVAL_SECONDS + suspended
    if handled_after:
        history.beat(resumed_at)
    now = resumed_at + handled_after
    delay = now - history.earliest_signal_time(now)
    least = expected_delay + handled_after if expected_delay else 0.0
    assert least <= delay <= least + HEARTBEAT_INTERVAL_SECONDS + 0.001
