"""The engine's guards, with a target client and a scheduler that are made to misbehave; no sockets."""

from __future__ import annotations

import asyncio

import pytest

from stalltiller.routing.engine import Engine
from stalltiller.routing.ports import AttemptResult, ClientRequest, TargetEndpoint
from stalltiller.scheduling import (
    AttemptFinished,
    AttemptStatus,
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
from tests.helpers import SchedulerHarness, entry, outcome, request, request_class, rules, settings


class RecordingResponseHandler:
    def __init__(self):
        self.answers = []

    def complete(self, answer):
        self.answers.append(("served", answer))

    def reject(self, retry_after):
        self.answers.append(("refused", retry_after))

    def fail(self):
        self.answers.append(("failed",))

    def is_disconnected(self):
        return False


class RecordingTargetClient:
    def __init__(self):
        self.started = []
        self.abandoned = []
        self.may_execute = True

    def start(self, attempt):
        self.started.append(attempt)

    def is_fully_sent(self, attempt):
        return self.may_execute

    def abandon(self, attempt):
        self.abandoned.append(attempt)
        return self.may_execute


class ScriptedScheduler:
    """Stands in for the scheduler: a function gives the actions for each event."""

    def __init__(self, act):
        self.act = act
        self.events = []
        self.batch_count = 0

    def handle(self, now, events):
        self.batch_count += 1
        self.events += events
        return [action for event in events for action in self.act(event)]


def play(scene, act=None, served_class=None, trace=None):
    served_class = served_class or request_class(idempotency=Idempotency.UNSAFE)

    async def whole():
        engine = Engine(
            settings(classes=(served_class,), rules=rules(drain_grace=0.3)),
            1,
            asyncio.get_running_loop(),
            lambda event, **details: None,
            trace,
        )
        engine.target_client = RecordingTargetClient()
        if act is not None:
            engine._scheduler = ScriptedScheduler(act)
        engine.update_targets(TargetListKind.FULL, [TargetEndpoint(entry(1), "h", 1)])
        await scene(engine, engine.target_client)

    asyncio.run(whole())


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
    ("actions", "answers", "started"),
    [
        ((Fail(1), Reject(1, 0.0)), [("failed",)], 0),
        (
            (Reject(1, 99.0), Fail(1)),
            [("refused", 1.5)],
            0,
        ),  # retry_after within the settings' maximum
        ((Fail(1), START), [("failed",)], 0),
        ((START, START), [], 1),  # a second attempt at once
        ((START, Reject(1, 0.0)), [("failed",)], 1),  # the attempt may be running
        ((StartAttempt(1, 9, None),), [], 0),  # a target that was never listed
    ],
)
def test_an_action_that_breaks_a_rule_is_reported_and_not_carried_out(actions, answers, started):
    async def scene(engine, target_client):
        handler = RecordingResponseHandler()
        engine.submit(client_request(handler))
        await run_batches()
        assert handler.answers == answers and len(target_client.started) == started
        assert engine.counts["faults"] == (0 if len(actions) == 1 and answers else 1)

    play(scene, on_request(*actions))


def test_an_unsafe_request_that_was_possibly_executed_is_never_retried():
    async def scene(engine, target_client):
        engine.submit(client_request(RecordingResponseHandler()))
        await run_batches()
        engine.attempt_finished(target_client.started[0], AttemptResult(AttemptStatus.RESET))
        await run_batches()
        assert len(target_client.started) == 1 and engine.counts["faults"] == 1
        assert engine._scheduler.events[-1].status is AttemptStatus.NOT_STARTED

    play(scene, retry_after_status(AttemptStatus.RESET))


@pytest.mark.parametrize(
    ("scope", "end"), [(DeduplicationScope.ALL, "refused"), (DeduplicationScope.SHARD, "failed")]
)
def test_a_possibly_executed_request_with_a_key_is_rejected_only_if_every_target_deduplicates(scope, end):
    """It used to be failed, and reported as a guard violation, also where the settings allow a rejection."""

    async def scene(engine, target_client):
        handler = RecordingResponseHandler()
        engine.submit(client_request(handler))
        await asyncio.sleep(0.01)
        engine.attempt_finished(target_client.started[0], AttemptResult(AttemptStatus.RESET))
        await asyncio.sleep(0.01)
        assert handler.answers[0][0] == end
        assert engine.counts["faults"] == (end == "failed")

    play(
        scene,
        lambda event: (START,)
        if isinstance(event, Request)
        else (Reject(1, 0.0),)
        if isinstance(event, AttemptFinished)
        else (),
        request_class(idempotency=Idempotency.IDEMPOTENCY_KEY, deduplication_scope=scope),
    )


