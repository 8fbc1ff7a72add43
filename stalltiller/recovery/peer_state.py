"""The messages with which a restarted initiator requests state from its peers, and their responses.

These are plain values: `peer_state_codec` encodes them, and `peer_state_filter` decides which parts of a
response may be used.
"""

from __future__ import annotations

from dataclasses import dataclass

from stalltiller.recovery.snapshot import UNKNOWN_LOAD, LoadBaseline, TargetLatencyEstimate
from stalltiller.scheduling import TargetStatus


@dataclass(slots=True, frozen=True)
class TargetChange:
    """A target's state as a peer reports it.

    `started_at` is the Unix time of the target's start (None: unknown or long ago).
    """

    target_name: str
    status: TargetStatus
    started_at: float | None


@dataclass(slots=True, frozen=True)
class PeerStateRequest:
    """Requests all changes since a version of one discovery service's target list (0: no version known)."""

    discovery_address: str
    version: int


@dataclass(slots=True, frozen=True)
class PeerState:
    """A peer's response, or a part of one.

    `is_complete` means that it holds every change from `requested_version` to `version`.
    """

    discovery_address: str
    version: int
    requested_version: int = 0
    is_complete: bool = False
    changes: tuple[TargetChange, ...] = ()
    latency_estimates: tuple[TargetLatencyEstimate, ...] = ()
    load_baseline: LoadBaseline = UNKNOWN_LOAD


PeerStateMessage = PeerStateRequest | PeerState
