"""Unit tests of the engine's guards with a fake target client and a scripted scheduler, without sockets."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace

import pytest

from stalltiller.routing.channel_capacity import ChannelUse
from stalltiller.routing.engine import Engine
from stalltiller.routing.exchange_end import TransferPhase, TransferProgress
from stalltiller.routing.ports import AttemptResult, ClientRequest, TargetEndpoint
from stalltiller.scheduling import (
    AttemptFinished,
    AttemptStatus,
    CancelAttempt,
    ClientDisconnected,
    DeduplicationScope,
    Fail,
    Idempotency,
    Reject,
    Request,
    StartAttempt,
    TargetListKind,
    TargetStatus,
)
from tests.helpers import (
    SchedulerHarness,
    attempt_finished,
    make_target,
    request,
    request_class,
    rules,
    settings,
)


class RecordingResponseHandler:
    def __init__(self):
        self.responses = []

    def complete(self, response):
        self.responses.append(("served", response))

    def reject(self, retry_after):
        self.responses.append(("refused", retry_after))

    def fail(self):
        self.responses.append(("failed",))

    def is_disconnected(self):
        return False


class RecordingTargetClient:
    def __init__(self):
        self.started = []
        self.abandoned = []
        self.may_execute = True
        self.progress_made = TransferProgress(TransferPhase.WAITING)
        self.passed_on = []
        self.may_pass_on = False
        self.use = ChannelUse(max_count=4)

    def start(self, attempt):
        self.started.append(attempt)

    def is_fully_sent(self, attempt):
        return self.may_execute

    def progress(self, attempt):
        return self.progress_made

    def pass_on(self, attempt):
        self.passed_on.append(attempt)
        return self.may_pass_on

    def abandon(self, attempt):
        self.abandoned.append(attempt)
        return self.may_execute

    def channel_use(self):
        return self.use


class ScriptedScheduler:
    """Replaces the scheduler; `actions_for` returns the actions for an event."""

    def __init__(self, actions_for):
        self.actions_for = actions_for
        self.events = []
        self.batch_count = 0

    def handle(self, now, events):
        self.batch_count += 1
        self.events += events
        return [action for event in events for action in self.actions_for(event)]


def run_scenario(scenario, actions_for=None, served_class=None, trace=None):
    served_class = served_class or request_class(idempotency=Idempotency.UNSAFE)

    async def run():
        engine = Engine(
            settings(classes=(served_class,), rules=rules(drain_grace=0.3)),
            1,
            asyncio.get_running_loop(),
            lambda event, **details: None,
            trace,
        )
        engine.target_client = RecordingTargetClient()
        if actions_for is not None:
            engine._scheduler = ScriptedScheduler(actions_for)
        engine.update_targets(TargetListKind.FULL, [TargetEndpoint(make_target(1), "h", 1)])
        await scenario(engine, engine.target_client)

    asyncio.run(run())


def client_request(handler, timeout=1.0, trace_label=""):
    return ClientRequest(
        class_index=0,
        plan_index=0,
        volume=1,
        units=1.0,
        volume_initiator_count=1,
        idempotency_key=0,
        shard=1,
        is_write=True,
        is_retry=False,
        timeout=timeout,
        payload="payload",
        response_handler=handler,
        trace_label=trace_label,
    )


def on_request(*actions):
    return lambda event: actions if isinstance(event, Request) else ()


def retry_after_status(status):
    return (
        lambda event: (START,)
        if isinstance(event, Request) or (isinstance(event, AttemptFinished) and event.status is status)
        else ()
    )


START = StartAttempt(1, 1, None)


async def run_batches():
    for _ in range(3):
        await asyncio.sleep(0)


@pytest.mark.parametrize(
    ("use", "responses", "started_count"),
    [
        (ChannelUse(4, is_full=True, streamed_count=3), [("refused", 1.5)], 0),
        (ChannelUse(4, is_full=True, streamed_count=2), [], 1),  # the others free theirs soon
        (ChannelUse(4, is_full=False, streamed_count=3), [], 1),
    ],
)
def test_a_request_is_rejected_at_once_if_streamed_responses_hold_the_channels(use, responses, started_count):
    """Guards against a rejection only after attempts at a channel, which pause a sound target."""

    async def scenario(engine, scheduler):
        engine.target_client.use = use
        handler = RecordingResponseHandler()
        engine.submit(client_request(handler))
        await run_batches()
        assert handler.responses == responses
        assert len(engine.target_client.started) == started_count
        assert engine.counts["rejected_without_channel"] == len(responses)

    run_scenario(scenario, on_request(START))


@pytest.mark.parametrize(
    ("actions", "responses", "started_count"),
    [
        ((Fail(1), Reject(1, 0.0)), [("failed",)], 0),
        # retry_after is limited to the settings' maximum.
        ((Reject(1, 99.0), Fail(1)), [("refused", 1.5)], 0),
        ((Fail(1), START), [("failed",)], 0),
        ((START, START), [], 1),  # a second attempt while one is in flight
        ((START, Reject(1, 0.0)), [("failed",)], 1),  # the target may be executing the attempt
        ((StartAttempt(1, 9, None),), [], 0),  # an unlisted target
    ],
)
def test_an_action_that_breaks_an_invariant_is_reported_and_not_carried_out(
    actions, responses, started_count
):
    async def scenario(engine, target_client):
        handler = RecordingResponseHandler()
        engine.submit(client_request(handler))
        await run_batches()
        assert handler.responses == responses and len(target_client.started) == started_count
        assert engine.counts["faults"] == (0 if len(actions) == 1 and responses else 1)

    run_scenario(scenario, on_request(*actions))


def test_an_unsafe_request_that_was_possibly_executed_is_never_retried():
    async def scenario(engine, target_client):
        engine.submit(client_request(RecordingResponseHandler()))
        await run_batches()
        engine.attempt_finished(target_client.started[0], AttemptResult(AttemptStatus.RESET))
        await run_batches()
        assert len(target_client.started) == 1 and engine.counts["faults"] == 1
        assert engine._scheduler.events[-1].status is AttemptStatus.NOT_STARTED

    run_scenario(scenario, retry_after_status(AttemptStatus.RESET))


@pytest.mark.parametrize(
    ("scope", "expected_response"),
    [(DeduplicationScope.ALL, "refused"), (DeduplicationScope.SHARD, "failed")],
)
def test_a_possibly_executed_request_with_a_key_is_rejected_only_if_every_target_deduplicates(
    scope, expected_response
):
    """Guards against failing it, with a guard violation, where the settings allow a rejection."""

    async def scenario(engine, target_client):
        handler = RecordingResponseHandler()
        engine.submit(client_request(handler))
        await asyncio.sleep(0.01)
        engine.attempt_finished(target_client.started[0], AttemptResult(AttemptStatus.RESET))
        await asyncio.sleep(0.01)
        assert handler.responses[0][0] == expected_response
        assert engine.counts["faults"] == (expected_response == "failed")

    run_scenario(
        scenario,
        lambda event: (START,)
        if isinstance(event, Request)
        else (Reject(1, 0.0),)
        if isinstance(event, AttemptFinished)
        else (),
        request_class(idempotency=Idempotency.IDEMPOTENCY_KEY, deduplication_scope=scope),
    )


def test_no_attempt_starts_at_a_target_after_its_drain_grace():
    async def scenario(engine, target_client):
        engine.update_targets(
            TargetListKind.DELTA, [TargetEndpoint(make_target(1, status=TargetStatus.DRAINING), "h", 1)]
        )
        engine.submit(client_request(RecordingResponseHandler()))
        await run_batches()
        (attempt,) = target_client.started
        assert attempt.latest_start == pytest.approx(attempt.sent_at + 0.2, abs=0.1)
        engine._targets._drain_notified_at[1] -= 0.3
        engine.attempt_finished(attempt, AttemptResult(AttemptStatus.REJECTED))
        await run_batches()
        assert len(target_client.started) == 1 and engine.counts["faults"] == 1

    run_scenario(scenario, retry_after_status(AttemptStatus.REJECTED))


def test_finish_all_also_ends_requests_in_the_scheduler():
    """The scheduler started an attempt after all requests had finished, which violated a guard."""

    async def scenario(engine, target_client):
        handler = RecordingResponseHandler()
        number = engine.submit(client_request(handler))
        await run_batches()
        engine.finish_all()
        await run_batches()
        # That it was open is the only violation.
        assert handler.responses == [("refused", 1.5)] and engine.counts["faults"] == 1
        assert ClientDisconnected(number) in engine._scheduler.events

    run_scenario(scenario, lambda event: ())


def test_the_engine_fails_an_open_request_before_its_deadline():
    async def scenario(engine, target_client):
        handler = RecordingResponseHandler()
        started_at = asyncio.get_running_loop().time()
        engine.submit(client_request(handler, 0.1))
        await run_batches()
        target_client.may_execute = True
        while not handler.responses:
            await asyncio.sleep(0.001)
        assert asyncio.get_running_loop().time() - started_at < 0.1
        assert handler.responses == [("failed",)] and engine.open_request_count == 0
        assert any(isinstance(event, ClientDisconnected) for event in engine._scheduler.events)

    run_scenario(scenario, lambda event: ())


def test_the_scheduler_answers_for_an_attempt_that_expires_in_a_batch_as_late_as_the_deadline_guard():
    """Guards against a violation, and a failure for a rejection, only because this process was held up."""

    async def scenario(engine, target_client):
        loop = asyncio.get_running_loop()
        target_client.may_execute = False
        handler = RecordingResponseHandler()
        deadline = loop.time() + 0.1
        engine.submit(client_request(handler, 0.1))
        await run_batches()
        assert len(target_client.started) == 1
        time.sleep(deadline - 0.004 - loop.time())  # the attempt's expiry and the guard are due in one batch
        await asyncio.sleep(0.02)
        assert (handler.responses, engine.counts["faults"]) == ([("refused", 0.5)], 0)

    run_scenario(
        scenario,
        lambda event: (StartAttempt(1, 1, 0.085),)
        if isinstance(event, Request)
        else (Reject(1, 0.5),)
        if isinstance(event, AttemptFinished)
        else (),
    )


def test_a_request_that_arrives_just_before_its_deadline_is_rejected_by_the_scheduler():
    """The deadline guard was due in the loop iteration of the request's arrival and reported a violation."""

    async def scenario(engine, target_client):
        handler = RecordingResponseHandler()
        engine.submit(client_request(handler, 0.001))
        await run_batches()
        assert handler.responses == [("refused", 1.5)] and engine.counts["faults"] == 0

    run_scenario(scenario)


