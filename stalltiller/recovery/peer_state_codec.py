"""Encodes requests to peers and their answers as bodies of datagrams (see `recovery.proto`).

A long answer is split over several datagrams, each of which can be used without the others, as some may be
lost.  Everything that is read is checked for its bounds.
"""

from __future__ import annotations

from collections.abc import Iterator

from google.protobuf.message import DecodeError

from stalltiller.recovery import recovery_pb2 as pb
from stalltiller.recovery.peer_state import PeerState, PeerStateMessage, PeerStateRequest, TargetChange
from stalltiller.recovery.snapshot import LoadBaseline, TargetLatencyEstimate
from stalltiller.scheduling import TargetStatus

MAX_BODY_BYTES = 1100  # with the sender's name and address it fits into one datagram
MAX_NAME_LENGTH = 128  # characters of a target's name or an address
MAX_DATAGRAMS = 8  # of one answer; the rest is left out
MAX_NUMBER = 1e12  # no time, rate or latency reaches it; NaN is not below it either
FIELD_OVERHEAD_BYTES = 4  # at most, for the tag and the length of an embedded message
STATUSES = (TargetStatus.READY, TargetStatus.DRAINING, TargetStatus.REMOVED)  # by their numbers on the wire


class MalformedPeerStateError(ValueError):
    """A datagram holds no valid message of a peer; the text says what is wrong with it."""


def encode_message(message: PeerStateMessage) -> list[bytes]:
    """Return a message as bodies of datagrams: at most the first MAX_DATAGRAMS of a long answer."""
    if isinstance(message, PeerStateRequest):
        return [_encode_request(message)]
    return _encode_answer(message)


def decode_message(data: bytes) -> PeerStateRequest | PeerState:
    """Read the body of a datagram.  Raises MalformedPeerStateError."""
    message = pb.PeerStateMessage()
    try:
        message.ParseFromString(data)
    except DecodeError as error:
        raise MalformedPeerStateError("malformed") from error
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


def _encode_answer(answer: PeerState) -> list[bytes]:
    header = pb.PeerStateMessage(
        discovery_address=answer.discovery_address,
        version=answer.version,
        requested_version=answer.requested_version,
        served_fraction=answer.load_baseline.served_fraction or 0.0,
    )
    max_entry_bytes = MAX_BODY_BYTES - header.ByteSize() - FIELD_OVERHEAD_BYTES
    datagrams = [_new_datagram(header)]
    datagram_bytes = 0
    for field, entry in _entries(answer):
        entry_bytes = entry.ByteSize() + FIELD_OVERHEAD_BYTES
        datagram_bytes += entry_bytes
        if datagram_bytes > max_entry_bytes:
            datagrams.append(_new_datagram(header))
            datagram_bytes = entry_bytes
        getattr(datagrams[-1], field).append(entry)
    # Only the first may claim to be complete: nobody knows whether the others arrive.
    datagrams[0].is_complete = answer.is_complete and len(datagrams[0].changes) == len(answer.changes)
    return [datagram.SerializeToString() for datagram in datagrams[:MAX_DATAGRAMS]]


def _new_datagram(header: pb.PeerStateMessage) -> pb.PeerStateMessage:
    datagram = pb.PeerStateMessage()
    datagram.CopyFrom(header)
    return datagram


def _entries(
    answer: PeerState,
) -> Iterator[tuple[str, pb.TargetChange | pb.ShardRate | pb.TargetLatencyEstimate]]:
    """Yield the field name and the message of each entry of an answer, the most important ones first."""
    for change in answer.changes:
        yield (
            "changes",
            pb.TargetChange(
                target_name=change.target_name,
                status=STATUSES.index(change.status),
                started_at=change.started_at or 0.0,
            ),
        )
    for shard, units_per_second in answer.load_baseline.shard_rates:
        shard_number = 0 if shard is None else shard + 1
        yield (
            "shard_rates",
            pb.ShardRate(shard_plus_one=shard_number, units_per_second=units_per_second),
        )
    for estimate in answer.latency_estimates:
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
    if any(len(name) > MAX_NAME_LENGTH for name in names):
        raise MalformedPeerStateError("text or state")
    if any(change.status >= len(STATUSES) for change in message.changes):
        raise MalformedPeerStateError("text or state")
    numbers = [message.served_fraction]
    numbers += [change.started_at for change in message.changes]
    numbers += [rate.units_per_second for rate in message.shard_rates]
    for estimate in message.latency_estimates:
        numbers += [estimate.target_started_at, estimate.latency, estimate.concurrency_limit]
    if not all(0.0 <= number < MAX_NUMBER for number in numbers):
        raise MalformedPeerStateError("number")


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