def test_no_attempt_starts_at_a_target_after_its_drain_grace():
    async def scene(engine, target_client):
        engine.update_targets(
            TargetListKind.DELTA, [TargetEndpoint(entry(1, status=TargetStatus.DRAINING), "h", 1)]
        )
        engine.submit(client_request(RecordingResponseHandler()))
        await run_batches()
        (attempt,) = target_client.started
        assert attempt.latest_start == pytest.approx(attempt.sent_at + 0.2, abs=0.1)
        engine._targets._drain_notified_at[1] -= 0.3
        engine.attempt_finished(attempt, AttemptResult(AttemptStatus.REJECTED))
        await run_batches()
        assert len(target_client.started) == 1 and engine.counts["faults"] == 1

    play(scene, retry_after_status(AttemptStatus.REJECTED))


def test_finish_all_ends_requests_for_the_scheduler_too():
    """Found on roll+mass: after all was answered the scheduler started an attempt, and a guard stepped in."""

    async def scene(engine, target_client):
        handler = RecordingResponseHandler()
        number = engine.submit(client_request(handler))
        await run_batches()
        engine.finish_all()
        await run_batches()
        assert handler.answers == [("refused", 1.5)] and engine.counts["faults"] == 0
        assert ClientDisconnected(number) in engine._scheduler.events

    play(scene, lambda event: ())


def test_the_engine_fails_an_unanswered_request_before_its_deadline():
    async def scene(engine, target_client):
        handler = RecordingResponseHandler()
        began = asyncio.get_running_loop().time()
        engine.submit(client_request(handler, 0.1))
        await run_batches()
        target_client.may_execute = True
        while not handler.answers:
            await asyncio.sleep(0.001)
        assert asyncio.get_running_loop().time() - began < 0.1
        assert handler.answers == [("failed",)] and engine.open_request_count == 0
        assert any(isinstance(event, ClientDisconnected) for event in engine._scheduler.events)

    play(scene, lambda event: ())


def test_a_request_with_hardly_any_time_left_is_rejected_by_the_scheduler():
    """The deadline guard was due in the turn in which the request arrived, and reported a violation."""

    async def scene(engine, target_client):
        handler = RecordingResponseHandler()
        engine.submit(client_request(handler, 0.001))
        await run_batches()
        assert handler.answers == [("refused", 1.5)] and engine.counts["faults"] == 0

    play(scene)


def test_an_attempt_that_expires_before_it_was_sent_was_never_executed():
    """A connection that was not established in the attempt's time proves that nothing was sent."""

    async def scene(engine, target_client):
        target_client.may_execute = False
        handler = RecordingResponseHandler()
        engine.submit(client_request(handler))
        while not any(isinstance(event, AttemptFinished) for event in engine._scheduler.events):
            await asyncio.sleep(0.005)
        assert engine._scheduler.events[-1].status is AttemptStatus.CONNECT_FAILED
        assert target_client.abandoned == target_client.started

    play(scene, on_request(StartAttempt(1, 1, 0.05)))


def test_the_events_of_one_loop_turn_reach_the_scheduler_in_one_call():
    async def scene(engine, target_client):
        await run_batches()
        before = engine._scheduler.batch_count
        for _ in range(5):
            engine.submit(client_request(RecordingResponseHandler()))
        await run_batches()
        assert engine._scheduler.batch_count == before + 1
        assert [event.request_id for event in engine._scheduler.events[-5:]] == [1, 2, 3, 4, 5]

    play(scene, lambda event: ())


def test_an_exception_in_the_scheduler_is_reported_and_every_request_still_answered():
    async def scene(engine, target_client):
        handler = RecordingResponseHandler()
        engine.submit(client_request(handler, 0.05))
        while not handler.answers:
            await asyncio.sleep(0.005)
        assert handler.answers == [("failed",)] and engine.counts["faults"] >= 1

    def act(event):
        raise ValueError("broken")

    play(scene, act)


