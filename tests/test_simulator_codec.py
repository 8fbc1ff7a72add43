"""Tests the simulator's protocol: every event and action, framing, options and malformed input."""

from __future__ import annotations

import io
import struct
import subprocess
import sys

import pytest

from stalltiller.scheduling import (
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
    ProbeFinished,
    ProbeTarget,
    Reject,
    Request,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    Target,
    TargetListKind,
    TargetListUpdate,
    TargetStatus,
    TimerFired,
    WatchTargetList,
)
from stalltiller.simulator import actions, adapter, codec

CLOCK = 8_418_541_456
ADDRESS = bytes.fromhex("0b164208") + struct.pack("<H", 7001)
TARGET = codec.to_target_id(int.from_bytes(ADDRESS[:4], "little"), 7001)


def decode_one(body: bytes) -> tuple[int, object]:
    (decoded,) = codec.BatchReader().decode_events(1, body)
    return decoded


def batch(count: int, body: bytes, clock: int = CLOCK) -> bytes:
    return struct.pack("<IIQ", count, 8 + len(body), clock) + body


def test_a_request_is_decoded():
    body = struct.pack("<BIQffHQHQIfQ", 8, 3, 99, 2.0, 3.0, 6, 77, 1, 55, 2, 4.0, 250_000_000)
    assert decode_one(body) == (3, Request(99, 1, 2, 55, 2.0, 3, 77, 4, True, True, 0.25))


def test_a_request_for_a_new_object_has_no_shard():
    body = struct.pack("<BIQffHQHQIfQ", 8, 3, 99, 2.0, 3.0, 0, 0, 1, 55, 2, -1.0, 250_000_000)
    assert decode_one(body)[1].shard is None


def test_a_finished_attempt_with_a_load_report_is_decoded():
    body = (
        struct.pack("<BIQB", 10, 3, 99, 1)
        + ADDRESS
        + struct.pack("<HQBHHB2f", 3, 30_000_000, 1, 86, 3, 2, 14.5, 2.0)
    )
    assert decode_one(body) == (
        3,
        AttemptFinished(99, 1, TARGET, AttemptStatus.TIMEOUT, 0.03, True, 0.85, 3.0, (14.5, 2.0)),
    )


def test_a_finished_attempt_without_measurements_is_decoded():
    body = struct.pack("<BIQB", 10, 3, 99, 0) + ADDRESS + struct.pack("<HQBHHB", 0, 1, 0, 0, 0, 0)
    event = decode_one(body)[1]
    assert (event.volume_usage, event.other_units, event.report, event.request_done) == (None, 0.0, (), False)


@pytest.mark.parametrize(
    ("body", "event"),
    [
        (struct.pack("<BIQ", 4, 3, 99), ClientDisconnected(99)),
        (struct.pack("<BIQ", 9, 3, 77), TimerFired(77)),
        (struct.pack("<BI", 6, 3), codec.InstanceStopped()),
        (struct.pack("<BIIH2s", 3, 3, 5, 2, b"hi"), PeerMessage(5, b"hi")),
        (struct.pack("<BIQI3s", 1, 3, 12, 3, b"a=b"), codec.InstanceStarted(12, "a=b")),
        (
            struct.pack("<BIQB", 0, 3, 99, 1) + ADDRESS + struct.pack("<Q", 10**9),
            FirstByte(99, 1, TARGET, 1.0),
        ),
        (
            struct.pack("<BI", 7, 3) + ADDRESS + struct.pack("<QHB1f", 10**9, 2, 1, 0.5),
            ProbeFinished(TARGET, 1.0, AttemptStatus.REJECTED, (0.5,)),
        ),
    ],
)
def test_events_of_other_kinds_are_decoded(body, event):
    assert decode_one(body) == (3, event)


