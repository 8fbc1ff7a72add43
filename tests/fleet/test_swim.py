"""Membership protocol without I/O: unit tests of its components, and seeded fleets on a virtual clock."""

from __future__ import annotations

import itertools
import random
import re
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stalltiller.fleet import (
    Member,
    MemberEvent,
    MemberState,
    MemberTable,
    Packet,
    PacketKind,
    PushPullSync,
    SendPacket,
    Swim,
    SwimSettings,
    codec,
)
from stalltiller.fleet.budget_lending import BudgetGrant, BudgetRequest
from stalltiller.fleet.config import fleet_config
from stalltiller.fleet.gossip import GossipQueue
from stalltiller.fleet.local_health import MAX_HEALTH_SCORE, LocalHealth, Suspicion
from stalltiller.fleet.rate_limiter import PerSecondLimiter
from stalltiller.fleet.timer_queue import TimerQueue
from tests.fleet.virtual import Fleet

ROOT = Path(__file__).parent.parent.parent
ALIVE, SUSPECT, DEAD, LEFT = MemberState


def make_member(
    name: str = "x", start_time_ms: int = 5, incarnation: int = 0, state: MemberState = ALIVE, **fields
) -> Member:
    return Member(name, ("10.0.0.1", 9), "a", start_time_ms, incarnation, state, **fields)


# --- Updates --------------------------------------------------------------------------------------------
@pytest.mark.parametrize(
    ("known", "update", "is_new"),
    [
        ((5, 0, ALIVE), (5, 0, ALIVE), False),
        ((5, 0, ALIVE), (5, 0, SUSPECT), True),
        ((5, 0, SUSPECT), (5, 0, ALIVE), False),
        ((5, 0, SUSPECT), (5, 1, ALIVE), True),
        ((5, 1, ALIVE), (5, 0, DEAD), False),
        ((5, 0, SUSPECT), (5, 0, DEAD), True),
        ((5, 0, DEAD), (5, 0, SUSPECT), False),
        ((5, 0, DEAD), (5, 1, ALIVE), True),
        ((5, 0, DEAD), (5, 0, LEFT), True),
        ((5, 9, LEFT), (6, 0, ALIVE), True),
        ((6, 0, ALIVE), (5, 9, DEAD), False),
        ((6, 0, ALIVE), (5, 9, LEFT), False),
        (None, (5, 0, SUSPECT), True),
        (None, (5, 0, DEAD), False),
        (None, (5, 0, LEFT), False),
    ],
)
def test_an_update_of_higher_precedence_replaces_the_known_one(known, update, is_new):
    table = MemberTable(make_member("me"), 8)
    for state in [(0, 0, ALIVE), known] if known else []:
        table.merge(0.0, make_member("x", *state))
    assert table.merge(1.0, make_member("x", *update)) is is_new


member_updates = st.builds(
    make_member, st.sampled_from("xyz"), st.integers(1, 3), st.integers(0, 2), st.sampled_from(MemberState)
)


@given(st.lists(member_updates, max_size=12), st.randoms())
def test_merging_updates_in_any_order_gives_the_same_table(received, rng):
    """All names are known beforehand, since an unknown member is not added if it is dead or has left."""
    tables = [MemberTable(make_member("me"), 99), MemberTable(make_member("me"), 99)]
    for table in tables:
        for name in "xyz":
            table.merge(0.0, make_member(name, 0))
        for update in received:
            table.merge(1.0, update)
        rng.shuffle(received)
    first, second = ({name: known.precedence for name, known in table.known.items()} for table in tables)
    assert first == second


def test_a_full_table_rejects_new_names_and_counts_them():
    table = MemberTable(make_member("me"), 3)
    assert [table.merge(0.0, make_member(name)) for name in "abc"] == [True, True, False]
    assert table.rejected_count == 1 and table.merge(0.0, make_member("a", 6)) and table.running_count == 3


def test_an_update_is_gossiped_a_bounded_number_of_times_least_sent_first():
    gossip = GossipQueue(2)
    for name in "abc":
        gossip.add(make_member(name))
    sent = list(itertools.chain(*(gossip.next_updates(2, 9) for _ in range(3))))
    assert sorted(update.name for update in sent) == ["a", "a", "b", "b", "c", "c"] and len(gossip) == 0
    gossip.add(make_member("a"))
    gossip.add(make_member("a", state=DEAD))
    assert gossip.next_updates(2, 9) == (make_member("a", state=DEAD),)


