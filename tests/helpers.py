"""Builders and a scheduler harness shared by the tests.  The default values describe no deployment."""

from __future__ import annotations

from dataclasses import replace

from stalltiller.scheduling import (
    Action,
    AttemptFinished,
    AttemptStatus,
    DeduplicationScope,
    Event,
    Idempotency,
    Plan,
    Request,
    RequestClass,
    Rules,
    SetTimer,
    Settings,
    StartAttempt,
    Target,
    TargetListKind,
    TargetListUpdate,
    TargetStatus,
    TimerFired,
)
from stalltiller.scheduling.scheduler import Scheduler


def request_class(**changes: object) -> RequestClass:
    base = RequestClass(
        "read", 1.0, 3.0, 1.0, 0.1, Idempotency.SAFE, DeduplicationScope.ALL, 2.0, False, False, False
    )
    return replace(base, **changes)


def plan(**changes: object) -> Plan:
    return replace(Plan("plan", 10.0, 5.0, 1.0, 1.0, 0.0, 0.0, 0.0), **changes)


def rules(**changes: object) -> Rules:
    base = Rules(0.01, 1.0, 0.25, 12.0, 2.0, 2.0, None, None, None, None, None)
    return replace(base, **changes)


def settings(**changes: object) -> Settings:
    base = Settings(
        initiator_index=0,
        initiator_count=2,
        zone=0,
        tick=0.001,
        classes=(request_class(),),
        plans=(plan(),),
        rules=rules(),
        mean_units=2.0,
        max_units=8.0,
        slow_start_units=40.0,
        within_share_weight=0.5,
        beyond_share_weight=0.1,
        meter_period=0.0,
        other_usage_reported=False,
        list_pushed=True,
        report_fields=(),
        reports_in_answers=False,
        may_probe=False,
        may_message=False,
        may_cancel=True,
        may_hedge=False,
        may_send_retry_after=True,
        max_retry_after=1.5,
        max_attempts=3,
        retries_marked=False,
    )
    return replace(base, **changes)


def make_target(target_id: int, **changes: object) -> Target:
    base = Target(target_id, 0, 0, target_id, TargetStatus.READY, 1.0, None)
    return replace(base, **changes)


def request(number: int, **changes: object) -> Request:
    base = Request(number, 0, 0, 1, 2.0, 1, 0, 1, False, False, 3.0)
    return replace(base, **changes)


def attempt_finished(
    number: int, target_id: int = 1, status: AttemptStatus = AttemptStatus.OK, **changes: object
) -> AttemptFinished:
    base = AttemptFinished(number, 0, target_id, status, 0.05, status is AttemptStatus.OK, None, 0.0, ())
    return replace(base, **changes)


class SchedulerHarness:
    """A scheduler with a list of ready targets, and shortcuts to pass events to it."""

    def __init__(self, targets: tuple[Target, ...] = (make_target(1),), **changes: object) -> None:
        self.scheduler = Scheduler(settings(**changes), 7, 0.0)
        self.handle(0.0, TargetListUpdate(TargetListKind.CACHED, targets))

    def handle(self, now: float, *events: Event) -> list[Action]:
        """Handle events and return the actions except timers."""
        actions = self.scheduler.handle(now, list(events))
        return [action for action in actions if not isinstance(action, SetTimer)]

    def poll(self, now: float) -> list[Action]:
        """Let the scheduler's poll timer expire."""
        return self.handle(now, TimerFired(1))

    def started_request_ids(self, now: float, *events: Event) -> list[int]:
        """Handle events and return the ids of the requests that an attempt starts for."""
        return [a.request_id for a in self.handle(now, *events) if isinstance(a, StartAttempt)]
