"""Leases: the log, the table on it, and both in a seeded world with faults."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench import lease_model
from stalltiller.leases import (
    RATE_ERROR,
    Append,
    Apply,
    Command,
    Entry,
    Gate,
    Holder,
    Keep,
    Keeper,
    Raft,
    Send,
    Table,
    Vote,
)
from stalltiller.leases.messages import Appended, Hand, Voted


# --- The table ----------------------------------------------------------------------------------------
def acquire(holder: str, **more) -> Command:
    return Command("acquire", "l", holder, 2.0, **more)


def of(what: str, token: int, **more) -> Command:
    return Command(what, "l", token=token, **more)


@pytest.mark.parametrize(
    ("commands", "answers", "holder"),
    [
        ([acquire("a"), acquire("b")], [1, 0], "a"),
        ([acquire("a"), of("renew", 1), of("renew", 9)], [1, 1, 0], "a"),
        ([acquire("a"), of("release", 1), acquire("b")], [1, 0, 3], "b"),
        ([acquire("a"), of("release", 9), acquire("b")], [1, 0, 0], "a"),
        ([acquire("a"), of("expire", 1), acquire("b"), of("renew", 1)], [1, 0, 3, 0], "b"),
        (
            [acquire("a"), of("renew", 1), of("expire", 1), acquire("b")],
            [1, 1, 0, 0],
            "a",
        ),  # found by the model
        ([acquire("a"), of("renew", 1), of("expire", 1, renewed=2), acquire("b")], [1, 1, 0, 4], "b"),
        ([acquire("a", session="s", number=1)] * 2, [1, 1], "a"),  # came twice: answered alike
        ([acquire("a", session="s", number=2), of("release", 1, session="s", number=1)], [1, 0], "a"),  # late
    ],
)
def test_a_lease_has_one_holder_and_tokens_grow(commands, answers, holder):
    table = Table()
    assert [table.apply(index, command) for index, command in enumerate(commands, 1)] == answers
    assert table.leases["l"].holder == holder


def test_the_leader_ends_what_was_not_renewed_for_its_time_and_a_new_leader_gives_it_all_anew():
    table, keeper = Table(), Keeper()
    table.apply(1, acquire("a"))
    keeper.applied(10.0, table, acquire("a"))
    late = 10.0 + 2.0 * (1 + RATE_ERROR)
    assert keeper.ended(late, table) == [] and keeper.ended(late + 0.01, table) == [of("expire", 1)]
    table.apply(2, of("renew", 1))
    keeper.applied(11.5, table, of("renew", 1))
    assert keeper.ended(13.5, table) == [] and keeper.ended(13.53, table) == [of("expire", 1, renewed=2)]
    keeper.begin(20.0, table)
    assert keeper.ended(22.0, table) == [] and keeper.ended(22.03, table) != []


@pytest.mark.parametrize(
    ("answers", "now", "holds"),
    [
        ([(1.0, 7)], 2.9, True),
        ([(1.0, 7)], 3.0, False),  # by the sending, less the clocks' rate error
        ([(1.0, 7), (2.0, 7)], 3.9, True),
        ([(2.0, 7), (1.0, 7)], 3.9, True),
        ([(1.0, 7), (2.0, 0)], 2.5, False),
        ([(0.5, 7)], 1.0, False),  # sent before it was dropped
    ],
)
def test_a_holder_stops_by_its_own_clock_before_the_log_may_grant_anew(answers, now, holds):
    holder = Holder("l", 2.0)
    holder.drop(0.7)
    for sent_at, token in answers:
        holder.answered(sent_at, token)
    assert holder.holds(now) is holds


@given(st.lists(st.integers(-1, 9), max_size=20))
def test_a_gate_takes_nothing_older_than_what_it_has_taken(tokens):
    gate, taken = Gate(), []
    for token in tokens:
        if gate.takes(token):
            taken.append(token)
    assert taken == sorted(taken) and all(token > 0 for token in taken)


# --- The log ------------------------------------------------------------------------------------------
LOG = [Entry(1), Entry(2, "x")]


def voter(**more) -> Raft:
    return Raft("a", ("a", "b", "c"), random.Random(1), 0.0, term=2, log=list(LOG), **more)


@pytest.mark.parametrize(
    ("vote", "ask", "granted"),
    [
        (None, Vote(3, False, 2, 2), True),
        (None, Vote(2, False, 2, 2), True),
        ("c", Vote(2, False, 2, 2), False),
        ("b", Vote(2, False, 2, 2), True),  # one vote a term
        (None, Vote(1, False, 9, 2), False),
        (None, Vote(3, False, 1, 2), False),  # an old term, a shorter log
        (None, Vote(3, False, 9, 1), False),
        (None, Vote(3, False, 1, 3), True),  # older, newer last entries
        ("c", Vote(3, True, 2, 2), True),
        (None, Vote(3, True, 1, 2), False),
    ],
)
def test_a_vote_goes_to_a_log_as_far_once_a_term_and_is_kept_before_it_is_told(vote, ask, granted):
    raft = voter(vote=vote)
    actions = raft.step(5.0, "b", ask)
    assert isinstance(actions[-1], Send) and actions[-1].message.granted is granted
    if granted and not ask.pre and vote is None:
        assert isinstance(actions[-2], Keep) and actions[-2].vote == "b"
    assert raft.term == 2 if ask.pre else raft.term == max(2, ask.term)


def test_who_has_just_heard_a_leader_gives_no_vote():
    raft = voter()
    raft.step(5.0, "c", Append(2, 2, 2, (), 0))
    assert raft.step(5.1, "b", Vote(3, True, 9, 9)) == []
    assert raft.step(5.6, "b", Vote(3, True, 9, 9))[-1].message.granted


@pytest.mark.parametrize(
    ("message", "good", "length"),
    [
        (Append(2, 2, 2, (Entry(2, "y"),), 3), True, 3),
        (Append(2, 1, 1, (Entry(2, "x"),), 0), True, 2),
        (Append(3, 1, 1, (Entry(3, "z"),), 0), True, 2),  # in place of what was never committed
        (Append(2, 2, 1, (Entry(2, "y"),), 0), False, 2),
        (Append(2, 5, 2, (), 0), False, 2),
        (Append(1, 2, 2, (), 0), False, 2),  # an old leader
    ],
)
def test_entries_are_taken_where_they_join_the_log(message, good, length):
    raft = voter()
    answer = next(a.message for a in raft.step(1.0, "b", message) if isinstance(a, Send))
    assert (answer.good, len(raft.log)) == (good, length)
    assert raft.commit == min(message.commit, length) * good


def test_a_leader_that_goes_hands_its_lead_to_one_with_its_whole_log_who_is_elected_at_once():
    raft = voter()
    raft.tick(2.0)
    raft.step(2.0, "b", Voted(3, True, True))
    raft.step(2.0, "b", Voted(3, False, True))
    assert not any(isinstance(a.message, Hand) for a in raft.hand_over(2.0))  # nobody has its last entry
    told = raft.step(2.1, "b", Appended(3, True, 3))
    assert Send("b", Hand(3)) in told and raft.role == "leader"
    other = Raft("b", ("a", "b", "c"), random.Random(1), 0.0, term=3, log=[*LOG, Entry(3)])
    other.step(2.1, "a", Append(3, 3, 3, (), 2))
    ask = next(a.message for a in other.step(2.2, "a", Hand(3)) if isinstance(a, Send))
    assert ask == Vote(4, False, 3, 3, True)
    assert other.step(2.2, "c", Hand(3)) == []  # not from its leader
    third = Raft("c", ("a", "b", "c"), random.Random(1), 0.0, term=3, log=[*LOG, Entry(3)])
    third.step(2.2, "a", Append(3, 3, 3, (), 2))
    assert [
        third.step(2.2, "b", each)[-1].message.granted  # though it has just heard its leader
        for each in (replace(ask, handed=False), ask)
    ] == [False, True]


def test_a_leader_commits_only_entries_of_its_term_and_steps_down_when_it_hears_too_few():
    raft = voter()
    raft.tick(2.0)
    raft.step(2.0, "b", Voted(3, True, True))
    raft.step(2.0, "b", Voted(3, False, True))
    assert raft.role == "leader" and raft.log[-1] == Entry(3)
    assert not any(isinstance(a, Apply) for a in raft.step(2.1, "b", Appended(3, True, 2)))
    applied = [a for a in raft.step(2.1, "b", Appended(3, True, 3)) if isinstance(a, Apply)]
    assert [a.index for a in applied] == [1, 2, 3]
    raft.tick(4.0)
    assert raft.role == "follower"


# --- The world ----------------------------------------------------------------------------------------
def test_no_rule_is_broken_in_seeded_schedules_of_faults_and_effects_are_taken():
    plays = [lease_model.play(seed) for seed in range(200)]
    assert [play for play in plays if play[1]] == [] and sum(play[2] for play in plays) > 4000
    assert sum(play[3] for play in plays) > 200  # states were sent to who lacked what was cut off


@pytest.mark.parametrize(
    ("bug", "says"),
    [("vote", "two leaders"), ("early", "held by"), ("token", "an effect"), ("state", "two states")],
)
def test_a_planted_error_is_found_and_its_seed_replays_it(bug, says):
    found = next(play for seed in range(2000) if (play := lease_model.play(seed, bug))[1])
    assert says in found[1] and lease_model.play(found[0], bug) == found
