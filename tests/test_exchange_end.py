"""What the log says of an exchange that the initiator ends."""

from __future__ import annotations

import asyncio

import pytest

from tests.test_http_server import GET_REQUEST, run_scenario
from tests.test_long_bodies import LONG_BODY, encode_response_parts, read_to_end, serve_in_parts


def test_the_log_says_which_response_was_ended_and_how_far_it_had_come():
    """Guards against ends that name no request, target or bytes, as in the evidence of issue 52."""

    async def scenario(harness, reader, writer):
        serve_in_parts(harness, encode_response_parts("length"), asyncio.Event(), False)
        writer.write(GET_REQUEST)
        with pytest.raises(ConnectionResetError):
            await read_to_end(reader)
        (end,) = [line for line in harness.logged if line["event"] == "exchange_ended"]
        assert (end["id"], end["label"], end["target"]) == (1, "id1", harness.targets[0].name)
        assert end["received_bytes"] == len(LONG_BODY) // 2
        assert len(LONG_BODY) // 2 <= end["delivered_bytes"] < len(LONG_BODY)
        assert end["idle_ms"] > 0.0
        assert end["remaining_ms"] < 0.0

    run_scenario(scenario)