@pytest.mark.parametrize(("confirmations", "deadline"), [(0, 13.0), (1, 8.0), (2, 5.075), (3, 3.0), (9, 3.0)])
def test_confirmations_shorten_a_suspicion(confirmations, deadline):
    suspicion = Suspicion(1.0, "a", 2.0, 12.0, 3)
    for number in range(confirmations):
        assert suspicion.confirm(f"b{number}") is (number < 3) and not suspicion.confirm("a")
    assert suspicion.deadline == pytest.approx(deadline, abs=0.01)


@pytest.mark.parametrize(
    ("changes", "score"),
    [([1, 1, -1], 1), ([-1], 0), ([99], MAX_HEALTH_SCORE), ([99, -1], MAX_HEALTH_SCORE - 1)],
)
def test_the_local_health_score_stays_within_its_bounds(changes, score):
    health = LocalHealth()
    for change in changes:
        health.adjust(change)
    assert (health.score, health.multiplier) == (score, score + 1)


def test_timers_run_by_due_time_then_by_insertion_order_and_are_postponed_together():
    timers = TimerQueue()
    ran = []
    for due_at, name in [(2.0, "b"), (1.0, "a"), (2.0, "c")]:
        timers.call_at(due_at, lambda name=name: ran.append(name))
    assert timers.pop_due(0.9) is None
    timers.postpone_all(0.5)
    assert timers.pop_due(1.4) is None and timers.next_due_at == 1.5
    while (callback := timers.pop_due(2.5)) is not None:
        callback()
    assert ran == ["a", "b", "c"]


def test_a_per_second_limiter_resets_its_count_each_second():
    limiter = PerSecondLimiter(2)
    assert [limiter.allow(now) for now in (5.0, 5.5, 5.9, 6.0, 6.1, 6.2)] == [True, True, False] * 2


# --- One member ---------------------------------------------------------------------------------------
def make_swim(**changes) -> Swim:
    return Swim(SwimSettings(**changes), make_member("me"), random.Random(1), 0.0)


@pytest.mark.parametrize(
    ("update", "start_time_ms", "incarnation", "events"),
    [
        (make_member("me", 5, 0, SUSPECT), 5, 1, ["refuted"]),
        (make_member("me", 5, 3, DEAD), 5, 4, ["refuted"]),
        (make_member("me", 5, 3, ALIVE), 5, 0, []),
        (make_member("me", 4, 9, DEAD), 5, 0, []),
        (make_member("me", 9, 2, DEAD), 10, 0, []),  # from an earlier process whose clock was ahead
        (Member("me", ("10.0.0.2", 1), "a", 9), 5, 0, ["conflict"]),  # another process with the same name
    ],
)
def test_a_member_refutes_wrong_updates_on_itself(update, start_time_ms, incarnation, events):
    swim = make_swim()
    actions = swim.handle_packet(0.0, Packet(PacketKind.GOSSIP, make_member("x"), updates=(update,)))
    assert (swim.local_member.start_time_ms, swim.local_member.incarnation) == (start_time_ms, incarnation)
    assert [
        action.kind for action in actions if isinstance(action, MemberEvent) and action.member.name == "me"
    ] == events


def test_a_leaving_member_announces_it_and_no_longer_refutes_suspicions():
    swim = make_swim()
    swim.handle_packet(0.0, Packet(PacketKind.GOSSIP, make_member("x")))
    sends = [action for action in swim.leave(0.0) if isinstance(action, SendPacket)]
    assert sends and all(send.packet.sender.state is LEFT for send in sends)
    swim.handle_packet(
        0.0, Packet(PacketKind.GOSSIP, make_member("x"), updates=(make_member("me", 5, 0, SUSPECT),))
    )
    assert swim.local_member.state is LEFT


def test_a_ping_for_another_name_at_this_address_is_not_acknowledged():
    swim = make_swim()
    for target, ack_count in (("me", 1), ("old", 0)):
        actions = swim.handle_packet(0.0, Packet(PacketKind.PING, make_member("x"), 7, target))
        assert (
            sum(isinstance(action, SendPacket) and action.packet.kind is PacketKind.ACK for action in actions)
            == ack_count
        )


def test_a_death_received_in_a_push_pull_sync_is_merged_as_a_suspicion():
    swim = make_swim()
    swim.handle_packet(0.0, Packet(PacketKind.GOSSIP, make_member("y")))
    swim.handle_sync(
        0.0, PushPullSync(make_member("x"), (make_member("y", state=DEAD), make_member("z", state=LEFT)))
    )
    assert swim.table.known["y"].state is SUSPECT and "z" not in swim.table.known


