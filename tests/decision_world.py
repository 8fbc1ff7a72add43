"""A small simulation around schedulers, and a digest of all their actions in it.

Events are derived from a seed with `random()` alone, so that all versions of Python generate the same ones.
The digest covers the values of actions without the names of classes or fields, so that renames keep it.
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
UNANSWERED_TIMEOUT_SECONDS = 2.0  # an attempt without a response ends after this time
MIN_TIMEOUT_FRACTION = 0.4  # shortest timeout of a client, as a fraction of its class's deadline

MakeEvent = Callable[[], Event | None]


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Configuration of a simulated fleet.  `expected_notes` must occur, or the scenario covers too little."""

    expected_notes: frozenset[str]
    settings: Settings
    scheduler_count: int = 1
    targets: tuple[Target, ...] = ()
    list_updates: tuple[tuple[float, TargetListUpdate], ...] = ()  # (time, update)
    settings_changes: tuple[tuple[float, Settings], ...] = ()  # (time, settings)
    arrivals: tuple[tuple[float, float, float], ...] = ((0.0, 6.0, 60.0),)  # start, end, requests per second
    failure_fractions: tuple[tuple[AttemptStatus, float], ...] = ()  # fractions of the attempts
    is_skewed: bool = False  # most requests arrive at the first scheduler
    unanswered_fraction: float = 0.0  # fraction of the attempts that get no response
    disconnecting_fraction: float = 0.05  # fraction of the clients that disconnect early
    is_metered: bool = False  # results report a volume's usage
    base_latency: float = 0.02  # in seconds
    latency_per_attempt: float = 0.004  # in seconds, added for each attempt in flight at the target
    budget_fraction: Callable[[str, float], float] | None = None
    activate_at: float | None = None
    deactivate_at: float | None = None


