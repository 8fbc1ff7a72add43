"""Decodes the simulator's batches of event records; it makes no decisions.

The simulator sends batches and receives a reply to each (`simulator.actions`).  All numbers are
little-endian, times are nanoseconds on the simulator's clock.  `BatchReader` keeps the target lists that
events refer to by number.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, BinaryIO, NamedTuple

from stalltiller.scheduling import (
    AttemptFinished,
    AttemptStatus,
    ClientDisconnected,
    Event,
    FirstByte,
    PeerMessage,
    ProbeFinished,
    Request,
    Target,
    TargetListKind,
    TargetListUpdate,
    TargetStatus,
    TimerFired,
)
from stalltiller.simulator.errors import WireError
from stalltiller.simulator.options import NANOSECONDS_PER_SECOND, parse_settings, settings_from_options

__all__ = [
    "BatchReader",
    "Frame",
    "InstanceEvent",
    "InstanceStarted",
    "InstanceStopped",
    "RawTargetList",
    "WireError",
    "parse_settings",
    "read_frame",
    "settings_from_options",
    "to_target_id",
    "to_target_list_update",
]

FRAME_HEADER = struct.Struct("<IIQ")  # number of records, number of bytes after this field, clock
CLOCK_BYTES = 8  # the length field includes the clock
TARGET_ROW = struct.Struct("<IHBHHBfQ")  # address, port, zone, kind, shard, status, weight, start time
UINT16 = struct.Struct("<H")
UINT32 = struct.Struct("<I")

# Event codes.
FIRST_BYTE = 0
INSTANCE_STARTED = 1
TARGET_ROWS = 2
PEER_MESSAGE = 3
CLIENT_DISCONNECTED = 4
TARGET_LIST = 5
INSTANCE_STOPPED = 6
PROBE_FINISHED = 7
REQUEST = 8
TIMER_FIRED = 9
ATTEMPT_FINISHED = 10

# Fixed-size fields of each event; the first is the instance number.
EVENT_FIELDS = {
    FIRST_BYTE: struct.Struct("<IQBIHQ"),
    INSTANCE_STARTED: struct.Struct("<IQ"),
    PEER_MESSAGE: struct.Struct("<II"),
    CLIENT_DISCONNECTED: struct.Struct("<IQ"),
    TARGET_LIST: struct.Struct("<IBIH"),
    INSTANCE_STOPPED: struct.Struct("<I"),
    PROBE_FINISHED: struct.Struct("<IIHQH"),
    REQUEST: struct.Struct("<IQffHQHQIfQ"),
    TIMER_FIRED: struct.Struct("<IQ"),
    ATTEMPT_FINISHED: struct.Struct("<IQBIHHQBHH"),
}
# Bits of a request's flags field.
RETRY_BIT = 2
WRITE_BIT = 4

# Enum members, indexed by their number in the protocol.
ATTEMPT_STATUSES = (
    AttemptStatus.OK,
    AttemptStatus.ERROR,
    AttemptStatus.REJECTED,
    AttemptStatus.TIMEOUT,
    AttemptStatus.CONNECT_FAILED,
    AttemptStatus.RESET,
    AttemptStatus.CANCELLED,
    AttemptStatus.NOT_STARTED,
)
TARGET_STATUSES = (TargetStatus.REMOVED, TargetStatus.DRAINING, TargetStatus.READY)
TARGET_LIST_KINDS = (
    TargetListKind.DELTA,
    TargetListKind.FULL,
    TargetListKind.CACHED,
    TargetListKind.FAILED,
)

TargetRows = tuple[tuple[Any, ...], ...]  # the TARGET_ROW fields of each target


class Frame(NamedTuple):
    """A batch before its records are decoded."""

    record_count: int
    clock_ns: int
    body: bytes


@dataclass(slots=True, frozen=True)
class InstanceStarted:
    """An instance starts with a random seed and its options as text."""

    seed: int
    options: str


@dataclass(slots=True, frozen=True)
class InstanceStopped:
    """An instance stops immediately; its pending events are dropped."""


class RawTargetList(NamedTuple):
    """A target list with start times on the simulator's clock."""

    kind: TargetListKind
    rows: TargetRows