def test_an_attempt_that_expires_before_it_is_sent_is_reported_as_never_executed():
    """If the connection was not established before the attempt expired, nothing was sent."""

    async def scenario(engine, target_client):
        target_client.may_execute = False
        handler = RecordingResponseHandler()
        engine.submit(client_request(handler))
        while not any(isinstance(event, AttemptFinished) for event in engine._scheduler.events):
            await asyncio.sleep(0.005)
        assert engine._scheduler.events[-1].status is AttemptStatus.CONNECT_FAILED
        assert target_client.abandoned == target_client.started

    run_scenario(scenario, on_request(StartAttempt(1, 1, 0.05)))


@pytest.mark.parametrize(
    ("progress", "ends_at"),
    [
        (TransferProgress(TransferPhase.WAITING), 0.05),
        (TransferProgress(TransferPhase.SENDING, sent_bytes=100), 0.4),
        (TransferProgress(TransferPhase.RECEIVING, 100, 0.2, is_short=True, can_pass_on=True), 0.4),
        (TransferProgress(TransferPhase.RECEIVING, 100, 0.0), 0.4),  # its client has no byte
    ],
)
def test_an_attempt_ends_at_its_clients_time_at_the_latest_unless_it_is_passed_on(progress, ends_at):
    """Guards against an expiry that cuts off what goes on, and against one that never comes."""

    async def scenario(engine, target_client):
        target_client.progress_made = progress
        engine.monitor.idle_limit = 0.6
        started_at = asyncio.get_running_loop().time()
        engine.submit(client_request(RecordingResponseHandler(), 0.4))
        while not target_client.abandoned:
            assert not target_client.passed_on
            await asyncio.sleep(0.005)
        elapsed = asyncio.get_running_loop().time() - started_at
        assert ends_at - 0.05 < elapsed < ends_at + 0.04
        assert engine.counts["ended_attempt_expired"] == progress.is_moving
        assert engine.counts["faults"] == 0

    run_scenario(scenario, on_request(StartAttempt(1, 1, 0.05)))


