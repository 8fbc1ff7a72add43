"""A simulation around one scheduler and a checker of the seven rules, for the property tests."""

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
from tests.helpers import make_target

NEVER_EXECUTED = (AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_STARTED)
POSSIBLY_EXECUTED = (AttemptStatus.TIMEOUT, AttemptStatus.RESET, AttemptStatus.CANCELLED)
TOLERANCE = 1e-6  # rounding of times and units


class RuleViolationError(AssertionError):
    """A rule was violated; the message starts with its number."""


def require(is_met: bool, message: str) -> None:
    if not is_met:
        raise RuleViolationError(message)


class RuleChecker:
    """Observes one run of a scheduler and raises an error at the first rule violation."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.open_requests: dict[int, tuple[float, Request]] = {}  # deadline and request by id
        self.requests: dict[int, Request] = {}
        self.attempts: dict[int, list[dict]] = defaultdict(list)
        self.notified_at: dict[int, float] = {}  # first listing as draining or removed, by target
        self.targets: dict[int, Target] = {}
        self.units_spent: dict[int, float] = defaultdict(float)
        self.slow_start_sent: dict[int, list[tuple[float, float]]] = defaultdict(list)
        self.slow_start_served: dict[int, list[tuple[float, float]]] = defaultdict(list)
        self.requests_by_key: dict[int, list[int]] = defaultdict(list)
        self.paused_until: dict[int, float] = {}
        self.accepted_at: list[float] = []
        self.retried_at: list[float] = []

    def on_list(self, now: float, update: TargetListUpdate) -> None:
        for listed_target in update.targets:
            self.targets[listed_target.target_id] = listed_target
            if listed_target.status is TargetStatus.READY:
                self.notified_at.pop(listed_target.target_id, None)
            else:
                self.notified_at.setdefault(listed_target.target_id, now)

    def on_request(self, now: float, request: Request) -> None:
        self.open_requests[request.request_id] = (now + request.time_remaining, request)
        self.requests[request.request_id] = request
        self.accepted_at.append(now)
        if self.settings.classes[request.class_index].in_order and request.idempotency_key:
            self.requests_by_key[request.idempotency_key].append(request.request_id)

    def on_request_finished(self, now: float, request_id: int) -> None:
        """Record a final response or the disconnection of the client."""
        deadline, _ = self.open_requests.pop(request_id)
        require(now <= deadline + self.settings.rules.answer_slack + TOLERANCE, "1: final response too late")

    def on_attempt_finished(self, now: float, result: AttemptFinished) -> None:
        request = self.requests[result.request_id]
        self.attempts[result.request_id][result.attempt_number]["status"] = result.status
        in_order = self.settings.classes[request.class_index].in_order and request.idempotency_key
        if result.status in POSSIBLY_EXECUTED and in_order:
            self.paused_until[request.idempotency_key] = now + (self.settings.rules.ordering_pause or 0.0)
        if result.status is AttemptStatus.OK:
            self.slow_start_served[result.target_id].append((now, request.units))

    def possibly_executed_attempts(self, request_id: int) -> list[dict]:
        return [attempt for attempt in self.attempts[request_id] if attempt["status"] not in NEVER_EXECUTED]

    def on_action(self, now: float, action: Action) -> None:
        if isinstance(action, Reject):
            require(action.request_id in self.open_requests, "1: second final response")
            self._check_rejection(action.request_id)
            self.on_request_finished(now, action.request_id)
        elif isinstance(action, Fail):
            require(action.request_id in self.open_requests, "1: second final response")
            self.on_request_finished(now, action.request_id)
        elif isinstance(action, StartAttempt):
            require(action.request_id in self.open_requests, "1: sent after the final response")
            self._check_attempt(now, action)

    def _check_rejection(self, request_id: int) -> None:
        request_class = self.settings.classes[self.requests[request_id].class_index]
        is_retry_safe = request_class.idempotency is Idempotency.SAFE or (
            request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
            and request_class.deduplication_scope is DeduplicationScope.ALL
        )
        require(
            is_retry_safe or not self.possibly_executed_attempts(request_id),
            "2: rejected although possibly executed",
        )

    def _check_attempt(self, now: float, action: StartAttempt) -> None:
        request = self.requests[action.request_id]
        request_class, rules = self.settings.classes[request.class_index], self.settings.rules
        earlier_attempts = self.possibly_executed_attempts(action.request_id)
        if earlier_attempts and request_class.idempotency is not Idempotency.SAFE:
            require(request_class.idempotency is Idempotency.IDEMPOTENCY_KEY, "2: unsafe request retried")
            require(
                now <= earlier_attempts[0]["at"] + request_class.deduplication_window,
                "2: keyed request sent after its deduplication window",
            )
            target, first_target = self.targets[action.target_id], self.targets[earlier_attempts[0]["target"]]
            require(
                request_class.deduplication_scope is DeduplicationScope.ALL
                or (
                    request_class.deduplication_scope is DeduplicationScope.ZONE
                    and target.zone == first_target.zone
                )
                or target.shard == first_target.shard,
                "2: keyed request sent outside its deduplication scope",
            )
        require(
            self.settings.may_hedge or all(attempt["status"] for attempt in self.attempts[action.request_id]),
            "2: two attempts in flight",
        )
        if action.target_id in self.notified_at:
            require(
                now <= self.notified_at[action.target_id] + rules.drain_grace, "3: sent to a draining target"
            )
        started_at = self.targets[action.target_id].started_at
        if started_at is not None and now - started_at < rules.slow_start_duration:
            self.slow_start_sent[action.target_id].append((now, request.units))
            self._check_slow_start(now, action.target_id, now - started_at)
        if request_class.in_order and request.idempotency_key:
            request_ids = self.requests_by_key[request.idempotency_key]
            for earlier_id in request_ids[: request_ids.index(request.request_id)]:
                is_idle = all(attempt["status"] for attempt in self.attempts[earlier_id])
                require(earlier_id not in self.open_requests and is_idle, "5: out of order")
            require(
                now >= self.paused_until.get(request.idempotency_key, now),
                "5: sent during the pause of its key",
            )
        if self.attempts[action.request_id] and rules.retry_budget_window is not None:
            self.retried_at.append(now)
            window_start = now - rules.retry_budget_window
            accepted = sum(at > window_start for at in self.accepted_at)
            allowed = rules.retry_budget_base + rules.retry_budget_fraction * accepted
            require(
                sum(at > window_start for at in self.retried_at) <= allowed + TOLERANCE,
                "6: retry budget exceeded",
            )
        plan = self.settings.plans[request.plan_index]
        if plan.limit > 0 and not self.attempts[action.request_id]:
            self.units_spent[request.volume] += request.units
            allowed = (plan.burst + plan.limit * now + plan.slack) / request.volume_initiator_count
            require(self.units_spent[request.volume] <= allowed + TOLERANCE, "7: limit exceeded")
        self.attempts[action.request_id].append({"at": now, "target": action.target_id, "status": None})

    def _check_slow_start(self, now: float, target_id: int, age: float) -> None:
        """Check that one initiator sends no more than its even share of the budget, plus the units served."""
        rules = self.settings.rules
        window_start = now - self.settings.rules.overload_window
        sent = sum(units for at, units in self.slow_start_sent[target_id] if at > window_start)
        served = sum(units for at, units in self.slow_start_served[target_id] if at > window_start)
        initial = rules.slow_start_initial_fraction
        fraction = initial + (1 - initial) * age / rules.slow_start_duration
        budget = self.settings.slow_start_units * fraction / initial / self.settings.initiator_count
        require(sent <= budget + served + TOLERANCE, "4: slow-start budget exceeded")

    def check_deadlines(self, now: float) -> None:
        for deadline, _ in self.open_requests.values():
            require(now <= deadline + self.settings.rules.answer_slack + TOLERANCE, "1: no final response")


class SchedulerSimulation:
    """Feeds a scheduler events; attempts end with one of `results`, or with a timeout when they expire."""

    def __init__(self, scheduler: object, settings: Settings) -> None:
        self.scheduler = scheduler
        self.settings = settings
        self.checker = RuleChecker(settings)
        self.event_queue: list[tuple[float, int, object]] = []
        self.event_count = 0
        self.results: list[tuple[AttemptStatus, float]] = []
        self.streams: set[int] = set()

    def schedule(self, at: float, event: object) -> None:
        self.event_count += 1
        heapq.heappush(self.event_queue, (at, self.event_count, event))

    def run(self, results: list[tuple[AttemptStatus, float]]) -> RuleChecker:
        self.results = results
        while self.event_queue:
            now, _, event = heapq.heappop(self.event_queue)
            self.checker.check_deadlines(now - TOLERANCE)
            events = self._record_event(now, event)
            for action in self.scheduler.handle(now, events) if events else []:
                self._perform(now, action)
        self.checker.check_deadlines(1e9)
        return self.checker

    def _record_event(self, now: float, event: object) -> list[Event]:
        if isinstance(event, Request):
            self.checker.on_request(now, event)
        elif isinstance(event, TargetListUpdate):
            self.checker.on_list(now, event)
        elif isinstance(event, ClientDisconnected):
            if event.request_id not in self.checker.open_requests:
                return []
            self.checker.on_request_finished(now, event.request_id)
        elif isinstance(event, AttemptFinished):
            is_open = event.request_id in self.checker.open_requests
            is_done = not is_open or event.status is AttemptStatus.OK
            event = AttemptFinished(
                event.request_id,
                event.attempt_number,
                event.target_id,
                event.status,
                event.latency,
                is_done,
                event.volume_usage,
                event.other_units,
                event.report,
            )
            self.checker.on_attempt_finished(now, event)
            if is_open and is_done:
                self.checker.on_request_finished(now, event.request_id)
        return [event]

    def _perform(self, now: float, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.schedule(now + action.delay, TimerFired(action.token))
        elif isinstance(action, StartAttempt):
            attempt_number = len(self.checker.attempts[action.request_id])
            deadline = (
                self.checker.open_requests[action.request_id][0]
                if action.request_id in self.checker.open_requests
                else now
            )
            self.checker.on_action(now, action)
            expires_at = min(deadline, deadline if action.expires_at is None else action.expires_at)
            status, latency = self.results[(action.request_id * 7 + attempt_number) % len(self.results)]
            if now + latency > expires_at:
                status, latency = AttemptStatus.TIMEOUT, max(0.0, expires_at - now)
            self.schedule(
                now + latency,
                AttemptFinished(
                    action.request_id, attempt_number, action.target_id, status, latency, False, None, 1.0, ()
                ),
            )
        else:
            self.checker.on_action(now, action)


def target_list(count: int, warming_count: int, now: float) -> TargetListUpdate:
    """Return targets in two zones, of which the last `warming_count` have just started."""
    return TargetListUpdate(
        TargetListKind.CACHED,
        tuple(
            make_target(
                target_id,
                zone=target_id % 2,
                shard=target_id,
                started_at=now if target_id >= count - warming_count else None,
            )
            for target_id in range(count)
        ),
    )
