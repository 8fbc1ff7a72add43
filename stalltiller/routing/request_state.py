"""What the engine holds of one request."""

from __future__ import annotations

from stalltiller.routing.ports import Attempt, Incoming
from stalltiller.scheduling import Effect, RequestClass, Scope, Status

NEVER_RAN = (Status.FULL, Status.CONNECT_FAILED, Status.MOOT)


class Entry:
    """A request in the table: until it is answered and no attempt of it is out."""

    __slots__ = ("attempts", "cls", "deadline", "done", "first_at", "incoming", "most", "out", "ran")

    def __init__(self, incoming: Incoming, deadline: float, cls: RequestClass, most: int) -> None:
        self.incoming, self.deadline = incoming, deadline
        self.cls, self.most = cls, most  # by the settings when it came
        self.first_at = 0.0  # when the first attempt that may have run was sent
        self.attempts = 0
        self.out: Attempt | None = None
        self.ran = self.done = False  # ran: some attempt may have

    def refusable(self, out: bool) -> bool:
        """Whether trying again is harmless; `out`: whether an attempt that may have run is out."""
        harmless = self.cls.effect is Effect.SAFE or (
            self.cls.effect is Effect.KEYED and self.cls.scope is Scope.ALL
        )  # known as a repeat everywhere
        return harmless or not (self.ran or out)
