"""The engine's guards, with a carrier and a scheduler that are made to misbehave; no sockets."""

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


class Reply:
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


class Carrier:
    def __init__(self):
        self.started, self.abandoned, self.ran = [], [], True

    def start(self, attempt):
        self.started.append(attempt)

    def is_fully_sent(self, attempt):
        return self.ran

    def abandon(self, attempt):
        self.abandoned.append(attempt)
        return self.ran


class Script:
    """Stands in for the scheduler: answers each event by a function, else does nothing."""

    def __init__(self, act):
        self.act, self.events, self.turns = act, [], 0

    def handle(self, now, events):
        self.turns += 1
        self.events += events
        return [action for event in events for action in self.act(event)]


def play(scene, act=None, effect=Idempotency.UNSAFE):
    async def whole():
        engine = Engine(
            settings(classes=(request_class(idempotency=effect),), rules=rules(drain_grace=0.3)),
            1,
            asyncio.get_running_loop(),
            lambda event, **details: None,
        )
        engine.target_client = Carrier()
        if act is not None:
            engine._scheduler = Script(act)
        engine.update_targets(TargetListKind.FULL, [TargetEndpoint(entry(1), "h", 1)])
        await scene(engine, engine.target_client)

    asyncio.run(whole())


def incoming(reply, timeout=1.0):
    return ClientRequest(0, 0, 1, 1.0, 1, 0, 1, True, False, timeout, "payload", reply)


def on_request(*actions):
    return lambda event: actions if isinstance(event, Request) else ()


def again_after(status):
    return (
        lambda event: (SEND,)
        if isinstance(event, Request) or (isinstance(event, AttemptFinished) and event.status is status)
        else ()
    )


SEND = StartAttempt(1, 1, None)


async def turn():
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
        ),  # advice within the settings' maximum
        ((Fail(1), SEND), [("failed",)], 0),
        ((SEND, SEND), [], 1),  # a second attempt at once
        ((SEND, Reject(1, 0.0)), [("failed",)], 1),  # the attempt may be running
        ((StartAttempt(1, 9, None),), [], 0),  # a target that was never listed
    ],
)
def test_a_decision_against_the_rules_is_a_fault_and_not_carried_out(actions, answers, started):
    async def scene(engine, carrier):
        reply = Reply()
        engine.submit(incoming(reply))
        await turn()
        assert reply.answers == answers and len(carrier.started) == started
        assert engine.counts["faults"] == (0 if len(actions) == 1 and answers else 1)

    play(scene, on_request(*actions))


def test_what_may_have_run_is_not_sent_again_whatever_the_decision():
    async def scene(engine, carrier):
        engine.submit(incoming(Reply()))
        await turn()
        engine.attempt_finished(carrier.started[0], AttemptResult(AttemptStatus.RESET))
        await turn()
        assert len(carrier.started) == 1 and engine.counts["faults"] == 1
        assert engine._scheduler.events[-1].status is AttemptStatus.NOT_STARTED

    play(scene, again_after(AttemptStatus.RESET))


@pytest.mark.parametrize(
    ("scope", "end"), [(DeduplicationScope.ALL, "refused"), (DeduplicationScope.SHARD, "failed")]
)
def test_a_keyed_request_that_may_have_run_is_refused_only_where_every_target_knows_a_repeat(scope, end):
    """It was failed, and the decision taken for a fault, also where the settings allow the refusal."""

    async def scene(engine, carrier):
        engine.settings = settings(
            classes=(request_class(idempotency=Idempotency.IDEMPOTENCY_KEY, deduplication_scope=scope),)
        )
        reply = Reply()
        engine.submit(incoming(reply))
        await asyncio.sleep(0.01)
        engine.attempt_finished(carrier.started[0], AttemptResult(AttemptStatus.RESET))
        await asyncio.sleep(0.01)
        assert reply.answers[0][0] == end
        assert engine.counts["faults"] == (end == "failed")

    play(
        scene,
        lambda event: (SEND,)
        if isinstance(event, Request)
        else (Reject(1, 0.0),)
        if isinstance(event, AttemptFinished)
        else (),
    )