def test_a_response_that_goes_on_is_passed_on_from_the_expiry_on():
    async def scenario(engine, target_client):
        target_client.progress_made = TransferProgress(TransferPhase.RECEIVING, 100, 0.0, can_pass_on=True)
        target_client.may_pass_on = True
        engine.submit(client_request(RecordingResponseHandler(), 0.4))
        await asyncio.sleep(0.39)
        assert target_client.passed_on == target_client.started != []
        assert not target_client.abandoned

    run_scenario(scenario, on_request(StartAttempt(1, 1, 0.05)))


def test_the_attempt_of_a_client_that_leaves_ends_by_its_time_although_its_response_has_begun():
    """Guards against an attempt that nobody waits for and that has no expiry."""

    async def scenario(engine, target_client):
        target_client.progress_made = TransferProgress(TransferPhase.RECEIVING, 100, 0.0)
        request_id = engine.submit(client_request(RecordingResponseHandler(), 0.2))
        await asyncio.sleep(0.1)
        assert target_client.started and not target_client.abandoned
        engine.cancel(request_id)
        await asyncio.sleep(0.11)
        assert target_client.abandoned == target_client.started
        assert len(engine.monitor) == 0 and len(engine._requests) == 0

    run_scenario(scenario, on_request(StartAttempt(1, 1, 0.05)))


