"""A small world for one gateway and a checker of the seven rules, both for the property tests."""

from __future__ import annotations

import heapq
from collections import defaultdict

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
    SetTimer,
    Settings,
    StartAttempt,
    Target,
    TargetListKind,
    TargetListUpdate,
    TargetStatus,
    TimerFired,
)
from tests.helpers import entry

NEVER_RAN = (AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_STARTED)
UNSURE_END = (AttemptStatus.TIMEOUT, AttemptStatus.RESET, AttemptStatus.CANCELLED)
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
        self.entries: dict[int, Target] = {}
        self.drawn: dict[int, float] = defaultdict(float)
        self.cold_sent: dict[int, list[tuple[float, float]]] = defaultdict(list)
        self.cold_served: dict[int, list[tuple[float, float]]] = defaultdict(list)
        self.lines: dict[int, list[int]] = defaultdict(list)
        self.rest: dict[int, float] = {}
        self.taken: list[float] = []
        self.extra: list[float] = []

    def on_list(self, now: float, news: TargetListUpdate) -> None:
        for line in news.targets:
            self.entries[line.target_id] = line
            if line.status is TargetStatus.READY:
                self.told.pop(line.target_id, None)
            else:
                self.told.setdefault(line.target_id, now)

    def on_request(self, now: float, r: Request) -> None:
        self.open[r.request_id] = (now + r.time_remaining, r)
        self.seen[r.request_id] = r
        self.taken.append(now)
        if self.s.classes[r.class_index].in_order and r.idempotency_key:
            self.lines[r.idempotency_key].append(r.request_id)

    def on_end(self, now: float, number: int) -> None:
        """A final answer, or a client that left."""
        deadline, _ = self.open.pop(number)
        must(now <= deadline + self.s.rules.answer_slack + SLACK, "1: answered too late")

    def on_outcome(self, now: float, o: AttemptFinished) -> None:
        r = self.seen[o.request_id]
        self.attempts[o.request_id][o.attempt_number]["status"] = o.status
        if o.status in UNSURE_END and self.s.classes[r.class_index].in_order and r.idempotency_key:
            self.rest[r.idempotency_key] = now + (self.s.rules.ordering_pause or 0.0)
        if o.status is AttemptStatus.OK:
            self.cold_served[o.target_id].append((now, r.units))

    def maybe_ran(self, number: int) -> list[dict]:
        return [a for a in self.attempts[number] if a["status"] not in NEVER_RAN]

    def on_action(self, now: float, action: Action) -> None:
        if isinstance(action, Reject):
            must(action.request_id in self.open, "1: answered twice")
            self._refusal(action.request_id)
            self.on_end(now, action.request_id)
        elif isinstance(action, Fail):
            must(action.request_id in self.open, "1: answered twice")
            self.on_end(now, action.request_id)
        elif isinstance(action, StartAttempt):
            must(action.request_id in self.open, "1: sent after its end")
            self._send(now, action)

    def _refusal(self, number: int) -> None:
        cls = self.s.classes[self.seen[number].class_index]
        harmless = cls.idempotency is Idempotency.SAFE or (
            cls.idempotency is Idempotency.IDEMPOTENCY_KEY
            and cls.deduplication_scope is DeduplicationScope.ALL
        )
        must(harmless or not self.maybe_ran(number), "2: refused though it may have run")

    def _send(self, now: float, send: StartAttempt) -> None:
        r = self.seen[send.request_id]
        cls, rules = self.s.classes[r.class_index], self.s.rules
        before = self.maybe_ran(send.request_id)
        if before and cls.idempotency is not Idempotency.SAFE:
            must(cls.idempotency is Idempotency.IDEMPOTENCY_KEY, "2: unsafe sent again")
            must(
                now <= before[0]["at"] + cls.deduplication_window,
                "2: keyed sent after its repeats are forgotten",
            )
            here, first = self.entries[send.target_id], self.entries[before[0]["node"]]
            must(
                cls.deduplication_scope is DeduplicationScope.ALL
                or (cls.deduplication_scope is DeduplicationScope.ZONE and here.zone == first.zone)
                or here.shard == first.shard,
                "2: keyed left its group",
            )
        must(self.s.may_hedge or all(a["status"] for a in self.attempts[send.request_id]), "2: two at once")
        if send.target_id in self.told:
            must(now <= self.told[send.target_id] + rules.drain_grace, "3: sent to a draining node")
        started = self.entries[send.target_id].started_at
        if started is not None and now - started < rules.slow_start_duration:
            self.cold_sent[send.target_id].append((now, r.units))
            self._cold(now, send.target_id, now - started)
        if cls.in_order and r.idempotency_key:
            for earlier in self.lines[r.idempotency_key][: self.lines[r.idempotency_key].index(r.request_id)]:
                idle = all(a["status"] for a in self.attempts[earlier])
                must(earlier not in self.open and idle, "5: out of order")
            must(now >= self.rest.get(r.idempotency_key, now), "5: the key rests")
        if self.attempts[send.request_id] and rules.retry_budget_window is not None:
            self.extra.append(now)
            start = now - rules.retry_budget_window
            room = rules.retry_budget_base + rules.retry_budget_fraction * sum(t > start for t in self.taken)
            must(sum(t > start for t in self.extra) <= room + SLACK, "6: budget passed")
        plan = self.s.plans[r.plan_index]
        if plan.limit > 0 and not self.attempts[send.request_id]:
            self.drawn[r.volume] += r.units
            bound = (plan.burst + plan.limit * now + plan.slack) / r.volume_initiator_count
            must(self.drawn[r.volume] <= bound + SLACK, "7: limit passed")
        self.attempts[send.request_id].append({"at": now, "node": send.target_id, "status": None})

    def _cold(self, now: float, node: int, age: float) -> None:
        """The part of one gateway of what its fellow gateways may send as well."""
        rules, since = self.s.rules, now - self.s.rules.overload_window
        sent = sum(u for t, u in self.cold_sent[node] if t > since)
        served = sum(u for t, u in self.cold_served[node] if t > since)
        share = (
            rules.slow_start_initial_fraction
            + (1 - rules.slow_start_initial_fraction) * age / rules.slow_start_duration
        )
        bound = (
            self.s.slow_start_units * share / rules.slow_start_initial_fraction / self.s.initiator_count
            + served
        )
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
        self.fates: list[tuple[AttemptStatus, float]] = []
        self.streams: set[int] = set()

    def push(self, at: float, item: object) -> None:
        self.count += 1
        heapq.heappush(self.heap, (at, self.count, item))

    def run(self, fates: list[tuple[AttemptStatus, float]]) -> Checker:
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
        elif isinstance(item, TargetListUpdate):
            self.checker.on_list(now, item)
        elif isinstance(item, ClientDisconnected):
            if item.request_id not in self.checker.open:
                return []
            self.checker.on_end(now, item.request_id)
        elif isinstance(item, AttemptFinished):
            is_open = item.request_id in self.checker.open
            over = not is_open or item.status is AttemptStatus.OK
            item = AttemptFinished(
                item.request_id,
                item.attempt_number,
                item.target_id,
                item.status,
                item.latency,
                over,
                item.volume_usage,
                item.other_units,
                item.report,
            )
            self.checker.on_outcome(now, item)
            if is_open and over:
                self.checker.on_end(now, item.request_id)
        return [item]

    def _act(self, now: float, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.push(now + action.delay, TimerFired(action.token))
        elif isinstance(action, StartAttempt):
            attempt = len(self.checker.attempts[action.request_id])
            deadline = (
                self.checker.open[action.request_id][0] if action.request_id in self.checker.open else now
            )
            self.checker.on_action(now, action)
            expiry = min(deadline, deadline if action.expires_at is None else action.expires_at)
            status, took = self.fates[(action.request_id * 7 + attempt) % len(self.fates)]
            if now + took > expiry:
                status, took = AttemptStatus.TIMEOUT, max(0.0, expiry - now)
            self.push(
                now + took,
                AttemptFinished(
                    action.request_id, attempt, action.target_id, status, took, False, None, 1.0, ()
                ),
            )
        else:
            self.checker.on_action(now, action)


def nodes(count: int, cold: int, now: float) -> TargetListUpdate:
    """Nodes in two zones; the last few have just started."""
    return TargetListUpdate(
        TargetListKind.CACHED,
        tuple(
            entry(i, zone=i % 2, shard=i, started_at=now if i >= count - cold else None) for i in range(count)
        ),
    )
