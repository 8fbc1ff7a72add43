"""The engine: sends each client request to a target and returns the response, as the scheduler decides.

Events that arrive in one iteration of the event loop are collected in a batch.  At the end of the iteration
the scheduler is called once with the batch, and its actions are carried out.

The engine owns the scheduler, its clock, the open requests, the known targets and one heap of timers.  It
makes no scheduling decisions, but enforces invariants whatever adapters and scheduler do: one final response
per request, one attempt in flight at a time, no attempt at a target after its drain grace, and a response
before the client's deadline and the end of a drain.  `guard.GuardViolation` lists these invariants.
"""

from __future__ import annotations

import asyncio
import functools
import itertools
import time
from collections import Counter
from collections.abc import Callable, Iterable
from typing import TypeVar

from stalltiller.routing.action_dispatch import ActionDispatcher
from stalltiller.routing.channel_capacity import has_channel_soon
from stalltiller.routing.context import (
    COUNT_AFTER_DRAIN,
    COUNT_NOT_ADMITTED,
    COUNT_RECEIVED,
    COUNT_WITHOUT_CHANNEL,
    EngineContext,
    Logger,
)
from stalltiller.routing.exchange_end import ExchangeEnd
from stalltiller.routing.guard import GuardViolation
from stalltiller.routing.ports import (
    AdmissionGate,
    Attempt,
    AttemptResult,
    ClientRequest,
    PeerNetwork,
    TargetClient,
    TargetEndpoint,
)
from stalltiller.routing.request_deadlines import MIN_SCHEDULING_SECONDS, RequestDeadlines
from stalltiller.routing.request_state import RequestOutcome, RequestState
from stalltiller.routing.request_table import RequestTable
from stalltiller.routing.slow_start_state import slow_start_state
from stalltiller.routing.target_table import TargetTable
from stalltiller.routing.timers import TimerQueue
from stalltiller.routing.transfer_limits import DEFAULT_IDLE_LIMIT_SECONDS, latest_expiry
from stalltiller.routing.transfer_monitor import TransferMonitor
from stalltiller.scheduling import (
    Action,
    ClientDisconnected,
    Event,
    PeerMessage,
    Request,
    Settings,
    SettingsChanged,
    TargetId,
    TargetListKind,
    TargetListUpdate,
)
from stalltiller.scheduling.scheduler import Scheduler

# The time left of requests is counted anew for a batch that runs later than this after its first event.
MAX_BATCH_DELAY_SECONDS = 0.005
MAX_LAG_SECONDS = 0.25  # upper bound of the time that a request is assumed to have waited unread

Result = TypeVar("Result")


