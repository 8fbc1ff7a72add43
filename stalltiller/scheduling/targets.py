"""Storage targets as the target list describes them, and updates of that list."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

TargetId = int


class TargetStatus(Enum):
    """What the node list says of a node."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class TargetListKind(Enum):
    """What a piece of node-list news is."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class Target:
    """One line of the node list; `started` is None for a node that has long been up."""

    target_id: TargetId
    zone: int
    kind: int
    shard: int
    status: TargetStatus
    weight: float
    started_at: float | None


@dataclass(slots=True, frozen=True)
class TargetListUpdate:
    """News of the node list."""

    kind: TargetListKind
    targets: tuple[Target, ...]

    def removed(self, known: Iterable[TargetId]) -> set[TargetId]:
        """Return those of the known targets that the update removes, or leaves out of a whole list."""
        entries = {target.target_id: target for target in self.targets}
        left_out = set() if self.kind is TargetListKind.DELTA else set(known) - set(entries)
        return left_out | {
            target_id for target_id, target in entries.items() if target.status is TargetStatus.REMOVED
        }
