"""Checks the seven rules on random valid event sequences, under settings unlike any deployment."""

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
from tests.helpers import make_target, plan, request, request_class, rules, settings
from tests.rule_checker import RuleViolationError, SchedulerSimulation, target_list

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
) -> SchedulerSimulation:
    simulation = SchedulerSimulation(scheduler, scheduler_settings)
    simulation.schedule(0.0, target_list(4, 1, 0.0))
    now = 0.0
    for number, arrival in enumerate(arrivals):
        gap_ms, class_number, plan_number, volume, units, shard, key, disconnects, time_remaining = arrival
        now += gap_ms / 1000
        plan_index = plan_number % len(scheduler_settings.plans)
        simulation.schedule(
            now,
            request(
                number,
                class_index=class_number % len(scheduler_settings.classes),
                plan_index=plan_index,
                volume=volume * 2 + plan_index,
                units=float(units),
                volume_initiator_count=2,
                shard=shard,
                idempotency_key=key,
                time_remaining=time_remaining,
            ),
        )
        if disconnects:
            simulation.schedule(now + 0.5 * time_remaining, ClientDisconnected(number))
    for at_ms, target_id, status in list_changes:
        simulation.schedule(
            at_ms / 1000,
            TargetListUpdate(
                TargetListKind.DELTA, (make_target(target_id, zone=target_id % 2, status=status),)
            ),
        )
    simulation.run(results)
    return simulation


# Hypothesis derives its seed from the name and body of this test.
@pytest.mark.parametrize("scheduler_settings", SETTINGS.values(), ids=SETTINGS.keys())
@hypothesis_settings(max_examples=60, deadline=None, derandomize=True, database=None)
@given(arrivals=st.lists(ARRIVAL, min_size=1, max_size=60), results=RESULTS, list_changes=LIST_CHANGES)
def test_rules_are_kept(scheduler_settings, arrivals, results, list_changes):
    play(Scheduler(scheduler_settings, 3, 0.0), scheduler_settings, arrivals, results, list_changes)


def identical_arrivals(count: int, **changes: object) -> list[tuple]:
    arrival = {
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
    return [tuple(arrival.values())] * count


class FaultyScheduler:
    """A scheduler with a deliberate fault; it sends each request immediately to the target of its shard."""

    def __init__(self, fault: str) -> None:
        self.fault = fault

    def handle(self, now: float, events: list[Event]) -> list[Action]:
        actions: list[Action] = []
        for event in events:
            if isinstance(event, Request) and self.fault != "never responds":
                actions.append(StartAttempt(event.request_id, event.shard, None))
            elif isinstance(event, AttemptFinished) and not event.request_done:
                if self.fault == "rejects after errors":
                    actions.append(Reject(event.request_id, 0.0))
                elif self.fault == "repeats after errors":
                    actions.append(StartAttempt(event.request_id, event.target_id, None))
                else:
                    actions.append(Fail(event.request_id))
            elif isinstance(event, AttemptFinished) and self.fault == "responds twice":
                actions.append(Fail(event.request_id))
        return actions


@pytest.mark.parametrize(
    ("fault", "arrivals", "result", "list_changes", "violated_rule"),
    [
        ("never responds", identical_arrivals(1), AttemptStatus.OK, [], "1: no final response"),
        ("responds twice", identical_arrivals(1), AttemptStatus.OK, [], "1: second final response"),
        ("rejects after errors", identical_arrivals(1, cls=3), AttemptStatus.ERROR, [], "2: rejected"),
        ("repeats after errors", identical_arrivals(1, cls=3), AttemptStatus.ERROR, [], "2: unsafe"),
        ("repeats after errors", identical_arrivals(1, cls=1), AttemptStatus.ERROR, [], "2: keyed"),
        (
            "ignores draining",
            identical_arrivals(900),
            AttemptStatus.REJECTED,
            [(1, 1, TargetStatus.DRAINING)],
            "3: ",
        ),
        ("ignores slow start", identical_arrivals(20, shard=3), AttemptStatus.REJECTED, [], "4: "),
        ("ignores order", identical_arrivals(2, cls=4), AttemptStatus.OK, [], "5: out of order"),
        ("repeats after errors", identical_arrivals(2, time_remaining=3.0), AttemptStatus.ERROR, [], "6: "),
        ("ignores limits", identical_arrivals(40), AttemptStatus.OK, [], "7: "),
    ],
)
def test_the_checker_detects_a_faulty_scheduler(fault, arrivals, result, list_changes, violated_rule):
    scheduler_settings = SETTINGS["everything"]
    if violated_rule == "3: ":
        scheduler_settings = SETTINGS["one unsafe class"]
    latency = 0.7 if violated_rule == "2: keyed" else 0.1
    with pytest.raises(RuleViolationError, match=violated_rule):
        play(FaultyScheduler(fault), scheduler_settings, arrivals, [(result, latency)], list_changes)
