"""Builders and a small driver shared by the tests.  The figures belong to no deployment."""

from __future__ import annotations

from dataclasses import replace

from stalltiller import interface as api
from stalltiller.logic import Scheduler


def request_class(**changes: object) -> api.RequestClass:
    base = api.RequestClass(
        "read", 1.0, 3.0, 1.0, 0.1, api.Effect.SAFE, api.Scope.ALL, 2.0, False, False, False
    )
    return replace(base, **changes)


def plan(**changes: object) -> api.Plan:
    return replace(api.Plan("plan", 10.0, 5.0, 1.0, 1.0, 0.0, 0.0, 0.0), **changes)


def rules(**changes: object) -> api.Rules:
    base = api.Rules(0.01, 1.0, 0.25, 12.0, 2.0, 2.0, None, None, None, None, None)
    return replace(base, **changes)


def settings(**changes: object) -> api.Settings:
    base = api.Settings(
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


def entry(node: int, **changes: object) -> api.NodeEntry:
    base = api.NodeEntry(node, 0, 0, node, api.NodeState.READY, 1.0, None)
    return replace(base, **changes)


def request(number: int, **changes: object) -> api.Request:
    base = api.Request(number, 0, 0, 1, 2.0, 1, 0, 1, False, False, 3.0)
    return replace(base, **changes)


def outcome(number: int, node: int = 1, status: api.Status = api.Status.OK, **changes: object) -> api.Outcome:
    base = api.Outcome(number, 0, node, status, 0.05, status is api.Status.OK, None, 0.0, ())
    return replace(base, **changes)


class Gateway:
    """A scheduler with a list of ready nodes, and short ways to feed it."""

    def __init__(self, nodes: tuple[api.NodeEntry, ...] = (entry(1),), **changes: object) -> None:
        self.scheduler = Scheduler(settings(**changes), 7, 0.0)
        self.feed(0.0, api.NodeList(api.ListKind.CACHED, nodes))

    def feed(self, now: float, *events: api.Event) -> list[api.Action]:
        """All actions but the timers."""
        actions = self.scheduler.handle(now, list(events))
        return [action for action in actions if not isinstance(action, api.SetTimer)]

    def poll(self, now: float) -> list[api.Action]:
        """Let the scheduler look at what waits."""
        return self.feed(now, api.TimerFired(1))

    def sends(self, now: float, *events: api.Event) -> list[int]:
        return [a.id for a in self.feed(now, *events) if isinstance(a, api.Send)]