DRAIN_SECONDS = 0.3
BEGUN = TransferProgress(TransferPhase.RECEIVING, 100, 0.0)


@pytest.mark.parametrize("is_before", [True, False], ids=["before the drain", "in the drain"])
@pytest.mark.parametrize(
    ("progress", "may_execute", "response"),
    [
        (TransferProgress(TransferPhase.CONNECTING), False, ("refused", 1.5)),
        (TransferProgress(TransferPhase.WAITING), True, ("failed",)),
        (BEGUN, True, ("failed",)),  # an interim response or a part of a head
        (replace(BEGUN, can_pass_on=True, is_short=True), True, ("failed",)),
    ],
)
def test_a_client_without_a_byte_is_answered_by_the_end_of_a_drain(
    progress, may_execute, response, is_before
):
    """Guards against attempts that are kept past the end of a drain, up to their clients' time (issue 55)."""

    async def scenario(engine, target_client):
        loop = asyncio.get_running_loop()
        target_client.progress_made = progress
        target_client.may_execute = may_execute
        handler = RecordingResponseHandler()
        drain_end = loop.time() + DRAIN_SECONDS
        if not is_before:
            engine.begin_drain(drain_end)
        engine.submit(client_request(handler, 20.0))
        await run_batches()
        engine.begin_drain(drain_end)
        engine.begin_drain(drain_end + 9.0)  # a second signal
        assert [attempt.deadline.due_at for attempt in target_client.started] == [drain_end]
        await asyncio.sleep(DRAIN_SECONDS - 0.05)
        assert handler.responses == []
        await asyncio.sleep(0.05)
        engine.finish_all()
        assert handler.responses == [response]
        assert target_client.abandoned == target_client.started and not target_client.passed_on
        assert engine.counts["faults"] == 0

    unsafe_class = request_class(idempotency=Idempotency.UNSAFE, latency_objective=0.5, deadline=25.0)
    run_scenario(scenario, served_class=unsafe_class)


