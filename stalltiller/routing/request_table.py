"""The open requests of an engine and their attempts in flight.

The table guarantees that a request finishes once, and that an attempt is reported to the scheduler once.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from stalltiller.routing.context import EngineContext, Logger
from stalltiller.routing.exchange_end import EndRule, ExchangeEnd
from stalltiller.routing.guard import GuardViolation
from stalltiller.routing.ports import Attempt, AttemptResult
from stalltiller.routing.request_state import NEVER_EXECUTED, RequestOutcome, RequestState
from stalltiller.routing.response_deadline import ResponseDeadline
from stalltiller.routing.timers import TimerQueue
from stalltiller.routing.transfer_limits import (
    ExpiryAction,
    ExpiryReason,
    action_at_expiry,
    expiry_reason,
    latest_expiry,
)
from stalltiller.scheduling import AttemptFinished, AttemptStatus, Event

MILLISECONDS_PER_SECOND = 1000


class RequestTable:
    """Requests by id; each stays until it is finished and has no attempt in flight."""

    def __init__(self, context: EngineContext, timers: TimerQueue, enqueue: Callable[[Event], None]) -> None:
        self._context = context
        self._timers = timers
        self._enqueue = enqueue
        self._states: dict[int, RequestState] = {}
        self.open_count = 0  # requests that are not finished

    def __len__(self) -> int:
        return len(self._states)

    def add(self, state: RequestState) -> None:
        """Add a new request."""
        self._states[state.request_id] = state
        self.open_count += 1

    def get(self, request_id: int) -> RequestState | None:
        """Return the request; None if it is no longer in the table."""
        return self._states.get(request_id)

    def get_open(self, request_id: int) -> RequestState | None:
        """Return the request; None if it is finished."""
        state = self._states.get(request_id)
        return None if state is None or state.is_finished else state

    def snapshot(self) -> list[RequestState]:
        """Return the requests, oldest first, including finished ones with an attempt in flight."""
        return list(self._states.values())

    def attempts_in_flight(self) -> Iterator[Attempt]:
        """Iterate over the attempts in flight; the table must not change during the iteration."""
        for state in self._states.values():
            if state.in_flight is not None:
                yield state.in_flight

    def finish(self, state: RequestState, outcome: RequestOutcome) -> None:
        """Record how an open request ended; the caller responds to its client."""
        state.is_finished = True
        self.open_count -= 1
        self._context.counts[outcome.value] += 1
        if self._context.trace is not None:
            now = self._context.loop.time()
            remaining_seconds = state.deadline.client_deadline - now
            self._context.trace(
                "request_finished",
                id=state.request_id,
                outcome=outcome.value,
                attempts=state.attempt_count,
                remaining_ms=round(MILLISECONDS_PER_SECOND * remaining_seconds, 1),
                due_ms=round(MILLISECONDS_PER_SECOND * (state.deadline.due_at - now), 1),
            )
        if state.deadline_timer is not None:
            self._timers.cancel([state.deadline_timer])
        if state.in_flight is not None:  # no client waits for it: it must not start any more
            self.cancel_if_unsent(state.in_flight)
        if state.in_flight is not None:
            state.release_payload()
        self._remove_if_complete(state)

    def finish_attempt(self, attempt: Attempt, result: AttemptResult) -> None:
        """Record how an attempt ended, respond to its client if it succeeded, and inform the scheduler."""
        state = self._states.get(attempt.request_id)
        if state is None or state.in_flight is not attempt:
            self._context.report_violation(
                GuardViolation.ATTEMPT_FINISHED_TWICE, id=attempt.request_id, attempt=attempt.number
            )
            return
        state.in_flight = None
        state.attempt_ended_at = self._context.loop.time()
        self._timers.cancel(state.attempt_timers)
        state.attempt_timers.clear()
        attempt.payload = None
        if result.status not in NEVER_EXECUTED and not state.possibly_executed:
            state.possibly_executed = True
            state.first_executed_at = attempt.sent_at
        if result.status is AttemptStatus.OK and not state.is_finished:
            self.finish(state, RequestOutcome.SERVED)
            state.client_request.response_handler.complete(result.response)
        request_done = state.is_finished
        self._context.counts[f"attempt_{result.status.value}"] += 1
        if self._context.trace is not None:
            self._trace_attempt_finished(self._context.trace, attempt, result.status)
        self._enqueue(
            AttemptFinished(
                request_id=attempt.request_id,
                attempt_number=attempt.number,
                target_id=attempt.target_id,
                status=result.status,
                latency=self._context.loop.time() - attempt.sent_at,
                request_done=request_done,
                volume_usage=None,
                other_units=result.other_units,
                report=result.report,
            )
        )
        if request_done:
            self._remove_if_complete(state)

    def expire(self, attempt: Attempt) -> None:
        """End an attempt that is still in flight at its expiry time, unless its transfer goes on."""
        if not self._is_in_flight(attempt):
            return
        reason = expiry_reason(attempt.expires_at, attempt.deadline)
        if self.is_needed(attempt) and self._goes_on(attempt, reason):
            return
        rule = EndRule.DRAIN_ENDED if reason is ExpiryReason.DRAIN_END else EndRule.ATTEMPT_EXPIRED
        self.abandon(attempt, AttemptStatus.TIMEOUT, rule)

    def limit_expiry(self, attempt: Attempt, deadline: ResponseDeadline) -> None:
        """Let an attempt in flight expire by an earlier deadline of its request."""
        attempt.deadline = deadline
        expires_at = latest_expiry(deadline.due_at)
        if expires_at < attempt.expires_at:
            attempt.expires_at = expires_at
            self._set_expiry_timer(attempt)

    def _goes_on(self, attempt: Attempt, reason: ExpiryReason) -> bool:
        """Let a transfer in progress go on as `transfer_limits` decides; return whether it does.

        A response that can be passed on occupies the target's place in the scheduler no longer than any other
        attempt.
        """
        target_client = self._context.target_client
        match action_at_expiry(target_client.progress(attempt), reason):
            case ExpiryAction.ABANDON:
                return False
            case ExpiryAction.PASS_ON:
                return target_client.pass_on(attempt)
            case ExpiryAction.WAIT_FOR_DEADLINE:
                self._wait_for_deadline(attempt)
        return True

    def _wait_for_deadline(self, attempt: Attempt) -> None:
        attempt.expires_at = latest_expiry(attempt.deadline.due_at)
        self._set_expiry_timer(attempt)

    def _set_expiry_timer(self, attempt: Attempt) -> None:
        timer = self._timers.call_at(attempt.expires_at, self.expire, attempt)
        self._states[attempt.request_id].attempt_timers.append(timer)

    def cancel_if_unsent(self, attempt: Attempt) -> None:
        """Cancel an attempt that must not start any more, unless its target may have received all of it."""
        if self._is_in_flight(attempt) and not self._context.target_client.is_fully_sent(attempt):
            self.abandon(attempt, AttemptStatus.CANCELLED)

    def report_end(self, attempt: Attempt, rule: EndRule) -> None:
        """Log that an attempt in flight is ended while its transfer is in progress."""
        progress = self._context.target_client.progress(attempt)
        state = self._states[attempt.request_id]
        if not progress.is_moving:
            return
        remaining = state.deadline.client_deadline - self._context.loop.time()
        exchange_end = ExchangeEnd(
            rule, attempt.request_id, attempt.trace_label, attempt.target_id, progress, remaining
        )
        self._context.report_exchange_end(exchange_end)

    def abandon(self, attempt: Attempt, status: AttemptStatus, rule: EndRule | None = None) -> None:
        """Abandon an attempt that is in flight; without a rule its client needs it no more.

        An attempt that was not fully sent was never executed and is reported as a failed connection.  If its
        request had finished before, this says nothing about the target, so `status` is kept.
        """
        request_done = self._states[attempt.request_id].is_finished
        if rule is not None and not request_done:
            self.report_end(attempt, rule)
        possibly_executed = self._context.target_client.abandon(attempt)
        if not possibly_executed and not request_done:
            status = AttemptStatus.CONNECT_FAILED
        self.finish_attempt(attempt, AttemptResult(status))

    def is_needed(self, attempt: Attempt) -> bool:
        """Whether an attempt is in flight and its client waits for the response."""
        return self._is_in_flight(attempt) and not self._states[attempt.request_id].is_finished

    def _is_in_flight(self, attempt: Attempt) -> bool:
        state = self._states.get(attempt.request_id)
        return state is not None and state.in_flight is attempt

    def _trace_attempt_finished(self, trace: Logger, attempt: Attempt, status: AttemptStatus) -> None:
        idle_seconds = attempt.channel_idle_time
        trace(
            "attempt_finished",
            id=attempt.request_id,
            attempt=attempt.number,
            target=attempt.target_id,
            status=status.value,
            ms=round(MILLISECONDS_PER_SECOND * (self._context.loop.time() - attempt.sent_at), 1),
            idle_ms=None if idle_seconds is None else round(MILLISECONDS_PER_SECOND * idle_seconds, 2),
        )

    def _remove_if_complete(self, state: RequestState) -> None:
        if state.is_finished and state.in_flight is None:
            self._states.pop(state.request_id, None)
