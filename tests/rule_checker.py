"""A small world for one gateway and a checker of the seven rules, both for the property tests."""

from __future__ import annotations

import heapq
from collections import defaultdict

from stalltiller.scheduling import (
    Action,
    ClientGone,
    Effect,
    Event,
    Fail,
    ListKind,
    NodeEntry,
    NodeList,
    NodeState,
    Outcome,
    Refuse,
    Request,
    Scope,
    Send,
    SetTimer,
    Settings,
    Status,
    TimerFired,
)
from tests.helpers import entry

NEVER_RAN = (Status.FULL, Status.CONNECT_FAILED, Status.MOOT)
UNSURE_END = (Status.TIMEOUT, Status.RESET, Status.CANCELLED)
SLACK = 1e-6


class RuleBroken(AssertionError):
    """A rule of the wire was broken; the text names it."""


def must(kept: bool, rule: str) -> None:
    if not kept:
        raise RuleBroken(rule)


class Checker:
    """Follows one life of a gateway and raises at the first broken rule."""

    def __init__(self, settings: Settings) -> None:
        self.s = settings
        self.open: dict[int, tuple[float, Request]] = {}  # id -> deadline, request
        self.seen: dict[int, Request] = {}
        self.attempts: dict[int, list[dict]] = defaultdict(list)
        self.told: dict[int, float] = {}  # node -> when told that it drains or is gone
        self.entries: dict[int, NodeEntry] = {}
        self.drawn: dict[int, float] = defaultdict(float)
        self.cold_sent: dict[int, list[tuple[float, float]]] = defaultdict(list)
        self.cold_served: dict[int, list[tuple[float, float]]] = defaultdict(list)
        self.lines: dict[int, list[int]] = defaultdict(list)
        self.rest: dict[int, float] = {}
        self.taken: list[float] = []
        self.extra: list[float] = []

    def on_list(self, now: float, news: NodeList) -> None:
        for line in news.entries:
            self.entries[line.node] = line
            if line.state is NodeState.READY:
                self.told.pop(line.node, None)
            else:
                self.told.setdefault(line.node, now)

    def on_request(self, now: float, r: Request) -> None:
        self.open[r.id] = (now + r.left, r)
        self.seen[r.id] = r
        self.taken.append(now)
        if self.s.classes[r.cls].in_order and r.key:
            self.lines[r.key].append(r.id)

    def on_end(self, now: float, number: int) -> None:
        """A final answer, or a client that left."""
        deadline, _ = self.open.pop(number)
        must(now <= deadline + self.s.rules.answer_slack + SLACK, "1: answered too late")

    def on_outcome(self, now: float, o: Outcome) -> None:
        r = self.seen[o.id]
        self.attempts[o.id][o.attempt]["status"] = o.status
        if o.status in UNSURE_END and self.s.classes[r.cls].in_order and r.key:
            self.rest[r.key] = now + (self.s.rules.order_pause or 0.0)
        if o.status is Status.OK:
            self.cold_served[o.node].append((now, r.units))

    def maybe_ran(self, number: int) -> list[dict]:
        return [a for a in self.attempts[number] if a["status"] not in NEVER_RAN]

    def on_action(self, now: float, action: Action) -> None:
        if isinstance(action, Refuse):
            must(action.id in self.open, "1: answered twice")
            self._refusal(action.id)
            self.on_end(now, action.id)
        elif isinstance(action, Fail):
            must(action.id in self.open, "1: answered twice")
            self.on_end(now, action.id)
        elif isinstance(action, Send):
            must(action.id in self.open, "1: sent after its end")
            self._send(now, action)

    def _refusal(self, number: int) -> None:
        cls = self.s.classes[self.seen[number].cls]
        harmless = cls.effect is Effect.SAFE or (cls.effect is Effect.KEYED and cls.scope is Scope.ALL)
        must(harmless or not self.maybe_ran(number), "2: refused though it may have run")

    def _send(self, now: float, send: Send) -> None:
        r = self.seen[send.id]
        cls, rules = self.s.classes[r.cls], self.s.rules
        before = self.maybe_ran(send.id)
        if before and cls.effect is not Effect.SAFE:
            must(cls.effect is Effect.KEYED, "2: unsafe sent again")
            must(now <= before[0]["at"] + cls.keep, "2: keyed sent after its repeats are forgotten")
            here, first = self.entries[send.node], self.entries[before[0]["node"]]
            must(
                cls.scope is Scope.ALL
                or (cls.scope is Scope.ZONE and here.zone == first.zone)
                or here.cell == first.cell,
                "2: keyed left its group",
            )
        must(self.s.may_copy or all(a["status"] for a in self.attempts[send.id]), "2: two at once")
        if send.node in self.told:
            must(now <= self.told[send.node] + rules.drain_grace, "3: sent to a draining node")
        started = self.entries[send.node].started
        if started is not None and now - started < rules.cold_time:
            self.cold_sent[send.node].append((now, r.units))
            self._cold(now, send.node, now - started)
        if cls.in_order and r.key:
            for earlier in self.lines[r.key][: self.lines[r.key].index(r.id)]:
                idle = all(a["status"] for a in self.attempts[earlier])
                must(earlier not in self.open and idle, "5: out of order")
            must(now >= self.rest.get(r.key, now), "5: the key rests")
        if self.attempts[send.id] and rules.budget_window is not None:
            self.extra.append(now)
            start = now - rules.budget_window
            room = rules.budget_free + rules.budget_share * sum(t > start for t in self.taken)
            must(sum(t > start for t in self.extra) <= room + SLACK, "6: budget passed")
        plan = self.s.plans[r.plan]
        if plan.limit > 0 and not self.attempts[send.id]:
            self.drawn[r.volume] += r.units
            bound = (plan.burst + plan.limit * now + plan.slack) / r.hosts
            must(self.drawn[r.volume] <= bound + SLACK, "7: limit passed")
        self.attempts[send.id].append({"at": now, "node": send.node, "status": None})

    def _cold(self, now: float, node: int, age: float) -> None:
        """The part of one gateway of what its fellow gateways may send as well."""
        rules, since = self.s.rules, now - self.s.rules.tip_time
        sent = sum(u for t, u in self.cold_sent[node] if t > since)
        served = sum(u for t, u in self.cold_served[node] if t > since)
        share = rules.cold_share + (1 - rules.cold_share) * age / rules.cold_time
        bound = self.s.cold_units * share / rules.cold_share / self.s.gateways + served
        must(sent <= bound + SLACK, "4: cold node pushed")

    def on_clock(self, now: float) -> None:
        for deadline, _ in self.open.values():
            must(now <= deadline + self.s.rules.answer_slack + SLACK, "1: not answered")


