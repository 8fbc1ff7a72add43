"""The design's ordinary path, with worked figures."""

from __future__ import annotations

import pytest

from stalltiller.scheduling import (
    Action,
    AttemptStatus,
    Reject,
    TimerFired,
    admission,
    scheduler,
    state,
    target_load,
)
from stalltiller.scheduling.state import Volume, VolumeAllocation
from tests.helpers import Gateway, entry, outcome, plan, request, request_class


def volume_share(
    gateway: Gateway, name: int, grant: float, ask: float, **changes: object
) -> VolumeAllocation:
    """Put a volume with a grant at node 1."""
    share = VolumeAllocation(Volume(plan(**changes), 1, 0.0), 0.0)
    share.grant, share.requested_rate, share.open_count = grant, ask, 1
    gateway.scheduler.targets[1].allocations[name] = share
    return share


def node_of(gateway: Gateway, capacity: float):
    """Node 1 with a latency that makes its capacity the given units per second."""
    node = gateway.scheduler.targets[1]
    node.latency = target_load.MAX_CONCURRENCY * gateway.scheduler.settings.mean_units / capacity
    assert gateway.scheduler._capacity(node) == pytest.approx(capacity)
    return node


def grant_test(gateway: Gateway, name: int = 2, **changes: object) -> VolumeAllocation:
    """The grant of a volume that asks for its plan's rate (10) at a node of capacity 100."""
    node = node_of(gateway, 100.0)
    share = volume_share(gateway, name, 0.0, 0.0, **changes)
    gateway.scheduler._update_grant(node, share)
    return share


def test_uncongested_volume_gets_its_full_ask():
    gateway = Gateway()
    volume_share(gateway, 1, 70.0, 70.0)  # used 70 <= 100 - 30
    assert grant_test(gateway).grant == pytest.approx(10.0)


def test_congested_volume_gets_psi():
    gateway = Gateway()
    volume_share(gateway, 1, 95.0, 95.0)
    # free reserve 5, used - reserve = 65: psi = 5 / 2**0.65
    assert grant_test(gateway, reservation=0.0).grant == pytest.approx(5 / 2**0.65)


def test_psi_is_weighted_by_the_plan_over_the_mean():
    gateway = Gateway()
    volume_share(gateway, 1, 95.0, 95.0, weight=1.0)
    share = grant_test(gateway, reservation=0.0, weight=3.0)  # mean weight 2, w = 1.5
    assert share.grant == pytest.approx(1.5 * 5 / 2**0.65)


def test_the_reservation_slice_is_the_floor():
    gateway = Gateway()
    volume_share(gateway, 1, 100.0, 100.0)  # no free reserve: psi is 0
    assert grant_test(gateway, reservation=4.0).grant == pytest.approx(4.0)


def test_an_idle_volume_hands_back_by_remaining_ratio():
    gateway = Gateway()
    node = node_of(gateway, 100.0)
    idle = volume_share(gateway, 1, 9.0, 9.0)
    idle.open_count = 0
    half, tenth = volume_share(gateway, 2, 10.0, 20.0), volume_share(gateway, 3, 18.0, 20.0)
    gateway.scheduler.now = admission.IDLE_SECONDS + 0.1
    gateway.scheduler._reclaim_idle_grants(node)
    # remaining ratios 0.5 and 0.1: nine units go 7.5 to 1.5
    assert (half.grant, tenth.grant) == (pytest.approx(17.5), pytest.approx(19.5))
    assert 1 not in node.allocations


def test_each_quiet_spell_releases_a_tenth_of_the_reserve_and_congestion_restores_it():
    gateway = Gateway()
    node = node_of(gateway, 100.0)
    gateway.scheduler.now = 2.5 * admission.RESERVE_RELEASE_SECONDS  # two spells
    grant_test(gateway, 3)
    assert node.reserve_fraction == pytest.approx(0.30 * 0.8)
    volume_share(gateway, 1, 90.0, 90.0)
    grant_test(gateway)
    assert node.reserve_fraction == pytest.approx(0.30)


def test_even_split_of_the_limit_before_any_news():
    gateway = Gateway(plans=(plan(rate=10.0, limit=12.0, burst=60.0),))
    gateway.feed(0.0, request(1, volume_initiator_count=3))
    share = gateway.scheduler.targets[1].allocations[1]
    share.demand.add(0.0, 1000.0)
    ask, _ = gateway.scheduler._rates(share)
    assert ask == pytest.approx(4.0)


