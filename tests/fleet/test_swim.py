"""Membership without I/O: tables for its parts, and seeded fleets on a virtual clock."""

from __future__ import annotations

import itertools
import random
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stalltiller.fleet import (
    Member,
    MemberEvent,
    MemberTable,
    Packet,
    PacketKind,
    PushPullSync,
    Send,
    Settings,
    State,
    Swim,
    codec,
)
from stalltiller.fleet.budget_lending import BudgetGrant, BudgetRequest
from stalltiller.fleet.config import fleet_config
from stalltiller.fleet.gossip import Gossip
from stalltiller.fleet.local_health import MOST, LocalHealth, Suspicion
from tests.fleet.virtual import Fleet

ROOT = Path(__file__).parent.parent.parent
A, S, D, L = State


def member(name: str = "x", start: int = 5, incarnation: int = 0, state: State = A, **more) -> Member:
    return Member(name, ("10.0.0.1", 9), "a", start, incarnation, state, **more)


# --- Words ----------------------------------------------------------------------------------------------
@pytest.mark.parametrize(
    ("old", "new", "news"),
    [
        ((5, 0, A), (5, 0, A), False),
        ((5, 0, A), (5, 0, S), True),
        ((5, 0, S), (5, 0, A), False),
        ((5, 0, S), (5, 1, A), True),
        ((5, 1, A), (5, 0, D), False),
        ((5, 0, S), (5, 0, D), True),
        ((5, 0, D), (5, 0, S), False),
        ((5, 0, D), (5, 1, A), True),
        ((5, 0, D), (5, 0, L), True),
        ((5, 9, L), (6, 0, A), True),
        ((6, 0, A), (5, 9, D), False),
        ((6, 0, A), (5, 9, L), False),
        (None, (5, 0, S), True),
        (None, (5, 0, D), False),
        (None, (5, 0, L), False),
    ],
)
def test_the_higher_word_holds_and_a_later_life_is_above_all_of_an_earlier_one(old, new, news):
    table = MemberTable(member("me"), 8)
    for known in [(0, 0, A), old] if old else []:
        table.put(0.0, member("x", *known))
    assert table.put(1.0, member("x", *new)) is news


words = st.builds(
    member, st.sampled_from("xyz"), st.integers(1, 3), st.integers(0, 2), st.sampled_from(State)
)


@given(st.lists(words, max_size=12), st.randoms())
def test_the_order_in_which_words_come_makes_no_difference(heard, draw):
    """But for names that nobody knew to run: what has ended is not taken in as new."""
    tables = [MemberTable(member("me"), 99), MemberTable(member("me"), 99)]
    for table in tables:
        for name in "xyz":
            table.put(0.0, member(name, 0))
        for word in heard:
            table.put(1.0, word)
        draw.shuffle(heard)
    one, other = ({n: m.order for n, m in table.known.items()} for table in tables)
    assert one == other


def test_a_full_table_takes_in_no_more_names_and_counts_them():
    table = MemberTable(member("me"), 3)
    assert [table.put(0.0, member(name)) for name in "abc"] == [True, True, False]
    assert table.refused == 1 and table.put(0.0, member("a", 6)) and table.size == 3


def test_a_word_is_passed_on_a_bounded_number_of_times_the_newest_least_often_told_first():
    gossip = Gossip(2)
    for name in "abc":
        gossip.add(member(name))
    told = list(itertools.chain(*(gossip.take(2, 9) for _ in range(3))))
    assert sorted(word.name for word in told) == ["a", "a", "b", "b", "c", "c"] and len(gossip) == 0
    gossip.add(member("a"))
    gossip.add(member("a", state=D))
    assert gossip.take(2, 9) == (member("a", state=D),)


@pytest.mark.parametrize(("confirmed", "end"), [(0, 13.0), (1, 8.0), (2, 5.075), (3, 3.0), (9, 3.0)])
def test_a_suspicion_is_the_shorter_the_more_confirm_it(confirmed, end):
    suspicion = Suspicion(1.0, "a", 2.0, 12.0, 3)
    for number in range(confirmed):
        assert suspicion.confirm(f"b{number}") is (number < 3) and not suspicion.confirm("a")
    assert suspicion.end == pytest.approx(end, abs=0.01)


@pytest.mark.parametrize(
    ("changes", "score"), [([1, 1, -1], 1), ([-1], 0), ([99], MOST), ([99, -1], MOST - 1)]
)
def test_the_health_score_stays_within_its_bounds(changes, score):
    health = LocalHealth()
    for change in changes:
        health.change(change)
    assert (health.score, health.factor) == (score, score + 1)


