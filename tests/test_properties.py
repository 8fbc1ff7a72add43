"""Random valid event sequences keep the seven rules, under settings unlike any deployment."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from stalltiller.scheduling import (
    Action,
    AttemptFinished,
    AttemptStatus,
    ClientDisconnected,
    DeduplicationScope,
    Event,
    Fail,
    Idempotency,
    Reject,
    Request,
    Settings,
    StartAttempt,
    TargetListKind,
    TargetListUpdate,
    TargetStatus,
)
from stalltiller.scheduling.scheduler import Scheduler
from tests.helpers import entry, plan, request, request_class, rules, settings
from tests.rule_checker import RuleBrokenError, World, target_list

CLASSES = (
    request_class(latency_objective=0.2, deadline=1.0),
    request_class(
        latency_objective=0.4,
        idempotency=Idempotency.IDEMPOTENCY_KEY,
        deduplication_scope=DeduplicationScope.SHARD,
        deduplication_window=0.6,
    ),
    request_class(
        latency_objective=0.4,
        idempotency=Idempotency.IDEMPOTENCY_KEY,
        deduplication_scope=DeduplicationScope.ZONE,
        deduplication_window=5.0,
    ),
    request_class(latency_objective=0.3, idempotency=Idempotency.UNSAFE, is_write=True),
    request_class(latency_objective=0.5, in_order=True),
    request_class(
        latency_objective=0.5,
        idempotency=Idempotency.IDEMPOTENCY_KEY,
        deduplication_scope=DeduplicationScope.ALL,
        in_order=True,
    ),
)
SETTINGS = {
    "everything": settings(
        classes=CLASSES,
        plans=(plan(limit=8.0, burst=48.0, slack=4.0), plan(weight=5.0)),
        rules=rules(
            ordering_pause=0.3, retry_budget_base=2.0, retry_budget_fraction=0.1, retry_budget_window=3.0
        ),
    ),
    "polled, no limits": settings(
        classes=CLASSES[:1] + CLASSES[4:],
        list_pushed=False,
        may_send_retry_after=False,
        max_attempts=5,
        rules=rules(list_poll_interval=5.0, ordering_pause=0.2),
    ),
    "one unsafe class": settings(classes=CLASSES[3:4], initiator_count=5, max_attempts=2),
}
ARRIVAL = st.tuples(
    st.integers(0, 60),
    st.integers(0, 5),
    st.integers(0, 1),
    st.integers(1, 5),
    st.integers(1, 8),
    st.one_of(st.none(), st.integers(0, 4)),
    st.integers(0, 3),
    st.booleans(),
    st.floats(0.05, 3.0),
)
RESULTS = st.lists(
    st.tuples(st.sampled_from(list(AttemptStatus)), st.floats(0.001, 1.5)), min_size=1, max_size=12
)
LIST_CHANGES = st.lists(
    st.tuples(st.integers(0, 3000), st.integers(0, 3), st.sampled_from(list(TargetStatus))),
    max_size=4,
)


def play(
    scheduler: object, scheduler_settings: Settings, arrivals: list, results: list, list_changes: list
) -> World:
    world = World(scheduler, scheduler_settings)
    world.push(0.0, target_list(4, 1, 0.0))
    now = 0.0
    for number, (gap, cls, kind, volume, units, shard, key, disconnects, time_remaining) in enumerate(
        arrivals
    ):
        now += gap / 1000
        name = kind % len(scheduler_settings.plans)
        world.push(
            now,
            request(
                number,
                class_index=cls % len(scheduler_settings.classes),
                plan_index=name,
                volume=volume * 2 + name,
                units=float(units),
                volume_initiator_count=2,
                shard=shard,
                idempotency_key=key,
                time_remaining=time_remaining,
            ),
        )
        if disconnects:
            world.push(now + 0.5 * time_remaining, ClientDisconnected(number))
    for at, target, state in list_changes:
        world.push(
            at / 1000,
            TargetListUpdate(TargetListKind.DELTA, (entry(target, zone=target % 2, status=state),)),
        )
    world.run(results)
    return world


@pytest.mark.parametrize("scheduler_settings", SETTINGS.values(), ids=SETTINGS.keys())
@hypothesis_settings(max_examples=60, deadline=None, derandomize=True, database=None)
@given(arrivals=st.lists(ARRIVAL, min_size=1, max_size=60), results=RESULTS, list_changes=LIST_CHANGES)
def test_rules_are_kept(scheduler_settings, arrivals, results, list_changes):
    play(Scheduler(scheduler_settings, 3, 0.0), scheduler_settings, arrivals, results, list_changes)


def arrivals_of_one_kind(count: int, **changes: object) -> list[tuple]:
    one = {
        "gap": 5,
        "cls": 0,
        "kind": 0,
        "volume": 1,
        "units": 4,
        "shard": 1,
        "key": 1,
        "disconnects": False,
        "time_remaining": 2.0,
    } | changes
    return [tuple(one.values())] * count


class Broken:
    """A scheduler with one rule broken on purpose; it sends each request at once to its shard's target."""

    def __init__(self, fault: str) -> None:
        self.fault = fault

    def handle(self, now: float, events: list[Event]) -> list[Action]:
        actions: list[Action] = []
        for event in events:
            if isinstance(event, Request) and self.fault != "silent":
                actions.append(StartAttempt(event.request_id, event.shard, None))
            elif isinstance(event, AttemptFinished) and not event.request_done:
                if self.fault == "refuses":
                    actions.append(Reject(event.request_id, 0.0))
                elif self.fault == "repeats":
                    actions.append(StartAttempt(event.request_id, event.target_id, None))
                else:
                    actions.append(Fail(event.request_id))
            elif isinstance(event, AttemptFinished) and self.fault == "twice":
                actions.append(Fail(event.request_id))
        return actions


@pytest.mark.parametrize(
    ("fault", "arrivals", "result", "list_changes", "broken_rule"),
    [
        ("silent", arrivals_of_one_kind(1), AttemptStatus.OK, [], "1: not answered"),
        ("twice", arrivals_of_one_kind(1), AttemptStatus.OK, [], "1: answered twice"),
        ("refuses", arrivals_of_one_kind(1, cls=3), AttemptStatus.ERROR, [], "2: refused"),
        ("repeats", arrivals_of_one_kind(1, cls=3), AttemptStatus.ERROR, [], "2: unsafe"),
        ("repeats", arrivals_of_one_kind(1, cls=1), AttemptStatus.ERROR, [], "2: keyed"),
        ("drains", arrivals_of_one_kind(900), AttemptStatus.REJECTED, [(1, 1, TargetStatus.DRAINING)], "3: "),
        ("cold", arrivals_of_one_kind(20, shard=3), AttemptStatus.REJECTED, [], "4: "),
        ("order", arrivals_of_one_kind(2, cls=4), AttemptStatus.OK, [], "5: out of order"),
        ("repeats", arrivals_of_one_kind(2, time_remaining=3.0), AttemptStatus.ERROR, [], "6: "),
        ("limit", arrivals_of_one_kind(40), AttemptStatus.OK, [], "7: "),
    ],
)
def test_the_checker_detects_a_broken_scheduler(fault, arrivals, result, list_changes, broken_rule):
    scheduler_settings = SETTINGS["everything"]
    if broken_rule == "3: ":
        scheduler_settings = SETTINGS["one unsafe class"]
    latency = 0.7 if broken_rule == "2: keyed" else 0.1
    with pytest.raises(RuleBrokenError, match=broken_rule):
        play(Broken(fault), scheduler_settings, arrivals, [(result, latency)], list_changes)
