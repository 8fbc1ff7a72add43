"""Decides which parts of a peer's answer an initiator may use.  Pure.

A peer's answer can only make this initiator more careful.  A target that the peer knows to drain, to be
removed or to have restarted is withheld, or counts as restarted, until this initiator's own discovery service
reports that version.  No answer adds a target that the own list has not named, nor brings one back.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from stalltiller.recovery.peer_state import PeerState, TargetChange
from stalltiller.scheduling import TargetStatus


@dataclass(slots=True, frozen=True)
class _AcceptedChange:
    """A change that peers reported, and the version of the list in which they know it."""

    version: int
    change: TargetChange


class PeerStateFilter:
    """The targets that are withheld or count as restarted because of peers' answers alone."""

    def __init__(self, discovery_address: str) -> None:
        self._discovery_address = discovery_address
        self._accepted: dict[str, _AcceptedChange] = {}  # by target name

    @property
    def withheld_targets(self) -> frozenset[str]:
        """The names of the targets that get no new requests."""
        return frozenset(
            name
            for name, accepted in self._accepted.items()
            if accepted.change.status is not TargetStatus.READY
        )

    @property
    def restarted_targets(self) -> dict[str, float]:
        """The Unix times at which targets have restarted, by name."""
        return {
            name: accepted.change.started_at
            for name, accepted in self._accepted.items()
            if accepted.change.status is TargetStatus.READY and accepted.change.started_at is not None
        }

    def apply(self, answer: PeerState, version: int, start_times: Mapping[str, float | None]) -> bool:
        """Apply an answer while `version` of the own list is known, and return whether anything changes.

        `start_times` holds the Unix start time of each target on the own list.
        """
        if answer.discovery_address != self._discovery_address or answer.version <= version:
            return False
        is_changed = False
        for change in answer.changes:
            previous = self._accepted.get(change.target_name)
            if change.target_name not in start_times:
                continue
            if previous is not None and previous.version >= answer.version:
                continue
            if not _is_more_careful(change, start_times[change.target_name]):
                continue
            if previous is None or previous.change != change:
                is_changed = True
            self._accepted[change.target_name] = _AcceptedChange(answer.version, change)
        return is_changed

    def confirms_version(self, answer: PeerState, version: int) -> bool:
        """Return whether an answer holds all changes since the version that is known here."""
        return (
            answer.discovery_address == self._discovery_address
            and answer.is_complete
            and answer.requested_version == version
        )

    def discard_up_to(self, version: int) -> bool:
        """Discard what peers said of versions up to one that the own discovery service reported.

        Returns whether anything was discarded.
        """
        remaining = {
            name: accepted for name, accepted in self._accepted.items() if accepted.version > version
        }
        is_changed = len(remaining) < len(self._accepted)
        self._accepted = remaining
        return is_changed


def _is_more_careful(change: TargetChange, known_start: float | None) -> bool:
    if change.status is not TargetStatus.READY:
        return True
    return (change.started_at or 0.0) > (known_start or 0.0)