def target_rows(number: int, *statuses: int) -> bytes:
    rows = b"".join(
        ADDRESS + struct.pack("<BHHBfQ", 1, 2, 5, status, 1.5, CLOCK - 10**9) for status in statuses
    )
    return struct.pack("<BHI", 2, number, len(statuses)) + rows


def test_target_lists_are_resolved_in_order_even_if_a_number_is_reused():
    list_event = struct.pack("<BIBIH", 5, 3, 1, 40, 6)
    decoded = codec.BatchReader().decode_events(
        4, target_rows(6, 2) + list_event + target_rows(6, 1) + list_event
    )
    updates = [codec.to_target_list_update(raw_list, CLOCK) for _, raw_list in decoded]
    assert [update.targets[0].status for update in updates] == [
        TargetStatus.READY,
        TargetStatus.DRAINING,
    ]
    assert updates[0] == TargetListUpdate(
        TargetListKind.FULL,
        (Target(TARGET, 1, 2, 5, TargetStatus.READY, 1.5, -1.0),),
    )


def test_a_failed_target_list_needs_no_rows():
    assert decode_one(struct.pack("<BIBIH", 5, 3, 3, 40, 9)) == (3, (TargetListKind.FAILED, ()))


@pytest.mark.parametrize(
    ("action", "body"),
    [
        (StartAttempt(99, TARGET, 2.0), struct.pack("<BIQQ", 0, 3, 99, CLOCK + 2 * 10**9) + ADDRESS),
        (StartAttempt(99, TARGET, None), struct.pack("<BIQQ", 0, 3, 99, 0) + ADDRESS),
        (Reject(99, 0.5), struct.pack("<BIQQ", 1, 3, 99, 500_000_000)),
        (Fail(99), struct.pack("<BIQ", 2, 3, 99)),
        (CancelAttempt(99, 2), struct.pack("<BIQB", 3, 3, 99, 2)),
        (SetTimer(77, 0.5), struct.pack("<BIQQ", 4, 3, 77, 500_000_000)),
        (ProbeTarget(TARGET), struct.pack("<BI", 5, 3) + ADDRESS),
        (CloseIdleConnections(TARGET), struct.pack("<BI", 6, 3) + ADDRESS),
        (SendPeerMessage(None, b"hi"), struct.pack("<BIHH2s", 7, 3, 0xFFFF, 2, b"hi")),
        (SendPeerMessage(1, b"hi"), struct.pack("<BIHH2s", 7, 3, 1, 2, b"hi")),
        (LogMessage("hi"), struct.pack("<BIH2s", 8, 3, 2, b"hi")),
        (WatchTargetList(True), struct.pack("<BIB", 10, 3, 1)),
        (FetchTargetList(), struct.pack("<BI", 11, 3)),
    ],
)
def test_actions_are_encoded(action, body):
    assert actions.encode_action(3, action, CLOCK) == body


def test_a_crash_report_is_encoded_and_joined_into_a_reply():
    report = actions.encode_crash_report(3, "no")
    assert report == struct.pack("<BIH2s", 9, 3, 2, b"no")
    assert actions.encode_reply([report]) == struct.pack("<II", 4 + len(report), 1) + report


def test_an_empty_batch_gets_an_empty_reply():
    sink = io.BytesIO()
    adapter.run(io.BytesIO(batch(0, b"")), sink)
    assert sink.getvalue() == bytes.fromhex("0400000000000000")


def test_a_very_large_batch_is_decoded():
    body = struct.pack("<BIQ", 9, 3, 77) * 300_000
    assert len(codec.BatchReader().decode_events(300_000, body)) == 300_000


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (batch(0, b"")[:10], "inside a batch header"),
        (batch(1, struct.pack("<BIQ", 9, 3, 77))[:-1], "inside a batch"),
        (batch(1, bytes([200])), "unknown event code 200"),
        (batch(1, b"\x09\x00"), "inside a record"),
        (batch(1, struct.pack("<BIQ", 9, 3, 77) + b"x"), "left over"),
        (batch(1, struct.pack("<BIBIH", 5, 3, 0, 1, 4)), "never sent"),
    ],
)
def test_malformed_input_ends_the_program_with_a_message_and_no_traceback(data, message):
    completed = subprocess.run(
        [sys.executable, "-m", "stalltiller.simulator.adapter"], input=data, capture_output=True, timeout=30
    )
    assert completed.returncode == 2
    assert message in completed.stderr.decode()
    assert "Traceback" not in completed.stderr.decode()


