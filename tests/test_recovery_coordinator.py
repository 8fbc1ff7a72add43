"""Mass restarts: their detection, the schedule of list calls, the admission ramp, and the state of peers."""

from __future__ import annotations

import itertools
import random
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stalltiller.protocol import discovery
from stalltiller.recovery import (
    FleetView,
    LoadBaseline,
    MassRestartDetector,
    PeerState,
    PeerStateFilter,
    PeerStateRequest,
    PollSchedule,
    RecoveryRamp,
    RetryReservations,
    ShardLoadMeter,
    TargetChange,
    TargetLatencyEstimate,
    TargetListHistory,
)
from stalltiller.recovery.mass_restart import PEER_CONTACT_TIMEOUT_SECONDS
from stalltiller.recovery.peer_state_codec import MalformedPeerStateError, decode_message, encode_message
from stalltiller.recovery.poll_schedule import PEAK_CALL_RATE_FACTOR
from stalltiller.recovery.recovery_ramp import (
    DEFAULT_RATE_RAMP_SECONDS,
    MAX_RAMP_SECONDS,
    NO_REJECTION_SECONDS,
    RAMP_SECONDS,
)
from stalltiller.recovery.retry_reservations import LATE_TOLERANCE_SECONDS, MAX_RESERVATIONS
from stalltiller.scheduling import TargetStatus

READY = TargetStatus.READY
DRAINING = TargetStatus.DRAINING
REMOVED = TargetStatus.REMOVED
DISCOVERY = "127.0.0.1:8500"


# --- Mass restart and poll schedule ---------------------------------------------------------------
@pytest.mark.parametrize(
    ("last_known_size", "was_killed", "view", "age", "is_mass_restart"),
    [
        (40, True, FleetView(), 0.0, True),
        (40, True, FleetView(), 60.0, True),  # no peer is known, but up to 39 may be running
        (40, False, FleetView(), 0.0, False),
        (1, True, FleetView(), 0.0, False),  # a fleet of one
        (40, True, FleetView(40, 3, 1), PEER_CONTACT_TIMEOUT_SECONDS, False),
        (40, True, FleetView(40, 3, 7), PEER_CONTACT_TIMEOUT_SECONDS, False),  # less than a fifth restarted
        (40, True, FleetView(40, 3, 8), PEER_CONTACT_TIMEOUT_SECONDS, True),
        (40, False, FleetView(40, 3, 28), 0.0, True),
        (40, True, FleetView(12, 3, 1), 0.5 * PEER_CONTACT_TIMEOUT_SECONDS, True),  # too early to decide
        (5, True, FleetView(5, 0, 1), PEER_CONTACT_TIMEOUT_SECONDS, False),
        (5, True, FleetView(5, 0, 2), PEER_CONTACT_TIMEOUT_SECONDS, True),
    ],
)
def test_mass_restart_is_detected_by_start_times_of_peers(
    last_known_size, was_killed, view, age, is_mass_restart
):
    detector = MassRestartDetector(last_known_size, was_killed)
    assert detector.is_mass_restart(view, age) is is_mass_restart
    assert detector.fleet_size(view) == (view.member_count if view.member_count > 1 else last_known_size)


def test_fleet_view_counts_members_that_started_at_about_the_same_time():
    start_times = {"n3": 100.0, "n1": 91.0, "n2": 80.0, "n4": 109.9}
    assert FleetView.from_start_times("n3", start_times) == FleetView(4, 2, 3)


@given(st.integers(2, 80), st.floats(1.0, 30.0), st.floats(1.7e9, 1.8e9), st.integers(1, 6))
def test_scheduled_calls_of_a_fleet_stay_within_the_peak_rate(size, poll_wait, unix_time, failures):
    schedule = PollSchedule(poll_wait, random.Random(1))
    cycle = schedule.cycle_seconds
    delays = sorted(schedule.initial_delay(unix_time, FleetView(size, rank)) for rank in range(size))
    assert delays[0] >= 0.0
    assert delays[-1] <= cycle == pytest.approx(poll_wait / PEAK_CALL_RATE_FACTOR)
    gaps = [later - sooner for sooner, later in itertools.pairwise(delays)]
    assert min(gaps) > 0.9 * cycle / size  # no two calls coincide: at most about size / cycle per second
    for rank in range(size):
        delay = schedule.retry_delay(unix_time, FleetView(size, rank), failures)
        assert 0.25 * cycle <= delay <= (2.25 if failures > 3 else 1.25) * cycle


