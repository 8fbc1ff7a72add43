"""Recovery of an initiator after a restart: its persisted state, the limits on using it, and the ramp-up.

- `snapshot` (with `snapshot_codec`, `store` and `target_list_history`): the state persisted across a restart.
- `scheduler_state`: captures the scheduler's learned state and restores it.
- `mass_restart`, `poll_schedule`, `recovery_ramp`, `retry_reservations`, `shard_load`: pace the calls to
  discovery and the admission of requests when many members of a fleet restart together.
- `peer_state` (with `peer_state_codec` and `peer_state_filter`): the state that peers send to a restarted
  initiator.
- `phases`: tracks the progress of the recovery.

Only `store` does I/O; `daemon.recovery_service` and `daemon.recovery_coordinator` connect these modules to
the event loop, the fleet and the engine.
"""

from stalltiller.recovery.mass_restart import FleetView, MassRestartDetector
from stalltiller.recovery.peer_state import PeerState, PeerStateRequest, TargetChange
from stalltiller.recovery.peer_state_filter import PeerStateFilter
from stalltiller.recovery.phases import RecoveryPhase, RecoveryPhaseTracker
from stalltiller.recovery.poll_schedule import PollSchedule
from stalltiller.recovery.recovery_ramp import RecoveryRamp
from stalltiller.recovery.retry_reservations import RetryReservations
from stalltiller.recovery.scheduler_state import capture_state, restore_state
from stalltiller.recovery.shard_load import ShardLoadMeter
from stalltiller.recovery.snapshot import (
    LoadBaseline,
    PeerAddress,
    RecoverySnapshot,
    SnapshotRejectedError,
    SnapshotRejectionReason,
    TargetLatencyEstimate,
    VolumeTokenLevel,
    discard_expired,
    initial_token_level,
)
from stalltiller.recovery.snapshot_codec import decode_snapshot, encode_snapshot
from stalltiller.recovery.store import SnapshotStore
from stalltiller.recovery.target_list_history import TargetListHistory

__all__ = [
    "FleetView",
    "LoadBaseline",
    "MassRestartDetector",
    "PeerAddress",
    "PeerState",
    "PeerStateFilter",
    "PeerStateRequest",
    "PollSchedule",
    "RecoveryPhase",
    "RecoveryPhaseTracker",
    "RecoveryRamp",
    "RecoverySnapshot",
    "RetryReservations",
    "ShardLoadMeter",
    "SnapshotRejectedError",
    "SnapshotRejectionReason",
    "SnapshotStore",
    "TargetChange",
    "TargetLatencyEstimate",
    "TargetListHistory",
    "VolumeTokenLevel",
    "capture_state",
    "decode_snapshot",
    "discard_expired",
    "encode_snapshot",
    "initial_token_level",
    "restore_state",
]
