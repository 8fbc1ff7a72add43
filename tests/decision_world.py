"""A small simulated world around schedulers, and a digest of all that they decide in it.

Events come from a seed by `random()` alone, so that all versions of Python make the same.  The digest is
of a text of the actions without names of classes or fields: names may change, decisions may not.
"""

from __future__ import annotations

import dataclasses
import hashlib
import heapq
import random
from collections import Counter
from collections.abc import Callable

from stalltiller.scheduling import (
    Action,
    AttemptFinished,
    AttemptStatus,
    CancelAttempt,
    ClientDisconnected,
    CloseIdleConnections,
    Event,
    Fail,
    FetchTargetList,
    FirstByte,
    Idempotency,
    LogMessage,
    PeerMessage,
    ProbeTarget,
    Reject,
    Request,
    SendPeerMessage,
    SetTimer,
    Settings,
    SettingsChanged,
    StartAttempt,
    Target,
    TargetListKind,
    TargetListUpdate,
    TimerFired,
    WatchTargetList,
    token_messages,
)
from stalltiller.scheduling.scheduler import WATCH_TIMER, Scheduler

CODES = {
    StartAttempt: "send",
    Reject: "refuse",
    Fail: "fail",
    CancelAttempt: "cancel",
    SetTimer: "timer",
    ProbeTarget: "probe",
    CloseIdleConnections: "close-idle",
    SendPeerMessage: "tell",
    LogMessage: "log",
    WatchTargetList: "watch",
    FetchTargetList: "fetch-list",
}
MESSAGE_DELAY_SECONDS = 0.004
LOST_MESSAGE_FRACTION, DUPLICATED_MESSAGE_FRACTION = 0.05, 0.05
SILENCE_SECONDS = 2.0  # until an attempt that a target never answers has ended
MIN_TIMEOUT_FRACTION = 0.4  # of its class's deadline: the shortest timeout of a client

MakeEvent = Callable[[], Event | None]


@dataclasses.dataclass(frozen=True)
class Scenario:
    """What is particular about a world.  `expected`: notes that must occur, else it covers too little."""

    expected: frozenset[str]
    settings: Settings
    schedulers: int = 1
    targets: tuple[Target, ...] = ()
    changes: tuple[tuple[float, TargetListUpdate], ...] = ()  # of the list, by time
    updates: tuple[tuple[float, Settings], ...] = ()  # of the settings, by time
    arrivals: tuple[tuple[float, float, float], ...] = ((0.0, 6.0, 60.0),)  # from, to, requests a second
    failures: tuple[tuple[AttemptStatus, float], ...] = ()  # fractions of the attempts
    skewed: bool = False  # most requests arrive at the first scheduler
    silent: float = 0.0  # fraction of the attempts that a target never answers
    disconnecting: float = 0.05  # fraction of the clients that disconnect early
    metered: bool = False  # results report a volume's usage
    base_latency: float = 0.02  # s
    latency_each: float = 0.004  # s for each attempt in flight at the target
    budget_fraction: Callable[[str, float], float] | None = None
    activate_at: float | None = None
    deactivate_at: float | None = None


