"""Simulates a fleet on a virtual clock, with message loss, delay, duplication and cuts, from a seed."""

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

SYNC_SECONDS = 0.005  # duration of a push-pull synchronisation
CHECK_INTERVAL_SECONDS = 0.05  # between evaluations of the condition that `Fleet.run` waits for


class LoggedEvent(NamedTuple):
    """An event that `observer` reported about `member`."""

    at: float
    observer: str
    kind: MemberEventKind
    member: str


class Fleet:
    """A simulated fleet; `is_cut(sender, receiver)` returns whether messages in that direction are lost."""

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
        self.stopped: dict[str, list] = {}  # datagrams queued for each member stopped by SIGSTOP
        self.is_cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self.log: list[LoggedEvent] = []
        self.sent_bytes: Counter[str] = Counter()
        self.wake_times: dict[str, float] = {}  # time of the last scheduled tick of each member
        for number in range(size):
            self.start(f"m{number}")

    @staticmethod
    def address(name: str) -> tuple[str, int]:
        return "10.0.0.1", 1000 + int(name[1:])

    def start(self, name: str) -> None:
        """Start a process with a name; its seeds are the first two members."""
        settings = SwimSettings(
            **{
                **{field: getattr(self.settings, field) for field in self.settings.__slots__},
                "seeds": (self.address("m0"), self.address("m1")),
            }
        )
        local_member = Member(
            name, self.address(name), "ab"[int(name[1:]) % 2], start_time_ms=1 + int(self.now * 1000)
        )
        self.members[name] = Swim(settings, local_member, random.Random(self.rng.getrandbits(64)), self.now)
        self.wake(name)

    def kill(self, name: str) -> None:
        del self.members[name]
        self.stopped.pop(name, None)

    def stop(self, name: str) -> None:
        """Stop a process as SIGSTOP does."""
        self.stopped[name] = []

    def resume(self, name: str) -> None:
        """Resume a process as SIGCONT does: it first handles the datagrams queued meanwhile."""
        for data in self.stopped.pop(name):
            self.deliver(name, data)
        self.wake_times.pop(name, None)
        self.wake(name)

    def call_at(self, due_at: float, callback: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (due_at, self.event_count, callback))

    def wake(self, name: str) -> None:
        swim = self.members[name]
        if self.wake_times.get(name) != swim.wake_at:
            self.wake_times[name] = swim.wake_at
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
                self.sent_bytes[name] += len(data)
                receiver = f"m{action.address[1] - 1000}"
                for _ in range(1 + (self.rng.random() < self.duplication)):
                    if not self.is_cut(name, receiver) and self.rng.random() >= self.loss:
                        self.call_at(
                            self.now + self.delay * (0.5 + self.rng.random()),
                            lambda receiver=receiver, data=data: self.deliver(receiver, data),
                        )
            elif isinstance(action, StartSync):
                receiver = f"m{action.address[1] - 1000}"
                if not self.is_cut(name, receiver) and not self.is_cut(receiver, name):
                    self.call_at(self.now + SYNC_SECONDS, lambda receiver=receiver: self.sync(name, receiver))
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
        """Run for `seconds`, or until a condition holds; return the elapsed time."""
        began_at = self.now
        end = self.now + seconds
        checked_at = self.now
        while self.events and self.events[0][0] <= end:
            at, _, callback = heapq.heappop(self.events)
            self.now = max(self.now, at)
            callback()
            if until is not None and self.now - checked_at >= CHECK_INTERVAL_SECONDS:
                checked_at = self.now
                if until():
                    return self.now - began_at
        self.now = end
        return seconds

    def running_members_seen_by(self, observer: str) -> set[str]:
        """Return the names of the members that `observer` considers running, including itself."""
        return {member.name for member in self.members[observer].table.known.values() if member.is_running}

    def views_agree(self, among: set[str] | None = None) -> bool:
        """Return whether all running members, or those in `among`, consider exactly each other running."""
        names = among or set(self.members)
        return all(self.running_members_seen_by(name) == names for name in names)

    def events_of(self, kind: str, since: float = 0.0) -> list[LoggedEvent]:
        """Return the events of a kind that were reported from time `since` on."""
        return [event for event in self.log if event.kind == kind and event.at >= since]

    def state(self, observer: str, name: str) -> MemberState | None:
        known = self.members[observer].table.known.get(name)
        return None if known is None else known.state