# --- Encoding -----------------------------------------------------------------------------------------
SAMPLE_PACKET = Packet(
    PacketKind.PING_REQUEST,
    make_member("x", load=3, initiator_index=4),
    7,
    "y",
    ("10.0.0.9", 80),
    (make_member("z", 2, 1, DEAD, reported_by="w"),),
    (BudgetRequest("s-1", 8, 0.25, 6), BudgetGrant("s-1", 8, 0.5)),
    b"letter",
)


def test_encoded_messages_are_decoded_unchanged():
    assert codec.decode_packet("f", codec.encode_packet("f", SAMPLE_PACKET)) == SAMPLE_PACKET
    sync = PushPullSync(make_member("x"), (make_member("y", state=SUSPECT),))
    assert codec.decode_sync("f", codec.encode_sync("f", sync)) == sync


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"\xff\xff\xff", "malformed"),
        (b"", "foreign"),
        (codec.encode_packet("g", SAMPLE_PACKET), "foreign"),
        (codec.encode_packet("f", SAMPLE_PACKET) + b"\0" * 1400, "oversized"),
        (codec.encode_packet("f", Packet(PacketKind.PING, make_member("n" * 49))), "name"),
        (codec.encode_packet("f", Packet(PacketKind.PING, Member("x", ("h", 0)))), "member"),
        (codec.encode_packet("f", Packet(PacketKind.PING, make_member(), target="t" * 49)), "target"),
        (codec.encode_packet("f", Packet(9, make_member())), "kind"),
        *(
            (
                codec.encode_packet(
                    "f", Packet(PacketKind.SHARED_BUDGETS, make_member(), budget_messages=(message,))
                ),
                "part",
            )
            for message in (
                BudgetRequest("", 1, 0.5),
                BudgetRequest("k" * 65, 1, 0.5),
                BudgetRequest("k", 1, 1.5),
                BudgetGrant("k", 1, -0.1),
                BudgetGrant("k", 1, float("nan")),
            )
        ),
    ],
)
def test_a_malformed_or_foreign_message_is_rejected_with_its_reason(data, reason):
    with pytest.raises(codec.MalformedMessageError, match=reason):
        codec.decode_packet("f", data)


@given(st.binary(max_size=200))
def test_decoding_arbitrary_bytes_raises_only_malformed_message_errors(data):
    for decode in (codec.decode_packet, codec.decode_sync):
        try:
            decode("", data)
        except codec.MalformedMessageError:
            continue


def test_a_datagram_holds_as_many_updates_as_fit():
    updates = tuple(make_member(f"{'n' * 40}{number}", reported_by="b" * 48) for number in range(40))
    data = codec.encode_packet("f", Packet(PacketKind.GOSSIP, make_member(), updates=updates))
    assert len(data) <= codec.MAX_DATAGRAM_BYTES and len(codec.decode_packet("f", data).updates) >= 6


def test_the_generated_protobuf_module_is_up_to_date(tmp_path):
    pytest.importorskip("grpc_tools")
    subprocess.run(
        [
            sys.executable,
            "-m",
            "grpc_tools.protoc",
            "-I.",
            f"--python_out={tmp_path}",
            "stalltiller/fleet/fleet.proto",
        ],
        cwd=ROOT,
        check=True,
    )
    generated = "stalltiller/fleet/fleet_pb2.py"
    assert (tmp_path / generated).read_bytes() == (ROOT / generated).read_bytes()


# --- The [fleet] section ------------------------------------------------------------------------------
VALID_SECTION = {"name": "f", "listen": "127.0.0.1:7946", "seeds": ["127.0.0.1:7947"]}


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"listen": "nowhere"}, "invalid address 'nowhere', expected HOST:PORT"),
        ({"listen": "127.0.0.1:0"}, "invalid address '127.0.0.1:0', expected HOST:PORT"),
        ({"seeds": ["x"]}, "invalid address 'x', expected HOST:PORT"),
        ({"probe_every_s": 0}, "probe_every_s must be between 0.01 and 3600 seconds"),
        ({"probe_timeout_s": 0.5}, "probe_timeout_s must be less than probe_every_s"),
        ({"probe_every_s": "soon"}, "could not convert string to float: 'soon'"),
    ],
)
def test_an_invalid_fleet_section_is_rejected(change, message):
    assert fleet_config(VALID_SECTION, "a").advertise == ("127.0.0.1", 7946)
    with pytest.raises(ValueError, match=re.escape(message)):
        fleet_config({**VALID_SECTION, **change}, "a")


