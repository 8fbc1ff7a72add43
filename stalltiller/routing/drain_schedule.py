"""When the steps of a graceful shutdown are due, counted from the signal that began it.

The supervisor may kill the process soon after the longest deadline, which counts as MAX_DEADLINE_SECONDS at
most.  The drain ends well before, since the process may notice the signal late.

Everything here is pure.  Times are on one monotonic clock, in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass

KEEP_LISTENING_SECONDS = 0.5  # after SIGTERM, even without open requests: clients are notified late
MAX_DEADLINE_SECONDS = 3.0  # upper limit of the class deadlines considered
DEADLINE_MARGIN_SECONDS = 0.1  # past the longest deadline, the drain ends: every response is due
CLOSE_IDLE_BEFORE_END_SECONDS = 0.5  # from the first closing of idle connections to the end of the drain
LINGER_SECONDS = 0.4  # after the drain, for clients to close their connections
# From the hand-over on, a process that ends may take requests for that long; its transfers may last longer.
MAX_ACCEPTING_SECONDS = MAX_DEADLINE_SECONDS + DEADLINE_MARGIN_SECONDS + LINGER_SECONDS


@dataclass(slots=True, frozen=True)
class DrainSchedule:
    """When the steps of a shutdown are due.

    New connections are accepted until `keep_listening_until` at least.  From `close_idle_at` on, idle
    connections are closed.  Every response is due at `ends_at`.  Connections are closed by their clients
    until `linger_until`, later only if a transfer goes on.
    """

    keep_listening_until: float
    close_idle_at: float
    ends_at: float
    linger_until: float


def drain_schedule(signalled_at: float, longest_deadline: float) -> DrainSchedule:
    """Return the schedule of a shutdown; `longest_deadline` is that of all request classes, in seconds."""
    ends_at = signalled_at + min(longest_deadline, MAX_DEADLINE_SECONDS) + DEADLINE_MARGIN_SECONDS
    return DrainSchedule(
        keep_listening_until=signalled_at + KEEP_LISTENING_SECONDS,
        close_idle_at=ends_at - CLOSE_IDLE_BEFORE_END_SECONDS,
        ends_at=ends_at,
        linger_until=ends_at + LINGER_SECONDS,
    )