def test_nothing_starts_at_a_target_past_its_drain_time():
    async def scene(engine, carrier):
        engine.update_targets(
            TargetListKind.DELTA, [TargetEndpoint(entry(1, status=TargetStatus.DRAINING), "h", 1)]
        )
        engine.submit(incoming(Reply()))
        await turn()
        (attempt,) = carrier.started
        assert attempt.latest_start == pytest.approx(attempt.sent_at + 0.2, abs=0.1)
        engine._told[1] -= 0.3
        engine.attempt_finished(attempt, AttemptResult(AttemptStatus.REJECTED))
        await turn()
        assert len(carrier.started) == 1 and engine.counts["faults"] == 1

    play(scene, again_after(AttemptStatus.REJECTED))


def test_what_the_end_answers_is_over_for_the_scheduler_too():
    """Found on roll+mass: after the answers of a stop the scheduler sent one more, and a guard stepped in."""

    async def scene(engine, carrier):
        reply = Reply()
        number = engine.submit(incoming(reply))
        await turn()
        engine.finish_all()
        await turn()
        assert reply.answers == [("refused", 1.5)] and engine.counts["faults"] == 0
        assert ClientDisconnected(number) in engine._scheduler.events

    play(scene, lambda event: ())


def test_the_backstop_answers_before_the_deadline_and_the_late_answer_is_dropped():
    async def scene(engine, carrier):
        reply = Reply()
        began = asyncio.get_running_loop().time()
        engine.submit(incoming(reply, 0.1))
        await turn()
        carrier.ran = True
        while not reply.answers:
            await asyncio.sleep(0.001)
        assert asyncio.get_running_loop().time() - began < 0.1
        assert reply.answers == [("failed",)] and engine.open_request_count == 0
        assert any(isinstance(event, ClientDisconnected) for event in engine._scheduler.events)

    play(scene, lambda event: ())


def test_a_request_with_hardly_any_time_left_is_refused_by_the_scheduler_not_the_backstop():
    """The backstop came due within the turn that took the request, and was logged as a fault."""

    async def scene(engine, carrier):
        reply = Reply()
        engine.submit(incoming(reply, 0.001))
        await turn()
        assert reply.answers == [("refused", 1.5)] and engine.counts["faults"] == 0

    play(scene)


def test_an_attempt_given_up_before_it_came_out_never_ran():
    """A connection that never came up in the attempt's time proves that nothing was sent."""

    async def scene(engine, carrier):
        carrier.ran = False
        reply = Reply()
        engine.submit(incoming(reply))
        while not any(isinstance(event, AttemptFinished) for event in engine._scheduler.events):
            await asyncio.sleep(0.005)
        assert engine._scheduler.events[-1].status is AttemptStatus.CONNECT_FAILED
        assert carrier.abandoned == carrier.started

    play(scene, on_request(StartAttempt(1, 1, 0.05)))


def test_the_events_of_a_turn_reach_the_scheduler_in_one_call():
    async def scene(engine, carrier):
        await turn()
        before = engine._scheduler.turns
        for _ in range(5):
            engine.submit(incoming(Reply()))
        await turn()
        assert engine._scheduler.turns == before + 1
        assert [event.request_id for event in engine._scheduler.events[-5:]] == [1, 2, 3, 4, 5]

    play(scene, lambda event: ())


def test_a_crash_of_the_decisions_is_a_fault_and_every_request_is_still_answered():
    async def scene(engine, carrier):
        reply = Reply()
        engine.submit(incoming(reply, 0.05))
        while not reply.answers:
            await asyncio.sleep(0.005)
        assert reply.answers == [("failed",)] and engine.counts["faults"] >= 1

    def act(event):
        raise ValueError("broken")

    play(scene, act)