# --- Fleets on a virtual clock ------------------------------------------------------------------------
@pytest.mark.parametrize("size", [2, 5, 20, 60])
def test_join_and_failure_detection_times_stay_bounded_as_the_fleet_grows(size):
    fleet = Fleet(size, 1)
    assert fleet.run(20.0, fleet.views_agree) < 10.0
    fleet.kill("m1")
    assert fleet.run(30.0, fleet.views_agree) < 12.0
    assert {event.member for event in fleet.events_of("dead")} == {"m1"}


fault_scripts = st.lists(
    st.tuples(
        st.sampled_from(["kill", "start", "stop", "resume", "cut", "one way", "heal"]),
        st.integers(0, 5),
        st.floats(0.1, 6.0),
    ),
    max_size=8,
)


def apply_fault(fleet: Fleet, fault: str, number: int) -> None:
    """Apply a fault to member `number` if its state allows it; "cut" and "one way" replace an earlier cut."""
    name = f"m{number}"
    if fault == "kill" and name in fleet.members and len(fleet.members) > 1:
        fleet.kill(name)
    elif fault == "start" and name not in fleet.members:
        fleet.start(name)
    elif fault == "stop" and name in fleet.members and name not in fleet.stopped:
        fleet.stop(name)
    elif fault == "resume" and name in fleet.stopped:
        fleet.resume(name)
    elif fault == "cut":
        fleet.is_cut = lambda sender, receiver, last=number: (
            (int(sender[1:]) <= last) != (int(receiver[1:]) <= last)
        )
    elif fault == "one way":
        fleet.is_cut = lambda sender, receiver, cut_sender=name: sender == cut_sender
    elif fault == "heal":
        fleet.is_cut = lambda sender, receiver: False


@settings(max_examples=30, deadline=None, derandomize=True)
@given(st.integers(0, 10**6), fault_scripts, st.floats(0.0, 0.2), st.floats(0.0, 0.3))
def test_membership_views_agree_again_after_any_sequence_of_faults(seed, script, loss, duplication):
    """Loss, duplication, kills, restarts, stops and partitions in any order must not leave views diverged."""
    fleet = Fleet(6, seed, loss, duplication)
    for fault, number, wait in script:
        apply_fault(fleet, fault, number)
        fleet.run(wait)
    for name in list(fleet.stopped):
        fleet.resume(name)
    fleet.is_cut, fleet.loss, fleet.duplication = (lambda sender, receiver: False), 0.0, 0.0
    for name in ("m0", "m1"):  # the seeds: members that know no other find each other through them
        if name not in fleet.members:
            fleet.start(name)
    assert fleet.run(120.0, fleet.views_agree) < 120.0


def test_runs_with_the_same_seed_are_identical():
    runs = []
    for _ in range(2):
        fleet = Fleet(8, 7, loss=0.1, duplication=0.1)
        fleet.run(5.0)
        fleet.stop("m3")
        fleet.run(8.0)
        fleet.resume("m3")
        fleet.run(5.0)
        runs.append((fleet.log, fleet.sent_bytes))
    assert runs[0] == runs[1] and runs[0][0]


def test_a_resumed_member_declares_no_other_member_dead_and_refutes_its_own_death():
    fleet = Fleet(8, 3)
    fleet.run(20.0, fleet.views_agree)
    fleet.stop("m4")
    fleet.run(15.0)
    assert fleet.state("m0", "m4") is DEAD
    fleet.resume("m4")
    fleet.run(20.0, fleet.views_agree)
    assert (
        fleet.views_agree()
        and fleet.events_of("refuted")
        and [event for event in fleet.events_of("dead") if event.observer == "m4"] == []
    )


@pytest.mark.parametrize(("indirect_probes", "suspected"), [(3, False), (0, True)])
def test_indirect_probes_prevent_suspicion_after_a_one_way_cut(indirect_probes, suspected):
    """Needs the virtual clock: between real processes, refutation keeps the member alive without them."""
    fleet = Fleet(6, 5, settings=SwimSettings(indirect_probe_count=indirect_probes))
    fleet.run(20.0, fleet.views_agree)
    fleet.is_cut = lambda sender, receiver: (sender, receiver) == ("m1", "m2")
    cut_at = fleet.now
    fleet.run(20.0)
    assert bool(fleet.events_of("suspect", cut_at)) is suspected
