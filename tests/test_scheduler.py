"""Tests of admission, scheduling and load control with worked examples."""

from __future__ import annotations

import pytest

from stalltiller.scheduling import (
    Action,
    AttemptStatus,
    DeadlineShortened,
    Reject,
    ResponseDue,
    StartAttempt,
    TimerFired,
    admission,
    scheduler,
    state,
    target_load,
)
from stalltiller.scheduling.state import Volume, VolumeAllocation
from tests.helpers import SchedulerHarness, attempt_finished, make_target, plan, request, request_class


def add_allocation(
    harness: SchedulerHarness, volume_id: int, grant: float, requested_rate: float, **changes: object
) -> VolumeAllocation:
    """Add an allocation of a volume with the given grant at target 1."""
    allocation = VolumeAllocation(Volume(plan(**changes), 1, 0.0), 0.0)
    allocation.grant, allocation.requested_rate, allocation.open_count = grant, requested_rate, 1
    harness.scheduler.targets[1].allocations[volume_id] = allocation
    return allocation


def target_of_capacity(harness: SchedulerHarness, capacity: float):
    """Return target 1 with a latency that gives it a capacity in units per second."""
    target = harness.scheduler.targets[1]
    target.latency = target_load.MAX_CONCURRENCY * harness.scheduler.settings.mean_units / capacity
    assert harness.scheduler._capacity(target) == pytest.approx(capacity)
    return target


def updated_allocation(harness: SchedulerHarness, volume_id: int = 2, **changes: object) -> VolumeAllocation:
    """Return the updated allocation of a volume that requests its plan's rate, 10, at a capacity of 100."""
    target = target_of_capacity(harness, 100.0)
    allocation = add_allocation(harness, volume_id, 0.0, 0.0, **changes)
    harness.scheduler._update_grant(target, allocation)
    return allocation


def test_an_uncongested_volume_is_granted_its_requested_rate():
    harness = SchedulerHarness()
    add_allocation(harness, 1, 70.0, 70.0)  # granted 70 <= capacity 100 - reserve 30
    assert updated_allocation(harness).grant == pytest.approx(10.0)


def test_a_volume_at_a_congested_target_is_granted_part_of_the_free_reserve():
    harness = SchedulerHarness()
    add_allocation(harness, 1, 95.0, 95.0)
    # The free reserve is 5 and granted - reserve = 65: psi = 5 / 2**0.65.
    assert updated_allocation(harness, reservation=0.0).grant == pytest.approx(5 / 2**0.65)


def test_a_grant_at_a_congested_target_is_weighted_by_the_plan_relative_to_the_mean_weight():
    harness = SchedulerHarness()
    add_allocation(harness, 1, 95.0, 95.0, weight=1.0)
    allocation = updated_allocation(harness, reservation=0.0, weight=3.0)  # 1.5 times the mean weight of 2
    assert allocation.grant == pytest.approx(1.5 * 5 / 2**0.65)


def test_a_grant_is_never_below_the_volumes_part_of_its_reservation():
    harness = SchedulerHarness()
    add_allocation(harness, 1, 100.0, 100.0)  # no reserve is free: psi is 0
    assert updated_allocation(harness, reservation=4.0).grant == pytest.approx(4.0)


def test_grants_of_idle_volumes_are_redistributed_by_remaining_ratio():
    harness = SchedulerHarness()
    target = target_of_capacity(harness, 100.0)
    idle = add_allocation(harness, 1, 9.0, 9.0)
    idle.open_count = 0
    half_granted = add_allocation(harness, 2, 10.0, 20.0)
    mostly_granted = add_allocation(harness, 3, 18.0, 20.0)
    harness.scheduler.now = admission.VOLUME_IDLE_SECONDS + 0.1
    harness.scheduler._reclaim_idle_grants(target)
    # The remaining ratios are 0.5 and 0.1, so the nine units are split into 7.5 and 1.5.
    assert (half_granted.grant, mostly_granted.grant) == (pytest.approx(17.5), pytest.approx(19.5))
    assert 1 not in target.allocations