class World:
    """Plays one scenario: clients, targets, the target list and the network between schedulers."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.random = random.Random(seed)
        self.now = 0.0
        self.notes: Counter[str] = Counter()
        self._digest = hashlib.sha256()
        self._queue: list[tuple[float, int, int, MakeEvent]] = []
        self._order = 0
        self._next_request = 0
        self._attempts: Counter[int] = Counter()  # by request
        self._running: dict[tuple[int, int], int] = {}  # target of each attempt in flight
        self._first_bytes: Counter[int] = Counter()
        self.settings = [
            dataclasses.replace(
                scenario.settings, initiator_index=index, initiator_count=max(2, scenario.schedulers)
            )
            for index in range(scenario.schedulers)
        ]
        self.schedulers = [Scheduler(each, seed + index, 0.0) for index, each in enumerate(self.settings)]
        for scheduler in self.schedulers:
            scheduler.budget_fraction = scenario.budget_fraction
        self._fill_queue()

    def play(self) -> str:
        """Run to the end; returns the digest of all actions in hexadecimal."""
        while self._queue:
            self.now, _, index, make = heapq.heappop(self._queue)
            events = [make()]
            while self._queue and self._queue[0][0] == self.now and self._queue[0][2] == index:
                events.append(heapq.heappop(self._queue)[3]())
            self._hand_over(index)
            found = [event for event in events if event is not None]
            for action in self.schedulers[index].handle(self.now, found):
                self._record(index, action)
                self._carry_out(index, action)
        return self._digest.hexdigest()

    # --- What is scheduled from the start -------------------------------------------------------------
    def _fill_queue(self) -> None:
        for index in range(self.scenario.schedulers):
            if self.scenario.settings.list_pushed:
                self._at(0.0, index, self._whole_list)
            # a result of an unknown request
            self._at(1.0, index, lambda: self._result(0, 0, 1, AttemptStatus.OK, 0.1))
            for at, change in self.scenario.changes:
                self._at(at + 0.01 * index, index, lambda change=change: change)
            for at, settings in self.scenario.updates:
                self._at(at, index, lambda index=index, settings=settings: self._update(index, settings))
        for start, end, rate in self.scenario.arrivals:
            for number in range(int((end - start) * rate)):
                index = self._pick_scheduler()
                self._at(start + number / rate, index, lambda index=index: self._arrive(index))

    def _at(self, when: float, index: int, make: MakeEvent) -> None:
        self._order += 1
        heapq.heappush(self._queue, (when, self._order, index, make))

    def _below(self, bound: int) -> int:
        return int(self.random.random() * bound)

    def _pick_scheduler(self) -> int:
        if self.scenario.skewed and self.random.random() < 0.7:
            return 0
        return self._below(self.scenario.schedulers)

    def _hand_over(self, index: int) -> None:
        """Activate or deactivate a scheduler, as processes do at a handover."""
        scenario, scheduler = self.scenario, self.schedulers[index]
        if scenario.activate_at is not None and self.now >= scenario.activate_at > scheduler.started_at:
            scheduler.activate(self.now)
        if scenario.deactivate_at is not None and self.now >= scenario.deactivate_at:
            scheduler.deactivate()

    # --- Events -------------------------------------------------------------------------------------
    def _whole_list(self) -> TargetListUpdate:
        return TargetListUpdate(TargetListKind.FULL, self.scenario.targets)

    def _update(self, index: int, settings: Settings) -> SettingsChanged:
        count = self.settings[index].initiator_count
        self.settings[index] = dataclasses.replace(settings, initiator_index=index, initiator_count=count)
        return SettingsChanged(self.settings[index])

    def _arrive(self, index: int) -> Request:
        settings = self.settings[index]
        self._next_request += 1
        number = self._next_request
        class_index = self._below(len(settings.classes))
        request_class = settings.classes[class_index]
        volume = self._below(2 * len(settings.plans))
        shards = sorted({target.shard for target in self.scenario.targets})
        patience = MIN_TIMEOUT_FRACTION + (1 - MIN_TIMEOUT_FRACTION) * self.random.random()
        time_remaining = request_class.deadline * patience
        if self.random.random() < self.scenario.disconnecting:
            disconnects_at = self.now + time_remaining * self.random.random() / 4
            self._at(disconnects_at, index, lambda: ClientDisconnected(number))
        has_key = request_class.in_order or request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
        return Request(
            number,
            class_index,
            volume % len(settings.plans),
            volume,
            1.0 + self._below(int(settings.max_units)),
            self._volume_initiator_count(),
            1 + self._below(5) if has_key else 0,
            None if self.random.random() < 0.2 else shards[self._below(len(shards))],
            request_class.idempotency is not Idempotency.SAFE,
            self.random.random() < 0.1,
            time_remaining,
        )

    def _volume_initiator_count(self) -> int:
        """How many schedulers serve the volume, as the client states: at first one fewer than later."""
        return max(1, self.scenario.schedulers - (self.now < 1.0))

    # --- Actions ------------------------------------------------------------------------------------
    def _record(self, index: int, action: Action) -> None:
        code = CODES[type(action)]
        self._note(code, action)
        fields = " ".join(value_text(value) for value in dataclasses.astuple(action))
        self._digest.update(f"{self.now!r} {index} {code} {fields}\n".encode())

    def _note(self, code: str, action: Action) -> None:
        """Count an action, and what is particular about it."""
        self.notes[code] += 1
        if isinstance(action, StartAttempt) and self._attempts[action.request_id]:
            self.notes["send again"] += 1
        elif isinstance(action, SetTimer) and action.token == WATCH_TIMER:
            self.notes["timer to watch"] += 1
        elif isinstance(action, SendPeerMessage):
            message = token_messages.decode(action.data)
            kind = {token_messages.Kind.REQUEST: "ask", token_messages.Kind.GRANT: "grant"}[message.kind]
            self.notes[kind + (" all" if action.initiator_index is None else "")] += 1
            self.notes["tokens granted"] += kind == "grant" and message.units > 0

    def _carry_out(self, index: int, action: Action) -> None:
        if isinstance(action, StartAttempt):
            self._start_attempt(index, action)
        elif isinstance(action, CancelAttempt):
            self._end(index, action.request_id, action.attempt_number, AttemptStatus.CANCELLED, 0.001)
        elif isinstance(action, SetTimer):
            self._at(self.now + action.delay, index, lambda: TimerFired(action.token))
        elif isinstance(action, WatchTargetList):
            self._at(self.now + 0.01, index, self._answer_watch)
        elif isinstance(action, SendPeerMessage):
            self._deliver(index, action)

    def _start_attempt(self, index: int, action: StartAttempt) -> None:
        attempt = self._attempts[action.request_id]
        self._attempts[action.request_id] += 1
        self._running[action.request_id, attempt] = action.target_id
        in_flight = sum(target == action.target_id for target in self._running.values())
        mean_latency = self.scenario.base_latency + self.scenario.latency_each * in_flight
        latency = mean_latency * (0.5 + self.random.random())
        status = self._choose_status()
        if self.random.random() < self.scenario.silent:
            status, latency = AttemptStatus.TIMEOUT, SILENCE_SECONDS
        if status in (AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_STARTED):
            latency /= 10
        if status is AttemptStatus.OK:
            first = FirstByte(action.request_id, attempt, action.target_id, latency / 2)
            self._at(self.now + latency / 2, index, lambda: first)
        if action.expires_at is not None and self.now + latency > action.expires_at:
            status, latency = AttemptStatus.TIMEOUT, max(0.0, action.expires_at - self.now)
        self._end(index, action.request_id, attempt, status, latency)

    def _choose_status(self) -> AttemptStatus:
        choice = self.random.random()
        for status, share in self.scenario.failures:
            choice -= share
            if choice < 0:
                return status
        return AttemptStatus.OK

    def _end(self, index: int, request: int, attempt: int, status: AttemptStatus, latency: float) -> None:
        def make() -> AttemptFinished | None:
            target = self._running.pop((request, attempt), None)
            if target is None:  # it was cancelled before
                return None
            return self._result(request, attempt, target, status, latency)

        self._at(self.now + latency, index, make)

    def _result(
        self, request: int, attempt: int, target: int, status: AttemptStatus, latency: float
    ) -> AttemptFinished:
        is_done = status in (AttemptStatus.OK, AttemptStatus.ERROR)
        usage = None
        other_units = 0.0
        if self.scenario.metered and self.random.random() < 0.3:
            usage = 4 * self.random.random()
        elif self.scenario.metered:
            other_units = 10 * self.random.random()
        return AttemptFinished(request, attempt, target, status, latency, is_done, usage, other_units, ())

    def _answer_watch(self) -> TargetListUpdate:
        """Discovery fails now and then, or lists half the targets; after a while the connection breaks."""
        choice = self.random.random()
        if choice < 0.6:
            return TargetListUpdate(TargetListKind.FAILED, ())
        kind = TargetListKind.CACHED if choice < 0.8 else TargetListKind.FULL
        if self.now < 5.0:
            self._at(self.now + 0.5, 0, lambda: TargetListUpdate(TargetListKind.FAILED, ()))
        return TargetListUpdate(
            kind, tuple(each for each in self.scenario.targets if self.random.random() < 0.5)
        )

    def _deliver(self, index: int, action: SendPeerMessage) -> None:
        """Deliver a message; some are lost, some arrive twice."""
        receivers = [each for each in range(self.scenario.schedulers) if each != index]
        message = PeerMessage(index, action.data)
        for receiver in receivers if action.initiator_index is None else [action.initiator_index]:
            choice = self.random.random()
            if choice >= LOST_MESSAGE_FRACTION:
                self._at(self.now + MESSAGE_DELAY_SECONDS * (1 + choice), receiver, lambda: message)
            if choice >= 1 - DUPLICATED_MESSAGE_FRACTION:
                self._at(self.now + 3 * MESSAGE_DELAY_SECONDS, receiver, lambda: message)


def value_text(value: object) -> str:
    """A field's value as text; bytes in hexadecimal, floats in the shortest form that reads back."""
    return value.hex() if isinstance(value, bytes) else repr(value)
