"""The engine: gathers the events of a loop turn, asks the scheduler once, and carries its actions out.

It owns the scheduler, the table of requests, ids, the clock and one heap of timers.  It decides nothing,
but holds what no front and no decision may bend: one final answer each, one attempt out at a time, no
start at a draining target past its time, an answer before the deadline.  A guard that has to step in is a
fault of the program: it is logged and counted.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import time
from collections import Counter
from collections.abc import Callable, Iterable
from typing import TypeVar

from stalltiller.routing.ports import (
    AdmissionGate,
    Attempt,
    AttemptResult,
    ClientRequest,
    PeerNetwork,
    TargetClient,
    TargetEndpoint,
)
from stalltiller.routing.request_state import NEVER_EXECUTED, RequestState
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
    PeerMessage,
    Reject,
    Request,
    SendPeerMessage,
    SetTimer,
    Settings,
    SettingsChanged,
    StartAttempt,
    TargetId,
    TargetListKind,
    TargetListUpdate,
    TargetStatus,
    TimerFired,
)
from stalltiller.scheduling.scheduler import Scheduler

ANSWER_MARGIN = 0.015  # s by which the scheduler's deadline is before the client's: the way back, a late turn
BACKSTOP_MARGIN = 0.008  # s before the client's deadline at which the engine itself answers
LEAST_TURN = 0.002  # s that the scheduler has in any case
REPEAT_MARGIN = 0.02  # s before targets may forget a keyed request after which it is not begun again
DRAIN_MARGIN = 0.1  # s before the end of a drain's grace after which the engine starts nothing
MAX_LAG = 0.25  # s: the most that a request is taken to have waited unread

Logger = Callable[..., None]
Result = TypeVar("Result")


class Engine:
    """One initiator's requests, from the fronts to the targets and back."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        loop: asyncio.AbstractEventLoop,
        log: Logger,
        trace: Logger | None = None,
    ) -> None:
        self.settings = settings
        self._trace = trace  # one line for each step of each request, where asked for
        self.counts: Counter[str] = Counter()
        self.target_client: TargetClient | None = None
        self._peers: PeerNetwork | None = None
        self._door: AdmissionGate | None = None
        self._loop, self._log = loop, log
        self._base = loop.time()
        self._wall = time.time() - self._base  # Unix time at the loop's zero: one reading, so no steps
        self._scheduler = Scheduler(settings, seed, 0.0)
        self._ids = itertools.count(1)
        self._entries: dict[int, RequestState] = {}
        self._open = 0
        self._places: dict[TargetId, TargetEndpoint] = {}
        self._told: dict[TargetId, float] = {}  # when a target was first said to drain
        self._events: list[Event] = []
        self._turn: asyncio.Handle | None = None
        self._timers: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._timer_ids = itertools.count()
        self._wake: asyncio.TimerHandle | None = None
        self._over = False  # all is answered: nothing more is taken
        self._turn_ended = self._base
        self._turn_took = 0.0

    # --- For coming back --------------------------------------------------------------------------
    @property
    def target_count(self) -> int:
        """Targets on the list."""
        return len(self._places)

    def inspect_scheduler(self, ask: Callable[[Scheduler, float, float], Result]) -> Result:
        """Let something look at the decisions between two turns: it is given them, the time on their clock
        and the Unix time of its zero."""
        return ask(self._scheduler, self._loop.time() - self._base, self._wall + self._base)

    def set_admission_gate(self, door: AdmissionGate) -> None:
        """From now on let a door decide which requests reach the decisions."""
        self._door = door

    # --- For the fleet ----------------------------------------------------------------------------
    def set_peer_network(self, peers: PeerNetwork) -> None:
        """From now on share budgets with other instances."""
        self._peers = peers
        self._scheduler.budget_fraction = peers.budget_fraction

    def handle_peer_message(self, position: int, letter: bytes) -> None:
        """A letter has come from the decisions of another instance."""
        self._enqueue(PeerMessage(position, letter))

    # --- For the fronts ---------------------------------------------------------------------------
    @property
    def open_request_count(self) -> int:
        """Requests taken and not yet answered."""
        return self._open

    def submit(self, incoming: ClientRequest) -> int:
        """Take a request; its reply is used once, in a later turn."""
        now = self._loop.time()
        # It may have stood unread for as long as the turn before this one took.
        lag = self._turn_took if now - self._turn_ended < self._turn_took else 0.0
        deadline = now - min(lag, MAX_LAG) + incoming.timeout
        number = next(self._ids)
        self._entries[number] = RequestState(
            incoming, deadline, self.settings.classes[incoming.class_index], self.settings.max_attempts
        )
        self._open += 1
        self.counts["taken"] += 1
        if self._trace:
            self._trace(
                "taken",
                id=number,
                label=incoming.trace_label,
                cls=incoming.class_index,
                plan=incoming.plan_index,
                units=incoming.units,
                timeout=incoming.timeout,
                lag=round(min(lag, MAX_LAG), 4),
            )
        wait = 0.0 if self._door is None else self._door.admit(incoming)
        if self._over:
            wait = self.settings.max_retry_after or LEAST_TURN
        if wait > 0.0:  # in a later turn, as all replies are
            self._loop.call_soon(self._turn_back, number, wait)
            return number
        # Not before the scheduler has had its turn, however little time the client leaves.
        self.call_at(max(deadline - BACKSTOP_MARGIN, now + LEAST_TURN), self._backstop, number)
        left = max(0.0, deadline - ANSWER_MARGIN - now)
        self._enqueue(
            Request(
                number,
                incoming.class_index,
                incoming.plan_index,
                incoming.volume,
                incoming.units,
                incoming.volume_initiator_count,
                incoming.idempotency_key,
                incoming.shard,
                incoming.is_write,
                incoming.is_retry,
                left,
            )
        )
        return number

    def _turn_back(self, number: int, wait: float) -> None:
        """Refuse what the door does not let in: nothing of it has been sent."""
        entry = self._entries.get(number)
        if entry is not None and not entry.done:
            self.counts["turned_back"] += 1
            self._finish(number, entry, "refused")
            entry.incoming.response_handler.reject(min(wait, self.settings.max_retry_after))

    def cancel(self, number: int) -> None:
        """The client of a request has left."""
        entry = self._entries.get(number)
        if entry is not None and not entry.done:
            self._finish(number, entry, "gone")
            self._enqueue(ClientDisconnected(number))

    def attempt_finished(self, attempt: Attempt, ending: AttemptResult) -> None:
        """An attempt is over."""
        entry = self._entries.get(attempt.request_id)
        if entry is None or entry.out is not attempt:
            self._fault("an attempt ended twice", id=attempt.request_id, attempt=attempt.number)
            return
        entry.out = None
        if ending.status not in NEVER_EXECUTED and not entry.ran:
            entry.ran, entry.first_at = True, attempt.sent_at
        if ending.status is AttemptStatus.OK and not entry.done:
            self._finish(attempt.request_id, entry, "served")
            entry.incoming.response_handler.complete(ending.answer)
        over = entry.done
        self.counts[f"attempt_{ending.status.value}"] += 1
        if self._trace:
            self._trace(
                "attempt_ended",
                id=attempt.request_id,
                attempt=attempt.number,
                node=attempt.target_id,
                status=ending.status.value,
                ms=round(1000 * (self._loop.time() - attempt.sent_at), 1),
            )
        self._enqueue(
            AttemptFinished(
                attempt.request_id,
                attempt.number,
                attempt.target_id,
                ending.status,
                self._loop.time() - attempt.sent_at,
                over,
                None,
                ending.other_units,
                ending.report,
            )
        )
        if over:
            self._drop(attempt.request_id)

    def update_targets(self, kind: TargetListKind, places: Iterable[TargetEndpoint]) -> None:
        """News of the target list; counts as told from now on."""
        places = list(places)
        if kind is not TargetListKind.DELTA:
            self._places.clear()
            listed = {place.target.target_id for place in places}
            self._told = {name: at for name, at in self._told.items() if name in listed}
        leaving = {
            place.target.target_id for place in places if place.target.status is not TargetStatus.READY
        }
        if kind is not TargetListKind.DELTA:
            leaving |= {entry.out.target_id for entry in self._entries.values() if entry.out} - listed
        for place in places:
            name = place.target.target_id
            if place.target.status is TargetStatus.REMOVED:
                self._places.pop(name, None)
            else:
                self._places[name] = place
            if place.target.status is TargetStatus.DRAINING:
                self._told.setdefault(name, self._loop.time())
            else:
                self._told.pop(name, None)
        if leaving:
            self._stop_late_starts(leaving)
        self._enqueue(TargetListUpdate(kind, tuple(place.target for place in places)))

    def _stop_late_starts(self, leaving: set[TargetId]) -> None:
        """Bound attempts that are out by the drain, too.  Guards against one whose connection comes up so
        late that its first byte would go to the target past the grace."""
        for entry in self._entries.values():
            attempt = entry.out
            if attempt is not None and attempt.target_id in leaving:
                told = self._told.get(attempt.target_id, self._loop.time())
                stop = told + self.settings.rules.drain_grace - DRAIN_MARGIN
                attempt.latest_start = (
                    stop if attempt.latest_start is None else min(stop, attempt.latest_start)
                )

    def update_settings(self, settings: Settings) -> None:
        """Other settings hold from now on; what is open keeps its class."""
        self.settings = settings
        self._enqueue(SettingsChanged(settings))

    def finish_all(self) -> None:
        """Answer all that is open: the program ends, and what it took must not be lost.  What comes from now
        on is turned back at once."""
        self._over = True
        for number, entry in list(self._entries.items()):
            if entry.done:
                continue
            harmless = entry.refusable(entry.out is not None and self.target_client.is_fully_sent(entry.out))
            self._finish(number, entry, "refused" if harmless else "failed")
            self._enqueue(
                ClientDisconnected(number)
            )  # for the scheduler it is over: it must send no attempt now
            if harmless:
                entry.incoming.response_handler.reject(self.settings.max_retry_after)
            else:
                entry.incoming.response_handler.fail()

    def activate(self) -> None:
        """This process takes clients from now on: no tokens of the time before are its own."""
        self._scheduler.activate(self._loop.time() - self._base)

    def deactivate(self) -> None:
        """Another process of this initiator takes clients from now on: what tokens come in are its."""
        self._scheduler.deactivate()

    def to_scheduler_time(self, unix: float | None) -> float | None:
        """A Unix time on the scheduler's clock."""
        return None if unix is None else unix - self._wall - self._base

    def call_at(self, when: float, call: Callable[..., None], *args: object) -> None:
        """Call at a time of the loop's clock, at the start of a turn."""
        heapq.heappush(self._timers, (when, next(self._timer_ids), call, args))
        if self._timers[0][0] == when:
            self._arm()

    # --- Turns ------------------------------------------------------------------------------------
    def _enqueue(self, event: Event) -> None:
        """Keep an event for this turn's end: the loop runs what is ready first, then `_run_turn`."""
        self._events.append(event)
        if self._turn is None:
            self._turn = self._loop.call_soon(self._process_batch)

    def _process_batch(self) -> None:
        began = self._loop.time()
        while self._timers and self._timers[0][0] <= began:
            _, _, call, args = heapq.heappop(self._timers)
            call(*args)
        self._turn = None
        events, self._events = self._events, []
        if events:
            try:
                actions = self._scheduler.handle(began - self._base, events)
            except Exception as error:  # a crash of the decisions must not end what is under way
                self._fault("the scheduler raised", error=f"{type(error).__name__}: {error}")
                actions = []
            for action in actions:
                self._carry_out(action)
        self._arm()
        self._turn_ended = self._loop.time()
        self._turn_took = self._turn_ended - began

    def _arm(self) -> None:
        if not self._timers:
            return
        when = self._timers[0][0]
        if self._wake is not None:
            if not self._wake.cancelled() and self._wake.when() <= when:
                return
            self._wake.cancel()
        self._wake = self._loop.call_at(when, self._woken)

    def _woken(self) -> None:
        self._wake = None
        if self._turn is None:
            self._turn = self._loop.call_soon(self._process_batch)

    # --- Actions ----------------------------------------------------------------------------------
    def _carry_out(self, action: Action) -> None:
        if isinstance(action, StartAttempt):
            self._send(action)
        elif isinstance(action, Reject):
            self._refuse(action)
        elif isinstance(action, Fail):
            entry = self._unanswered(action.request_id)
            if entry is not None:
                self._finish(action.request_id, entry, "failed")
                entry.incoming.response_handler.fail()
        elif isinstance(action, CancelAttempt):
            entry = self._entries.get(action.request_id)
            if entry is not None and entry.out is not None and entry.out.number == action.attempt_number:
                self._abandon(entry.out, AttemptStatus.CANCELLED)
        elif isinstance(action, SetTimer):
            self.call_at(self._loop.time() + action.delay, self._enqueue, TimerFired(action.token))
        elif isinstance(action, CloseIdleConnections):
            self.target_client.close_idle(action.target_id)
        elif isinstance(action, SendPeerMessage) and self._peers is not None:
            self._peers.send_peer_message(action.initiator_index, action.data)
        elif isinstance(action, LogMessage):
            self._log("decision", text=action.text)

    def _unanswered(self, number: int) -> RequestState | None:
        entry = self._entries.get(number)
        if entry is None or entry.done:
            self._fault("a second answer", id=number)
            return None
        return entry

    def _send(self, action: StartAttempt) -> None:
        entry, place = self._entries.get(action.request_id), self._places.get(action.target_id)
        if entry is None or entry.done:
            self._fault("an attempt after the end", id=action.request_id)
            return
        now = self._loop.time()
        number, incoming = entry.attempts, entry.incoming
        entry.attempts += 1
        told = self._told.get(action.target_id)
        stop = None if told is None else told + self.settings.rules.drain_grace - DRAIN_MARGIN
        unsafe = entry.cls.idempotency is Idempotency.UNSAFE
        if entry.ran and entry.cls.idempotency is Idempotency.IDEMPOTENCY_KEY:
            forget = entry.first_at + entry.cls.deduplication_window - REPEAT_MARGIN
            stop = forget if stop is None else min(stop, forget)
        if entry.out is None and incoming.response_handler.is_disconnected():
            self._finish(action.request_id, entry, "gone")
            self._enqueue(ClientDisconnected(action.request_id))
            self._enqueue(
                AttemptFinished(
                    action.request_id,
                    number,
                    action.target_id,
                    AttemptStatus.NOT_STARTED,
                    0.0,
                    True,
                    None,
                    0.0,
                    (),
                )
            )
            return
        if entry.out is not None:
            reason = "a second attempt at once"
        elif entry.ran and unsafe:
            reason = "a repeat of what may have run"
        elif number >= min(entry.most, self.settings.max_attempts):
            reason = "an attempt over the number allowed"
        elif place is None or (stop is not None and now >= stop):
            reason = "an attempt at a target that drains, is not listed or may forget the one before"
        else:
            expires = entry.deadline - ANSWER_MARGIN
            if action.expires_at is not None:
                expires = min(expires, action.expires_at + self._base)
            attempt = Attempt(
                action.request_id,
                number,
                action.target_id,
                place.host,
                place.port,
                incoming.shard,
                incoming.payload,
                now,
                expires,
                stop,
            )
            entry.out = attempt
            self.counts["attempts"] += 1
            if self._trace:
                self._trace(
                    "attempt",
                    id=action.request_id,
                    attempt=number,
                    node=action.target_id,
                    waited_ms=round(1000 * (now - entry.deadline + incoming.timeout), 1),
                )
            self.call_at(expires, self._expire, attempt)
            if entry.ran and stop is not None and stop < expires:
                self.call_at(stop, self._withdraw, attempt)
            self.target_client.start(attempt)
            return
        self._fault(reason, id=action.request_id, node=action.target_id)
        self._enqueue(
            AttemptFinished(
                action.request_id,
                number,
                action.target_id,
                AttemptStatus.NOT_STARTED,
                0.0,
                False,
                None,
                0.0,
                (),
            )
        )

    def _refuse(self, action: Reject) -> None:
        entry = self._unanswered(action.request_id)
        if entry is None:
            return
        if not entry.refusable(entry.out is not None):
            self._fault("a refusal of what may have run", id=action.request_id)
            self._finish(action.request_id, entry, "failed")
            entry.incoming.response_handler.fail()
            return
        self._finish(action.request_id, entry, "refused")
        advice = min(action.retry_after, self.settings.max_retry_after)
        entry.incoming.response_handler.reject(
            advice if self._door is None else self._door.retry_after(advice)
        )

    def _expire(self, attempt: Attempt) -> None:
        entry = self._entries.get(attempt.request_id)
        if entry is not None and entry.out is attempt:
            self._abandon(attempt, AttemptStatus.TIMEOUT)

    def _withdraw(self, attempt: Attempt) -> None:
        """Give an attempt up if its target has not had the whole: it must not begin any more."""
        entry = self._entries.get(attempt.request_id)
        if entry is not None and entry.out is attempt and not self.target_client.is_fully_sent(attempt):
            self._abandon(attempt, AttemptStatus.CANCELLED)

    def _abandon(self, attempt: Attempt, status: AttemptStatus) -> None:
        """Give an attempt up; one of which the target has not had the whole never ran.  That its client left
        before says nothing of the target."""
        over = self._entries[attempt.request_id].done
        ran = self.target_client.abandon(attempt)
        self.attempt_finished(attempt, AttemptResult(status if ran or over else AttemptStatus.CONNECT_FAILED))

    # --- Ends -------------------------------------------------------------------------------------
    def _backstop(self, number: int) -> None:
        """The deadline is near and nothing has answered: a late answer would break the first rule."""
        entry = self._entries.get(number)
        if entry is None or entry.done:
            return
        self._fault("the deadline backstop answered", id=number)
        self._finish(number, entry, "failed")
        self._enqueue(ClientDisconnected(number))  # for the scheduler it is over, as if the client had left
        entry.incoming.response_handler.fail()

    def _finish(self, number: int, entry: RequestState, how: str) -> None:
        entry.done = True
        self._open -= 1
        self.counts[how] += 1
        if self._trace:
            self._trace(
                "answered",
                id=number,
                how=how,
                attempts=entry.attempts,
                left_ms=round(1000 * (entry.deadline - self._loop.time()), 1),
            )
        if entry.out is not None:  # for its client it is over: what has not begun must not begin
            self._withdraw(entry.out)
        self._drop(number)

    def _drop(self, number: int) -> None:
        entry = self._entries.get(number)
        if entry is not None and entry.done and entry.out is None:
            del self._entries[number]

    def _fault(self, reason: str, **details: object) -> None:
        self.counts["faults"] += 1
        self._log("fault", reason=reason, **details)