def test_each_uncongested_interval_releases_a_tenth_of_the_reserve_and_congestion_restores_it():
    harness = SchedulerHarness()
    target = target_of_capacity(harness, 100.0)
    harness.scheduler.now = 2.5 * admission.RESERVE_RELEASE_INTERVAL_SECONDS  # two release intervals
    updated_allocation(harness, 3)
    assert target.reserve_fraction == pytest.approx(0.30 * 0.8)
    add_allocation(harness, 1, 90.0, 90.0)
    updated_allocation(harness)
    assert target.reserve_fraction == pytest.approx(0.30)


def test_a_limit_is_split_evenly_before_others_demand_is_known():
    harness = SchedulerHarness(plans=(plan(rate=10.0, limit=12.0, burst=60.0),))
    harness.handle(0.0, request(1, volume_initiator_count=3))
    allocation = harness.scheduler.targets[1].allocations[1]
    allocation.demand.add(0.0, 1000.0)
    requested_rate, _ = harness.scheduler._requested_and_reserved_rates(allocation)
    assert requested_rate == pytest.approx(4.0)


def test_the_used_concurrency_halves_on_a_rejection_and_grows_by_one_once_a_round_trip():
    harness = SchedulerHarness()
    target = harness.scheduler.targets[1]
    initial_limit = int(target.concurrency_limit)
    harness.handle(1.0, *[request(i) for i in range(initial_limit)])
    harness.handle(1.1, *[attempt_finished(i) for i in range(1)])
    assert target.concurrency_limit == pytest.approx(initial_limit + 1 / initial_limit)
    harness.handle(
        2.0,
        attempt_finished(1, status=AttemptStatus.REJECTED),
        attempt_finished(2, status=AttemptStatus.REJECTED),
    )
    assert target.concurrency_limit == pytest.approx(1.5)  # half of the three attempts in flight


def test_the_concurrency_limit_stops_at_its_maximum():
    harness = SchedulerHarness()
    target = harness.scheduler.targets[1]
    target.concurrency_limit = target_load.MAX_CONCURRENCY
    harness.handle(0.0, *[request(i) for i in range(30)])
    assert len(target.in_flight) == target_load.MAX_CONCURRENCY
    harness.handle(0.1, attempt_finished(0))
    assert target.concurrency_limit == target_load.MAX_CONCURRENCY


def test_the_request_due_first_is_served_first_and_grants_are_served_before_best_effort():
    classes = (request_class(latency_objective=2.0), request_class(latency_objective=1.0))
    harness = SchedulerHarness(classes=classes)
    target = harness.scheduler.targets[1]
    target.concurrency_limit = 1.0
    target.latency = 0.01
    harness.scheduler.volumes.clear()
    assert harness.started_request_ids(20.0, request(1)) == [1]
    assert harness.started_request_ids(20.0, request(2), request(3, class_index=1)) == []
    target.concurrency_limit = 1.0
    assert harness.started_request_ids(20.01, attempt_finished(1, latency=0.6)) == [3]
    # Volume 9 has no grant left at the target: its request waits although it is due first.
    target.allocations[1].bucket.level = 50.0
    harness.handle(20.02, request(4, class_index=1, volume=9))
    target.allocations[9].grant = target.allocations[9].bucket.level = -1.0
    harness.scheduler.volumes[9].reservation.level = -1.0
    assert harness.started_request_ids(20.03, attempt_finished(3, latency=0.6)) == [2]


def test_a_request_is_rejected_early_with_retry_after_only_if_it_would_miss_its_objective():
    harness = SchedulerHarness()
    target = harness.scheduler.targets[1]
    target.concurrency_limit, target.latency = 1.0, 0.3
    harness.handle(0.0, request(1))
    assert harness.handle(0.0, request(2)) == []
    actions = harness.handle(0.0, *[request(i) for i in range(3, 8)])
    assert actions and all(isinstance(a, Reject) and a.retry_after == 1.5 for a in actions)
    assert all(r.request_id != 2 for r in actions)


def test_a_new_object_goes_to_the_least_loaded_target_that_is_not_warming_up():
    harness = SchedulerHarness(targets=(make_target(1), make_target(2), make_target(3, started_at=0.0)))
    harness.scheduler.targets[1].in_flight = dict.fromkeys(range(90, 93))
    (attempt,) = harness.handle(0.0, request(1, shard=None))
    assert attempt.target_id == 2


