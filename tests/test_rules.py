"""Tests each of the seven rules in small scenarios."""

from __future__ import annotations

import pytest

from stalltiller.scheduling import (
    Action,
    AttemptStatus,
    ClientDisconnected,
    DeduplicationScope,
    Fail,
    FirstByte,
    Idempotency,
    Reject,
    SetTimer,
    StartAttempt,
    TargetListKind,
    TargetListUpdate,
    TargetStatus,
    TimerFired,
    WatchTargetList,
    target_load,
)
from tests.helpers import SchedulerHarness, attempt_finished, make_target, plan, request, request_class, rules

TIMEOUT, RESET, ERROR, REJECTED = (
    AttemptStatus.TIMEOUT,
    AttemptStatus.RESET,
    AttemptStatus.ERROR,
    AttemptStatus.REJECTED,
)
FINAL_RESPONSES = (Reject, Fail)


def final_responses(actions: list[Action]) -> list[int]:
    return [action.request_id for action in actions if isinstance(action, FINAL_RESPONSES)]


# 1. Every request gets one final response.
def test_a_request_without_a_target_gets_one_final_response_before_its_deadline():
    harness = SchedulerHarness()
    assert final_responses(harness.handle(0.0, request(1, shard=5))) == []
    responses = [
        request_id for step in range(1, 400) for request_id in final_responses(harness.poll(step * 0.01))
    ]
    assert responses == [1]


def test_a_request_about_to_expire_without_a_target_gets_an_immediate_response():
    """Guards against an incident in which such a request waited for the next poll, past its deadline."""
    harness = SchedulerHarness()
    harness.handle(0.0, request(1, time_remaining=3.0))
    assert final_responses(harness.handle(0.1, request(2, shard=5, time_remaining=0.001))) == [2]


def test_a_timeout_at_the_deadline_gets_a_final_response_and_nothing_is_sent_afterwards():
    harness = SchedulerHarness()
    harness.handle(0.0, request(1))
    assert final_responses(harness.handle(3.0, attempt_finished(1, status=TIMEOUT))) == [1]
    assert harness.handle(3.1, attempt_finished(1, status=TIMEOUT)) == []
    assert harness.poll(3.2) == []


def test_a_disconnected_client_gets_no_response():
    harness = SchedulerHarness()
    harness.scheduler.targets[1].concurrency_limit = 1.0
    harness.handle(0.0, request(1), request(2))
    assert harness.handle(0.1, ClientDisconnected(2)) == []
    assert harness.handle(0.2, attempt_finished(1)) == []


def test_events_of_unknown_requests_are_ignored():
    assert (
        SchedulerHarness().handle(0.0, attempt_finished(9), ClientDisconnected(9), FirstByte(9, 0, 1, 0.1))
        == []
    )


def test_a_streamed_response_that_has_begun_is_not_followed_by_another_response():
    harness = SchedulerHarness(classes=(request_class(streaming=True),))
    harness.handle(0.0, request(1))
    harness.handle(0.1, FirstByte(1, 0, 1, 0.1))
    assert harness.poll(4.0) == []
    assert harness.handle(9.0, attempt_finished(1, status=RESET, request_done=True)) == []


# 2. No duplicate execution.
@pytest.mark.parametrize("status", list(AttemptStatus))
def test_an_unsafe_request_is_retried_or_rejected_only_if_never_executed(status):
    harness = SchedulerHarness(classes=(request_class(idempotency=Idempotency.UNSAFE),))
    harness.handle(0.0, request(1))
    actions = harness.handle(0.1, attempt_finished(1, status=status))
    actions += [action for step in range(1, 100) for action in harness.poll(0.1 + step * 0.01)]
    if status is AttemptStatus.OK:
        assert actions == []
    elif status in target_load.NEVER_EXECUTED:
        assert isinstance(actions[0], StartAttempt)
    else:
        assert actions == [Fail(1)]


def test_a_possibly_executed_keyed_request_stays_in_its_shard_and_is_failed_not_rejected():
    keyed_class = request_class(
        idempotency=Idempotency.IDEMPOTENCY_KEY,
        deduplication_scope=DeduplicationScope.SHARD,
        deduplication_window=0.5,
    )
    harness = SchedulerHarness(targets=(make_target(1), make_target(2)), classes=(keyed_class,))
    (first_attempt,) = harness.handle(0.0, request(1, shard=None))
    (retry,) = harness.handle(0.1, attempt_finished(1, target_id=first_attempt.target_id, status=ERROR))
    assert retry.target_id == first_attempt.target_id
    # The deduplication window is over: no further retry.
    assert harness.handle(
        0.6, attempt_finished(1, target_id=first_attempt.target_id, status=ERROR, attempt_number=1)
    ) == [Fail(1)]


def test_a_keyed_request_stays_possibly_executed_after_a_second_attempt_is_rejected():
    keyed_class = request_class(
        idempotency=Idempotency.IDEMPOTENCY_KEY, deduplication_scope=DeduplicationScope.SHARD
    )
    harness = SchedulerHarness(classes=(keyed_class,), max_attempts=2)
    harness.handle(0.0, request(1))
    (retry,) = harness.handle(0.1, attempt_finished(1, status=ERROR))
    assert isinstance(retry, StartAttempt)
    assert harness.handle(0.2, attempt_finished(1, status=REJECTED, attempt_number=1)) == [Fail(1)]


def test_a_safe_request_is_retried_after_an_error():
    harness = SchedulerHarness()
    harness.handle(0.0, request(1))
    assert isinstance(harness.handle(0.1, attempt_finished(1, status=ERROR))[0], StartAttempt)