# --- One member ---------------------------------------------------------------------------------------
def one(**changes) -> Swim:
    return Swim(Settings(**changes), member("me"), random.Random(1), 0.0)


@pytest.mark.parametrize(
    ("word", "start", "incarnation", "events"),
    [
        (member("me", 5, 0, S), 5, 1, ["refuted"]),
        (member("me", 5, 3, D), 5, 4, ["refuted"]),
        (member("me", 5, 3, A), 5, 0, []),
        (member("me", 4, 9, D), 5, 0, []),
        (member("me", 9, 2, D), 10, 0, []),  # an earlier life with a clock ahead of this one's
        (Member("me", ("10.0.0.2", 1), "a", 9), 5, 0, ["conflict"]),  # another process of the same name
    ],
)
def test_a_member_refutes_what_is_wrong_of_itself(word, start, incarnation, events):
    swim = one()
    actions = swim.packet(0.0, Packet(PacketKind.GOSSIP, member("x"), updates=(word,)))
    assert (swim.me.start_time_ms, swim.me.incarnation) == (start, incarnation)
    assert [a.event for a in actions if isinstance(a, MemberEvent) and a.member.name == "me"] == events


def test_who_left_refutes_nothing_and_tells_it():
    swim = one()
    swim.packet(0.0, Packet(PacketKind.GOSSIP, member("x")))
    sends = [a for a in swim.leave(0.0) if isinstance(a, Send)]
    assert sends and all(send.packet.sender.state is L for send in sends)
    swim.packet(0.0, Packet(PacketKind.GOSSIP, member("x"), updates=(member("me", 5, 0, S),)))
    assert swim.me.state is L


def test_a_ping_for_another_name_at_this_address_is_not_answered():
    swim = one()
    for target, acks in (("me", 1), ("old", 0)):
        actions = swim.packet(0.0, Packet(PacketKind.PING, member("x"), 7, target))
        assert sum(isinstance(a, Send) and a.packet.kind is PacketKind.ACK for a in actions) == acks


def test_an_exchange_tells_of_a_death_as_a_suspicion_only():
    swim = one()
    swim.packet(0.0, Packet(PacketKind.GOSSIP, member("y")))
    swim.exchange(0.0, PushPullSync(member("x"), (member("y", state=D), member("z", state=L))))
    assert swim.table.known["y"].state is S and "z" not in swim.table.known


# --- The wire -----------------------------------------------------------------------------------------
PACKET = Packet(
    PacketKind.REQUEST,
    member("x", load=3, initiator_index=4),
    7,
    "y",
    ("10.0.0.9", 80),
    (member("z", 2, 1, D, by="w"),),
    (BudgetRequest("s-1", 8, 0.25, 6), BudgetGrant("s-1", 8, 0.5)),
    b"letter",
)


def test_messages_come_back_as_they_were():
    assert codec.decode_packet("f", codec.encode_packet("f", PACKET)) == PACKET
    exchange = PushPullSync(member("x"), (member("y", state=S),))
    assert codec.decode_exchange("f", codec.encode_exchange("f", exchange)) == exchange


@pytest.mark.parametrize(
    ("data", "why"),
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
            (codec.encode_packet("f", Packet(PacketKind.SHARED_BUDGETS, member(), parts=(part,))), "part")
            for part in (
                BudgetRequest("", 1, 0.5),
                BudgetRequest("k" * 65, 1, 0.5),
                BudgetRequest("k", 1, 1.5),
                BudgetGrant("k", 1, -0.1),
                BudgetGrant("k", 1, float("nan")),
            )
        ),
    ],
)
def test_what_is_no_message_of_this_fleet_is_named(data, why):
    with pytest.raises(codec.Malformed, match=why):
        codec.decode_packet("f", data)


@given(st.binary(max_size=200))
def test_no_bytes_make_more_than_a_malformed_message(data):
    for decode in (codec.decode_packet, codec.decode_exchange):
        try:
            decode("", data)
        except codec.Malformed:
            continue


def test_a_datagram_holds_as_much_news_as_goes_in():
    news = tuple(member(f"{'n' * 40}{number}", by="b" * 48) for number in range(40))
    data = codec.encode_packet("f", Packet(PacketKind.GOSSIP, member(), updates=news))
    assert len(data) <= codec.MOST_DATAGRAM and len(codec.decode_packet("f", data).updates) >= 6


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
    made = "stalltiller/fleet/fleet_pb2.py"
    assert (tmp_path / made).read_bytes() == (ROOT / made).read_bytes()


