"""Encodes recovery snapshots as bytes and validates them when they are decoded.

The format is a magic number, a BLAKE2b checksum of the body, and the body as JSON.  The JSON keys are part of
the stored format and differ from the names of the fields.
"""

from __future__ import annotations

import hashlib

import orjson

from stalltiller.protocol import discovery
from stalltiller.recovery.snapshot import (
    LoadBaseline,
    PeerAddress,
    RecoverySnapshot,
    SnapshotRejectedError,
    SnapshotRejectionReason,
    TargetLatencyEstimate,
    VolumeTokenLevel,
)

SNAPSHOT_VERSION = 2
MAGIC = b"STL1"
CHECKSUM_BYTES = 16
MAX_CLOCK_SKEW_SECONDS = 5.0  # a snapshot may be this far in the future, as machines' clocks differ a little
MAX_SNAPSHOT_BYTES = 4 * 1024 * 1024
# Limits on stored entries; further ones are omitted.
MAX_LATENCY_ESTIMATES = 4096
MAX_TOKEN_LEVELS = 20000
MAX_SHARD_RATES = 4096
MAX_PEERS = 1024
STATUS_NAMES = {status: name for name, status in discovery.STATUSES_BY_NAME.items()}


def encode_snapshot(snapshot: RecoverySnapshot) -> bytes:
    """Encode a snapshot, preceded by the magic number and a checksum."""
    baseline = snapshot.load_baseline
    body = orjson.dumps(
        {
            "version": SNAPSHOT_VERSION,
            "name": snapshot.initiator_name,
            "discovery": snapshot.discovery_address,
            "saved_at": snapshot.saved_at,
            "closed": snapshot.is_clean_shutdown,
            "heard_at": snapshot.target_list_confirmed_at,
            "listing": _target_list_json(snapshot.target_list),
            "paces": [
                _estimate_json(estimate) for estimate in snapshot.latency_estimates[:MAX_LATENCY_ESTIMATES]
            ],
            "levels": [_token_level_json(level) for level in snapshot.token_levels[:MAX_TOKEN_LEVELS]],
            "share": baseline.served_fraction,
            "rates": baseline.shard_rates[:MAX_SHARD_RATES],
            "peers": [tuple(peer) for peer in baseline.peers[:MAX_PEERS]],
        }
    )
    return MAGIC + _checksum(body) + body


def decode_snapshot(data: bytes, initiator_name: str, discovery_address: str, now: float) -> RecoverySnapshot:
    """Decode a snapshot of this initiator and discovery service at the Unix time `now`.

    Raises SnapshotRejectedError if it is corrupt, foreign, in another format or from the future.
    """
    body = data[len(MAGIC) + CHECKSUM_BYTES :]
    header = data[: -len(body) or None]
    if len(data) > MAX_SNAPSHOT_BYTES or header != MAGIC + _checksum(body):
        raise SnapshotRejectedError(SnapshotRejectionReason.TORN)
    try:
        fields = orjson.loads(body)
        if fields["version"] != SNAPSHOT_VERSION:
            raise SnapshotRejectedError(SnapshotRejectionReason.VERSION)
        if (fields["name"], fields["discovery"]) != (initiator_name, discovery_address):
            raise SnapshotRejectedError(SnapshotRejectionReason.FOREIGN)
        snapshot = _snapshot_from_json(fields)
    except (KeyError, TypeError, discovery.DiscoveryError) as error:
        raise SnapshotRejectedError(SnapshotRejectionReason.TORN) from error
    if snapshot.saved_at > now + MAX_CLOCK_SKEW_SECONDS:
        raise SnapshotRejectedError(SnapshotRejectionReason.FUTURE)
    return snapshot


def _checksum(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=CHECKSUM_BYTES).digest()


def _snapshot_from_json(fields: dict) -> RecoverySnapshot:
    target_list = fields["listing"]
    return RecoverySnapshot(
        initiator_name=fields["name"],
        discovery_address=fields["discovery"],
        saved_at=float(fields["saved_at"]),
        is_clean_shutdown=fields["closed"] is True,
        target_list=None if target_list is None else discovery.parse_target_list_value(target_list),
        target_list_confirmed_at=float(fields["heard_at"]),
        latency_estimates=tuple(TargetLatencyEstimate(*values) for values in fields["paces"]),
        token_levels=tuple(VolumeTokenLevel(*values) for values in fields["levels"]),
        load_baseline=LoadBaseline(
            served_fraction=fields["share"],
            shard_rates=tuple(map(tuple, fields["rates"])),
            peers=tuple(PeerAddress(*values) for values in fields["peers"]),
        ),
    )


def _target_list_json(target_list: discovery.TargetList | None) -> object:
    if target_list is None:
        return None
    return {
        "index": target_list.version,
        "snapshot": True,
        "endpoints": [_target_json(target) for target in target_list.targets],
    }


def _target_json(target: discovery.TargetRecord) -> object:
    return {
        "name": target.name,
        "address": f"{target.host}:{target.port}",
        "zone": target.zone,
        "type": target.kind,
        "group": target.shard,
        "status": STATUS_NAMES[target.status],
        "weight": target.weight,
        "since_ms": 0 if target.started_at is None else target.started_at * 1000,
    }


def _estimate_json(estimate: TargetLatencyEstimate) -> list[object]:
    return [
        estimate.target_name,
        estimate.target_started_at,
        estimate.latency,
        estimate.concurrency_limit,
        estimate.measured_at,
    ]


def _token_level_json(level: VolumeTokenLevel) -> list[object]:
    return [level.volume, level.plan_name, level.initiator_count, level.units, level.measured_at]
