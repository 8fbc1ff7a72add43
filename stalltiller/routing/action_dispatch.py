"""Carries out the scheduler's actions and blocks those that would break an invariant of the engine.

The dispatcher makes no decisions.  An action that breaks an invariant of `guard.GuardViolation` is logged,
counted and not carried out; a blocked attempt is reported to the scheduler as not started.
"""

from __future__ import annotations

from collections.abc import Callable

from stalltiller.routing.context import COUNT_ATTEMPTS, EngineContext
from stalltiller.routing.exchange_end import EndRule
from stalltiller.routing.guard import GuardViolation
from stalltiller.routing.ports import Attempt, TargetEndpoint
from stalltiller.routing.request_state import RequestOutcome, RequestState
from stalltiller.routing.request_table import MILLISECONDS_PER_SECOND, RequestTable
from stalltiller.routing.slow_start_state import SlowStartState
from stalltiller.routing.target_table import TargetTable
from stalltiller.routing.timers import TimerQueue
from stalltiller.routing.transfer_limits import latest_expiry, may_cancel
from stalltiller.scheduling import (
    Action,
    AttemptFinished,
    AttemptStatus,
    CancelAttempt,
    ClientDisconnected,
    CloseIdleConnections,
    Event,
    Fail,
    Idempotency,
    LogMessage,
    Reject,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    TargetId,
    TimerFired,
)

# No keyed retry starts within this margin before targets may forget its idempotency key.
DEDUPLICATION_MARGIN_SECONDS = 0.02


