"""The membership protocol without I/O: its parts one by one, and seeded fleets on a virtual clock."""

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


def member(
    name: str = "x", start_time_ms: int = 5, incarnation: int = 0, state: MemberState = ALIVE, **more
) -> Member:
    return Member(name, ("10.0.0.1", 9), "a", start_time_ms, incarnation, state, **more)


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
    table = MemberTable(member("me"), 8)
    for state in [(0, 0, ALIVE), known] if known else []:
        table.merge(0.0, member("x", *state))
    assert table.merge(1.0, member("x", *update)) is is_new


updates = st.builds(
    member, st.sampled_from("xyz"), st.integers(1, 3), st.integers(0, 2), st.sampled_from(MemberState)
)


@given(st.lists(updates, max_size=12), st.randoms())
def test_the_order_of_updates_makes_no_difference(received, rng):
    """Except for unknown names: a stopped member is not added as a new one."""
    tables = [MemberTable(member("me"), 99), MemberTable(member("me"), 99)]
    for table in tables:
        for name in "xyz":
            table.merge(0.0, member(name, 0))
        for update in received:
            table.merge(1.0, update)
        rng.shuffle(received)
    one, other = ({n: m.precedence for n, m in table.known.items()} for table in tables)
    assert one == other


def test_a_full_table_rejects_new_names_and_counts_them():
    table = MemberTable(member("me"), 3)
    assert [table.merge(0.0, member(name)) for name in "abc"] == [True, True, False]
    assert table.rejected_count == 1 and table.merge(0.0, member("a", 6)) and table.running_count == 3


def test_an_update_is_gossiped_a_bounded_number_of_times_least_sent_first():
    gossip = GossipQueue(2)
    for name in "abc":
        gossip.add(member(name))
    sent = list(itertools.chain(*(gossip.next_updates(2, 9) for _ in range(3))))
    assert sorted(update.name for update in sent) == ["a", "a", "b", "b", "c", "c"] and len(gossip) == 0
    gossip.add(member("a"))
    gossip.add(member("a", state=DEAD))
    assert gossip.next_updates(2, 9) == (member("a", state=DEAD),)


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


def test_timers_run_in_the_order_of_their_times_then_as_added_and_are_postponed_together():
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


def test_a_per_second_limiter_counts_anew_in_each_second():
    limiter = PerSecondLimiter(2)
    assert [limiter.allow(now) for now in (5.0, 5.5, 5.9, 6.0, 6.1, 6.2)] == [True, True, False] * 2


# --- One member ---------------------------------------------------------------------------------------
def new_swim(**changes) -> Swim:
    return Swim(SwimSettings(**changes), member("me"), random.Random(1), 0.0)


@pytest.mark.parametrize(
    ("update", "start_time_ms", "incarnation", "events"),
    [
        (member("me", 5, 0, SUSPECT), 5, 1, ["refuted"]),
        (member("me", 5, 3, DEAD), 5, 4, ["refuted"]),
        (member("me", 5, 3, ALIVE), 5, 0, []),
        (member("me", 4, 9, DEAD), 5, 0, []),
        (member("me", 9, 2, DEAD), 10, 0, []),  # an earlier process whose clock was ahead
        (Member("me", ("10.0.0.2", 1), "a", 9), 5, 0, ["conflict"]),  # another process of the same name
    ],
)
def test_a_member_refutes_wrong_updates_on_itself(update, start_time_ms, incarnation, events):
    swim = new_swim()
    actions = swim.handle_packet(0.0, Packet(PacketKind.GOSSIP, member("x"), updates=(update,)))
    assert (swim.me.start_time_ms, swim.me.incarnation) == (start_time_ms, incarnation)
    assert [a.kind for a in actions if isinstance(a, MemberEvent) and a.member.name == "me"] == events


