"""Ranks of work by value per unit, the smaller first among equals."""

from __future__ import annotations

import pytest

from stalltiller.common import ValueDistribution


def distribution(*pieces: tuple[float, float], assumed: tuple[float, ...] = ()) -> ValueDistribution:
    recorded = ValueDistribution(4, 2.0, assumed)
    for value, size in pieces:
        recorded.add(value, size)
    return recorded


@pytest.mark.parametrize(
    ("pieces", "piece", "tie", "expected"),
    [
        ([], (1.0, 2.0), 0.25, 0.25),  # nothing known: all by chance
        ([(3.0, 4.0)], (1.0, 1.0), 0.0, 0.8),  # four of five units are worth more
        ([(3.0, 4.0)], (5.0, 1.0), 0.0, 0.0),
        ([(3.0, 2.0)], (3.0, 1.0), 0.0, 0.0),  # worth the same: the smaller first
        ([(3.0, 1.0)], (3.0, 2.0), 0.0, 1 / 3),
        ([(3.0, 2.0)], (3.0, 2.0), 0.5, 0.5),
        ([(9.0, 8.0)] + [(1.0, 1.0)] * 4, (2.0, 1.0), 0.0, 0.0),  # the oldest is forgotten
    ],
)
def test_a_rank_is_the_fraction_of_units_that_come_before(pieces, piece, tie, expected):
    assert distribution(*pieces).rank(*piece, tie) == pytest.approx(expected)


def test_assumed_pieces_are_worth_as_much_as_any_and_are_forgotten():
    recorded = distribution(assumed=(0.5, 1.0))  # of one unit and of two
    assert recorded.rank(0.1, 1.0, 0.0) == 0.0
    assert recorded.rank(9.0, 4.0, 0.0) == pytest.approx(3 / 7)
    for _ in range(4):
        recorded.add(0.05, 1.0)
    assert recorded.rank(9.0, 4.0, 0.0) == 0.0
