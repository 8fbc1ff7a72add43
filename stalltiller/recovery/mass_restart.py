"""Detects mass restarts, in which this initiator restarted together with many other members.  No I/O.

The decision is based on this initiator's start time, its peers' start times and the state from before the
restart.  An initiator that restarted alone calls discovery and admits requests without delay; in a mass
restart it paces both (see `poll_schedule` and `recovery_ramp`).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

START_TIME_TOLERANCE_SECONDS = 10.0  # largest difference between start times in one mass restart
MASS_RESTART_FRACTION = 0.2  # in a mass restart, at least this fraction of the members started recently
MIN_MASS_RESTART_MEMBERS = 2  # smallest number of recently started members, including this one
PEER_CONTACT_TIMEOUT_SECONDS = 1.0  # after a kill, time to wait for peers before the decision


@dataclass(slots=True, frozen=True)
class FleetView:
    """One initiator's current view of its fleet.

    `member_count` counts the running members, this one included, `rank` is its place among them by name
    (from 0), and `recently_started_count` counts those that started within START_TIME_TOLERANCE_SECONDS of
    this one.
    """

    member_count: int = 1
    rank: int = 0
    recently_started_count: int = 1

    @classmethod
    def from_start_times(cls, name: str, start_times: Mapping[str, float]) -> FleetView:
        """Build the view of member `name` from the Unix start times, in seconds, of the running members."""
        own_start = start_times[name]
        return cls(
            member_count=len(start_times),
            rank=sorted(start_times).index(name),
            recently_started_count=sum(
                abs(start - own_start) <= START_TIME_TOLERANCE_SECONDS for start in start_times.values()
            ),
        )


class MassRestartDetector:
    """Decides for one initiator, given its last known fleet size and whether its last process was killed."""

    def __init__(self, last_known_fleet_size: int, was_killed: bool) -> None:
        self.last_known_fleet_size = max(1, last_known_fleet_size)
        self._was_killed = was_killed

    def fleet_size(self, view: FleetView) -> int:
        """Return the number of running members, or the last known number if no running peer is known."""
        return view.member_count if view.member_count > 1 else self.last_known_fleet_size

    def is_waiting_for_peers(self, age: float) -> bool:
        """Return whether it is too early to decide, `age` seconds after the start: peers may still appear."""
        return self._was_killed and self.last_known_fleet_size > 1 and age < PEER_CONTACT_TIMEOUT_SECONDS

    def is_mass_restart(self, view: FleetView, age: float) -> bool:
        """Return whether this initiator must pace itself, `age` seconds after its start.

        While it is too early to decide, and when no peer is known after a kill, a mass restart is assumed: a
        false positive briefly delays one initiator, a false negative overloads discovery and the targets.
        """
        if self.is_waiting_for_peers(age) or view.member_count == 1:
            return self._was_killed and self.last_known_fleet_size > 1
        return view.recently_started_count >= max(
            MIN_MASS_RESTART_MEMBERS, MASS_RESTART_FRACTION * view.member_count
        )