class Engine:
    """Holds the open requests of one initiator and the scheduler that decides about them.

    All methods are called on the event loop's thread.  Times on the loop's clock are in seconds.  `monitor`
    ends transfers that have stopped; `idle_limit` in seconds is when.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        loop: asyncio.AbstractEventLoop,
        log: Logger,
        trace: Logger | None = None,
        idle_limit: float = DEFAULT_IDLE_LIMIT_SECONDS,
    ) -> None:
        epoch = loop.time()
        self.monitor = TransferMonitor(loop, idle_limit)
        self._unix_time_at_loop_zero = time.time() - epoch  # read once: unaffected by clock adjustments
        self._loop = loop
        self._context = EngineContext(loop, epoch, settings, log, self.monitor, trace)
        self._scheduler = Scheduler(settings, seed, 0.0)
        self._request_ids = itertools.count(1)
        self._timers = TimerQueue(loop, self._schedule_batch)
        self._requests = RequestTable(self._context, self._timers, self._enqueue)
        self._deadlines = RequestDeadlines(self._context, self._requests, self._timers, self._enqueue)
        self._targets = TargetTable(loop.time)
        self._dispatcher = ActionDispatcher(
            self._context,
            self._requests,
            self._targets,
            self._timers,
            self._enqueue,
            functools.partial(slow_start_state, self._scheduler),
        )
        self._pending_events: list[Event] = []
        self._scheduled_batch: asyncio.Handle | None = None
        self._batch_scheduled_at = epoch
        self._last_batch_ended_at = epoch
        self._last_batch_duration = 0.0

    # --- State read by other components -----------------------------------------------------------
    @property
    def settings(self) -> Settings:
        """The current settings."""
        return self._context.settings

    @property
    def counts(self) -> Counter[str]:
        """Exported counters; adapters add their own."""
        return self._context.counts

    @property
    def open_request_count(self) -> int:
        """The number of submitted requests that are not finished."""
        return self._requests.open_count

    @property
    def timer_count(self) -> int:
        """The number of pending timers of the engine and its scheduler."""
        return len(self._timers)

    @property
    def target_count(self) -> int:
        """The number of targets on the target list."""
        return len(self._targets)

    def inspect_scheduler(self, inspect: Callable[[Scheduler, float, float], Result]) -> Result:
        """Call `inspect` between two batches and return its result.

        `inspect` gets the scheduler, the scheduler's clock time and the Unix time of that clock's zero.
        """
        epoch = self._context.scheduler_epoch
        return inspect(self._scheduler, self._loop.time() - epoch, self._unix_time_at_loop_zero + epoch)

    def to_scheduler_time(self, unix_time: float | None) -> float | None:
        """Convert a Unix time to the scheduler's clock; None stays None."""
        if unix_time is None:
            return None
        return unix_time - self._unix_time_at_loop_zero - self._context.scheduler_epoch

    # --- Collaborators ----------------------------------------------------------------------------
    @property
    def target_client(self) -> TargetClient:
        """Sends attempts to targets; it must be set before the first target is listed."""
        return self._context.target_client

    @target_client.setter
    def target_client(self, target_client: TargetClient) -> None:
        """Set the target client, which is built after the engine because it reports to it."""
        self._context.target_client = target_client

    def set_admission_gate(self, admission_gate: AdmissionGate) -> None:
        """Let a gate decide which requests reach the scheduler from now on."""
        self._context.admission_gate = admission_gate

    def set_peer_network(self, peer_network: PeerNetwork) -> None:
        """Share budgets and exchange messages with other initiators from now on."""
        self._context.send_peer_message = peer_network.send_peer_message
        self._scheduler.budget_fraction = peer_network.budget_fraction

    # --- Requests ---------------------------------------------------------------------------------
    def submit(self, client_request: ClientRequest) -> int:
        """Accept a request and return its id; its response handler is called once, in a later iteration."""
        context = self._context
        settings = context.settings
        now = self._loop.time()
        lag = self._estimate_lag(now)
        deadline = self._deadlines.deadline_for(now - lag + client_request.timeout)
        request_id = next(self._request_ids)
        request_class = settings.classes[client_request.class_index]
        state = RequestState(request_id, client_request, deadline, request_class, settings.max_attempts)
        self._requests.add(state)
        context.counts[COUNT_RECEIVED] += 1
        if context.trace is not None:
            self._trace_received(context.trace, request_id, client_request, lag)
        retry_after = self._retry_delay(client_request)
        if retry_after > 0.0:
            self._loop.call_soon(self._reject_unadmitted, request_id, retry_after)
            return request_id
        self._deadlines.enforce(state)
        time_remaining = max(0.0, latest_expiry(deadline.client_deadline) - now)
        response_due_in = max(0.0, latest_expiry(deadline.due_at) - now)
        self._enqueue(_scheduler_request(request_id, client_request, time_remaining, response_due_in))
        return request_id

    def _retry_delay(self, client_request: ClientRequest) -> float:
        """Return 0 for a request to schedule, otherwise the retry delay of its rejection in seconds."""
        longest_delay = self.settings.max_retry_after or MIN_SCHEDULING_SECONDS
        if self._deadlines.is_drain_over():
            self.counts[COUNT_AFTER_DRAIN] += 1
            return longest_delay
        if not has_channel_soon(self.target_client.channel_use()):
            self.counts[COUNT_WITHOUT_CHANNEL] += 1
            return longest_delay
        return self._context.admission_gate.admit(client_request)

    def client_deadline(self, request_id: int) -> float | None:
        """Return when the time of an open request's client is over; None if the request is not open."""
        state = self._requests.get_open(request_id)
        return None if state is None else state.deadline.client_deadline

    def cancel(self, request_id: int) -> None:
        """Finish a request whose client has disconnected."""
        state = self._requests.get_open(request_id)
        if state is not None:
            self._requests.finish(state, RequestOutcome.DISCONNECTED)
            self._enqueue(ClientDisconnected(request_id))

    def attempt_finished(self, attempt: Attempt, result: AttemptResult) -> None:
        """Record the end of an attempt; its target client calls this once unless it was abandoned."""
        self._requests.finish_attempt(attempt, result)

    def report_exchange_end(self, exchange_end: ExchangeEnd) -> None:
        """Log that an adapter ends an exchange which no attempt in flight belongs to."""
        self._context.report_exchange_end(exchange_end)

    # --- The end of the process -------------------------------------------------------------------
    def begin_drain(self, ends_at: float) -> None:
        """Let every response be due at `ends_at` on the loop's clock, at the latest; the first call counts.

        Requests that come later are rejected at once.  Responses that are being passed on go on.
        """
        self._deadlines.begin_drain(ends_at)

    def finish_all(self) -> None:
        """Respond to requests that are still open after the end of a drain, each of which is a violation."""
        self._deadlines.finish_all()

    def _estimate_lag(self, now: float) -> float:
        """Estimate how long a request has waited unread: the duration of a batch that has just ended."""
        if now - self._last_batch_ended_at < self._last_batch_duration:
            return min(self._last_batch_duration, MAX_LAG_SECONDS)
        return 0.0

    @staticmethod
    def _trace_received(trace: Logger, request_id: int, client_request: ClientRequest, lag: float) -> None:
        trace(
            "request_received",
            id=request_id,
            label=client_request.trace_label,
            class_index=client_request.class_index,
            plan_index=client_request.plan_index,
            units=client_request.units,
            timeout=client_request.timeout,
            lag=round(lag, 4),
        )

    def _reject_unadmitted(self, request_id: int, retry_after: float) -> None:
        """Reject a request that was not admitted; a retry is harmless, since nothing was sent."""
        state = self._requests.get_open(request_id)
        if state is not None:
            self.counts[COUNT_NOT_ADMITTED] += 1
            self._requests.finish(state, RequestOutcome.REJECTED)
            retry_after = min(retry_after, self.settings.max_retry_after)
            state.client_request.response_handler.reject(retry_after)

    # --- Updates from outside ---------------------------------------------------------------------
    def update_targets(self, kind: TargetListKind, endpoints: Iterable[TargetEndpoint]) -> None:
        """Apply an update of the target list; the grace of targets newly listed as draining starts now."""
        endpoints = list(endpoints)
        leaving = self._targets.update(kind, endpoints)
        is_replaced = kind is not TargetListKind.DELTA
        if leaving or is_replaced:
            self._limit_late_starts(leaving, is_replaced)
        self._enqueue(TargetListUpdate(kind, tuple(endpoint.target for endpoint in endpoints)))

    def _limit_late_starts(self, leaving: set[TargetId], is_list_replaced: bool) -> None:
        """Limit the start of attempts in flight at draining or removed targets, or ones not on a new list."""
        drain_grace = self.settings.rules.drain_grace
        for attempt in self._requests.attempts_in_flight():
            is_missing = is_list_replaced and self._targets.get(attempt.target_id) is None
            if is_missing or attempt.target_id in leaving:
                self._targets.limit_start(attempt, drain_grace)

    def update_settings(self, settings: Settings) -> None:
        """Apply new settings; open requests keep their request class."""
        self._context.settings = settings
        self._enqueue(SettingsChanged(settings))

    def handle_peer_message(self, sender_index: int, data: bytes) -> None:
        """Pass a message from the scheduler of another initiator to this scheduler."""
        self._enqueue(PeerMessage(sender_index, data))

    def activate(self) -> None:
        """Mark this process as serving clients; tokens that accrued before do not count."""
        self._scheduler.activate(self._loop.time() - self._context.scheduler_epoch)

    def deactivate(self) -> None:
        """Mark another process of this initiator as serving clients and accruing tokens from now on."""
        self._scheduler.deactivate()

    # --- Batches and timers -----------------------------------------------------------------------
    def call_at(self, due_at: float, callback: Callable[..., None], *arguments: object) -> None:
        """Call `callback` in the first batch at or after `due_at` on the loop's clock, before its events."""
        self._timers.call_at(due_at, callback, *arguments)

    def _enqueue(self, event: Event) -> None:
        """Add an event to the next batch, which runs after the callbacks that are ready in the loop now."""
        self._pending_events.append(event)
        self._schedule_batch()

    def _schedule_batch(self) -> None:
        if self._scheduled_batch is None:
            self._batch_scheduled_at = self._loop.time()
            self._scheduled_batch = self._loop.call_soon(self._process_batch)

    def _process_batch(self) -> None:
        """Run due timers, pass the pending events to the scheduler and carry out its actions."""
        started_at = self._loop.time()
        self._timers.run_due(started_at)
        self._scheduled_batch = None
        events = self._pending_events
        self._pending_events = []
        if started_at - self._batch_scheduled_at > MAX_BATCH_DELAY_SECONDS:
            events = [self._deadlines.with_time_left(event, started_at) for event in events]
        if events:
            for action in self._call_scheduler(started_at, events):
                self._dispatcher.dispatch(action)
        self._timers.arm()
        self._last_batch_ended_at = self._loop.time()
        self._last_batch_duration = self._last_batch_ended_at - started_at

    def _call_scheduler(self, now: float, events: list[Event]) -> list[Action]:
        """Call the scheduler; if it raises, attempts go on and the deadline guard fails the open requests."""
        try:
            return self._scheduler.handle(now - self._context.scheduler_epoch, events)
        except Exception as error:
            self._context.report_violation(
                GuardViolation.SCHEDULER_RAISED, error=f"{type(error).__name__}: {error}"
            )
            return []


def _scheduler_request(
    request_id: int, client_request: ClientRequest, time_remaining: float, response_due_in: float
) -> Request:
    return Request(
        request_id=request_id,
        class_index=client_request.class_index,
        plan_index=client_request.plan_index,
        volume=client_request.volume,
        units=client_request.units,
        volume_initiator_count=client_request.volume_initiator_count,
        idempotency_key=client_request.idempotency_key,
        shard=client_request.shard,
        is_write=client_request.is_write,
        is_retry=client_request.is_retry,
        time_remaining=time_remaining,
        response_due_in=response_due_in,
    )
