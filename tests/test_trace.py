"""Reading traces: a request's trail through restarts, in the program's lines and in a bench's."""

from __future__ import annotations

import pytest

from stalltiller.trace import follow, summary, trails

LIFE = [
    '{"time":1.0,"event":"started"}',
    '{"time":1.1,"event":"taken","id":1,"label":"a"}',
    '{"time":1.2,"event":"attempt","id":1,"attempt":0,"node":"s-1"}',
    '{"time":1.3,"event":"attempt_ended","id":1,"attempt":0,"node":"s-1","status":"reset"}',
    '{"time":1.4,"event":"answered","id":1,"how":"failed"}',
    "not json",
    '{"time":"x"}',
]


@pytest.mark.parametrize(
    ("lines", "how", "statuses", "first"),
    [
        (LIFE, "failed", ("reset",), 1.1),
        (["7.5 " + line for line in LIFE], "failed", ("reset",), 7.5),  # a bench's own times go first
        (LIFE[:3], "open", (), 1.1),
    ],
)
def test_a_trail_keeps_how_a_request_ended(lines, how, statuses, first):
    [trail] = trails("n0", lines)
    assert (trail.how, trail.statuses, trail.taken_at, trail.where) == (how, statuses, first, "n0#1")


def test_the_same_number_in_a_new_life_is_another_request():
    found = trails("n0", LIFE + [line.replace('"a"', '"b"') for line in LIFE])
    assert [t.where for t in found] == ["n0#1", "n0#2"] and "n0#2" in follow(found, "b")
    assert "2 requests" in summary(found) and follow(found, "c") == "no request 'c'"
