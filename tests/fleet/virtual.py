"""Many members on one virtual clock; a network that loses, delays, duplicates and cuts; one seed, one run."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from stalltiller.fleet import (
    Member,
    MemberEvent,
    MemberEventKind,
    MemberState,
    SendPacket,
    StartSync,
    Swim,
    SwimSettings,
)
from stalltiller.fleet.codec import decode_packet, encode_packet

SYNC_SECONDS = 0.005  # that a push-pull synchronisation takes
CHECK_SECONDS = 0.05  # between checks whether a condition holds


class LoggedEvent(NamedTuple):
    """An event that one member reported of another."""

    at: float
    observer: str
    kind: MemberEventKind
    member: str


class Fleet:
    """`is_cut(sender, receiver)` says whether all that the one sends to the other is lost."""

    def __init__(
        self,
        size: int,
        seed: int,
        loss: float = 0.0,
        duplication: float = 0.0,
        delay: float = 0.002,
        settings: SwimSettings | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.duplication = duplication
        self.delay = delay
        self.settings = settings or SwimSettings()
        self.now = 0.0
        self.event_count = 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.members: dict[str, Swim] = {}
        self.stopped: dict[str, list] = {}  # stopped members and the datagrams that wait for them
        self.is_cut: Callable[[str, str], bool] = lambda a, b: False
        self.log: list[LoggedEvent] = []
        self.bytes: Counter[str] = Counter()
        self.wakes: dict[str, float] = {}
        for n in range(size):
            self.start(f"m{n}")

    @staticmethod
    def address(name: str) -> tuple[str, int]:
        return "10.0.0.1", 1000 + int(name[1:])

    def start(self, name: str) -> None:
        """Start a process under that name; its seeds are the first two members."""
        settings = SwimSettings(
            **{
                **{f: getattr(self.settings, f) for f in self.settings.__slots__},
                "seeds": (self.address("m0"), self.address("m1")),
            }
        )
        me = Member(name, self.address(name), "ab"[int(name[1:]) % 2], start_time_ms=1 + int(self.now * 1000))
        self.members[name] = Swim(settings, me, random.Random(self.rng.getrandbits(64)), self.now)
        self.wake(name)

    def kill(self, name: str) -> None:
        del self.members[name]
        self.stopped.pop(name, None)

    def stop(self, name: str) -> None:
        """SIGSTOP."""
        self.stopped[name] = []

    def resume(self, name: str) -> None:
        """SIGCONT: the datagrams received meanwhile are there at once."""
        for data in self.stopped.pop(name):
            self.deliver(name, data)
        self.wakes.pop(name, None)
        self.wake(name)

    def call_at(self, time: float, callback: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (time, self.event_count, callback))

    def wake(self, name: str) -> None:
        swim = self.members[name]
        if self.wakes.get(name) != swim.wake_at:
            self.wakes[name] = swim.wake_at
            self.call_at(max(self.now, swim.wake_at), lambda: self.tick(name, swim))

    def tick(self, name: str, swim: Swim) -> None:
        if self.members.get(name) is swim and name not in self.stopped and swim.wake_at <= self.now:
            self.execute(name, swim.tick(self.now))
        elif self.members.get(name) is swim and name not in self.stopped:
            self.wake(name)

    def execute(self, name: str, actions: list) -> None:
        for action in actions:
            if isinstance(action, MemberEvent):
                self.log.append(LoggedEvent(self.now, name, action.kind, action.member.name))
            elif isinstance(action, SendPacket):
                data = encode_packet("f", action.packet)
                self.bytes[name] += len(data)
                to = f"m{action.address[1] - 1000}"
                for _ in range(1 + (self.rng.random() < self.duplication)):
                    if not self.is_cut(name, to) and self.rng.random() >= self.loss:
                        self.call_at(
                            self.now + self.delay * (0.5 + self.rng.random()),
                            lambda to=to, data=data: self.deliver(to, data),
                        )
            elif isinstance(action, StartSync):
                to = f"m{action.address[1] - 1000}"
                if not self.is_cut(name, to) and not self.is_cut(to, name):
                    self.call_at(self.now + SYNC_SECONDS, lambda to=to: self.sync(name, to))
        if name in self.members:
            self.wake(name)

    def deliver(self, name: str, data: bytes) -> None:
        if name in self.stopped:
            self.stopped[name].append(data)
        elif name in self.members:
            self.execute(name, self.members[name].handle_packet(self.now, decode_packet("f", data)))

    def sync(self, client: str, server: str) -> None:
        if all(name in self.members and name not in self.stopped for name in (client, server)):
            client_state = self.members[client].full_state()
            server_state = self.members[server].full_state()
            self.execute(server, self.members[server].handle_sync(self.now, client_state))
            self.execute(client, self.members[client].handle_sync(self.now, server_state))

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> float:
        """Run for so long, or until a condition holds (see CHECK_SECONDS); return the time it took."""
        began_at = self.now
        end = self.now + seconds
        checked_at = self.now
        while self.events and self.events[0][0] <= end:
            at, _, callback = heapq.heappop(self.events)
            self.now = max(self.now, at)
            callback()
            if until is not None and self.now - checked_at >= CHECK_SECONDS:
                checked_at = self.now
                if until():
                    return self.now - began_at
        self.now = end
        return seconds

    def seen(self, name: str) -> set[str]:
        """The members that a member takes to be running."""
        return {m.name for m in self.members[name].table.known.values() if m.is_running}

    def agreed(self, among: set[str] | None = None) -> bool:
        """Whether all running members (of those named) take exactly these to be running."""
        names = among or set(self.members)
        return all(self.seen(name) == names for name in names)

    def events_of(self, kind: str, since: float = 0.0) -> list[LoggedEvent]:
        """The reported events of a kind."""
        return [event for event in self.log if event.kind == kind and event.at >= since]

    def state(self, observer: str, name: str) -> MemberState | None:
        known = self.members[observer].table.known.get(name)
        return None if known is None else known.state
