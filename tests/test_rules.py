"""The seven rules, one by one, in small scenes."""

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
from tests.helpers import Gateway, entry, outcome, plan, request, request_class, rules

TIMEOUT, RESET, ERROR, FULL = (
    AttemptStatus.TIMEOUT,
    AttemptStatus.RESET,
    AttemptStatus.ERROR,
    AttemptStatus.REJECTED,
)
FINAL = (Reject, Fail)


def finals(actions: list[Action]) -> list[int]:
    return [a.request_id for a in actions if isinstance(a, FINAL)]


# 1. Every request answered.
def test_a_request_without_a_node_is_answered_before_its_deadline_and_once():
    gateway = Gateway()
    assert finals(gateway.feed(0.0, request(1, shard=5))) == []
    answered = [i for step in range(1, 400) for i in finals(gateway.poll(step * 0.01))]
    assert answered == [1]


def test_a_try_with_hardly_any_time_left_and_no_node_is_answered_at_once():
    """Found by an incident: such a try waited for the next poll, past its deadline."""
    gateway = Gateway()
    gateway.feed(0.0, request(1, time_remaining=3.0))
    assert finals(gateway.feed(0.1, request(2, shard=5, time_remaining=0.001))) == [2]


def test_a_timeout_at_the_deadline_is_answered_and_nothing_is_sent_after():
    gateway = Gateway()
    gateway.feed(0.0, request(1))
    assert finals(gateway.feed(3.0, outcome(1, status=TIMEOUT))) == [1]
    assert gateway.feed(3.1, outcome(1, status=TIMEOUT)) == []
    assert gateway.poll(3.2) == []


def test_a_client_that_left_gets_nothing_more():
    gateway = Gateway()
    gateway.scheduler.targets[1].concurrency_limit = 1.0
    gateway.feed(0.0, request(1), request(2))
    assert gateway.feed(0.1, ClientDisconnected(2)) == []
    assert gateway.feed(0.2, outcome(1)) == []


def test_an_unknown_id_is_passed_over():
    assert Gateway().feed(0.0, outcome(9), ClientDisconnected(9), FirstByte(9, 0, 1, 0.1)) == []


def test_a_stream_that_has_begun_gets_no_answer_of_ours():
    gateway = Gateway(classes=(request_class(streaming=True),))
    gateway.feed(0.0, request(1))
    gateway.feed(0.1, FirstByte(1, 0, 1, 0.1))
    assert gateway.poll(4.0) == []
    assert gateway.feed(9.0, outcome(1, status=RESET, request_done=True)) == []


# 2. No duplicated effect.
@pytest.mark.parametrize("status", list(AttemptStatus))
def test_unsafe_is_repeated_or_refused_only_if_it_never_ran(status):
    gateway = Gateway(classes=(request_class(idempotency=Idempotency.UNSAFE),))
    gateway.feed(0.0, request(1))
    actions = gateway.feed(0.1, outcome(1, status=status))
    actions += [a for step in range(1, 100) for a in gateway.poll(0.1 + step * 0.01)]
    if status is AttemptStatus.OK:
        assert actions == []
    elif status in target_load.NEVER_EXECUTED:
        assert isinstance(actions[0], StartAttempt)
    else:
        assert actions == [Fail(1)]


def test_keyed_that_may_have_run_stays_in_its_cell_and_is_failed_not_refused():
    cls = request_class(
        idempotency=Idempotency.IDEMPOTENCY_KEY,
        deduplication_scope=DeduplicationScope.SHARD,
        deduplication_window=0.5,
    )
    gateway = Gateway(nodes=(entry(1), entry(2)), classes=(cls,))
    (send,) = gateway.feed(0.0, request(1, shard=None))
    (again,) = gateway.feed(0.1, outcome(1, target_id=send.target_id, status=ERROR))
    assert again.target_id == send.target_id
    # past the time for which repeats are dropped
    assert gateway.feed(0.6, outcome(1, target_id=send.target_id, status=ERROR, attempt_number=1)) == [
        Fail(1)
    ]


def test_keyed_stays_unsure_after_a_second_attempt_that_never_ran():
    cls = request_class(idempotency=Idempotency.IDEMPOTENCY_KEY, deduplication_scope=DeduplicationScope.SHARD)
    gateway = Gateway(classes=(cls,), max_attempts=2)
    gateway.feed(0.0, request(1))
    (again,) = gateway.feed(0.1, outcome(1, status=ERROR))
    assert isinstance(again, StartAttempt)
    assert gateway.feed(0.2, outcome(1, status=FULL, attempt_number=1)) == [Fail(1)]


def test_safe_is_repeated_after_an_error():
    gateway = Gateway()
    gateway.feed(0.0, request(1))
    assert isinstance(gateway.feed(0.1, outcome(1, status=ERROR))[0], StartAttempt)


# 3. Safe drain.
@pytest.mark.parametrize("state", [TargetStatus.DRAINING, TargetStatus.REMOVED])
def test_nothing_goes_to_a_node_that_drains_or_is_gone(state):
    gateway = Gateway()
    gateway.feed(0.0, TargetListUpdate(TargetListKind.DELTA, (entry(1, status=state),)))
    assert gateway.sends(0.0, request(1)) == []


