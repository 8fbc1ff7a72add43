"""Frame codec and options parser of the simulator's wire.  It translates and decides nothing."""

from __future__ import annotations

import math
import struct
from dataclasses import dataclass
from typing import BinaryIO

from stalltiller.scheduling import (
    Action,
    AttemptFinished,
    AttemptStatus,
    CancelAttempt,
    ClientDisconnected,
    CloseIdleConnections,
    DeduplicationScope,
    Fail,
    FetchTargetList,
    FirstByte,
    Idempotency,
    LogMessage,
    PeerMessage,
    Plan,
    ProbeFinished,
    ProbeTarget,
    Reject,
    Request,
    RequestClass,
    Rules,
    SendPeerMessage,
    SetTimer,
    Settings,
    StartAttempt,
    Target,
    TargetListKind,
    TargetListUpdate,
    TargetStatus,
    TimerFired,
    WatchTargetList,
)

NS = 1_000_000_000
BATCH_HEADER = struct.Struct("<IIQ")
REPLY_HEADER = struct.Struct("<II")
ENTRY = struct.Struct("<IHBHHBfQ")
U16, U32 = struct.Struct("<H"), struct.Struct("<I")
ALL_PEERS = 0xFFFF

# Event codes and their fixed fields, in order, the instance first.
FIRST, INIT, CENSUS, PEER, GONE, LIST, STOP, PROBED, REQUEST, TIMER, OUTCOME = range(11)
EVENT_FIELDS = {
    FIRST: struct.Struct("<IQBIHQ"),
    INIT: struct.Struct("<IQ"),
    PEER: struct.Struct("<II"),
    GONE: struct.Struct("<IQ"),
    LIST: struct.Struct("<IBIH"),
    STOP: struct.Struct("<I"),
    PROBED: struct.Struct("<IIHQH"),
    REQUEST: struct.Struct("<IQffHQHQIfQ"),
    TIMER: struct.Struct("<IQ"),
    OUTCOME: struct.Struct("<IQBIHHQBHH"),
}
STATUSES = (
    AttemptStatus.OK,
    AttemptStatus.ERROR,
    AttemptStatus.REJECTED,
    AttemptStatus.TIMEOUT,
    AttemptStatus.CONNECT_FAILED,
    AttemptStatus.RESET,
    AttemptStatus.CANCELLED,
    AttemptStatus.NOT_STARTED,
)
STATES = (TargetStatus.REMOVED, TargetStatus.DRAINING, TargetStatus.READY)
LIST_KINDS = (
    TargetListKind.DELTA,
    TargetListKind.FULL,
    TargetListKind.CACHED,
    TargetListKind.FAILED,
)
EFFECTS = {
    "repeatable": Idempotency.SAFE,
    "by_key": Idempotency.IDEMPOTENCY_KEY,
    "once": Idempotency.UNSAFE,
}
REPEAT_BIT, WRITE_BIT = 2, 4


class WireError(Exception):
    """A frame that does not follow the wire."""


@dataclass(slots=True, frozen=True)
class Init:
    """An instance comes up."""

    seed: int
    options: str


@dataclass(slots=True, frozen=True)
class Stop:
    """An instance dies."""


def node_id(address: int, port: int) -> int:
    """Fold the wire's address and port into one opaque number."""
    return address << 16 | port


