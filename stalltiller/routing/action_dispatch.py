"""Carries out the scheduler's actions, and holds back what the rules forbid.

The dispatcher decides nothing.  An action that breaks a rule of `guard.GuardViolation` is logged and counted
and not carried out; a forbidden attempt is reported to the scheduler as not started.
"""

from __future__ import annotations

from collections.abc import Callable

from stalltiller.routing.context import COUNT_ATTEMPTS, EngineContext
from stalltiller.routing.guard import GuardViolation
from stalltiller.routing.ports import Attempt, TargetEndpoint
from stalltiller.routing.request_state import RequestOutcome, RequestState
from stalltiller.routing.request_table import MILLISECONDS, RequestTable
from stalltiller.routing.slow_start_state import SlowStartState
from stalltiller.routing.target_table import TargetTable
from stalltiller.routing.timers import TimerQueue
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

ANSWER_MARGIN_SECONDS = 0.015  # the scheduler's deadline is so much earlier: the way back, a late batch
RETRY_MARGIN_SECONDS = 0.02  # no retry starts so shortly before targets may forget its idempotency key


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

        Probes and calls for the target list are ignored: the platform has no probes, and the daemon watches
        the list all the time.
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

    # --- Final answers ----------------------------------------------------------------------------
    def _reject(self, action: Reject) -> None:
        state = self._get_unanswered(action.request_id)
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
        state = self._get_unanswered(action.request_id)
        if state is not None:
            self._requests.finish(state, RequestOutcome.FAILED)
            state.client_request.response_handler.fail()

    def _get_unanswered(self, request_id: int) -> RequestState | None:
        state = self._requests.get_open(request_id)
        if state is None:
            self._context.report_violation(GuardViolation.ANSWERED_TWICE, id=request_id)
        return state

    # --- Attempts ---------------------------------------------------------------------------------
    def _cancel_attempt(self, action: CancelAttempt) -> None:
        state = self._requests.get(action.request_id)
        attempt = None if state is None else state.in_flight
        if attempt is not None and attempt.number == action.attempt_number:
            self._requests.abandon(attempt, AttemptStatus.CANCELLED)

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
        assert endpoint is not None  # or it was a violation
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
        """Why an attempt must not start now; None if it may."""
        if state.in_flight is not None:
            return GuardViolation.CONCURRENT_ATTEMPT
        if state.possibly_executed and state.request_class.idempotency is Idempotency.UNSAFE:
            return GuardViolation.UNSAFE_RETRY
        if number >= min(state.max_attempts, self._context.settings.max_attempts):
            return GuardViolation.TOO_MANY_ATTEMPTS
        if endpoint is None or (latest_start is not None and now >= latest_start):
            return GuardViolation.TARGET_UNAVAILABLE
        return None

    def _latest_start(self, state: RequestState, target_id: TargetId) -> float | None:
        """The time from which an attempt must not start; None if there is no such time.

        It is set by the target's drain and, for a retry under an idempotency key, by the time until which
        targets recognise it.
        """
        drain_grace = self._context.settings.rules.drain_grace
        latest_start = self._targets.latest_start(target_id, drain_grace)
        request_class = state.request_class
        if state.possibly_executed and request_class.idempotency is Idempotency.IDEMPOTENCY_KEY:
            forgotten_at = state.first_executed_at + request_class.deduplication_window - RETRY_MARGIN_SECONDS
            latest_start = forgotten_at if latest_start is None else min(latest_start, forgotten_at)
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
        expires_at = state.deadline - ANSWER_MARGIN_SECONDS
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
        )

    def _set_attempt_timers(self, attempt: Attempt, state: RequestState) -> None:
        self._timers.call_at(attempt.expires_at, self._requests.expire, attempt)
        latest_start = attempt.latest_start
        if state.possibly_executed and latest_start is not None and latest_start < attempt.expires_at:
            self._timers.call_at(latest_start, self._requests.withdraw, attempt)

    def _record_attempt_started(self, attempt: Attempt, state: RequestState) -> None:
        self._context.counts[COUNT_ATTEMPTS] += 1
        if self._context.trace is not None:
            waited_seconds = attempt.sent_at - state.deadline + state.client_request.timeout
            self._context.trace(
                "attempt_started",
                id=attempt.request_id,
                attempt=attempt.number,
                target=attempt.target_id,
                waited_ms=round(MILLISECONDS * waited_seconds, 1),
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
