"""Storage targets as the target list describes them, and updates of that list."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

TargetId = int | str  # any value that can be ordered; those of one scheduler are of one type


class TargetStatus(Enum):
    """State of a target in the target list: only READY ones get requests."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class TargetListKind(Enum):
    """Kind of a target list update.

    A DELTA holds the targets that changed, FULL the whole list, CACHED a whole list that may be old.
    FAILED says that the watch on the list has broken off; what was known stays valid.
    """

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class Target:
    """One entry of the target list.

    target_id: identifies the target; it carries no order.
    zone, kind: index of its zone and of its kind of machine.
    shard: the group of targets that hold the same data.
    status: whether it may get requests.
    weight: its size as the list states it, relative to other targets.
    started_at: clock time of its start in seconds, None if it has long been up.
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
    """A change of the target list, or the whole of it (see `TargetListKind`)."""

    kind: TargetListKind
    targets: tuple[Target, ...]
