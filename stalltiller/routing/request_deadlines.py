"""Enforces the latest time of each request's final response, in normal operation and in a drain.

Owns the end of the drain and the deadline timer of each admitted request.  As a response becomes due, the
attempt in flight expires or the scheduler responds; a guard answers shortly after for what is still open.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from stalltiller.routing.context import EngineContext
from stalltiller.routing.guard import GuardViolation
from stalltiller.routing.request_state import RequestOutcome, RequestState
from stalltiller.routing.request_table import RequestTable
from stalltiller.routing.response_deadline import NO_DRAIN, ResponseDeadline
from stalltiller.routing.timers import TimerQueue
from stalltiller.routing.transfer_limits import latest_expiry
from stalltiller.scheduling import ClientDisconnected, DeadlineShortened, Event, Request, ResponseDue

# The deadline guard answers a request that is still open this long before its response is due.
DEADLINE_GUARD_MARGIN_SECONDS = 0.008
# The guard waits at least this long after a request's arrival and after its latest attempt's end, so that the
# scheduler sees these first.
MIN_SCHEDULING_SECONDS = 0.002
# A request that comes less than this before the end of a drain is rejected at once.
MIN_TIME_IN_DRAIN_SECONDS = 0.02


class RequestDeadlines:
    """The deadlines of one engine's requests; times are on the loop's clock, in seconds."""

    def __init__(
        self,
        context: EngineContext,
        requests: RequestTable,
        timers: TimerQueue,
        enqueue: Callable[[Event], None],
    ) -> None:
        self._context = context
        self._requests = requests
        self._timers = timers
        self._enqueue = enqueue
        self._drain_end = NO_DRAIN

    # --- On arrival -------------------------------------------------------------------------------
    def deadline_for(self, client_deadline: float) -> ResponseDeadline:
        """Return the deadline of a request that arrives now."""
        return ResponseDeadline(client_deadline, self._drain_end)

    def is_drain_over(self) -> bool:
        """Return whether a request that arrives now comes too late for the drain in progress."""
        return self._context.loop.time() >= self._drain_end - MIN_TIME_IN_DRAIN_SECONDS

    def enforce(self, state: RequestState) -> None:
        """Enforce the deadline of an admitted request from now on."""
        now = self._context.loop.time()
        due_at = max(latest_expiry(state.deadline.due_at), now + MIN_SCHEDULING_SECONDS)
        state.deadline_timer = self._timers.call_at(due_at, self._announce_response_due, state.request_id)

    def with_time_left(self, event: Event, now: float) -> Event:
        """Return an event with the time that is left at `now`.

        Guards against a process that was held up between a request's arrival and its batch: the scheduler
        would count the time from the batch on.
        """
        if not isinstance(event, Request | DeadlineShortened):
            return event
        state = self._requests.get_open(event.request_id)
        if state is None:
            return event
        response_due_in = max(0.0, latest_expiry(state.deadline.due_at) - now)
        if isinstance(event, DeadlineShortened):
            return replace(event, response_due_in=response_due_in)
        time_remaining = max(0.0, latest_expiry(state.deadline.client_deadline) - now)
        return replace(event, time_remaining=time_remaining, response_due_in=response_due_in)

    # --- The end of the process -------------------------------------------------------------------
    def begin_drain(self, ends_at: float) -> None:
        """Let every response be due at `ends_at` at the latest; the first call counts."""
        if self._drain_end != NO_DRAIN:
            return
        self._drain_end = ends_at
        for state in self._requests.snapshot():
            if not state.is_finished:
                self._shorten_deadline(state)

    def finish_all(self) -> None:
        """Respond to requests that are still open after the end of a drain, each of which is a violation."""
        for state in self._requests.snapshot():
            is_rejected_soon = state.deadline_timer is None  # it was not admitted
            if not state.is_finished and not is_rejected_soon:
                self._finish_after_drain(state)

    def _shorten_deadline(self, state: RequestState) -> None:
        state.deadline = state.deadline.with_drain(self._drain_end)
        if not state.deadline.is_set_by_drain or state.deadline_timer is None:
            return
        self._timers.cancel([state.deadline_timer])
        self.enforce(state)
        if state.in_flight is not None:
            self._requests.limit_expiry(state.in_flight, state.deadline)
        response_due_in = max(0.0, latest_expiry(state.deadline.due_at) - self._context.loop.time())
        self._enqueue(DeadlineShortened(state.request_id, response_due_in))

    def _finish_after_drain(self, state: RequestState) -> None:
        target_client = self._context.target_client
        attempt = state.in_flight
        self._context.report_violation(
            GuardViolation.OPEN_AFTER_DRAIN,
            id=state.request_id,
            label=state.client_request.trace_label,
            target=None if attempt is None else attempt.target_id,
            phase=None if attempt is None else target_client.progress(attempt).phase.value,
        )
        may_execute = attempt is not None and target_client.is_fully_sent(attempt)
        may_be_rejected = state.may_be_rejected(in_flight_may_execute=may_execute)
        self._finish(state, RequestOutcome.REJECTED if may_be_rejected else RequestOutcome.FAILED)

    # --- As a response becomes due ----------------------------------------------------------------
    def _announce_response_due(self, request_id: int) -> None:
        """Have the scheduler respond to a request; its attempt in flight, if any, expires now."""
        state = self._requests.get_open(request_id)
        if state is None:
            return
        if state.in_flight is None:
            self._enqueue(ResponseDue(request_id))
        now = self._context.loop.time()
        guard_at = max(state.deadline.due_at - DEADLINE_GUARD_MARGIN_SECONDS, now + MIN_SCHEDULING_SECONDS)
        state.deadline_timer = self._timers.call_at(guard_at, self._fail_at_deadline, request_id)

    def _fail_at_deadline(self, request_id: int) -> None:
        """Fail a request that is still open shortly before its response is due."""
        state = self._requests.get_open(request_id)
        if state is None:
            return
        scheduled_by = state.attempt_ended_at + MIN_SCHEDULING_SECONDS
        if self._context.loop.time() < scheduled_by:  # both were due in this batch
            state.deadline_timer = self._timers.call_at(scheduled_by, self._fail_at_deadline, request_id)
            return
        self._context.report_violation(GuardViolation.DEADLINE_REACHED, id=request_id)
        self._finish(state, RequestOutcome.FAILED)

    def _finish(self, state: RequestState, outcome: RequestOutcome) -> None:
        """Respond to a request; the scheduler treats it as one of a disconnected client."""
        self._requests.finish(state, outcome)
        self._enqueue(ClientDisconnected(state.request_id))
        handler = state.client_request.response_handler
        if outcome is RequestOutcome.REJECTED:
            handler.reject(self._context.settings.max_retry_after)
        else:
            handler.fail()
