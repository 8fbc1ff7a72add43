"""Base of the HTTP and NVMe/TCP target clients: sends attempts on pooled channels."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from stalltiller.routing.channel_capacity import ChannelUse
from stalltiller.routing.engine import Engine
from stalltiller.routing.exchange_end import TransferPhase, TransferProgress
from stalltiller.routing.ports import Attempt, AttemptResult
from stalltiller.scheduling import AttemptStatus, TargetId
from stalltiller.transport.buffers import BufferPool
from stalltiller.transport.pool import Channel, ChannelPool

MILLISECONDS_PER_SECOND = 1000


class PooledTargetClient:
    """Sends attempts to targets on pooled channels; subclasses open the channels.

    `connect_timeout` and `idle_timeout` are in seconds; `max_channels` bounds the channels to all targets
    together.  A channel is not reused before it has been idle for `settle_time` seconds.
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
        settle_time: float = 0.0,
    ) -> None:
        self.loop = loop
        self.engine = engine
        self.buffers = buffers
        self._log = log
        self.pool = ChannelPool(
            loop,
            self.connect,
            self._on_unreachable,
            connect_timeout,
            idle_timeout,
            max_channels,
            settle_time,
        )

    async def connect(self, host: str, port: int) -> Channel:
        """Open a channel; raises OSError if the target can't be reached."""
        raise NotImplementedError

    def start(self, attempt: Attempt) -> None:
        """Start an attempt; its result is reported to the engine later."""
        self.pool.start(attempt)

    def is_fully_sent(self, attempt: Attempt) -> bool:
        """Return whether the target may have received the whole request of an attempt."""
        return self.pool.is_fully_sent(attempt)

    def progress(self, attempt: Attempt) -> TransferProgress:
        """Return how far the transfer of an attempt has come."""
        return self.pool.progress(attempt) or TransferProgress(TransferPhase.CONNECTING)

    def pass_on(self, attempt: Attempt) -> bool:
        """Finish an attempt by passing on the rest of its response; return False if that is impossible."""
        channel: Channel = attempt.channel
        return channel.pass_on()

    def abandon(self, attempt: Attempt) -> bool:
        """Abandon an attempt and return whether it may have been executed."""
        return self.pool.abandon(attempt)

    def close_idle(self, target_id: TargetId) -> None:
        """Close the idle channels to a target."""
        self.pool.close_idle(target_id)

    def channel_use(self) -> ChannelUse:
        """Return how many channels are in use."""
        if not self.pool.is_full():
            return ChannelUse(self.pool.max_channels)
        return ChannelUse(self.pool.max_channels, True, self.pool.streamed_count())

    def report_failed_response(self, attempt: Attempt | None, text: str) -> None:
        """Count and log a response that is malformed, stalled or too large; only its attempt fails."""
        self.engine.counts["bad_answers"] += 1
        self._log("bad_response", target=attempt.target_id if attempt else None, text=text)

    def report_duplicate(self, target_id: TargetId) -> None:
        """Count and log a target's duplicate of a response, received while another was awaited."""
        self.engine.counts["duplicate_responses"] += 1
        self._log("duplicate_response", target=target_id)

    def report_surplus_data(self, target_id: TargetId, idle_seconds: float, size: int | None) -> None:
        """Count and log data that an idle channel to a target received after a response.

        `idle_seconds` is the time since the end of that response, `size` the number of bytes, None if unread.
        """
        self.engine.counts["surplus_data"] += 1
        self._log(
            "surplus_data",
            target=target_id,
            idle_ms=round(MILLISECONDS_PER_SECOND * idle_seconds, 2),
            bytes=size,
        )

    def _on_unreachable(self, attempt: Attempt) -> None:
        self.engine.attempt_finished(attempt, AttemptResult(AttemptStatus.CONNECT_FAILED))
