"""Regression test: the same events and seed give the same actions as commit f5167fe.

The scenarios cover what simulated days do not reach: messages among schedulers, polled target lists, keyed
and ordered classes, changed settings, warming targets, retry budgets and metered usage.  The digests are in
`fixtures/decision_digests.json`, generated at f5167fe by `python -m tests.test_decision_digest`.  They change
with an intended change of decisions only, not with a rename.
"""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from stalltiller.scheduling import (
    AttemptStatus,
    DeduplicationScope,
    Idempotency,
    Target,
    TargetListKind,
    TargetListUpdate,
    TargetStatus,
)
from tests.decision_world import Scenario, World
from tests.helpers import make_target, plan, request_class, rules, settings

DIGESTS = Path(__file__).parent / "fixtures" / "decision_digests.json"
SEEDS = (1, 2, 3)
READY, DRAINING, REMOVED = TargetStatus.READY, TargetStatus.DRAINING, TargetStatus.REMOVED
TARGETS = tuple(make_target(number, shard=number % 3, zone=number % 2) for number in range(1, 7))
FAILURES = (
    (AttemptStatus.REJECTED, 0.08),
    (AttemptStatus.CONNECT_FAILED, 0.04),
    (AttemptStatus.RESET, 0.06),
    (AttemptStatus.TIMEOUT, 0.06),
    (AttemptStatus.NOT_STARTED, 0.03),
    (AttemptStatus.ERROR, 0.03),
)
LIMITED = (
    plan(name="gold", limit=90.0, burst=90.0, price_weight=4.0),
    plan(name="bronze", limit=60.0, burst=60.0, weight=0.5),
)
CLASSES = (
    request_class(name="read", priority_weight=2.0),
    request_class(name="list", latency_objective=0.3, deadline=1.0, priority_weight=0.5),
    request_class(name="write", idempotency=Idempotency.UNSAFE, is_write=True),
)
KEYED = tuple(
    request_class(
        name=scope.value,
        idempotency=Idempotency.IDEMPOTENCY_KEY,
        deduplication_scope=scope,
        deduplication_window=window,
        is_write=True,
    )
    for scope, window in (
        (DeduplicationScope.ALL, 2.0),
        (DeduplicationScope.ZONE, 2.0),
        (DeduplicationScope.SHARD, 2.0),
        (DeduplicationScope.ALL, 0.1),
    )
)
ORDERED = (
    request_class(name="append", idempotency=Idempotency.IDEMPOTENCY_KEY, in_order=True, is_write=True),
    request_class(name="log", idempotency=Idempotency.UNSAFE, in_order=True, is_write=True),
    request_class(name="scan", in_order=True),
)
STREAMED = (request_class(name="stream", streaming=True), request_class(name="read", latency_objective=0.4))


def list_update(kind: TargetListKind, *entries: Target) -> TargetListUpdate:
    return TargetListUpdate(kind, entries)


def tokens() -> Scenario:
    """Three schedulers borrow tokens from each other; volumes are removed in a long pause of the load."""
    return Scenario(
        frozenset({"send", "refuse", "ask", "ask all", "grant", "tokens granted", "timer"}),
        settings(may_message=True, classes=CLASSES, plans=LIMITED),
        scheduler_count=3,
        targets=TARGETS,
        arrivals=((0.0, 6.0, 120.0), (36.5, 39.0, 120.0)),
        is_skewed=True,
    )


def tokens_handed_over() -> Scenario:
    """Tokens accrue only from the activation to the deactivation of a scheduler."""
    return Scenario(
        frozenset({"send", "refuse", "ask", "grant", "tokens granted"}),
        settings(may_message=True, classes=CLASSES, plans=LIMITED),
        scheduler_count=2,
        targets=TARGETS,
        is_skewed=True,
        failure_fractions=FAILURES,
        activate_at=0.5,
        deactivate_at=3.0,
    )


def polled() -> Scenario:
    """The target list is not pushed, and its watch fails often."""
    return Scenario(
        frozenset({"watch", "watch timer", "send", "refuse"}),
        settings(list_pushed=False, rules=rules(list_poll_interval=0.5), classes=CLASSES),
        targets=TARGETS,
    )


def keyed() -> Scenario:
    """Requests with idempotency keys of each deduplication scope are retried where that is safe."""
    return Scenario(
        frozenset({"send", "retry", "refuse", "fail"}),
        settings(classes=(*KEYED, *CLASSES), max_attempts=4),
        targets=TARGETS,
        failure_fractions=FAILURES,
        list_updates=(
            (3.0, list_update(TargetListKind.DELTA, make_target(3, shard=0, zone=1, status=DRAINING))),
        ),
    )


