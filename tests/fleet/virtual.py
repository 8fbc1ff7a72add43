"""Many members on one virtual clock, with a network that loses, delays, doubles, cuts: one seed, one run."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable

from stalltiller.fleet import Member, MemberEvent, Send, Settings, State, Swim, Sync
from stalltiller.fleet.codec import decode_packet, encode_packet

SYNC_TIME = 0.005  # s for an exchange
CHECK = 0.05  # s between looks whether a condition holds


class Fleet:
    """`cut(a, b)` tells whether what `a` sends to `b` is lost."""

    def __init__(
        self,
        size: int,
        seed: int,
        loss: float = 0.0,
        double: float = 0.0,
        delay: float = 0.002,
        settings: Settings | None = None,
    ) -> None:
        self.draw, self.loss, self.double, self.delay = random.Random(seed), loss, double, delay
        self.settings = settings or Settings()
        self.now, self.count = 0.0, 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.members: dict[str, Swim] = {}
        self.stopped: dict[str, list] = {}  # those that stand still: what came meanwhile
        self.abort_stream: Callable[[str, str], bool] = lambda a, b: False
        self.notices: list[tuple[float, str, str, str]] = []  # when, who says it, what, of whom
        self.bytes: Counter[str] = Counter()
        self.wakes: dict[str, float] = {}
        for n in range(size):
            self.start(f"m{n}")

    @staticmethod
    def address(name: str) -> tuple[str, int]:
        return "10.0.0.1", 1000 + int(name[1:])

    def start(self, name: str) -> None:
        """Begin a life of that name; it knows the first two members as seeds."""
        settings = Settings(
            **{
                **{f: getattr(self.settings, f) for f in self.settings.__slots__},
                "seeds": (self.address("m0"), self.address("m1")),
            }
        )
        me = Member(name, self.address(name), "ab"[int(name[1:]) % 2], start_time_ms=1 + int(self.now * 1000))
        self.members[name] = Swim(settings, me, random.Random(self.draw.getrandbits(64)), self.now)
        self.wake(name)

    def kill(self, name: str) -> None:
        del self.members[name]
        self.stopped.pop(name, None)

    def stop(self, name: str) -> None:
        """SIGSTOP."""
        self.stopped[name] = []

    def resume_stream(self, name: str) -> None:
        """SIGCONT: what came meanwhile is there at once."""
        for data in self.stopped.pop(name):
            self.deliver(name, data)
        self.wakes.pop(name, None)
        self.wake(name)

    def at(self, time: float, act: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.events, (time, self.count, act))

    def wake(self, name: str) -> None:
        swim = self.members[name]
        if self.wakes.get(name) != swim.wake_at:
            self.wakes[name] = swim.wake_at
            self.at(max(self.now, swim.wake_at), lambda: self.tick(name, swim))

    def tick(self, name: str, swim: Swim) -> None:
        if self.members.get(name) is swim and name not in self.stopped and swim.wake_at <= self.now:
            self.act(name, swim.tick(self.now))
        elif self.members.get(name) is swim and name not in self.stopped:
            self.wake(name)

    def act(self, name: str, actions: list) -> None:
        for action in actions:
            if isinstance(action, MemberEvent):
                self.notices.append((self.now, name, action.event, action.member.name))
            elif isinstance(action, Send):
                data = encode_packet("f", action.packet)
                self.bytes[name] += len(data)
                to = f"m{action.address[1] - 1000}"
                for _ in range(1 + (self.draw.random() < self.double)):
                    if not self.abort_stream(name, to) and self.draw.random() >= self.loss:
                        self.at(
                            self.now + self.delay * (0.5 + self.draw.random()),
                            lambda to=to, data=data: self.deliver(to, data),
                        )
            elif isinstance(action, Sync):
                to = f"m{action.address[1] - 1000}"
                if not self.abort_stream(name, to) and not self.abort_stream(to, name):
                    self.at(self.now + SYNC_TIME, lambda to=to: self.sync(name, to))
        if name in self.members:
            self.wake(name)

    def deliver(self, name: str, data: bytes) -> None:
        if name in self.stopped:
            self.stopped[name].append(data)
        elif name in self.members:
            self.act(name, self.members[name].packet(self.now, decode_packet("f", data)))

    def sync(self, one: str, other: str) -> None:
        if all(name in self.members and name not in self.stopped for name in (one, other)):
            ours, theirs = self.members[one].all_known(), self.members[other].all_known()
            self.act(other, self.members[other].exchange(self.now, ours))
            self.act(one, self.members[one].exchange(self.now, theirs))

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> float:
        """Go on for so long, or until something is true (looked at each CHECK); the time it took."""
        began, end, looked = self.now, self.now + seconds, self.now
        while self.events and self.events[0][0] <= end:
            at, _, act = heapq.heappop(self.events)
            self.now = max(self.now, at)
            act()
            if until is not None and self.now - looked >= CHECK:
                looked = self.now
                if until():
                    return self.now - began
        self.now = end
        return seconds

    def seen(self, name: str) -> set[str]:
        """Whom a member takes to run."""
        return {m.name for m in self.members[name].table.known.values() if m.running}

    def agreed(self, among: set[str] | None = None) -> bool:
        """Whether all (of those) take exactly all (of those) that run to run."""
        names = among or set(self.members)
        return all(self.seen(name) == names for name in names)

    def said(self, event: str, since: float = 0.0) -> list[tuple[float, str, str, str]]:
        return [notice for notice in self.notices if notice[2] == event and notice[0] >= since]

    def state(self, name: str, of: str) -> State | None:
        known = self.members[name].table.known.get(of)
        return None if known is None else known.state
