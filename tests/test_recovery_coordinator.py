"""The return of many: whether they are a herd, their turns, the door's ramp, and the word of peers."""

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
from stalltiller.recovery.mass_restart import PEER_CONTACT_SECONDS
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

READY, DRAINING, GONE = TargetStatus.READY, TargetStatus.DRAINING, TargetStatus.REMOVED
HERE = "127.0.0.1:8500"


# --- Herd and turns -------------------------------------------------------------------------------
@pytest.mark.parametrize(
    ("last_size", "killed", "view", "age", "herd"),
    [
        (40, True, FleetView(), 0.0, True),
        (40, True, FleetView(), 60.0, True),  # hears nobody: it may be one of forty
        (40, False, FleetView(), 0.0, False),
        (1, True, FleetView(), 0.0, False),  # ended in order; always alone
        (40, True, FleetView(40, 3, 1), PEER_CONTACT_SECONDS, False),
        (40, True, FleetView(40, 3, 7), PEER_CONTACT_SECONDS, False),  # nobody else
        (40, True, FleetView(40, 3, 8), PEER_CONTACT_SECONDS, True),
        (40, False, FleetView(40, 3, 28), 0.0, True),
        (40, True, FleetView(12, 3, 1), 0.5 * PEER_CONTACT_SECONDS, True),  # too soon to say
        (5, True, FleetView(5, 0, 1), PEER_CONTACT_SECONDS, False),
        (5, True, FleetView(5, 0, 2), PEER_CONTACT_SECONDS, True),
    ],
)
def test_who_comes_back_with_many_takes_itself_for_one_of_a_herd(last_size, killed, view, age, herd):
    assert MassRestartDetector(last_size, killed).is_mass_restart(view, age) is herd
    assert MassRestartDetector(last_size, killed).fleet_size(view) == (
        view.member_count if view.member_count > 1 else last_size
    )


def test_a_view_counts_those_that_began_about_when_this_one_did():
    starts = {"n3": 100.0, "n1": 91.0, "n2": 80.0, "n4": 109.9}
    assert FleetView.from_start_times("n3", starts) == FleetView(4, 2, 3)


@given(st.integers(2, 80), st.floats(1.0, 30.0), st.floats(1.7e9, 1.8e9), st.integers(1, 6))
def test_members_that_see_the_same_fleet_call_no_more_than_half_as_often_again_as_in_the_calm(
    size, wait, wall, failures
):
    turns = PollSchedule(wait, random.Random(1))
    firsts = sorted(turns.initial_delay(wall, FleetView(size, rank)) for rank in range(size))
    assert firsts[0] >= 0.0 and firsts[-1] <= turns.cycle_seconds == pytest.approx(
        wait / PEAK_CALL_RATE_FACTOR
    )
    gaps = [later - sooner for sooner, later in itertools.pairwise(firsts)]
    assert min(gaps) > 0.9 * turns.cycle_seconds / size  # none together: at most size / cycle a second
    for rank in range(size):
        rest = turns.retry_delay(wall, FleetView(size, rank), failures)
        assert 0.25 * turns.cycle_seconds <= rest <= (2.25 if failures > 3 else 1.25) * turns.cycle_seconds


def test_those_that_hear_nobody_are_spread_over_the_cycle():
    firsts = [PollSchedule(5.0, random.Random(seed)).initial_delay(1e9, FleetView()) for seed in range(400)]
    assert max(sum(at <= first < at + 0.333 for first in firsts) for at in (0.0, 1.0, 2.0, 3.0)) < 70  # of 40