def ordered() -> Scenario:
    """Requests of one key run one at a time, with a pause after a possibly executed attempt."""
    return Scenario(
        frozenset({"send", "retry", "refuse", "fail", "timer"}),
        settings(classes=ORDERED, rules=rules(ordering_pause=0.2)),
        targets=TARGETS,
        failure_fractions=FAILURES,
        arrivals=((0.0, 6.0, 40.0),),
    )


def streamed() -> Scenario:
    """Responses are streamed; attempts without a response are cancelled."""
    return Scenario(
        frozenset({"send", "retry", "cancel", "refuse"}),
        settings(classes=STREAMED),
        targets=TARGETS[:3],
        arrivals=((0.0, 6.0, 120.0),),
        unanswered_fraction=0.05,
        disconnecting_fraction=0.15,
    )


def updated() -> Scenario:
    """Changed settings add, remove, reorder and change classes and plans."""
    changed_settings = settings(
        classes=(
            request_class(name="write", idempotency=Idempotency.UNSAFE, latency_objective=0.4),
            *CLASSES[:1],
        ),
        plans=(plan(name="silver", rate=3.0), plan(name="gold", limit=20.0, burst=30.0), LIMITED[1]),
        max_attempts=1,
        may_send_retry_after=False,
    )
    last_settings = settings(
        classes=KEYED[:2], plans=LIMITED[:1], max_attempts=5, mean_units=5.0, max_units=6.0
    )
    return Scenario(
        frozenset({"send", "retry", "refuse", "fail"}),
        settings(classes=CLASSES, plans=LIMITED),
        targets=TARGETS,
        failure_fractions=FAILURES,
        settings_changes=((2.0, changed_settings), (4.0, last_settings)),
    )


def cold() -> Scenario:
    """Targets that have just started, drain, are removed or restart."""
    started = tuple(
        make_target(number, shard=number % 3, started_at=0.4 * number - 1.0) for number in range(4, 7)
    )
    return Scenario(
        frozenset({"send", "retry", "refuse"}),
        settings(classes=CLASSES, slow_start_units=20.0),
        scheduler_count=3,
        targets=(*TARGETS[:1], *started),
        failure_fractions=FAILURES,
        arrivals=((0.0, 8.0, 120.0),),
        list_updates=(
            (2.0, list_update(TargetListKind.DELTA, make_target(1, shard=1, status=DRAINING))),
            (
                3.0,
                list_update(
                    TargetListKind.DELTA,
                    make_target(4, shard=1, status=REMOVED),
                    make_target(9, shard=2, started_at=3.0),
                ),
            ),
            (4.0, list_update(TargetListKind.FULL, *started[1:], make_target(1, shard=1, started_at=4.0))),
            (5.0, list_update(TargetListKind.CACHED, *started, make_target(9, shard=2, started_at=5.0))),
        ),
    )


def fraction_of_budget(target: str, needed: float) -> float:
    """Return the fraction of a warming target's budget that a fleet would allow a member."""
    return min(1.0, needed) / (2 + int(target) % 2)


def cold_in_fleet() -> Scenario:
    """A fleet divides the budgets of warming targets among its members."""
    targets = tuple(make_target(number, shard=number % 2, started_at=-0.5 * number) for number in range(1, 5))
    return Scenario(
        frozenset({"send", "refuse"}),
        settings(classes=CLASSES, slow_start_units=20.0),
        scheduler_count=2,
        targets=targets,
        budget_fraction=fraction_of_budget,
    )


def budgets() -> Scenario:
    """Retries are bounded by a base and a fraction of the accepted requests."""
    return Scenario(
        frozenset({"send", "retry", "refuse", "fail"}),
        settings(
            classes=CLASSES,
            rules=rules(retry_budget_base=2.0, retry_budget_fraction=0.05, retry_budget_window=1.0),
        ),
        targets=TARGETS,
        failure_fractions=FAILURES,
    )


def metered() -> Scenario:
    """Results report a volume's usage, and targets are overloaded: grants and reservations take effect."""
    plans = (
        plan(name="gold", rate=60.0, reservation=30.0, weight=3.0, price_weight=3.0),
        plan(name="bronze"),
    )
    return Scenario(
        frozenset({"send", "refuse"}),
        settings(classes=CLASSES, plans=plans, other_usage_reported=False),
        scheduler_count=2,
        targets=TARGETS[:3],
        arrivals=((0.0, 8.0, 150.0),),
        is_metered=True,
        base_latency=0.08,
        latency_per_attempt=0.03,
    )


