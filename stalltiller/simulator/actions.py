"""Encodes the scheduler's actions as the simulator's reply records; it makes no decisions.

All numbers are little-endian, times are nanoseconds on the simulator's clock.  `epoch_ns` is the simulator's
time at which an instance's own clock reads 0.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Callable
from typing import Any

from stalltiller.scheduling import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    Fail,
    FetchTargetList,
    LogMessage,
    ProbeTarget,
    Reject,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    WatchTargetList,
)
from stalltiller.simulator.options import NANOSECONDS_PER_SECOND

REPLY_HEADER = struct.Struct("<II")  # number of bytes after this field, number of records
RECORD_COUNT_BYTES = 4  # the length field includes the record count
MAX_TEXT_BYTES = 0xFFFF  # the length of a text is a 16-bit field
ALL_PEERS = 0xFFFF  # peer index that addresses all other initiators
PORT_MASK = 0xFFFF  # a target id holds the port in its low 16 bits, below the address

# Record codes.
START_ATTEMPT = 0
REJECT = 1
FAIL = 2
CANCEL_ATTEMPT = 3
SET_TIMER = 4
PROBE_TARGET = 5
CLOSE_IDLE_CONNECTIONS = 6
SEND_PEER_MESSAGE = 7
LOG_MESSAGE = 8
CRASH_REPORT = 9
WATCH_TARGET_LIST = 10
FETCH_TARGET_LIST = 11

# Record layouts: the code, the instance number, then the fields of the action.
START_ATTEMPT_RECORD = struct.Struct("<BIQQIH")
REQUEST_RECORD = struct.Struct("<BIQ")
REQUEST_ATTEMPT_RECORD = struct.Struct("<BIQB")
REQUEST_DELAY_RECORD = struct.Struct("<BIQQ")
TARGET_RECORD = struct.Struct("<BIIH")
PEER_MESSAGE_RECORD = struct.Struct("<BIHH")
TEXT_RECORD = struct.Struct("<BIH")
FLAG_RECORD = struct.Struct("<BIB")
EMPTY_RECORD = struct.Struct("<BI")


def encode_action(instance: int, action: Action, epoch_ns: int) -> bytes:
    """Encode one action of an instance; raises TypeError on an unknown action type."""
    encoder = ACTION_ENCODERS.get(type(action))
    if encoder is None:
        raise TypeError(f"unknown action type: {action!r}")
    return encoder(instance, action, epoch_ns)


def encode_crash_report(instance: int, text: str) -> bytes:
    """Encode a report of an exception that an instance raised."""
    return _encode_text(CRASH_REPORT, instance, text)


def encode_reply(records: list[bytes]) -> bytes:
    """Join encoded records into a reply."""
    body = b"".join(records)
    return REPLY_HEADER.pack(RECORD_COUNT_BYTES + len(body), len(records)) + body


def _encode_start_attempt(instance: int, action: StartAttempt, epoch_ns: int) -> bytes:
    expires_ns = 0  # 0: the attempt expires at the client's deadline
    if action.expires_at is not None:
        expires_ns = epoch_ns + max(1, round(action.expires_at * NANOSECONDS_PER_SECOND))
    assert isinstance(action.target_id, int)  # target ids are built by `to_target_id`
    address = action.target_id >> 16
    port = action.target_id & PORT_MASK
    return START_ATTEMPT_RECORD.pack(START_ATTEMPT, instance, action.request_id, expires_ns, address, port)


def _encode_reject(instance: int, action: Reject, _epoch_ns: int) -> bytes:
    delay_ns = round(action.retry_after * NANOSECONDS_PER_SECOND)
    return REQUEST_DELAY_RECORD.pack(REJECT, instance, action.request_id, delay_ns)


def _encode_fail(instance: int, action: Fail, _epoch_ns: int) -> bytes:
    return REQUEST_RECORD.pack(FAIL, instance, action.request_id)


def _encode_cancel_attempt(instance: int, action: CancelAttempt, _epoch_ns: int) -> bytes:
    return REQUEST_ATTEMPT_RECORD.pack(CANCEL_ATTEMPT, instance, action.request_id, action.attempt_number)


def _encode_set_timer(instance: int, action: SetTimer, _epoch_ns: int) -> bytes:
    delay_ns = max(0, math.ceil(action.delay * NANOSECONDS_PER_SECOND))
    return REQUEST_DELAY_RECORD.pack(SET_TIMER, instance, action.token, delay_ns)


def _encode_probe_target(instance: int, action: ProbeTarget, _epoch_ns: int) -> bytes:
    assert isinstance(action.target_id, int)
    return _encode_target(PROBE_TARGET, instance, action.target_id)


def _encode_close_idle_connections(instance: int, action: CloseIdleConnections, _epoch_ns: int) -> bytes:
    assert isinstance(action.target_id, int)
    return _encode_target(CLOSE_IDLE_CONNECTIONS, instance, action.target_id)


def _encode_target(code: int, instance: int, target_id: int) -> bytes:
    return TARGET_RECORD.pack(code, instance, target_id >> 16, target_id & PORT_MASK)


def _encode_send_peer_message(instance: int, action: SendPeerMessage, _epoch_ns: int) -> bytes:
    peer = ALL_PEERS if action.initiator_index is None else action.initiator_index
    return PEER_MESSAGE_RECORD.pack(SEND_PEER_MESSAGE, instance, peer, len(action.data)) + action.data


def _encode_log_message(instance: int, action: LogMessage, _epoch_ns: int) -> bytes:
    return _encode_text(LOG_MESSAGE, instance, action.text)


def _encode_text(code: int, instance: int, text: str) -> bytes:
    data = text.encode()[:MAX_TEXT_BYTES]
    return TEXT_RECORD.pack(code, instance, len(data)) + data


def _encode_watch_target_list(instance: int, action: WatchTargetList, _epoch_ns: int) -> bytes:
    return FLAG_RECORD.pack(WATCH_TARGET_LIST, instance, action.enabled)


def _encode_fetch_target_list(instance: int, _action: FetchTargetList, _epoch_ns: int) -> bytes:
    return EMPTY_RECORD.pack(FETCH_TARGET_LIST, instance)


ACTION_ENCODERS: dict[type, Callable[[int, Any, int], bytes]] = {
    StartAttempt: _encode_start_attempt,
    Reject: _encode_reject,
    Fail: _encode_fail,
    CancelAttempt: _encode_cancel_attempt,
    SetTimer: _encode_set_timer,
    ProbeTarget: _encode_probe_target,
    CloseIdleConnections: _encode_close_idle_connections,
    SendPeerMessage: _encode_send_peer_message,
    LogMessage: _encode_log_message,
    WatchTargetList: _encode_watch_target_list,
    FetchTargetList: _encode_fetch_target_list,
}