InstanceEvent = Event | InstanceStarted | InstanceStopped | RawTargetList


def to_target_id(address: int, port: int) -> int:
    """Combine a target's address and port into its opaque id."""
    return address << 16 | port


def read_frame(stream: BinaryIO) -> Frame | None:
    """Read one batch; None at the end of the input.  Raises WireError if it is truncated or too short."""
    header = stream.read(FRAME_HEADER.size)
    if not header:
        return None
    if len(header) < FRAME_HEADER.size:
        raise WireError("input ends inside a batch header")
    record_count, length, clock_ns = FRAME_HEADER.unpack(header)
    if length < CLOCK_BYTES:
        raise WireError(f"batch length {length} is too short for the clock")
    body_bytes = length - CLOCK_BYTES
    body = stream.read(body_bytes)
    if len(body) < body_bytes:
        raise WireError(f"input ends inside a batch: {len(body)} of {body_bytes} bytes")
    return Frame(record_count, clock_ns, body)


def _decode_request(values: tuple[Any, ...]) -> Request:
    _, request_id, units, initiators, flags, key, class_index, volume, plan_index, shard, left_ns = values
    return Request(
        request_id,
        class_index,
        plan_index,
        volume,
        units,
        max(1, int(initiators)),
        key,
        None if shard < 0 else int(shard),
        bool(flags & WRITE_BIT),
        bool(flags & RETRY_BIT),
        left_ns / NANOSECONDS_PER_SECOND,
    )


def _decode_attempt_finished(values: tuple[Any, ...]) -> AttemptFinished:
    _, request_id, attempt, address, port, status, latency_ns, is_done, usage, other_units, report = values
    return AttemptFinished(
        request_id,
        attempt,
        to_target_id(address, port),
        ATTEMPT_STATUSES[status],
        latency_ns / NANOSECONDS_PER_SECOND,
        bool(is_done),
        (usage - 1) / 100 if usage else None,  # encoded as percent plus one; 0: not measured
        float(other_units),
        report,
    )


def _decode_first_byte(values: tuple[Any, ...]) -> FirstByte:
    _, request_id, attempt, address, port, latency_ns = values
    return FirstByte(request_id, attempt, to_target_id(address, port), latency_ns / NANOSECONDS_PER_SECOND)


def _decode_probe_finished(values: tuple[Any, ...]) -> ProbeFinished:
    _, address, port, latency_ns, status, report = values
    latency_seconds = latency_ns / NANOSECONDS_PER_SECOND
    return ProbeFinished(to_target_id(address, port), latency_seconds, ATTEMPT_STATUSES[status], report)


def _decode_instance_started(values: tuple[Any, ...]) -> InstanceStarted:
    _, seed, options = values
    return InstanceStarted(seed, options.decode("utf-8", "replace"))


EVENT_DECODERS: dict[int, Callable[[tuple[Any, ...]], InstanceEvent]] = {
    REQUEST: _decode_request,
    ATTEMPT_FINISHED: _decode_attempt_finished,
    TIMER_FIRED: lambda values: TimerFired(values[1]),
    FIRST_BYTE: _decode_first_byte,
    CLIENT_DISCONNECTED: lambda values: ClientDisconnected(values[1]),
    PROBE_FINISHED: _decode_probe_finished,
    PEER_MESSAGE: lambda values: PeerMessage(values[1], values[2]),
    INSTANCE_STARTED: _decode_instance_started,
    INSTANCE_STOPPED: lambda _: InstanceStopped(),
}