# --- The door -------------------------------------------------------------------------------------
asks = st.lists(
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


@given(asks, st.floats(0.1, 50.0), st.integers(0, 1000))
def test_what_the_door_lets_in_never_passes_the_rate_and_who_returns_in_time_is_let_in(script, known, seed):
    """Units a cell is sent, over any script of asks: at most one usual request at the start, what the rate
    earns, and one request of debt.  Clients come at the told time or never."""
    ramp = RecoveryRamp(0.0, {0: known}, 0.2, 2.0, 0.5, random.Random(seed))
    now, sent, earned, promised = 0.0, {0: 0.0, 1: 0.0}, {0: 0.0, 1: 0.0}, []
    for gap, cell, units, worth, number, returns in script:
        client = cell, number
        for where in earned:
            earned[where] += gap * (ramp.rate(now, where) + ramp.rate(now + gap, where)) / 2
        now += gap
        for due, key, where, size in sorted(p for p in promised if p[0] <= now):
            booked = ramp.counts["returned"]
            assert ramp.admit(due, where, size, 0.0, key) == 0.0 and ramp.counts["returned"] == booked + 1
            sent[where] += size
        promised = [p for p in promised if p[0] > now]
        before, had = ramp.counts["booked"], ramp.counts["returned"]
        wait = ramp.admit(now, cell, units, worth, client)
        assert 0.0 <= wait <= 0.5
        if ramp.counts["returned"] > had:  # a little early: it has had its units
            promised = [p for p in promised if p[1] != client]
        if wait == 0.0:
            sent[cell] += units
        elif ramp.counts["booked"] > before and returns:
            promised.append((now + wait, client, cell, units))
        assert all(sent[where] <= 2.0 + 1.02 * earned[where] + 6.0 for where in sent)


@pytest.mark.parametrize(
    ("rates", "at", "rate"),
    [({3: 8.0}, 0.0, 8.0), ({3: 8.0}, 1.5, 8.0 * 2**1.5), ({}, 0.0, 0.25), ({}, 1.0, 1.0)],
)
def test_a_rate_doubles_from_that_of_before_or_faster_from_a_safe_one(rates, at, rate):
    assert RecoveryRamp(0.0, rates, 0.25, 2.0, 0.5, random.Random(1)).rate(at, 3) == pytest.approx(rate)


@pytest.mark.parametrize(
    ("rates", "refused_at", "opens"),
    [
        ({3: 8.0}, 0.0, RAMP_SECONDS),
        ({}, 0.0, DEFAULT_RATE_RAMP_SECONDS),
        ({3: 8.0}, 1.9, 1.9 + NO_REJECTION_SECONDS),
        ({3: 8.0}, MAX_RAMP_SECONDS - 0.1, MAX_RAMP_SECONDS),
    ],
)
def test_the_door_opens_once_the_ramp_is_over_and_nobody_was_refused_for_a_while(rates, refused_at, opens):
    ramp = RecoveryRamp(0.0, rates, 0.25, 2.0, 0.5, random.Random(1))
    ramp.reject(refused_at)
    assert [ramp.is_complete(at) for at in (opens - 0.01, opens + 0.01)] == [False, True]
    ramp.restart(opens)
    assert not ramp.is_complete(opens + 0.01) and ramp.rate(opens, 3) == rates.get(3, 0.25)


def test_what_a_peer_tells_stands_only_for_cells_of_which_nothing_is_known():
    ramp = RecoveryRamp(0.0, {3: 8.0}, 0.25, 2.0, 0.5, random.Random(1))
    ramp.add_peer_rates({3: 80.0, 4: 6.0})
    assert [ramp.rate(1.0, cell) for cell in (3, 4)] == [16.0, 12.0]


def test_requests_of_less_worth_leave_a_part_to_the_others():
    """Two to eight units a second are earned and fifty asked for, half of them worth a fifth."""
    ramp, let = RecoveryRamp(0.0, {0: 2.0}, 0.2, 1.0, 0.0, random.Random(3)), {0.2: 0, 1.0: 0}
    for n in range(100):
        worth = (0.2, 1.0)[n % 2]
        let[worth] += ramp.admit(n / 50, 0, 1.0, worth, n) == 0.0
    assert let[1.0] > 2 * let[0.2]


def test_units_that_nobody_came_for_are_given_back_and_a_client_has_them_once():
    returns = RetryReservations()
    assert returns.reserve("a", 1.0, 3, 2.0) and not returns.reserve("a", 2.0, 3, 2.0)
    assert returns.reserve("b", 1.1, 4, 5.0)
    assert [returns.claim(at, "a", 3) is not None for at in (0.5, 1.0, 1.0)] == [False, True, False]
    assert returns.claim(1.1, "b", 3) is None  # set aside at another cell
    assert list(returns.pop_expired(1.1 + LATE_TOLERANCE_SECONDS)) == []
    assert [(b.shard, b.units) for b in returns.pop_expired(1.2 + LATE_TOLERANCE_SECONDS)] == [(4, 5.0)]
    assert sum(returns.reserve(n, 5.0, 0, 1.0) for n in range(MAX_RESERVATIONS + 9)) == MAX_RESERVATIONS


@given(st.floats(0.5, 40.0), st.integers(50, 2000))
def test_a_load_is_told_exactly_of_a_steady_stream_however_short(a_second, count):
    load = ShardLoadMeter(0.0)
    for n in range(count):
        load.add((n + 0.5) / a_second, 7, 1.0)
    assert dict(load.rates(count / a_second))[7] == pytest.approx(a_second, rel=0.05)


# --- Word of peers --------------------------------------------------------------------------------
def target(name: str, state: TargetStatus = READY, since: float | None = None) -> discovery.TargetRecord:
    return discovery.TargetRecord(name, "127.0.0.1", 3000, "a", "m", 3, state, 1.0, since)


names = st.sampled_from(["s-1", "s-2", "s-3"])
news = st.lists(
    st.tuples(
        st.booleans(),
        st.lists(
            st.tuples(names, st.sampled_from([READY, DRAINING, GONE]), st.sampled_from([None, 5.0, 9.0])),
            max_size=3,
            unique_by=lambda line: line[0],
        ),
    ),
    min_size=1,
    max_size=8,
)


@given(news, st.integers(1, 8))
def test_what_is_newer_than_a_version_leads_from_its_list_to_the_last(script, asked):
    book, at = TargetListHistory(), {}
    for index, (whole, lines) in enumerate(script, 1):
        targets = tuple(target(*line) for line in lines if not (whole and line[1] is GONE))
        book.apply(discovery.TargetList(index, whole or index == 1, targets))
        at[index] = {each.name: each for each in book.target_list.targets}
    newer = book.changes_since(asked)
    if asked > len(script):
        assert newer is None
        return
    known = dict(at[asked])
    for each in newer:
        known.pop(each.name, None)
        if each.status is not GONE:
            known[each.name] = each
    assert known == at[len(script)]


@pytest.mark.parametrize(
    ("index", "change", "withheld", "starts"),
    [
        (9, TargetChange("s-1", DRAINING, None), {"s-1"}, {}),
        (9, TargetChange("s-1", GONE, None), {"s-1"}, {}),
        (9, TargetChange("s-1", READY, 500.0), set(), {"s-1": 500.0}),  # it has started anew: it is cold
        (9, TargetChange("s-1", READY, 90.0), set(), {}),
        (9, TargetChange("s-1", READY, None), set(), {}),
        (5, TargetChange("s-1", GONE, None), set(), {}),
        (4, TargetChange("s-1", GONE, None), set(), {}),  # not newer
        (9, TargetChange("s-7", READY, 500.0), set(), {}),
        (9, TargetChange("s-7", GONE, None), set(), {}),
    ],
)  # never named
def test_a_word_makes_more_careful_and_never_names_a_target(index, change, withheld, starts):
    caution = PeerStateFilter(HERE)
    took = caution.apply(PeerState(HERE, index, changes=(change,)), 5, {"s-1": 100.0, "s-2": None})
    assert (took, caution.withheld_targets, caution.restarted_targets) == (
        bool(withheld or starts),
        withheld,
        starts,
    )
    assert not caution.apply(
        PeerState("other", 9, changes=(TargetChange("s-2", GONE, None),)), 5, {"s-2": None}
    )
    back = PeerState(HERE, 12, changes=(TargetChange("s-1", READY, None),))
    assert (
        not caution.apply(back, 5, {"s-1": 100.0}) and caution.withheld_targets == withheld
    )  # own discovery alone
    assert not caution.discard_up_to(8) and caution.discard_up_to(9) is bool(withheld or starts)
    assert (caution.withheld_targets, caution.restarted_targets) == (frozenset(), {})


WORD = PeerState(
    HERE,
    41,
    39,
    True,
    (TargetChange("s-1", GONE, 12.5), TargetChange("s-2", READY, None)),
    (TargetLatencyEstimate("s-2", None, 0.03, 4.0, 0.0),),
    LoadBaseline(0.97, ((None, 0.5), (3, 2.0))),
)


@pytest.mark.parametrize("said", [PeerStateRequest(HERE, 7), WORD, PeerState(HERE, 3)])
def test_what_is_said_comes_back_as_it_was(said):
    assert [decode_message(body) for body in encode_message(said)] == [said]


def test_a_long_answer_is_told_in_parts_and_follows_only_if_all_changes_are_in_the_first():
    paces = tuple(replace(WORD.latency_estimates[0], target_name=f"s-{n}") for n in range(200))
    parts = [decode_message(body) for body in encode_message(replace(WORD, latency_estimates=paces))]
    assert 1 < len(parts) <= 8 and [part.is_complete for part in parts] == [True] + [False] * (len(parts) - 1)
    assert max(map(len, encode_message(replace(WORD, latency_estimates=paces)))) < 1200
    changes = tuple(TargetChange(f"s-{n}", GONE, 1.0) for n in range(200))
    assert not any(
        decode_message(body).is_complete for body in encode_message(replace(WORD, changes=changes))
    )


@given(st.binary(max_size=200))
def test_no_bytes_make_the_reader_of_words_fail_in_another_way(data):
    try:
        said = decode_message(data)
    except MalformedPeerStateError:
        return
    assert isinstance(said, PeerStateRequest | PeerState)


def test_the_generated_code_is_current(tmp_path):
    from grpc_tools import protoc

    made = "stalltiller/recovery/recovery_pb2.py"
    protoc.main(["", "-I.", f"--python_out={tmp_path}", "stalltiller/recovery/recovery.proto"])
    assert (tmp_path / made).read_text() == Path(made).read_text()
