"""Encodes requests to peers and their responses as datagram bodies (see `recovery.proto`).

A long response is split into several datagrams, each of which can be used without the others, as some may be
lost.  Decoded names, statuses and measurements are checked against bounds.
"""

from __future__ import annotations

from collections.abc import Iterator

from google.protobuf.message import DecodeError

from stalltiller.recovery import recovery_pb2 as pb
from stalltiller.recovery.peer_state import PeerState, PeerStateMessage, PeerStateRequest, TargetChange
from stalltiller.recovery.snapshot import LoadBaseline, TargetLatencyEstimate
from stalltiller.scheduling import TargetStatus

MAX_BODY_BYTES = 1100  # with the sender's name and address, a body of this size fits into one datagram
MAX_NAME_CHARACTERS = 128  # limit for a target's name and for an address
MAX_DATAGRAMS_PER_RESPONSE = 8  # the rest of a longer response is omitted
NUMBER_LIMIT = 1e12  # every valid time, rate and latency is below it; NaN fails the comparison as well
FIELD_OVERHEAD_BYTES = 4  # upper bound on the tag and length of an embedded message
STATUSES = (TargetStatus.READY, TargetStatus.DRAINING, TargetStatus.REMOVED)  # indexed by number on the wire


class MalformedPeerStateError(ValueError):
    """A datagram body is not a valid peer state message; the text states the error."""


def encode_message(message: PeerStateMessage) -> list[bytes]:
    """Encode a message as datagram bodies, at most MAX_DATAGRAMS_PER_RESPONSE for a long response."""
    if isinstance(message, PeerStateRequest):
        return [_encode_request(message)]
    return _encode_response(message)


def decode_message(data: bytes) -> PeerStateRequest | PeerState:
    """Decode a datagram body.  Raises MalformedPeerStateError."""
    message = pb.PeerStateMessage()
    try:
        message.ParseFromString(data)
    except DecodeError as error:
        raise MalformedPeerStateError("not a protobuf PeerStateMessage") from error
    _check_bounds(message)
    if message.is_request:
        return PeerStateRequest(message.discovery_address, message.version)
    return PeerState(
        discovery_address=message.discovery_address,
        version=message.version,
        requested_version=message.requested_version,
        is_complete=message.is_complete,
        changes=tuple(_decode_change(change) for change in message.changes),
        latency_estimates=tuple(_decode_estimate(estimate) for estimate in message.latency_estimates),
        load_baseline=LoadBaseline(
            served_fraction=message.served_fraction or None,
            shard_rates=tuple(_decode_shard_rate(rate) for rate in message.shard_rates),
        ),
    )


def _encode_request(request: PeerStateRequest) -> bytes:
    message = pb.PeerStateMessage(
        is_request=True, discovery_address=request.discovery_address, version=request.version
    )
    return message.SerializeToString()


def _encode_response(response: PeerState) -> list[bytes]:
    header = pb.PeerStateMessage(
        discovery_address=response.discovery_address,
        version=response.version,
        requested_version=response.requested_version,
        served_fraction=response.load_baseline.served_fraction or 0.0,
    )
    max_entry_bytes = MAX_BODY_BYTES - header.ByteSize() - FIELD_OVERHEAD_BYTES
    datagrams = [_new_datagram(header)]
    datagram_bytes = 0
    for field, entry in _entries(response):
        entry_bytes = entry.ByteSize() + FIELD_OVERHEAD_BYTES
        datagram_bytes += entry_bytes
        if datagram_bytes > max_entry_bytes:
            datagrams.append(_new_datagram(header))
            datagram_bytes = entry_bytes
        getattr(datagrams[-1], field).append(entry)
    # Only the first datagram may be marked as complete, since the others may be lost.
    datagrams[0].is_complete = response.is_complete and len(datagrams[0].changes) == len(response.changes)
    return [datagram.SerializeToString() for datagram in datagrams[:MAX_DATAGRAMS_PER_RESPONSE]]


def _new_datagram(header: pb.PeerStateMessage) -> pb.PeerStateMessage:
    datagram = pb.PeerStateMessage()
    datagram.CopyFrom(header)
    return datagram


def _entries(
    response: PeerState,
) -> Iterator[tuple[str, pb.TargetChange | pb.ShardRate | pb.TargetLatencyEstimate]]:
    """Yield the field name and the message of each entry of a response, the most important ones first."""
    for change in response.changes:
        yield (
            "changes",
            pb.TargetChange(
                target_name=change.target_name,
                status=STATUSES.index(change.status),
                started_at=change.started_at or 0.0,
            ),
        )
    for shard, units_per_second in response.load_baseline.shard_rates:
        shard_number = 0 if shard is None else shard + 1
        yield (
            "shard_rates",
            pb.ShardRate(shard_plus_one=shard_number, units_per_second=units_per_second),
        )
    for estimate in response.latency_estimates:
        yield (
            "latency_estimates",
            pb.TargetLatencyEstimate(
                target_name=estimate.target_name,
                target_started_at=estimate.target_started_at or 0.0,
                latency=estimate.latency,
                concurrency_limit=estimate.concurrency_limit,
            ),
        )


def _check_bounds(message: pb.PeerStateMessage) -> None:
    names = [message.discovery_address]
    names += [change.target_name for change in message.changes]
    names += [estimate.target_name for estimate in message.latency_estimates]
    if any(len(name) > MAX_NAME_CHARACTERS for name in names):
        raise MalformedPeerStateError(f"name or address longer than {MAX_NAME_CHARACTERS} characters")
    if any(change.status >= len(STATUSES) for change in message.changes):
        raise MalformedPeerStateError("unknown target status")
    numbers = [message.served_fraction]
    numbers += [change.started_at for change in message.changes]
    numbers += [rate.units_per_second for rate in message.shard_rates]
    for estimate in message.latency_estimates:
        numbers += [estimate.target_started_at, estimate.latency, estimate.concurrency_limit]
    if not all(0.0 <= number < NUMBER_LIMIT for number in numbers):
        raise MalformedPeerStateError("number negative, too large or NaN")


def _decode_change(change: pb.TargetChange) -> TargetChange:
    return TargetChange(change.target_name, STATUSES[change.status], change.started_at or None)


def _decode_estimate(estimate: pb.TargetLatencyEstimate) -> TargetLatencyEstimate:
    return TargetLatencyEstimate(
        target_name=estimate.target_name,
        target_started_at=estimate.target_started_at or None,
        latency=estimate.latency,
        concurrency_limit=estimate.concurrency_limit,
        measured_at=0.0,
    )


def _decode_shard_rate(rate: pb.ShardRate) -> tuple[int | None, float]:
    shard = rate.shard_plus_one - 1 if rate.shard_plus_one else None
    return shard, rate.units_per_second