def test_members_that_know_no_peer_are_spread_over_the_cycle():
    delays = [PollSchedule(5.0, random.Random(seed)).initial_delay(1e9, FleetView()) for seed in range(400)]
    # About 40 of the 400 delays are expected in each tenth of the cycle.
    assert max(sum(start <= delay < start + 0.333 for delay in delays) for start in (0.0, 1.0, 2.0, 3.0)) < 70


# --- Admission ramp -------------------------------------------------------------------------------
request_sequences = st.lists(
    st.tuples(
        st.floats(0.0, 0.3),
        st.integers(0, 1),
        st.floats(0.5, 6.0),
        st.floats(0.0, 1.0),
        st.integers(0, 5),
        st.booleans(),
    ),
    min_size=1,
    max_size=80,
)


@given(request_sequences, st.floats(0.1, 50.0), st.integers(0, 1000))
def test_ramp_stays_within_its_rate_and_admits_every_retry_in_time(request_sequence, known_rate, seed):
    """The units admitted to a shard are at most one mean request, the units accrued at its rate, and one
    request that overdraws the bucket.  Clients with a reservation retry at their Retry-After, or never."""
    ramp = RecoveryRamp(0.0, {0: known_rate}, 0.2, 2.0, 0.5, random.Random(seed))
    now, admitted, accrued, pending_retries = 0.0, {0: 0.0, 1: 0.0}, {0: 0.0, 1: 0.0}, []
    for interval, shard, units, priority, client_number, retries in request_sequence:
        client = shard, client_number
        for each_shard in accrued:
            accrued[each_shard] += (
                interval * (ramp.rate(now, each_shard) + ramp.rate(now + interval, each_shard)) / 2
            )
        now += interval
        due_retries = sorted(retry for retry in pending_retries if retry[0] <= now)
        for retry_at, retrying_client, retry_shard, retry_units in due_retries:
            claimed = ramp.counts["returned"]
            assert ramp.admit(retry_at, retry_shard, retry_units, 0.0, retrying_client) == 0.0
            assert ramp.counts["returned"] == claimed + 1
            admitted[retry_shard] += retry_units
        pending_retries = [retry for retry in pending_retries if retry[0] > now]
        reserved, claimed = ramp.counts["booked"], ramp.counts["returned"]
        retry_after = ramp.admit(now, shard, units, priority, client)
        assert 0.0 <= retry_after <= 0.5
        if ramp.counts["returned"] > claimed:  # a retry that is early within the tolerance
            pending_retries = [retry for retry in pending_retries if retry[1] != client]
        if retry_after == 0.0:
            admitted[shard] += units
        elif ramp.counts["booked"] > reserved and retries:
            pending_retries.append((now + retry_after, client, shard, units))
        assert all(admitted[each_shard] <= 2.0 + 1.02 * accrued[each_shard] + 6.0 for each_shard in admitted)


@pytest.mark.parametrize(
    ("shard_rates", "now", "expected_rate"),
    [({3: 8.0}, 0.0, 8.0), ({3: 8.0}, 1.5, 8.0 * 2**1.5), ({}, 0.0, 0.25), ({}, 1.0, 1.0)],
)
def test_rate_doubles_every_second_from_a_known_rate_and_faster_from_the_default(
    shard_rates, now, expected_rate
):
    ramp = RecoveryRamp(0.0, shard_rates, 0.25, 2.0, 0.5, random.Random(1))
    assert ramp.rate(now, 3) == pytest.approx(expected_rate)


@pytest.mark.parametrize(
    ("shard_rates", "rejected_at", "complete_at"),
    [
        ({3: 8.0}, 0.0, RAMP_SECONDS),
        ({}, 0.0, DEFAULT_RATE_RAMP_SECONDS),
        ({3: 8.0}, 1.9, 1.9 + NO_REJECTION_SECONDS),
        ({3: 8.0}, MAX_RAMP_SECONDS - 0.1, MAX_RAMP_SECONDS),
    ],
)
def test_ramp_is_complete_after_its_minimum_duration_and_a_period_without_rejections(
    shard_rates, rejected_at, complete_at
):
    ramp = RecoveryRamp(0.0, shard_rates, 0.25, 2.0, 0.5, random.Random(1))
    ramp.reject(rejected_at)
    assert [ramp.is_complete(now) for now in (complete_at - 0.01, complete_at + 0.01)] == [False, True]
    ramp.restart(complete_at)
    assert not ramp.is_complete(complete_at + 0.01)
    assert ramp.rate(complete_at, 3) == shard_rates.get(3, 0.25)


