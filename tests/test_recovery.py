"""Recovery snapshots: their encoding, which of their parts a restart may use, and the recovery phases."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stalltiller.protocol import discovery
from stalltiller.recovery import (
    LoadBaseline,
    PeerAddress,
    RecoveryPhaseTracker,
    RecoverySnapshot,
    SnapshotRejectedError,
    SnapshotStore,
    TargetLatencyEstimate,
    TargetListHistory,
    VolumeTokenLevel,
    capture_state,
    decode_snapshot,
    discard_expired,
    encode_snapshot,
    initial_token_level,
    restore_state,
)
from stalltiller.scheduling import TargetStatus
from tests.helpers import SchedulerHarness, attempt_finished, make_target, plan, request

NOW = 1000.0
ADDRESS = "127.0.0.1:8500"
TARGET = discovery.TargetRecord("s-1", "127.0.0.1", 3000, "a", "m", 3, TargetStatus.DRAINING, 0.5, 900.25)
SNAPSHOT = RecoverySnapshot(
    "n1",
    ADDRESS,
    NOW,
    True,
    discovery.TargetList(41, True, (TARGET,)),
    NOW - 5,
    (TargetLatencyEstimate("s-1", 900.25, 0.03, 4.0, NOW - 1),),
    (VolumeTokenLevel(7, "basic", 2, 9.5, NOW),),
    LoadBaseline(0.97, ((None, 0.5), (3, 4.25)), (PeerAddress("n2", "127.0.0.1", 7946),)),
)
ENCODED = encode_snapshot(SNAPSHOT)


def test_snapshot_round_trips_through_codec_and_store(tmp_path):
    assert decode_snapshot(encode_snapshot(SNAPSHOT), "n1", ADDRESS, NOW) == SNAPSHOT
    store = SnapshotStore(str(tmp_path / "store"))
    assert store.load("n1", ADDRESS, NOW) is None
    for snapshot in (replace(SNAPSHOT, is_clean_shutdown=False), SNAPSHOT):
        store.save(snapshot)
    store.close()
    assert SnapshotStore(str(tmp_path / "store")).load("n1", ADDRESS, NOW) == SNAPSHOT


@pytest.mark.parametrize(
    ("data", "name", "address", "now", "reason"),
    [
        (ENCODED[:-1], "n1", ADDRESS, NOW, "torn"),
        (b"", "n1", ADDRESS, NOW, "torn"),
        (ENCODED.replace(b"basic", b"bAsic"), "n1", ADDRESS, NOW, "torn"),
        (ENCODED, "n2", ADDRESS, NOW, "foreign"),
        (ENCODED, "n1", "127.0.0.1:1", NOW, "foreign"),
        (ENCODED, "n1", ADDRESS, NOW - 60, "future"),
    ],
)
def test_truncated_corrupt_foreign_and_future_snapshots_are_rejected(data, name, address, now, reason):
    with pytest.raises(SnapshotRejectedError, match=reason):
        decode_snapshot(data, name, address, now)


def test_snapshot_of_another_format_version_is_rejected(monkeypatch):
    monkeypatch.setattr("stalltiller.recovery.snapshot_codec.SNAPSHOT_VERSION", 99)
    data = encode_snapshot(SNAPSHOT)
    monkeypatch.undo()
    with pytest.raises(SnapshotRejectedError, match="version"):
        decode_snapshot(data, "n1", ADDRESS, NOW)


@given(st.binary(max_size=300), st.integers(0, 400), st.integers(0, 255))
def test_arbitrary_bytes_and_snapshots_with_a_changed_byte_are_rejected(data, position, byte):
    encoded = bytearray(encode_snapshot(SNAPSHOT))
    is_changed = encoded[position % len(encoded)] != byte
    encoded[position % len(encoded)] = byte
    for corrupt in [data, *([bytes(encoded)] if is_changed else [])]:
        with pytest.raises(SnapshotRejectedError):
            decode_snapshot(corrupt, "n1", ADDRESS, NOW)


@pytest.mark.parametrize(
    ("age", "is_clean_shutdown", "expected_usable"),
    [
        (1.0, True, (True, True, True)),
        (1.0, False, (True, True, False)),
        (70.0, True, (True, False, True)),
        (700.0, False, (False, False, False)),
        (700.0, True, (False, False, True)),
    ],
)
def test_each_part_of_a_snapshot_expires_at_its_own_age(age, is_clean_shutdown, expected_usable):
    remaining = discard_expired(replace(SNAPSHOT, is_clean_shutdown=is_clean_shutdown), NOW + age)
    assert (
        remaining.target_list is not None,
        remaining.latency_estimates != (),
        remaining.token_levels != (),
    ) == expected_usable


LIMITED = plan(name="basic", limit=20.0, burst=40.0)
process_lifetimes = st.lists(
    st.tuples(st.floats(0.01, 5.0), st.floats(0.0, 5.0), st.booleans(), st.floats(0.0, 1.0)),
    min_size=1,
    max_size=8,
)


@given(process_lifetimes)
def test_restarted_processes_consume_no_more_than_one_bucket_that_is_never_restarted(lifetimes):
    """Each process runs, consumes a part of its bucket, shuts down cleanly or is killed, and stays down for a
    time.  The token level of a killed process must not be used."""
    now, reference_level, refilled_at, stored_level = 0.0, LIMITED.burst, 0.0, None
    for run_time, down_time, is_clean_shutdown, consumed_fraction in lifetimes:
        level = 0.0 if stored_level is None else initial_token_level(stored_level, LIMITED, now)
        now += run_time
        level = min(LIMITED.burst, level + LIMITED.limit * run_time)
        reference_level, refilled_at = (
            min(LIMITED.burst, reference_level + LIMITED.limit * (now - refilled_at)),
            now,
        )
        reference_level -= consumed_fraction * level
        assert reference_level >= -1e-6
        remaining = level * (1 - consumed_fraction)
        stored_level = VolumeTokenLevel(1, "basic", 1, remaining, now) if is_clean_shutdown else None
        now += down_time


def test_latency_estimates_and_token_levels_are_restored_in_the_next_process():
    previous, restarted = (
        SchedulerHarness((make_target(1, started_at=5.0), make_target(2)), plans=(LIMITED,)) for _ in range(2)
    )
    previous.handle(20.0, request(1, units=4.0))
    previous.handle(20.1, attempt_finished(1, latency=0.1))
    estimates, levels = capture_state(previous.scheduler, 20.1, NOW)
    assert [(estimate.target_name, estimate.target_started_at) for estimate in estimates] == [
        ("1", NOW + 5.0),
        ("2", None),
    ]
    assert levels[0].units > 0
    restarted.scheduler.targets = {str(name): target for name, target in restarted.scheduler.targets.items()}
    # The first target has restarted since the capture, so its estimate must not be restored.
    estimates = (replace(estimates[0], target_started_at=NOW), estimates[1])
    latency_before = restarted.scheduler.targets["1"].latency
    restored = restore_state(
        restarted.scheduler, replace(SNAPSHOT, latency_estimates=estimates, token_levels=levels), 22.1, NOW
    )
    assert restored._asdict() == {"latency_estimates": 1, "token_levels": 1}
    assert restarted.scheduler.targets["1"].latency == latency_before
    assert restarted.scheduler.volumes[1].limit.level == pytest.approx(min(levels[0].units, 40.0))


def test_target_list_history_holds_the_last_reported_list():
    history = TargetListHistory()
    assert history.target_list is None
    history.apply(discovery.TargetList(1, True, (TARGET, replace(TARGET, name="s-2"))))
    history.apply(discovery.TargetList(2, False, (replace(TARGET, status=TargetStatus.REMOVED),)))
    assert history.target_list == discovery.TargetList(2, True, (replace(TARGET, name="s-2"),))


@pytest.mark.parametrize(
    ("all_served_after", "previous_served_fraction", "full_after"),
    [(1.0, None, 2.0), (5.0, None, 6.0), (0.5, 0.5, 1.5)],
)
def test_service_is_full_once_the_previous_fraction_is_served_for_two_seconds(
    all_served_after, previous_served_fraction, full_after
):
    """Ten requests finish per second; half of them are served until `all_served_after`, then all."""
    phase_tracker, served = RecoveryPhaseTracker(0.0, previous_served_fraction), 0
    assert phase_tracker.mark_ready()
    assert not phase_tracker.mark_ready()
    for finished in range(1, 150):
        now = finished / 10
        served += now > all_served_after or finished % 2
        if phase_tracker.record_counts(now, finished, served):
            break
    assert phase_tracker.phase == "full"
    assert full_after - 1.2 <= phase_tracker.full_after <= full_after + 0.3
