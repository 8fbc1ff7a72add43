"""What a restarted initiator asks of its peers, and what they answer.

These are plain values: `peer_state_codec` encodes them, and `peer_state_filter` decides which parts of an
answer may be used.
"""

from __future__ import annotations

from dataclasses import dataclass

from stalltiller.recovery.snapshot import UNKNOWN_LOAD, LoadBaseline, TargetLatencyEstimate
from stalltiller.scheduling import TargetStatus


@dataclass(slots=True, frozen=True)
class TargetChange:
    """A target's state as the peer knows it; `started_at` is the Unix time of its start, if it is known."""

    target_name: str
    status: TargetStatus
    started_at: float | None


@dataclass(slots=True, frozen=True)
class PeerStateRequest:
    """Asks for all changes since a version of one discovery service's list (0: none is known)."""

    discovery_address: str
    version: int


@dataclass(slots=True, frozen=True)
class PeerState:
    """A peer's answer, or a part of one.

    `is_complete` says that it holds every change from `requested_version` to `version`.
    """

    discovery_address: str
    version: int
    requested_version: int = 0
    is_complete: bool = False
    changes: tuple[TargetChange, ...] = ()
    latency_estimates: tuple[TargetLatencyEstimate, ...] = ()
    load_baseline: LoadBaseline = UNKNOWN_LOAD


PeerStateMessage = PeerStateRequest | PeerState