def test_peer_rates_are_used_only_for_shards_without_a_known_rate():
    ramp = RecoveryRamp(0.0, {3: 8.0}, 0.25, 2.0, 0.5, random.Random(1))
    ramp.add_peer_rates({3: 80.0, 4: 6.0})
    assert [ramp.rate(1.0, shard) for shard in (3, 4)] == [16.0, 12.0]


def test_requests_of_low_priority_leave_tokens_to_those_of_high_priority():
    """Two to eight units per second accrue and fifty are requested, half of them at low priority."""
    ramp = RecoveryRamp(0.0, {0: 2.0}, 0.2, 1.0, 0.0, random.Random(3))
    admitted = {0.2: 0, 1.0: 0}
    for client_number in range(100):
        priority = (0.2, 1.0)[client_number % 2]
        admitted[priority] += ramp.admit(client_number / 50, 0, 1.0, priority, client_number) == 0.0
    assert admitted[1.0] > 2 * admitted[0.2]


def test_reservations_are_claimed_once_and_unclaimed_ones_expire():
    reservations = RetryReservations()
    assert reservations.reserve("a", 1.0, 3, 2.0)
    assert not reservations.reserve("a", 2.0, 3, 2.0)
    assert reservations.reserve("b", 1.1, 4, 5.0)
    assert [reservations.claim(now, "a", 3) is not None for now in (0.5, 1.0, 1.0)] == [False, True, False]
    assert reservations.claim(1.1, "b", 3) is None  # the reservation is for another shard
    assert list(reservations.pop_expired(1.1 + LATE_TOLERANCE_SECONDS)) == []
    expired = reservations.pop_expired(1.2 + LATE_TOLERANCE_SECONDS)
    assert [(reservation.shard, reservation.units) for reservation in expired] == [(4, 5.0)]
    reserved = sum(reservations.reserve(client, 5.0, 0, 1.0) for client in range(MAX_RESERVATIONS + 9))
    assert reserved == MAX_RESERVATIONS


@given(st.floats(0.5, 40.0), st.integers(50, 2000))
def test_load_meter_is_exact_for_a_steady_stream_of_any_length(requests_per_second, count):
    meter = ShardLoadMeter(0.0)
    for request_number in range(count):
        meter.add((request_number + 0.5) / requests_per_second, 7, 1.0)
    rates = dict(meter.rates(count / requests_per_second))
    assert rates[7] == pytest.approx(requests_per_second, rel=0.05)


# --- Peer state -----------------------------------------------------------------------------------
def target(
    name: str, status: TargetStatus = READY, started_at: float | None = None
) -> discovery.TargetRecord:
    return discovery.TargetRecord(name, "127.0.0.1", 3000, "a", "m", 3, status, 1.0, started_at)


target_names = st.sampled_from(["s-1", "s-2", "s-3"])
list_updates = st.lists(
    st.tuples(
        st.booleans(),
        st.lists(
            st.tuples(
                target_names, st.sampled_from([READY, DRAINING, REMOVED]), st.sampled_from([None, 5.0, 9.0])
            ),
            max_size=3,
            unique_by=lambda target_fields: target_fields[0],
        ),
    ),
    min_size=1,
    max_size=8,
)


@given(list_updates, st.integers(1, 8))
def test_changes_since_a_version_turn_its_list_into_the_latest(updates, requested_version):
    history, targets_by_version = TargetListHistory(), {}
    for version, (is_full, rows) in enumerate(updates, 1):
        targets = tuple(target(*fields) for fields in rows if not (is_full and fields[1] is REMOVED))
        history.apply(discovery.TargetList(version, is_full or version == 1, targets))
        targets_by_version[version] = {record.name: record for record in history.target_list.targets}
    changes = history.changes_since(requested_version)
    if requested_version > len(updates):
        assert changes is None
        return
    result = dict(targets_by_version[requested_version])
    for record in changes:
        result.pop(record.name, None)
        if record.status is not REMOVED:
            result[record.name] = record
    assert result == targets_by_version[len(updates)]