def others_told() -> Scenario:
    """Like `metered`, but results report the units of other initiators."""
    base = metered()
    return Scenario(
        base.expected_notes,
        settings(classes=CLASSES, plans=base.settings.plans, other_usage_reported=True),
        scheduler_count=2,
        targets=base.targets,
        arrivals=base.arrivals,
        is_metered=True,
        base_latency=base.base_latency,
        latency_per_attempt=base.latency_per_attempt,
    )


def tokens_among_many() -> Scenario:
    """More schedulers than the maximum number of receivers of a token request."""
    return Scenario(
        frozenset({"send", "refuse", "ask", "ask all", "grant", "tokens granted"}),
        settings(may_message=True, classes=CLASSES, plans=LIMITED, max_units=4.0),
        scheduler_count=6,
        targets=TARGETS,
        arrivals=((0.0, 5.0, 150.0),),
        is_skewed=True,
    )


def congested() -> Scenario:
    """Slow targets have less capacity than volumes request: grants are cut by weight and reservation."""
    plans = (
        plan(name="gold", rate=80.0, reservation=40.0, weight=3.0, price_weight=3.0),
        plan(name="silver", rate=60.0, reservation=10.0),
        plan(name="bronze", rate=40.0, reservation=0.0, weight=0.5),
    )
    return Scenario(
        frozenset({"send", "refuse"}),
        settings(classes=(*CLASSES, *KEYED[:1]), plans=plans, mean_units=0.5, max_units=2.0),
        targets=TARGETS[:2],
        arrivals=((0.0, 4.0, 120.0), (6.0, 8.0, 20.0), (9.0, 12.0, 250.0), (15.0, 18.0, 200.0)),
        base_latency=0.06,
        latency_per_attempt=0.004,
    )


def fast() -> Scenario:
    """Many requests at fast targets: concurrency limits grow to their maximum."""
    return Scenario(
        frozenset({"send", "refuse"}),
        settings(classes=(*CLASSES, *KEYED[:1])),
        targets=TARGETS[:2],
        arrivals=((0.0, 2.0, 600.0),),
        latency_per_attempt=0.0,
    )


def rejecting() -> Scenario:
    """Targets, some of them warming up, reject most attempts."""
    targets = (
        make_target(1),
        make_target(2, shard=1),
        make_target(3, shard=1, started_at=-1.0),
        make_target(4, shard=2, started_at=0.0),
    )
    return Scenario(
        frozenset({"send", "retry", "refuse"}),
        settings(classes=(*CLASSES, *KEYED[:1]), max_attempts=5, slow_start_units=60.0),
        targets=targets,
        arrivals=((0.0, 8.0, 100.0),),
        failure_fractions=((AttemptStatus.REJECTED, 0.6), (AttemptStatus.CONNECT_FAILED, 0.1)),
    )


SCENARIOS = (
    tokens,
    tokens_handed_over,
    polled,
    keyed,
    ordered,
    streamed,
    updated,
    cold,
    cold_in_fleet,
    budgets,
    metered,
    others_told,
    tokens_among_many,
    congested,
    fast,
    rejecting,
)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.__name__)
def test_decisions_are_those_of_f5167fe(scenario, seed):
    world = World(scenario(), seed)
    digest = world.run()
    assert world.scenario.expected_notes <= {note for note, count in world.notes.items() if count}
    assert digest == json.loads(DIGESTS.read_text())[f"{scenario.__name__} {seed}"]


def test_each_digest_belongs_to_a_scenario():
    names = {f"{scenario.__name__} {seed}" for scenario in SCENARIOS for seed in SEEDS}
    digests = json.loads(DIGESTS.read_text())
    assert digests.keys() == names
    assert len(set(digests.values())) == len(names)


def write_digests() -> None:
    """Write the digests of the current code.  Generated at f5167fe; rerun only for a change of decisions."""
    digests = {
        f"{scenario.__name__} {seed}": World(scenario(), seed).run()
        for scenario in SCENARIOS
        for seed in SEEDS
    }
    DIGESTS.write_text(json.dumps(digests, indent=2) + "\n")


if __name__ == "__main__":
    write_digests()