def test_a_member_that_left_announces_it_and_refutes_nothing():
    swim = new_swim()
    swim.handle_packet(0.0, Packet(PacketKind.GOSSIP, member("x")))
    sends = [a for a in swim.leave(0.0) if isinstance(a, SendPacket)]
    assert sends and all(send.packet.sender.state is LEFT for send in sends)
    swim.handle_packet(0.0, Packet(PacketKind.GOSSIP, member("x"), updates=(member("me", 5, 0, SUSPECT),)))
    assert swim.me.state is LEFT


def test_a_ping_for_another_name_at_this_address_is_not_answered():
    swim = new_swim()
    for target, acks in (("me", 1), ("old", 0)):
        actions = swim.handle_packet(0.0, Packet(PacketKind.PING, member("x"), 7, target))
        assert sum(isinstance(a, SendPacket) and a.packet.kind is PacketKind.ACK for a in actions) == acks


def test_a_push_pull_sync_reports_a_death_as_a_suspicion():
    swim = new_swim()
    swim.handle_packet(0.0, Packet(PacketKind.GOSSIP, member("y")))
    swim.handle_sync(0.0, PushPullSync(member("x"), (member("y", state=DEAD), member("z", state=LEFT))))
    assert swim.table.known["y"].state is SUSPECT and "z" not in swim.table.known


# --- The wire -----------------------------------------------------------------------------------------
PACKET = Packet(
    PacketKind.PING_REQUEST,
    member("x", load=3, initiator_index=4),
    7,
    "y",
    ("10.0.0.9", 80),
    (member("z", 2, 1, DEAD, reported_by="w"),),
    (BudgetRequest("s-1", 8, 0.25, 6), BudgetGrant("s-1", 8, 0.5)),
    b"letter",
)


def test_messages_are_decoded_as_they_were_encoded():
    assert codec.decode_packet("f", codec.encode_packet("f", PACKET)) == PACKET
    sync = PushPullSync(member("x"), (member("y", state=SUSPECT),))
    assert codec.decode_sync("f", codec.encode_sync("f", sync)) == sync


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"\xff\xff\xff", "malformed"),
        (b"", "foreign"),
        (codec.encode_packet("g", PACKET), "foreign"),
        (codec.encode_packet("f", PACKET) + b"\0" * 1400, "oversized"),
        (codec.encode_packet("f", Packet(PacketKind.PING, member("n" * 49))), "name"),
        (codec.encode_packet("f", Packet(PacketKind.PING, Member("x", ("h", 0)))), "member"),
        (codec.encode_packet("f", Packet(PacketKind.PING, member(), target="t" * 49)), "target"),
        (codec.encode_packet("f", Packet(9, member())), "kind"),
        *(
            (
                codec.encode_packet(
                    "f", Packet(PacketKind.SHARED_BUDGETS, member(), budget_messages=(message,))
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
def test_arbitrary_bytes_raise_nothing_but_a_malformed_message_error(data):
    for decode in (codec.decode_packet, codec.decode_sync):
        try:
            decode("", data)
        except codec.MalformedMessageError:
            continue


def test_a_datagram_holds_as_many_updates_as_fit():
    updates = tuple(member(f"{'n' * 40}{number}", reported_by="b" * 48) for number in range(40))
    data = codec.encode_packet("f", Packet(PacketKind.GOSSIP, member(), updates=updates))
    assert len(data) <= codec.MAX_DATAGRAM_BYTES and len(codec.decode_packet("f", data).updates) >= 6


def test_the_generated_code_is_current(tmp_path):
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


# --- The section of the file --------------------------------------------------------------------------
GOOD = {"name": "f", "listen": "127.0.0.1:7946", "seeds": ["127.0.0.1:7947"]}


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"listen": "nowhere"}, "not an address: 'nowhere'"),
        ({"listen": "127.0.0.1:0"}, "not an address: '127.0.0.1:0'"),
        ({"seeds": ["x"]}, "not an address: 'x'"),
        ({"probe_every_s": 0}, "probe_every_s must lie between 0.01 and 3600"),
        ({"probe_timeout_s": 0.5}, "probe_timeout_s must be under probe_every_s"),
        ({"probe_every_s": "soon"}, "could not convert string to float: 'soon'"),
    ],
)
def test_an_invalid_section_is_rejected(change, message):
    assert fleet_config(GOOD, "a").advertise == ("127.0.0.1", 7946)
    with pytest.raises(ValueError, match=re.escape(message)):
        fleet_config({**GOOD, **change}, "a")


