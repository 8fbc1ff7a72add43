"""The recovery snapshot: its encoding, what of it may be used after a restart, and the recovery phases."""

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
from tests.helpers import SchedulerHarness, entry, outcome, plan, request

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
def test_torn_foreign_and_future_snapshots_are_rejected(data, name, address, now, reason):
    with pytest.raises(SnapshotRejectedError, match=reason):
        decode_snapshot(data, name, address, now)


def test_snapshot_of_another_version_is_rejected(monkeypatch):
    monkeypatch.setattr("stalltiller.recovery.snapshot_codec.SNAPSHOT_VERSION", 99)
    data = encode_snapshot(SNAPSHOT)
    monkeypatch.undo()
    with pytest.raises(SnapshotRejectedError, match="version"):
        decode_snapshot(data, "n1", ADDRESS, NOW)


@given(st.binary(max_size=300), st.integers(0, 400), st.integers(0, 255))
def test_arbitrary_bytes_and_any_changed_byte_are_rejected(data, position, byte):
    encoded = bytearray(encode_snapshot(SNAPSHOT))
    is_changed = encoded[position % len(encoded)] != byte
    encoded[position % len(encoded)] = byte
    for corrupt in [data, *([bytes(encoded)] if is_changed else [])]:
        with pytest.raises(SnapshotRejectedError):
            decode_snapshot(corrupt, "n1", ADDRESS, NOW)


@pytest.mark.parametrize(
    ("age", "is_clean_shutdown", "kinds"),
    [
        (1.0, True, (True, True, True)),
        (1.0, False, (True, True, False)),
        (70.0, True, (True, False, True)),
        (700.0, False, (False, False, False)),
        (700.0, True, (False, False, True)),
    ],
)
def test_each_part_of_a_snapshot_expires_at_its_own_age(age, is_clean_shutdown, kinds):
    usable = discard_expired(replace(SNAPSHOT, is_clean_shutdown=is_clean_shutdown), NOW + age)
    assert (
        usable.target_list is not None,
        usable.latency_estimates != (),
        usable.token_levels != (),
    ) == kinds


LIMITED = plan(name="basic", limit=20.0, burst=40.0)
processes = st.lists(
    st.tuples(st.floats(0.01, 5.0), st.floats(0.0, 5.0), st.booleans(), st.floats(0.0, 1.0)),
    min_size=1,
    max_size=8,
)


@given(processes)
def test_restarted_processes_consume_no_more_than_one_bucket_that_never_restarted(script):
    """Each process runs for a time, consumes a part of its bucket at its end, stops cleanly or is killed, and
    is down for a time.  The level of a killed process must not be used."""
    now, true_level, true_at, stored = 0.0, LIMITED.burst, 0.0, None
    for run_time, down_time, is_clean_shutdown, consumed_fraction in script:
        level = 0.0 if stored is None else initial_token_level(stored, LIMITED, now)
        now += run_time
        level = min(LIMITED.burst, level + LIMITED.limit * run_time)
        true_level, true_at = min(LIMITED.burst, true_level + LIMITED.limit * (now - true_at)), now
        true_level -= consumed_fraction * level
        assert true_level >= -1e-6
        remaining = level * (1 - consumed_fraction)
        stored = VolumeTokenLevel(1, "basic", 1, remaining, now) if is_clean_shutdown else None
        now += down_time


def test_latency_estimates_and_token_levels_are_restored_in_the_next_process():
    old, new = (SchedulerHarness((entry(1, started_at=5.0), entry(2)), plans=(LIMITED,)) for _ in range(2))
    old.feed(20.0, request(1, units=4.0))
    old.feed(20.1, outcome(1, latency=0.1))
    estimates, levels = capture_state(old.scheduler, 20.1, NOW)
    assert [(estimate.target_name, estimate.target_started_at) for estimate in estimates] == [
        ("1", NOW + 5.0),
        ("2", None),
    ]
    assert levels[0].units > 0
    new.scheduler.targets = {str(name): target for name, target in new.scheduler.targets.items()}
    # The first target has restarted meanwhile.
    estimates = (replace(estimates[0], target_started_at=NOW), estimates[1])
    latency_before = new.scheduler.targets["1"].latency
    restored = restore_state(
        new.scheduler, replace(SNAPSHOT, latency_estimates=estimates, token_levels=levels), 22.1, NOW
    )
    assert restored._asdict() == {"latency_estimates": 1, "token_levels": 1}
    assert new.scheduler.targets["1"].latency == latency_before
    assert new.scheduler.volumes[1].limit.level == pytest.approx(min(levels[0].units, 40.0))


def test_target_list_history_holds_the_list_as_last_reported():
    history = TargetListHistory()
    assert history.target_list is None
    history.apply(discovery.TargetList(1, True, (TARGET, replace(TARGET, name="s-2"))))
    history.apply(discovery.TargetList(2, False, (replace(TARGET, status=TargetStatus.REMOVED),)))
    assert history.target_list == discovery.TargetList(2, True, (replace(TARGET, name="s-2"),))


@pytest.mark.parametrize(
    ("served_from", "previous_fraction", "full_after"), [(1.0, None, 2.0), (5.0, None, 6.0), (0.5, 0.5, 1.5)]
)
def test_service_is_full_once_the_previous_fraction_is_served_for_two_seconds(
    served_from, previous_fraction, full_after
):
    """Ten requests are answered per second; from a time on all are served, half of them before."""
    phases, served = RecoveryPhaseTracker(0.0, previous_fraction), 0
    assert phases.mark_ready()
    assert not phases.mark_ready()
    for tick in range(1, 150):
        now = tick / 10
        served += now > served_from or tick % 2
        if phases.record_counts(now, tick, served):
            break
    assert phases.phase == "full"
    assert full_after - 1.2 <= phases.full_after <= full_after + 0.3