OPTIONS = """balancers=4
classes.count=1
classes.0.aim-ns=250000000
classes.0.effect=by_key
classes.0.give-up-ns=2000000000
classes.0.key-scope=cell
classes.0.key-ttl-ns=4000000000
classes.0.by-arrival=true
contracts.count=1
contracts.0.burst=41.0
contracts.0.cap=31.0
contracts.0.guaranteed=2.5
contracts.0.nominal=5.1
contracts.0.parts=3.0
family-info.changes-data=true
membership-mode=ask
rules.budget-free=3
rules.extra-share=0.1
rules.resend-span-ns=9000000000
rules.something-new=7
limits.attempts-cap=4
"""


def test_options_are_parsed_into_settings():
    parsed = codec.parse_settings(OPTIONS)
    (request_class,), (plan,) = parsed.classes, parsed.plans
    assert (
        request_class.latency_objective,
        request_class.deadline,
        request_class.idempotency,
        request_class.deduplication_scope,
    ) == (
        0.25,
        2.0,
        Idempotency.IDEMPOTENCY_KEY,
        DeduplicationScope.SHARD,
    )
    assert request_class.in_order and request_class.is_write and request_class.deduplication_window == 4.0
    assert (plan.limit, plan.burst, plan.reservation, plan.weight) == (31.0, 41.0, 2.5, 3.0)
    assert not parsed.list_pushed and parsed.initiator_count == 4 and parsed.max_attempts == 4
    assert (
        parsed.rules.retry_budget_base,
        parsed.rules.retry_budget_fraction,
        parsed.rules.retry_budget_window,
    ) == (3.0, 0.1, 9.0)
    assert parsed.rules.ordering_pause is None


def test_absent_options_get_default_values():
    parsed = codec.parse_settings("")
    assert (
        parsed.classes == ()
        and parsed.plans == ()
        and parsed.list_pushed
        and parsed.rules.list_poll_interval is None
    )


def test_the_error_for_a_malformed_number_names_the_option():
    with pytest.raises(codec.WireError, match="balancers"):
        codec.parse_settings("balancers=many")


def instance_started(number: int) -> bytes:
    text = OPTIONS.encode()
    return struct.pack("<BIQI", 1, number, 5, len(text)) + text


def test_an_exception_in_the_scheduler_is_reported(monkeypatch):
    def crash(*_args):
        raise RuntimeError("broken on purpose")

    monkeypatch.setattr("stalltiller.scheduling.scheduler.Scheduler.handle", crash)
    sink = io.BytesIO()
    adapter.run(io.BytesIO(batch(2, instance_started(3) + struct.pack("<BIQ", 9, 3, 1))), sink)
    assert actions.encode_crash_report(3, "RuntimeError: broken on purpose") in sink.getvalue()


def test_a_restart_within_a_batch_creates_a_new_instance_and_stopped_instances_send_nothing():
    instances: dict[int, adapter.Instance] = {}
    adapter.process_batch(instances, [(3, codec.InstanceStarted(5, OPTIONS))], CLOCK)
    first_instance = instances[3]
    adapter.process_batch(
        instances, [(3, codec.InstanceStopped()), (3, codec.InstanceStarted(6, OPTIONS))], CLOCK + 1
    )
    assert instances[3] is not first_instance
    adapter.process_batch(instances, [(3, codec.InstanceStopped())], CLOCK + 2)
    assert adapter.process_batch(instances, [(3, TimerFired(1))], CLOCK + 3) == []