# --- The section of the file --------------------------------------------------------------------------
GOOD = {"name": "f", "listen": "127.0.0.1:7946", "seeds": ["127.0.0.1:7947"]}


@pytest.mark.parametrize(
    "change",
    [
        {"listen": "nowhere"},
        {"listen": "127.0.0.1:0"},
        {"seeds": ["x"]},
        {"probe_every_s": 0},
        {"probe_timeout_s": 0.5},
        {"probe_every_s": "soon"},
    ],
)
def test_a_bad_section_is_refused(change):
    assert fleet_config(GOOD, "a").advertise == ("127.0.0.1", 7946)
    with pytest.raises(ValueError):
        fleet_config({**GOOD, **change}, "a")


# --- Fleets on a virtual clock ------------------------------------------------------------------------
@pytest.mark.parametrize("size", [2, 5, 20, 60])
def test_a_fleet_comes_together_and_finds_a_death_in_a_time_that_hardly_grows(size):
    fleet = Fleet(size, 1)
    assert fleet.run(20.0, fleet.agreed) < 10.0
    fleet.kill("m1")
    assert fleet.run(30.0, fleet.agreed) < 12.0
    assert {notice[3] for notice in fleet.said("dead")} == {"m1"}


faults = st.lists(
    st.tuples(
        st.sampled_from(["kill", "start", "stop", "go on", "cut", "one way", "heal"]),
        st.integers(0, 5),
        st.floats(0.1, 6.0),
    ),
    max_size=8,
)


@settings(max_examples=30, deadline=None, derandomize=True)
@given(st.integers(0, 10**6), faults, st.floats(0.0, 0.2), st.floats(0.0, 0.3))
def test_after_any_faults_all_that_run_agree_again(seed, script, loss, double):
    """Loss, doubles, kills, new lives, stops and cuts in any order: once over, one view of who runs."""
    fleet = Fleet(6, seed, loss, double)
    for what, number, wait in script:
        name = f"m{number}"
        if what == "kill" and name in fleet.members and len(fleet.members) > 1:
            fleet.kill(name)
        elif what == "start" and name not in fleet.members:
            fleet.start(name)
        elif what == "stop" and name in fleet.members and name not in fleet.stopped:
            fleet.stop(name)
        elif what == "go on" and name in fleet.stopped:
            fleet.resume_stream(name)
        elif what == "cut":
            fleet.abort_stream = lambda a, b, n=number: (int(a[1:]) <= n) != (int(b[1:]) <= n)
        elif what == "one way":
            fleet.abort_stream = lambda a, b, n=name: a == n
        elif what == "heal":
            fleet.abort_stream = lambda a, b: False
        fleet.run(wait)
    for name in list(fleet.stopped):
        fleet.resume_stream(name)
    fleet.abort_stream, fleet.loss, fleet.double = (lambda a, b: False), 0.0, 0.0
    for name in ("m0", "m1"):  # the seeds: two that know nobody else find each other through them
        if name not in fleet.members:
            fleet.start(name)
    assert fleet.run(120.0, fleet.agreed) < 120.0


def test_one_seed_gives_one_run():
    runs = []
    for _ in range(2):
        fleet = Fleet(8, 7, loss=0.1, double=0.1)
        fleet.run(5.0)
        fleet.stop("m3")
        fleet.run(8.0)
        fleet.resume_stream("m3")
        fleet.run(5.0)
        runs.append((fleet.notices, fleet.bytes))
    assert runs[0] == runs[1] and runs[0][0]


def test_a_member_that_stood_still_takes_nobody_for_dead_and_refutes_its_own_death():
    fleet = Fleet(8, 3)
    fleet.run(20.0, fleet.agreed)
    fleet.stop("m4")
    fleet.run(15.0)
    assert fleet.state("m0", "m4") is D
    fleet.resume_stream("m4")
    fleet.run(20.0, fleet.agreed)
    assert fleet.agreed() and fleet.said("refuted") and [n for n in fleet.said("dead") if n[1] == "m4"] == []


@pytest.mark.parametrize(("helpers", "suspected"), [(3, False), (0, True)])
def test_helpers_spare_a_member_that_one_other_can_not_reach(helpers, suspected):
    """Found by hand: between real processes refuting alone keeps such a member alive, helpers or not."""
    fleet = Fleet(6, 5, settings=Settings(helpers=helpers))
    fleet.run(20.0, fleet.agreed)
    fleet.abort_stream = lambda a, b: (a, b) == ("m1", "m2")
    began = fleet.now
    fleet.run(20.0)
    assert bool(fleet.said("suspect", began)) is suspected