# 3. Safe drain.
@pytest.mark.parametrize("status", [TargetStatus.DRAINING, TargetStatus.REMOVED])
def test_no_attempt_starts_at_a_draining_or_removed_target(status):
    harness = SchedulerHarness()
    harness.handle(0.0, TargetListUpdate(TargetListKind.DELTA, (make_target(1, status=status),)))
    assert harness.started_request_ids(0.0, request(1)) == []


def test_a_target_missing_from_a_full_list_is_removed_and_its_queued_requests_move():
    harness = SchedulerHarness()
    harness.scheduler.targets[1].concurrency_limit = 1.0
    harness.handle(0.0, request(1), request(2))
    update = TargetListUpdate(TargetListKind.FULL, (make_target(3, shard=1),))
    (attempt,) = harness.handle(0.1, update)
    assert (attempt.request_id, attempt.target_id) == (2, 3)


def test_the_watch_on_a_polled_list_is_reopened_after_a_failure():
    harness = SchedulerHarness(list_pushed=False)
    scheduler = harness.scheduler
    actions = scheduler.handle(1.0, [TargetListUpdate(TargetListKind.FAILED, ())])
    (timer,) = [action for action in actions if isinstance(action, SetTimer)]
    assert scheduler.handle(3.0, [TimerFired(timer.token)])[0] == WatchTargetList(True)
    assert scheduler.targets  # the previous list stays in use


# 4. Slow start.
def test_a_warming_target_gets_no_more_than_this_initiators_share_of_the_budget():
    harness = SchedulerHarness(targets=(make_target(1, started_at=0.0),), initiator_count=4)
    harness.scheduler.targets[1].concurrency_limit = target_load.MAX_CONCURRENCY
    sent = harness.started_request_ids(0.0, *[request(request_id, units=2.0) for request_id in range(40)])
    assert 0 < len(sent) * 2.0 <= 40.0 / 4
    # Rejected requests still count against the share.
    assert (
        harness.started_request_ids(
            0.2, *[attempt_finished(request_id, status=REJECTED) for request_id in sent]
        )
        == []
    )


# 5. Order by key.
def in_order_harness() -> SchedulerHarness:
    return SchedulerHarness(
        classes=(request_class(in_order=True),), rules=rules(ordering_pause=0.4), max_attempts=1
    )


def test_ordered_requests_of_a_key_run_one_at_a_time_in_order():
    harness = in_order_harness()
    assert harness.started_request_ids(
        0.0, request(1, idempotency_key=8), request(2, idempotency_key=8), request(3, idempotency_key=9)
    ) == [1, 3]
    assert harness.started_request_ids(0.1, attempt_finished(1)) == [2]


def test_a_key_is_paused_after_an_attempt_that_may_still_run():
    harness = in_order_harness()
    harness.handle(0.0, request(1, idempotency_key=8), request(2, idempotency_key=8))
    assert harness.started_request_ids(0.1, attempt_finished(1, status=TIMEOUT)) == []
    assert harness.poll(0.45) == []
    assert [action.request_id for action in harness.poll(0.55)] == [2]


def test_a_key_waits_for_the_attempt_of_a_finished_request():
    harness = in_order_harness()
    harness.handle(0.0, request(1, idempotency_key=8), request(2, idempotency_key=8))
    assert harness.handle(0.1, ClientDisconnected(1)) == []
    assert harness.poll(0.2) == []
    assert harness.started_request_ids(0.3, attempt_finished(1)) == [2]


# 6. Retry budget.
def test_retries_stay_within_the_budget():
    harness = SchedulerHarness(
        rules=rules(retry_budget_base=1.0, retry_budget_fraction=0.0, retry_budget_window=5.0)
    )
    harness.handle(0.0, request(1), request(2))
    assert harness.started_request_ids(0.1, attempt_finished(1, status=ERROR)) == [1]
    assert final_responses(harness.handle(0.1, attempt_finished(2, status=ERROR))) == [2]


# 7. Limits.
LIMITED_PLAN = plan(limit=6.0, burst=48.0, slack=5.0)


def units_sent(harness: SchedulerHarness, seconds: float, initiator_count: int) -> float:
    """Return the units sent under overload if every attempt succeeds immediately."""
    units = 0.0
    request_count = 0
    for step in range(int(seconds * 20)):
        now = step / 20
        new_requests = [
            request(request_count + index, volume_initiator_count=initiator_count) for index in range(8)
        ]
        request_count += 8
        sent = harness.started_request_ids(now, *new_requests)
        while sent:
            units += 2.0 * len(sent)
            sent = harness.started_request_ids(now, *[attempt_finished(request_id) for request_id in sent])
    return units


@pytest.mark.parametrize("initiator_count", [1, 2, 3])
def test_all_initiators_together_never_exceed_the_limit(initiator_count):
    harness = SchedulerHarness(plans=(LIMITED_PLAN,))
    assert 0 < units_sent(harness, 10.0, initiator_count) <= 6.0 * 10.0 / initiator_count


def test_a_restart_does_not_create_a_burst():
    first = SchedulerHarness(plans=(LIMITED_PLAN,))
    restarted = SchedulerHarness(plans=(LIMITED_PLAN,))
    sent = units_sent(first, 4.0, 1) + units_sent(restarted, 4.0, 1)
    assert sent <= 48.0 + 6.0 * 8.0
    assert restarted.started_request_ids(4.0, request(999, units=8.0)) == []


def test_a_first_attempt_not_started_spends_no_tokens():
    harness = SchedulerHarness(plans=(LIMITED_PLAN,))
    harness.handle(2.0, request(1, units=8.0))
    level_before = harness.scheduler.volumes[1].limit.level
    harness.handle(2.0, attempt_finished(1, status=AttemptStatus.NOT_STARTED))
    # The tokens are returned and then spent by the retry.
    assert harness.scheduler.volumes[1].limit.level == level_before
