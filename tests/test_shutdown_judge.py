"""How `fault_of` judges what a client got by the kill: case tables."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.shutdown_play import Behaviour, Exchange, Plan, Seen, fault_of

PLAN = Plan(25.0)  # the drain ends at 3.1, the kill comes at 3.7
WRITE = Exchange(Behaviour.INTERIM, 1.19, "menu-write", False, 20.705)
FORWARDED = Seen(sent_at=1.19, ended_at=3.09, attempts=[2.7], complete_attempts=1)
FAILED = replace(FORWARDED, outcome="failed", first_byte_at=3.09, how="whole")


@pytest.mark.parametrize(
    ("seen", "is_fault"),
    [
        (replace(FORWARDED, ended_at=3.7, how="closed"), True),  # the incident
        (FAILED, False),
        (replace(FAILED, outcome="refused"), True),  # it may have run
        (replace(FAILED, outcome="refused", complete_attempts=0), False),
        (replace(FAILED, attempts=[], complete_attempts=0), True),  # it was never forwarded
        (replace(FAILED, outcome="refused", attempts=[], complete_attempts=0), False),
        (replace(FAILED, outcome="served"), True),  # by no target
        (replace(FAILED, attempts=[2.7, 3.4]), True),  # an attempt after the drain's end
        (replace(FORWARDED, first_byte_at=3.0, has_partial_response=True, ended_at=3.7), False),
        (replace(FORWARDED, sent_at=3.6, ended_at=3.7), False),  # the process may not have read it
        (Seen(), False),  # its connection had been closed
    ],
)
def test_what_a_client_of_a_write_got_is_judged_by_the_page(seen, is_fault):
    assert (fault_of(WRITE, seen, PLAN) is not None) is is_fault


@pytest.mark.parametrize(("answered_at", "is_fault"), [(1.6, False), (2.4, False), (2.6, True)])
def test_an_answer_is_late_half_a_second_after_its_clients_time(answered_at, is_fault):
    exchange = replace(WRITE, timeout=0.8)
    seen = replace(FAILED, first_byte_at=answered_at, ended_at=answered_at, attempts=[1.2])
    assert (fault_of(exchange, seen, PLAN) is not None) is is_fault


@pytest.mark.parametrize(("begun_at", "is_fault"), [(0.89, True), (1.1, False), (None, False)])
def test_a_request_is_not_cut_off_that_was_begun_in_time(begun_at, is_fault):
    exchange = replace(WRITE, lead=0.3)
    assert (fault_of(exchange, Seen(begun_at=begun_at), PLAN) is not None) is is_fault


@pytest.mark.parametrize(
    ("behaviour", "outcome", "is_fault"),
    [
        (Behaviour.SERVES, "served", False),
        (Behaviour.REJECTS, "refused", False),
        (Behaviour.SILENT, "refused", False),  # a read may be tried again
        (Behaviour.BODY_DRIPS, "served", True),
    ],
)
def test_what_a_client_of_a_read_got_is_judged_by_its_targets_behaviour(behaviour, outcome, is_fault):
    exchange = replace(WRITE, behaviour=behaviour, is_safe=True)
    assert (fault_of(exchange, replace(FAILED, outcome=outcome), PLAN) is not None) is is_fault