@pytest.mark.parametrize(
    ("version", "change", "withheld", "restarted"),
    [
        (9, TargetChange("s-1", DRAINING, None), {"s-1"}, {}),
        (9, TargetChange("s-1", REMOVED, None), {"s-1"}, {}),
        (9, TargetChange("s-1", READY, 500.0), set(), {"s-1": 500.0}),
        (9, TargetChange("s-1", READY, 90.0), set(), {}),
        (9, TargetChange("s-1", READY, None), set(), {}),
        (5, TargetChange("s-1", REMOVED, None), set(), {}),  # not newer than the local version
        (4, TargetChange("s-1", REMOVED, None), set(), {}),
        (9, TargetChange("s-7", READY, 500.0), set(), {}),  # not on the local list
        (9, TargetChange("s-7", REMOVED, None), set(), {}),
    ],
)
def test_peer_state_withholds_listed_targets_and_never_adds_any(version, change, withheld, restarted):
    peer_filter = PeerStateFilter(DISCOVERY)
    start_times = {"s-1": 100.0, "s-2": None}
    has_changed = peer_filter.apply(PeerState(DISCOVERY, version, changes=(change,)), 5, start_times)
    assert has_changed == bool(withheld or restarted)
    assert (peer_filter.withheld_targets, peer_filter.restarted_targets) == (withheld, restarted)
    other_discovery = PeerState("other", 9, changes=(TargetChange("s-2", REMOVED, None),))
    assert not peer_filter.apply(other_discovery, 5, {"s-2": None})
    # A peer's report that the target is ready, without a newer start time, does not end the withholding.
    ready_again = PeerState(DISCOVERY, 12, changes=(TargetChange("s-1", READY, None),))
    assert not peer_filter.apply(ready_again, 5, {"s-1": 100.0})
    assert peer_filter.withheld_targets == withheld
    assert not peer_filter.discard_up_to(8)
    assert peer_filter.discard_up_to(9) is bool(withheld or restarted)
    assert (peer_filter.withheld_targets, peer_filter.restarted_targets) == (frozenset(), {})


RESPONSE = PeerState(
    DISCOVERY,
    41,
    39,
    True,
    (TargetChange("s-1", REMOVED, 12.5), TargetChange("s-2", READY, None)),
    (TargetLatencyEstimate("s-2", None, 0.03, 4.0, 0.0),),
    LoadBaseline(0.97, ((None, 0.5), (3, 2.0))),
)


@pytest.mark.parametrize("message", [PeerStateRequest(DISCOVERY, 7), RESPONSE, PeerState(DISCOVERY, 3)])
def test_peer_messages_round_trip(message):
    assert [decode_message(body) for body in encode_message(message)] == [message]


def test_long_response_is_split_and_complete_only_if_the_first_datagram_holds_all_changes():
    estimates = tuple(replace(RESPONSE.latency_estimates[0], target_name=f"s-{n}") for n in range(200))
    bodies = encode_message(replace(RESPONSE, latency_estimates=estimates))
    responses = [decode_message(body) for body in bodies]
    assert 1 < len(responses) <= 8
    assert [response.is_complete for response in responses] == [True] + [False] * (len(responses) - 1)
    assert max(map(len, bodies)) < 1200
    changes = tuple(TargetChange(f"s-{n}", REMOVED, 1.0) for n in range(200))
    bodies = encode_message(replace(RESPONSE, changes=changes))
    assert not any(decode_message(body).is_complete for body in bodies)


@given(st.binary(max_size=200))
def test_decoding_arbitrary_bytes_raises_only_malformed_peer_state_error(data):
    try:
        message = decode_message(data)
    except MalformedPeerStateError:
        return
    assert isinstance(message, PeerStateRequest | PeerState)


def test_generated_protobuf_code_is_current(tmp_path):
    from grpc_tools import protoc

    generated = "stalltiller/recovery/recovery_pb2.py"
    protoc.main(["", "-I.", f"--python_out={tmp_path}", "stalltiller/recovery/recovery.proto"])
    assert (tmp_path / generated).read_text() == Path(generated).read_text()