def test_window_in_use_halves_on_a_refusal_once_a_round_trip_and_grows_by_one_a_round_trip():
    gateway = Gateway()
    node = gateway.scheduler.targets[1]
    size = int(node.concurrency_limit)
    gateway.feed(1.0, *[request(i) for i in range(size)])
    gateway.feed(1.1, *[outcome(i) for i in range(1)])
    assert node.concurrency_limit == pytest.approx(size + 1 / size)
    gateway.feed(2.0, outcome(1, status=AttemptStatus.REJECTED), outcome(2, status=AttemptStatus.REJECTED))
    assert node.concurrency_limit == pytest.approx(1.5)  # half of the three that were out


def test_window_stops_at_its_ceiling():
    gateway = Gateway()
    node = gateway.scheduler.targets[1]
    node.concurrency_limit = target_load.MAX_CONCURRENCY
    gateway.feed(0.0, *[request(i) for i in range(30)])
    assert len(node.in_flight) == target_load.MAX_CONCURRENCY
    gateway.feed(0.1, outcome(0))
    assert node.concurrency_limit == target_load.MAX_CONCURRENCY


def test_earliest_due_goes_first_and_grants_go_before_what_lies_beyond():
    classes = (request_class(latency_objective=2.0), request_class(latency_objective=1.0))
    gateway = Gateway(classes=classes)
    node = gateway.scheduler.targets[1]
    node.concurrency_limit = 1.0
    node.latency = 0.01
    gateway.scheduler.volumes.clear()
    assert gateway.sends(20.0, request(1)) == [1]
    assert gateway.sends(20.0, request(2), request(3, class_index=1)) == []
    node.concurrency_limit = 1.0
    assert gateway.sends(20.01, outcome(1, latency=0.6)) == [3]
    # volume 9 has no grant left at the node: it waits although it is due first
    node.allocations[1].bucket.level = 50.0
    gateway.feed(20.02, request(4, class_index=1, volume=9))
    node.allocations[9].grant = node.allocations[9].bucket.level = -1.0
    gateway.scheduler.volumes[9].reservation.level = -1.0
    assert gateway.sends(20.03, outcome(3, latency=0.6)) == [2]


def test_refused_early_with_advice_only_when_the_aim_is_out_of_reach():
    gateway = Gateway()
    node = gateway.scheduler.targets[1]
    node.concurrency_limit, node.latency = 1.0, 0.3
    gateway.feed(0.0, request(1))
    assert gateway.feed(0.0, request(2)) == []
    actions = gateway.feed(0.0, *[request(i) for i in range(3, 8)])
    assert actions and all(isinstance(a, Reject) and a.retry_after == 1.5 for a in actions)
    assert all(r.request_id != 2 for r in actions)


def test_a_new_object_goes_to_the_least_loaded_warm_node():
    gateway = Gateway(nodes=(entry(1), entry(2), entry(3, started_at=0.0)))
    gateway.scheduler.targets[1].in_flight = dict.fromkeys(range(90, 93))
    (send,) = gateway.feed(0.0, request(1, shard=None))
    assert send.target_id == 2


def test_the_same_events_give_the_same_actions():
    def play() -> list[Action]:
        gateway = Gateway(nodes=(entry(1), entry(2)))
        actions = gateway.feed(0.0, *[request(i, shard=None, volume=i % 3) for i in range(40)])
        return actions + gateway.feed(0.3, *[outcome(i) for i in range(40)]) + gateway.poll(0.9)

    assert play() == play() != []


def test_what_a_cold_node_serves_is_allowed_again():
    """A restarted node was starved long after it could serve: its budget knew only the time."""
    gateway = Gateway(nodes=(entry(1, started_at=0.0),))
    node = gateway.scheduler.targets[1]
    gateway.scheduler._has_slow_start_budget(node, 2.0)
    node.slow_start_draw = 1.0  # no more than the whole part
    part = 40.0 * target_load.SLOW_START_BUDGET_FRACTION / 2
    assert gateway.sends(0.0, request(1, units=part)) == [1]
    assert not gateway.scheduler._has_slow_start_budget(node, 2.0)
    gateway.feed(0.1, outcome(1))
    assert gateway.scheduler._has_slow_start_budget(node, 2.0)


def test_the_least_worthy_before_a_late_request_is_given_up():
    classes = (
        request_class(latency_objective=1.0, priority_weight=1.0),
        request_class(latency_objective=1.1, priority_weight=4.0),
    )
    gateway = Gateway(classes=classes)
    node = gateway.scheduler.targets[1]
    node.concurrency_limit, node.latency = 1.0, 0.4
    gateway.feed(0.0, request(1))
    gateway.feed(0.0, request(2), request(3, class_index=1))
    assert [a.request_id for a in gateway.feed(0.0, request(4, class_index=1))] == [2]


