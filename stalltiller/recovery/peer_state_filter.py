"""Decides which parts of a peer's response an initiator may use.  No I/O.

A response can only make this initiator more conservative.  A target that the peer reports as draining or
removed is withheld, and one that it reports as restarted counts as restarted, until this initiator's own
discovery service reports that version.  No response adds a target that is not on the local list, whether the
target is new or was removed.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from stalltiller.recovery.peer_state import PeerState, TargetChange
from stalltiller.scheduling import TargetStatus


@dataclass(slots=True, frozen=True)
class _AcceptedChange:
    """A change that a peer reported, and the version of the peer's target list."""

    version: int
    change: TargetChange


class PeerStateFilter:
    """The targets that are withheld or count as restarted only because of peers' responses."""

    def __init__(self, discovery_address: str) -> None:
        self._discovery_address = discovery_address
        self._accepted: dict[str, _AcceptedChange] = {}  # by target name

    @property
    def withheld_targets(self) -> frozenset[str]:
        """The names of the targets that are sent no new requests."""
        return frozenset(
            name
            for name, accepted in self._accepted.items()
            if accepted.change.status is not TargetStatus.READY
        )

    @property
    def restarted_targets(self) -> dict[str, float]:
        """The Unix start times of the restarted targets, by name."""
        return {
            name: accepted.change.started_at
            for name, accepted in self._accepted.items()
            if accepted.change.status is TargetStatus.READY and accepted.change.started_at is not None
        }

    def apply(self, response: PeerState, version: int, start_times: Mapping[str, float | None]) -> bool:
        """Apply a response while the local target list has `version`; return whether anything changed.

        `start_times` holds the Unix start time of each target on the local list.
        """
        if response.discovery_address != self._discovery_address or response.version <= version:
            return False
        has_changed = False
        for change in response.changes:
            previous = self._accepted.get(change.target_name)
            if change.target_name not in start_times:
                continue
            if previous is not None and previous.version >= response.version:
                continue
            if not _is_more_conservative(change, start_times[change.target_name]):
                continue
            if previous is None or previous.change != change:
                has_changed = True
            self._accepted[change.target_name] = _AcceptedChange(response.version, change)
        return has_changed

    def confirms_version(self, response: PeerState, version: int) -> bool:
        """Return whether a response holds all changes since `version` of the local target list."""
        return (
            response.discovery_address == self._discovery_address
            and response.is_complete
            and response.requested_version == version
        )

    def discard_up_to(self, version: int) -> bool:
        """Discard the peers' changes up to a version that this initiator's discovery service has reported.

        Returns whether anything was discarded.
        """
        remaining = {
            name: accepted for name, accepted in self._accepted.items() if accepted.version > version
        }
        has_changed = len(remaining) < len(self._accepted)
        self._accepted = remaining
        return has_changed


def _is_more_conservative(change: TargetChange, known_start: float | None) -> bool:
    if change.status is not TargetStatus.READY:
        return True
    return (change.started_at or 0.0) > (known_start or 0.0)
