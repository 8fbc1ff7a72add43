"""Clients that give up early and repeat at once."""

from __future__ import annotations

import pytest

from stalltiller.scheduling import (
    AttemptStatus,
    CancelAttempt,
    Idempotency,
    Reject,
    StartAttempt,
    TargetStatus,
    scheduler,
    state,
    target_load,
)
from tests.helpers import Gateway, entry, outcome, request, request_class


def held(gateway: Gateway, number: int):
    return gateway.scheduler.pending[number]


def test_a_hasty_first_try_has_its_whole_aim():
    gateway = Gateway(nodes=(entry(1, status=TargetStatus.DRAINING),))  # nothing can be sent
    gateway.feed(0.0, request(1, time_remaining=3.0))
    gateway.feed(0.1, request(2, time_remaining=0.9))  # no later try of a client that waits for its aim
    assert held(gateway, 2).due_at == pytest.approx(0.1 + 0.9 - scheduler.ANSWER_MARGIN_SECONDS)


def test_a_later_try_has_what_is_left_of_its_aim():
    gateway = Gateway(nodes=(entry(1, status=TargetStatus.DRAINING),))
    gateway.feed(0.0, request(1, time_remaining=3.0))
    gateway.feed(0.1, request(2, time_remaining=2.5))
    assert held(gateway, 2).due_at == pytest.approx(0.6)


def test_a_try_that_the_client_will_not_wait_for_is_refused_at_once_and_never_sent():
    gateway = Gateway()
    gateway.feed(0.0, request(1))
    node = gateway.scheduler.targets[1]
    node.latency = 0.4
    refused = gateway.feed(0.01, request(2, time_remaining=scheduler.ABANDONED_FACTOR * 0.4))
    assert refused == [Reject(2, 1.5)]
    assert gateway.sends(0.02, request(3, time_remaining=0.4 + scheduler.ABANDONED_FACTOR * 0.4)) == [3]


def test_a_short_time_out_does_not_close_the_window():
    gateway = Gateway()
    gateway.feed(0.0, request(1, time_remaining=0.15))
    window = gateway.scheduler.targets[1].concurrency_limit
    gateway.feed(0.15, outcome(1, status=AttemptStatus.TIMEOUT, latency=0.15))
    assert gateway.scheduler.targets[1].concurrency_limit == window


def test_a_client_that_claims_to_wait_for_ever_does_not_make_the_others_late():
    """One X-Timeout of a minute made every request that followed a late try, refused at once."""
    gateway = Gateway()
    gateway.feed(0.0, request(1, time_remaining=60.0))
    assert gateway.sends(0.1, request(2, time_remaining=3.0)) == [2]
    assert held(gateway, 2).due_at == pytest.approx(1.1)


def test_without_a_whole_attempt_a_request_is_given_up_before_half_of_its_time():
    gateway = Gateway(nodes=(entry(1, status=TargetStatus.DRAINING),))  # nothing can be sent
    gateway.feed(0.0, request(1, time_remaining=0.9))
    assert gateway.poll(0.40) == []
    assert gateway.poll(0.44) == [Reject(1, 1.5)]
    gateway = Gateway()
    assert gateway.sends(0.0, request(1, time_remaining=0.9)) == [1]
    gateway.feed(0.1, outcome(1, status=AttemptStatus.CONNECT_FAILED))
    assert gateway.poll(0.44) in (
        [Reject(1, 1.5)],
        [StartAttempt(1, 1, pytest.approx(0.9, abs=0.1))],
    )


def test_what_nobody_asks_for_any_more_is_forgotten():
    """Tables by volume and cell only grew, on days on which both are ever new."""
    gateway = Gateway(nodes=tuple(entry(n) for n in range(50)))
    for n in range(50):
        gateway.feed(n * 0.01, request(n, volume=n, shard=n))
        gateway.feed(n * 0.01 + 0.005, outcome(n, target_id=n))
    later = 1.0 + scheduler.FORGET_SECONDS
    gateway.feed(later, request(99, volume=99, shard=1))
    assert set(gateway.scheduler.volumes) == {99} and set(gateway.scheduler.contention.requested_at) == {1}
    assert sum(len(node.allocations) for node in gateway.scheduler.targets.values()) == 1


def test_a_read_that_later_answers_have_passed_is_dropped_and_sent_again():
    """Attempts on connections that had fallen silent held their place until their aim was gone."""
    gateway = Gateway()
    node = gateway.scheduler.targets[1]
    assert gateway.sends(0.0, *(request(n) for n in range(1, 5))) == [1, 2, 3, 4]
    node.in_flight[1].sent_at = -0.01  # the first went a little earlier
    gateway.feed(0.02, *(outcome(n, latency=0.02) for n in (2, 3, 4)))
    assert node.in_flight[1].overtaken_count == target_load.OVERTAKEN_COUNT
    window = node.concurrency_limit
    assert gateway.poll(0.03) == []
    lost = scheduler.LOST_FACTOR * node.latency * gateway.scheduler.relative_latency["read"]
    lost += scheduler.LOST_MARGIN_SECONDS
    assert gateway.poll(lost) == [CancelAttempt(1, 0)]
    assert gateway.poll(lost + 0.01) == []  # once
    assert gateway.sends(
        lost + 0.02, outcome(1, status=AttemptStatus.CANCELLED, request_done=False, latency=lost)
    ) == [1]
    assert node.concurrency_limit == window  # the node is no fuller for it


def test_an_unsafe_write_that_was_passed_is_left_to_its_time():
    gateway = Gateway(classes=(request_class(idempotency=Idempotency.UNSAFE, is_write=True),))
    gateway.feed(0.0, *(request(n) for n in range(1, 5)))
    gateway.scheduler.targets[1].in_flight[1].sent_at = -0.01
    gateway.feed(0.02, *(outcome(n, latency=0.02) for n in (2, 3, 4)))
    assert gateway.poll(0.9) == []


def test_a_reset_does_not_cut_the_window():
    gateway = Gateway()
    gateway.feed(0.0, request(1))
    gateway.feed(0.3, outcome(1, status=AttemptStatus.RESET, request_done=False, latency=0.3))
    assert gateway.scheduler.targets[1].concurrency_limit == state.INITIAL_CONCURRENCY


def test_a_node_that_seemed_too_slow_is_tried_again():
    """With a mean latency over every aim it got no request, and so no answer that could lower the mean."""
    gateway = Gateway()
    gateway.feed(0.0, request(1))
    gateway.feed(0.1, outcome(1))
    node = gateway.scheduler.targets[1]
    node.latency, node.concurrency_limit = 5.0, target_load.MIN_CONCURRENCY
    assert gateway.sends(0.3, request(2)) == []
    assert gateway.sends(0.2 + scheduler.UNTRIED_SECONDS, request(3)) == [3]
    node.latency = 5.0
    assert gateway.sends(0.21 + scheduler.UNTRIED_SECONDS, request(4)) == []