class BatchReader:
    """Decodes batches and keeps the numbered target lists that later events refer to."""

    def __init__(self) -> None:
        self._rows_by_number: dict[int, TargetRows] = {}
        self._decoders = {**EVENT_DECODERS, TARGET_LIST: self._decode_target_list}

    def decode_events(self, count: int, body: bytes) -> list[tuple[int, InstanceEvent]]:
        """Decode a batch of `count` records into pairs of instance number and event.

        Raises WireError on records that are unknown, incomplete or out of range.
        """
        events: list[tuple[int, InstanceEvent]] = []
        offset = 0
        try:
            for _ in range(count):
                code = body[offset]
                offset += 1
                if code == TARGET_ROWS:
                    offset = self._read_target_rows(body, offset)
                    continue
                fields = EVENT_FIELDS.get(code)
                if fields is None:
                    raise WireError(f"unknown event code {code} at byte {offset - 1}")
                values = fields.unpack_from(body, offset)
                offset += fields.size
                if code in (INSTANCE_STARTED, PEER_MESSAGE):
                    data, offset = _read_bytes(body, offset, UINT32 if code == INSTANCE_STARTED else UINT16)
                    values += (data,)
                elif code in (PROBE_FINISHED, ATTEMPT_FINISHED):
                    report, offset = _read_floats(body, offset)
                    values += (report,)
                try:
                    events.append((values[0], self._decoders[code](values)))
                except IndexError as error:
                    raise WireError(f"value out of range in event {code}") from error
        except (struct.error, IndexError) as error:
            raise WireError(f"batch body ends inside a record: {error}") from error
        if offset != len(body):
            raise WireError(f"{len(body) - offset} bytes left over after {count} records")
        return events

    def _read_target_rows(self, body: bytes, offset: int) -> int:
        """Store a numbered target list and return the offset after it."""
        (number,) = UINT16.unpack_from(body, offset)
        (count,) = UINT32.unpack_from(body, offset + UINT16.size)
        offset += UINT16.size + UINT32.size
        end_offset = offset + count * TARGET_ROW.size
        if end_offset > len(body):
            raise WireError("batch body ends inside a target list")
        self._rows_by_number[number] = tuple(TARGET_ROW.iter_unpack(body[offset:end_offset]))
        return end_offset

    def _decode_target_list(self, values: tuple[Any, ...]) -> RawTargetList:
        _, kind_number, _, rows_number = values
        kind = TARGET_LIST_KINDS[kind_number]
        if kind is TargetListKind.FAILED:
            return RawTargetList(kind, ())
        rows = self._rows_by_number.get(rows_number)
        if rows is None:
            raise WireError(f"target list {rows_number} was never sent")
        return RawTargetList(kind, rows)


def _read_bytes(body: bytes, offset: int, length_field: struct.Struct) -> tuple[bytes, int]:
    (length,) = length_field.unpack_from(body, offset)
    offset += length_field.size
    if offset + length > len(body):
        raise WireError("batch body ends inside a record")
    return body[offset : offset + length], offset + length


def _read_floats(body: bytes, offset: int) -> tuple[tuple[float, ...], int]:
    count = body[offset]
    return struct.unpack_from(f"<{count}f", body, offset + 1), offset + 1 + 4 * count


def to_target_list_update(raw_list: RawTargetList, epoch_ns: int) -> TargetListUpdate:
    """Convert a raw target list to the clock of the instance that receives it.

    `epoch_ns` is the simulator's time at which the instance's clock reads 0.  Raises WireError on an unknown
    target status.
    """
    try:
        targets = tuple(
            Target(
                to_target_id(address, port),
                zone,
                kind,
                shard,
                TARGET_STATUSES[status],
                weight,
                (started_ns - epoch_ns) / NANOSECONDS_PER_SECOND if started_ns else None,
            )
            for address, port, zone, kind, shard, status, weight, started_ns in raw_list.rows
        )
    except IndexError as error:
        raise WireError("target status out of range") from error
    return TargetListUpdate(raw_list.kind, targets)