def test_a_node_that_takes_no_connection_is_paused():
    """Requests used up their attempts on a node that was down, all at once."""
    gateway = Gateway()
    gateway.feed(0.0, request(1), request(2))
    down = AttemptStatus.CONNECT_FAILED
    assert gateway.feed(0.01, outcome(1, status=down), outcome(2, status=down)) == []
    assert [a.request_id for a in gateway.poll(0.011 + target_load.INITIAL_PAUSE_SECONDS)] == [1, 2]


def test_an_attempt_ends_soon_after_its_aim():
    """Lost answers held their places in the window to the client's deadline."""
    (send,) = Gateway().feed(0.0, request(1))
    assert 1.0 < send.expires_at < 1.2


def test_a_time_out_as_long_as_a_late_answer_halves_the_window_in_use():
    gateway = Gateway()
    gateway.feed(0.0, request(1))
    size = gateway.scheduler.targets[1].concurrency_limit
    gateway.feed(0.6, outcome(1, status=AttemptStatus.TIMEOUT, latency=0.6))
    assert (
        size == state.INITIAL_CONCURRENCY and gateway.scheduler.targets[1].concurrency_limit == 0.5
    )  # half of that in use


def test_below_one_the_window_paces_what_lies_beyond_the_reservation():
    """A floor of one, times hundreds of gateways, floods a node of a few slots."""
    gateway = Gateway()
    node = gateway.scheduler.targets[1]
    node.concurrency_limit, node.latency = 0.1, 0.05
    gateway.feed(0.0, request(1))  # the next may go after latency / window, 0.25 to 0.75 s with the draw
    gateway.scheduler.volumes[1].reservation.level = -100.0
    gateway.feed(0.3, outcome(1, status=AttemptStatus.ERROR, request_done=True))
    node.paced_until = 0.5
    assert gateway.sends(0.31, request(2)) == []
    assert [a.request_id for a in gateway.poll(0.51)] == [2]
    assert 0.51 + 0.25 <= node.paced_until <= 0.51 + 0.75


def test_below_one_the_window_lets_the_reservation_go():
    gateway = Gateway()
    node = gateway.scheduler.targets[1]
    node.concurrency_limit, node.paced_until = 0.1, 5.0
    gateway.scheduler._accept(request(1))
    gateway.scheduler.volumes[1].reservation.level = 5.0
    assert gateway.sends(0.0, request(2)) == [1]


def test_below_one_only_a_deep_queue_cuts_the_window_and_good_answers_double_it():
    gateway = Gateway()
    node = gateway.scheduler.targets[1]
    least = target_load.MIN_CONCURRENCY
    for number, took, before, after in [(1, 0.3, 0.4, 0.8), (2, 0.5, 0.4, 0.2), (3, 0.5, least, least)]:
        now = number * 5.0
        gateway.feed(now, request(number))
        node.concurrency_limit = before
        gateway.feed(now + took, outcome(number, latency=took))
        assert node.concurrency_limit == pytest.approx(after)


def test_requests_in_a_row_for_the_same_data_follow_past_the_window():
    gateway = Gateway()
    node = gateway.scheduler.targets[1]
    node.concurrency_limit = 1.0
    node.allocations.clear()
    first = gateway.sends(
        0.0, request(1, idempotency_key=5), request(2, idempotency_key=6), request(3, idempotency_key=5)
    )
    node.allocations[1].bucket.level = 9.0  # within its grant
    assert first + [a.request_id for a in gateway.poll(0.01)] == [1, 3]
    assert gateway.sends(scheduler.SAME_KEY_SECONDS + 0.001, request(4, idempotency_key=5)) == []


def test_requests_without_a_key_are_no_run():
    gateway = Gateway()
    gateway.scheduler.targets[1].concurrency_limit = 1.0
    assert gateway.sends(0.0, request(1), request(2)) == [1]


def test_most_of_a_limit_is_kept_for_the_classes_worth_most():
    """A patient class took the tokens as they came, and reads of the same volume were refused."""
    classes = (
        request_class(name="read", priority_weight=3.0),
        request_class(name="export", priority_weight=1.0, latency_objective=2.5),
    )
    gateway = Gateway(classes=classes, plans=(plan(limit=10.0, burst=28.0),))  # 18 kept
    assert gateway.sends(1.0, request(1, class_index=1)) == []  # 10 tokens
    assert gateway.sends(1.1, request(2)) == [2]
    assert gateway.sends(1.2, outcome(2)) == []
    assert gateway.sends(3.0, TimerFired(1)) == [1]  # full: what comes in would be lost


def test_a_part_that_holds_one_request_serves_every_class():
    classes = (
        request_class(name="read", priority_weight=3.0),
        request_class(name="export", priority_weight=1.0, latency_objective=2.5),
    )
    gateway = Gateway(classes=classes, plans=(plan(limit=10.0, burst=8.0),))
    assert gateway.sends(1.0, request(1, class_index=1, units=8.0)) == [1]