def read_frame(stream: BinaryIO) -> tuple[int, int, bytes] | None:
    """Read one batch: its record count, clock and body; None at the end of input."""
    header = stream.read(BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < BATCH_HEADER.size:
        raise WireError("input ends inside a batch header")
    count, length, clock = BATCH_HEADER.unpack(header)
    if length < 8:
        raise WireError(f"batch length {length} leaves no room for the clock")
    body = stream.read(length - 8)
    if len(body) < length - 8:
        raise WireError(f"input ends inside a batch: {len(body)} of {length - 8} bytes")
    return count, clock, body


class Reader:
    """Turns the records of batches into events; keeps the numbered node lists of the process."""

    def __init__(self) -> None:
        self._lists: dict[int, tuple[tuple, ...]] = {}

    def events(self, count: int, body: bytes) -> list[tuple[int, object]]:
        """Decode a batch into (instance, raw event) pairs; node lists come as raw tuples."""
        found: list[tuple[int, object]] = []
        at = 0
        try:
            for _ in range(count):
                code = body[at]
                at += 1
                if code == CENSUS:
                    at = self._census(body, at)
                    continue
                fields = EVENT_FIELDS.get(code)
                if fields is None:
                    raise WireError(f"unknown event code {code} at byte {at - 1}")
                values = fields.unpack_from(body, at)
                at += fields.size
                if code in (INIT, PEER):
                    data, at = self._bytes(body, at, U32 if code == INIT else U16)
                    values += (data,)
                elif code in (PROBED, OUTCOME):
                    report, at = self._floats(body, at)
                    values += (report,)
                found.append((values[0], self._event(code, values)))
        except (struct.error, IndexError) as error:
            raise WireError(f"batch body ends inside a record: {error}") from error
        if at != len(body):
            raise WireError(f"{len(body) - at} bytes left over after {count} records")
        return found

    @staticmethod
    def _bytes(body: bytes, at: int, size: struct.Struct) -> tuple[bytes, int]:
        (length,) = size.unpack_from(body, at)
        at += size.size
        if at + length > len(body):
            raise WireError("batch body ends inside a record")
        return body[at : at + length], at + length

    @staticmethod
    def _floats(body: bytes, at: int) -> tuple[tuple[float, ...], int]:
        count = body[at]
        return struct.unpack_from(f"<{count}f", body, at + 1), at + 1 + 4 * count

    def _census(self, body: bytes, at: int) -> int:
        (sheet,) = U16.unpack_from(body, at)
        (count,) = U32.unpack_from(body, at + 2)
        at += 6
        end = at + count * ENTRY.size
        if end > len(body):
            raise WireError("batch body ends inside a node list")
        self._lists[sheet] = tuple(ENTRY.iter_unpack(body[at:end]))
        return end

    def _event(self, code: int, v: tuple) -> object:
        try:
            if code == REQUEST:
                shard = None if v[9] < 0 else int(v[9])
                return Request(
                    v[1],
                    v[6],
                    v[8],
                    v[7],
                    v[2],
                    max(1, int(v[3])),
                    v[5],
                    shard,
                    bool(v[4] & WRITE_BIT),
                    bool(v[4] & REPEAT_BIT),
                    v[10] / NS,
                )
            if code == OUTCOME:
                use = (v[8] - 1) / 100 if v[8] else None
                return AttemptFinished(
                    v[1],
                    v[2],
                    node_id(v[3], v[4]),
                    STATUSES[v[5]],
                    v[6] / NS,
                    bool(v[7]),
                    use,
                    float(v[9]),
                    v[10],
                )
            if code == TIMER:
                return TimerFired(v[1])
            if code == FIRST:
                return FirstByte(v[1], v[2], node_id(v[3], v[4]), v[5] / NS)
            if code == GONE:
                return ClientDisconnected(v[1])
            if code == PROBED:
                return ProbeFinished(node_id(v[1], v[2]), v[3] / NS, STATUSES[v[4]], v[5])
            if code == PEER:
                return PeerMessage(v[1], v[2])
            if code == INIT:
                return Init(v[1], v[2].decode("utf-8", "replace"))
            if code == STOP:
                return Stop()
            kind = LIST_KINDS[v[1]]
            entries = () if kind is TargetListKind.FAILED else self._lists.get(v[3])
            if entries is None:
                raise WireError(f"node list {v[3]} was never sent")
            return kind, entries
        except IndexError as error:
            raise WireError(f"a value out of range in event {code}") from error


def node_list(kind: TargetListKind, rows: tuple[tuple, ...], base: int) -> TargetListUpdate:
    """Give a raw node list the clock of the instance that hears of it."""
    try:
        return TargetListUpdate(
            kind,
            tuple(
                Target(
                    node_id(a, p),
                    zone,
                    hw,
                    cell,
                    STATES[state],
                    weight,
                    (started - base) / NS if started else None,
                )
                for a, p, zone, hw, cell, state, weight, started in rows
            ),
        )
    except IndexError as error:
        raise WireError("a node state out of range") from error


def encode_action(instance: int, action: Action, base: int) -> bytes:
    """Encode one action; `base` is the clock at which the instance's own time began."""
    match action:
        case StartAttempt(request_id=request, target_id=node, expires_at=expires):
            at = 0 if expires is None else base + max(1, round(expires * NS))
            return struct.pack("<BIQQIH", 0, instance, request, at, node >> 16, node & 0xFFFF)
        case Reject(request_id=request, retry_after=delay):
            return struct.pack("<BIQQ", 1, instance, request, round(delay * NS))
        case Fail(request_id=request):
            return struct.pack("<BIQ", 2, instance, request)
        case CancelAttempt(request_id=request, attempt_number=attempt):
            return struct.pack("<BIQB", 3, instance, request, attempt)
        case SetTimer(token=token, delay=delay):
            return struct.pack("<BIQQ", 4, instance, token, max(0, math.ceil(delay * NS)))
        case ProbeTarget(target_id=node):
            return struct.pack("<BIIH", 5, instance, node >> 16, node & 0xFFFF)
        case CloseIdleConnections(target_id=node):
            return struct.pack("<BIIH", 6, instance, node >> 16, node & 0xFFFF)
        case SendPeerMessage(initiator_index=gateway, data=data):
            peer = ALL_PEERS if gateway is None else gateway
            return struct.pack("<BIHH", 7, instance, peer, len(data)) + data
        case LogMessage(text=text):
            return encode_text(8, instance, text)
        case WatchTargetList(enabled=on):
            return struct.pack("<BIB", 10, instance, on)
        case FetchTargetList():
            return struct.pack("<BI", 11, instance)
    raise TypeError(f"not an action: {action!r}")


def encode_text(code: int, instance: int, text: str) -> bytes:
    """Encode a log line (code 8) or a crash report (code 9)."""
    data = text.encode()[:0xFFFF]
    return struct.pack("<BIH", code, instance, len(data)) + data


def encode_fault(instance: int, text: str) -> bytes:
    """Encode the report of a crash of the decision code."""
    return encode_text(9, instance, text)


def encode_reply(records: list[bytes]) -> bytes:
    """Join records into a reply."""
    body = b"".join(records)
    return REPLY_HEADER.pack(4 + len(body), len(records)) + body


class _Options:
    """The options by path, with typed look-ups; a missing path gives None."""

    def __init__(self, values: dict[str, str], prefix: str = "") -> None:
        self._values, self._prefix = values, prefix

    def text(self, path: str) -> str | None:
        return self._values.get(self._prefix + path)

    def number(self, path: str) -> float | None:
        value = self.text(path)
        try:
            return None if value is None else float(value)
        except ValueError as error:
            raise WireError(f"option {self._prefix + path} is not a number: {value}") from error

    def amount(self, path: str) -> float:
        return self.number(path) or 0.0

    def seconds(self, path: str) -> float | None:
        value = self.number(path + "-ns")
        return None if value is None else value / NS

    def span(self, path: str) -> float:
        return self.seconds(path) or 0.0

    def flag(self, path: str) -> bool:
        return self.text(path) == "true"

    def words(self, path: str) -> list[str]:
        return [word for word in (self.text(path) or "").split(",") if word]

    def items(self, path: str) -> list[_Options]:
        count = int(self.amount(path + ".count"))
        return [_Options(self._values, f"{self._prefix}{path}.{i}.") for i in range(count)]


def parse_settings(text: str) -> Settings:
    """Parse an instance's options, one path=value a line."""
    pairs = (line.partition("=") for line in text.splitlines() if "=" in line)
    return settings_of({path.strip(): value.strip() for path, _, value in pairs})


def settings_of(values: dict[str, str]) -> Settings:
    """Read the options by path; those that are not known are passed over."""
    o = _Options(values)
    # By place in the list of classes.  Guards against a list of another length, as files have once classes
    # were added or dropped: its places say nothing.
    words = o.words("family-info.changes-data")
    writes = [w == "true" for w in words] if len(words) == o.amount("classes.count") else []
    classes = tuple(
        RequestClass(
            c.text("name") or "",
            c.span("aim"),
            c.span("give-up"),
            c.amount("worth"),
            c.amount("late-share"),
            EFFECTS.get(c.text("effect") or "", Idempotency.UNSAFE),
            {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE}.get(
                c.text("key-scope") or "", DeduplicationScope.SHARD
            ),
            c.span("key-ttl"),
            c.flag("streaming"),
            c.flag("by-arrival"),
            writes[i] if writes else None,
        )
        for i, c in enumerate(o.items("classes"))
    )
    plans = tuple(
        Plan(
            p.text("name") or "",
            p.amount("nominal"),
            p.amount("guaranteed"),
            p.amount("parts"),
            p.amount("price"),
            p.amount("cap"),
            p.amount("burst"),
            p.amount("slack"),
        )
        for p in o.items("contracts")
    )
    rules = Rules(
        o.span("rules.answer-slack"),
        o.span("rules.drain-grace"),
        o.amount("rules.cold-share"),
        o.span("rules.cold"),
        o.amount("rules.tip-multiple"),
        o.span("rules.tip-after"),
        o.seconds("rules.ask-every"),
        o.seconds("rules.order-pause"),
        o.number("rules.budget-free"),
        o.number("rules.extra-share"),
        o.seconds("rules.resend-span"),
    )
    attempts = o.number("limits.attempts-cap")
    return Settings(
        initiator_index=int(o.amount("position")),
        initiator_count=int(o.amount("balancers")) or 1,
        zone=int(o.amount("zone")),
        tick=o.span("tick"),
        classes=classes,
        plans=plans,
        rules=rules,
        mean_units=o.amount("family-info.usual-units"),
        max_units=o.amount("family-info.largest"),
        slow_start_units=o.amount("family-info.young-limit"),
        within_share_weight=o.amount("family-info.share-worth"),
        beyond_share_weight=o.amount("family-info.spare-worth"),
        meter_period=o.span("family-info.metering"),
        other_usage_reported=o.flag("family-info.tells-elsewhere"),
        list_pushed=o.text("membership-mode") != "ask",
        report_fields=tuple(o.words("feedback.fields")),
        reports_in_answers=o.text("feedback.how") == "piggyback",
        may_probe=o.flag("limits.probes"),
        may_message=o.flag("limits.peers"),
        may_cancel=o.flag("limits.cancel"),
        may_hedge=o.flag("limits.parallel-tries"),
        may_send_retry_after=o.flag("limits.retry-after"),
        max_retry_after=o.span("limits.max-retry-after"),
        max_attempts=1 if attempts is None else int(attempts),
        retries_marked=o.flag("clients.marks-retry"),
    )
