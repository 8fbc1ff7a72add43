"""Entries of the target list, and updates of the list."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

TargetId = int | str  # all targets of one scheduler have the same type of id, so that ids can be ordered


class TargetStatus(Enum):
    """State of a target in the target list; only READY targets receive requests."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class TargetListKind(Enum):
    """Kind of a target list update.

    DELTA holds the targets that changed, FULL the whole list, and CACHED a whole list that may be outdated.
    FAILED reports that the watch on the list was interrupted; the known targets stay valid.
    """

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class Target:
    """One entry of the target list.

    target_id: identifies the target; the order of ids has no meaning.
    zone, kind: index of the target's zone and of its machine type.
    shard: the group of targets that hold the same data.
    status: whether the target may receive requests.
    weight: size of the target relative to other targets, as the list states it.
    started_at: clock time of the target's start in seconds, None if it started long ago.
    """

    target_id: TargetId
    zone: int
    kind: int
    shard: int
    status: TargetStatus
    weight: float
    started_at: float | None


@dataclass(slots=True, frozen=True)
class TargetListUpdate:
    """Changed entries of the target list, or the whole list (see `TargetListKind`)."""

    kind: TargetListKind
    targets: tuple[Target, ...]