def test_what_a_full_list_leaves_out_is_gone_and_what_waits_moves():
    gateway = Gateway()
    gateway.scheduler.targets[1].concurrency_limit = 1.0
    gateway.feed(0.0, request(1), request(2))
    news = TargetListUpdate(TargetListKind.FULL, (entry(3, shard=1),))
    (send,) = gateway.feed(0.1, news)
    assert (send.request_id, send.target_id) == (2, 3)


def test_an_asked_for_list_is_watched_and_watched_again_after_a_failure():
    gateway = Gateway(list_pushed=False)
    scheduler = gateway.scheduler
    actions = scheduler.handle(1.0, [TargetListUpdate(TargetListKind.FAILED, ())])
    (timer,) = [a for a in actions if isinstance(a, SetTimer)]
    assert scheduler.handle(3.0, [TimerFired(timer.token)])[0] == WatchTargetList(True)
    assert scheduler.targets  # the old list stands


# 4. Cold nodes.
def test_a_cold_node_gets_no_more_than_this_gateways_part_of_the_budget():
    gateway = Gateway(nodes=(entry(1, started_at=0.0),), initiator_count=4)
    gateway.scheduler.targets[1].concurrency_limit = target_load.MAX_CONCURRENCY
    sent = gateway.sends(0.0, *[request(i, units=2.0) for i in range(40)])
    assert 0 < len(sent) * 2.0 <= 40.0 / 4
    # refused work counts in: it makes no room
    assert gateway.sends(0.2, *[outcome(i, status=FULL) for i in sent]) == []


# 5. Order by key.
def ordered() -> Gateway:
    return Gateway(classes=(request_class(in_order=True),), rules=rules(ordering_pause=0.4), max_attempts=1)


def test_ordered_requests_of_a_key_go_one_at_a_time_in_turn():
    gateway = ordered()
    assert gateway.sends(
        0.0, request(1, idempotency_key=8), request(2, idempotency_key=8), request(3, idempotency_key=9)
    ) == [1, 3]
    assert gateway.sends(0.1, outcome(1)) == [2]


def test_a_key_rests_after_an_end_that_is_not_sure():
    gateway = ordered()
    gateway.feed(0.0, request(1, idempotency_key=8), request(2, idempotency_key=8))
    assert gateway.sends(0.1, outcome(1, status=TIMEOUT)) == []
    assert gateway.poll(0.45) == []
    assert [a.request_id for a in gateway.poll(0.55)] == [2]


def test_a_key_waits_for_the_attempt_of_a_request_that_is_over():
    gateway = ordered()
    gateway.feed(0.0, request(1, idempotency_key=8), request(2, idempotency_key=8))
    assert gateway.feed(0.1, ClientDisconnected(1)) == []
    assert gateway.poll(0.2) == []
    assert gateway.sends(0.3, outcome(1)) == [2]


# 6. Attempt budget.
def test_further_attempts_stay_within_the_budget():
    gateway = Gateway(rules=rules(retry_budget_base=1.0, retry_budget_fraction=0.0, retry_budget_window=5.0))
    gateway.feed(0.0, request(1), request(2))
    assert gateway.sends(0.1, outcome(1, status=ERROR)) == [1]
    assert finals(gateway.feed(0.1, outcome(2, status=ERROR))) == [2]


# 7. Limits.
LIMITED = plan(limit=6.0, burst=48.0, slack=5.0)


def drawn(gateway: Gateway, until: float, hosts: int) -> float:
    """Units sent by `until` under a flood of requests that are answered at once."""
    units, number = 0.0, 0
    for step in range(int(until * 20)):
        now = step / 20
        new = [request(number + i, volume_initiator_count=hosts) for i in range(8)]
        number += 8
        sent = gateway.sends(now, *new)
        while sent:
            units += 2.0 * len(sent)
            sent = gateway.sends(now, *[outcome(i) for i in sent])
    return units


@pytest.mark.parametrize("hosts", [1, 2, 3])
def test_the_parts_of_all_hosts_never_pass_the_limit(hosts):
    gateway = Gateway(plans=(LIMITED,))
    assert 0 < drawn(gateway, 10.0, hosts) <= 6.0 * 10.0 / hosts


def test_a_restart_does_not_mint_a_burst():
    first, again = Gateway(plans=(LIMITED,)), Gateway(plans=(LIMITED,))
    spent = drawn(first, 4.0, 1) + drawn(again, 4.0, 1)
    assert spent <= 48.0 + 6.0 * 8.0
    assert again.sends(4.0, request(999, units=8.0)) == []


def test_a_moot_first_attempt_draws_nothing():
    gateway = Gateway(plans=(LIMITED,))
    gateway.feed(2.0, request(1, units=8.0))
    before = gateway.scheduler.volumes[1].limit.level
    gateway.feed(2.0, outcome(1, status=AttemptStatus.NOT_STARTED))
    assert gateway.scheduler.volumes[1].limit.level == before  # given back, and drawn again by the next send
