"""What the engine holds of one request."""

from __future__ import annotations

from stalltiller.routing.ports import Attempt, ClientRequest
from stalltiller.scheduling import AttemptStatus, DeduplicationScope, Idempotency, RequestClass

NEVER_EXECUTED = (AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_STARTED)


class RequestState:
    """A request in the table: until it is answered and no attempt of it is out."""

    __slots__ = ("attempts", "cls", "deadline", "done", "first_at", "incoming", "most", "out", "ran")

    def __init__(self, incoming: ClientRequest, deadline: float, cls: RequestClass, most: int) -> None:
        self.incoming, self.deadline = incoming, deadline
        self.cls, self.most = cls, most  # by the settings when it came
        self.first_at = 0.0  # when the first attempt that may have run was sent
        self.attempts = 0
        self.out: Attempt | None = None
        self.ran = self.done = False  # ran: some attempt may have

    def refusable(self, out: bool) -> bool:
        """Whether trying again is harmless; `out`: whether an attempt that may have run is out."""
        harmless = self.cls.idempotency is Idempotency.SAFE or (
            self.cls.idempotency is Idempotency.IDEMPOTENCY_KEY
            and self.cls.deduplication_scope is DeduplicationScope.ALL
        )  # known as a repeat everywhere
        return harmless or not (self.ran or out)