@pytest.mark.parametrize("status", [AttemptStatus.ERROR, AttemptStatus.RESET, AttemptStatus.CONNECT_FAILED])
@pytest.mark.parametrize("fails_before_end", [0.005, 0.03, 0.1])
def test_an_attempt_that_fails_about_the_end_of_a_drain_is_not_started_again_after_it(
    status, fails_before_end
):
    """Guards against a retry with nothing to end it but its client's time (issue 55)."""

    async def scenario(engine, target_client):
        loop = asyncio.get_running_loop()
        handler = RecordingResponseHandler()
        drain_end = loop.time() + DRAIN_SECONDS
        engine.begin_drain(drain_end)
        engine.submit(client_request(handler, 20.0))
        await run_batches()
        await asyncio.sleep(drain_end - fails_before_end - loop.time())
        if not handler.responses:
            engine.attempt_finished(target_client.started[0], AttemptResult(status))
        await asyncio.sleep(drain_end - loop.time() + 0.02)
        engine.finish_all()
        assert len(handler.responses) == 1 and engine.open_request_count == 0
        assert all(attempt.sent_at < drain_end for attempt in target_client.started)
        assert engine.counts["faults"] == 0

    run_scenario(scenario, served_class=request_class(latency_objective=0.5, deadline=25.0))


@pytest.mark.parametrize(
    "progress", [TransferProgress(TransferPhase.SENDING, sent_bytes=100), BEGUN], ids=["sending", "begun"]
)
def test_an_attempt_that_goes_on_has_the_whole_drain_although_its_own_time_ends_in_it(progress):
    """Guards against two expiry timers at one time: the second took the first one's wait for the deadline."""

    async def scenario(engine, target_client):
        loop = asyncio.get_running_loop()
        target_client.progress_made = progress
        engine.submit(client_request(RecordingResponseHandler(), 20.0))
        await run_batches()
        drain_end = loop.time() + DRAIN_SECONDS
        engine.begin_drain(drain_end)
        await asyncio.sleep(DRAIN_SECONDS - 0.05)
        assert target_client.started and not target_client.abandoned
        await asyncio.sleep(0.05)
        assert target_client.abandoned == target_client.started

    run_scenario(scenario, on_request(StartAttempt(1, 1, 0.1)))


@pytest.mark.parametrize("is_draining", [False, True])
def test_the_scheduler_is_told_the_time_that_is_left_when_its_batch_runs(is_draining):
    """Guards against attempts for requests whose time was over while the process was suspended (issue 55)."""

    async def scenario(engine, target_client):
        if is_draining:
            engine.begin_drain(asyncio.get_running_loop().time() + 0.4)
        handlers = [RecordingResponseHandler() for _ in range(2)]
        engine.submit(client_request(handlers[0], 0.6))
        engine.submit(client_request(handlers[1], 20.0))
        time.sleep(0.3)
        await run_batches()
        received = [event for event in engine._scheduler.events if isinstance(event, Request)]
        left = [min(event.time_remaining, event.response_due_in) for event in received]
        assert 0.0 < left[0] < (0.1 if is_draining else 0.3)
        assert 0.0 < left[1] < (0.1 if is_draining else 19.7)

    run_scenario(scenario, lambda event: ())