def test_the_table_is_empty_when_all_is_over():
    async def scene(engine, carrier):
        reply = Reply()
        number = engine.submit(incoming(reply))
        await turn()
        engine.cancel(number)
        await turn()
        assert engine.open_request_count == 0 and len(engine._entries) == 1  # the attempt is still out
        engine.attempt_finished(carrier.started[0], AttemptResult(AttemptStatus.OK, "late"))
        await turn()
        assert reply.answers == [] and engine._entries == {} and engine._scheduler.pending == {}

    play(scene)


# --- The module: found by the rule tests on sockets -----------------------------------------------
@pytest.mark.parametrize("times", [1, 2, 3, 4])
def test_an_unsafe_write_that_never_ran_is_refused_however_often_it_was_turned_away(times):
    """It was failed from the second time on, although its client could safely have tried again."""
    gateway = SchedulerHarness(classes=(request_class(idempotency=Idempotency.UNSAFE),), max_attempts=times)
    gateway.feed(0.0, request(1))
    actions = []
    for attempt in range(times):
        actions = gateway.feed(
            0.2 * attempt + 0.1, outcome(1, status=AttemptStatus.REJECTED, attempt_number=attempt)
        )
        actions += gateway.poll(0.2 * attempt + 0.25)
    assert [type(action) for action in actions] == [Reject]


def fail_after(event):
    """Send a request once, and fail it when the attempt has ended."""
    if isinstance(event, Request):
        return (SEND,)
    return (Fail(1),) if isinstance(event, AttemptFinished) else ()


@pytest.mark.parametrize(
    ("status", "act", "steps"),
    [
        (
            AttemptStatus.OK,
            on_request(SEND),
            ["taken", "attempt", "answered", "attempt_ended"],
        ),  # answered at once
        (AttemptStatus.ERROR, fail_after, ["taken", "attempt", "attempt_ended", "answered"]),
    ],
)
def test_a_trace_tells_each_step_of_a_request_under_its_clients_name(status, act, steps):
    lines = []

    async def scene(engine, carrier):
        engine._trace = lambda event, **details: lines.append((event, details))
        engine.submit(ClientRequest(0, 0, 1, 1.0, 1, 0, 1, True, False, 1.0, "payload", Reply(), "9b1f03aa"))
        await turn()
        engine.attempt_finished(carrier.started[0], AttemptResult(status, "answer"))
        await turn()

    play(scene, act)
    assert [event for event, _ in lines] == steps and lines[0][1]["label"] == "9b1f03aa"


class Shut:
    """An admission gate that admits nothing and halves the delays of other rejections."""

    def admit(self, incoming):
        return 0.2

    def retry_after(self, delay):
        return delay / 2


@pytest.mark.parametrize("leaves", [False, True])
def test_what_the_door_turns_back_is_answered_once_in_a_later_turn_and_never_sent(leaves):
    async def scene(engine, carrier):
        engine.set_admission_gate(Shut())
        reply = Reply()
        number = engine.submit(incoming(reply))
        assert reply.answers == [] and engine.open_request_count == 1
        if leaves:
            engine.cancel(number)
        await asyncio.sleep(0.05)
        assert reply.answers == ([] if leaves else [("refused", 0.2)])
        assert (engine.open_request_count, engine.counts["turned_back"], carrier.started) == (
            0,
            int(not leaves),
            [],
        )

    play(scene)


def test_a_door_spreads_the_advice_of_the_decisions():
    async def scene(engine, carrier):
        reply = Reply()
        engine.set_admission_gate(Shut())
        engine._door.admit = lambda incoming: 0.0
        engine.submit(incoming(reply))
        await asyncio.sleep(0.05)
        assert reply.answers == [("refused", 0.1)]

    play(scene, on_request(Reject(1, 0.2)))