def test_the_request_table_is_empty_once_all_attempts_have_ended():
    async def scene(engine, target_client):
        handler = RecordingResponseHandler()
        number = engine.submit(client_request(handler))
        await run_batches()
        engine.cancel(number)
        await run_batches()
        assert engine.open_request_count == 0 and len(engine._requests) == 1  # the attempt is still in flight
        engine.attempt_finished(target_client.started[0], AttemptResult(AttemptStatus.OK, "late"))
        await run_batches()
        assert handler.answers == [] and len(engine._requests) == 0 and engine._scheduler.pending == {}

    play(scene)


# --- The scheduler: found by the rule tests on sockets --------------------------------------------
@pytest.mark.parametrize("times", [1, 2, 3, 4])
def test_an_unsafe_write_that_was_never_executed_is_rejected_after_any_number_of_attempts(times):
    """It was failed from the second rejection on, although its client could safely have retried."""
    gateway = SchedulerHarness(classes=(request_class(idempotency=Idempotency.UNSAFE),), max_attempts=times)
    gateway.feed(0.0, request(1))
    actions = []
    for attempt in range(times):
        actions = gateway.feed(
            0.2 * attempt + 0.1, outcome(1, status=AttemptStatus.REJECTED, attempt_number=attempt)
        )
        actions += gateway.poll(0.2 * attempt + 0.25)
    assert [type(action) for action in actions] == [Reject]


def fail_after_attempt(event):
    """Start one attempt for a request, and fail the request when the attempt has ended."""
    if isinstance(event, Request):
        return (START,)
    return (Fail(1),) if isinstance(event, AttemptFinished) else ()


@pytest.mark.parametrize(
    ("status", "act", "steps"),
    [
        (
            AttemptStatus.OK,
            on_request(START),
            ["request_received", "attempt_started", "request_finished", "attempt_finished"],
        ),  # answered at once
        (
            AttemptStatus.ERROR,
            fail_after_attempt,
            ["request_received", "attempt_started", "attempt_finished", "request_finished"],
        ),
    ],
)
def test_the_trace_contains_each_step_of_a_request_with_its_label(status, act, steps):
    lines = []

    async def scene(engine, target_client):
        engine.submit(client_request(RecordingResponseHandler(), trace_label="9b1f03aa"))
        await run_batches()
        engine.attempt_finished(target_client.started[0], AttemptResult(status, "answer"))
        await run_batches()

    play(scene, act, trace=lambda event, **details: lines.append((event, details)))
    assert [event for event, _ in lines] == steps and lines[0][1]["label"] == "9b1f03aa"


class ClosedAdmissionGate:
    """An admission gate that admits nothing and halves the delays of other rejections."""

    def admit(self, client_request):
        return 0.2

    def retry_after(self, delay):
        return delay / 2


@pytest.mark.parametrize("disconnects", [False, True])
def test_a_request_that_is_not_admitted_is_rejected_once_in_a_later_turn_and_never_sent(disconnects):
    async def scene(engine, target_client):
        engine.set_admission_gate(ClosedAdmissionGate())
        handler = RecordingResponseHandler()
        number = engine.submit(client_request(handler))
        assert handler.answers == [] and engine.open_request_count == 1
        if disconnects:
            engine.cancel(number)
        await asyncio.sleep(0.05)
        assert handler.answers == ([] if disconnects else [("refused", 0.2)])
        assert (engine.open_request_count, engine.counts["turned_back"], target_client.started) == (
            0,
            int(not disconnects),
            [],
        )

    play(scene)


def test_the_admission_gate_adapts_the_retry_after_of_the_scheduler():
    async def scene(engine, target_client):
        handler = RecordingResponseHandler()
        engine.set_admission_gate(ClosedAdmissionGate())
        engine._context.admission_gate.admit = lambda client_request: 0.0
        engine.submit(client_request(handler))
        await asyncio.sleep(0.05)
        assert handler.answers == [("refused", 0.1)]

    play(scene, on_request(Reject(1, 0.2)))