def test_the_same_events_give_the_same_actions():
    def run() -> list[Action]:
        harness = SchedulerHarness(targets=(make_target(1), make_target(2)))
        actions = harness.handle(0.0, *[request(i, shard=None, volume=i % 3) for i in range(40)])
        return actions + harness.handle(0.3, *[attempt_finished(i) for i in range(40)]) + harness.poll(0.9)

    assert run() == run() != []


def test_units_that_a_warming_target_serves_return_to_its_budget():
    """A budget that grew with time only left a restarted target idle long after it could serve."""
    harness = SchedulerHarness(targets=(make_target(1, started_at=0.0),))
    target = harness.scheduler.targets[1]
    harness.scheduler._has_slow_start_budget(target, 2.0)
    target.slow_start_threshold = 1.0  # a request needs budget for its full size
    budget = 40.0 * target_load.SLOW_START_BUDGET_FRACTION / 2
    assert harness.started_request_ids(0.0, request(1, units=budget)) == [1]
    assert not harness.scheduler._has_slow_start_budget(target, 2.0)
    harness.handle(0.1, attempt_finished(1))
    assert harness.scheduler._has_slow_start_budget(target, 2.0)


def test_the_least_valuable_request_before_one_that_would_be_late_is_shed():
    classes = (
        request_class(latency_objective=1.0, priority_weight=1.0),
        request_class(latency_objective=1.1, priority_weight=4.0),
    )
    harness = SchedulerHarness(classes=classes)
    target = harness.scheduler.targets[1]
    target.concurrency_limit, target.latency = 1.0, 0.4
    harness.handle(0.0, request(1))
    harness.handle(0.0, request(2), request(3, class_index=1))
    assert [a.request_id for a in harness.handle(0.0, request(4, class_index=1))] == [2]


def test_a_target_that_refuses_connections_is_paused():
    """Without the pause, requests used up all their attempts immediately on a target that was down."""
    harness = SchedulerHarness()
    harness.handle(0.0, request(1), request(2))
    status = AttemptStatus.CONNECT_FAILED
    assert harness.handle(0.01, attempt_finished(1, status=status), attempt_finished(2, status=status)) == []
    assert [a.request_id for a in harness.poll(0.011 + target_load.INITIAL_PAUSE_SECONDS)] == [1, 2]


def test_an_attempt_expires_soon_after_its_latency_objective():
    """Otherwise an attempt with a lost response counts as in flight until the client's deadline."""
    (attempt,) = SchedulerHarness().handle(0.0, request(1))
    assert 1.0 < attempt.expires_at < 1.2


def test_a_timeout_as_long_as_a_slow_response_halves_the_used_concurrency():
    harness = SchedulerHarness()
    harness.handle(0.0, request(1))
    initial_limit = harness.scheduler.targets[1].concurrency_limit
    harness.handle(0.6, attempt_finished(1, status=AttemptStatus.TIMEOUT, latency=0.6))
    # The limit becomes half of the one attempt in flight.
    assert (
        initial_limit == state.INITIAL_CONCURRENCY and harness.scheduler.targets[1].concurrency_limit == 0.5
    )


def test_a_limit_below_one_paces_requests_beyond_the_reservation():
    """A minimum of one attempt per initiator overloads a target of few slots with hundreds of initiators."""
    harness = SchedulerHarness()
    target = harness.scheduler.targets[1]
    target.concurrency_limit, target.latency = 0.1, 0.05
    # The next request may be sent after latency / limit, which the jitter varies from 0.25 to 0.75 s.
    harness.handle(0.0, request(1))
    harness.scheduler.volumes[1].reservation.level = -100.0
    harness.handle(0.3, attempt_finished(1, status=AttemptStatus.ERROR, request_done=True))
    target.paced_until = 0.5
    assert harness.started_request_ids(0.31, request(2)) == []
    assert [a.request_id for a in harness.poll(0.51)] == [2]
    assert 0.51 + 0.25 <= target.paced_until <= 0.51 + 0.75


def test_a_limit_below_one_does_not_pace_requests_within_the_reservation():
    harness = SchedulerHarness()
    target = harness.scheduler.targets[1]
    target.concurrency_limit, target.paced_until = 0.1, 5.0
    harness.scheduler._accept(request(1))
    harness.scheduler.volumes[1].reservation.level = 5.0
    assert harness.started_request_ids(0.0, request(2)) == [1]