class World:
    """Feeds a scheduler arrivals and fates; attempts end as the fates say, at their expiry at the latest."""

    def __init__(self, scheduler: object, settings: Settings) -> None:
        self.scheduler, self.s = scheduler, settings
        self.checker = Checker(settings)
        self.heap: list[tuple[float, int, object]] = []
        self.count = 0
        self.fates: list[tuple[Status, float]] = []
        self.streams: set[int] = set()

    def push(self, at: float, item: object) -> None:
        self.count += 1
        heapq.heappush(self.heap, (at, self.count, item))

    def run(self, fates: list[tuple[Status, float]]) -> Checker:
        self.fates = fates
        while self.heap:
            now, _, item = heapq.heappop(self.heap)
            self.checker.on_clock(now - SLACK)
            events = self._events(now, item)
            for action in self.scheduler.handle(now, events) if events else []:
                self._act(now, action)
        self.checker.on_clock(1e9)
        return self.checker

    def _events(self, now: float, item: object) -> list[Event]:
        if isinstance(item, Request):
            self.checker.on_request(now, item)
        elif isinstance(item, NodeList):
            self.checker.on_list(now, item)
        elif isinstance(item, ClientGone):
            if item.id not in self.checker.open:
                return []
            self.checker.on_end(now, item.id)
        elif isinstance(item, Outcome):
            is_open = item.id in self.checker.open
            over = not is_open or item.status is Status.OK
            item = Outcome(
                item.id,
                item.attempt,
                item.node,
                item.status,
                item.took,
                over,
                item.use,
                item.others,
                item.report,
            )
            self.checker.on_outcome(now, item)
            if is_open and over:
                self.checker.on_end(now, item.id)
        return [item]

    def _act(self, now: float, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.push(now + action.delay, TimerFired(action.token))
        elif isinstance(action, Send):
            attempt = len(self.checker.attempts[action.id])
            deadline = self.checker.open[action.id][0] if action.id in self.checker.open else now
            self.checker.on_action(now, action)
            expiry = min(deadline, deadline if action.expires is None else action.expires)
            status, took = self.fates[(action.id * 7 + attempt) % len(self.fates)]
            if now + took > expiry:
                status, took = Status.TIMEOUT, max(0.0, expiry - now)
            self.push(
                now + took,
                Outcome(action.id, attempt, action.node, status, took, False, None, 1.0, ()),
            )
        else:
            self.checker.on_action(now, action)


def nodes(count: int, cold: int, now: float) -> NodeList:
    """Nodes in two zones; the last few have just started."""
    return NodeList(
        ListKind.CACHED,
        tuple(entry(i, zone=i % 2, cell=i, started=now if i >= count - cold else None) for i in range(count)),
    )
