"""What an instance keeps of its last life, and what it believes of it."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stalltiller.protocol import discovery
from stalltiller.recovery import (
    Book,
    Calm,
    Facts,
    Level,
    Pace,
    Phases,
    Refused,
    Store,
    decode,
    encode,
    recall,
    remember,
    start_level,
    usable,
)
from stalltiller.scheduling import TargetStatus
from tests.helpers import SchedulerHarness, entry, outcome, plan, request

NOW, ADDRESS = 1000.0, "127.0.0.1:8500"
TARGET = discovery.TargetRecord("s-1", "127.0.0.1", 3000, "a", "m", 3, TargetStatus.DRAINING, 0.5, 900.25)
FACTS = Facts(
    "n1",
    ADDRESS,
    NOW,
    True,
    discovery.TargetList(41, True, (TARGET,)),
    NOW - 5,
    (Pace("s-1", 900.25, 0.03, 4.0, NOW - 1),),
    (Level(7, "basic", 2, 9.5, NOW),),
    Calm(0.97, ((None, 0.5), (3, 4.25)), (("n2", "127.0.0.1", 7946),)),
)


def test_facts_come_back_as_they_were(tmp_path):
    assert decode(encode(FACTS), "n1", ADDRESS, NOW) == FACTS
    store = Store(str(tmp_path / "kept"))
    assert store.load("n1", ADDRESS, NOW) is None
    for facts in (replace(FACTS, closed=False), FACTS):
        store.save(facts)
    store.close()
    assert Store(str(tmp_path / "kept")).load("n1", ADDRESS, NOW) == FACTS


@pytest.mark.parametrize(
    ("data", "name", "address", "now", "why"),
    [
        (encode(FACTS)[:-1], "n1", ADDRESS, NOW, "torn"),
        (b"", "n1", ADDRESS, NOW, "torn"),
        (encode(FACTS).replace(b"basic", b"bAsic"), "n1", ADDRESS, NOW, "torn"),
        (encode(FACTS), "n2", ADDRESS, NOW, "foreign"),
        (encode(FACTS), "n1", "127.0.0.1:1", NOW, "foreign"),
        (encode(FACTS), "n1", ADDRESS, NOW - 60, "future"),
    ],
)
def test_state_that_is_not_whole_or_not_its_own_or_to_come_is_refused(data, name, address, now, why):
    with pytest.raises(Refused, match=why):
        decode(data, name, address, now)


def test_another_form_is_refused(monkeypatch):
    monkeypatch.setattr("stalltiller.recovery.snapshot.VERSION", 99)
    data = encode(FACTS)
    monkeypatch.undo()
    with pytest.raises(Refused, match="version"):
        decode(data, "n1", ADDRESS, NOW)


@given(st.binary(max_size=300), st.integers(0, 400), st.integers(0, 255))
def test_no_bytes_and_no_flipped_byte_are_taken_for_facts(data, place, byte):
    whole = bytearray(encode(FACTS))
    changed = whole[place % len(whole)] != byte
    whole[place % len(whole)] = byte
    for spoilt in [data, *([bytes(whole)] if changed else [])]:
        with pytest.raises(Refused):
            decode(spoilt, "n1", ADDRESS, NOW)


@pytest.mark.parametrize(
    ("age", "closed", "kinds"),
    [
        (1.0, True, (True, True, True)),
        (1.0, False, (True, True, False)),
        (70.0, True, (True, False, True)),
        (700.0, False, (False, False, False)),
        (700.0, True, (False, False, True)),
    ],
)
def test_each_kind_of_fact_has_an_age_past_which_it_is_not_used(age, closed, kinds):
    kept = usable(replace(FACTS, closed=closed), NOW + age)
    assert (kept.listing is not None, kept.paces != (), kept.levels != ()) == kinds


LIMITED = plan(name="basic", limit=20.0, burst=40.0)
lives = st.lists(
    st.tuples(st.floats(0.01, 5.0), st.floats(0.0, 5.0), st.booleans(), st.floats(0.0, 1.0)),
    min_size=1,
    max_size=8,
)


@given(lives)
def test_lives_in_a_row_spend_no_more_than_one_bucket_that_never_restarted(script):
    """Each life runs for a time, spends at its end a part of what its bucket holds, ends in order or is
    killed, and is away for a time.  Of a killed one nothing may be believed."""
    now, true, true_at, kept = 0.0, LIMITED.burst, 0.0, None
    for runs, away, orderly, share in script:
        level = 0.0 if kept is None else start_level(kept, LIMITED, now)
        now += runs
        level = min(LIMITED.burst, level + LIMITED.limit * runs)
        true, true_at = min(LIMITED.burst, true + LIMITED.limit * (now - true_at)), now
        true -= share * level
        assert true >= -1e-6
        kept = Level(1, "basic", 1, level * (1 - share), now) if orderly else None
        now += away


def test_paces_and_levels_go_from_one_life_to_the_next():
    old, new = (SchedulerHarness((entry(1, started_at=5.0), entry(2)), plans=(LIMITED,)) for _ in range(2))
    old.feed(20.0, request(1, units=4.0))
    old.feed(20.1, outcome(1, latency=0.1))
    paces, levels = remember(old.scheduler, 20.1, NOW)
    assert [(p.target, p.since) for p in paces] == [("1", NOW + 5.0), ("2", None)] and levels[0].units > 0
    new.scheduler.targets = {str(name): node for name, node in new.scheduler.targets.items()}
    moved = (replace(paces[0], since=NOW), paces[1])  # the first target has started anew meanwhile
    before = new.scheduler.targets["1"].latency
    taken = recall(new.scheduler, replace(FACTS, paces=moved, levels=levels), 22.1, NOW)
    assert taken == {"paces": 1, "levels": 1}
    assert new.scheduler.targets["1"].latency == before
    assert new.scheduler.volumes[1].limit.level == pytest.approx(min(levels[0].units, 40.0))


def test_the_book_is_the_list_as_last_told():
    book = Book()
    assert book.listing is None
    book.took(discovery.TargetList(1, True, (TARGET, replace(TARGET, name="s-2"))))
    book.took(discovery.TargetList(2, False, (replace(TARGET, status=TargetStatus.REMOVED),)))
    assert book.listing == discovery.TargetList(2, True, (replace(TARGET, name="s-2"),))


@pytest.mark.parametrize(
    ("served_from", "before", "full"), [(1.0, None, 2.0), (5.0, None, 6.0), (0.5, 0.5, 1.5)]
)
def test_service_is_full_once_what_was_served_before_is_served_for_two_seconds(served_from, before, full):
    """Ten requests answered a second; from a time on all are served, half of them before."""
    phases, served = Phases(0.0, before), 0
    assert phases.ready(0.1) and not phases.ready(0.2)
    for tick in range(1, 150):
        now = tick / 10
        served += now > served_from or tick % 2
        if phases.counted(now, tick, served):
            break
    assert phases.phase == "full" and full - 1.2 <= phases.took <= full + 0.3
