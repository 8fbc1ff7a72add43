"""Push-pull synchronisations whose bytes come slowly, or stop (issue 52)."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace

import pytest

from stalltiller.fleet import codec
from stalltiller.fleet.config import fleet_config
from stalltiller.fleet.membership_agent import LENGTH_PREFIX, MembershipAgent
from stalltiller.fleet.messages import PushPullSync
from stalltiller.routing.transfer_monitor import TransferMonitor
from stalltiller.transport.buffers import BufferPool
from tests.fixtures.samples import MEMBERS, SENDER

SYNC_LIMIT_SECONDS = 2.0  # that a synchronisation had in all
IDLE_LIMIT_SECONDS = 0.8
PIECES = 16


async def open_agent() -> MembershipAgent:
    config = fleet_config({"name": "campus", "listen": "127.0.0.1:7946", "seeds": []}, "")
    config = replace(config, listen=("127.0.0.1", 0))
    monitor = TransferMonitor(asyncio.get_running_loop(), IDLE_LIMIT_SECONDS)
    agent = MembershipAgent("n1", config, BufferPool(), monitor, lambda *_, **__: None, lambda: 0)
    await agent.open()
    return agent


async def synchronise(agent: MembershipAgent, seconds: float, share: float) -> tuple[bytes, float]:
    """Send a state slowly, all of it or a share; return the response and the seconds until the end."""
    reader, writer = await asyncio.open_connection(*agent._server.sockets[0].getsockname())
    data = codec.encode_sync(agent.config.fleet, PushPullSync(SENDER, MEMBERS[1:]))
    data = LENGTH_PREFIX.pack(len(data)) + data
    size = -(-len(data) // PIECES)
    last_at = time.monotonic()
    for number in range(int(share * PIECES)):
        writer.write(data[number * size : (number + 1) * size])
        last_at = time.monotonic()
        await asyncio.sleep(seconds / PIECES)
    response = await reader.read()
    writer.close()
    return response, time.monotonic() - last_at


@pytest.mark.parametrize("factor", [0.5, 1.2, 3.0])
def test_a_state_that_keeps_coming_is_merged(factor):
    """Guards against a synchronisation that is cut off after 2 s although bytes keep coming."""

    async def scenario():
        agent = await open_agent()
        response, _ = await synchronise(agent, factor * SYNC_LIMIT_SECONDS, 1.0)
        assert len(response) > LENGTH_PREFIX.size
        agent.close()

    asyncio.run(scenario())


def test_a_state_that_stops_ends_at_the_idle_limit():
    async def scenario():
        agent = await open_agent()
        response, seconds = await synchronise(agent, 0.4, 0.5)
        assert response == b"" and IDLE_LIMIT_SECONDS - 0.1 < seconds < IDLE_LIMIT_SECONDS + 0.6
        agent.close()

    asyncio.run(scenario())
