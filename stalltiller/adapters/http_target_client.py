"""The HTTP/1.1 client for the platform's targets: opens connections and holds what they share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from stalltiller.adapters.http_target_connection import TargetConnection
from stalltiller.adapters.pooled_target_client import PooledTargetClient
from stalltiller.adapters.response_attribution import ResponseAttributor
from stalltiller.protocol.platform import ResponseFields
from stalltiller.routing.engine import Engine
from stalltiller.scheduling import Settings
from stalltiller.transport.buffers import BufferPool, MemoryBudget

# A target's duplicate of a response comes some milliseconds after it.  Both go the same way: not its length
# matters but its variation.
SETTLE_SECONDS = 0.01


class HttpTargetClient(PooledTargetClient):
    """Sends attempts to targets over HTTP/1.1.

    `max_response_bytes` bounds the memory of all responses being received; the other arguments are those of
    `PooledTargetClient`.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        engine: Engine,
        buffers: BufferPool,
        connect_timeout: float,
        idle_timeout: float,
        max_channels: int,
        log: Callable[..., None],
        settings: Settings,
        max_response_bytes: int,
    ) -> None:
        super().__init__(
            loop,
            engine,
            buffers,
            connect_timeout,
            idle_timeout,
            max_channels,
            log,
            SETTLE_SECONDS,
        )
        self.response_budget = MemoryBudget(max_response_bytes)
        self.attributor = ResponseAttributor()
        self.update_settings(settings)

    def update_settings(self, settings: Settings) -> None:
        """Apply new settings from the next response on."""
        self.response_fields = ResponseFields(settings)

    async def connect(self, host: str, port: int) -> TargetConnection:
        """Open a connection to a target; raises OSError if it can't be reached."""
        _, connection = await self.loop.create_connection(lambda: TargetConnection(self), host, port)
        return connection
