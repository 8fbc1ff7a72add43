"""Tests of `slow_peers.fault_of`, which judges what a client saw of a slow peer."""

from __future__ import annotations

import pytest

from tests.slow_peers import IDLE_LIMIT_SECONDS, SHORT_RESPONSE_BYTES, Call, Script, Seen, fault_of

CALL = Call(timeout=0.815)
PAUSES = (0.0, 0.75, 0.75)
SHORT_BYTES = 20_000


def answered(sent_at: list[float], ended_at: float = CALL.timeout) -> Seen:
    """Return what a client saw of an answer of the initiator's own."""
    return Seen(
        status=503, is_whole=True, how="whole", first_byte_at=ended_at, ended_at=ended_at, sent_at=sent_at
    )


@pytest.mark.parametrize(
    ("sent_at", "is_fault"),
    [
        ([0.001, 0.001, 0.751], True),  # the second piece came before the client's time
        ([0.001, 0.001, 0.764], True),
        ([0.001, 0.75], True),  # a piece of the head
        ([0.047, 0.053], False),  # the second piece was late
        ([0.047, 0.053, 0.803], False),
        ([0.001, 0.001], False),
        ([], False),
    ],
)
def test_a_short_response_is_answered_for_only_if_its_target_has_really_been_silent(sent_at, is_fault):
    """Guards against a judgment by when a target should have sent: a busy machine sends later."""
    fault = fault_of(CALL, Script("length", SHORT_BYTES, PAUSES), answered(sent_at))
    assert (fault is not None) == is_fault, fault


@pytest.mark.parametrize(
    ("framing", "size"),
    [("length", SHORT_RESPONSE_BYTES + 1), ("chunked", SHORT_BYTES), ("close", SHORT_BYTES)],
)
def test_no_other_response_that_has_begun_is_answered_for(framing, size):
    assert fault_of(CALL, Script(framing, size, PAUSES), answered([0.047, 0.053])) is not None


@pytest.mark.parametrize("ended_at", [0.3, 1.5])
def test_an_answer_comes_about_the_clients_time(ended_at):
    assert (
        fault_of(CALL, Script("length", SHORT_BYTES, PAUSES), answered([0.047, 0.053], ended_at)) is not None
    )


@pytest.mark.parametrize(
    ("ended_after_last_byte", "is_fault"),
    [(0.3, True), (IDLE_LIMIT_SECONDS + 0.2, False), (IDLE_LIMIT_SECONDS + 1.0, True)],
)
def test_a_stopped_response_ends_at_the_idle_limit(ended_after_last_byte, is_fault):
    script = Script("chunked", SHORT_BYTES, (0.9,) * 4, stops_after=2)
    ended_at = script.last_byte_seconds + ended_after_last_byte
    seen = Seen(
        status=200, body_bytes=SHORT_BYTES // 2, ended_at=ended_at, how="closed", sent_at=[0.0, 0.9, 1.8]
    )
    assert (fault_of(CALL, script, seen) is not None) == is_fault


def test_a_truncated_response_does_not_look_whole():
    seen = Seen(status=200, body_bytes=SHORT_BYTES - 1, is_whole=True, ended_at=1.6, how="whole")
    assert fault_of(CALL, Script("close", SHORT_BYTES, PAUSES), seen) is not None
