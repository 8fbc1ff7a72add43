"""What both target clients share: a pool of channels whose results are reported to the engine."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from stalltiller.routing.engine import Engine
from stalltiller.routing.ports import Attempt, AttemptResult
from stalltiller.scheduling import AttemptStatus, TargetId
from stalltiller.transport.buffers import BufferPool
from stalltiller.transport.pool import Channel, ChannelPool

# How long a response that has begun may make no progress; soon enough that a read can be sent again.
RESPONSE_STALL_TIMEOUT_SECONDS = 0.1


class PooledTargetClient:
    """Sends attempts to targets by pooled channels; subclasses make the channels.

    `connect_timeout` and `idle_limit` are in seconds, `max_channels` bounds the channels to all targets
    together.  A channel is not reused between the two times of `reuse_delay`, in seconds after its release.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        engine: Engine,
        buffers: BufferPool,
        connect_timeout: float,
        idle_limit: float,
        max_channels: int,
        log: Callable[..., None],
        reuse_delay: tuple[float, float] = (0.0, 0.0),
    ) -> None:
        self.loop = loop
        self.engine = engine
        self.buffers = buffers
        self._log = log
        self.pool = ChannelPool(
            loop, self.connect, self._on_unreachable, connect_timeout, idle_limit, max_channels, reuse_delay
        )

    async def connect(self, host: str, port: int) -> Channel:
        """Open a channel; raises OSError if the target can't be reached."""
        raise NotImplementedError

    def start(self, attempt: Attempt) -> None:
        """Begin an attempt; its result is reported to the engine later."""
        self.pool.start(attempt)

    def is_fully_sent(self, attempt: Attempt) -> bool:
        """Return whether the target may have all of an attempt's request."""
        return self.pool.is_fully_sent(attempt)

    def abandon(self, attempt: Attempt) -> bool:
        """Give an attempt up for good and return whether it may have been executed."""
        return self.pool.abandon(attempt)

    def close_idle(self, target_id: TargetId) -> None:
        """Close the idle channels to a target."""
        self.pool.close_idle(target_id)

    def log_bad_response(self, attempt: Attempt | None, text: str) -> None:
        """Count and log a malformed response; it ends that attempt alone."""
        self.engine.counts["bad_answers"] += 1
        self._log("bad_response", target=attempt.target_id if attempt else None, text=text)

    def _on_unreachable(self, attempt: Attempt) -> None:
        self.engine.attempt_finished(attempt, AttemptResult(AttemptStatus.CONNECT_FAILED))