def test_requests_about_the_end_of_a_drain_are_rejected_at_once_and_never_sent():
    async def scenario(engine, target_client):
        loop = asyncio.get_running_loop()
        handlers = [RecordingResponseHandler() for _ in range(2)]
        engine.begin_drain(loop.time() + 0.01)
        engine.submit(client_request(handlers[0], 20.0))
        engine.finish_all()  # its rejection follows
        await asyncio.sleep(0.02)
        engine.submit(client_request(handlers[1], 20.0))
        await run_batches()
        assert [handler.responses for handler in handlers] == [[("refused", 1.5)]] * 2
        assert target_client.started == []
        assert (engine.counts["faults"], engine.counts["rejected_after_drain"]) == (0, 2)

    run_scenario(scenario)


def test_a_process_that_is_held_up_across_the_end_of_a_drain_still_answers_without_a_violation():
    """Guards against a guard that fails requests which the scheduler has had no turn to reject."""

    async def scenario(engine, target_client):
        handlers = [RecordingResponseHandler() for _ in range(40)]  # more than the target takes at once
        engine.begin_drain(asyncio.get_running_loop().time() + 0.1)
        for handler in handlers:
            engine.submit(client_request(handler, 20.0))
        await run_batches()
        started_ids = {attempt.request_id for attempt in target_client.started}
        queued = [handler for number, handler in enumerate(handlers, 1) if number not in started_ids]
        assert started_ids and queued
        time.sleep(0.2)
        await run_batches()
        await run_batches()
        engine.finish_all()
        assert all(len(handler.responses) == 1 for handler in handlers)
        assert {handler.responses[0][0] for handler in queued} == {"refused"}
        assert engine.counts["faults"] == 0

    unsafe_class = request_class(idempotency=Idempotency.UNSAFE, latency_objective=0.2, deadline=25.0)
    run_scenario(scenario, served_class=unsafe_class)


def test_a_request_that_is_open_after_a_drain_is_answered_and_logged():
    async def scenario(engine, target_client):
        handler = RecordingResponseHandler()
        engine.submit(client_request(handler, 20.0))
        await run_batches()
        engine.finish_all()
        assert handler.responses == [("failed",)] and engine.counts["faults"] == 1

    run_scenario(scenario)


@pytest.mark.parametrize("phase", [TransferPhase.WAITING, TransferPhase.RECEIVING])
def test_an_attempt_whose_response_has_begun_is_not_cancelled_as_lost(phase):
    async def scenario(engine, target_client):
        target_client.progress_made = TransferProgress(phase, 100, 0.0)
        engine.submit(client_request(RecordingResponseHandler()))
        await run_batches()
        assert len(target_client.abandoned) == (phase is TransferPhase.WAITING)

    run_scenario(scenario, on_request(START, CancelAttempt(1, 0)))


def test_the_events_of_one_loop_iteration_reach_the_scheduler_in_one_call():
    async def scenario(engine, target_client):
        await run_batches()
        batches_before = engine._scheduler.batch_count
        for _ in range(5):
            engine.submit(client_request(RecordingResponseHandler()))
        await run_batches()
        assert engine._scheduler.batch_count == batches_before + 1
        assert [event.request_id for event in engine._scheduler.events[-5:]] == [1, 2, 3, 4, 5]

    run_scenario(scenario, lambda event: ())


def test_an_exception_in_the_scheduler_is_reported_and_every_request_still_gets_a_response():
    async def scenario(engine, target_client):
        handler = RecordingResponseHandler()
        engine.submit(client_request(handler, 0.05))
        while not handler.responses:
            await asyncio.sleep(0.005)
        assert handler.responses == [("failed",)] and engine.counts["faults"] >= 1

    def raise_error(event):
        raise ValueError("broken")

    run_scenario(scenario, raise_error)