# --- Fleets on a virtual clock ------------------------------------------------------------------------
@pytest.mark.parametrize("size", [2, 5, 20, 60])
def test_a_fleet_forms_and_detects_a_death_within_a_time_that_hardly_grows_with_its_size(size):
    fleet = Fleet(size, 1)
    assert fleet.run(20.0, fleet.agreed) < 10.0
    fleet.kill("m1")
    assert fleet.run(30.0, fleet.agreed) < 12.0
    assert {event.member for event in fleet.events_of("dead")} == {"m1"}


faults = st.lists(
    st.tuples(
        st.sampled_from(["kill", "start", "stop", "resume", "cut", "one way", "heal"]),
        st.integers(0, 5),
        st.floats(0.1, 6.0),
    ),
    max_size=8,
)


def apply_fault(fleet: Fleet, fault: str, number: int) -> None:
    """Apply one fault to member `number`, if it can be; "cut" and "one way" replace an earlier cut."""
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
        fleet.is_cut = lambda a, b, n=number: (int(a[1:]) <= n) != (int(b[1:]) <= n)
    elif fault == "one way":
        fleet.is_cut = lambda a, b, n=name: a == n
    elif fault == "heal":
        fleet.is_cut = lambda a, b: False


@settings(max_examples=30, deadline=None, derandomize=True)
@given(st.integers(0, 10**6), faults, st.floats(0.0, 0.2), st.floats(0.0, 0.3))
def test_after_any_faults_all_running_members_agree_again(seed, script, loss, duplication):
    """Loss, duplication, kills, restarts, stops and partitions in any order; then one view of the fleet."""
    fleet = Fleet(6, seed, loss, duplication)
    for fault, number, wait in script:
        apply_fault(fleet, fault, number)
        fleet.run(wait)
    for name in list(fleet.stopped):
        fleet.resume(name)
    fleet.is_cut, fleet.loss, fleet.duplication = (lambda a, b: False), 0.0, 0.0
    for name in ("m0", "m1"):  # the seeds: two that know nobody else find each other through them
        if name not in fleet.members:
            fleet.start(name)
    assert fleet.run(120.0, fleet.agreed) < 120.0


def test_one_seed_gives_one_run():
    runs = []
    for _ in range(2):
        fleet = Fleet(8, 7, loss=0.1, duplication=0.1)
        fleet.run(5.0)
        fleet.stop("m3")
        fleet.run(8.0)
        fleet.resume("m3")
        fleet.run(5.0)
        runs.append((fleet.log, fleet.bytes))
    assert runs[0] == runs[1] and runs[0][0]


def test_a_member_that_was_stopped_declares_nobody_dead_and_refutes_its_own_death():
    fleet = Fleet(8, 3)
    fleet.run(20.0, fleet.agreed)
    fleet.stop("m4")
    fleet.run(15.0)
    assert fleet.state("m0", "m4") is DEAD
    fleet.resume("m4")
    fleet.run(20.0, fleet.agreed)
    assert (
        fleet.agreed()
        and fleet.events_of("refuted")
        and [e for e in fleet.events_of("dead") if e.observer == "m4"] == []
    )


@pytest.mark.parametrize(("indirect_probes", "suspected"), [(3, False), (0, True)])
def test_indirect_probes_prevent_suspicion_by_one_that_cannot_reach_a_member(indirect_probes, suspected):
    """Only here: between real processes refuting keeps such a member alive without indirect probes."""
    fleet = Fleet(6, 5, settings=SwimSettings(indirect_probe_count=indirect_probes))
    fleet.run(20.0, fleet.agreed)
    fleet.is_cut = lambda a, b: (a, b) == ("m1", "m2")
    cut_at = fleet.now
    fleet.run(20.0)
    assert bool(fleet.events_of("suspect", cut_at)) is suspected
