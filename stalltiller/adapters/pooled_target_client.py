"""What carrying attempts has in common on both wires: a pool of channels that ends in the engine."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from stalltiller.routing.engine import Engine
from stalltiller.routing.ports import Attempt, AttemptResult
from stalltiller.scheduling import AttemptStatus, TargetId
from stalltiller.transport.buffers import BufferPool
from stalltiller.transport.pool import Channel, ChannelPool

ANSWER_STALL = 0.1  # s that an answer may stand still once it has begun: then a read can be sent again


class PooledTargetClient:
    """Subclasses make the channels."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        engine: Engine,
        buffers: BufferPool,
        connect_timeout: float,
        idle_limit: float,
        most: int,
        log: Callable[..., None],
        rest: tuple[float, float] = (0.0, 0.0),
    ) -> None:
        self.loop, self.engine, self.buffers = loop, engine, buffers
        self._log = log
        self.pool = ChannelPool(
            loop, self.connect, self._unreachable, connect_timeout, idle_limit, most, rest
        )

    async def connect(self, host: str, port: int) -> Channel:
        raise NotImplementedError

    def start(self, attempt: Attempt) -> None:
        self.pool.start(attempt)

    def is_fully_sent(self, attempt: Attempt) -> bool:
        return self.pool.is_fully_sent(attempt)

    def abandon(self, attempt: Attempt) -> bool:
        return self.pool.abandon(attempt)

    def close_idle(self, node: TargetId) -> None:
        self.pool.close_idle(node)

    def log_bad_response(self, attempt: Attempt | None, text: str) -> None:
        """Note an answer that makes no sense: an event, and the end of that attempt alone."""
        self.engine.counts["bad_answers"] += 1
        self._log("bad_answer", node=attempt.target_id if attempt else None, text=text)

    def _unreachable(self, attempt: Attempt) -> None:
        self.engine.attempt_finished(attempt, AttemptResult(AttemptStatus.CONNECT_FAILED))