class World:
    """Simulates one scenario: clients, targets, the target list and the network between schedulers."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.random = random.Random(seed)
        self.now = 0.0
        self.notes: Counter[str] = Counter()
        self._digest = hashlib.sha256()
        self._queue: list[tuple[float, int, int, MakeEvent]] = []
        self._event_number = 0
        self._last_request_id = 0
        self._attempts: Counter[int] = Counter()  # number of attempts by request
        self._running: dict[tuple[int, int], int] = {}  # target by (request, attempt) in flight
        self._first_bytes: Counter[int] = Counter()
        self.settings = [
            dataclasses.replace(
                scenario.settings, initiator_index=index, initiator_count=max(2, scenario.scheduler_count)
            )
            for index in range(scenario.scheduler_count)
        ]
        self.schedulers = [Scheduler(each, seed + index, 0.0) for index, each in enumerate(self.settings)]
        for scheduler in self.schedulers:
            scheduler.budget_fraction = scenario.budget_fraction
        self._fill_queue()

    def run(self) -> str:
        """Run the simulation to its end and return the hexadecimal digest of all actions."""
        while self._queue:
            self.now, _, index, make_event = heapq.heappop(self._queue)
            events = [make_event()]
            while self._queue and self._queue[0][0] == self.now and self._queue[0][2] == index:
                events.append(heapq.heappop(self._queue)[3]())
            self._hand_over(index)
            batch = [event for event in events if event is not None]
            for action in self.schedulers[index].handle(self.now, batch):
                self._record(index, action)
                self._carry_out(index, action)
        return self._digest.hexdigest()

    # --- Initial events -----------------------------------------------------------------------------
    def _fill_queue(self) -> None:
        for index in range(self.scenario.scheduler_count):
            if self.scenario.settings.list_pushed:
                self._schedule(0.0, index, self._whole_list)
            # A result for an unknown request.
            self._schedule(1.0, index, lambda: self._result(0, 0, 1, AttemptStatus.OK, 0.1))
            for at, update in self.scenario.list_updates:
                self._schedule(at + 0.01 * index, index, lambda update=update: update)
            for at, settings in self.scenario.settings_changes:
                self._schedule(
                    at, index, lambda index=index, settings=settings: self._change_settings(index, settings)
                )
        for start, end, rate in self.scenario.arrivals:
            for number in range(int((end - start) * rate)):
                index = self._pick_scheduler()
                self._schedule(start + number / rate, index, lambda index=index: self._make_request(index))

    def _schedule(self, when: float, index: int, make_event: MakeEvent) -> None:
        self._event_number += 1
        heapq.heappush(self._queue, (when, self._event_number, index, make_event))

    def _random_below(self, bound: int) -> int:
        return int(self.random.random() * bound)

    def _pick_scheduler(self) -> int:
        if self.scenario.is_skewed and self.random.random() < 0.7:
            return 0
        return self._random_below(self.scenario.scheduler_count)

    def _hand_over(self, index: int) -> None:
        """Activate or deactivate a scheduler, as at a handover between processes."""
        scenario, scheduler = self.scenario, self.schedulers[index]
        if scenario.activate_at is not None and self.now >= scenario.activate_at > scheduler.started_at:
            scheduler.activate(self.now)
        if scenario.deactivate_at is not None and self.now >= scenario.deactivate_at:
            scheduler.deactivate()

    # --- Events -------------------------------------------------------------------------------------
    def _whole_list(self) -> TargetListUpdate:
        return TargetListUpdate(TargetListKind.FULL, self.scenario.targets)

    def _change_settings(self, index: int, settings: Settings) -> SettingsChanged:
        count = self.settings[index].initiator_count
        self.settings[index] = dataclasses.replace(settings, initiator_index=index, initiator_count=count)
        return SettingsChanged(self.settings[index])

    def _make_request(self, index: int) -> Request:
        settings = self.settings[index]
        self._last_request_id += 1
        request_id = self._last_request_id
        class_index = self._random_below(len(settings.classes))
        request_class = settings.classes[class_index]
        volume = self._random_below(2 * len(settings.plans))
        shards = sorted({target.shard for target in self.scenario.targets})
        timeout_fraction = MIN_TIMEOUT_FRACTION + (1 - MIN_TIMEOUT_FRACTION) * self.random.random()
        time_remaining = request_class.deadline * timeout_fraction
        if self.random.random() < self.scenario.disconnecting_fraction:
            disconnects_at = self.now + time_remaining * self.random.random() / 4
            self._schedule(disconnects_at, index, lambda: ClientDisconnected(request_id))
        has_key = request_class.in_order or request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
        return Request(
            request_id,
            class_index,
            volume % len(settings.plans),
            volume,
            1.0 + self._random_below(int(settings.max_units)),
            self._volume_initiator_count(),
            1 + self._random_below(5) if has_key else 0,
            None if self.random.random() < 0.2 else shards[self._random_below(len(shards))],
            request_class.idempotency is not Idempotency.SAFE,
            self.random.random() < 0.1,
            time_remaining,
        )

    def _volume_initiator_count(self) -> int:
        """Return the initiator count that clients state: in the first second one lower than later."""
        return max(1, self.scenario.scheduler_count - (self.now < 1.0))

    # --- Actions ------------------------------------------------------------------------------------
    def _record(self, index: int, action: Action) -> None:
        code = CODES[type(action)]
        self._note(code, action)
        fields = " ".join(value_text(value) for value in dataclasses.astuple(action))
        self._digest.update(f"{self.now!r} {index} {code} {fields}\n".encode())

    def _note(self, code: str, action: Action) -> None:
        """Count an action, also under more specific notes."""
        self.notes[code] += 1
        if isinstance(action, StartAttempt) and self._attempts[action.request_id]:
            self.notes["retry"] += 1
        elif isinstance(action, SetTimer) and action.token == WATCH_TIMER:
            self.notes["watch timer"] += 1
        elif isinstance(action, SendPeerMessage):
            message = token_messages.decode(action.data)
            kind = {token_messages.Kind.REQUEST: "ask", token_messages.Kind.GRANT: "grant"}[message.kind]
            self.notes[kind + (" all" if action.initiator_index is None else "")] += 1
            self.notes["tokens granted"] += kind == "grant" and message.units > 0

    def _carry_out(self, index: int, action: Action) -> None:
        if isinstance(action, StartAttempt):
            self._start_attempt(index, action)
        elif isinstance(action, CancelAttempt):
            self._schedule_result(
                index, action.request_id, action.attempt_number, AttemptStatus.CANCELLED, 0.001
            )
        elif isinstance(action, SetTimer):
            self._schedule(self.now + action.delay, index, lambda: TimerFired(action.token))
        elif isinstance(action, WatchTargetList):
            self._schedule(self.now + 0.01, index, self._watch_result)
        elif isinstance(action, SendPeerMessage):
            self._deliver(index, action)

    def _start_attempt(self, index: int, action: StartAttempt) -> None:
        attempt = self._attempts[action.request_id]
        self._attempts[action.request_id] += 1
        self._running[action.request_id, attempt] = action.target_id
        in_flight = sum(target == action.target_id for target in self._running.values())
        mean_latency = self.scenario.base_latency + self.scenario.latency_per_attempt * in_flight
        latency = mean_latency * (0.5 + self.random.random())
        status = self._choose_status()
        if self.random.random() < self.scenario.unanswered_fraction:
            status, latency = AttemptStatus.TIMEOUT, UNANSWERED_TIMEOUT_SECONDS
        if status in (AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_STARTED):
            latency /= 10
        if status is AttemptStatus.OK:
            first_byte = FirstByte(action.request_id, attempt, action.target_id, latency / 2)
            self._schedule(self.now + latency / 2, index, lambda: first_byte)
        if action.expires_at is not None and self.now + latency > action.expires_at:
            status, latency = AttemptStatus.TIMEOUT, max(0.0, action.expires_at - self.now)
        self._schedule_result(index, action.request_id, attempt, status, latency)

    def _choose_status(self) -> AttemptStatus:
        choice = self.random.random()
        for status, fraction in self.scenario.failure_fractions:
            choice -= fraction
            if choice < 0:
                return status
        return AttemptStatus.OK

    def _schedule_result(
        self, index: int, request: int, attempt: int, status: AttemptStatus, latency: float
    ) -> None:
        def make_result() -> AttemptFinished | None:
            target = self._running.pop((request, attempt), None)
            if target is None:  # the attempt was cancelled
                return None
            return self._result(request, attempt, target, status, latency)

        self._schedule(self.now + latency, index, make_result)

    def _result(
        self, request: int, attempt: int, target: int, status: AttemptStatus, latency: float
    ) -> AttemptFinished:
        is_done = status in (AttemptStatus.OK, AttemptStatus.ERROR)
        usage = None
        other_units = 0.0
        if self.scenario.is_metered and self.random.random() < 0.3:
            usage = 4 * self.random.random()
        elif self.scenario.is_metered:
            other_units = 10 * self.random.random()
        return AttemptFinished(request, attempt, target, status, latency, is_done, usage, other_units, ())

    def _watch_result(self) -> TargetListUpdate:
        """Return a failure, or a list of about half the targets; the watch may fail 0.5 s after a list."""
        choice = self.random.random()
        if choice < 0.6:
            return TargetListUpdate(TargetListKind.FAILED, ())
        kind = TargetListKind.CACHED if choice < 0.8 else TargetListKind.FULL
        if self.now < 5.0:
            self._schedule(self.now + 0.5, 0, lambda: TargetListUpdate(TargetListKind.FAILED, ()))
        return TargetListUpdate(
            kind, tuple(each for each in self.scenario.targets if self.random.random() < 0.5)
        )

    def _deliver(self, index: int, action: SendPeerMessage) -> None:
        """Deliver a message; some messages are lost and some are duplicated."""
        receivers = [each for each in range(self.scenario.scheduler_count) if each != index]
        message = PeerMessage(index, action.data)
        for receiver in receivers if action.initiator_index is None else [action.initiator_index]:
            choice = self.random.random()
            if choice >= LOST_MESSAGE_FRACTION:
                self._schedule(self.now + MESSAGE_DELAY_SECONDS * (1 + choice), receiver, lambda: message)
            if choice >= 1 - DUPLICATED_MESSAGE_FRACTION:
                self._schedule(self.now + 3 * MESSAGE_DELAY_SECONDS, receiver, lambda: message)


def value_text(value: object) -> str:
    """Return a field's value as text: bytes in hexadecimal, floats in the shortest form that round-trips."""
    return value.hex() if isinstance(value, bytes) else repr(value)
