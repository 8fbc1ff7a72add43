"""The latest time of a request's final response: its client's deadline, or the end of a drain before it.

A process that shuts down may be killed soon after the end of its drain, however long its clients would wait.
Everything here is pure.  Times are on one monotonic clock, in seconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

NO_DRAIN = math.inf


@dataclass(slots=True, frozen=True)
class ResponseDeadline:
    """When a request's final response is due.

    `client_deadline` is when the client's time is over, `drain_end` when the drain ends (`NO_DRAIN`: never).
    """

    client_deadline: float
    drain_end: float = NO_DRAIN

    @property
    def due_at(self) -> float:
        """The latest time of the final response."""
        return min(self.client_deadline, self.drain_end)

    @property
    def is_set_by_drain(self) -> bool:
        """Whether the drain ends before the client's time."""
        return self.drain_end < self.client_deadline

    def with_drain(self, drain_end: float) -> ResponseDeadline:
        """Return the deadline in a drain that ends at `drain_end`; the end of a drain never moves."""
        return replace(self, drain_end=min(self.drain_end, drain_end))