class ActionDispatcher:
    """Carries out actions on the tables of one engine."""

    def __init__(
        self,
        context: EngineContext,
        requests: RequestTable,
        targets: TargetTable,
        timers: TimerQueue,
        enqueue: Callable[[Event], None],
        slow_start_state: Callable[[TargetId], SlowStartState | None],
    ) -> None:
        self._context = context
        self._requests = requests
        self._targets = targets
        self._timers = timers
        self._enqueue = enqueue
        self._slow_start_state = slow_start_state

    def dispatch(self, action: Action) -> None:
        """Carry out one action.

        Probes and watches of the target list are ignored: the platform has no probes, and the daemon watches
        the list continuously.
        """
        match action:
            case StartAttempt():
                self._start_attempt(action)
            case Reject():
                self._reject(action)
            case Fail():
                self._fail(action)
            case CancelAttempt():
                self._cancel_attempt(action)
            case SetTimer():
                due_at = self._context.loop.time() + action.delay
                self._timers.call_at(due_at, self._enqueue, TimerFired(action.token))
            case CloseIdleConnections():
                self._context.target_client.close_idle(action.target_id)
            case SendPeerMessage():
                self._context.send_peer_message(action.initiator_index, action.data)
            case LogMessage():
                self._context.log("decision", text=action.text)

    # --- Final responses --------------------------------------------------------------------------
    def _reject(self, action: Reject) -> None:
        state = self._get_open_or_report(action.request_id)
        if state is None:
            return
        handler = state.client_request.response_handler
        if not state.may_be_rejected(in_flight_may_execute=state.in_flight is not None):
            self._context.report_violation(GuardViolation.UNSAFE_REJECTION, id=action.request_id)
            self._requests.finish(state, RequestOutcome.FAILED)
            handler.fail()
            return
        self._requests.finish(state, RequestOutcome.REJECTED)
        retry_after = min(action.retry_after, self._context.settings.max_retry_after)
        handler.reject(self._context.admission_gate.retry_after(retry_after))

    def _fail(self, action: Fail) -> None:
        state = self._get_open_or_report(action.request_id)
        if state is not None:
            self._requests.finish(state, RequestOutcome.FAILED)
            state.client_request.response_handler.fail()

    def _get_open_or_report(self, request_id: int) -> RequestState | None:
        state = self._requests.get_open(request_id)
        if state is None:
            self._context.report_violation(GuardViolation.RESPONDED_TWICE, id=request_id)
        return state

    # --- Attempts ---------------------------------------------------------------------------------
    def _cancel_attempt(self, action: CancelAttempt) -> None:
        state = self._requests.get(action.request_id)
        attempt = None if state is None else state.in_flight
        if attempt is None or attempt.number != action.attempt_number:
            return
        if may_cancel(self._context.target_client.progress(attempt)):
            self._requests.abandon(attempt, AttemptStatus.CANCELLED, EndRule.ATTEMPT_CANCELLED)

    def _start_attempt(self, action: StartAttempt) -> None:
        state = self._requests.get_open(action.request_id)
        if state is None:
            self._context.report_violation(GuardViolation.ATTEMPT_AFTER_FINISH, id=action.request_id)
            return
        now = self._context.loop.time()
        number = state.attempt_count
        state.attempt_count += 1
        if state.in_flight is None and state.client_request.response_handler.is_disconnected():
            self._requests.finish(state, RequestOutcome.DISCONNECTED)
            self._enqueue(ClientDisconnected(action.request_id))
            self._report_not_started(action, number, request_done=True)
            return
        endpoint = self._targets.get(action.target_id)
        latest_start = self._latest_start(state, action.target_id)
        violation = self._find_violation(state, number, endpoint, latest_start, now)
        if violation is not None:
            self._context.report_violation(violation, id=action.request_id, target=action.target_id)
            self._report_not_started(action, number, request_done=False)
            return
        assert endpoint is not None  # `_find_violation` blocks unlisted targets
        attempt = self._make_attempt(action, state, number, endpoint, latest_start, now)
        state.in_flight = attempt
        self._record_attempt_started(attempt, state)
        self._set_attempt_timers(attempt, state)
        self._context.target_client.start(attempt)

    def _find_violation(
        self,
        state: RequestState,
        number: int,
        endpoint: TargetEndpoint | None,
        latest_start: float | None,
        now: float,
    ) -> GuardViolation | None:
        """Return why an attempt must not start now; None if it may."""
        if state.in_flight is not None:
            return GuardViolation.CONCURRENT_ATTEMPT
        if state.possibly_executed and state.request_class.idempotency is Idempotency.UNSAFE:
            return GuardViolation.UNSAFE_RETRY
        if number >= min(state.max_attempts, self._context.settings.max_attempts):
            return GuardViolation.TOO_MANY_ATTEMPTS
        if endpoint is None or (latest_start is not None and now >= latest_start):
            return GuardViolation.TARGET_UNAVAILABLE
        return GuardViolation.DRAIN_OVER if now >= state.deadline.drain_end else None

    def _latest_start(self, state: RequestState, target_id: TargetId) -> float | None:
        """Return the time from which an attempt must not start; None if its start is not limited.

        The limit is the end of the target's drain grace and, for a keyed retry after an attempt that may have
        been executed, the end of the deduplication window.
        """
        drain_grace = self._context.settings.rules.drain_grace
        latest_start = self._targets.latest_start(target_id, drain_grace)
        request_class = state.request_class
        if state.possibly_executed and request_class.idempotency is Idempotency.IDEMPOTENCY_KEY:
            latest_retry = (
                state.first_executed_at + request_class.deduplication_window - DEDUPLICATION_MARGIN_SECONDS
            )
            latest_start = latest_retry if latest_start is None else min(latest_start, latest_retry)
        return latest_start

    def _make_attempt(
        self,
        action: StartAttempt,
        state: RequestState,
        number: int,
        endpoint: TargetEndpoint,
        latest_start: float | None,
        now: float,
    ) -> Attempt:
        expires_at = latest_expiry(state.deadline.due_at)
        if action.expires_at is not None:
            expires_at = min(expires_at, action.expires_at + self._context.scheduler_epoch)
        return Attempt(
            request_id=action.request_id,
            number=number,
            target_id=action.target_id,
            host=endpoint.host,
            port=endpoint.port,
            shard=state.client_request.shard,
            payload=state.client_request.payload,
            sent_at=now,
            expires_at=expires_at,
            latest_start=latest_start,
            deadline=state.deadline,
            trace_label=state.client_request.trace_label,
        )

    def _set_attempt_timers(self, attempt: Attempt, state: RequestState) -> None:
        call_at = self._timers.call_at
        state.attempt_timers.append(call_at(attempt.expires_at, self._requests.expire, attempt))
        latest_start = attempt.latest_start
        if state.possibly_executed and latest_start is not None and latest_start < attempt.expires_at:
            timer = call_at(latest_start, self._requests.cancel_if_unsent, attempt)
            state.attempt_timers.append(timer)

    def _record_attempt_started(self, attempt: Attempt, state: RequestState) -> None:
        self._context.counts[COUNT_ATTEMPTS] += 1
        if self._context.trace is not None:
            arrived_at = state.deadline.client_deadline - state.client_request.timeout
            self._context.trace(
                "attempt_started",
                id=attempt.request_id,
                attempt=attempt.number,
                target=attempt.target_id,
                waited_ms=round(MILLISECONDS_PER_SECOND * (attempt.sent_at - arrived_at), 1),
                slow_start=self._slow_start_state(attempt.target_id),
            )

    def _report_not_started(self, action: StartAttempt, number: int, request_done: bool) -> None:
        self._enqueue(
            AttemptFinished(
                request_id=action.request_id,
                attempt_number=number,
                target_id=action.target_id,
                status=AttemptStatus.NOT_STARTED,
                latency=0.0,
                request_done=request_done,
                volume_usage=None,
                other_units=0.0,
                report=(),
            )
        )
