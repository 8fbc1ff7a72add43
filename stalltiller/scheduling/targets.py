"""Storage targets as the target list describes them, and updates of that list."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

NodeId = int


class NodeState(Enum):
    """What the node list says of a node."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a piece of node-list news is."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class NodeEntry:
    """One line of the node list; `started` is None for a node that has long been up."""

    node: NodeId
    zone: int
    kind: int
    cell: int
    state: NodeState
    weight: float
    started: float | None


@dataclass(slots=True, frozen=True)
class NodeList:
    """News of the node list."""

    kind: ListKind
    entries: tuple[NodeEntry, ...]
