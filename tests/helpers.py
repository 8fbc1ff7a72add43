"""Builders and a small driver shared by the tests.  The figures belong to no deployment."""

from __future__ import annotations

from dataclasses import replace

from stalltiller.scheduling import (
    Action,
    Effect,
    Event,
    ListKind,
    NodeEntry,
    NodeList,
    NodeState,
    Outcome,
    Plan,
    Request,
    RequestClass,
    Rules,
    Scope,
    Send,
    SetTimer,
    Settings,
    Status,
    TimerFired,
)
from stalltiller.scheduling.scheduler import Scheduler


def request_class(**changes: object) -> RequestClass:
    base = RequestClass("read", 1.0, 3.0, 1.0, 0.1, Effect.SAFE, Scope.ALL, 2.0, False, False, False)
    return replace(base, **changes)


def plan(**changes: object) -> Plan:
    return replace(Plan("plan", 10.0, 5.0, 1.0, 1.0, 0.0, 0.0, 0.0), **changes)


def rules(**changes: object) -> Rules:
    base = Rules(0.01, 1.0, 0.25, 12.0, 2.0, 2.0, None, None, None, None, None)
    return replace(base, **changes)


def settings(**changes: object) -> Settings:
    base = Settings(
        gateway=0,
        gateways=2,
        zone=0,
        tick=0.001,
        classes=(request_class(),),
        plans=(plan(),),
        rules=rules(),
        mean_units=2.0,
        largest_units=8.0,
        cold_units=40.0,
        share_worth=0.5,
        spare_worth=0.1,
        meter_period=0.0,
        others_told=False,
        list_pushed=True,
        report_fields=(),
        reports_in_answers=False,
        may_probe=False,
        may_message=False,
        may_cancel=True,
        may_copy=False,
        may_advise=True,
        max_advice=1.5,
        max_attempts=3,
        retries_marked=False,
    )
    return replace(base, **changes)


def entry(node: int, **changes: object) -> NodeEntry:
    base = NodeEntry(node, 0, 0, node, NodeState.READY, 1.0, None)
    return replace(base, **changes)


def request(number: int, **changes: object) -> Request:
    base = Request(number, 0, 0, 1, 2.0, 1, 0, 1, False, False, 3.0)
    return replace(base, **changes)


def outcome(number: int, node: int = 1, status: Status = Status.OK, **changes: object) -> Outcome:
    base = Outcome(number, 0, node, status, 0.05, status is Status.OK, None, 0.0, ())
    return replace(base, **changes)


class Gateway:
    """A scheduler with a list of ready nodes, and short ways to feed it."""

    def __init__(self, nodes: tuple[NodeEntry, ...] = (entry(1),), **changes: object) -> None:
        self.scheduler = Scheduler(settings(**changes), 7, 0.0)
        self.feed(0.0, NodeList(ListKind.CACHED, nodes))

    def feed(self, now: float, *events: Event) -> list[Action]:
        """All actions but the timers."""
        actions = self.scheduler.handle(now, list(events))
        return [action for action in actions if not isinstance(action, SetTimer)]

    def poll(self, now: float) -> list[Action]:
        """Let the scheduler look at what waits."""
        return self.feed(now, TimerFired(1))

    def sends(self, now: float, *events: Event) -> list[int]:
        return [a.id for a in self.feed(now, *events) if isinstance(a, Send)]