def test_the_request_table_is_empty_once_all_attempts_have_ended():
    async def scenario(engine, target_client):
        handler = RecordingResponseHandler()
        number = engine.submit(client_request(handler))
        await run_batches()
        engine.cancel(number)
        await run_batches()
        assert engine.open_request_count == 0 and len(engine._requests) == 1  # the attempt is still in flight
        engine.attempt_finished(target_client.started[0], AttemptResult(AttemptStatus.OK, "late"))
        await run_batches()
        assert handler.responses == [] and len(engine._requests) == 0 and engine._scheduler.pending == {}

    run_scenario(scenario)


# --- The scheduler without an engine --------------------------------------------------------------
@pytest.mark.parametrize("attempt_count", [1, 2, 3, 4])
def test_an_unsafe_write_that_was_never_executed_is_rejected_after_any_number_of_attempts(attempt_count):
    """It was failed after the second rejection by a target, although its client could safely retry."""
    harness = SchedulerHarness(
        classes=(request_class(idempotency=Idempotency.UNSAFE),), max_attempts=attempt_count
    )
    harness.handle(0.0, request(1))
    actions = []
    for attempt in range(attempt_count):
        actions = harness.handle(
            0.2 * attempt + 0.1, attempt_finished(1, status=AttemptStatus.REJECTED, attempt_number=attempt)
        )
        actions += harness.poll(0.2 * attempt + 0.25)
    assert [type(action) for action in actions] == [Reject]


def fail_after_attempt(event):
    """Start one attempt for a request, and fail the request after the attempt."""
    if isinstance(event, Request):
        return (START,)
    return (Fail(1),) if isinstance(event, AttemptFinished) else ()


@pytest.mark.parametrize(
    ("status", "actions_for", "steps"),
    [
        # The response ends the request before the attempt.
        (
            AttemptStatus.OK,
            on_request(START),
            ["request_received", "attempt_started", "request_finished", "attempt_finished"],
        ),
        (
            AttemptStatus.ERROR,
            fail_after_attempt,
            ["request_received", "attempt_started", "attempt_finished", "request_finished"],
        ),
    ],
)
def test_the_trace_contains_each_step_of_a_request_with_its_label(status, actions_for, steps):
    lines = []

    async def scenario(engine, target_client):
        engine.submit(client_request(RecordingResponseHandler(), trace_label="9b1f03aa"))
        await run_batches()
        engine.attempt_finished(target_client.started[0], AttemptResult(status, "response"))
        await run_batches()

    run_scenario(scenario, actions_for, trace=lambda event, **details: lines.append((event, details)))
    assert [event for event, _ in lines] == steps and lines[0][1]["label"] == "9b1f03aa"


class ClosedAdmissionGate:
    """An admission gate that admits nothing and halves the delays of the scheduler's rejections."""

    def admit(self, client_request):
        return 0.2

    def retry_after(self, delay):
        return delay / 2


@pytest.mark.parametrize("disconnects", [False, True])
def test_a_request_that_is_not_admitted_is_rejected_once_in_a_later_iteration_and_never_sent(disconnects):
    async def scenario(engine, target_client):
        engine.set_admission_gate(ClosedAdmissionGate())
        handler = RecordingResponseHandler()
        number = engine.submit(client_request(handler))
        assert handler.responses == [] and engine.open_request_count == 1
        if disconnects:
            engine.cancel(number)
        await asyncio.sleep(0.05)
        assert handler.responses == ([] if disconnects else [("refused", 0.2)])
        assert (engine.open_request_count, engine.counts["turned_back"], target_client.started) == (
            0,
            int(not disconnects),
            [],
        )

    run_scenario(scenario)


def test_the_admission_gate_adapts_the_retry_after_of_the_scheduler():
    async def scenario(engine, target_client):
        handler = RecordingResponseHandler()
        engine.set_admission_gate(ClosedAdmissionGate())
        engine._context.admission_gate.admit = lambda client_request: 0.0
        engine.submit(client_request(handler))
        await asyncio.sleep(0.05)
        assert handler.responses == [("refused", 0.1)]

    run_scenario(scenario, on_request(Reject(1, 0.2)))