def test_a_limit_below_one_is_halved_only_by_congestion_and_doubled_by_timely_responses():
    harness = SchedulerHarness()
    target = harness.scheduler.targets[1]
    minimum = target_load.MIN_CONCURRENCY
    for number, latency, before, after in [
        (1, 0.3, 0.4, 0.8),
        (2, 0.5, 0.4, 0.2),
        (3, 0.5, minimum, minimum),
    ]:
        now = number * 5.0
        harness.handle(now, request(number))
        target.concurrency_limit = before
        harness.handle(now + latency, attempt_finished(number, latency=latency))
        assert target.concurrency_limit == pytest.approx(after)


def test_successive_requests_for_the_same_data_may_exceed_the_concurrency_limit():
    harness = SchedulerHarness()
    target = harness.scheduler.targets[1]
    target.concurrency_limit = 1.0
    target.allocations.clear()
    first = harness.started_request_ids(
        0.0, request(1, idempotency_key=5), request(2, idempotency_key=6), request(3, idempotency_key=5)
    )
    target.allocations[1].bucket.level = 9.0  # within the volume's grant
    assert first + [a.request_id for a in harness.poll(0.01)] == [1, 3]
    assert (
        harness.started_request_ids(scheduler.SAME_KEY_WINDOW_SECONDS + 0.001, request(4, idempotency_key=5))
        == []
    )


def test_requests_without_a_key_may_not_exceed_the_concurrency_limit():
    harness = SchedulerHarness()
    harness.scheduler.targets[1].concurrency_limit = 1.0
    assert harness.started_request_ids(0.0, request(1), request(2)) == [1]


def test_most_of_a_limit_is_reserved_for_the_classes_of_the_highest_weight():
    """Without the reserve, a class with a long objective spent all tokens, and reads were rejected."""
    classes = (
        request_class(name="read", priority_weight=3.0),
        request_class(name="export", priority_weight=1.0, latency_objective=2.5),
    )
    harness = SchedulerHarness(classes=classes, plans=(plan(limit=10.0, burst=28.0),))  # 18 tokens reserved
    assert harness.started_request_ids(1.0, request(1, class_index=1)) == []  # 10 tokens in the bucket
    assert harness.started_request_ids(1.1, request(2)) == [2]
    assert harness.started_request_ids(1.2, attempt_finished(2)) == []
    # The bucket is full: further tokens would be lost.
    assert harness.started_request_ids(3.0, TimerFired(1)) == [1]


def test_a_bucket_that_holds_one_request_serves_every_class():
    classes = (
        request_class(name="read", priority_weight=3.0),
        request_class(name="export", priority_weight=1.0, latency_objective=2.5),
    )
    harness = SchedulerHarness(classes=classes, plans=(plan(limit=10.0, burst=8.0),))
    assert harness.started_request_ids(1.0, request(1, class_index=1, units=8.0)) == [1]


def test_a_queued_request_is_not_rejected_because_a_drain_has_begun():
    """Guards against half of what a drain leaves of a client's time, taken for half of that time."""
    harness = SchedulerHarness(targets=(), classes=(request_class(latency_objective=18.0, deadline=20.0),))
    assert harness.handle(0.0, request(1, time_remaining=20.0)) == []
    assert harness.handle(6.0, DeadlineShortened(1, response_due_in=3.0)) == []
    assert harness.poll(8.9) == []
    assert [type(action) for action in harness.poll(8.99)] == [Reject]


def test_a_request_in_a_drain_is_rejected_at_once_if_it_cannot_be_served_by_its_end():
    harness = SchedulerHarness(classes=(request_class(latency_objective=18.0, deadline=20.0),))
    actions = harness.handle(0.0, request(1, time_remaining=20.0, response_due_in=0.5))
    assert [type(action) for action in actions] == [Reject]


def test_a_request_whose_response_is_due_is_answered_unless_an_attempt_is_in_flight():
    harness = SchedulerHarness()
    assert [type(action) for action in harness.handle(0.0, request(1), request(2, shard=9))] == [StartAttempt]
    actions = harness.handle(0.1, ResponseDue(1), ResponseDue(2), ResponseDue(3))
    assert [(type(action), action.request_id) for action in actions] == [(Reject, 2)]
