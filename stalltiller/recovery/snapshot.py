"""The state that an initiator persists across a restart, and how long each part of it may be used.

This module does no I/O: it defines the types and the rules of validity, while `snapshot_codec` encodes
snapshots and `store` writes them.  All times are Unix times in seconds.  Each kind of state is discarded when
it expires, and replaced by a fallback:

| state | valid for | fallback |
| --- | --- | --- |
| target list | MAX_TARGET_LIST_AGE_SECONDS after discovery last confirmed it | the configured list, or none |
| latency and concurrency limit of a target | MAX_LATENCY_ESTIMATE_AGE_SECONDS, same process | defaults |
| tokens of a limited volume | any age, after a clean shutdown only | an empty bucket |
| load baseline and peers | MAX_LOAD_BASELINE_AGE_SECONDS | the peers' load baseline, or a slow start |

Targets that an operator detached are persisted by `daemon.process_handover` until they are attached again.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum
from typing import NamedTuple

from stalltiller.protocol import discovery
from stalltiller.scheduling import Plan

MAX_TARGET_LIST_AGE_SECONDS = 600.0  # an older list contains too many removed targets
MAX_LATENCY_ESTIMATE_AGE_SECONDS = 60.0  # a target's load changes within a minute
MAX_LOAD_BASELINE_AGE_SECONDS = 3600.0  # the load of an hour ago still has the right order of magnitude


class SnapshotRejectionReason(StrEnum):
    """Why a stored snapshot must not be used."""

    TORN = "torn"  # incomplete, or changed since it was written
    FOREIGN = "foreign"  # written by another initiator, or with another discovery service
    VERSION = "version"  # written in another version of the format
    FUTURE = "future"  # written at a time that is in the future by this machine's clock


class SnapshotRejectedError(ValueError):
    """A stored snapshot must not be used; `reason` says why."""

    def __init__(self, reason: SnapshotRejectionReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


@dataclass(slots=True, frozen=True)
class TargetLatencyEstimate:
    """This initiator's latency estimate for a target.

    `latency` is the mean in seconds and `concurrency_limit` a number of requests.  `target_started_at`
    identifies the target's process (None if it started long ago): an estimate is invalid for another process.
    """

    target_name: str
    target_started_at: float | None
    latency: float
    concurrency_limit: float
    measured_at: float


@dataclass(slots=True, frozen=True)
class VolumeTokenLevel:
    """Units left in this initiator's share of a volume's rate limit."""

    volume: int
    plan_name: str
    initiator_count: int
    units: float
    measured_at: float


class PeerAddress(NamedTuple):
    """Another member of the fleet and the address on which its membership agent listens."""

    name: str
    host: str
    port: int


@dataclass(slots=True, frozen=True)
class LoadBaseline:
    """The load of normal operation, by which a restarted initiator limits what it initially admits.

    `served_fraction` is the served fraction of the finished requests (None if unknown), `shard_rates` lists
    the units per second requested of each shard through this initiator (None: new data, for any shard), and
    `peers` lists the other members of the fleet.
    """

    served_fraction: float | None = None
    shard_rates: tuple[tuple[int | None, float], ...] = ()
    peers: tuple[PeerAddress, ...] = ()


UNKNOWN_LOAD = LoadBaseline()


@dataclass(slots=True, frozen=True)
class RecoverySnapshot:
    """All state that is persisted across a restart.

    `discovery_address` scopes the target list, since discovery services number their versions independently.
    `is_clean_shutdown` means that the process shut down in order after this snapshot and consumed no further
    tokens.
    """

    initiator_name: str
    discovery_address: str
    saved_at: float
    is_clean_shutdown: bool = False
    target_list: discovery.TargetList | None = None
    target_list_confirmed_at: float = 0.0
    latency_estimates: tuple[TargetLatencyEstimate, ...] = ()
    token_levels: tuple[VolumeTokenLevel, ...] = ()
    load_baseline: LoadBaseline = UNKNOWN_LOAD


def discard_expired(snapshot: RecoverySnapshot, now: float) -> RecoverySnapshot:
    """Return the snapshot without the parts that may no longer be used at the Unix time `now`."""
    is_list_fresh = snapshot.target_list_confirmed_at > now - MAX_TARGET_LIST_AGE_SECONDS
    is_load_fresh = snapshot.saved_at > now - MAX_LOAD_BASELINE_AGE_SECONDS
    return replace(
        snapshot,
        target_list=snapshot.target_list if is_list_fresh else None,
        latency_estimates=tuple(
            estimate
            for estimate in snapshot.latency_estimates
            if estimate.measured_at > now - MAX_LATENCY_ESTIMATE_AGE_SECONDS
        ),
        token_levels=snapshot.token_levels if snapshot.is_clean_shutdown else (),
        load_baseline=snapshot.load_baseline if is_load_fresh else UNKNOWN_LOAD,
    )


def initial_token_level(level: VolumeTokenLevel, plan: Plan, now: float) -> float:
    """Return the units with which a volume's token bucket starts at the Unix time `now`.

    This is the smaller of the units that were left and those that accrued since, within this initiator's
    share of the burst.  A restart must not create tokens: after a kill, the consumption since the last
    snapshot is unknown.
    """
    accrued = plan.limit / level.initiator_count * max(0.0, now - level.measured_at)
    return max(0.0, min(level.units, accrued, plan.burst / level.initiator_count))
